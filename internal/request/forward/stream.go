package forward

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
	"github.com/dragonflypin/dragonflypin/internal/process/quarantine"
)

// readBufferSize is the size of one read from a replica, in bytes; an event of a stream is about 50.
const readBufferSize = 4096

// maxEventSize bounds one event of a stream, in bytes. A longer one ends the stream, because it can't be forwarded whole.
const maxEventSize = 1 << 20

// maxEventHold is for how long an event that may be spoiled is held back for the next one. Events may reach their callers 120 ms
// after they were made (pass_ms in the published deployment specifications).
const maxEventHold = 50 * time.Millisecond

// errEventTooLong reports an event above maxEventSize.
var errEventTooLong = errors.New("stream event is too long")

// streamForwarder forwards the stream of one replica.
type streamForwarder struct {
	s        *serving
	tracker  *sendTracker
	response *direct.Response

	// mu serializes the events that arrive and the release of one that was held back. It guards the sequence and the responder.
	mu    sync.Mutex
	timer *time.Timer
	// releaseErr is the error of sending an event that was held back.
	releaseErr error
	ended      bool
}

// run forwards events as they arrive, each of them whole, so that an interrupted stream can resume after the last one.
func (f *streamForwarder) run() error {
	s := f.s
	s.sequence.begin(s.responseStarted, s.mayHaveRun)
	charge := s.f.Memory.Charge()
	defer charge.Release()
	defer f.close()
	var pending []byte
	buffer := make([]byte, readBufferSize)
	for {
		n, err := f.response.Read(buffer)
		if n > 0 {
			f.recordRead()
			searched := len(pending)
			pending = append(pending, buffer[:n]...)
			if searched == 0 && f.response.Framing == direct.FramedByConnection && beginsWithChunk(pending) {
				return errSpoiled
			}
			if end := eventsEnd(pending, searched); end > 0 {
				if acceptErr := f.accept(pending[:end]); acceptErr != nil {
					return acceptErr
				}
				pending = append(pending[:0], pending[end:]...)
			}
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0:
			return f.end()
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(pending) > maxEventSize:
			return errEventTooLong
		case cap(pending) > bodyBlockSize && !charge.Grow(int64(cap(pending))):
			return errMemory
		}
	}
}

// beginsWithChunk reports whether the text begins with the size of a chunk, which no event does.
func beginsWithChunk(text []byte) bool {
	line, _, found := bytes.Cut(text, []byte("\r\n"))
	if !found || len(line) == 0 {
		return false
	}
	_, err := strconv.ParseUint(string(line), 16, 64)
	return err == nil
}

// recordRead reports that a part of the stream has arrived.
func (f *streamForwarder) recordRead() {
	f.tracker.firstEvent()
	f.tracker.recordEvent(time.Now())
	if f.tracker.answering() >= quarantine.StartPeriod {
		f.tracker.recordAnswered()
	}
}

// accept sends what complete events allow to be sent.
func (f *streamForwarder) accept(events []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.releaseErr != nil {
		return f.releaseErr
	}
	ready, err := f.s.sequence.accept(events)
	if writeErr := f.send(ready); writeErr != nil {
		return writeErr
	}
	switch holding := f.s.sequence.holding(); {
	case !holding && f.timer != nil:
		f.timer.Stop()
		f.timer = nil
	case holding && f.timer == nil:
		f.timer = time.AfterFunc(maxEventHold, f.release)
	}
	return err
}

// release sends an event that has been held back for as long as it may be.
func (f *streamForwarder) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.timer = nil
	f.releaseErr = f.send(f.s.sequence.release())
}

// end ends a response that is complete.
func (f *streamForwarder) end() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.releaseErr != nil {
		return f.releaseErr
	}
	ready, err := f.s.sequence.end()
	if err == nil {
		f.s.startResponse(f.response, -1)
	}
	if writeErr := f.send(ready); writeErr != nil {
		return writeErr
	}
	return err
}

// close ends the use of the sequence and the responder.
func (f *streamForwarder) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	if f.timer != nil {
		f.timer.Stop()
	}
}

func (f *streamForwarder) send(events []byte) error {
	if len(events) == 0 {
		return nil
	}
	f.s.startResponse(f.response, -1)
	return f.s.write(events)
}
