// Package prompts simulates prompt workloads on engines in virtual time, under the placement policy of the edges, under
// the policy without one of its mechanisms, and under an oracle. The engines follow the published deployment
// specifications; edges receive each other's reports with a delay.
package prompts

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

const (
	// tickInterval is the time between two runs of the placers' periodic work.
	tickInterval = 20 * time.Millisecond
	// drainTime is how long a replay continues after the last arrival.
	drainTime = 8 * time.Second
	service   = "lm"
	zone      = "z"
)

// Tally counts the requests of one class by outcome.
type Tally struct{ Requests, InTime, Late, Refused, Failed int }

// Add adds another tally.
func (t *Tally) Add(o Tally) {
	t.Requests, t.InTime, t.Late, t.Refused, t.Failed = t.Requests+o.Requests, t.InTime+o.InTime, t.Late+o.Late, t.Refused+o.Refused, t.Failed+o.Failed
}

// replay is one run of a workload.
type replay struct {
	Workload
	// arrivals draws the requests, noise the slow periods; they are separate so that all variants get the same requests.
	arrivals, noise *rand.Rand
	start, now      time.Time
	placers         []*place.Placer
	engines         []*engine
	byID            map[string]*engine
	registry        *replicas.Registry
	queued          []*request
	retrying        []*request
	tallies         map[string]*Tally
}

// Run replays the workload and returns the tallies by class. The same seed gives the same requests.
func (w Workload) Run(seed uint64) map[string]Tally {
	x := &replay{
		Workload: w, arrivals: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2)),
		start: time.Unix(1000, 0), byID: map[string]*engine{}, registry: replicas.NewRegistry(), tallies: map[string]*Tally{},
	}
	x.now = x.start
	for n := range w.Replicas {
		e := newEngine(fmt.Sprintf("replica-%02d", n), w.Sheet)
		if len(w.Paces) > 0 {
			e.slowFactor = w.Paces[n%len(w.Paces)]
		}
		if n < w.SlowEngines {
			e.slowFactor = w.SlowFactor
		}
		x.engines, x.byID[e.id] = append(x.engines, e), e
	}
	for n := range w.Edges {
		x.placers = append(x.placers, place.New(zone, w.Placement, seed*100+uint64(n)))
	}
	x.updateReplicas()
	x.play()
	out := map[string]Tally{}
	for name, t := range x.tallies {
		out[name] = *t
	}
	return out
}

// updateReplicas sends the list of running engines to the placers.
func (x *replay) updateReplicas() {
	var changes []replicas.Change
	for _, e := range x.engines {
		if !e.lost {
			changes = append(changes, replicas.Change{ID: e.id, Replica: &replicas.Replica{ID: e.id, Service: service, Address: e.id, Zone: zone}})
		}
	}
	x.registry.Replace(changes, x.now)
	for _, p := range x.placers {
		if !x.UnknownMemory {
			p.UpdateMemory(map[string]int{service: x.Sheet.memoryTokens})
		}
		p.Update(x.registry.View(), []string{service})
	}
}

func (x *replay) play() {
	end := x.start.Add(x.Duration)
	arrival := make([]time.Time, len(x.Classes))
	for i := range x.Classes {
		x.tallies[x.Classes[i].Name] = &Tally{}
		arrival[i] = x.nextArrival(i)
	}
	nextReport, nextTick, lossAt := x.start.Add(x.ReportInterval), x.start, x.start.Add(x.LostAt)
	for x.now.Before(end.Add(drainTime)) {
		x.now = x.nextEvent(nextTick, nextReport, arrival, end)
		if x.LostEngines > 0 && !lossAt.After(x.now) {
			x.loseEngines()
		}
		for i := range arrival {
			if !arrival[i].After(x.now) && arrival[i].Before(end) {
				x.arrive(&x.Classes[i])
				arrival[i] = x.nextArrival(i)
			}
		}
		x.retryDue()
		for _, e := range x.engines {
			if !e.idle() && !e.next.After(x.now) {
				x.step(e)
			}
		}
		if x.ReportInterval > 0 && !nextReport.After(x.now) {
			x.exchangeReports()
			nextReport = x.now.Add(x.ReportInterval)
		}
		if !nextTick.After(x.now) {
			for _, p := range x.placers {
				p.Tick(x.now)
			}
			nextTick = x.now.Add(tickInterval)
		}
		x.poll()
	}
	for _, r := range x.queued {
		x.tallies[r.class.Name].Failed++
	}
}

// nextEvent returns the time of the next event.
func (x *replay) nextEvent(nextTick, nextReport time.Time, arrival []time.Time, end time.Time) time.Time {
	next := nextTick
	earlier := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	for _, at := range arrival {
		if at.Before(end) {
			earlier(at)
		}
	}
	if x.ReportInterval > 0 {
		earlier(nextReport)
	}
	for _, e := range x.engines {
		if !e.idle() {
			earlier(e.next)
		}
	}
	if next.Before(x.now) {
		return x.now
	}
	return next
}

func (x *replay) nextArrival(i int) time.Time {
	c := &x.Classes[i]
	rate := c.RequestsPerSecond
	if at := x.now.Sub(x.start); c.BurstFactor > 0 && at >= c.BurstFrom && at < c.BurstTo {
		rate *= c.BurstFactor
	}
	return x.now.Add(time.Duration(x.arrivals.ExpFloat64() / rate * float64(time.Second)))
}

func (x *replay) arrive(c *Class) {
	// The factor of the mean length is log-normal with mean 1.
	own := max(50, int(float64(c.own)*math.Exp(0.8*x.arrivals.NormFloat64()-0.32)))
	part := x.arrivals.IntN(c.SharedParts)
	if x.arrivals.Float64() < c.HotShare {
		part = 0
	}
	r := &request{class: c, edge: x.arrivals.IntN(x.Edges), tokens: c.events * x.Sheet.eventTokens, job: &place.Job{
		Service: service, Route: c.Name, Target: c.target, Priority: c.priority, Arrived: x.now, Tokens: c.shared + own, Repeatable: true,
		Parts: []place.Part{{ID: fmt.Sprintf("%s-%d", c.Name, part), Tokens: c.shared}, {ID: fmt.Sprint(x.arrivals.Uint64()), Tokens: own}},
	}}
	x.tallies[c.Name].Requests++
	x.enqueue(r)
}

// enqueue requests a replica. The tally measures a retried request from its first arrival.
func (x *replay) enqueue(r *request) {
	if x.Oracle {
		x.placeByOracle(r)
		return
	}
	job := *r.job
	job.Arrived = x.now
	waiter, ok := x.placers[r.edge].Enqueue(&job, x.now)
	if !ok {
		x.tallies[r.class.Name].Failed++
		return
	}
	r.waiter = waiter
	x.queued = append(x.queued, r)
}

// poll sends granted requests and ends the wait of those whose queue timeout has passed.
func (x *replay) poll() {
	x.queued = slices.DeleteFunc(x.queued, func(r *request) bool {
		p := x.placers[r.edge]
		select {
		case r.choice = <-r.waiter.Granted:
			x.send(r)
			return true
		default:
		}
		if x.now.Before(r.waiter.QueueDeadline) {
			return false
		}
		p.Dequeue(r.waiter)
		if p.ForcePlace(r.waiter, x.now) {
			r.choice = <-r.waiter.Granted
			x.send(r)
			return true
		}
		x.refuse(r, p.RetryAfter(r.waiter, x.now))
		return true
	})
}

// refuse ends a request or schedules the retry of its caller.
func (x *replay) refuse(r *request, after time.Duration) {
	if r.retries >= x.Retries {
		x.tallies[r.class.Name].Refused++
		return
	}
	r.retries++
	r.retryAt = x.now.Add(after)
	x.retrying = append(x.retrying, r)
}

func (x *replay) retryDue() {
	var ready []*request
	x.retrying = slices.DeleteFunc(x.retrying, func(r *request) bool {
		due := !r.retryAt.After(x.now)
		if due {
			ready = append(ready, r)
		}
		return due
	})
	for _, r := range ready {
		x.enqueue(r)
	}
}

func (x *replay) send(r *request) {
	var source *engine
	if r.choice.Source != nil {
		source = x.byID[r.choice.Source.ID]
	}
	x.byID[r.choice.Replica.ID].enqueue(r, source, x.now)
}

func (x *replay) step(e *engine) {
	for _, r := range e.step(x.now, x.noise, x.NoNoise) {
		x.event(e, r)
	}
	for _, list := range [][]*request{slices.Clone(e.running), slices.Clone(e.queue)} {
		for _, r := range list {
			if r.firstEvent.IsZero() && x.now.Sub(r.job.Arrived) > r.class.abandonAfter {
				x.end(e, r)
			}
		}
	}
}

func (x *replay) event(e *engine, r *request) {
	if r.firstEvent.IsZero() {
		r.firstEvent = x.now
	} else {
		r.longestGap = max(r.longestGap, x.now.Sub(r.lastEvent))
	}
	if !x.Oracle {
		x.reportEvent(r)
	}
	r.lastEvent = x.now
	if r.tokens == 0 {
		x.end(e, r)
	}
}

// reportEvent reports an event to the request's placer.
func (x *replay) reportEvent(r *request) {
	p := x.placers[r.edge]
	if r.lastEvent.IsZero() {
		p.FirstEvent(r.choice, x.now)
		return
	}
	p.Loads.RecordGap(r.choice.Key, x.now.Sub(r.lastEvent), x.now)
}

func (x *replay) end(e *engine, r *request) {
	if !x.Oracle {
		x.placers[r.edge].Ended(r.choice, !r.firstEvent.IsZero(), x.now)
	}
	e.remove(r)
	t := x.tallies[r.class.Name]
	switch {
	case r.firstEvent.IsZero() || r.tokens > 0:
		t.Failed++
	case r.firstEvent.Sub(r.job.Arrived) <= r.class.target && r.longestGap <= r.class.maxGap:
		t.InTime++
	default:
		t.Late++
	}
}

// loseEngines fails the last engines with all requests that they run, and removes them from the list.
func (x *replay) loseEngines() {
	for _, e := range x.engines[len(x.engines)-x.LostEngines:] {
		e.lost = true
		for _, r := range slices.Concat(e.running, e.queue) {
			x.end(e, r)
		}
	}
	x.LostEngines = 0
	x.updateReplicas()
}

// exchangeReports delivers the report of each edge to the others.
func (x *replay) exchangeReports() {
	for i, from := range x.placers {
		own := map[place.Key]place.Load{}
		from.Loads.Own(own, x.now)
		report := place.ReportOf{Loads: own, Hints: from.TakeHints(), Paces: from.TakePaceSamples()}
		for j, to := range x.placers {
			if i != j {
				to.ApplyReport(fmt.Sprint(i), report, x.now)
			}
		}
	}
}
