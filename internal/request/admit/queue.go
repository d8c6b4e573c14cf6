package admit

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/admit/crest"
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
	services map[string]*crest.Controller
	waiters  map[uint64]*Ticket
	byClass  map[string]int
}

// Ticket is a request in a Queue.
type Ticket struct {
	queue   *Queue
	service *crest.Controller
	id      uint64
	class   string
	cancel  func(error)
	// Alone reports that no other request was waiting for the service when this one was queued.
	Alone bool
}

// NewQueue returns a Queue with at most limit waiting requests for each service.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, services: map[string]*crest.Controller{}, waiters: map[uint64]*Ticket{}, byClass: map[string]int{}}
}

// Enter queues a request, unless the verdict is a refusal. If the request is shed later, cancel is called with a
// *ShedError.
func (q *Queue) Enter(now time.Time, service string, row *table.Row, deadline time.Time, cancel func(error)) (*Ticket, crest.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.services[service]
	if c == nil {
		c = crest.New(crest.Config{MaxQueue: q.limit})
		q.services[service] = c
	}
	q.lastID++
	verdict := c.Offer(now, &crest.Request{
		ID: q.lastID, Class: row.Class, Priority: uint8(row.Priority), Weight: uint16(row.Weight), Protected: row.Protected,
		TTFTTarget: row.TTFTTarget, MaxWait: row.MaxWait, Deadline: deadline,
	})
	if !verdict.Admitted() {
		return nil, verdict
	}
	t := &Ticket{queue: q, service: c, id: q.lastID, class: row.Class, cancel: cancel, Alone: c.Queued() == 1}
	q.waiters[t.id] = t
	q.byClass[t.class]++
	q.shed(now, c)
	return t, verdict
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

func (q *Queue) shed(now time.Time, c *crest.Controller) {
	for {
		shed, ok := c.Next(now)
		if !ok {
			return
		}
		if t := q.waiters[shed.ID]; t != nil {
			q.remove(t)
			t.cancel(&ShedError{RetryAfter: shed.RetryAfter})
		}
	}
}

func (q *Queue) remove(t *Ticket) {
	delete(q.waiters, t.id)
	if q.byClass[t.class]--; q.byClass[t.class] == 0 {
		delete(q.byClass, t.class)
	}
}

// Started removes the request from the queue because it received a slot.
func (t *Ticket) Started(now time.Time) { t.finish(now, (*crest.Controller).Started) }

// Leave removes the request from the queue without a slot. It has no effect after Started, and vice versa.
func (t *Ticket) Leave(now time.Time) { t.finish(now, (*crest.Controller).Left) }

func (t *Ticket) finish(now time.Time, record func(*crest.Controller, time.Time, uint64)) {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	if t.queue.waiters[t.id] == nil {
		return
	}
	t.queue.remove(t)
	record(t.service, now, t.id)
}

// Waiting returns the number of waiting requests by class.
func (q *Queue) Waiting() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.byClass)
}
