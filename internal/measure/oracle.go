package measure

import (
	"slices"
	"time"
)

// oracle is the upper bound: one queue for all entries, without messages except the body's way to the engine, knowing
// every length and the true speed of every engine. Tiers are strict; within a tier requests that can still meet their
// target come first, by least slack; then shorter ones. Unprotected work of lower tiers, and long work, is paused at no
// cost. Unprotected requests that can no longer meet their target are dropped, so that they take no capacity.
type oracle struct {
	w       *world
	waiting [services][]*request
	// paused holds the paused requests of each engine.
	paused [][]*request
}

func newOracle(w *world) *oracle { return &oracle{w: w, paused: make([][]*request, len(w.engines))} }

func (o *oracle) arrive(now time.Time, r *request) {
	o.w.after(now, hop, func(now time.Time) {
		o.waiting[r.service] = append(o.waiting[r.service], r)
		o.place(now, r.service)
	})
}

func (o *oracle) row(r *request) *class { return &o.w.classes[r.class] }

// slack is the time that the request can still wait and meet its target on an engine of normal speed.
func (o *oracle) slack(now time.Time, r *request) time.Duration {
	fill := time.Duration(float64(r.prompt) / prefillRate * float64(time.Second))
	return r.arrived + o.row(r).TTFTTarget - hop - fill - o.w.since(now)
}

func (o *oracle) before(now time.Time, a, b *request) bool {
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

func (o *oracle) place(now time.Time, service int) {
	o.waiting[service] = slices.DeleteFunc(o.waiting[service], func(r *request) bool {
		if o.slack(now, r) < 0 && !o.row(r).Protected {
			o.w.finish(now, r, endShed)
		}
		return r.end != endNone
	})
	for len(o.waiting[service]) > 0 {
		q := o.waiting[service]
		best := 0
		for i := range q {
			if o.before(now, q[i], q[best]) {
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
		r.policy = e
		e.begin(now, r)
	}
	for _, e := range o.w.engines {
		for e.service == service && !e.down && len(e.running) < engineSlots && len(o.paused[e.id]) > 0 {
			r := o.paused[e.id][0]
			o.paused[e.id] = o.paused[e.id][1:]
			e.resume(now, r)
		}
	}
}

func (o *oracle) fastest(service int) *engine {
	var best *engine
	for _, e := range o.w.engines {
		if e.service == service && !e.down && len(e.running) < engineSlots && (best == nil || e.interval() < best.interval()) {
			best = e
		}
	}
	return best
}

// preempt pauses the work with the most remaining tokens in the lowest tier, or long work for short work.
func (o *oracle) preempt(now time.Time, r *request) *engine {
	var victim *stream
	var at *engine
	for _, e := range o.w.engines {
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

func (o *oracle) tokens(now time.Time, _ *engine, r *request, _ int) { firstToken(o.w, now, r) }

func (o *oracle) finished(now time.Time, e *engine, r *request) {
	o.w.finish(now.Add(hop), r, endCompleted)
	o.place(now, e.service)
}

func (o *oracle) lost(now time.Time, e *engine, rs []*request) {
	o.paused[e.id] = nil
	for _, r := range rs {
		o.w.finish(now, r, endInterrupted)
	}
}

func (o *oracle) back(now time.Time, e *engine) { o.place(now, e.service) }

func (o *oracle) expire(now time.Time, r *request) {
	if e, ok := r.policy.(*engine); ok {
		e.cancel(now, r)
		o.paused[e.id] = slices.DeleteFunc(o.paused[e.id], func(p *request) bool { return p == r })
	}
	o.w.finish(now, r, endDeadline)
	o.place(now, r.service)
}
