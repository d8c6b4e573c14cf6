package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/admit"
	"github.com/dragonflypin/dragonflypin/internal/request/attempt"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

const (
	// maxBufferedBytes is the size up to which a response that is not streamed is buffered until it is complete, so that
	// its header can state the outcome and another attempt can replace an interrupted response.
	maxBufferedBytes = 1 << 20
	// writeGrace is the time after the deadline in which the error event of a stream can still be written.
	writeGrace = 2 * time.Second
)

// sink writes the response to the caller. It implements attempt.Sink.
type sink struct {
	e      *exchange
	rc     *http.ResponseController
	waiter *admit.Waiter
	stream bool
	engine bool
	head   *wire.Head
	buf    []byte
	sent   bool
	// waitRecorded is set when the first attempt starts, or when the request ends without a start.
	waitRecorded bool
}

func newSink(e *exchange, req *attempt.Request, waiter *admit.Waiter) *sink {
	s := &sink{e: e, rc: http.NewResponseController(e.w), waiter: waiter, stream: req.Ask.Stream, engine: req.Ask.Kind == wire.KindEngine}
	_ = s.rc.SetWriteDeadline(req.Deadline.Add(writeGrace)) // only response writers of tests do not support it
	return s
}

// Started implements attempt.Sink: it ends the queue wait of the request.
func (s *sink) Started(string) {
	s.waiter.Started(time.Now())
	s.recordWait()
}

// recordWait records the queue wait once.
func (s *sink) recordWait() {
	if !s.waitRecorded {
		s.waitRecorded = true
		s.e.entry.deps.Metrics.Dequeued(s.e.row.Class, time.Since(s.e.explanation.Accepted))
	}
}

// Sent implements attempt.Sink.
func (s *sink) Sent() bool { return s.sent }

// Head implements attempt.Sink.
func (s *sink) Head(h *wire.Head) error {
	s.head, s.buf = h, s.buf[:0]
	return nil
}

// Chunk implements attempt.Sink.
func (s *sink) Chunk(c *wire.Chunk) error {
	streaming := s.stream && s.status() == http.StatusOK
	if !s.sent {
		if !streaming && len(s.buf)+len(c.Data) <= maxBufferedBytes {
			s.buf = append(s.buf, c.Data...)
			return nil
		}
		s.sendHeader()
		if _, err := s.e.w.Write(s.buf); err != nil {
			return err
		}
		s.buf = nil
	}
	if _, err := s.e.w.Write(c.Data); err != nil {
		return err
	}
	if streaming {
		return s.rc.Flush()
	}
	return nil
}

func (s *sink) status() int {
	if s.head == nil {
		return http.StatusOK
	}
	return int(s.head.Status)
}

// sendHeader sends the header of a response whose outcome follows in the trailer.
func (s *sink) sendHeader() {
	s.sent = true
	s.copyHeader()
	s.e.w.Header().Set("Trailer", outcome.HeaderOutcome)
	s.e.w.WriteHeader(s.status())
}

func (s *sink) copyHeader() {
	h := s.e.w.Header()
	for _, f := range s.head.Header {
		if !strings.HasPrefix(f.Name, "Dragonflypin-") {
			h.Add(f.Name, f.Value)
		}
	}
}

// engineFailed reports whether an engine responded with a server error of which nothing has been sent to the caller.
func (s *sink) engineFailed() bool {
	return s.engine && !s.sent && s.status() >= http.StatusInternalServerError
}

// complete ends a complete response.
func (s *sink) complete() {
	h := s.e.w.Header()
	if s.sent {
		h.Set(outcome.HeaderOutcome, string(outcome.Completed))
		return
	}
	s.copyHeader()
	h.Set(outcome.HeaderOutcome, string(outcome.Completed))
	if s.e.r.Method != http.MethodHead && bodyAllowed(s.status()) {
		h.Set("Content-Length", strconv.Itoa(len(s.buf)))
	}
	s.e.w.WriteHeader(s.status())
	_, _ = s.e.w.Write(s.buf) // the caller may have disconnected; the outcome does not depend on it
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// fail ends a response of which a part was sent. A stream gets the error as its last event. For any other response, abort
// is true: the connection must be closed abruptly, because the reader could mistake the part for the complete response.
func (s *sink) fail(oerr *outcome.Error) (abort bool) {
	if !s.stream {
		return true
	}
	event := append([]byte("data: "), oerr.JSON()...)
	_, _ = s.e.w.Write(append(event, "\n\n"...)) // the caller may have disconnected
	s.e.w.Header().Set(outcome.HeaderOutcome, string(oerr.Outcome))
	return false
}
