// Package retry decides whether a failed attempt is repeated and whether a slow one is hedged.
// Time and observations are handed in; nothing here does I/O.
package retry

import (
	"math"
	"sync"
	"time"
)

// Known states what is proven about a failed attempt.
type Known uint8

// Knowledge about a failed attempt.
const (
	// NotRun is proven: the upstream never received the work.
	NotRun Known = iota + 1
	// Redirected is NotRun because the sidecar drains. It happens once per planned stop and upstream,
	// so that it does not use the budget.
	Redirected
	// MayHaveRun means that the work was handed over and its result is missing.
	MayHaveRun
)

// Failure describes an attempt that ended without a complete response.
type Failure struct {
	Known Known
	// Idempotent is true when running the work twice is harmless.
	Idempotent bool
	// Sent is true once any byte of a response went to the caller.
	Sent bool
	// Attempts is the number of attempts made so far, 1 or more.
	Attempts int
	// Deadline is the caller's deadline; the zero time means none.
	Deadline time.Time
	// Need is the shortest time in which another attempt can succeed.
	Need time.Duration
}

// Verdict is the decision about one failure.
type Verdict uint8

// Verdicts. Every verdict but Again is a refusal.
const (
	Again Verdict = iota + 1
	// Unsafe means that the work may have run and may not run twice.
	Unsafe
	// TooLate means that the deadline leaves no time for another attempt.
	TooLate
	// TooMany means that the request has used its attempts.
	TooMany
	// OverBudget means that the retry budget is empty.
	OverBudget
)

// String returns the verdict as used in explain and metrics.
func (v Verdict) String() string {
	switch v {
	case Again:
		return "again"
	case Unsafe:
		return "unsafe"
	case TooLate:
		return "too_late"
	case TooMany:
		return "too_many"
	case OverBudget:
		return "over_budget"
	default:
		return "invalid"
	}
}

// Settings of a Budget. Zero fields take the defaults.
type Settings struct {
	// Ratio is the share of recent requests that may be retried. Default 0.1.
	Ratio float64
	// Window is the time constant of "recent". Default 10 s.
	Window time.Duration
	// Reserve is the number of retries that an idle entry may still make. Default 3.
	Reserve float64
	// MaxAttempts bounds the attempts of one request. Default 3.
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

// Budget is a token bucket filled by requests and emptied by retries. It is safe for concurrent use.
type Budget struct {
	set Settings

	mu     sync.Mutex
	recent decayed
	tokens float64
	reset  time.Time
}

// NewBudget returns a Budget that holds its reserve.
func NewBudget(set Settings) *Budget {
	set = set.withDefaults()
	return &Budget{set: set, tokens: set.Reserve}
}

// SetReserve changes the reserve, for budgets that several processes share in a changing number.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set.Reserve = reserve
}

// OnRequest counts a first attempt.
func (b *Budget) OnRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.recent.add(now, b.set.Window, 1)
	b.tokens = math.Min(b.tokens+b.set.Ratio, b.capacity())
}

// Decide returns Again and takes a token if the failed attempt may be repeated now.
func (b *Budget) Decide(now time.Time, f Failure) Verdict {
	if !repeatable(f) {
		return Unsafe
	}
	if f.Attempts >= b.set.MaxAttempts {
		return TooMany
	}
	if !f.Deadline.IsZero() && now.Add(f.Need).After(f.Deadline) {
		return TooLate
	}
	if f.Known == Redirected {
		return Again
	}
	return b.take(now)
}

func (b *Budget) take(now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return OverBudget
	}
	b.tokens--
	return Again
}

// refill restores the reserve over one window and lowers the bucket when traffic falls.
func (b *Budget) refill(now time.Time) {
	b.recent.add(now, b.set.Window, 0)
	if elapsed := now.Sub(b.reset); !b.reset.IsZero() && elapsed > 0 && b.tokens < b.set.Reserve {
		b.tokens = math.Min(b.set.Reserve, b.tokens+b.set.Reserve*elapsed.Seconds()/b.set.Window.Seconds())
	}
	b.reset = now
	b.tokens = math.Min(b.tokens, b.capacity())
}

func (b *Budget) capacity() float64 { return b.set.Reserve + b.set.Ratio*b.recent.value }

func repeatable(f Failure) bool {
	switch f.Known {
	case NotRun, Redirected:
		return !f.Sent
	case MayHaveRun:
		return f.Idempotent && !f.Sent
	default:
		return false
	}
}

// decayed is a sum whose parts lose weight exponentially with age.
type decayed struct {
	value float64
	at    time.Time
}

func (d *decayed) add(now time.Time, window time.Duration, v float64) {
	if age := now.Sub(d.at); !d.at.IsZero() && age > 0 {
		d.value *= math.Exp(-age.Seconds() / window.Seconds())
	}
	if now.After(d.at) {
		d.at = now
	}
	d.value += v
}
