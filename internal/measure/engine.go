package measure

import (
	"slices"
	"time"
)

// event is one entry of the virtual-time event loop.
type event struct {
	at  time.Duration
	seq uint64
	run func(now time.Time)
}

func (e *event) before(o *event) bool { return e.at < o.at || (e.at == o.at && e.seq < o.seq) }

// eventHeap is a binary heap; container/heap would allocate for every event.
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

// world is one run: its clock, engines and requests.
type world struct {
	start    time.Time
	events   eventHeap
	seq      uint64
	scenario *scenario
	classes  []class
	engines  []*engine
	requests []*request
	open     int
	// windows counts the tokens by class in windows of shareWindow.
	windows map[int][]float64
	// admissions counts the requests that passed the limits by class and second; ended is called for every request.
	admissions map[int][]float64
	ended      func(*request)
}

// shareWindow is the time over which the shares of a tier must follow the weights.
const shareWindow = 10 * time.Second

// count adds generated tokens to the window of at.
func (w *world) count(at time.Duration, class, n int) {
	at -= w.scenario.lead()
	if at < 0 || at >= horizon {
		return
	}
	if w.windows == nil {
		w.windows = map[int][]float64{}
	}
	if w.windows[class] == nil {
		w.windows[class] = make([]float64, horizon/shareWindow)
	}
	w.windows[class][at/shareWindow] += float64(n)
}

// after runs f once d has passed.
func (w *world) after(now time.Time, d time.Duration, f func(now time.Time)) {
	w.seq++
	w.events.push(event{at: now.Sub(w.start) + d, seq: w.seq, run: f})
}

// loop sleeps until the next event and runs it, until all requests have ended. Inside a synctest bubble the sleep
// takes no real time.
func (w *world) loop() {
	for len(w.events) > 0 && w.open > 0 {
		e := w.events.pop()
		if wait := e.at - time.Since(w.start); wait > 0 {
			time.Sleep(wait)
		}
		e.run(time.Now())
	}
}

func (w *world) since(now time.Time) time.Duration { return now.Sub(w.start) }

func (w *world) inCrest(at time.Duration) bool {
	at -= w.scenario.lead()
	for _, c := range w.scenario.crest {
		if at >= c.from && at < c.to {
			return true
		}
	}
	return false
}

// finish records how a request ended. The first call counts.
func (w *world) finish(now time.Time, r *request, how end) {
	if r.end != endNone {
		return
	}
	r.end, r.done = how, w.since(now)
	w.open--
	if w.ended != nil {
		w.ended(r)
	}
}

// tickInterval is the time between two progress reports of an engine's streams.
const tickInterval = 100 * time.Millisecond

// client receives the events of an engine.
type client interface {
	// tokens reports n further tokens of a stream.
	tokens(now time.Time, e *engine, r *request, n int)
	// finished reports that a stream is complete; its slot is free.
	finished(now time.Time, e *engine, r *request)
	// lost reports that the engine crashed with these streams, running or paused.
	lost(now time.Time, e *engine, rs []*request)
	// back reports that a crashed engine is empty and running again.
	back(now time.Time, e *engine)
}

type stream struct {
	r *request
	// prefill is the rest of the prompt's reading time at full speed.
	prefill  time.Duration
	progress float64
	reported int
}

// engine is a fake model engine.
type engine struct {
	w        *world
	client   client
	id       int
	service  int
	zone     int
	slow     float64
	down     bool
	running  []*stream
	paused   []*stream
	prefixes []uint64
	last     time.Time
	nextTick time.Time
	epoch    int
}

func (e *engine) interval() float64 {
	return e.slow * float64(baseInterval+time.Duration(len(e.running))*streamInterval)
}

// begin starts a stream; the caller keeps to the number of slots.
func (e *engine) begin(now time.Time, r *request) {
	e.advance(now)
	fill := float64(r.prompt) / prefillRate * float64(time.Second)
	if e.cached(r.prefix) {
		fill *= prefixMiss
	}
	if !r.hasStarted {
		r.hasStarted, r.started = true, e.w.since(now)
	}
	e.running = append(e.running, &stream{r: r, prefill: time.Duration(fill)})
	e.plan(now)
}

// cached tells whether the prefix is in memory and makes it the most recently used.
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

// cancel drops a stream, running or paused.
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
	e.slow = factor
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
	e.client.lost(now, e, rs)
}

func (e *engine) restart(now time.Time) {
	e.down, e.last = false, now
	e.client.back(now, e)
}

// advance moves all running streams to now.
func (e *engine) advance(now time.Time) {
	dt := now.Sub(e.last)
	e.last = now
	if dt <= 0 {
		return
	}
	step := float64(dt) / e.interval()
	for _, s := range e.running {
		if s.prefill > 0 {
			s.prefill -= time.Duration(float64(dt) / e.slow)
			if s.prefill <= time.Microsecond {
				s.prefill, s.progress = 0, 1
			}
			continue
		}
		s.progress += step
	}
}

// plan schedules the engine's next event: the end of a prompt's reading, the end of a stream, or the next report.
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
			next = min(next, time.Duration(float64(s.prefill)*e.slow))
			continue
		}
		decoding = true
		next = min(next, time.Duration(max(0, float64(s.r.output)-s.progress)*interval))
	}
	if decoding {
		if !e.nextTick.After(now) {
			e.nextTick = now.Add(tickInterval)
		}
		next = min(next, e.nextTick.Sub(now))
	}
	epoch := e.epoch
	e.w.after(now, next+time.Microsecond, func(now time.Time) {
		if epoch == e.epoch {
			e.step(now)
		}
	})
}

// step reports progress and completed streams.
func (e *engine) step(now time.Time) {
	e.advance(now)
	tick := !e.nextTick.After(now)
	crest := e.w.inCrest(e.w.since(now))
	type report struct {
		r    *request
		n    int
		done bool
	}
	var reports []report
	kept := e.running[:0]
	for _, s := range e.running {
		done := s.prefill == 0 && s.progress >= float64(s.r.output)-0.01
		have := min(int(s.progress), s.r.output)
		if done {
			have = s.r.output
		}
		if n := have - s.reported; n > 0 && (tick || done || s.reported == 0) {
			s.reported = have
			s.r.tokens = have
			e.w.count(e.w.since(now), s.r.class, n)
			if crest {
				s.r.crestTokens += n
			}
			reports = append(reports, report{s.r, n, done})
		}
		if !done {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.plan(now)
	for _, p := range reports {
		e.client.tokens(now, e, p.r, p.n)
		if p.done {
			e.client.finished(now, e, p.r)
		}
	}
}
