// Package prompts replays loads of prompts on engines in virtual time, under the placement that edges use, without one of
// its mechanisms, and under an oracle. The engines follow the published sheets; entries hear of each other late.
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
	// tick is the time between two runs of the placers' periodic work.
	tick = 20 * time.Millisecond
	// rest is how long a run goes on after the last arrival.
	rest    = 8 * time.Second
	service = "lm"
	zone    = "z"
)

// Tally counts the requests of one class by their ends.
type Tally struct{ Asked, InTime, Late, Refused, Failed int }

// Add adds another tally.
func (t *Tally) Add(o Tally) {
	t.Asked, t.InTime, t.Late, t.Refused, t.Failed = t.Asked+o.Asked, t.InTime+o.InTime, t.Late+o.Late, t.Refused+o.Refused, t.Failed+o.Failed
}

// run is one replay.
type run struct {
	Load
	// load draws the requests, noise the slow spells, so that variants see the same.
	load, noise *rand.Rand
	start, now  time.Time
	placers     []*place.Placer
	engines     []*engine
	byID        map[string]*engine
	registry    *replicas.Registry
	waiting     []*request
	coming      []*request
	tallies     map[string]*Tally
}

// Run plays the load and returns the tallies by class. The same seed gives the same load.
func (l Load) Run(seed uint64) map[string]Tally {
	x := &run{
		Load: l, load: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2)),
		start: time.Unix(1000, 0), byID: map[string]*engine{}, registry: replicas.NewRegistry(), tallies: map[string]*Tally{},
	}
	x.now = x.start
	for n := range l.Replicas {
		e := newEngine(fmt.Sprintf("replica-%02d", n))
		e.memory = l.Memory
		if n < l.Slow {
			e.slow = l.SlowBy
		}
		x.engines, x.byID[e.id] = append(x.engines, e), e
	}
	for n := range l.Entries {
		x.placers = append(x.placers, place.New(zone, l.Set, seed*100+uint64(n)))
	}
	x.list()
	x.play()
	out := map[string]Tally{}
	for name, t := range x.tallies {
		out[name] = *t
	}
	return out
}

// list tells the placers which engines there are.
func (x *run) list() {
	var changes []replicas.Change
	for _, e := range x.engines {
		if !e.lost {
			changes = append(changes, replicas.Change{ID: e.id, Replica: &replicas.Replica{ID: e.id, Service: service, Address: e.id, Zone: zone}})
		}
	}
	x.registry.Replace(changes, x.now)
	for _, p := range x.placers {
		p.Update(x.registry.View(), []string{service})
	}
}

func (x *run) play() {
	end := x.start.Add(x.Length)
	arrival := make([]time.Time, len(x.Classes))
	for i := range x.Classes {
		x.tallies[x.Classes[i].Name] = &Tally{}
		arrival[i] = x.nextArrival(i)
	}
	nextReport, nextTick, lossAt := x.start.Add(x.Report), x.start, x.start.Add(x.LostAt)
	for x.now.Before(end.Add(rest)) {
		x.now = x.next(nextTick, nextReport, arrival, end)
		if x.Lost > 0 && !lossAt.After(x.now) {
			x.lose()
		}
		for i := range arrival {
			if !arrival[i].After(x.now) && arrival[i].Before(end) {
				x.arrive(&x.Classes[i])
				arrival[i] = x.nextArrival(i)
			}
		}
		x.comeBack()
		for _, e := range x.engines {
			if !e.idle() && !e.next.After(x.now) {
				x.step(e)
			}
		}
		if x.Report > 0 && !nextReport.After(x.now) {
			x.exchange()
			nextReport = x.now.Add(x.Report)
		}
		if !nextTick.After(x.now) {
			for _, p := range x.placers {
				p.Tick(x.now)
			}
			nextTick = x.now.Add(tick)
		}
		x.poll()
	}
	for _, r := range x.waiting {
		x.tallies[r.class.Name].Failed++
	}
}

// next returns the time of the next event.
func (x *run) next(nextTick, nextReport time.Time, arrival []time.Time, end time.Time) time.Time {
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
	if x.Report > 0 {
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

func (x *run) nextArrival(i int) time.Time {
	c := &x.Classes[i]
	rate := c.PerSecond
	if at := x.now.Sub(x.start); c.Burst > 0 && at >= c.BurstFrom && at < c.BurstTo {
		rate *= c.Burst
	}
	return x.now.Add(time.Duration(x.load.ExpFloat64() / rate * float64(time.Second)))
}

func (x *run) arrive(c *Class) {
	own := max(50, int(float64(c.own)*math.Exp(0.8*x.load.NormFloat64()-0.32)))
	subject := x.load.IntN(c.Subjects)
	if x.load.Float64() < c.Hot {
		subject = 0
	}
	r := &request{class: c, entry: x.load.IntN(x.Entries), tokens: c.events * eventTokens, job: &place.Job{
		Service: service, Route: c.Name, Target: c.target, Priority: c.priority, Arrived: x.now, Tokens: c.shared + own, Repeatable: true,
		Parts: []place.Part{{ID: fmt.Sprintf("%s-%d", c.Name, subject), Tokens: c.shared}, {ID: fmt.Sprint(x.load.Uint64()), Tokens: own}},
	}}
	x.tallies[c.Name].Asked++
	x.enter(r)
}

// enter asks for a place. A caller who comes back counts from its first arrival.
func (x *run) enter(r *request) {
	if x.Oracle {
		x.foresee(r)
		return
	}
	job := *r.job
	job.Arrived = x.now
	ticket, ok := x.placers[r.entry].Enter(&job, x.now)
	if !ok {
		x.tallies[r.class.Name].Failed++
		return
	}
	r.ticket = ticket
	x.waiting = append(x.waiting, r)
}

// poll sends granted requests and ends the patience of the others.
func (x *run) poll() {
	x.waiting = slices.DeleteFunc(x.waiting, func(r *request) bool {
		p := x.placers[r.entry]
		select {
		case r.choice = <-r.ticket.Granted:
			x.send(r)
			return true
		default:
		}
		if x.now.Before(r.ticket.Patience) {
			return false
		}
		p.Leave(r.ticket)
		if p.Insist(r.ticket, x.now) {
			r.choice = <-r.ticket.Granted
			x.send(r)
			return true
		}
		x.refuse(r, p.ReturnAfter(r.ticket, x.now))
		return true
	})
}

// refuse ends a request or lets its caller come back.
func (x *run) refuse(r *request, after time.Duration) {
	if r.returns >= x.Returns {
		x.tallies[r.class.Name].Refused++
		return
	}
	r.returns++
	r.back = x.now.Add(after)
	x.coming = append(x.coming, r)
}

func (x *run) comeBack() {
	var now []*request
	x.coming = slices.DeleteFunc(x.coming, func(r *request) bool {
		due := !r.back.After(x.now)
		if due {
			now = append(now, r)
		}
		return due
	})
	for _, r := range now {
		x.enter(r)
	}
}

func (x *run) send(r *request) {
	var source *engine
	if r.choice.Source != nil {
		source = x.byID[r.choice.Source.ID]
	}
	x.byID[r.choice.Replica.ID].begin(r, source, x.now)
}

func (x *run) step(e *engine) {
	for _, r := range e.step(x.now, x.noise, x.Quiet) {
		x.event(e, r)
	}
	for _, list := range [][]*request{slices.Clone(e.running), slices.Clone(e.queue)} {
		for _, r := range list {
			if r.first.IsZero() && x.now.Sub(r.job.Arrived) > r.class.abandonAfter {
				x.end(e, r)
			}
		}
	}
}

func (x *run) event(e *engine, r *request) {
	if r.first.IsZero() {
		r.first = x.now
	} else {
		r.longest = max(r.longest, x.now.Sub(r.last))
	}
	if !x.Oracle {
		x.tell(r)
	}
	r.last = x.now
	if r.tokens == 0 {
		x.end(e, r)
	}
}

// tell hands an event to the request's placer.
func (x *run) tell(r *request) {
	p := x.placers[r.entry]
	if r.last.IsZero() {
		p.FirstEvent(r.choice, x.now)
		return
	}
	p.Board.Paused(r.choice.Key, x.now.Sub(r.last), x.now)
}

func (x *run) end(e *engine, r *request) {
	if !x.Oracle {
		x.placers[r.entry].Ended(r.choice, !r.first.IsZero(), x.now)
	}
	e.drop(r)
	t := x.tallies[r.class.Name]
	switch {
	case r.first.IsZero() || r.tokens > 0:
		t.Failed++
	case r.first.Sub(r.job.Arrived) <= r.class.target && r.longest <= r.class.gap:
		t.InTime++
	default:
		t.Late++
	}
}

// lose ends the last engines with all that they run, and takes them from the list.
func (x *run) lose() {
	for _, e := range x.engines[len(x.engines)-x.Lost:] {
		e.lost = true
		for _, r := range slices.Concat(e.running, e.queue) {
			x.end(e, r)
		}
	}
	x.Lost = 0
	x.list()
}

// exchange delivers the state of each entry to the others.
func (x *run) exchange() {
	for i, from := range x.placers {
		own := map[place.Key]place.Load{}
		from.Board.Own(own, x.now)
		notes := from.FreshNotes()
		for j, to := range x.placers {
			if i != j {
				to.Reported(fmt.Sprint(i), own, notes, x.now)
			}
		}
	}
}
