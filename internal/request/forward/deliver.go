package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
	"github.com/dragonflypin/dragonflypin/internal/process/memory"
	"github.com/dragonflypin/dragonflypin/internal/process/quarantine"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
	"github.com/dragonflypin/dragonflypin/internal/request/retry"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// maxBodyBytes bounds a response that is not a stream, in bytes: it is read completely before it is forwarded. Bodies in the
// published deployment specifications have up to 5 kB.
const maxBodyBytes = 8 << 20

// bodyBlockSize is the size of the blocks in which a body of unknown length is read, in bytes, and firstBlockSize that of the first one.
const (
	bodyBlockSize  = 64 << 10
	firstBlockSize = 4 << 10
)

// errBodyTooLong reports a body above maxBodyBytes.
var errBodyTooLong = errors.New("response body is too long")

// errMemory reports a body or an event for which there is not enough memory.
var errMemory = errors.New("no memory is left to read the response ahead")

// sendTracker reports the progress of one send to the placer.
type sendTracker struct {
	s      *serving
	choice place.Choice
	// started is when the first event arrived, after the replica had prefilled the prompt; zero before.
	started time.Time
	// lastEvents is when the latest events arrived.
	lastEvents time.Time
	// sent is when the request was sent, and answered is set once its answer has gone on (see Guard.Answered).
	sent     time.Time
	answered bool
}

func (t *sendTracker) firstEvent() {
	if t.started.IsZero() {
		t.started = time.Now()
		t.s.f.Placer.FirstEvent(t.choice, t.started)
		t.began()
	}
}

// began reports that the replica began to run the request, once for all sends: a repeat at another replica and a stream that goes on
// there belong to the same attempt of the caller. A stream begins with its first event. Anything else is known to have begun from its
// response or the loss of it, and is reported as begun when it was sent, since replicas begin such requests at once.
func (t *sendTracker) began() {
	s := t.s
	if s.began || s.f.Began == nil {
		return
	}
	s.began = true
	since := t.started
	if since.IsZero() || s.r.Route.Kind != routes.Streaming {
		since = t.sent
	}
	s.f.Began(s.r.Workspace, time.Since(since))
}

// answering returns the time since the first event, or 0 before it.
func (t *sendTracker) answering() time.Duration {
	if t.started.IsZero() {
		return 0
	}
	return time.Since(t.started)
}

// recordAnswered reports that the answer has gone on, once.
func (t *sendTracker) recordAnswered() {
	if !t.answered && !t.started.IsZero() {
		t.answered = true
		t.s.f.Guard.Answered(t.s.r, t.started)
	}
}

func (t *sendTracker) end() {
	t.s.f.Placer.Ended(t.choice, !t.started.IsZero(), time.Now())
}

// errFalsePromise reports a status which promises that the request has not run, without the statement of the replica that it has not.
var errFalsePromise = errors.New("the status promises that the request has not run, and it may have run")

// errSpoiled reports a response that can't be the replica's answer as it was made.
var errSpoiled = errors.New("the response is not the replica's answer")

// deliver forwards a response. A server error of the replica is retried if that is allowed, and forwarded otherwise.
func (s *serving) deliver(ctx context.Context, tracker *sendTracker, response *direct.Response, attempt Attempt) step {
	framingIsLost := response.Framing == direct.FramedByConnection && response.KeepsConnection()
	if framingIsLost || s.f.Dialect.Spoiled(response.Status, response.Header) {
		s.f.Placer.Health.RecordOutcome(s.r.Service, tracker.choice.Key, true, time.Now())
		s.mayHaveRun = true
		tracker.began()
		attempt.Err = errSpoiled
		s.reportAttempt(attempt)
		return s.continueElsewhere(tracker.choice, errSpoiled)
	}
	promise := s.f.Dialect.PromisesNotRun(response.Status)
	ok := response.Status < http.StatusInternalServerError && !promise
	if !ok {
		s.f.Placer.Health.RecordOutcome(s.r.Service, tracker.choice.Key, true, time.Now())
		s.mayHaveRun = true
		tracker.began()
	}
	if s.responseStarted && response.Status != http.StatusOK {
		attempt.Err = errNoContinuation
		s.reportAttempt(attempt)
		return s.continueElsewhere(tracker.choice, errNoContinuation)
	}
	if !ok {
		if _, allowed := s.mayRetry(retry.MayHaveRun); allowed {
			s.reportAttempt(attempt)
			s.excluded = append(s.excluded, tracker.choice.Replica.ID)
			return step{retry: true}
		}
	}
	if promise {
		attempt.Err = errFalsePromise
		s.reportAttempt(attempt)
		return stop(s.fail(CodeMayHaveRun, http.StatusBadGateway, errFalsePromise))
	}
	var err error
	if response.Status == http.StatusOK && s.r.Route.Kind == routes.Streaming {
		err = (&streamForwarder{s: s, tracker: tracker, response: response}).run()
	} else {
		err = s.forwardBody(tracker, response)
	}
	if err == nil {
		if ok {
			s.f.Placer.Health.RecordOutcome(s.r.Service, tracker.choice.Key, false, time.Now())
			tracker.recordAnswered()
		}
		return stop(End{Outcome: OutcomeDelivered, Status: response.Status})
	}
	s.mayHaveRun = true
	if ctx.Err() != nil {
		return stop(s.endByContext(ctx.Err()))
	}
	var caller *callerError
	if errors.As(err, &caller) {
		return stop(s.abandon(err))
	}
	attempt.Err, attempt.Answering = err, tracker.answering()
	s.reportAttempt(attempt)
	s.f.Placer.Health.RecordOutcome(s.r.Service, tracker.choice.Key, true, time.Now())
	return s.retryInterrupted(ctx, tracker, err)
}

// retryInterrupted continues at another replica after a response was interrupted or never began, unless the prompt may have
// crashed the replica.
func (s *serving) retryInterrupted(ctx context.Context, tracker *sendTracker, err error) step {
	i := Interruption{Request: s.r, Choice: tracker.choice, Sent: tracker.sent, Beginning: tracker.answering() < quarantine.StartPeriod}
	if !s.f.Guard.Interrupted(ctx, i) {
		return stop(s.fail(CodeSuspect, http.StatusBadGateway, err))
	}
	return s.continueElsewhere(tracker.choice, err)
}

// continueElsewhere sends a request that may have run to another replica if that is allowed, and ends it otherwise.
func (s *serving) continueElsewhere(c place.Choice, err error) step {
	s.excluded = append(s.excluded, c.Replica.ID)
	code, ok := s.mayRetry(retry.MayHaveRun)
	if !ok {
		return stop(s.fail(code, http.StatusBadGateway, err))
	}
	return step{retry: true}
}

// callerError reports a failed write to the caller.
type callerError struct{ err error }

// Error implements error.
func (e *callerError) Error() string { return "write to caller: " + e.err.Error() }

// Unwrap returns the error of the write.
func (e *callerError) Unwrap() error { return e.err }

func (s *serving) startResponse(response *direct.Response, length int64) {
	if s.responseStarted {
		return // a resumed stream keeps the status and headers of its first replica
	}
	s.responseStarted = true
	s.to.Begin(response.Status, s.f.Dialect.Forwarded(response.Header), length)
}

func (s *serving) write(b []byte) error {
	now := time.Now()
	if s.firstByte == 0 {
		s.firstByte = now.Sub(s.r.Arrived)
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastWrite))
	}
	s.lastWrite = now
	if err := s.to.Write(b); err != nil {
		return &callerError{err}
	}
	return nil
}

// forwardBody forwards a response that is not a stream. Responses of known length are short; they are read completely
// before the first byte is sent, so that an interrupted one can still be retried.
func (s *serving) forwardBody(tracker *sendTracker, response *direct.Response) error {
	charge := s.f.Memory.Charge()
	defer charge.Release()
	body, size, err := readBody(response, &charge)
	tracker.firstEvent()
	if err != nil {
		return err
	}
	if response.Framing == direct.FramedByConnection && isChunked(body) {
		return errSpoiled
	}
	s.startResponse(response, size)
	for _, block := range body {
		if err := s.write(block); err != nil {
			return err
		}
	}
	return nil
}

// isChunked reports whether a body consists of chunks, so that the header that says so has been lost.
func isChunked(body [][]byte) bool {
	readers := make([]io.Reader, 0, len(body))
	for _, block := range body {
		readers = append(readers, bytes.NewReader(block))
	}
	rest := bufio.NewReader(io.MultiReader(readers...))
	if _, err := io.Copy(io.Discard, httputil.NewChunkedReader(rest)); err != nil {
		return false
	}
	end, err := io.ReadAll(rest)
	return err == nil && string(end) == "\r\n"
}

// readBody reads a whole body in blocks, so that it is never copied into a larger buffer, and returns its size.
func readBody(response *direct.Response, charge *memory.Charge) (body [][]byte, size int64, err error) {
	next := int64(firstBlockSize)
	if response.Length >= 0 {
		next = min(response.Length+1, bodyBlockSize) // one more for the end of the body
	}
	for {
		if !charge.Grow(size + next) {
			return nil, 0, errMemory
		}
		block := make([]byte, next)
		n, err := io.ReadFull(response, block)
		body, size = append(body, block[:n]), size+int64(n)
		switch {
		case size > maxBodyBytes:
			return nil, 0, errBodyTooLong
		case errors.Is(err, io.EOF):
			return body, size, nil
		case errors.Is(err, io.ErrUnexpectedEOF) && response.Complete():
			return body, size, nil
		case err != nil:
			return nil, 0, err
		}
		next = bodyBlockSize
	}
}

// recordEvent reports the gap before the events that just arrived to the placer.
func (t *sendTracker) recordEvent(now time.Time) {
	if !t.lastEvents.IsZero() {
		t.s.f.Placer.Loads.RecordGap(t.choice.Key, now.Sub(t.lastEvents), now)
	}
	t.lastEvents = now
}
