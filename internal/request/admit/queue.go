package admit

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/admit/overload"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// shedInterval is the interval between checks for waiting requests to shed.
const shedInterval = 100 * time.Millisecond

// ShedError is the cancellation cause of a request that was shed while it waited.
type ShedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *ShedError) Error() string { return "request shed while waiting" }

// Queue tracks the requests of one entry that wait for a slot. Each service or model has its own overload controller. A
// Queue is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	limit    int
	lastID   uint64
	services map[string]*overload.Controller
	waiters  map[uint64]*Waiter
	byClass  map[string]int
}

// Waiter is a request in a Queue.
type Waiter struct {
	queue   *Queue
	service *overload.Controller
	id      uint64
	class   string
	cancel  func(error)
	// OnlyWaiter reports that no other request was waiting for the service when this one was queued.
	OnlyWaiter bool
}

// NewQueue returns a Queue with at most limit waiting requests for each service.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, services: map[string]*overload.Controller{}, waiters: map[uint64]*Waiter{}, byClass: map[string]int{}}
}

// Enqueue queues a request, unless the verdict is a refusal. If the request is shed later, cancel is called with a
// *ShedError.
func (q *Queue) Enqueue(now time.Time, service string, row *table.Row, deadline time.Time, cancel func(error)) (*Waiter, overload.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.services[service]
	if c == nil {
		c = overload.New(overload.Config{MaxQueue: q.limit})
		q.services[service] = c
	}
	q.lastID++
	verdict := c.Offer(now, &overload.Request{
		ID: q.lastID, Class: row.Class, Priority: uint8(row.Priority), Weight: uint16(row.Weight), Protected: row.Protected,
		TTFTTarget: row.TTFTTarget, MaxWait: row.MaxWait, Deadline: deadline,
	})
	if !verdict.Admitted() {
		return nil, verdict
	}
	w := &Waiter{queue: q, service: c, id: q.lastID, class: row.Class, cancel: cancel, OnlyWaiter: c.Queued() == 1}
	q.waiters[w.id] = w
	q.byClass[w.class]++
	q.shed(now, c)
	return w, verdict
}

// Run periodically sheds waiting requests until ctx ends.
func (q *Queue) Run(ctx context.Context) {
	ticker := time.NewTicker(shedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			q.mu.Lock()
			for _, c := range q.services {
				if c.Queued() > 0 {
					q.shed(now, c)
				}
			}
			q.mu.Unlock()
		}
	}
}

func (q *Queue) shed(now time.Time, c *overload.Controller) {
	for {
		shed, ok := c.Next(now)
		if !ok {
			return
		}
		if w := q.waiters[shed.ID]; w != nil {
			q.remove(w)
			w.cancel(&ShedError{RetryAfter: shed.RetryAfter})
		}
	}
}

func (q *Queue) remove(w *Waiter) {
	delete(q.waiters, w.id)
	if q.byClass[w.class]--; q.byClass[w.class] == 0 {
		delete(q.byClass, w.class)
	}
}

// Started removes the request from the queue because it received a slot.
func (w *Waiter) Started(now time.Time) { w.finish(now, (*overload.Controller).Started) }

// Dequeue removes the request from the queue without a slot. It has no effect after Started, and vice versa.
func (w *Waiter) Dequeue(now time.Time) { w.finish(now, (*overload.Controller).Abandoned) }

func (w *Waiter) finish(now time.Time, record func(*overload.Controller, time.Time, uint64)) {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.queue.waiters[w.id] == nil {
		return
	}
	w.queue.remove(w)
	record(w.service, now, w.id)
}

// Waiting returns the number of waiting requests by class.
func (q *Queue) Waiting() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.byClass)
}
