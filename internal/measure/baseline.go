package measure

import "time"

// hopDelay is the one-way delay of a message between two processes.
const hopDelay = time.Millisecond

// policy is a routing policy under test: it places requests on engines.
type policy interface {
	client
	// arrive passes in a new request.
	arrive(now time.Time, r *request)
	// expire cancels a request whose deadline has passed.
	expire(now time.Time, r *request)
}

// baseline is a router without admission control or preemption. It chooses an engine when the request arrives, and the
// request waits in that engine's queue.
type baseline struct {
	sim *simulation
	// leastOutstanding chooses the engine with the fewest outstanding requests instead of round robin.
	leastOutstanding bool
	// byPriority orders an engine's queue by tier instead of FIFO.
	byPriority bool
	// next is the round-robin position of each service.
	next        [services]int
	queues      [][]*request
	outstanding []int
}

func newBaseline(sim *simulation, leastOutstanding, byPriority bool) *baseline {
	return &baseline{sim: sim, leastOutstanding: leastOutstanding, byPriority: byPriority, queues: make([][]*request, len(sim.engines)), outstanding: make([]int, len(sim.engines))}
}

func (b *baseline) arrive(now time.Time, r *request) {
	e := b.choose(r)
	if e == nil {
		b.sim.finish(now, r, outcomeShed)
		return
	}
	b.outstanding[e.id]++
	r.policyState = e
	b.sim.after(now, hopDelay, func(now time.Time) {
		if r.outcome == outcomeNone {
			b.enqueue(e, r)
			b.dispatch(now, e)
		}
	})
}

func (b *baseline) choose(r *request) *engine {
	var live []*engine
	for _, e := range b.sim.engines {
		if e.service == r.service && !e.down {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return nil
	}
	// Least-outstanding starts at the round-robin position too, to spread requests over equally loaded engines.
	b.next[r.service]++
	best := live[b.next[r.service]%len(live)]
	if b.leastOutstanding {
		for i := range live {
			if e := live[(b.next[r.service]+i)%len(live)]; b.outstanding[e.id] < b.outstanding[best.id] {
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
		for i > 0 && b.sim.classes[q[i-1].class].Priority > b.sim.classes[r.class].Priority {
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
		if r.outcome == outcomeNone {
			e.start(now, r)
		}
	}
}

func (b *baseline) tokens(now time.Time, _ *engine, r *request, _ int) {
	recordFirstToken(b.sim, now, r)
}

func (b *baseline) finished(now time.Time, e *engine, r *request) {
	b.outstanding[e.id]--
	b.sim.finish(now.Add(hopDelay), r, outcomeCompleted)
	b.dispatch(now, e)
}

func (b *baseline) crashed(now time.Time, e *engine, rs []*request) {
	for _, r := range rs {
		b.outstanding[e.id]--
		b.sim.finish(now, r, outcomeInterrupted)
	}
	waiting := b.queues[e.id]
	b.queues[e.id], b.outstanding[e.id] = nil, 0
	for _, r := range waiting {
		if r.outcome == outcomeNone {
			b.arrive(now, r)
		}
	}
}

func (b *baseline) restarted(time.Time, *engine) {}

func (b *baseline) expire(now time.Time, r *request) {
	e := r.policyState.(*engine)
	e.cancel(now, r)
	b.outstanding[e.id]--
	b.sim.finish(now, r, outcomeDeadline)
	b.dispatch(now, e)
}

// recordFirstToken records the time at which the caller receives the first token.
func recordFirstToken(sim *simulation, now time.Time, r *request) {
	if !r.hasFirst {
		r.hasFirst, r.first = true, sim.since(now)+hopDelay
	}
}
