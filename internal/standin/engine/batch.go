package engine

import (
	"context"
	"sync"
)

// batch limits the number of running streams to its slots. Waiting streams are admitted in order of their priority number,
// lowest first, then in order of arrival.
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

func (b *batch) usedSlots() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

func (b *batch) waitingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// acquire waits for a slot.
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
		b.cancel(w)
		return ctx.Err()
	}
}

// cancel removes a waiter whose context ended. It releases the slot if the waiter was admitted in the meantime.
func (b *batch) cancel(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
	b.used--
	b.admitWaiting()
}

func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used--
	b.admitWaiting()
}

func (b *batch) admitWaiting() {
	for b.used < b.slots && len(b.waiting) > 0 {
		next := 0
		for i, w := range b.waiting {
			if w.priority < b.waiting[next].priority ||
				w.priority == b.waiting[next].priority && w.seq < b.waiting[next].seq {
				next = i
			}
		}
		w := b.waiting[next]
		b.waiting = append(b.waiting[:next], b.waiting[next+1:]...)
		b.used++
		close(w.admitted)
	}
}
