package attempt

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/retry"
)

const (
	// retryWait is the pause before the same sidecars are asked again, unless they name a longer one.
	retryWait    = 20 * time.Millisecond
	maxRetryWait = 500 * time.Millisecond
)

// Chooser proposes targets for a round of asks. Failed holds the sidecars that refused or failed in the last rounds.
type Chooser interface {
	Choose(now time.Time, r *Request, failed []string) Choice
}

// Trace is what a request went through, round by round.
type Trace struct {
	Rounds []Round
}

// Round is one choice with its result.
type Round struct {
	Asked   time.Time
	Targets []string
	Reason  string
	// Committed tells that the single ask carried the body.
	Committed bool
	Result    Result
}

// Runner runs requests to their end.
type Runner struct {
	Chooser Chooser
	Budget  *retry.Budget
	// Changed returns a channel that is closed at the next change of the fleet that could admit a waiting request.
	Changed func() <-chan struct{}
}

// Run makes attempts until one ends the request, or ctx ends. The result with End 0 means that no target exists.
func (r *Runner) Run(ctx context.Context, req *Request, sink Sink, trace *Trace) Result {
	var number uint32
	var failed []string
	wait := retryWait
	started := 0
	r.Budget.OnRequest(time.Now())
	for {
		changed := r.Changed()
		choice := r.Chooser.Choose(time.Now(), req, failed)
		if len(choice.Targets) == 0 && len(failed) == 0 {
			return Result{}
		}
		if len(choice.Targets) == 0 {
			if !pause(ctx, wait, changed) {
				return Result{End: EndCancelled}
			}
			failed = failed[:0]
			wait = min(2*wait, maxRetryWait)
			continue
		}
		result := r.round(ctx, req, choice, failed, &number, sink, trace)
		if choice.Committed && result.End == EndRefused && result.saturated() {
			req.Saturated = true // the sidecar has no free slot; plain asks wait for one, there and elsewhere
			result.Refusals = nil
		}
		for _, refusal := range result.Refusals {
			failed = append(failed, refusal.Upstream)
		}
		if result.End == EndRefused && ctx.Err() == nil {
			continue
		}
		started++
		if ctx.Err() != nil || !r.again(req, sink, &result, started) {
			return result
		}
		failed = append(failed, result.Upstream)
	}
}

func (r *Runner) round(ctx context.Context, req *Request, choice Choice, failed []string, number *uint32, sink Sink, trace *Trace) Result {
	asked := time.Now()
	won, result := req.bind(ctx, choice, number, func(except []string) Upstream {
		other := r.Chooser.Choose(time.Now(), req, append(except, failed...))
		if len(other.Targets) == 0 {
			return nil
		}
		return other.Targets[0]
	})
	if won != nil {
		sink.Started(result.Upstream)
		won.relay(ctx, sink, &result)
	}
	if result.End == EndInterrupted && req.Ask.Kind == wire.KindPlain {
		result.End = EndUnknown // the service may have finished the call
	}
	round := Round{Asked: asked, Reason: choice.Reason, Committed: choice.Committed, Result: result}
	for _, up := range choice.Targets {
		round.Targets = append(round.Targets, up.Name())
	}
	trace.add(round)
	return result
}

// maxRounds bounds the memory of one trace; of a longer one the first rounds and the last are kept.
const maxRounds = 16

func (t *Trace) add(round Round) {
	if len(t.Rounds) < maxRounds {
		t.Rounds = append(t.Rounds, round)
		return
	}
	t.Rounds[maxRounds-1] = round
}

// again tells whether a started attempt may be repeated: it did not run, or it is idempotent and the caller has seen
// nothing of it, within the budget.
func (r *Runner) again(req *Request, sink Sink, result *Result, started int) bool {
	f := retry.Failure{
		Known: retry.MayHaveRun, Idempotent: req.Idempotent, Sent: sink.Sent(), Attempts: started, Deadline: req.Deadline,
	}
	switch result.End {
	case EndNotRun:
		f.Known = retry.NotRun
	case EndInterrupted, EndUnknown:
	default:
		return false
	}
	verdict := r.Budget.Decide(time.Now(), f)
	result.Verdict = verdict
	return verdict == retry.Again
}

// pause waits for a change of the fleet or a jittered time; it returns false when ctx ends.
func pause(ctx context.Context, wait time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(wait/2 + time.Duration(rand.Int64N(int64(wait))))
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

// saturated tells whether the only refusal is for want of a free slot.
func (r *Result) saturated() bool {
	return len(r.Refusals) == 1 && r.Refusals[0].Reason == wire.RefuseSaturated && !r.Refusals[0].Unreachable
}

// Refused returns the reason that most refusals of a result name, and the longest wait that they suggest.
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
