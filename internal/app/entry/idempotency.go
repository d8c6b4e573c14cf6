package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/request/admit"
	"github.com/dragonflypin/dragonflypin/internal/request/attempt"
	"github.com/dragonflypin/dragonflypin/internal/request/claim"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// finishTimeout bounds the wait until a claim's result is recorded. After that the claim log writes it later, unless the
// process exits first.
const finishTimeout = 10 * time.Second

// runOnce claims the idempotency key of a non-idempotent call and runs it. If the key is already claimed, it responds with
// the response of the first call if that completed. Otherwise it returns an error: the key was used for another call, or
// the first call is still running, did not complete, or may have run.
func (e *exchange) runOnce(req *attempt.Request) *outcome.Error {
	value := e.r.Header.Get(HeaderIdempotencyKey)
	if value == "" {
		return &outcome.Error{
			Status: http.StatusBadRequest, Code: outcome.CodeIdempotencyNeeded, Outcome: outcome.NotRun,
			Message: fmt.Sprintf("A %s call needs an %s header.", e.r.Method, HeaderIdempotencyKey),
		}
	}
	if len(value) > claim.MaxKeyBytes {
		return admit.Invalid(fmt.Sprintf("The %s is longer than %d bytes.", HeaderIdempotencyKey, claim.MaxKeyBytes))
	}
	key := claim.Key{Workspace: e.workspace.Name, Service: req.Service, Value: value}
	state, err := e.entry.control.claims.Claim(e.r.Context(), key, claim.BodyHash(req.Ask.Method, req.Ask.Path, req.Body), e.explanation.RequestID)
	if err != nil {
		return unavailable(outcome.CodeClaimUnavailable, "The call cannot be claimed now, so that it was not run.")
	}
	if state.Status != claim.Granted {
		return e.respondToRepeat(&state)
	}
	req.MayStart = func() bool { return state.MayStart(time.Now()) }
	if state.ValidUntil.Before(req.Deadline) {
		req.Deadline = state.ValidUntil
	}
	oerr := e.run(req)
	e.finishClaim(key, oerr)
	return oerr
}

// finishClaim records the result in the background. The response does not wait for it, but a drain does.
func (e *exchange) finishClaim(key claim.Key, oerr *outcome.Error) {
	result := claim.Result{Outcome: outcome.Completed}
	if oerr != nil {
		result = claim.Result{Outcome: oerr.Outcome, Status: oerr.Status}
	} else {
		result.Status, result.Header = e.sink.status(), e.sink.head.Header
		result.Body, result.Dropped = e.sink.buf, e.sink.sent
	}
	entry, id := e.entry, e.explanation.RequestID
	entry.active.Add(1)
	go func() {
		defer entry.active.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		if err := entry.control.claims.Finish(ctx, key, id, result); err != nil {
			entry.log.Emit(eventlog.ClaimsUnavailable, eventlog.Request(id), eventlog.Err(err))
		}
	}()
}

// respondToRepeat responds to a call whose key is already claimed.
func (e *exchange) respondToRepeat(state *claim.State) *outcome.Error {
	switch state.Status {
	case claim.Mismatch:
		return &outcome.Error{
			Status: http.StatusUnprocessableEntity, Code: outcome.CodeIdempotencyReuse, Outcome: outcome.NotRun,
			Message: "The " + HeaderIdempotencyKey + " was used for another call.",
		}
	case claim.Active:
		return &outcome.Error{
			Status: http.StatusConflict, Code: outcome.CodeIdempotencyActive, Outcome: outcome.Unknown, RetryAfter: retryAfter,
			Message: "A call with this " + HeaderIdempotencyKey + " is running.",
		}
	case claim.Finished:
		if state.Result.Outcome == outcome.Completed {
			e.replay(&state.Result)
			return nil
		}
		return upstreamFailed(state.Result.Outcome, "The first call with this "+HeaderIdempotencyKey+" did not complete.")
	default:
		return upstreamFailed(outcome.Unknown, "The first call with this "+HeaderIdempotencyKey+" may have run.")
	}
}

// replay writes the stored response. Of a response that was too long to store, only the status is left.
func (e *exchange) replay(result *claim.Result) {
	e.sink = &sink{e: e, head: &wire.Head{Status: uint16(result.Status), Header: result.Header}, buf: result.Body}
	e.sink.complete()
}
