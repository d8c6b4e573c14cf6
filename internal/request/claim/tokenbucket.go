package claim

import (
	"context"
	"sync"
	"time"
)

// tokenBucket limits the rate of the store writes of one shard. It allows bursts of one second's writes.
type tokenBucket struct {
	mu     sync.Mutex
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

func newTokenBucket(rate float64) *tokenBucket {
	return &tokenBucket{rate: rate, burst: max(1, rate), tokens: max(1, rate), last: time.Now()}
}

func (b *tokenBucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
}

// take reserves one write and waits until the rate limit allows it or the context ends.
func (b *tokenBucket) take(ctx context.Context) {
	b.mu.Lock()
	b.refill(time.Now())
	b.tokens--
	wait := time.Duration(-b.tokens / b.rate * float64(time.Second))
	b.mu.Unlock()
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// tryTake takes one write if the rate limit allows it now, and reports whether it did.
func (b *tokenBucket) tryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(time.Now())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund returns the token of a write that was not made.
func (b *tokenBucket) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+1)
}
