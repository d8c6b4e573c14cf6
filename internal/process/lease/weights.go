package lease

import (
	"sync"
	"time"
)

// ReadBudget spaces reads of the rate-limited weight store: the holder of the lease gives all load orders, so its budget
// holds for the whole service. It implements Weights and is safe for concurrent use.
type ReadBudget struct {
	interval time.Duration

	mu   sync.Mutex
	next time.Time
}

// NewReadBudget returns a budget of one read each interval.
func NewReadBudget(interval time.Duration) *ReadBudget { return &ReadBudget{interval: interval} }

// Reserve implements Weights. A reservation that has to wait is not recorded; the caller asks again after the wait.
func (b *ReadBudget) Reserve(now time.Time, _, _ string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait := b.next.Sub(now); wait > 0 {
		return wait
	}
	b.next = now.Add(b.interval)
	return 0
}
