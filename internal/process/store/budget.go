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

// reserve takes one token and returns the delay after which the caller may make its call.
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

// refund returns the token of a call that was not made.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+1)
}

// take waits until the budget allows one call. It fails at once if the context's deadline is earlier than that.
func (b *budget) take(ctx context.Context) error {
	now := time.Now()
	wait := b.reserve(now)
	if wait == 0 {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok && now.Add(wait).After(deadline) {
		b.refund()
		return ErrThrottled
	}
	if !sleep(ctx, wait) {
		b.refund()
		return ErrThrottled
	}
	return nil
}

// Backoff computes exponential retry delays with jitter, so that clients that failed at the same time do not retry at the
// same time. The zero value is not usable; call NewBackoff.
type Backoff struct {
	base, limit, next time.Duration
}

// NewBackoff returns a Backoff whose delays double from base up to limit.
func NewBackoff(base, limit time.Duration) *Backoff {
	return &Backoff{base: base, limit: limit, next: base}
}

// Reset restarts at the smallest delay.
func (b *Backoff) Reset() { b.next = b.base }

// Next returns the next delay: random, between a quarter of the current bound and the bound.
func (b *Backoff) Next() time.Duration {
	bound := b.next
	b.next = min(b.limit, b.next*2)
	return bound/4 + rand.N(bound*3/4+1)
}

// Wait sleeps for the next delay. It returns false if the context ended first.
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
