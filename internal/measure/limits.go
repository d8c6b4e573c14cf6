package measure

import (
	"fmt"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/limit"
)

// entryLimiter enforces the limits at one entry: limiter admits requests from granted allowances, and owner grants
// allowances for the keys that the entry owns.
type entryLimiter struct {
	p       *production
	name    string
	limiter *limit.Limiter
	owner   *limit.Owner
	// waiting are the requests that wait for an allowance.
	waiting          []*request
	collectScheduled bool
}

func newLimiters(p *production) []*entryLimiter {
	codec := limit.Codec{Marshal: wire.Marshal, Unmarshal: wire.Unmarshal}
	limits := func(k limit.Key) limit.Limits {
		for i := range p.sim.classes {
			if c := &p.sim.classes[i]; c.Class == k.Class {
				return limit.Limits{Version: 1, Requests: c.RequestRate, Tokens: c.TokenRate, Concurrency: c.Concurrency}
			}
		}
		return limit.Limits{}
	}
	var ls []*entryLimiter
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	for _, name := range names {
		o := limit.NewOwner(name, time.Now, codec)
		o.AssumeFresh()
		o.SetMembers(p.sim.start, limit.Members{Live: names})
		l := limit.NewLimiter(limit.LimiterSettings{Self: name, Limits: limits, Owner: o, Codec: codec, Clock: time.Now})
		l.SetMembers(limit.Members{Live: names})
		ls = append(ls, &entryLimiter{p: p, name: name, limiter: l, owner: o})
	}
	return ls
}

func (p *production) hasLimits() bool {
	for i := range p.sim.classes {
		if c := &p.sim.classes[i]; c.RequestRate > 0 || c.TokenRate > 0 || c.Concurrency > 0 {
			return true
		}
	}
	return false
}

func (p *production) limitKey(r *request) limit.Key {
	return limit.Key{Class: p.sim.classes[r.class].Class, Workspace: "w"}
}

// admit admits or refuses a request, or makes it wait for the owner's grant.
func (l *entryLimiter) admit(now time.Time, r *request) {
	r.reserved = r.prompt + int(l.p.entries[r.entry].meanOutput[r.class])
	d := l.limiter.Admit(now, l.p.limitKey(r), r.reserved)
	switch d.Result {
	case limit.Admitted:
		r.unsettled = true
		l.p.sim.countAdmission(now, r)
		l.p.admit(now, r)
	case limit.Wait:
		l.waiting = append(l.waiting, r)
		l.scheduleCollect(now)
	default:
		r.retryAfter = d.RetryAfter
		l.p.sim.finish(now, r, outcomeLimited)
	}
}

// settle replaces the reservation of an admitted request with the tokens it used.
func (l *entryLimiter) settle(r *request) {
	if r.unsettled {
		r.unsettled = false
		used := 0
		if r.hasStarted {
			used = r.prompt + r.tokens
		}
		l.limiter.Settle(l.p.limitKey(r), r.reserved, used)
	}
}

// scheduleCollect runs collect once, after the other events of this instant.
func (l *entryLimiter) scheduleCollect(now time.Time) {
	if !l.collectScheduled {
		l.collectScheduled = true
		l.p.sim.after(now, 0, func(now time.Time) {
			l.collectScheduled = false
			l.collect(now)
		})
	}
}

func (l *entryLimiter) tick(now time.Time) {
	l.owner.Tick(now)
	l.collect(now)
	l.p.sim.after(now, limit.BatchInterval, l.tick)
}

// collect sends the limiter's allowance requests to the owners of their keys, and schedules the grants.
func (l *entryLimiter) collect(now time.Time) {
	for _, b := range l.limiter.Collect(now) {
		l.p.sim.after(now, hopDelay, func(now time.Time) {
			for _, o := range l.p.limiters {
				if o.name == b.Owner {
					g := o.owner.Grant(now, l.name, &b.Request)
					l.p.sim.after(now, hopDelay, func(now time.Time) { l.granted(now, &b, &g) })
				}
			}
		})
	}
}

// granted applies an owner's grant and retries the waiting requests.
func (l *entryLimiter) granted(now time.Time, b *limit.Batch, g *limit.AllowanceGrant) {
	l.limiter.Apply(now, b, g)
	rs := l.waiting
	l.waiting = nil
	for _, r := range rs {
		if r.outcome == outcomeNone {
			l.admit(now, r)
		}
	}
}

// countAdmission counts an admitted request for the metric limit_overshoot.
func (sim *simulation) countAdmission(now time.Time, r *request) {
	if at := sim.since(now) - sim.scenario.warmUp(); at >= 0 && at < horizon {
		if sim.admissions == nil {
			sim.admissions = map[int][]float64{}
		}
		if sim.admissions[r.class] == nil {
			sim.admissions[r.class] = make([]float64, horizon/time.Second)
		}
		sim.admissions[r.class][at/time.Second]++
	}
}

// overshoot is the largest excess of a class's admitted requests over its request rate in any window of 10 s, as a
// share of the limit. The limit allows a burst of one second's requests on top of the rate.
func (sim *simulation) overshoot(class int) float64 {
	const window = 10
	rate := sim.classes[class].RequestRate
	counts := sim.admissions[class]
	worst := 0.0
	for i := 0; i+window <= len(counts); i++ {
		sum := 0.0
		for _, n := range counts[i : i+window] {
			sum += n
		}
		worst = max(worst, sum/(rate*(window+1))-1)
	}
	return worst
}
