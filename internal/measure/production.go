package measure

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/admit/overload"
	"github.com/dragonflypin/dragonflypin/internal/request/route"
	"github.com/dragonflypin/dragonflypin/internal/request/schedule"
)

// Binding selects where requests wait.
type binding uint8

const (
	// lateBinding asks up to two sidecars; the request goes to the first that grants a slot.
	lateBinding binding = iota
	// earlyBinding sends the request with its body to one sidecar, where it waits.
	earlyBinding
)

const (
	// probeEvery and probeMax space the probes of a slow upstream, because every probe is a request served slowly.
	probeEvery, probeMax = 10 * time.Second, time.Minute
	// zonePenalty is the picker's default.
	zonePenalty = 1.1
	// promptPerToken is the number of prompt tokens that cost an engine as much as one output token of a stream.
	promptPerToken = 256
	evictInterval  = 50 * time.Millisecond
	// firstReask is the wait without a grant after which another sidecar is asked; it doubles up to maxReask.
	firstReask, maxReask = 25 * time.Millisecond, time.Second
	// noUpstreamRetry is the time between two attempts to find an upstream.
	noUpstreamRetry = 50 * time.Millisecond
)

// production drives the production decision code: admission and upstream choice in the entries, the class scheduler in
// the sidecars, and the messages between them.
type production struct {
	w        *world
	binding  binding
	entries  []*entry
	sidecars []*sidecar
	asks     uint64
	// limiters is empty when no class has a limit.
	limiters []*limiter
}

type entry struct {
	p      *production
	picker *route.Picker
	crest  [services]*overload.Controller
	// mean is the moving average of the output length by class.
	mean []float64
}

type sidecar struct {
	p       *production
	e       *engine
	sched   *schedule.Scheduler
	asks    map[uint64]*ask
	running map[*request]*ask
	wake    uint64
	pacer   schedule.ReportLimiter
	// due is when the next report is planned.
	due time.Time
}

type ask struct {
	id        uint64
	r         *request
	entry     *entry
	sidecar   *sidecar
	flight    route.InFlightRequest
	committed bool
	// begun is set by the sidecar when the upstream has the request; gone when the ask ended at the sidecar.
	begun, gone bool
}

// dispatch is the entry's state of a request.
type dispatch struct {
	entry *entry
	asks  [2]*ask
	won   *ask
	tried [route.MaxExclude]route.ID
	// replace is the position of the next ask to replace; reask invalidates older timers.
	replace, reask int
	// saturated is set when a committed ask was refused because its sidecar had no free slot.
	saturated bool
	reason    route.Reason
}

var zones = [3]string{"a", "b", "c"}

func newProduction(w *world, b binding) *production {
	p := &production{w: w, binding: b}
	for _, e := range w.engines {
		p.sidecars = append(p.sidecars, &sidecar{p: p, e: e})
		p.sidecars[e.id].reset()
	}
	for i := range entries {
		en := &entry{p: p, picker: route.New(w.start, route.Settings{Zone: zones[i%len(zones)], Seed: uint64(i + 1), InitialProbeInterval: probeEvery, MaxProbeInterval: probeMax, Scorer: route.SlotWait{DrainTime: route.DrainTime{ZonePenalty: zonePenalty}}})}
		for s := range en.crest {
			en.crest[s] = overload.New(overload.Config{})
		}
		for range w.classes {
			en.mean = append(en.mean, 128)
		}
		for _, e := range w.engines {
			en.picker.Add(route.Upstream{Service: serviceNames[e.service], Zone: zones[e.zone], Slots: engineSlots})
		}
		p.entries = append(p.entries, en)
		p.evict(w.start, en)
	}
	if p.limited() {
		p.limiters = newLimiters(p)
		for _, l := range p.limiters {
			l.tick(w.start)
		}
		w.ended = func(r *request) { p.limiters[r.entry].settle(r) }
	}
	return p
}

// sidecarOf relies on the pickers having the engines added in order.
func (p *production) sidecarOf(id route.ID) *sidecar { return p.sidecars[int(id)-1] }

func (s *sidecar) routeID() route.ID { return route.ID(s.e.id + 1) }

func (s *sidecar) reset() {
	s.sched = schedule.New(schedule.Config{Slots: engineSlots, CanPause: true})
	s.asks, s.running = map[uint64]*ask{}, map[*request]*ask{}
}

func (p *production) arrive(now time.Time, r *request) {
	if len(p.limiters) > 0 {
		p.limiters[r.entry].admit(now, r)
		return
	}
	p.enter(now, r)
}

// enter hands a request that is within its limits to admission.
func (p *production) enter(now time.Time, r *request) {
	en := p.entries[r.entry]
	row := &p.w.classes[r.class]
	offer := &overload.Request{
		ID: r.id, Class: row.Class, Priority: uint8(row.Priority), Weight: uint16(row.Weight), Protected: row.Protected,
		TTFTTarget: row.TTFTTarget, MaxWait: row.MaxWait, Deadline: now.Add(row.Timeout),
	}
	v := en.crest[r.service].Offer(now, offer)
	if !v.Admitted() {
		r.retryAfter = v.RetryAfter
		p.checkRetry(now, en, r, offer)
		p.w.finish(now, r, endShed)
		return
	}
	d := &dispatch{entry: en}
	r.policy = d
	p.shed(now, en, r.service)
	if r.end == endNone {
		p.dispatch(now, d, r)
	}
}

// checkRetry notes whether a refused request would find its expected wait within the latency target when it follows
// Retry-After.
func (p *production) checkRetry(now time.Time, en *entry, r *request, offer *overload.Request) {
	p.w.after(now, r.retryAfter, func(now time.Time) {
		r.retried = true
		r.retryKept = en.crest[r.service].ExpectedWait(now, offer) <= offer.TTFTTarget
	})
}

// evict runs the periodic shedding of an entry.
func (p *production) evict(now time.Time, en *entry) {
	for s := range en.crest {
		p.shed(now, en, s)
	}
	p.w.after(now, evictInterval, func(now time.Time) { p.evict(now, en) })
}

func (p *production) shed(now time.Time, en *entry, service int) {
	for {
		s, ok := en.crest[service].Next(now)
		if !ok {
			return
		}
		r := p.w.requests[s.ID-1]
		if d := r.policy.(*dispatch); d.won == nil && !begun(d) {
			r.retryAfter = s.RetryAfter
			p.withdraw(now, d, nil)
			p.w.finish(now, r, endShed)
		}
	}
}

// begun tells whether a committed ask has started although its entry does not know yet.
func begun(d *dispatch) bool {
	for _, a := range d.asks {
		if a != nil && a.begun {
			return true
		}
	}
	return false
}

func (p *production) dispatch(now time.Time, d *dispatch, r *request) {
	en := d.entry
	tokens := p.expected(d, r)
	c := en.picker.Pick(now, p.routeRequest(d, r))
	if c.First == route.None {
		d.tried = [route.MaxExclude]route.ID{}
		p.w.after(now, noUpstreamRetry, func(now time.Time) {
			if r.end == endNone {
				p.dispatch(now, d, r)
			}
		})
		return
	}
	d.reason = c.Reason
	single := p.commit(en, d, r, &c) || p.binding == earlyBinding
	d.asks[0] = p.ask(now, en, r, c.First, single, tokens)
	d.asks[1] = nil
	if !single && c.Second != route.None {
		d.asks[1] = p.ask(now, en, r, c.Second, false, tokens)
	}
	d.reask++
	if p.binding == lateBinding {
		p.reaskAfter(now, d, r, firstReask, d.reask)
	}
}

// commit tells whether the body goes with a single ask: the first upstream is believed to have a free slot, or nothing
// else waits in this entry, so that a slot is likely. A sidecar refuses such an ask when it cannot start it at once.
func (p *production) commit(en *entry, d *dispatch, r *request, c *route.Choice) bool {
	if d.saturated {
		return false
	}
	if en.crest[r.service].Queued() <= 1 {
		return true
	}
	v, _ := en.picker.View(c.First)
	return c.Committed || float64(v.InFlight)+v.OthersInFlight < float64(v.Slots)
}

// reaskAfter replaces one of the asks of a request that still waits. The request keeps its place everywhere, because
// sidecars order by the time of arrival at the entry.
func (p *production) reaskAfter(now time.Time, d *dispatch, r *request, wait time.Duration, token int) {
	p.w.after(now, wait, func(now time.Time) {
		if r.end != endNone || d.won != nil || d.reask != token {
			return
		}
		p.reaskOne(now, d, r)
		p.reaskAfter(now, d, r, min(2*wait, maxReask), token)
	})
}

func (p *production) reaskOne(now time.Time, d *dispatch, r *request) {
	at := d.replace
	if a := d.asks[at]; a != nil && a.committed {
		at = 1 - at
	}
	d.replace = 1 - at
	c := d.entry.picker.Pick(now, p.routeRequest(d, r, d.asks[0], d.asks[1]))
	if c.First == route.None {
		return
	}
	if old := d.asks[at]; old != nil {
		p.drop(now, d.entry, old)
	}
	d.asks[at] = p.ask(now, d.entry, r, c.First, false, p.expected(d, r))
}

func (p *production) expected(d *dispatch, r *request) int {
	return int(d.entry.mean[r.class]) + r.prompt/promptPerToken
}

// routeRequest describes a request to the picker, excluding the upstreams of the given asks and those tried before.
func (p *production) routeRequest(d *dispatch, r *request, asks ...*ask) *route.Request {
	row := &p.w.classes[r.class]
	out := &route.Request{
		Service: serviceNames[r.service], PrefixHash: r.prefix, Tokens: p.expected(d, r),
		PrefixTokens: r.prompt / promptPerToken, Protected: row.Protected, Exclude: d.tried,
	}
	for i, a := range asks {
		if a != nil {
			out.Exclude[i] = a.sidecar.routeID()
		}
	}
	return out
}

func (p *production) drop(now time.Time, en *entry, a *ask) {
	en.picker.End(now, &a.flight, 0)
	p.w.after(now, hop, func(now time.Time) { a.sidecar.cancel(now, a) })
}

func (p *production) ask(now time.Time, en *entry, r *request, id route.ID, committed bool, tokens int) *ask {
	p.asks++
	a := &ask{id: p.asks, r: r, entry: en, sidecar: p.sidecarOf(id), committed: committed}
	a.flight = en.picker.Begin(now, id, tokens)
	p.w.after(now, hop, func(now time.Time) { a.sidecar.receive(now, a) })
	return a
}

// withdraw cancels all asks of a request except one.
func (p *production) withdraw(now time.Time, d *dispatch, keep *ask) {
	for _, a := range d.asks {
		if a == nil || a == keep {
			continue
		}
		p.drop(now, d.entry, a)
	}
}

// granted handles a Grant, or the Started of a committed ask, at the entry.
func (p *production) granted(now time.Time, a *ask) {
	d := a.r.policy.(*dispatch)
	if d.won != nil || a.r.end != endNone || (d.asks[0] != a && d.asks[1] != a) || (begun(d) && !a.begun) {
		p.w.after(now, hop, func(now time.Time) { a.sidecar.cancel(now, a) })
		return
	}
	d.won = a
	d.entry.crest[a.r.service].Started(now, a.r.id)
	d.entry.picker.RecordPrefix(a.sidecar.routeID(), a.r.prefix)
	// A committed ask may start until its sidecar has confirmed the cancellation, so the other waits for that.
	confirm := time.Duration(0)
	for _, o := range d.asks {
		if o != nil && o != a && o.committed {
			confirm = 2 * hop
		}
	}
	p.withdraw(now, d, a)
	if !a.committed {
		p.w.after(now, confirm+hop, func(now time.Time) { a.sidecar.begin(now, a) })
	}
}

// refused handles a Refuse at the entry, or the loss of a session with a queued ask.
func (p *production) refused(now time.Time, a *ask, final bool) {
	d := a.r.policy.(*dispatch)
	d.entry.picker.End(now, &a.flight, 0)
	if d.won == a {
		d.won = nil
	}
	if a.r.end != endNone || d.won != nil {
		return
	}
	for i := range d.asks {
		if d.asks[i] == a {
			d.asks[i] = nil
		}
	}
	if final {
		p.withdraw(now, d, nil)
		d.entry.crest[a.r.service].Abandoned(now, a.r.id)
		p.w.finish(now, a.r, endDeadline)
		return
	}
	if d.asks[0] == nil && d.asks[1] == nil {
		if !d.saturated {
			copy(d.tried[1:], d.tried[:])
			d.tried[0] = a.sidecar.routeID()
		}
		p.dispatch(now, d, a.r)
	}
}

func (s *sidecar) receive(now time.Time, a *ask) {
	if s.e.down {
		a.gone = true
		s.p.w.after(now, hop, func(now time.Time) { s.p.refused(now, a, false) })
		return
	}
	row := &s.p.w.classes[a.r.class]
	s.asks[a.id] = a
	s.sched.Enqueue(now, schedule.Item{
		ID: a.id, Class: row.Class, Arrived: s.p.w.start.Add(a.r.arrived),
		Deadline: s.p.w.start.Add(a.r.arrived + row.Timeout), PromptTokens: a.r.prompt,
		Policy: schedule.Policy{
			Version: 1, Priority: uint8(row.Priority), Weight: uint16(row.Weight), Protected: row.Protected,
			TTFTTarget: row.TTFTTarget, TokenTarget: row.TokenTarget, MaxWait: row.MaxWait,
		},
	})
	s.step(now)
	if a.committed && !a.begun && !a.gone && s.p.binding == lateBinding {
		s.forget(a)
		s.sched.Remove(a.id)
		s.p.w.after(now, hop, func(now time.Time) {
			a.r.policy.(*dispatch).saturated = true
			s.p.refused(now, a, false)
		})
	}
}

func (s *sidecar) cancel(now time.Time, a *ask) {
	if a.gone {
		return
	}
	if a.begun {
		s.e.cancel(now, a.r)
		delete(s.running, a.r)
	}
	s.forget(a)
	s.sched.Remove(a.id)
	s.step(now)
}

func (s *sidecar) forget(a *ask) {
	a.gone = true
	delete(s.asks, a.id)
}

func (s *sidecar) begin(now time.Time, a *ask) {
	if a.gone {
		return
	}
	a.begun = true
	s.running[a.r] = a
	s.e.begin(now, a.r)
}

// step carries out the scheduler's decisions until there is none.
func (s *sidecar) step(now time.Time) {
	for !s.e.down {
		d := s.sched.Next(now)
		if d.Action == schedule.ActionNone {
			s.sleep(now, d.Wake)
			break
		}
		s.apply(now, d)
	}
	s.report(now)
}

func (s *sidecar) apply(now time.Time, d schedule.Decision) {
	a := s.asks[d.ID]
	switch d.Action {
	case schedule.ActionStart:
		if a.committed {
			s.begin(now, a)
		}
		s.p.w.after(now, hop, func(now time.Time) { s.p.granted(now, a) })
	case schedule.ActionPause:
		s.e.pause(now, a.r)
		if s.p.w.classes[a.r.class].Protected {
			a.r.pausedForLower = true
		}
	case schedule.ActionResume:
		s.e.resume(now, a.r)
	case schedule.ActionRefuse:
		s.forget(a)
		s.p.w.after(now, hop, func(now time.Time) { s.p.refused(now, a, true) })
	}
}

func (s *sidecar) sleep(now, until time.Time) {
	s.wake++
	if until.IsZero() {
		return
	}
	wake := s.wake
	s.p.w.after(now, until.Sub(now), func(now time.Time) {
		if wake == s.wake {
			s.step(now)
		}
	})
}

// report sends the load to every entry, as often as the sidecar's pacer allows.
func (s *sidecar) report(now time.Time) {
	st := s.sched.Stats()
	send, wait := s.pacer.Next(now, schedule.Report{
		Slots: st.Slots, Running: st.Running, Paused: st.Paused, Queued: st.Queued, Healthy: !s.e.down,
	})
	if due := now.Add(wait); wait > 0 && (!s.due.After(now) || due.Before(s.due)) {
		s.due = due
		s.p.w.after(now, wait, s.report)
	}
	if !send {
		return
	}
	_, interval := s.sched.Timing()
	r := route.Report{Slots: st.Slots, Running: st.Running, Paused: st.Paused, Queued: st.Queued, Healthy: !s.e.down}
	if interval > 0 {
		r.TokensPerSecond = float64(time.Second) / float64(interval)
	}
	s.p.w.after(now, hop+s.p.w.scenario.reportDelay, func(now time.Time) {
		for _, en := range s.p.entries {
			en.picker.Report(now, s.routeID(), r)
		}
	})
}

func (p *production) tokens(now time.Time, e *engine, r *request, n int) {
	s := p.sidecars[e.id]
	a := s.running[r]
	if a == nil {
		return
	}
	firstToken(p.w, now, r)
	s.sched.OnTokens(a.id, n, now)
	// Without the hop: one event for every chunk would be most of the events of a run.
	a.entry.picker.Tokens(now, &a.flight, n)
	if s.sched.Stats().Queued > 0 {
		s.step(now)
	}
}

func (p *production) finished(now time.Time, e *engine, r *request) {
	s := p.sidecars[e.id]
	a := s.running[r]
	if a == nil {
		return
	}
	delete(s.running, r)
	s.forget(a)
	s.sched.OnDone(a.id, now)
	s.step(now)
	p.w.after(now, hop, func(now time.Time) {
		a.entry.picker.End(now, &a.flight, 0)
		a.entry.mean[r.class] += 0.05 * (float64(r.output) - a.entry.mean[r.class])
		p.w.finish(now, r, endCompleted)
	})
}

func (p *production) lost(now time.Time, e *engine, _ []*request) {
	s := p.sidecars[e.id]
	var all []*ask
	for id := uint64(0); len(all) < len(s.asks); id++ {
		if a := s.asks[id]; a != nil {
			all = append(all, a)
		}
	}
	for _, a := range all {
		started := a.begun
		a.gone = true
		p.w.after(now, hop, func(now time.Time) {
			if started {
				a.entry.picker.End(now, &a.flight, 0)
				p.w.finish(now, a.r, endInterrupted)
				return
			}
			p.refused(now, a, false)
		})
	}
	s.reset()
	p.flag(now, s, true)
}

func (p *production) back(now time.Time, e *engine) { p.flag(now, p.sidecars[e.id], false) }

// flag marks a sidecar as broken at every entry.
func (p *production) flag(now time.Time, s *sidecar, on bool) {
	p.w.after(now, hop, func(time.Time) {
		for _, en := range p.entries {
			en.picker.SetFlag(s.routeID(), route.Suspect, on)
		}
	})
}

func (p *production) expire(now time.Time, r *request) {
	d, ok := r.policy.(*dispatch)
	if !ok {
		p.w.finish(now, r, endDeadline)
		return
	}
	d.entry.crest[r.service].Abandoned(now, r.id)
	p.withdraw(now, d, nil)
	p.w.finish(now, r, endDeadline)
}
