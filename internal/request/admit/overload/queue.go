package overload

import (
	"slices"
	"time"
)

// maxPriority is the priority number of the lowest tier.
const maxPriority = 8

// tier tracks the queued requests and the drain rate of one priority.
type tier struct {
	queued int
	// started is the number of starts since the last update of rate.
	started int
	// rate is the moving average of the drain rate, in requests/s.
	rate float64
}

type queueKey struct {
	class    string
	priority uint8
}

// classQueue is the FIFO queue of one class in one tier.
type classQueue struct {
	key    queueKey
	weight float64
	// waiters[head:] is in order of arrival. It contains removed waiters until trim finds them at either end.
	waiters []*waiter
	head    int
	// count is the number of queued waiters, without the removed ones.
	count int
	// lastArrival is when the last request arrived, admitted or not.
	lastArrival time.Time
}

// waiter is a queued request.
type waiter struct {
	id       uint64
	queue    *classQueue
	enqueued time.Time
	// budget is the expected wait up to which the request is admitted.
	budget time.Duration
	// maxWait is the wait after which the request is shed unless it is protected.
	maxWait   time.Duration
	protected bool
	removed   bool
}

func (c *Controller) queueFor(now time.Time, r *Request) *classQueue {
	key := queueKey{r.Class, min(r.Priority, maxPriority)}
	q := c.byKey[key]
	if q == nil {
		c.removeIdleQueues(now)
		q = &classQueue{key: key}
		c.byKey[key] = q
		at := len(c.queues)
		for at > 0 && c.queues[at-1].key.priority > key.priority {
			at--
		}
		c.queues = append(c.queues, nil)
		copy(c.queues[at+1:], c.queues[at:])
		c.queues[at] = q
	}
	q.weight, q.lastArrival = max(1, float64(r.Weight)), now
	return q
}

// removeIdleQueues removes expired queues, as left behind by classes that were deleted or moved to another tier.
func (c *Controller) removeIdleQueues(now time.Time) {
	c.queues = slices.DeleteFunc(c.queues, func(q *classQueue) bool {
		expired := q.count == 0 && now.Sub(q.lastArrival) > idleExpiry
		if expired {
			delete(c.byKey, q.key)
		}
		return expired
	})
}

func (q *classQueue) push(w *waiter) {
	q.waiters = append(q.waiters, w)
	q.count++
}

// trim deletes removed waiters from both ends of the queue and adds them to the free list.
func (c *Controller) trim(q *classQueue) {
	for q.head < len(q.waiters) && q.waiters[q.head].removed {
		c.freeWaiters = append(c.freeWaiters, q.waiters[q.head])
		q.waiters[q.head] = nil
		q.head++
	}
	for n := len(q.waiters); n > q.head && q.waiters[n-1].removed; n-- {
		c.freeWaiters = append(c.freeWaiters, q.waiters[n-1])
		q.waiters[n-1] = nil
		q.waiters = q.waiters[:n-1]
	}
	// Compacting only when more than half of the slice is unused keeps the amortized cost of a removal constant.
	if q.head > len(q.waiters)/2 {
		n := copy(q.waiters, q.waiters[q.head:])
		clear(q.waiters[n:])
		q.waiters, q.head = q.waiters[:n], 0
	}
}

func (c *Controller) newWaiter() *waiter {
	if n := len(c.freeWaiters); n > 0 {
		w := c.freeWaiters[n-1]
		c.freeWaiters = c.freeWaiters[:n-1]
		return w
	}
	return new(waiter)
}

func (q *classQueue) oldest() *waiter {
	if q.head == len(q.waiters) {
		return nil
	}
	return q.waiters[q.head]
}

func (q *classQueue) newest() *waiter {
	if q.head == len(q.waiters) {
		return nil
	}
	return q.waiters[len(q.waiters)-1]
}
