package forward

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

func event(id string) string { return "id: " + id + "\ndata: x\n\n" }

// Guards against streams with an event missing, twice or from another place, within a response and where it goes on, and against sound
// streams that are cut.
func TestEventSequence(t *testing.T) {
	const unnamed = "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		resumeAfter string
		// parts are the responses of one replica after the other.
		parts []string
		// want is what is forwarded of the last part.
		want string
	}{
		"counted":                         {"", []string{event("1") + event("2") + event("3")}, event("1") + event("2") + event("3")},
		"from 0":                          {"", []string{event("0") + event("1"), event("2")}, event("2")},
		"with gaps":                       {"", []string{event("5") + event("10"), event("15")}, event("15")},
		"CRLF":                            {"", []string{"id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n"}, "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n"},
		"twice":                           {"", []string{event("1") + event("1")}, event("1")},
		"back":                            {"", []string{event("1") + event("2") + event("1")}, event("1") + event("2")},
		"continued":                       {"", []string{event("1") + event("2"), event("3")}, event("3")},
		"continued from the start":        {"", []string{event("1") + event("2"), event("1") + event("2") + event("3")}, ""},
		"continued too late":              {"", []string{event("1"), event("3")}, ""},
		"continued with the same event":   {"", []string{event("1"), event("1") + event("2")}, ""},
		"continued without an ID":         {"", []string{event("1"), unnamed}, ""},
		"continued after a comment":       {"", []string{event("1"), ": wait\n\n" + event("2")}, ": wait\n\n" + event("2")},
		"continued with text":             {"", []string{event("1"), "<h1>no</h1>\n\n"}, ""},
		"resumed by the caller":           {"12", []string{event("13") + event("14")}, event("13") + event("14")},
		"resumed by the caller, gaps":     {"10", []string{event("15"), event("20")}, event("20")},
		"resumed by the caller, at start": {"12", []string{event("1")}, ""},
		"caller's, one late":              {"4", []string{event("5") + event("6") + event("7"), event("9")}, ""},
		"caller's, continued":             {"4", []string{event("5") + event("6") + event("7"), event("8")}, event("8")},
		"caller's, one back":              {"4", []string{event("5") + event("6"), event("6") + event("7")}, ""},
		"caller's, anew":                  {"4", []string{event("5") + event("6"), event("1")}, ""},
		"caller's, asked place":           {"4", []string{event("5") + event("6"), event("5")}, ""},
		"caller's, one late twice":        {"4", []string{event("6") + event("7"), event("9")}, ""},
		"caller's, late within a gap":     {"10", []string{event("15") + event("20"), event("30")}, event("30")},
		"caller's, one event":             {"4", []string{event("5"), event("7")}, ""},
		"caller's, the same event":        {"4", []string{event("4") + event("5")}, ""},
		"caller's word":                   {"x", []string{event("5") + event("6"), event("8")}, ""},
		"caller's word, the same event":   {"x", []string{event("x") + event("y")}, ""},
		"caller's word, continued":        {"x", []string{event("y"), event("z")}, event("z")},
		"counted from 5":                  {"", []string{event("5") + event("6"), event("8")}, ""},
		"counted from 5, continued":       {"", []string{event("5") + event("6"), event("7")}, event("7")},
		"numbers after a word":            {"", []string{event("1") + event("x") + event("5") + event("6"), event("8")}, event("8")},
		"repeated":                        {"", []string{"", event("1")}, event("1")},
		"repeated from 0":                 {"", []string{"", event("0")}, event("0")},
		"repeated one late":               {"", []string{"", event("2")}, ""},
		"repeated after the caller's":     {"4", []string{"", event("5")}, event("5")},
		"repeated one late after it":      {"4", []string{"", event("6")}, ""},
		"repeated with the same event":    {"4", []string{"", event("4")}, ""},
		"repeated anew":                   {"4", []string{"", event("1")}, ""},
		"repeated twice, one late":        {"4", []string{"", "", event("6")}, ""},
		"repeated, words":                 {"", []string{"", event("b")}, event("b")},
		"repeated, no IDs":                {"", []string{"", unnamed}, unnamed},
		"comment, then one late":          {"4", []string{": wait\n\n", event("6")}, ""},
		"comment, then as asked":          {"4", []string{": wait\n\n", event("5")}, event("5")},
		"comment, then late at the start": {"", []string{": wait\n\n", event("2")}, ""},
		"repeated after a comment":        {"4", []string{"", ": wait\n\n" + event("6")}, ": wait\n\n"},
		"words as IDs":                    {"", []string{event("b") + event("a"), event("c")}, event("c")},
		"words as IDs, same event":        {"", []string{event("b"), event("b")}, ""},
		"very long number":                {"", []string{event(strings.Repeat("9", 40)) + event(strings.Repeat("8", 40))}, event(strings.Repeat("9", 40)) + event(strings.Repeat("8", 40))},
		"head of another response":        {"", []string{event("1") + "HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\n" + event("2")}, event("1")},
		"a field that is not defined":     {"", []string{event("1") + "x-weight-versions: 3\n" + event("2")}, event("1") + "x-weight-versions: 3\n" + event("2")},
		"blank lines":                     {"", []string{event("1") + "\n\n\n" + event("2")}, event("1") + "\n\n\n" + event("2")},
	} {
		q := newEventSequence(c.resumeAfter, true)
		var got string
		sent := false
		for i, part := range c.parts {
			q.begin(sent, i > 0)
			ready, err := q.accept([]byte(part))
			if got = string(ready); err == nil && i == len(c.parts)-1 && part != "" {
				rest, _ := q.end()
				got += string(rest)
			}
			sent = sent || got != ""
		}
		if got != c.want {
			t.Errorf("%s: forwarded %q, want %q", name, got, c.want)
		}
	}
}

// Guards against a stream that is continued after an event without an ID, which the next replica would send once more.
func TestUnnamedEventsEndResumption(t *testing.T) {
	for stream, want := range map[string]bool{event("1"): false, event("1") + "data: x\n\n": true, event("1") + ": comment\n\n": false, event("1") + "data: x\n\n" + event("2"): false} {
		q := newEventSequence("", true)
		if _, err := q.accept([]byte(stream)); err != nil || q.unnamed != want {
			t.Errorf("%q: unnamed %t, %v", stream, q.unnamed, err)
		}
	}
}

// Guards against partial events that are taken for whole ones, and the reverse, wherever a read ends.
func TestEventsEnd(t *testing.T) {
	for _, newline := range []string{"\n", "\r\n"} {
		first, second := "id: 1"+newline+"data: a"+newline+newline, "id: 2"+newline+newline
		data := first + second
		for n := range len(data) + 1 {
			want := 0
			switch {
			case n == len(data):
				want = n
			case n >= len(first):
				want = len(first)
			}
			for searched := range n + 1 {
				if searched >= len(first) {
					break // an event ends in these bytes
				}
				if got := eventsEnd([]byte(data[:n]), searched); got != want {
					t.Errorf("%q, %d searched: %d, want %d", data[:n], searched, got, want)
				}
			}
		}
	}
}

// Guards against a search for the end of an event that goes through all of it after each read: a megabyte took seconds of a small edge.
func TestLongEventIsSearchedOnce(t *testing.T) {
	const reads, runs = maxEventSize / readBufferSize, 5
	data := bytes.Repeat([]byte("data: x\n"), maxEventSize/8)
	// shortest is the shortest of some runs, because others use the processor as well.
	shortest := func(f func()) time.Duration {
		best := time.Duration(math.MaxInt64)
		for range runs {
			began := time.Now()
			f()
			best = min(best, time.Since(began))
		}
		return best
	}
	once := shortest(func() { eventsEnd(data, 0) })
	inReads := shortest(func() {
		for n := range reads {
			eventsEnd(data[:(n+1)*readBufferSize], n*readBufferSize)
		}
	})
	// A search of all after each read would take about reads/2 times as long.
	if inReads > reads/8*once {
		t.Errorf("in %d reads: %s, at once: %s", reads, inReads, once)
	}
}

func BenchmarkAcceptEvent(b *testing.B) {
	q := newEventSequence("", true)
	var events [][]byte
	for n := range 1000 {
		events = append(events, []byte(fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", 40))))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%len(events) == 0 {
			q = newEventSequence("", true)
		}
		if _, err := q.accept(events[n%len(events)]); err != nil {
			b.Fatal(err)
		}
	}
}
