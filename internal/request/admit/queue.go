package admit

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/admit/crest"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// shedInterval is how often waiting requests are compared with the expected wait.
const shedInterval = 100 * time.Millisecond

// ShedError is the cancellation cause of a waiting request that was shed.
type ShedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *ShedError) Error() string { return "request shed while waiting" }

// Queue holds the requests of one entry that wait for a start. Each service, or model, has its own crest controller.
// It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	limit    int
	last     uint64
	services map[string]*crest.Controller
	tickets  map[uint64]*Ticket
	byClass  map[string]int
}

// Ticket is one place in the queue.
type Ticket struct {
	queue   *Queue
	service *crest.Controller
	id      uint64
	class   string
	cancel  func(error)
	// Alone tells that no other request waited for the service at the time of entry.
	Alone bool
}

// NewQueue returns a Queue that bounds the waiting requests of each service.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, services: map[string]*crest.Controller{}, tickets: map[uint64]*Ticket{}, byClass: map[string]int{}}
}

// Enter takes a place unless the verdict refuses it. cancel is called with a *ShedError if the place is taken away.
func (q *Queue) Enter(now time.Time, service string, row *table.Row, deadline time.Time, cancel func(error)) (*Ticket, crest.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.services[service]
	if c == nil {
		c = crest.New(crest.Config{MaxQueue: q.limit})
		q.services[service] = c
	}
	q.last++
	verdict := c.Offer(now, &crest.Request{
		ID: q.last, Class: row.Class, Priority: uint8(row.Priority), Weight: uint16(row.Weight), Protected: row.Protected,
		TTFTTarget: row.TTFTTarget, MaxWait: row.MaxWait, Deadline: deadline,
	})
	if !verdict.Admitted() {
		return nil, verdict
	}
	t := &Ticket{queue: q, service: c, id: q.last, class: row.Class, cancel: cancel, Alone: c.Queued() == 1}
	q.tickets[t.id] = t
	q.byClass[t.class]++
	q.shed(now, c)
	return t, verdict
}

// Run sheds until ctx ends.
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
		if t := q.tickets[shed.ID]; t != nil {
			q.forget(t)
			t.cancel(&ShedError{RetryAfter: shed.RetryAfter})
		}
	}
}

func (q *Queue) forget(t *Ticket) {
	delete(q.tickets, t.id)
	if q.byClass[t.class]--; q.byClass[t.class] == 0 {
		delete(q.byClass, t.class)
	}
}

// Started gives the place up because the request received a slot.
func (t *Ticket) Started(now time.Time) { t.end(now, (*crest.Controller).Started) }

// Leave gives the place up without a slot. Of Started and Leave, the first call counts.
func (t *Ticket) Leave(now time.Time) { t.end(now, (*crest.Controller).Left) }

func (t *Ticket) end(now time.Time, tell func(*crest.Controller, time.Time, uint64)) {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	if t.queue.tickets[t.id] == nil {
		return
	}
	t.queue.forget(t)
	tell(t.service, now, t.id)
}

// Waiting returns the number of waiting requests by class.
func (q *Queue) Waiting() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.byClass)
}
