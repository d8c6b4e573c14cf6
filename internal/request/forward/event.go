package forward

import (
	"bytes"
	"fmt"
)

// maxNumberDigits bounds the IDs that are compared as numbers.
const maxNumberDigits = 18

// position is the ID of an event. The zero value is the start of a stream.
type position struct {
	id       []byte
	number   uint64
	numbered bool
}

func newPosition(id []byte) position {
	p := position{id: id}
	p.number, p.numbered = parseNumber(id)
	return p
}

func (p *position) isStart() bool { return len(p.id) == 0 }

// set copies another position, whose ID may be in a buffer that is used again.
func (p *position) set(to *position) {
	p.id = append(p.id[:0], to.id...)
	p.number, p.numbered = to.number, to.numbered
}

// parseNumber returns the value of an ID of decimal digits.
func parseNumber(id []byte) (number uint64, ok bool) {
	if len(id) == 0 || len(id) > maxNumberDigits {
		return 0, false
	}
	for _, digit := range id {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		number = 10*number + uint64(digit-'0')
	}
	return number, true
}

// eventKind says what lines up to a blank one are.
type eventKind uint8

const (
	// comment is only comments, or nothing.
	comment eventKind = iota
	// fields are an event: at least one line is a field that the event stream format defines.
	fields
	// noEvent is text of another kind, for example the head of another response.
	noEvent
)

// streamEvent is what the lines of an event say.
type streamEvent struct {
	kind eventKind
	// position is that of the last ID, and idFields the number of ID fields, also empty ones.
	position position
	idFields int
	// dataFields is the number of data fields, and dataBytes the size of their values.
	dataFields, dataBytes int
	// typed is set if the event has a type.
	typed bool
	// extension is set if a line is neither a comment nor a defined field. Callers ignore such lines.
	extension bool
}

// Names of the fields that the event stream format defines.
var (
	idField       = []byte("id")
	dataField     = []byte("data")
	typeField     = []byte("event")
	definedFields = [][]byte{idField, dataField, typeField, []byte("retry")}
)

func isDefined(name []byte) bool {
	for _, defined := range definedFields {
		if bytes.Equal(name, defined) {
			return true
		}
	}
	return false
}

func parseEvent(event []byte) streamEvent {
	var e streamEvent
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch value = bytes.TrimPrefix(value, []byte(" ")); {
		case len(name) == 0: // a comment or the blank line
			continue
		case bytes.Equal(name, idField):
			e.position, e.idFields, e.kind = newPosition(value), e.idFields+1, fields
		case bytes.Equal(name, dataField):
			e.dataFields, e.dataBytes, e.kind = e.dataFields+1, e.dataBytes+len(value), fields
		case isDefined(name):
			e.kind, e.typed = fields, e.typed || bytes.Equal(name, typeField)
		default:
			e.extension = true
			if e.kind == comment {
				e.kind = noEvent // unless a field follows
			}
		}
	}
	return e
}

// isPlain reports whether each line of the event is what callers take it for: an ID, data, or at most a type or a comment.
func (e *streamEvent) isPlain() bool {
	return e.idFields == 1 && !e.position.isStart() && e.dataFields == 1 && e.dataBytes > 0 && !e.extension
}

// precedent is what the events of a stream so far say about the next one.
type precedent struct {
	// plain is set if there were events, and all of their lines were defined fields or comments.
	plain bool
	// dataless is set if there was an event without data.
	dataless bool
	// next has the numbers that the next event may have as its ID, as far as that is known, and step is the difference between two.
	next []uint64
	step uint64
}

// hasSpoiledField reports whether a wrong byte has changed a field of the event, or the blank line after it, into something that
// callers ignore or take for the value of another field.
func (e *streamEvent) hasSpoiledField(event []byte, before *precedent) bool {
	switch {
	case e.idFields > 1:
		return true // two events without the blank line between them
	case e.extension && e.dataFields > 0 && e.dataBytes == 0:
		return true // the value begins on the next line
	case e.extension && e.dataFields == 0 && !e.position.isStart() && !before.dataless:
		return true // callers ignore the event
	case e.dataFields == 0 && hasFieldButOneByte(event, "data:", false), !e.typed && hasFieldButOneByte(event, "event:", false):
		return true
	case e.position.isStart() && hasSpoiledID(event, before.next):
		return true
	}
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0:
		case line[0] == '\r':
			return true // the line feed of a blank line
		case isDefined(name):
			if e.dataFields == 0 && bytes.Contains(value, []byte("data:")) {
				return true // the line break before the data
			}
		case e.isFollowingEvent(line, before):
			return true
		}
	}
	return false
}

// isFollowingEvent reports whether a line is the first one of the next event, because the blank line before it is spoiled: a byte of
// that line is now ahead of the name.
func (e *streamEvent) isFollowingEvent(line []byte, before *precedent) bool {
	name, value, found := bytes.Cut(line[1:], []byte(":"))
	if !found || !isDefined(name) {
		return false
	}
	next := newPosition(bytes.TrimPrefix(value, []byte(" ")))
	increases := bytes.Equal(name, idField) && e.position.numbered && next.numbered && next.number > e.position.number
	return !isLetter(line[0]) || before.plain || increases && (e.dataFields > 1 || next.number == e.position.number+before.step)
}

// hasSpoiledID reports whether an event without an ID has a line with one of the numbers that is an ID field but for one byte, which may be
// the line break before it.
func hasSpoiledID(event []byte, numbers []uint64) bool {
	for _, number := range numbers {
		for _, field := range []string{fmt.Sprintf("id: %d", number), fmt.Sprintf("id:%d", number)} {
			end := bytes.Index(event, []byte(field+"\n"))
			if end < 0 {
				end = bytes.Index(event, []byte(field+"\r"))
			}
			if end > 0 || hasFieldButOneByte(event, field, true) {
				return true
			}
		}
	}
	return false
}

// hasFieldButOneByte reports whether an event has the text at the start of a line, with one wrong byte, which may be a line break. A whole
// text is the whole line.
func hasFieldButOneByte(event []byte, text string, whole bool) bool {
	for from := 0; from+len(text) < len(event); {
		after := event[from+len(text)]
		if differsInOneByte(event[from:], text) && (!whole || after == '\n' || after == '\r') {
			return true
		}
		newline := bytes.IndexByte(event[from:], '\n')
		if newline < 0 {
			return false
		}
		from += newline + 1
	}
	return false
}

// isLetter reports whether a name of a field may begin with a byte.
func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }

// differsInOneByte reports whether exactly one byte of the prefix differs from the first bytes of data, which are as many at least.
func differsInOneByte(data []byte, prefix string) bool {
	different := 0
	for i := range len(prefix) {
		if data[i] != prefix[i] {
			different++
		}
	}
	return different == 1
}

// eventEnd returns the size of the first event in data with the blank line that ends it, or 0 if there is no whole event.
func eventEnd(data []byte) int {
	for end := 0; ; {
		newline := bytes.IndexByte(data[end:], '\n')
		if newline < 0 {
			return 0
		}
		end += newline + 1
		switch rest := data[end:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return end + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return end + 2
		}
	}
}

// eventsEnd returns the size of all whole events in data. No event ends in the first bytes of it that were searched before, so that the
// time for an event that comes in many reads does not grow with the square of its size.
func eventsEnd(data []byte, searched int) int {
	end := 0
	for _, blankLine := range [][]byte{[]byte("\n\n"), []byte("\n\r\n")} {
		from := max(0, searched-len(blankLine)+1)
		if i := bytes.LastIndex(data[from:], blankLine); i >= 0 {
			end = max(end, from+i+len(blankLine))
		}
	}
	return end
}
