package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// budget is a token bucket over the process's store calls.
type budget struct {
	mu     sync.Mutex
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

func newBudget(rate, burst float64) *budget {
	return &budget{rate: rate, burst: burst, tokens: burst, last: time.Now()}
}

// reserve takes one call and returns how long the caller has to wait before making it.
func (b *budget) reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// refund returns a reserved call that was not made.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+1)
}

// take waits for the budget to allow one call. It fails without waiting when the context ends before that.
func (b *budget) take(ctx context.Context) error {
	now := time.Now()
	wait := b.reserve(now)
	if wait == 0 {
		return nil
	}
	if end, ok := ctx.Deadline(); ok && now.Add(wait).After(end) {
		b.refund()
		return ErrThrottled
	}
	if !sleep(ctx, wait) {
		b.refund()
		return ErrThrottled
	}
	return nil
}

// Backoff yields growing waits with full jitter, so that clients that failed together do not return together.
// The zero value is not usable; call NewBackoff.
type Backoff struct {
	base, limit, next time.Duration
}

// NewBackoff returns a Backoff whose waits grow from base to limit.
func NewBackoff(base, limit time.Duration) *Backoff {
	return &Backoff{base: base, limit: limit, next: base}
}

// Reset starts again from the smallest wait.
func (b *Backoff) Reset() { b.next = b.base }

// Next returns the next wait, at least a quarter of the current bound.
func (b *Backoff) Next() time.Duration {
	bound := b.next
	b.next = min(b.limit, b.next*2)
	return bound/4 + rand.N(bound*3/4+1)
}

// Wait sleeps for the next wait. It returns false when the context ended first.
func (b *Backoff) Wait(ctx context.Context) bool { return sleep(ctx, b.Next()) }

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
