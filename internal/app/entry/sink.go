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
	// bufferedAnswer is the size up to which an answer that is not a stream is held until it is complete, so that its
	// header can state the outcome and a cut answer can be replaced by another attempt's.
	bufferedAnswer = 1 << 20
	// writeGrace is how long after the deadline the error event of a stream may take.
	writeGrace = 2 * time.Second
)

// sink writes the answer to the caller. It implements attempt.Sink.
type sink struct {
	e      *exchange
	rc     *http.ResponseController
	ticket *admit.Waiter
	stream bool
	engine bool
	head   *wire.Head
	buf    []byte
	sent   bool
	// started is set at the first start, or at the end without one.
	started bool
}

func newSink(e *exchange, req *attempt.Request, ticket *admit.Waiter) *sink {
	s := &sink{e: e, rc: http.NewResponseController(e.w), ticket: ticket, stream: req.Ask.Stream, engine: req.Ask.Kind == wire.KindEngine}
	_ = s.rc.SetWriteDeadline(req.Deadline.Add(writeGrace)) // unsupported only by test writers
	return s
}

// Started implements attempt.Sink: the request no longer waits.
func (s *sink) Started(string) {
	s.ticket.Started(time.Now())
	s.dequeued()
}

// dequeued counts the end of the wait, once.
func (s *sink) dequeued() {
	if !s.started {
		s.started = true
		s.e.t.deps.Metrics.Dequeued(s.e.row.Class, time.Since(s.e.x.Accepted))
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
		if !streaming && len(s.buf)+len(c.Data) <= bufferedAnswer {
			s.buf = append(s.buf, c.Data...)
			return nil
		}
		s.begin()
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

// begin sends the header of an answer whose outcome follows in the trailer.
func (s *sink) begin() {
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

// upstreamFailed tells whether an engine answered with a failure of its own, which the caller has not seen.
func (s *sink) upstreamFailed() bool {
	return s.engine && !s.sent && s.status() >= http.StatusInternalServerError
}

// complete ends a whole answer.
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
	_, _ = s.e.w.Write(s.buf) // the caller may have gone; the outcome does not depend on it
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// fail ends an answer of which a part was sent. A stream gets the error as its last event; anything else must be cut,
// because its reader could take the part for the whole.
func (s *sink) fail(oerr *outcome.Error) (abort bool) {
	if !s.stream {
		return true
	}
	event := append([]byte("data: "), oerr.JSON()...)
	_, _ = s.e.w.Write(append(event, "\n\n"...)) // the caller may have gone
	s.e.w.Header().Set(outcome.HeaderOutcome, string(oerr.Outcome))
	return false
}
