package forward

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// pieces returns the events of a sound stream whose IDs are those given, each as the replica sends it.
func pieces(ids []int, format string) []string {
	var all []string
	for _, id := range ids {
		all = append(all, fmt.Sprintf(format, id, id))
	}
	return all
}

func idsFrom(first, step, count int) []int {
	var ids []int
	for n := range count {
		ids = append(ids, first+n*step)
	}
	return ids
}

// caller is what a program that follows the event stream format makes of a response.
type caller struct {
	lastID string
	data   []string
}

func (c *caller) read(body string) {
	for _, block := range strings.SplitAfter(strings.ReplaceAll(strings.ReplaceAll(body, "\r\n", "\n"), "\r", "\n"), "\n\n") {
		var data []string
		for _, line := range strings.Split(block, "\n") {
			name, value, _ := strings.Cut(line, ":")
			switch value = strings.TrimPrefix(value, " "); name {
			case "id":
				c.lastID = value
			case "data":
				data = append(data, value)
			}
		}
		if len(data) > 0 {
			c.data = append(c.data, strings.Join(data, "\n"))
		}
	}
}

// play sends a stream through the sequence as an edge does: the events of a replica, one in each read, and the rest of another one's
// where the stream may go on there. It reports whether the caller's stream ends as complete.
func play(resumeAfter int, resumable bool, reads, sound []string, ids []int) (body string, whole bool) {
	after := ""
	if resumeAfter > 0 {
		after = strconv.Itoa(resumeAfter)
	}
	q := newEventSequence(after, resumable)
	for attempt := range 2 {
		q.begin(body != "", attempt > 0)
		err := error(nil)
		pending := ""
		for _, read := range reads {
			pending += read
			end := eventsEnd([]byte(pending), 0)
			var ready []byte
			ready, err = q.accept([]byte(pending[:end]))
			body, pending = body+string(ready), pending[end:]
			if err != nil {
				break
			}
		}
		if err == nil && pending == "" {
			var ready []byte
			ready, err = q.end()
			body += string(ready)
			if err == nil {
				return body, true
			}
		}
		if !resumable || body != "" && !q.continuable() {
			return body, false
		}
		reads = nil
		for i, id := range ids {
			if last := &q.last; last.isStart() || last.numbered && uint64(id) > last.number {
				reads = append(reads, sound[i])
			}
		}
	}
	return body, false
}

// wrongBytes are what a byte is replaced by.
var wrongBytes = []byte("0123456789ax:; \n\r\x00\xff")

// spoilings calls f for each way to replace one byte of an event. Bytes of the data and the type are left out, because nothing
// shows that they are wrong, and carriage returns, with which the line feed ends the line as well.
func spoilings(event string, f func(at int, spoiled string)) {
	data := strings.Index(event, "data:") + len("data:")
	end := data + strings.IndexAny(event[data:], "\r\n")
	typeEnd := 0
	if strings.HasPrefix(event, "event:") {
		typeEnd = strings.IndexByte(event, '\n')
	}
	for at := range len(event) {
		if at >= data && at < end || event[at] == '\r' || at >= len("event:") && at < typeEnd {
			continue
		}
		for _, c := range wrongBytes {
			if c != event[at] {
				f(at, event[:at]+string([]byte{c})+event[at+1:])
			}
		}
	}
}

// Guards against a wrong byte in an event's ID, in the name of a field or in the blank line after an event with which pieces are lost or
// merged, also for a caller that resumes the stream itself, and against a stream that is cut although it could go on elsewhere.
func TestOneWrongByteLosesNoPiece(t *testing.T) {
	const count = 12
	for _, format := range []string{"id: %d\ndata: piece %d\n\n", "id:%d\r\ndata:piece %d\r\n\r\n"} {
		for _, resumeAfter := range []int{0, 7, 19} {
			ids := idsFrom(resumeAfter+1, 1, count)
			sound := pieces(ids, format)
			want := strings.Join(sound, "")
			var wanted caller
			wanted.read(want)
			for n, event := range sound {
				spoilings(event, func(at int, spoiled string) {
					for _, resumable := range []bool{true, false} {
						reads := slices.Clone(sound)
						reads[n] = spoiled
						body, whole := play(resumeAfter, resumable, reads, sound, ids)
						var got caller
						got.read(body)
						// The first ID is sent before anything shows that it is wrong, and any larger one may be the last.
						excused := (n == 0 || n == count-1) && at > strings.Index(event, ":") && at < strings.IndexAny(event, "\r\n")
						wrong := ""
						switch {
						case whole && !slices.Equal(got.data, wanted.data):
							wrong = "complete with other pieces"
						case whole && body != want && !excused:
							wrong = "complete with a wrong byte"
						case !whole && resumable && n > 0:
							wrong = "not complete"
						case !whole && resumable && (!slices.Equal(got.data, wanted.data) || got.lastID != wanted.lastID):
							wrong = "the caller lacks pieces, or resumes at another place"
						}
						if wrong != "" {
							t.Errorf("%q after %d, resumable %t: %s: %q", spoiled, resumeAfter, resumable, wrong, body)
						}
						body, whole = play(resumeAfter, resumable, []string{strings.Join(reads, "")}, sound, ids)
						if whole && body != want && !excused || !whole && resumable {
							t.Errorf("%q after %d in one read, resumable %t: complete %t: %q", spoiled, resumeAfter, resumable, whole, body)
						}
					}
				})
			}
		}
	}
}

// Guards against lost pieces where the IDs of a sound service step otherwise.
func TestOneWrongByteLosesNoPieceWithOtherSteps(t *testing.T) {
	const count = 12
	for _, step := range []int{3, 7, 10, 100} {
		for _, resumeAfter := range []int{0, 20} {
			ids := idsFrom(resumeAfter+step, step, count)
			sound := pieces(ids, "event: token\nid: %d\ndata: piece %d\n\n")
			var wanted caller
			wanted.read(strings.Join(sound, ""))
			for n, event := range sound {
				spoilings(event, func(_ int, spoiled string) {
					for _, resumable := range []bool{true, false} {
						reads := slices.Clone(sound)
						reads[n] = spoiled
						body, whole := play(resumeAfter, resumable, reads, sound, ids)
						var got caller
						if got.read(body); whole && !slices.Equal(got.data, wanted.data) {
							t.Errorf("%q after %d, resumable %t: complete with other pieces: %q", spoiled, resumeAfter, resumable, body)
						}
					}
				})
			}
		}
	}
}

// soundStreams are the IDs of sound streams; an empty one is an event without an ID.
var soundStreams = map[string][]string{
	"of one": {"1", "2", "3", "4", "5", "6"}, "from 0": {"0", "1", "2", "3"}, "from anywhere": {"812", "813", "814", "815"},
	"of ten": {"10", "20", "30", "40", "50"}, "of any size": {"3", "4", "9", "11", "40", "41", "42", "90"}, "times": {"1796630277123", "1796630277160", "1796630277161", "1796630277300"},
	"begin to step by ten": {"1", "2", "3", "13", "23", "33"}, "begin to step by one": {"10", "20", "30", "31", "32", "33"}, "a jump at the end": {"1", "2", "3", "9"},
	"blocks": {"1", "2", "3", "101", "102", "103", "201", "202"}, "jump after jump": {"1", "2", "5", "9", "14", "20", "21", "22", "40"},
	"hexadecimal": {"8", "9", "a", "b", "c", "d", "e", "f", "10", "11"}, "hexadecimal of six": {"14", "1a", "20", "26", "2c", "32", "38"}, "hexadecimal of 16": {"80", "90", "a0", "b0"},
	"hexadecimal of five": {"5", "a", "f", "14", "19", "1e", "23", "28", "2d", "32"}, "words": {"b", "a", "zz", "y"}, "numbers with zeros": {"0001", "0002", "0003", "0010"},
	"none": {"", "", ""}, "an end without an ID": {"1", "2", "3", ""}, "some without an ID": {"1", "", "2", "3", "", "", "4"}, "numbers, then words": {"1", "2", "3", "x", "y", "z"},
}

// Guards against sound streams that are cut, sent elsewhere or begin later because their IDs do not step by one, or begin not to.
func TestSoundStreamsLoseNothing(t *testing.T) {
	for name, ids := range soundStreams {
		for _, resumeAfter := range []string{"", "0", "2"} {
			first, numbered := parseNumber([]byte(ids[0]))
			if after, _ := parseNumber([]byte(resumeAfter)); resumeAfter != "" && (!numbered || first <= after) {
				continue
			}
			for _, resumable := range []bool{true, false} {
				q := newEventSequence(resumeAfter, resumable)
				q.begin(false, false)
				sent, want, late := "", "", 0
				for n, id := range ids {
					event := "data: x\n\n"
					if id != "" {
						event = "id: " + id + "\n" + event
					}
					want += event
					ready, err := q.accept([]byte(event))
					if err != nil {
						t.Fatalf("%s after %q, resumable %t: %q: %v", name, resumeAfter, resumable, event, err)
					}
					if sent += string(ready); sent != want {
						late++
						if n == 0 || !resumable {
							t.Errorf("%s after %q, resumable %t: %q is held back", name, resumeAfter, resumable, event)
						}
					}
				}
				ready, err := q.end()
				if sent += string(ready); err != nil || sent != want {
					t.Errorf("%s after %q, resumable %t: %q, %v", name, resumeAfter, resumable, sent, err)
				}
				if late > maxStepChanges {
					t.Errorf("%s after %q: %d events are held back", name, resumeAfter, late)
				}
			}
		}
	}
}

// Guards against sound streams that are cut or sent elsewhere because of lines or events that others do not have.
func TestUncommonEventsAreForwarded(t *testing.T) {
	for _, stream := range []string{
		event("1") + "x-weight-versions: 3\n" + event("2") + event("3") + "x-weight-versions: 4\n" + event("4"),
		"retry: 100\n\n" + event("1") + ": wait\n\n" + event("2") + ":\n\n" + "event: end\ndata: x\n\n",
		"event: open\n\nid: 1\n\nid: 2\n\n" + event("3") + "id: 4\n\nid: 5\nevent: ping\n\n" + event("6"),
		"id: 1\ndata: a\ndata\ndata: b\n\nid: 2\ndata\n\nid: 3\ndata:\n\nid: 4\ndata: {\"id: 5\": 1}\n\n",
		"id: 1\nuid: 70\ndata: x\n\nid: 2\nuid: 71\ndata: x\n\nid: 3\nuid: 72\ndata: x\n\n",
		event("1") + "progress: 7\ndata: x\n\nprogress: 9\ndata: x\n\n" + event("2") + "progress: 10\ndata: x\n\n" + event("3"),
		"id\ndata: x\n\n" + event("1") + "id:\ndata: x\n\nid:\ndata: x\n\n" + event("2") + event("3"),
		strings.ReplaceAll(event("1")+"event: ping\n\n"+event("2")+event("3"), "\n", "\r\n"),
	} {
		for _, resumable := range []bool{true, false} {
			q := newEventSequence("", resumable)
			q.begin(false, false)
			sent := ""
			for read := range strings.SplitAfterSeq(stream, "\n\n") {
				ready, err := q.accept([]byte(read))
				if sent += string(ready); err != nil {
					t.Errorf("%q: %q: %v", stream, read, err)
					break
				}
			}
			ready, err := q.end()
			if sent += string(ready); err != nil || sent != stream {
				t.Errorf("%q: %q, %v", stream, sent, err)
			}
		}
	}
}

// Guards against an event that stays held back where the next one does not come.
func TestHeldEventIsReleased(t *testing.T) {
	q := newEventSequence("", true)
	q.begin(false, false)
	if ready, err := q.accept([]byte(event("1") + event("2") + event("9"))); err != nil || string(ready) != event("1")+event("2") || !q.holding() {
		t.Fatalf("%q, %v, holding %t", ready, err, q.holding())
	}
	if ready := q.release(); string(ready) != event("9") || q.holding() || string(q.last.id) != "9" {
		t.Errorf("%q, holding %t, after %q", ready, q.holding(), q.last.id)
	}
	if ready, err := q.accept([]byte(event("4"))); err != nil || string(ready) != event("4") || string(q.last.id) != "4" {
		t.Errorf("the next one shows that it was wrong: %q, %v, after %q", ready, err, q.last.id)
	}
	if _, err := q.end(); err == nil || q.continuable() {
		t.Errorf("ends as complete after a wrong ID, continuable %t", q.continuable())
	}
}

// Guards against comments without end that fill the memory behind an event that is held back, or whose ID is in dispute.
func TestCommentsBehindAHeldEventAreBounded(t *testing.T) {
	comments := []byte(strings.Repeat(": wait\n\n", readBufferSize/8))
	for name, events := range map[string]string{"held back": event("1") + event("2") + event("9"), "in dispute": event("10") + "|" + event("7")} {
		q := newEventSequence("", true)
		q.begin(false, false)
		for read := range strings.SplitSeq(events, "|") {
			if _, err := q.accept([]byte(read)); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		if len(q.held) == 0 {
			t.Fatalf("%s: nothing is held back", name)
		}
		var err error
		for range 2 * maxEventSize / len(comments) {
			if _, err = q.accept(comments); err != nil {
				break
			}
		}
		if len(q.held) > maxEventSize+len(comments) || q.disputed && err == nil {
			t.Errorf("%s: %d bytes are held back, %v", name, len(q.held), err)
		}
	}
}
