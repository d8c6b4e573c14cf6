package edge

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/intake"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/request/forward"
)

const (
	// retryAfterStart is the Retry-After of an edge that has no configuration yet; a restart takes about this long.
	retryAfterStart = 500 * time.Millisecond
	// retryAfterDrain is the Retry-After of a draining edge. The caller's next connection reaches another edge.
	retryAfterDrain = 30 * time.Millisecond
	// retryAfterMemory is the Retry-After of an edge without memory for a request body: about the time of a few responses.
	retryAfterMemory = 200 * time.Millisecond
	// maxDiscardBytes and discardTimeout bound how much of a body refused for its size is still read, so that the caller
	// receives the refusal instead of a connection reset.
	maxDiscardBytes = 128 << 20
	discardTimeout  = 5 * time.Second
)

// Codes of requests that are not forwarded, for logs and metrics.
const (
	codeNoConfiguration forward.Code = "no_configuration"
	codeDraining        forward.Code = "draining"
	codeNoRoute         forward.Code = "no_route"
	codeKey             forward.Code = "invalid_key"
	codeBodySize        forward.Code = "body_too_large"
	codeBody            forward.Code = "body_unreadable"
	codeMemory          forward.Code = "no_memory"
)

// ServeHTTP serves one request of a caller. It implements http.Handler.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if e.closingConnections.Load() {
		// Idle connections are not closed here: net/http could close one whose next request it is already reading.
		w.Header().Set("Connection", "close")
	}
	id := e.deps.Front.RequestID(r)
	responder := e.deps.Front.Responder(w, id)
	v := e.routes.Current()
	if v == nil {
		e.deny(responder, id, codeNoConfiguration, forward.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterStart})
		return
	}
	conn := intake.Of(r)
	body := &chargedBody{ReadCloser: r.Body, conn: conn}
	defer conn.ReleaseBody()
	r.Body = body
	request, denial := e.deps.Front.Decode(v, r, arrived)
	r.Body = body.ReadCloser // what is discarded of a refused body is not kept
	switch {
	case body.refused:
		w.Header().Set("Connection", "close") // the rest of the body is not read
		e.deny(responder, id, codeMemory, forward.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterMemory})
		return
	case denial != Allowed:
		e.denyRequest(w, r, responder, id, denial)
		return
	}
	if e.refusingLate.Load() && request.Deadline.After(*e.exitDeadline.Load()) {
		e.deny(responder, id, codeDraining, forward.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterDrain})
		return
	}
	if !conn.Serve(request.Deadline) {
		panic(http.ErrAbortHandler) // the connection was closed for its limits; the request is not forwarded
	}
	e.forwarder.Serve(r.Context(), request, responder)
	if responder.Aborted() {
		panic(http.ErrAbortHandler) // net/http closes the connection, so that the caller sees a truncated response
	}
}

// errMemory reports a request body for which there is not enough memory.
var errMemory = errors.New("no memory is left for the request body")

// chargedBody charges what is read of a request body to the memory budget, until the request has ended.
type chargedBody struct {
	io.ReadCloser
	conn *intake.Conn
	read int64
	// refused is set when there was not enough memory.
	refused bool
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if n > 0 && !b.conn.GrowBody(b.read) {
		b.refused = true
		return 0, errMemory
	}
	return n, err
}

// denyRequest responds to a request that was denied by Front.Decode.
func (e *Edge) denyRequest(w http.ResponseWriter, r *http.Request, responder Responder, id string, denial Denial) {
	switch denial {
	case DeniedNoRoute:
		e.deny(responder, id, codeNoRoute, forward.Refusal{Status: http.StatusNotFound})
	case DeniedKey:
		e.deny(responder, id, codeKey, forward.Refusal{Status: http.StatusUnauthorized})
	case DeniedBodySize:
		w.Header().Set("Connection", "close")
		e.deny(responder, id, codeBodySize, forward.Refusal{Status: http.StatusRequestEntityTooLarge})
		discardBody(w, r)
	default:
		e.deny(responder, id, codeBody, forward.Refusal{Status: http.StatusBadRequest})
	}
}

// discardBody reads what the caller is still sending after the refusal was sent.
func discardBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes) // the refusal was sent; on an error net/http closes the connection
}

func (e *Edge) deny(responder forward.Responder, id string, code forward.Code, refusal forward.Refusal) {
	refusal.Code = code
	responder.Refuse(refusal)
	e.observer.denied(id, refusal, e.version())
}

func (e *Edge) version() uint64 {
	if v := e.routes.Current(); v != nil {
		return v.Number
	}
	return 0
}

// Phases of the drain between the stop signal and the kill.
const (
	// closeConnectionsAfter is how long new connections may still arrive: the load balancer checks readiness once a second
	// and needs two failures.
	closeConnectionsAfter = 2100 * time.Millisecond
	// refuseLateAfter is the time after which a new request is refused unless its deadline is before the process exits.
	refuseLateAfter = 2800 * time.Millisecond
	// exitMargin is the time reserved between the exit and the kill.
	exitMargin = 400 * time.Millisecond
	// idleBeforeExit is how long no request may be in flight before the process exits.
	idleBeforeExit    = 300 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// drain shuts the server down in phases: it reports not ready, keeps serving while the load balancer still sends callers,
// then adds "Connection: close" to each response, refuses requests that could not end in time, and returns when no request
// is in flight.
func (e *Edge) drain(server *http.Server) {
	began := time.Now()
	deadline := began.Add(e.node.StopGrace - exitMargin)
	e.exitDeadline.Store(&deadline)
	e.draining.Store(true)
	e.deps.Log.Emit(eventlog.DrainStarted, eventlog.Count(int(e.inFlight.Load())))
	go e.leaveDuties()
	idleSince := began
	for range time.Tick(drainPollInterval) {
		now := time.Now()
		elapsed := now.Sub(began)
		if elapsed >= closeConnectionsAfter {
			e.closingConnections.Store(true)
		}
		if elapsed >= refuseLateAfter {
			e.refusingLate.Store(true)
		}
		if e.inFlight.Load() > 0 {
			idleSince = now
		}
		if now.After(deadline) {
			e.deps.Log.Emit(eventlog.DrainTimedOut, eventlog.Count(int(e.inFlight.Load())))
			break
		}
		if elapsed >= closeConnectionsAfter+time.Second && now.Sub(idleSince) >= idleBeforeExit {
			e.deps.Log.Emit(eventlog.DrainFinished)
			break
		}
	}
	_ = server.Close()
}
