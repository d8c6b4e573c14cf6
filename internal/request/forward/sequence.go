package forward

import (
	"bytes"
	"errors"
	"slices"
	"strconv"
)

// Errors of responses that don't continue the caller's stream.
var (
	errNoContinuation    = errors.New("the response is not a continuation of the stream")
	errEmptyContinuation = errors.New("the continuation of the stream has no events")
	errOutOfOrder        = errors.New("a stream event does not follow the one before it")
	errNoEvent           = errors.New("the stream has text that is no event")
	errSpoiledEvent      = errors.New("a stream event has a wrong byte in its ID, a field name or a line break")
	errSpoiledEventSent  = errors.New("a stream event with a wrong byte in its ID, a field name or a line break has been sent")
)

// doubt is why the latest event of a stream may be spoiled by a wrong byte. The event after it resolves the doubt: the pages promise only
// that IDs increase, so that any larger ID may be sound.
type doubt uint8

const (
	noDoubt doubt = iota
	// doubtStep is an ID that does not follow from the IDs before it.
	doubtStep
	// doubtNumber is a number as the ID among IDs that are none, or the reverse.
	doubtNumber
	// doubtNoID is an event without an ID that has a line which may have been the ID.
	doubtNoID
	// doubtNoData is an event without data, which callers ignore.
	doubtNoData
)

// steps are the differences between the numbers of a stream's events.
type steps struct {
	// size is the latest difference, and repeated how many in a row had this size.
	size     uint64
	repeated int
	// changes counts how often an established size was given up.
	changes int
}

const (
	// minRepeatedSteps is how many equal steps establish their size. A single step of 1 does.
	minRepeatedSteps = 2
	// maxStepChanges is the number of changes after which nothing is expected of the steps any more.
	maxStepChanges = 2
)

func (s *steps) vary() bool { return s.changes >= maxStepChanges }

// established reports whether the next step is expected to have the same size.
func (s *steps) established() bool {
	return !s.vary() && (s.size == 1 || s.repeated >= minRepeatedSteps)
}

// expected is the size of the next step, if it is known.
func (s *steps) expected() uint64 {
	if s.established() {
		return s.size
	}
	return 1
}

// ofOne reports whether each number so far is the one before it plus 1, so that a missing event shows.
func (s *steps) ofOne() bool { return s.size == 1 && s.changes == 0 }

func (s *steps) add(size uint64) {
	if size == s.size {
		s.repeated++
		return
	}
	if s.established() {
		s.changes++
	}
	s.size, s.repeated = size, 1
}

// eventSequence checks that the events of a stream follow each other, within the response of one replica and where the stream
// continues at another one. The IDs of events increase if they are numbers. An event that may be spoiled is held back until the next one
// shows whether it is, where the stream could then continue at another replica. The first event is sent at once, because callers wait for it.
type eventSequence struct {
	resumable bool
	// last is the last event that the caller has received, in this request or before it, and before the one ahead of it.
	last, before position
	steps        steps
	// sent is set once the caller has received an event with an ID in this request.
	sent bool
	// joining is set until the first event of a response that continues the stream.
	joining bool
	// repeating is set until the first event with an ID, in the response to a request that another replica may have run before.
	repeating bool
	// unnamed is set while an event without an ID follows last, so that no replica can be told where to continue.
	unnamed bool
	// lost is set once it is not known where the caller's stream ends, so that no replica can be told where to continue.
	lost bool
	// tainted is set once the caller has received a spoiled event. It gets the rest of the stream, so that it can resume after its last
	// event, but the stream does not end as complete.
	tainted bool

	// doubt is about the latest event, whose ID is that of doubted. It is in held unless it has been sent.
	doubt   doubt
	doubted position
	held    []byte
	// doubtedFirst is set if the doubted event is the first one of this request.
	doubtedFirst bool
	// afterDoubted has the numbers that the event after it may have if the latest one is spoiled.
	afterDoubted []uint64
	// unnamedHeld is set if an event without an ID is held back after the one with doubted.
	unnamedHeld bool
	// disputed is set while held has an event whose ID contradicts that of last, and the next event is to show which is wrong.
	disputed bool

	// events, extends and dataless describe the events so far: how many, whether one had lines that are no defined fields, and
	// whether one had no data.
	events            int
	extends, dataless bool
	// ready is what the latest events allow to be sent.
	ready []byte
}

// newEventSequence returns the sequence of a stream. A stream that the caller resumes begins after the event with the ID.
func newEventSequence(resumeAfter string, resumable bool) eventSequence {
	return eventSequence{resumable: resumable, last: newPosition([]byte(resumeAfter))}
}

// begin starts the response of a replica. continuing is set if the caller has received a part of the stream, and repeated if
// another replica may have run the request before.
func (q *eventSequence) begin(continuing, repeated bool) {
	q.joining, q.repeating = continuing, repeated && !q.sent
	q.doubt, q.held, q.unnamedHeld, q.disputed = noDoubt, q.held[:0], false, false
}

// continuable reports whether a replica can be told where to continue the stream.
func (q *eventSequence) continuable() bool { return !q.unnamed && !q.lost && !q.disputed }

// holding reports whether events are held back until another one arrives, and may be sent without it.
func (q *eventSequence) holding() bool { return len(q.held) > 0 && !q.disputed }

// accept checks complete events. It returns what may be sent now, also with an error. The result is valid until the next call.
func (q *eventSequence) accept(events []byte) (ready []byte, err error) {
	q.ready = q.ready[:0]
	for len(events) > 0 && err == nil {
		event := events
		if end := eventEnd(events); end > 0 {
			event = events[:end]
		}
		err = q.acceptEvent(event)
		events = events[len(event):]
	}
	tooLong := len(q.held) > maxEventSize // for example, comments without end after an event
	switch {
	case err != nil:
	case q.disputed && tooLong:
		err = errSpoiledEventSent
	case q.holding() && (tooLong || !q.mayWait()):
		q.sendHeld()
	}
	return q.ready, err
}

// release returns the event that is held back. It is sent although the next one has not arrived.
func (q *eventSequence) release() []byte {
	q.ready = q.ready[:0]
	if q.holding() {
		q.sendHeld()
	}
	return q.ready
}

// end returns what is still to be sent of a response that is complete.
func (q *eventSequence) end() ([]byte, error) {
	switch {
	case q.disputed, q.tainted:
		q.lost = true
		return q.release(), errSpoiledEventSent
	case q.joining:
		// It may be a true end, but nothing shows that all events have been sent.
		return nil, errEmptyContinuation
	default:
		return q.release(), nil
	}
}

func (q *eventSequence) acceptEvent(raw []byte) error {
	e := parseEvent(raw)
	if e.kind == comment && e.position.isStart() {
		q.pass(raw)
		return nil
	}
	if err := q.checkFields(raw, &e); err != nil {
		q.lost = q.lost || q.doubt == doubtNoData && len(q.held) == 0 // the last event has been sent without its data
		return err
	}
	if q.disputed {
		return q.settle(raw, &e)
	}
	if accepted, err := q.resolve(raw, &e); accepted || err != nil {
		return err
	}
	if e.position.isStart() {
		return q.acceptUnnamed(raw, &e)
	}
	if err := q.follows(&e.position); err != nil {
		return err
	}
	if q.doubt = q.judge(&e); q.doubt != noDoubt {
		q.hold(raw, &e.position)
		return nil
	}
	q.record(&e)
	q.pass(raw)
	q.advance(&e.position)
	return nil
}

// checkFields returns an error if the lines of an event are not as they were made.
func (q *eventSequence) checkFields(raw []byte, e *streamEvent) error {
	switch {
	case e.kind == noEvent:
		return errNoEvent
	case !e.isPlain() && e.hasSpoiledField(raw, q.precedent()):
		return errSpoiledEvent
	default:
		return nil
	}
}

// hold holds back an event that is in doubt.
func (q *eventSequence) hold(raw []byte, p *position) {
	q.held = append(q.held, raw...)
	q.doubted.set(p)
	q.unnamedHeld = p.isStart()
	q.doubtedFirst = !q.sent
	q.afterDoubted = q.afterDoubted[:0]
	for _, number := range q.next() {
		q.afterDoubted = append(q.afterDoubted, number+q.steps.expected())
	}
}

// pass sends an event after those that are held back.
func (q *eventSequence) pass(raw []byte) {
	if len(q.held) > 0 {
		q.held = append(q.held, raw...)
	} else {
		q.ready = append(q.ready, raw...)
	}
}

// sendHeld sends the event that is held back.
func (q *eventSequence) sendHeld() {
	q.ready = append(q.ready, q.held...)
	q.held = q.held[:0]
	q.events++
	q.extends = q.extends || q.doubt == doubtNoID
	q.dataless = q.dataless || q.doubt == doubtNoData
	if !q.doubted.isStart() {
		q.advance(&q.doubted)
	}
	q.unnamed = q.unnamed || q.unnamedHeld
	q.unnamedHeld = false
}

// record notes which lines events have.
func (q *eventSequence) record(e *streamEvent) {
	q.events++
	q.extends = q.extends || e.extension
	q.dataless = q.dataless || e.dataFields == 0
}

// precedent returns what the events so far say about the next one.
func (q *eventSequence) precedent() *precedent {
	return &precedent{plain: q.events > 0 && !q.extends, dataless: q.dataless, next: q.next(), step: q.steps.expected()}
}

// next returns the numbers that the next event may have as its ID, as far as that is known. Where a stream may not be resumed, replicas
// need not heed the ID that the caller resumes after.
func (q *eventSequence) next() []uint64 {
	var numbers []uint64
	if q.last.numbered && !q.steps.vary() {
		numbers = append(numbers, q.last.number+q.steps.expected())
	}
	if !q.sent && (q.last.isStart() || !q.resumable) {
		numbers = append(numbers, 0, maxFirstNumber)
	}
	return numbers
}

// expects reports whether the next event may have a number as its ID, as far as that is known.
func (q *eventSequence) expects(number uint64) bool {
	if q.sent && q.last.numbered && !q.steps.vary() {
		return number == q.last.number+q.steps.expected()
	}
	return slices.Contains(q.next(), number)
}

// maxFirstNumber is the largest number of a stream's first event of which it is known that none is missing before it.
const maxFirstNumber = 1

// follows returns an error if an event can't be the next one of the stream.
func (q *eventSequence) follows(p *position) error {
	first := q.joining || !q.sent
	valid := false
	switch last := &q.last; {
	case !q.resumable && !q.sent:
		valid = !bytes.Equal(p.id, last.id)
	case last.isStart():
		valid = !q.repeating || !p.numbered || p.number <= maxFirstNumber
	case !last.numbered || !p.numbered:
		valid = !first || !bytes.Equal(p.id, last.id)
	case q.repeating, q.joining && q.steps.ofOne():
		valid = p.number == last.number+1
	default:
		valid = p.number > last.number
	}
	if !valid {
		return errOutOfOrder
	}
	if q.isNextButOneByte(p) {
		return errSpoiledEvent
	}
	return nil
}

// minNumberDigits is the size of a number below which any other character may be an ID of its own.
const minNumberDigits = 2

// isNextButOneByte reports whether an ID would be that of the next event but for one byte of the number that is no digit, or for the
// space before it.
func (q *eventSequence) isNextButOneByte(p *position) bool {
	if !q.last.numbered || !q.steps.established() || p.numbered && (p.id[0] != '0' || q.last.id[0] == '0') {
		return false
	}
	next := strconv.FormatUint(q.last.number+q.steps.size, 10)
	return len(p.id) > 1 && string(p.id[1:]) == next || len(p.id) == len(next) && len(next) >= minNumberDigits && differsInOneByte(p.id, next)
}

// isNumberButOneByte reports whether an ID would be a number but for one byte. So would some numbers that are not decimal.
func isNumberButOneByte(id []byte) bool {
	digits := 0
	for _, c := range id {
		if c >= '0' && c <= '9' {
			digits++
		}
	}
	return digits == len(id)-1 && len(id) >= minNumberDigits
}

// judge returns the doubt about an event that may be the next one of the stream.
func (q *eventSequence) judge(e *streamEvent) doubt {
	p, last := &e.position, &q.last
	switch {
	case e.dataFields == 0 && !q.dataless:
		return doubtNoData
	case p.numbered && q.expects(p.number):
		return noDoubt
	case (last.numbered != p.numbered && !last.isStart() || last.isStart() && !p.numbered) && !q.steps.vary():
		return doubtNumber
	case !p.numbered:
		return noDoubt
	default:
		return doubtStep
	}
}

// mayWait reports whether the event that is held back may wait for the next one. Where the stream can't continue at another replica, that
// would be of no use, and while nothing is expected of the steps, each event would have to wait.
func (q *eventSequence) mayWait() bool {
	switch {
	case !q.resumable || q.joining:
		return false
	case q.doubt == doubtNoData:
		return true // callers ignore it, also if it is the first one
	case q.doubt == doubtStep:
		return q.sent && q.steps.established()
	default:
		return q.sent
	}
}

// acceptUnnamed accepts an event without an ID.
func (q *eventSequence) acceptUnnamed(raw []byte, e *streamEvent) error {
	switch {
	case q.joining:
		return errOutOfOrder
	case q.doubt == noDoubt && !q.extends && (e.extension || e.idFields > 0 && e.dataFields == 0):
		q.doubt = doubtNoID
		q.hold(raw, &e.position)
		return nil
	}
	q.record(e)
	q.pass(raw)
	if len(q.held) > 0 {
		q.unnamedHeld = true
	} else {
		q.unnamed = true
	}
	return nil
}

// advance records an event that the caller has received.
func (q *eventSequence) advance(p *position) {
	last := &q.last
	switch {
	case !p.numbered:
	case !q.sent && q.expects(p.number):
		q.steps.add(1) // as if the event before it had been sent
	case q.sent && last.numbered:
		q.steps.add(p.number - last.number)
	}
	q.before.set(last)
	last.set(p)
	q.sent, q.joining, q.repeating, q.unnamed = true, false, false, false
}

// resolve ends the doubt about the latest event by the one after it, which it may accept. It returns an error if the latest event is spoiled
// and has not been sent.
func (q *eventSequence) resolve(raw []byte, e *streamEvent) (accepted bool, err error) {
	if q.doubt == noDoubt || q.doubt != doubtNoData && e.position.isStart() {
		return false, nil
	}
	held, p := len(q.held) > 0, &e.position
	spoiled := p.numbered && slices.Contains(q.afterDoubted, p.number)
	switch {
	case q.doubt == doubtNoData:
		spoiled = false // then it would have been followed by text that is no event
	case q.doubt == doubtNumber:
		spoiled = spoiled && (isNumberButOneByte(q.doubted.id) || len(q.doubted.id) < minNumberDigits)
	case q.doubt != doubtStep:
	case !p.numbered || p.number > q.doubted.number:
		spoiled = false
	case held:
		spoiled = true
	case spoiled:
	case q.before.numbered && p.number <= q.before.number:
		return false, errOutOfOrder // smaller than the IDs of two events that have been sent
	default:
		return true, q.dispute(raw, p)
	}
	switch {
	case spoiled && held:
		return false, errSpoiledEvent
	case spoiled:
		return true, q.taint(raw, p)
	case held:
		q.sendHeld()
	}
	if q.doubt == doubtNumber && !q.doubtedFirst {
		q.steps.changes = maxStepChanges
	}
	q.doubt = noDoubt
	return false, nil
}

// dispute holds back an event whose ID contradicts that of the last one, until the event after it shows which of the two is wrong.
func (q *eventSequence) dispute(raw []byte, p *position) error {
	if !q.resumable {
		return errOutOfOrder
	}
	q.disputed = true
	q.held = append(q.held, raw...)
	q.doubted.set(p)
	return nil
}

// settle ends a dispute by the next event. IDs increase, so that there must be room for the ID which one of the two should have had.
func (q *eventSequence) settle(raw []byte, e *streamEvent) error {
	p, doubted := &e.position, &q.doubted
	lastMayBeWrong := p.number > doubted.number && (q.before.numbered && doubted.number >= q.before.number+2 || !q.before.numbered && doubted.number >= 1)
	heldMayBeWrong := p.number >= q.last.number+2
	switch {
	case !p.numbered || !lastMayBeWrong && !heldMayBeWrong:
		return errSpoiledEventSent
	case heldMayBeWrong && !lastMayBeWrong:
		q.disputed = false
		return errSpoiledEvent
	default:
		q.disputed = false
		q.last.set(&q.before)
		q.sendHeld()
		return q.taint(raw, p)
	}
}

// taint accepts the event after a spoiled one that has been sent. Where the caller can't resume the stream, it ends here.
func (q *eventSequence) taint(raw []byte, p *position) error {
	if !q.resumable {
		q.lost = true
		return errSpoiledEventSent
	}
	if q.doubt != doubtNoID {
		q.last.set(&q.before) // the ID of the last event is not its own
	}
	q.tainted, q.doubt = true, noDoubt
	q.pass(raw)
	q.advance(p)
	return nil
}
