// Package retry decides whether a failed attempt is retried and whether a slow one is hedged.
// Time and observations are passed in; the package does no I/O.
package retry

import (
	"math"
	"sync"
	"time"
)

// Execution is what is known about the execution of a failed attempt.
type Execution uint8

// Values of Execution.
const (
	// NotRun means that the upstream certainly did not run the request.
	NotRun Execution = iota + 1
	// Redirected means NotRun because the sidecar drains. It does not count against the budget, because it happens only
	// once per planned stop and upstream.
	Redirected
	// MayHaveRun means that the request was sent to the upstream and its result is missing.
	MayHaveRun
)

// Failure describes an attempt that ended without a complete response.
type Failure struct {
	Execution Execution
	// Idempotent is true when executing the request twice is safe.
	Idempotent bool
	// ResponseStarted is true once any byte of a response was sent to the caller.
	ResponseStarted bool
	// Attempts is the number of attempts made so far, 1 or more.
	Attempts int
	// Deadline is the caller's deadline; the zero time means none.
	Deadline time.Time
	// MinAttemptTime is the minimum duration of another successful attempt.
	MinAttemptTime time.Duration
}

// Verdict is the decision about one failure.
type Verdict uint8

// Verdicts. Every verdict except Retry means that the attempt is not retried.
const (
	Retry Verdict = iota + 1
	// Unsafe means that a part of a response was sent, or that the request may have run and is not idempotent.
	Unsafe
	// TooLate means that there is no time for another attempt before the deadline.
	TooLate
	// TooManyAttempts means that the request has reached Settings.MaxAttempts.
	TooManyAttempts
	// OverBudget means that the retry budget is empty.
	OverBudget
)

// String returns the verdict as used in explain and metrics.
func (v Verdict) String() string {
	switch v {
	case Retry:
		return "again"
	case Unsafe:
		return "unsafe"
	case TooLate:
		return "too_late"
	case TooManyAttempts:
		return "too_many"
	case OverBudget:
		return "over_budget"
	default:
		return "invalid"
	}
}

// Settings configures a Budget. Zero fields take the defaults.
type Settings struct {
	// Ratio is the share of recent requests that may be retried. Default 0.1.
	Ratio float64
	// Window is the time constant of the exponential decay that defines recent requests, and the time over which the
	// reserve is restored. Default 10 s.
	Window time.Duration
	// Reserve is the number of retries allowed without recent requests. Default 3.
	Reserve float64
	// MaxAttempts is the maximum number of attempts of one request. Default 3.
	MaxAttempts int
}

func (s Settings) withDefaults() Settings {
	if s.Ratio == 0 {
		s.Ratio = 0.1
	}
	if s.Window == 0 {
		s.Window = 10 * time.Second
	}
	if s.Reserve == 0 {
		s.Reserve = 3
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = 3
	}
	return s
}

// Budget is a token bucket to which requests add tokens and from which retries take them. It is safe for concurrent
// use.
type Budget struct {
	settings Settings

	mu             sync.Mutex
	recentRequests decayingSum
	tokens         float64
	refilledAt     time.Time
}

// NewBudget returns a Budget whose bucket contains the reserve.
func NewBudget(settings Settings) *Budget {
	settings = settings.withDefaults()
	return &Budget{settings: settings, tokens: settings.Reserve}
}

// SetReserve changes the reserve. A reserve that is divided among processes changes with their number.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings.Reserve = reserve
}

// OnRequest counts a first attempt.
func (b *Budget) OnRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.recentRequests.add(now, b.settings.Window, 1)
	b.tokens = math.Min(b.tokens+b.settings.Ratio, b.capacity())
}

// Decide returns Retry and takes a token if the failed attempt may be retried now.
func (b *Budget) Decide(now time.Time, f Failure) Verdict {
	if !retryable(f) {
		return Unsafe
	}
	if f.Attempts >= b.settings.MaxAttempts {
		return TooManyAttempts
	}
	if !f.Deadline.IsZero() && now.Add(f.MinAttemptTime).After(f.Deadline) {
		return TooLate
	}
	if f.Execution == Redirected {
		return Retry
	}
	return b.takeToken(now)
}

func (b *Budget) takeToken(now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return OverBudget
	}
	b.tokens--
	return Retry
}

// refill restores the reserve over one window, and reduces the tokens to the capacity when traffic has decreased.
func (b *Budget) refill(now time.Time) {
	b.recentRequests.add(now, b.settings.Window, 0)
	if elapsed := now.Sub(b.refilledAt); !b.refilledAt.IsZero() && elapsed > 0 && b.tokens < b.settings.Reserve {
		b.tokens = math.Min(b.settings.Reserve, b.tokens+b.settings.Reserve*elapsed.Seconds()/b.settings.Window.Seconds())
	}
	b.refilledAt = now
	b.tokens = math.Min(b.tokens, b.capacity())
}

// capacity returns the maximum number of tokens.
func (b *Budget) capacity() float64 {
	return b.settings.Reserve + b.settings.Ratio*b.recentRequests.value
}

// retryable reports whether another attempt is safe.
func retryable(f Failure) bool {
	switch f.Execution {
	case NotRun, Redirected:
		return !f.ResponseStarted
	case MayHaveRun:
		return f.Idempotent && !f.ResponseStarted
	default:
		return false
	}
}

// decayingSum is a sum whose summands decay exponentially with age.
type decayingSum struct {
	value     float64
	updatedAt time.Time
}

func (d *decayingSum) add(now time.Time, window time.Duration, v float64) {
	if age := now.Sub(d.updatedAt); !d.updatedAt.IsZero() && age > 0 {
		d.value *= math.Exp(-age.Seconds() / window.Seconds())
	}
	if now.After(d.updatedAt) {
		d.updatedAt = now
	}
	d.value += v
}
