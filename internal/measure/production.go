package measure

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/admit/overload"
	"github.com/dragonflypin/dragonflypin/internal/request/route"
	"github.com/dragonflypin/dragonflypin/internal/request/schedule"
)

// binding selects where requests wait.
type binding uint8

const (
	// lateBinding queues the request at the entry, which asks up to two sidecars for a slot and sends the request to the
	// first that grants one.
	lateBinding binding = iota
	// earlyBinding sends the request with its body to one sidecar, where it is queued.
	earlyBinding
)

const (
	// initialProbeInterval and maxProbeInterval limit how often a slow upstream is probed, because every probe is a request
	// that is served slowly.
	initialProbeInterval, maxProbeInterval = 10 * time.Second, time.Minute
	// zonePenalty is the default of the route package.
	zonePenalty = 1.1
	// promptTokensPerOutputToken is the number of prompt tokens that cost an engine as much time as one output token.
	promptTokensPerOutputToken = 256
	// shedInterval is the time between two checks of an entry's queued requests for shedding.
	shedInterval = 50 * time.Millisecond
	// initialReaskDelay is the wait without a grant after which another sidecar is asked; it doubles up to
	// maxReaskDelay.
	initialReaskDelay, maxReaskDelay = 25 * time.Millisecond, time.Second
	// noUpstreamRetryDelay is the delay before the next attempt when no upstream is eligible.
	noUpstreamRetryDelay = 50 * time.Millisecond
)

// production runs the production decision code: admission and upstream choice in the entries, and the scheduler in the
// sidecars. It simulates the messages between them.
type production struct {
	sim      *simulation
	binding  binding
	entries  []*entry
	sidecars []*sidecar
	// lastAskID is the ID of the newest ask.
	lastAskID uint64
	// limiters has one limiter for each entry. It is empty when no class has a limit.
	limiters []*entryLimiter
}

type entry struct {
	p        *production
	picker   *route.Picker
	overload [services]*overload.Controller
	// meanOutput is the moving average of the output length by class, in tokens.
	meanOutput []float64
}

type sidecar struct {
	p       *production
	e       *engine
	sched   *schedule.Scheduler
	asks    map[uint64]*ask
	running map[*request]*ask
	// wakeGeneration invalidates earlier wake-ups.
	wakeGeneration uint64
	reportLimiter  schedule.ReportLimiter
	// nextReport is the time for which the next report is scheduled.
	nextReport time.Time
}

type ask struct {
	id        uint64
	r         *request
	entry     *entry
	sidecar   *sidecar
	flight    route.InFlightRequest
	committed bool
	// The sidecar sets started when the upstream has the request, and ended when the ask has ended there.
	started, ended bool
}

// requestState is the entry's state of a request.
type requestState struct {
	entry *entry
	asks  [2]*ask
	// granted is the ask that was granted a slot.
	granted *ask
	// tried lists the upstreams that refused the request, most recent first.
	tried [route.MaxExclude]route.ID
	// replaceIndex is the index in asks of the next ask to replace; reaskGeneration invalidates earlier timers.
	replaceIndex, reaskGeneration int
	// saturated is set when a committed ask was refused because its sidecar had no free slot.
	saturated bool
	reason    route.Reason
}

var zones = [3]string{"a", "b", "c"}

func newProduction(sim *simulation, b binding) *production {
	p := &production{sim: sim, binding: b}
	for _, e := range sim.engines {
		p.sidecars = append(p.sidecars, &sidecar{p: p, e: e})
		p.sidecars[e.id].reset()
	}
	for i := range entries {
		en := &entry{p: p, picker: route.New(sim.start, route.Settings{Zone: zones[i%len(zones)], Seed: uint64(i + 1), InitialProbeInterval: initialProbeInterval, MaxProbeInterval: maxProbeInterval, Scorer: route.SlotWait{DrainTime: route.DrainTime{ZonePenalty: zonePenalty}}})}
		for s := range en.overload {
			en.overload[s] = overload.New(overload.Config{})
		}
		for range sim.classes {
			en.meanOutput = append(en.meanOutput, 128)
		}
		for _, e := range sim.engines {
			en.picker.Add(route.Upstream{Service: serviceNames[e.service], Zone: zones[e.zone], Slots: engineSlots})
		}
		p.entries = append(p.entries, en)
		p.shedPeriodically(sim.start, en)
	}
	if p.hasLimits() {
		p.limiters = newLimiters(p)
		for _, l := range p.limiters {
			l.tick(sim.start)
		}
		sim.onEnd = func(r *request) { p.limiters[r.entry].settle(r) }
	}
	return p
}

// sidecarOf requires that the engines were added to the pickers in order.
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
	p.admit(now, r)
}

// admit passes a request that is within its limits to overload control, and dispatches it if it is admitted.
func (p *production) admit(now time.Time, r *request) {
	en := p.entries[r.entry]
	row := &p.sim.classes[r.class]
	offer := &overload.Request{
		ID: r.id, Class: row.Class, Priority: uint8(row.Priority), Weight: uint16(row.Weight), Protected: row.Protected,
		TTFTTarget: row.TTFTTarget, MaxWait: row.MaxWait, Deadline: now.Add(row.Timeout),
	}
	v := en.overload[r.service].Offer(now, offer)
	if !v.Admitted() {
		r.retryAfter = v.RetryAfter
		p.checkRetry(now, en, r, offer)
		p.sim.finish(now, r, outcomeShed)
		return
	}
	d := &requestState{entry: en}
	r.policyState = d
	p.shed(now, en, r.service)
	if r.outcome == outcomeNone {
		p.dispatch(now, d, r)
	}
}

// checkRetry records whether the expected wait of a refused request, once its Retry-After has passed, is within its
// ttft_target.
func (p *production) checkRetry(now time.Time, en *entry, r *request, offer *overload.Request) {
	p.sim.after(now, r.retryAfter, func(now time.Time) {
		r.retried = true
		r.retryInTime = en.overload[r.service].ExpectedWait(now, offer) <= offer.TTFTTarget
	})
}

// shedPeriodically runs shed for every service of an entry, every shedInterval.
func (p *production) shedPeriodically(now time.Time, en *entry) {
	for s := range en.overload {
		p.shed(now, en, s)
	}
	p.sim.after(now, shedInterval, func(now time.Time) { p.shedPeriodically(now, en) })
}

// shed removes the queued requests that overload control sheds, unless they have a slot already.
func (p *production) shed(now time.Time, en *entry, service int) {
	for {
		s, ok := en.overload[service].Next(now)
		if !ok {
			return
		}
		r := p.sim.requests[s.ID-1]
		if d := r.policyState.(*requestState); d.granted == nil && !anyAskStarted(d) {
			r.retryAfter = s.RetryAfter
			p.withdraw(now, d, nil)
			p.sim.finish(now, r, outcomeShed)
		}
	}
}

// anyAskStarted reports whether a committed ask has started, including when its entry has not received the start yet.
func anyAskStarted(d *requestState) bool {
	for _, a := range d.asks {
		if a != nil && a.started {
			return true
		}
	}
	return false
}

// dispatch chooses upstreams for a request and asks their sidecars for a slot.
func (p *production) dispatch(now time.Time, d *requestState, r *request) {
	en := d.entry
	tokens := p.expected(d, r)
	c := en.picker.Pick(now, p.routeRequest(d, r))
	if c.First == route.None {
		d.tried = [route.MaxExclude]route.ID{}
		p.sim.after(now, noUpstreamRetryDelay, func(now time.Time) {
			if r.outcome == outcomeNone {
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
	d.reaskGeneration++
	if p.binding == lateBinding {
		p.reaskAfter(now, d, r, initialReaskDelay, d.reaskGeneration)
	}
}

// commit reports whether to send one committed ask: the first upstream probably has a free slot, or no other request of
// the service is queued at this entry, so a free slot is likely. A sidecar refuses a committed ask that it cannot start
// at once.
func (p *production) commit(en *entry, d *requestState, r *request, c *route.Choice) bool {
	if d.saturated {
		return false
	}
	if en.overload[r.service].Queued() <= 1 {
		return true
	}
	v, _ := en.picker.View(c.First)
	return c.Committed || float64(v.InFlight)+v.OthersInFlight < float64(v.Slots)
}

// reaskAfter schedules the replacement of one ask of a request that still waits, and repeats it with a doubled delay.
// The request loses no queue position, because sidecars order by the time of arrival at the entry.
func (p *production) reaskAfter(now time.Time, d *requestState, r *request, wait time.Duration, generation int) {
	p.sim.after(now, wait, func(now time.Time) {
		if r.outcome != outcomeNone || d.granted != nil || d.reaskGeneration != generation {
			return
		}
		p.reaskOne(now, d, r)
		p.reaskAfter(now, d, r, min(2*wait, maxReaskDelay), generation)
	})
}

// reaskOne replaces one of the two asks, alternately, but not a committed one.
func (p *production) reaskOne(now time.Time, d *requestState, r *request) {
	at := d.replaceIndex
	if a := d.asks[at]; a != nil && a.committed {
		at = 1 - at
	}
	d.replaceIndex = 1 - at
	c := d.entry.picker.Pick(now, p.routeRequest(d, r, d.asks[0], d.asks[1]))
	if c.First == route.None {
		return
	}
	if old := d.asks[at]; old != nil {
		p.drop(now, d.entry, old)
	}
	d.asks[at] = p.ask(now, d.entry, r, c.First, false, p.expected(d, r))
}

// expected is the expected cost of a request, in output tokens.
func (p *production) expected(d *requestState, r *request) int {
	return int(d.entry.meanOutput[r.class]) + r.prompt/promptTokensPerOutputToken
}

// routeRequest builds the picker's request. It excludes the upstreams of the given asks and those already tried.
func (p *production) routeRequest(d *requestState, r *request, asks ...*ask) *route.Request {
	row := &p.sim.classes[r.class]
	out := &route.Request{
		Service: serviceNames[r.service], PrefixHash: r.prefix, Tokens: p.expected(d, r),
		PrefixTokens: r.prompt / promptTokensPerOutputToken, Protected: row.Protected, Exclude: d.tried,
	}
	for i, a := range asks {
		if a != nil {
			out.Exclude[i] = a.sidecar.routeID()
		}
	}
	return out
}

// drop ends an ask at the entry and cancels it at its sidecar.
func (p *production) drop(now time.Time, en *entry, a *ask) {
	en.picker.End(now, &a.flight, 0)
	p.sim.after(now, hopDelay, func(now time.Time) { a.sidecar.cancel(now, a) })
}

func (p *production) ask(now time.Time, en *entry, r *request, id route.ID, committed bool, tokens int) *ask {
	p.lastAskID++
	a := &ask{id: p.lastAskID, r: r, entry: en, sidecar: p.sidecarOf(id), committed: committed}
	a.flight = en.picker.Begin(now, id, tokens)
	p.sim.after(now, hopDelay, func(now time.Time) { a.sidecar.receive(now, a) })
	return a
}

// withdraw cancels all asks of a request except keep, which may be nil.
func (p *production) withdraw(now time.Time, d *requestState, keep *ask) {
	for _, a := range d.asks {
		if a == nil || a == keep {
			continue
		}
		p.drop(now, d.entry, a)
	}
}

// granted handles a grant, or the start of a committed ask, at the entry.
func (p *production) granted(now time.Time, a *ask) {
	d := a.r.policyState.(*requestState)
	if d.granted != nil || a.r.outcome != outcomeNone || (d.asks[0] != a && d.asks[1] != a) || (anyAskStarted(d) && !a.started) {
		p.sim.after(now, hopDelay, func(now time.Time) { a.sidecar.cancel(now, a) })
		return
	}
	d.granted = a
	d.entry.overload[a.r.service].Started(now, a.r.id)
	d.entry.picker.RecordPrefix(a.sidecar.routeID(), a.r.prefix)
	// The other ask, if committed, can start until its sidecar has confirmed the cancellation. The granted ask waits for
	// that, so that the request never runs on two engines at once.
	confirm := time.Duration(0)
	for _, o := range d.asks {
		if o != nil && o != a && o.committed {
			confirm = 2 * hopDelay
		}
	}
	p.withdraw(now, d, a)
	if !a.committed {
		p.sim.after(now, confirm+hopDelay, func(now time.Time) { a.sidecar.start(now, a) })
	}
}

// refused handles, at the entry, a refusal or the loss of the session that a queued ask was sent on. A final refusal
// ends the request.
func (p *production) refused(now time.Time, a *ask, final bool) {
	d := a.r.policyState.(*requestState)
	d.entry.picker.End(now, &a.flight, 0)
	if d.granted == a {
		d.granted = nil
	}
	if a.r.outcome != outcomeNone || d.granted != nil {
		return
	}
	for i := range d.asks {
		if d.asks[i] == a {
			d.asks[i] = nil
		}
	}
	if final {
		p.withdraw(now, d, nil)
		d.entry.overload[a.r.service].Abandoned(now, a.r.id)
		p.sim.finish(now, a.r, outcomeDeadline)
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
		a.ended = true
		s.p.sim.after(now, hopDelay, func(now time.Time) { s.p.refused(now, a, false) })
		return
	}
	row := &s.p.sim.classes[a.r.class]
	s.asks[a.id] = a
	s.sched.Enqueue(now, schedule.Item{
		ID: a.id, Class: row.Class, Arrived: s.p.sim.start.Add(a.r.arrived),
		Deadline: s.p.sim.start.Add(a.r.arrived + row.Timeout), PromptTokens: a.r.prompt,
		Policy: schedule.Policy{
			Version: 1, Priority: uint8(row.Priority), Weight: uint16(row.Weight), Protected: row.Protected,
			TTFTTarget: row.TTFTTarget, TokenTarget: row.TokenTarget, MaxWait: row.MaxWait,
		},
	})
	s.step(now)
	if a.committed && !a.started && !a.ended && s.p.binding == lateBinding {
		s.removeAsk(a)
		s.sched.Remove(a.id)
		s.p.sim.after(now, hopDelay, func(now time.Time) {
			a.r.policyState.(*requestState).saturated = true
			s.p.refused(now, a, false)
		})
	}
}

func (s *sidecar) cancel(now time.Time, a *ask) {
	if a.ended {
		return
	}
	if a.started {
		s.e.cancel(now, a.r)
		delete(s.running, a.r)
	}
	s.removeAsk(a)
	s.sched.Remove(a.id)
	s.step(now)
}

func (s *sidecar) removeAsk(a *ask) {
	a.ended = true
	delete(s.asks, a.id)
}

func (s *sidecar) start(now time.Time, a *ask) {
	if a.ended {
		return
	}
	a.started = true
	s.running[a.r] = a
	s.e.start(now, a.r)
}

// step applies the scheduler's decisions until it has none.
func (s *sidecar) step(now time.Time) {
	for !s.e.down {
		d := s.sched.Next(now)
		if d.Action == schedule.ActionNone {
			s.scheduleWake(now, d.Wake)
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
			s.start(now, a)
		}
		s.p.sim.after(now, hopDelay, func(now time.Time) { s.p.granted(now, a) })
	case schedule.ActionPause:
		s.e.pause(now, a.r)
		if s.p.sim.classes[a.r.class].Protected {
			a.r.pausedForLower = true
		}
	case schedule.ActionResume:
		s.e.resume(now, a.r)
	case schedule.ActionRefuse:
		s.removeAsk(a)
		s.p.sim.after(now, hopDelay, func(now time.Time) { s.p.refused(now, a, true) })
	}
}

// scheduleWake replaces the scheduled wake-up; a zero time cancels it.
func (s *sidecar) scheduleWake(now, until time.Time) {
	s.wakeGeneration++
	if until.IsZero() {
		return
	}
	generation := s.wakeGeneration
	s.p.sim.after(now, until.Sub(now), func(now time.Time) {
		if generation == s.wakeGeneration {
			s.step(now)
		}
	})
}

// report sends the sidecar's load to every entry, at the rate that reportLimiter allows.
func (s *sidecar) report(now time.Time) {
	st := s.sched.Stats()
	send, wait := s.reportLimiter.Next(now, schedule.Report{
		Slots: st.Slots, Running: st.Running, Paused: st.Paused, Queued: st.Queued, Healthy: !s.e.down,
	})
	if at := now.Add(wait); wait > 0 && (!s.nextReport.After(now) || at.Before(s.nextReport)) {
		s.nextReport = at
		s.p.sim.after(now, wait, s.report)
	}
	if !send {
		return
	}
	_, interval := s.sched.Timing()
	r := route.Report{Slots: st.Slots, Running: st.Running, Paused: st.Paused, Queued: st.Queued, Healthy: !s.e.down}
	if interval > 0 {
		r.TokensPerSecond = float64(time.Second) / float64(interval)
	}
	s.p.sim.after(now, hopDelay+s.p.sim.scenario.reportDelay, func(now time.Time) {
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
	recordFirstToken(p.sim, now, r)
	s.sched.OnTokens(a.id, n, now)
	// The entry is updated without hopDelay: an event per chunk would be most of the events of a run.
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
	s.removeAsk(a)
	s.sched.OnDone(a.id, now)
	s.step(now)
	p.sim.after(now, hopDelay, func(now time.Time) {
		a.entry.picker.End(now, &a.flight, 0)
		a.entry.meanOutput[r.class] += 0.05 * (float64(r.output) - a.entry.meanOutput[r.class])
		p.sim.finish(now, r, outcomeCompleted)
	})
}

func (p *production) crashed(now time.Time, e *engine, _ []*request) {
	s := p.sidecars[e.id]
	var all []*ask
	// In order of ID, because the iteration order of a map differs between runs.
	for id := uint64(0); len(all) < len(s.asks); id++ {
		if a := s.asks[id]; a != nil {
			all = append(all, a)
		}
	}
	for _, a := range all {
		started := a.started
		a.ended = true
		p.sim.after(now, hopDelay, func(now time.Time) {
			if started {
				a.entry.picker.End(now, &a.flight, 0)
				p.sim.finish(now, a.r, outcomeInterrupted)
				return
			}
			p.refused(now, a, false)
		})
	}
	s.reset()
	p.setSuspect(now, s, true)
}

func (p *production) restarted(now time.Time, e *engine) { p.setSuspect(now, p.sidecars[e.id], false) }

// setSuspect sets or clears the suspect flag of a sidecar at every entry.
func (p *production) setSuspect(now time.Time, s *sidecar, on bool) {
	p.sim.after(now, hopDelay, func(time.Time) {
		for _, en := range p.entries {
			en.picker.SetFlag(s.routeID(), route.Suspect, on)
		}
	})
}

func (p *production) expire(now time.Time, r *request) {
	d, ok := r.policyState.(*requestState)
	if !ok {
		p.sim.finish(now, r, outcomeDeadline)
		return
	}
	d.entry.overload[r.service].Abandoned(now, r.id)
	p.withdraw(now, d, nil)
	p.sim.finish(now, r, outcomeDeadline)
}
