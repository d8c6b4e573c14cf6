package measure

import (
	"slices"
	"time"
)

// oracle gives an upper bound for the other policies. It has one queue for all entries, and knows the output length of
// every request and the actual speed of every engine; it sends no messages other than the requests and responses.
// Tiers have strict priority. Within a tier, requests that can still meet their ttft_target come first, by least slack,
// then the others, shortest output first. Unprotected streams of lower tiers, and long ones, are paused at no cost.
// Unprotected requests that can no longer meet their target are shed, so that they use no capacity.
type oracle struct {
	sim     *simulation
	waiting [services][]*request
	// paused are the paused requests of each engine.
	paused [][]*request
}

func newOracle(sim *simulation) *oracle {
	return &oracle{sim: sim, paused: make([][]*request, len(sim.engines))}
}

func (o *oracle) arrive(now time.Time, r *request) {
	o.sim.after(now, hopDelay, func(now time.Time) {
		o.waiting[r.service] = append(o.waiting[r.service], r)
		o.place(now, r.service)
	})
}

func (o *oracle) row(r *request) *class { return &o.sim.classes[r.class] }

// slack is the time that the request can still wait and meet its ttft_target on an engine of normal speed.
func (o *oracle) slack(now time.Time, r *request) time.Duration {
	prefill := time.Duration(float64(r.prompt) / prefillTokensPerSecond * float64(time.Second))
	return r.arrived + o.row(r).TTFTTarget - hopDelay - prefill - o.sim.since(now)
}

// precedes reports whether a comes before b in queue order.
func (o *oracle) precedes(now time.Time, a, b *request) bool {
	if pa, pb := o.row(a).Priority, o.row(b).Priority; pa != pb {
		return pa < pb
	}
	sa, sb := o.slack(now, a), o.slack(now, b)
	if (sa >= 0) != (sb >= 0) {
		return sa >= 0
	}
	if sa >= 0 {
		return sa < sb
	}
	return a.output < b.output
}

// place sheds the unprotected waiting requests of a service that can no longer meet their ttft_target, starts the others
// while there are free or preemptible slots, and resumes paused requests in slots that are still free.
func (o *oracle) place(now time.Time, service int) {
	o.waiting[service] = slices.DeleteFunc(o.waiting[service], func(r *request) bool {
		if o.slack(now, r) < 0 && !o.row(r).Protected {
			o.sim.finish(now, r, outcomeShed)
		}
		return r.outcome != outcomeNone
	})
	for len(o.waiting[service]) > 0 {
		q := o.waiting[service]
		best := 0
		for i := range q {
			if o.precedes(now, q[i], q[best]) {
				best = i
			}
		}
		r := q[best]
		e := o.fastest(service)
		if e == nil {
			if e = o.preempt(now, r); e == nil {
				return
			}
		}
		o.waiting[service] = slices.Delete(q, best, best+1)
		r.policyState = e
		e.start(now, r)
	}
	for _, e := range o.sim.engines {
		for e.service == service && !e.down && len(e.running) < engineSlots && len(o.paused[e.id]) > 0 {
			r := o.paused[e.id][0]
			o.paused[e.id] = o.paused[e.id][1:]
			e.resume(now, r)
		}
	}
}

// fastest returns the fastest engine with a free slot, or nil.
func (o *oracle) fastest(service int) *engine {
	var best *engine
	for _, e := range o.sim.engines {
		if e.service == service && !e.down && len(e.running) < engineSlots && (best == nil || e.interval() < best.interval()) {
			best = e
		}
	}
	return best
}

// preempt pauses an unprotected stream to free a slot for r, and returns its engine, or nil. Candidates are the streams
// of lower tiers and, if r is not long, the long streams of its own tier. It chooses the lowest tier, then the most
// remaining tokens.
func (o *oracle) preempt(now time.Time, r *request) *engine {
	var victim *stream
	var at *engine
	for _, e := range o.sim.engines {
		if e.service != r.service || e.down {
			continue
		}
		for _, s := range e.running {
			row := o.row(s.r)
			longer := s.r.long && !r.long && row.Priority >= o.row(r).Priority
			if row.Protected || (row.Priority <= o.row(r).Priority && !longer) {
				continue
			}
			if victim == nil || row.Priority > o.row(victim.r).Priority ||
				(row.Priority == o.row(victim.r).Priority && s.r.output-s.reported > victim.r.output-victim.reported) {
				victim, at = s, e
			}
		}
	}
	if victim == nil {
		return nil
	}
	at.pause(now, victim.r)
	o.paused[at.id] = append(o.paused[at.id], victim.r)
	return at
}

func (o *oracle) tokens(now time.Time, _ *engine, r *request, _ int) { recordFirstToken(o.sim, now, r) }

func (o *oracle) finished(now time.Time, e *engine, r *request) {
	o.sim.finish(now.Add(hopDelay), r, outcomeCompleted)
	o.place(now, e.service)
}

func (o *oracle) crashed(now time.Time, e *engine, rs []*request) {
	o.paused[e.id] = nil
	for _, r := range rs {
		o.sim.finish(now, r, outcomeInterrupted)
	}
}

func (o *oracle) restarted(now time.Time, e *engine) { o.place(now, e.service) }

func (o *oracle) expire(now time.Time, r *request) {
	if e, ok := r.policyState.(*engine); ok {
		e.cancel(now, r)
		o.paused[e.id] = slices.DeleteFunc(o.paused[e.id], func(p *request) bool { return p == r })
	}
	o.sim.finish(now, r, outcomeDeadline)
	o.place(now, r.service)
}
