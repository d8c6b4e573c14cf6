package forward

import (
	"bytes"
	"errors"
)

// Errors of responses that don't continue the caller's stream.
var (
	errNoContinuation    = errors.New("the response is not a continuation of the stream")
	errEmptyContinuation = errors.New("the continuation of the stream has no events")
	errOutOfOrder        = errors.New("a stream event does not follow the one before it")
	errNoEvent           = errors.New("the stream has text that is no event")
)

// steps is what the numbers of a stream's events have shown so far.
type steps uint8

const (
	// stepsUnknown is before a second number.
	stepsUnknown steps = iota
	// stepsOfOne means that each number is the one before it plus 1, so that a missing event shows.
	stepsOfOne
	// stepsVary means that the numbers only increase, or that not all IDs are numbers.
	stepsVary
)

// eventSequence checks that the events of a stream follow each other, within the response of one replica and where the stream
// continues at another one. The IDs of events increase if they are numbers.
type eventSequence struct {
	// last is the ID of the last event that the caller has received, in this request or before it.
	last []byte
	// number is last as a number, if numbered is set.
	number   uint64
	numbered bool
	steps    steps
	// sent is set once the caller has received an event with an ID in this request.
	sent bool
	// joining is set until the first event of a response that continues the stream.
	joining bool
	// repeating is set until the first event with an ID, in the response to a request that another replica may have run before.
	repeating bool
	// unnamed is set while an event without an ID follows last, so that no replica can be told where to continue.
	unnamed bool
}

// newEventSequence returns the sequence of a stream. A stream that the caller resumes begins after the event with the ID.
func newEventSequence(resumeAfter string, resumable bool) eventSequence {
	q := eventSequence{last: []byte(resumeAfter)}
	if resumable {
		q.number, q.numbered = parseNumber(q.last)
	}
	return q
}

// begin starts the response of a replica. continuing is set if the caller has received a part of the stream, and repeated if
// another replica may have run the request before.
func (q *eventSequence) begin(continuing, repeated bool) {
	q.joining, q.repeating = continuing, repeated && !q.sent
}

// accept checks complete events. It returns the size of those that may be forwarded, which is less than all of them with an error.
func (q *eventSequence) accept(events []byte) (int, error) {
	accepted := 0
	for accepted < len(events) {
		event := events[accepted:]
		if end := eventEnd(event); end > 0 {
			event = event[:end]
		}
		if err := q.acceptEvent(event); err != nil {
			return accepted, err
		}
		accepted += len(event)
	}
	return accepted, nil
}

func (q *eventSequence) acceptEvent(event []byte) error {
	id, kind := eventFields(event)
	switch {
	case kind == noEvent:
		return errNoEvent
	case len(id) == 0 && kind == comment:
		return nil
	case len(id) == 0 && q.joining:
		return errOutOfOrder
	case len(id) == 0:
		q.unnamed = true
		return nil
	}
	number, numbered := parseNumber(id)
	if !q.follows(id, number, numbered) {
		return errOutOfOrder
	}
	q.steps = q.stepsWith(number, numbered)
	q.last = append(q.last[:0], id...)
	q.number, q.numbered, q.sent, q.joining, q.repeating, q.unnamed = number, numbered, true, false, false, false
	return nil
}

// maxFirstNumber is the largest number of a stream's first event of which it is known that none is missing before it.
const maxFirstNumber = 1

// follows reports whether an event may be the next one of the stream.
func (q *eventSequence) follows(id []byte, number uint64, numbered bool) bool {
	first := q.joining || !q.sent
	switch {
	case len(q.last) == 0:
		return !q.repeating || !numbered || number <= maxFirstNumber
	case !q.numbered || !numbered:
		return !first || !bytes.Equal(id, q.last)
	case q.repeating, q.joining && q.steps == stepsOfOne:
		return number == q.number+1
	default:
		return number > q.number
	}
}

// stepsWith returns the steps with the number of the next event. A step from the ID of the caller counts only if it is 1: a larger
// one may be that of a response with an event missing.
func (q *eventSequence) stepsWith(number uint64, numbered bool) steps {
	switch {
	case len(q.last) == 0 && numbered && number <= maxFirstNumber:
		return stepsOfOne
	case q.numbered && numbered && number == q.number+1 && q.steps != stepsVary:
		return stepsOfOne
	case !q.sent:
		return stepsUnknown
	default:
		return stepsVary
	}
}

// maxNumberDigits bounds the IDs that are compared as numbers.
const maxNumberDigits = 18

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

// eventFields returns the ID of an event, or none, and its kind.
func eventFields(event []byte) (id []byte, kind eventKind) {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(name) == 0: // a comment or the blank line
		case string(name) == "id":
			id, kind = bytes.TrimSpace(value), fields
		case string(name) == "data", string(name) == "event", string(name) == "retry":
			kind = fields
		case kind == comment:
			kind = noEvent // unless a field follows
		}
	}
	return id, kind
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
