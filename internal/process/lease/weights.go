package lease

import (
	"sync"
	"time"
)

// ReadBudget limits reads of the weight store to one per interval. Only the holder of the lease sends load orders, so a
// limit in its process applies to the whole service. It implements Weights and is safe for concurrent use.
type ReadBudget struct {
	interval time.Duration

	mu   sync.Mutex
	next time.Time
}

// NewReadBudget returns a limiter of one read per interval.
func NewReadBudget(interval time.Duration) *ReadBudget { return &ReadBudget{interval: interval} }

// Reserve implements Weights. If it returns a wait, it reserves nothing; the caller must call it again after the wait.
func (b *ReadBudget) Reserve(now time.Time, _, _ string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait := b.next.Sub(now); wait > 0 {
		return wait
	}
	b.next = now.Add(b.interval)
	return 0
}
