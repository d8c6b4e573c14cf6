package crest

import (
	"slices"
	"time"
)

// maxPriority is the lowest tier of a table row.
const maxPriority = 8

// tier counts the queue and the drain of one priority.
type tier struct {
	queued  int
	started int
	// rate is the moving average of starts, in requests/s.
	rate float64
}

type laneKey struct {
	class    string
	priority uint8
}

// lane is the queue of one class in one tier, in order of arrival.
type lane struct {
	key    laneKey
	weight float64
	// queue, from head on, holds removed waiters until they reach an end of it.
	queue []*waiter
	head  int
	count int
	// seen is the last time at which a request arrived.
	seen time.Time
}

type waiter struct {
	id     uint64
	lane   *lane
	since  time.Time
	budget time.Duration
	// limit is the wait after which the request is refused.
	limit     time.Duration
	protected bool
	gone      bool
}

func (c *Controller) lane(now time.Time, r *Request) *lane {
	key := laneKey{r.Class, min(r.Priority, maxPriority)}
	l := c.byKey[key]
	if l == nil {
		c.forgetLanes(now)
		l = &lane{key: key}
		c.byKey[key] = l
		at := len(c.lanes)
		for at > 0 && c.lanes[at-1].key.priority > key.priority {
			at--
		}
		c.lanes = append(c.lanes, nil)
		copy(c.lanes[at+1:], c.lanes[at:])
		c.lanes[at] = l
	}
	l.weight, l.seen = max(1, float64(r.Weight)), now
	return l
}

// forgetLanes drops the lanes of classes that have left the table or changed their tier.
func (c *Controller) forgetLanes(now time.Time) {
	c.lanes = slices.DeleteFunc(c.lanes, func(l *lane) bool {
		old := l.count == 0 && now.Sub(l.seen) > forgetAfter
		if old {
			delete(c.byKey, l.key)
		}
		return old
	})
}

func (l *lane) push(w *waiter) {
	l.queue = append(l.queue, w)
	l.count++
}

// trim drops removed waiters from both ends and returns them for use by later requests.
func (c *Controller) trim(l *lane) {
	for l.head < len(l.queue) && l.queue[l.head].gone {
		c.free = append(c.free, l.queue[l.head])
		l.queue[l.head] = nil
		l.head++
	}
	for n := len(l.queue); n > l.head && l.queue[n-1].gone; n-- {
		c.free = append(c.free, l.queue[n-1])
		l.queue[n-1] = nil
		l.queue = l.queue[:n-1]
	}
	// Moving the queue to the front at half its length keeps the cost of one removal constant on average.
	if l.head > len(l.queue)/2 {
		n := copy(l.queue, l.queue[l.head:])
		clear(l.queue[n:])
		l.queue, l.head = l.queue[:n], 0
	}
}

func (c *Controller) newWaiter() *waiter {
	if n := len(c.free); n > 0 {
		w := c.free[n-1]
		c.free = c.free[:n-1]
		return w
	}
	return new(waiter)
}

func (l *lane) oldest() *waiter {
	if l.head == len(l.queue) {
		return nil
	}
	return l.queue[l.head]
}

func (l *lane) newest() *waiter {
	if l.head == len(l.queue) {
		return nil
	}
	return l.queue[len(l.queue)-1]
}
