package crest

import "time"

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
	// queue holds removed waiters until they reach an end of it.
	queue []*waiter
	count int
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

func (c *Controller) lane(r *Request) *lane {
	key := laneKey{r.Class, min(r.Priority, maxPriority)}
	l := c.byKey[key]
	if l == nil {
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
	l.weight = max(1, float64(r.Weight))
	return l
}

func (l *lane) push(w *waiter) {
	l.queue = append(l.queue, w)
	l.count++
}

// trim drops removed waiters from both ends.
func (l *lane) trim() {
	for len(l.queue) > 0 && l.queue[0].gone {
		l.queue[0] = nil
		l.queue = l.queue[1:]
	}
	for n := len(l.queue); n > 0 && l.queue[n-1].gone; n-- {
		l.queue[n-1] = nil
		l.queue = l.queue[:n-1]
	}
}

func (l *lane) oldest() *waiter {
	if len(l.queue) == 0 {
		return nil
	}
	return l.queue[0]
}

func (l *lane) newest() *waiter {
	if len(l.queue) == 0 {
		return nil
	}
	return l.queue[len(l.queue)-1]
}
