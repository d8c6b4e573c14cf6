package attempt

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/retry"
)

const (
	// initialRetryDelay is the first delay before sidecars that refused are asked again. The delay doubles up to
	// maxRetryDelay; each wait is jittered from 0.5 to 1.5 times the delay.
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Chooser selects the targets of a round of asks. failed lists the sidecars that refused or failed in the last rounds.
type Chooser interface {
	Choose(now time.Time, r *Request, failed []string) Choice
}

// Trace records the rounds of a request.
type Trace struct {
	Rounds []Round
}

// Round is one choice with its result.
type Round struct {
	Asked   time.Time
	Targets []string
	Reason  string
	// Committed reports that the single ask carried the body.
	Committed bool
	Result    Result
}

// Runner runs requests, with retries.
type Runner struct {
	Chooser Chooser
	Budget  *retry.Budget
	// Changed returns a channel that is closed at the next change of the fleet that may let a waiting request start.
	Changed func() <-chan struct{}
}

// Run makes attempts until one ends the request, or ctx ends. A result with End 0 means that no target exists.
func (r *Runner) Run(ctx context.Context, req *Request, sink Sink, trace *Trace) Result {
	var number uint32
	var failed []string
	delay := initialRetryDelay
	attempts := 0
	r.Budget.OnRequest(time.Now())
	for {
		changed := r.Changed()
		choice := r.Chooser.Choose(time.Now(), req, failed)
		if len(choice.Targets) == 0 && len(failed) == 0 {
			return Result{}
		}
		if len(choice.Targets) == 0 {
			if !waitForChange(ctx, delay, changed) {
				return Result{End: EndCancelled}
			}
			failed = failed[:0]
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		result := r.round(ctx, req, choice, failed, &number, sink, trace)
		if choice.Committed && result.End == EndRefused && result.saturated() {
			req.Saturated = true // no free slot; further asks are not committed and so wait in the sidecars' queues
			result.Refusals = nil
		}
		for _, refusal := range result.Refusals {
			failed = append(failed, refusal.Upstream)
		}
		if result.End == EndRefused && ctx.Err() == nil {
			continue
		}
		attempts++
		if ctx.Err() != nil || !r.mayRetry(req, sink, &result, attempts) {
			return result
		}
		failed = append(failed, result.Upstream)
	}
}

func (r *Runner) round(ctx context.Context, req *Request, choice Choice, failed []string, number *uint32, sink Sink, trace *Trace) Result {
	asked := time.Now()
	started, result := req.acquireSlot(ctx, choice, number, func(except []string) Upstream {
		other := r.Chooser.Choose(time.Now(), req, append(except, failed...))
		if len(other.Targets) == 0 {
			return nil
		}
		return other.Targets[0]
	})
	if started != nil {
		sink.Started(result.Upstream)
		started.relay(ctx, sink, &result)
	}
	if result.End == EndInterrupted && req.Ask.Kind == wire.KindPlain {
		result.End = EndUnknown // the service may have completed the call
	}
	round := Round{Asked: asked, Reason: choice.Reason, Committed: choice.Committed, Result: result}
	for _, up := range choice.Targets {
		round.Targets = append(round.Targets, up.Name())
	}
	trace.add(round)
	return result
}

// maxRounds bounds the memory of one trace: of a longer trace, the first maxRounds-1 rounds and the last one are kept.
const maxRounds = 16

func (t *Trace) add(round Round) {
	if len(t.Rounds) < maxRounds {
		t.Rounds = append(t.Rounds, round)
		return
	}
	t.Rounds[maxRounds-1] = round
}

// mayRetry reports whether a started attempt may be retried within the budget: it did not run, or the request is
// idempotent and nothing was sent to the caller.
func (r *Runner) mayRetry(req *Request, sink Sink, result *Result, attempts int) bool {
	f := retry.Failure{
		Execution: retry.MayHaveRun, Idempotent: req.Idempotent, ResponseStarted: sink.Sent(), Attempts: attempts,
		Deadline: req.Deadline,
	}
	switch result.End {
	case EndNotRun:
		f.Execution = retry.NotRun
	case EndInterrupted, EndUnknown:
	default:
		return false
	}
	verdict := r.Budget.Decide(time.Now(), f)
	result.Verdict = verdict
	return verdict == retry.Retry
}

// waitForChange waits for a change of the fleet, at most for a jittered delay; it returns false if ctx ends first.
func waitForChange(ctx context.Context, delay time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(delay/2 + time.Duration(rand.Int64N(int64(delay))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-timer.C:
		return true
	}
}

// saturated reports whether the only refusal is RefuseSaturated: the sidecar has no free slot.
func (r *Result) saturated() bool {
	return len(r.Refusals) == 1 && r.Refusals[0].Reason == wire.RefuseSaturated && !r.Refusals[0].Unreachable
}

// Refused returns the reason of the last refusal of a reached sidecar, and the longest delay suggested for a retry.
func (r *Result) Refused() (wire.RefuseReason, time.Duration) {
	var reason wire.RefuseReason
	var wait time.Duration
	for _, refusal := range r.Refusals {
		if !refusal.Unreachable {
			reason = refusal.Reason
		}
		wait = max(wait, refusal.RetryAfter)
	}
	return reason, wait
}
