package measure

import "time"

// hop is the one-way time of a message between two processes.
const hop = time.Millisecond

// policy places requests on engines.
type policy interface {
	client
	// arrive hands over a new request.
	arrive(now time.Time, r *request)
	// expire withdraws a request whose caller's deadline has passed.
	expire(now time.Time, r *request)
}

// baseline is a router without admission control or preemption: it chooses the engine on arrival and queues there.
type baseline struct {
	w *world
	// least chooses the engine with the fewest outstanding requests instead of the next one.
	least bool
	// byPriority orders the queue of an engine by tier.
	byPriority bool
	turn       [services]int
	queues     [][]*request
	load       []int
}

func newBaseline(w *world, least, byPriority bool) *baseline {
	return &baseline{w: w, least: least, byPriority: byPriority, queues: make([][]*request, len(w.engines)), load: make([]int, len(w.engines))}
}

func (b *baseline) arrive(now time.Time, r *request) {
	e := b.choose(r)
	if e == nil {
		b.w.finish(now, r, endShed)
		return
	}
	b.load[e.id]++
	r.policy = e
	b.w.after(now, hop, func(now time.Time) {
		if r.end == endNone {
			b.enqueue(e, r)
			b.dispatch(now, e)
		}
	})
}

func (b *baseline) choose(r *request) *engine {
	var live []*engine
	for _, e := range b.w.engines {
		if e.service == r.service && !e.down {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return nil
	}
	// Both start at the next engine in turn, so that equal loads are spread.
	b.turn[r.service]++
	best := live[b.turn[r.service]%len(live)]
	if b.least {
		for i := range live {
			if e := live[(b.turn[r.service]+i)%len(live)]; b.load[e.id] < b.load[best.id] {
				best = e
			}
		}
	}
	return best
}

func (b *baseline) enqueue(e *engine, r *request) {
	b.queues[e.id] = append(b.queues[e.id], r)
	if q := b.queues[e.id]; b.byPriority {
		i := len(q) - 1
		for i > 0 && b.w.classes[q[i-1].class].Priority > b.w.classes[r.class].Priority {
			q[i] = q[i-1]
			i--
		}
		q[i] = r
	}
}

func (b *baseline) dispatch(now time.Time, e *engine) {
	for !e.down && len(e.running) < engineSlots && len(b.queues[e.id]) > 0 {
		r := b.queues[e.id][0]
		b.queues[e.id] = b.queues[e.id][1:]
		if r.end == endNone {
			e.begin(now, r)
		}
	}
}

func (b *baseline) tokens(now time.Time, _ *engine, r *request, _ int) { firstToken(b.w, now, r) }

func (b *baseline) finished(now time.Time, e *engine, r *request) {
	b.load[e.id]--
	b.w.finish(now.Add(hop), r, endCompleted)
	b.dispatch(now, e)
}

func (b *baseline) lost(now time.Time, e *engine, rs []*request) {
	for _, r := range rs {
		b.load[e.id]--
		b.w.finish(now, r, endInterrupted)
	}
	waiting := b.queues[e.id]
	b.queues[e.id], b.load[e.id] = nil, 0
	for _, r := range waiting {
		if r.end == endNone {
			b.arrive(now, r)
		}
	}
}

func (b *baseline) back(time.Time, *engine) {}

func (b *baseline) expire(now time.Time, r *request) {
	e := r.policy.(*engine)
	e.cancel(now, r)
	b.load[e.id]--
	b.w.finish(now, r, endDeadline)
	b.dispatch(now, e)
}

// firstToken records the first token's arrival at the caller's side.
func firstToken(w *world, now time.Time, r *request) {
	if !r.hasFirst {
		r.hasFirst, r.first = true, w.since(now)+hop
	}
}
