package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
	"github.com/dragonflypin/dragonflypin/internal/request/retry"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// copyBuffer is the size of one read from a replica, in bytes; an event of a stream is about 50.
const copyBuffer = 4096

// maxEvent bounds one event of a stream, in bytes. A longer one ends the stream, because it can't be forwarded whole.
const maxEvent = 1 << 20

// errEventTooLong reports an event above maxEvent.
var errEventTooLong = errors.New("event of a stream is too long")

// flow keeps the placer's account of one send.
type flow struct {
	s      *serving
	choice place.Choice
	// started is set once the replica has read the prompt.
	started bool
	// last is when the latest events arrived.
	last time.Time
}

func (fl *flow) start() {
	if !fl.started {
		fl.started = true
		fl.s.f.Placer.FirstEvent(fl.choice, time.Now())
	}
}

func (fl *flow) end() { fl.s.f.Placer.Ended(fl.choice, fl.started, time.Now()) }

// deliver passes an answer on. A failure of the replica is repeated when that is allowed, and passed on otherwise.
func (s *serving) deliver(ctx context.Context, fl *flow, answer *direct.Response, note Attempt) step {
	ok := answer.Status < http.StatusInternalServerError
	if !ok {
		s.f.Placer.Health.Answered(s.r.Service, fl.choice.Key, true, time.Now())
		s.mayRun = true
		if s.began {
			s.f.Observer.Attempted(s.r, note)
			return s.again(fl.choice, nil)
		}
		if _, again := s.mayRepeat(retry.MayHaveRun); again {
			s.f.Observer.Attempted(s.r, note)
			s.excluded = append(s.excluded, fl.choice.Replica.ID)
			return step{again: true}
		}
	}
	var err error
	if answer.Status == http.StatusOK && s.r.Route.Kind == routes.Streaming {
		err = s.stream(fl, answer)
	} else {
		err = s.copy(fl, answer)
	}
	if err == nil {
		if ok {
			s.f.Placer.Health.Answered(s.r.Service, fl.choice.Key, false, time.Now())
		}
		return stop(End{Outcome: OutcomeDelivered, Status: answer.Status})
	}
	s.mayRun = true
	if ctx.Err() != nil {
		return stop(s.expired(ctx.Err()))
	}
	var caller *callerError
	if errors.As(err, &caller) {
		return stop(End{Outcome: OutcomeAbandoned, Err: err})
	}
	note.Err = err
	s.f.Observer.Attempted(s.r, note)
	s.f.Placer.Health.Answered(s.r.Service, fl.choice.Key, true, time.Now())
	return s.again(fl.choice, err)
}

// again goes on at another replica after an answer broke off, or ends the request.
func (s *serving) again(c place.Choice, err error) step {
	s.excluded = append(s.excluded, c.Replica.ID)
	code, ok := s.mayRepeat(retry.MayHaveRun)
	if !ok {
		return stop(s.fail(code, http.StatusBadGateway, err))
	}
	return step{again: true}
}

// callerError reports that the caller can't be written to.
type callerError struct{ err error }

// Error implements error.
func (e *callerError) Error() string { return "write to caller: " + e.err.Error() }

// Unwrap returns the error of the connection.
func (e *callerError) Unwrap() error { return e.err }

func (s *serving) begin(answer *direct.Response, length int64) {
	if s.began {
		return // a stream that goes on keeps the head of its first replica
	}
	s.began = true
	s.to.Begin(answer.Status, s.f.Dialect.Forwarded(answer.Header), length)
}

func (s *serving) write(b []byte) error {
	now := time.Now()
	if s.first == 0 {
		s.first = now.Sub(s.r.Arrived)
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.last))
	}
	s.last = now
	if err := s.to.Write(b); err != nil {
		return &callerError{err}
	}
	return nil
}

// copy passes a plain answer on. Answers of known length are short and are read whole before the first byte is sent, so
// that a broken one can still be repeated.
func (s *serving) copy(fl *flow, answer *direct.Response) error {
	body, err := io.ReadAll(answer)
	fl.start()
	if err != nil {
		return err
	}
	s.begin(answer, int64(len(body)))
	return s.write(body)
}

// stream passes events on as they come, each of them whole, so that a cut stream can go on after the last one.
func (s *serving) stream(fl *flow, answer *direct.Response) error {
	var pending []byte
	buffer := make([]byte, copyBuffer)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			fl.start()
			fl.event(time.Now())
			pending = append(pending, buffer[:n]...)
			rest, writeErr := s.events(answer, pending)
			if writeErr != nil {
				return writeErr
			}
			pending = append(pending[:0], rest...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0:
			s.begin(answer, -1)
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(pending) > maxEvent:
			return errEventTooLong
		}
	}
}

// events sends the whole events at the start of data and returns the rest.
func (s *serving) events(answer *direct.Response, data []byte) ([]byte, error) {
	whole := bytes.LastIndex(data, []byte("\n\n"))
	if whole < 0 {
		return data, nil
	}
	whole += 2
	if id := lastID(data[:whole]); id != "" {
		s.resumeAfter = id
	}
	s.begin(answer, -1)
	return data[whole:], s.write(data[:whole])
}

// event tells the placer of the pause before the events that just arrived.
func (fl *flow) event(now time.Time) {
	if !fl.last.IsZero() {
		fl.s.f.Placer.Board.Paused(fl.choice.Key, now.Sub(fl.last), now)
	}
	fl.last = now
}

// lastID returns the ID of the last event, or "" when no event has one.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
