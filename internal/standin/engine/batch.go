package engine

import (
	"context"
	"sync"
)

// batch admits streams to the running batch, the lowest priority number first, then in order of arrival.
type batch struct {
	mu      sync.Mutex
	slots   int
	used    int
	seq     uint64
	waiting []*waiter
}

type waiter struct {
	priority int
	seq      uint64
	admitted chan struct{}
}

func newBatch(slots int) *batch { return &batch{slots: slots} }

func (b *batch) running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

func (b *batch) queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// acquire waits for a place in the batch.
func (b *batch) acquire(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.used < b.slots && len(b.waiting) == 0 {
		b.used++
		b.mu.Unlock()
		return nil
	}
	b.seq++
	w := &waiter{priority: priority, seq: b.seq, admitted: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		b.withdraw(w)
		return ctx.Err()
	}
}

// withdraw removes a waiter, and gives its place back when it was admitted in the meantime.
func (b *batch) withdraw(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
	b.used--
	b.admit()
}

func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used--
	b.admit()
}

func (b *batch) admit() {
	for b.used < b.slots && len(b.waiting) > 0 {
		best := 0
		for i, w := range b.waiting {
			if w.priority < b.waiting[best].priority ||
				w.priority == b.waiting[best].priority && w.seq < b.waiting[best].seq {
				best = i
			}
		}
		w := b.waiting[best]
		b.waiting = append(b.waiting[:best], b.waiting[best+1:]...)
		b.used++
		close(w.admitted)
	}
}
