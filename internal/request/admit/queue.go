package admit

import (
	"container/list"
	"errors"
	"sync"

	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// ErrShed is the cancellation cause of a waiting request that made room for a higher tier.
var ErrShed = errors.New("shed for a higher tier")

// Queue bounds the requests that wait for a start in one entry. When it is full, a newcomer takes the place of the newest
// unprotected request of the lowest tier below its own; without one, it is refused.
type Queue struct {
	mu      sync.Mutex
	limit   int
	waiting int
	byClass map[string]int
	// sheddable holds the unprotected tickets by tier, oldest first.
	sheddable [table.LowestPriority + 1]list.List
}

// Ticket is one place in the queue.
type Ticket struct {
	queue   *Queue
	class   string
	tier    int
	element *list.Element
	cancel  func(error)
	left    bool
}

// NewQueue returns a Queue with a bound.
func NewQueue(limit int) *Queue { return &Queue{limit: limit, byClass: map[string]int{}} }

// Enter takes a place. cancel is called with ErrShed if the place is taken away; ok is false when the queue is full.
func (q *Queue) Enter(row *table.Row, cancel func(error)) (*Ticket, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	tier := min(max(row.Priority, table.HighestPriority), table.LowestPriority)
	if q.waiting >= q.limit && !q.shed(tier) {
		return nil, false
	}
	t := &Ticket{queue: q, class: row.Class, tier: tier, cancel: cancel}
	if !row.Protected {
		t.element = q.sheddable[tier].PushBack(t)
	}
	q.waiting++
	q.byClass[row.Class]++
	return t, true
}

func (q *Queue) shed(tier int) bool {
	for lower := table.LowestPriority; lower > tier; lower-- {
		if last := q.sheddable[lower].Back(); last != nil {
			victim := last.Value.(*Ticket)
			q.leave(victim)
			victim.cancel(ErrShed)
			return true
		}
	}
	return false
}

// Leave gives the place up; it may be called more than once.
func (t *Ticket) Leave() {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.leave(t)
}

func (q *Queue) leave(t *Ticket) {
	if t.left {
		return
	}
	t.left = true
	q.waiting--
	if q.byClass[t.class]--; q.byClass[t.class] == 0 {
		delete(q.byClass, t.class)
	}
	if t.element != nil {
		q.sheddable[t.tier].Remove(t.element)
	}
}

// Waiting returns the number of waiting requests by class.
func (q *Queue) Waiting() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	counts := make(map[string]int, len(q.byClass))
	for class, n := range q.byClass {
		counts[class] = n
	}
	return counts
}
