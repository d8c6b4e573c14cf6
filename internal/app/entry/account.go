package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/upstream"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/limit"
	"github.com/dragonflypin/dragonflypin/internal/process/metrics"
	"github.com/dragonflypin/dragonflypin/internal/process/usage"
	"github.com/dragonflypin/dragonflypin/internal/request/attempt"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

var limitCodes = map[limit.Result]outcome.Code{
	limit.RequestRate: outcome.CodeRateLimited, limit.TokenRate: outcome.CodeTokenLimited, limit.Concurrency: outcome.CodeConcurrency,
}

// enforceLimits checks the request against the limits of its table row and reserves its tokens. The returned function
// replaces the reservation with the tokens used.
func (e *exchange) enforceLimits(ctx context.Context, req *attempt.Request) (func(used int), *outcome.Error) {
	if rowLimits(&e.row, 0).None() {
		return func(int) {}, nil
	}
	limiter := e.entry.control.limiter
	key := limit.Key{Class: e.row.Class, Workspace: e.workspace.Name}
	tokens := int(req.Ask.PromptTokens + req.Ask.MaxTokens)
	d := limiter.AdmitWait(ctx, key, tokens)
	switch d.Result {
	case limit.Admitted:
		return func(used int) { limiter.Settle(key, tokens, used) }, nil
	case limit.Wait:
		return nil, unavailable(outcome.CodeDeadline, "The limits could not be checked before the deadline.")
	default:
		return nil, &outcome.Error{
			Status: http.StatusTooManyRequests, Code: limitCodes[d.Result], Outcome: outcome.NotRun, RetryAfter: max(d.RetryAfter, time.Millisecond),
			Message: "The workspace has reached a limit of its class: " + d.Result.String() + ".",
		}
	}
}

// recordUsage writes a usage record for each started attempt and returns the tokens used by the last one.
func (e *exchange) recordUsage(ctx context.Context, req *attempt.Request) int {
	used := 0
	for i := range e.trace.Rounds {
		result := &e.trace.Rounds[i].Result
		if result.Number == 0 || result.Started.IsZero() || result.End == attempt.EndNotRun {
			continue
		}
		r := e.usageRecord(ctx, req, result)
		used = int(r.PromptTokens + r.CompletionTokens)
		e.entry.control.writer.Add(r, time.Now())
		e.entry.deps.Metrics.Tokens(e.row.Class, int(r.CompletionTokens-r.WastedTokens), int(r.WastedTokens))
	}
	return used
}

func (e *exchange) usageRecord(ctx context.Context, req *attempt.Request, result *attempt.Result) usage.Record {
	service, owner := e.entry.fleet.identity(result.Upstream)
	r := usage.Record{
		RequestID: e.explanation.RequestID, Attempt: result.Number, Side: usage.SideEntry, UnixMs: time.Now().UnixMilli(),
		Owner: e.workspace.Owner, Workspace: e.workspace.Name, Class: e.row.Class, Model: req.Ask.Model,
		Service: service, Upstream: result.Upstream, UpstreamOwner: owner,
		Outcome: result.End.String(), CompletionTokens: uint64(max(result.Tokens, result.Usage.CompletionTokens)),
	}
	prompt := result.Usage.PromptTokens
	if result.End == attempt.EndCompleted && !req.Ask.Stream && req.Ask.Kind == wire.KindEngine && !e.sink.sent {
		reported := upstream.ParseUsage(e.sink.buf)
		prompt, r.CompletionTokens = reported.PromptTokens, uint64(reported.CompletionTokens)
	}
	if prompt == 0 {
		prompt = req.Ask.PromptTokens
	}
	r.PromptTokens = uint64(prompt)
	if result.End != attempt.EndCompleted {
		r.WastedTokens = r.CompletionTokens
		r.ChargedTo = e.chargedTo(ctx)
	}
	return r
}

// chargedTo returns who is charged for the tokens of an attempt that did not complete.
func (e *exchange) chargedTo(ctx context.Context) usage.ChargedTo {
	switch {
	case e.explanation.CallerGone:
		return usage.ChargeWorkspace
	case ctx.Err() != nil: // cancelled by the router at the deadline
		return usage.ChargeShared
	default:
		return usage.ChargeUpstreamOwner
	}
}

// recordMetrics records the metrics of the ended request.
func (e *exchange) recordMetrics() {
	e.entry.deps.Metrics.Ended(metrics.Request{
		Class: e.explanation.Class, Outcome: string(e.explanation.Outcome), Code: string(e.explanation.Code), Duration: time.Since(e.explanation.Accepted),
		FirstToken: time.Duration(e.explanation.FirstByteMs * float64(time.Millisecond)),
	})
}
