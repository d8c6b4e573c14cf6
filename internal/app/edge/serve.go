package edge

import (
	"io"
	"net/http"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/request/forward"
)

const (
	// retryAfterStart is when to come back to an edge that has no configuration yet; a restart takes about this long.
	retryAfterStart = 500 * time.Millisecond
	// retryAfterDrain is when to come back from an edge that stops. The caller's next connection reaches another one.
	retryAfterDrain = 30 * time.Millisecond
	// unreadLimit and unreadTime bound what is still read of a body that is refused for its size, so that the caller
	// gets to read the refusal instead of a reset.
	unreadLimit = 128 << 20
	unreadTime  = 5 * time.Second
)

// codes of requests that are not forwarded, for logs and metrics.
const (
	codeNoConfiguration forward.Code = "no_configuration"
	codeDraining        forward.Code = "draining"
	codeNoRoute         forward.Code = "no_route"
	codeKey             forward.Code = "invalid_key"
	codeBodySize        forward.Code = "body_too_large"
	codeBody            forward.Code = "body_unreadable"
)

// ServeHTTP serves one request of a caller.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if e.leaving.Load() {
		// Idle connections stay open: net/http would also close one whose next request it is reading.
		w.Header().Set("Connection", "close")
	}
	id := e.deps.Front.RequestID(r)
	to := e.deps.Front.Responder(w, id)
	v := e.routes.Current()
	if v == nil {
		e.deny(to, id, codeNoConfiguration, forward.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterStart})
		return
	}
	request, denial := e.deps.Front.Decode(v, r, arrived)
	if denial != Allowed {
		e.denied(w, r, to, id, denial)
		return
	}
	if e.refusing.Load() && request.Deadline.After(*e.ends.Load()) {
		e.deny(to, id, codeDraining, forward.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterDrain})
		return
	}
	e.forwarder.Serve(r.Context(), request, to)
	if to.Aborted() {
		panic(http.ErrAbortHandler) // net/http closes the connection, which the caller sees as a cut answer
	}
}

func (e *Edge) denied(w http.ResponseWriter, r *http.Request, to Responder, id string, denial Denial) {
	switch denial {
	case DeniedNoRoute:
		e.deny(to, id, codeNoRoute, forward.Refusal{Status: http.StatusNotFound})
	case DeniedKey:
		e.deny(to, id, codeKey, forward.Refusal{Status: http.StatusUnauthorized})
	case DeniedBodySize:
		w.Header().Set("Connection", "close")
		e.deny(to, id, codeBodySize, forward.Refusal{Status: http.StatusRequestEntityTooLarge})
		readOn(w, r)
	default:
		e.deny(to, id, codeBody, forward.Refusal{Status: http.StatusBadRequest})
	}
}

// readOn reads what the caller is still sending after its refusal was sent.
func readOn(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(unreadTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, unreadLimit) // the refusal was sent; an error ends the connection
}

func (e *Edge) deny(to forward.Responder, id string, code forward.Code, refusal forward.Refusal) {
	refusal.Code = code
	to.Refuse(refusal)
	e.observer.denied(id, refusal, e.version())
}

func (e *Edge) version() uint64 {
	if v := e.routes.Current(); v != nil {
		return v.Number
	}
	return 0
}

// Parts of the time between the order to stop and the kill.
const (
	// leaveTime is how long new connections may still come: the balancer asks once a second and needs two refusals.
	leaveTime = 2100 * time.Millisecond
	// refuseTime is the time from which a new request is refused unless its deadline is before the end of the process.
	refuseTime = 2800 * time.Millisecond
	// exitMargin is kept free before the kill.
	exitMargin = 400 * time.Millisecond
	// settledTime is how long nothing has to be in flight before the process ends.
	settledTime = 300 * time.Millisecond
	drainPoll   = 20 * time.Millisecond
)

// drain stops in steps: it reports not ready at once, serves on while the balancer still sends callers, then asks callers
// to leave with each answer, refuses what could not end in time, and ends when nothing is in flight.
func (e *Edge) drain(server *http.Server) {
	began := time.Now()
	end := began.Add(e.node.StopGrace - exitMargin)
	e.ends.Store(&end)
	e.draining.Store(true)
	e.deps.Log.Emit(eventlog.DrainStarted, eventlog.Count(int(e.inFlight.Load())))
	idleSince := began
	for range time.Tick(drainPoll) {
		now := time.Now()
		elapsed := now.Sub(began)
		if elapsed >= leaveTime {
			e.leaving.Store(true)
		}
		if elapsed >= refuseTime {
			e.refusing.Store(true)
		}
		if e.inFlight.Load() > 0 {
			idleSince = now
		}
		if now.After(end) {
			e.deps.Log.Emit(eventlog.DrainTimedOut, eventlog.Count(int(e.inFlight.Load())))
			break
		}
		if elapsed >= leaveTime+time.Second && now.Sub(idleSince) >= settledTime {
			e.deps.Log.Emit(eventlog.DrainFinished)
			break
		}
	}
	_ = server.Close()
}
