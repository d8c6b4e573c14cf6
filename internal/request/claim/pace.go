package claim

import (
	"context"
	"sync"
	"time"
)

// pace spreads the store writes of a shard over time.
type pace struct {
	mu     sync.Mutex
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

func newPace(rate float64) *pace {
	return &pace{rate: rate, burst: max(1, rate), tokens: max(1, rate), last: time.Now()}
}

func (p *pace) refill(now time.Time) {
	p.tokens = min(p.burst, p.tokens+now.Sub(p.last).Seconds()*p.rate)
	p.last = now
}

// take waits for one write.
func (p *pace) take(ctx context.Context) {
	p.mu.Lock()
	p.refill(time.Now())
	p.tokens--
	wait := time.Duration(-p.tokens / p.rate * float64(time.Second))
	p.mu.Unlock()
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

// tryTake takes one write if none has to wait for it.
func (p *pace) tryTake() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill(time.Now())
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// refund returns a write that was not made.
func (p *pace) refund() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = min(p.burst, p.tokens+1)
}
