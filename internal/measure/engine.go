package measure

import (
	"slices"
	"time"
)

// event is a function scheduled to run at a point of virtual time. Events at the same time run in the order of seq.
type event struct {
	at  time.Duration
	seq uint64
	run func(now time.Time)
}

func (e *event) before(o *event) bool { return e.at < o.at || (e.at == o.at && e.seq < o.seq) }

// eventHeap is a binary heap ordered by time; container/heap would allocate for every event.
type eventHeap []event

func (h *eventHeap) push(e event) {
	*h = append(*h, e)
	s := *h
	i := len(s) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !e.before(&s[up]) {
			break
		}
		s[i] = s[up]
		i = up
	}
	s[i] = e
}

func (h *eventHeap) pop() event {
	s := *h
	first, last := s[0], s[len(s)-1]
	s[len(s)-1] = event{}
	s = s[:len(s)-1]
	*h = s
	if len(s) == 0 {
		return first
	}
	i := 0
	for {
		next := 2*i + 1
		if next >= len(s) {
			break
		}
		if next+1 < len(s) && s[next+1].before(&s[next]) {
			next++
		}
		if !s[next].before(&last) {
			break
		}
		s[i] = s[next]
		i = next
	}
	s[i] = last
	return first
}

// simulation is the state of one run.
type simulation struct {
	start    time.Time
	events   eventHeap
	seq      uint64
	scenario *scenario
	classes  []class
	engines  []*engine
	requests []*request
	// pending is the number of requests without an outcome.
	pending int
	// windowTokens counts the generated tokens by class and window of length shareWindow.
	windowTokens map[int][]float64
	// admissions counts the requests admitted by the limits, by class and second of the measured time.
	admissions map[int][]float64
	// onEnd is called once for every request, when it has its outcome.
	onEnd func(*request)
}

// shareWindow is the period over which the token shares of a tier's classes must follow their weights.
const shareWindow = 10 * time.Second

// countTokens adds n generated tokens to the window that contains at.
func (sim *simulation) countTokens(at time.Duration, class, n int) {
	at -= sim.scenario.warmUp()
	if at < 0 || at >= horizon {
		return
	}
	if sim.windowTokens == nil {
		sim.windowTokens = map[int][]float64{}
	}
	if sim.windowTokens[class] == nil {
		sim.windowTokens[class] = make([]float64, horizon/shareWindow)
	}
	sim.windowTokens[class][at/shareWindow] += float64(n)
}

// after schedules f to run d after now.
func (sim *simulation) after(now time.Time, d time.Duration, f func(now time.Time)) {
	sim.seq++
	sim.events.push(event{at: now.Sub(sim.start) + d, seq: sim.seq, run: f})
}

// loop runs the events in order of time until every request has an outcome. It sleeps between events, which takes no
// real time inside a synctest bubble.
func (sim *simulation) loop() {
	for len(sim.events) > 0 && sim.pending > 0 {
		e := sim.events.pop()
		if wait := e.at - time.Since(sim.start); wait > 0 {
			time.Sleep(wait)
		}
		e.run(time.Now())
	}
}

func (sim *simulation) since(now time.Time) time.Duration { return now.Sub(sim.start) }

func (sim *simulation) inOverload(at time.Duration) bool {
	at -= sim.scenario.warmUp()
	for _, c := range sim.scenario.overload {
		if at >= c.from && at < c.to {
			return true
		}
	}
	return false
}

// finish records the outcome of a request. Later calls for the same request have no effect.
func (sim *simulation) finish(now time.Time, r *request, o outcome) {
	if r.outcome != outcomeNone {
		return
	}
	r.outcome, r.done = o, sim.since(now)
	sim.pending--
	if sim.onEnd != nil {
		sim.onEnd(r)
	}
}

// progressInterval is the time between two progress reports of an engine with decoding streams.
const progressInterval = 100 * time.Millisecond

// client receives the events of an engine.
type client interface {
	// tokens reports n more generated tokens of a stream.
	tokens(now time.Time, e *engine, r *request, n int)
	// finished reports that a stream is complete and its slot is free.
	finished(now time.Time, e *engine, r *request)
	// crashed reports that the engine crashed and lost these streams, running or paused.
	crashed(now time.Time, e *engine, rs []*request)
	// restarted reports that a crashed engine runs again, without streams.
	restarted(now time.Time, e *engine)
}

type stream struct {
	r *request
	// prefill is the remaining prefill time at normal speed.
	prefill time.Duration
	// progress is the number of output tokens generated so far, with fractions; reported is the number that the client
	// has received.
	progress float64
	reported int
}

// engine simulates an inference engine with continuous batching.
type engine struct {
	sim     *simulation
	client  client
	id      int
	service int
	zone    int
	// slowFactor multiplies the prefill time and the time between tokens; 1 is normal.
	slowFactor float64
	down       bool
	running    []*stream
	paused     []*stream
	// prefixes are the cached prefixes, least recently used first.
	prefixes     []uint64
	lastAdvance  time.Time
	nextProgress time.Time
	// epoch changes with every plan and crash, which invalidates the events planned before.
	epoch int
}

// interval is the current time between tokens of each stream, in nanoseconds.
func (e *engine) interval() float64 {
	return e.slowFactor * float64(baseInterval+time.Duration(len(e.running))*streamInterval)
}

// start starts a stream. The caller ensures that a slot is free.
func (e *engine) start(now time.Time, r *request) {
	e.advance(now)
	prefill := float64(r.prompt) / prefillTokensPerSecond * float64(time.Second)
	if e.cached(r.prefix) {
		prefill *= cachedPrefillFactor
	}
	if !r.hasStarted {
		r.hasStarted, r.started = true, e.sim.since(now)
	}
	e.running = append(e.running, &stream{r: r, prefill: time.Duration(prefill)})
	e.plan(now)
}

// cached reports whether the prefix is cached, and makes it the most recently used.
func (e *engine) cached(prefix uint64) bool {
	i := slices.Index(e.prefixes, prefix)
	if i >= 0 {
		e.prefixes = slices.Delete(e.prefixes, i, i+1)
	} else if len(e.prefixes) >= cachedPrefixes {
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
	e.prefixes = append(e.prefixes, prefix)
	return i >= 0
}

func (e *engine) pause(now time.Time, r *request) {
	e.advance(now)
	if i := find(e.running, r); i >= 0 {
		e.paused = append(e.paused, e.running[i])
		e.running = slices.Delete(e.running, i, i+1)
		r.paused++
	}
	e.plan(now)
}

func (e *engine) resume(now time.Time, r *request) {
	e.advance(now)
	if i := find(e.paused, r); i >= 0 {
		e.running = append(e.running, e.paused[i])
		e.paused = slices.Delete(e.paused, i, i+1)
	}
	e.plan(now)
}

// cancel removes a running or paused stream.
func (e *engine) cancel(now time.Time, r *request) {
	e.advance(now)
	if i := find(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	if i := find(e.paused, r); i >= 0 {
		e.paused = slices.Delete(e.paused, i, i+1)
	}
	e.plan(now)
}

func find(ss []*stream, r *request) int {
	return slices.IndexFunc(ss, func(s *stream) bool { return s.r == r })
}

func (e *engine) setSlow(now time.Time, factor float64) {
	e.advance(now)
	e.slowFactor = factor
	e.plan(now)
}

func (e *engine) crash(now time.Time) {
	e.advance(now)
	var rs []*request
	for _, s := range append(e.running, e.paused...) {
		rs = append(rs, s.r)
	}
	e.running, e.paused, e.prefixes, e.down = nil, nil, nil, true
	e.epoch++
	e.client.crashed(now, e, rs)
}

func (e *engine) restart(now time.Time) {
	e.down, e.lastAdvance = false, now
	e.client.restarted(now, e)
}

// advance updates the progress of the running streams to now.
func (e *engine) advance(now time.Time) {
	dt := now.Sub(e.lastAdvance)
	e.lastAdvance = now
	if dt <= 0 {
		return
	}
	step := float64(dt) / e.interval()
	for _, s := range e.running {
		if s.prefill > 0 {
			s.prefill -= time.Duration(float64(dt) / e.slowFactor)
			if s.prefill <= time.Microsecond {
				s.prefill, s.progress = 0, 1
			}
			continue
		}
		s.progress += step
	}
}

// plan schedules the engine's next event: the end of a prefill, the end of a stream, or the next progress report.
func (e *engine) plan(now time.Time) {
	e.epoch++
	if len(e.running) == 0 {
		return
	}
	interval := e.interval()
	next := time.Duration(1 << 62)
	decoding := false
	for _, s := range e.running {
		if s.prefill > 0 {
			next = min(next, time.Duration(float64(s.prefill)*e.slowFactor))
			continue
		}
		decoding = true
		next = min(next, time.Duration(max(0, float64(s.r.output)-s.progress)*interval))
	}
	if decoding {
		if !e.nextProgress.After(now) {
			e.nextProgress = now.Add(progressInterval)
		}
		next = min(next, e.nextProgress.Sub(now))
	}
	epoch := e.epoch
	e.sim.after(now, next+time.Microsecond, func(now time.Time) {
		if epoch == e.epoch {
			e.step(now)
		}
	})
}

// step reports progress and completed streams to the client.
func (e *engine) step(now time.Time) {
	e.advance(now)
	progressDue := !e.nextProgress.After(now)
	overloaded := e.sim.inOverload(e.sim.since(now))
	type report struct {
		r    *request
		n    int
		done bool
	}
	var reports []report
	remaining := e.running[:0]
	for _, s := range e.running {
		done := s.prefill == 0 && s.progress >= float64(s.r.output)-0.01
		generated := min(int(s.progress), s.r.output)
		if done {
			generated = s.r.output
		}
		if n := generated - s.reported; n > 0 && (progressDue || done || s.reported == 0) {
			s.reported = generated
			s.r.tokens = generated
			e.sim.countTokens(e.sim.since(now), s.r.class, n)
			if overloaded {
				s.r.overloadTokens += n
			}
			reports = append(reports, report{s.r, n, done})
		}
		if !done {
			remaining = append(remaining, s)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	e.plan(now)
	for _, p := range reports {
		e.client.tokens(now, e, p.r, p.n)
		if p.done {
			e.client.finished(now, e, p.r)
		}
	}
}
