package lease

import (
	"sync"
	"time"
)

// IntervalLimiter limits reads of the weight store to one per interval. Only the holder of the lease sends load orders,
// so a limit in its process applies to the whole service. It implements WeightReadLimiter and is safe for concurrent
// use.
type IntervalLimiter struct {
	interval time.Duration

	mu   sync.Mutex
	next time.Time
}

// NewIntervalLimiter returns a limiter of one read per interval.
func NewIntervalLimiter(interval time.Duration) *IntervalLimiter {
	return &IntervalLimiter{interval: interval}
}

// Reserve implements WeightReadLimiter. If it returns a wait, it reserves nothing; the caller must call it again after
// the wait.
func (l *IntervalLimiter) Reserve(now time.Time, _, _ string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if wait := l.next.Sub(now); wait > 0 {
		return wait
	}
	l.next = now.Add(l.interval)
	return 0
}
