package measure

import (
	"fmt"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/limit"
)

// limiter is the limit enforcement of one entry: its borrowed allowances and the keys that it owns.
type limiter struct {
	p       *production
	name    string
	local   *limit.Limiter
	owner   *limit.Owner
	waiting []*request
	kicked  bool
}

func newLimiters(p *production) []*limiter {
	codec := limit.Codec{Marshal: wire.Marshal, Unmarshal: wire.Unmarshal}
	limits := func(k limit.Key) limit.Limits {
		for i := range p.w.classes {
			if c := &p.w.classes[i]; c.Class == k.Class {
				return limit.Limits{Version: 1, Requests: c.RequestRate, Tokens: c.TokenRate, Concurrency: c.Concurrency}
			}
		}
		return limit.Limits{}
	}
	var ls []*limiter
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	for _, name := range names {
		o := limit.NewOwner(name, time.Now, codec)
		o.AssumeFresh()
		o.SetMembers(p.w.start, limit.Members{Live: names})
		l := limit.NewLimiter(limit.LimiterSettings{Self: name, Limits: limits, Owner: o, Codec: codec, Clock: time.Now})
		l.SetMembers(limit.Members{Live: names})
		ls = append(ls, &limiter{p: p, name: name, local: l, owner: o})
	}
	return ls
}

func (p *production) limited() bool {
	for i := range p.w.classes {
		if c := &p.w.classes[i]; c.RequestRate > 0 || c.TokenRate > 0 || c.Concurrency > 0 {
			return true
		}
	}
	return false
}

func (p *production) limitKey(r *request) limit.Key {
	return limit.Key{Class: p.w.classes[r.class].Class, Workspace: "w"}
}

// admit decides about a request now, or later when the owner has answered.
func (l *limiter) admit(now time.Time, r *request) {
	r.reserved = r.prompt + int(l.p.entries[r.entry].mean[r.class])
	d := l.local.Admit(now, l.p.limitKey(r), r.reserved)
	switch d.Result {
	case limit.Admitted:
		r.limited = true
		l.p.w.admitted(now, r)
		l.p.enter(now, r)
	case limit.Wait:
		l.waiting = append(l.waiting, r)
		l.kick(now)
	default:
		r.retryAfter = d.RetryAfter
		l.p.w.finish(now, r, endLimited)
	}
}

// settle reports what an admitted request used.
func (l *limiter) settle(r *request) {
	if r.limited {
		r.limited = false
		used := 0
		if r.hasStarted {
			used = r.prompt + r.tokens
		}
		l.local.Settle(l.p.limitKey(r), r.reserved, used)
	}
}

func (l *limiter) kick(now time.Time) {
	if !l.kicked {
		l.kicked = true
		l.p.w.after(now, 0, func(now time.Time) {
			l.kicked = false
			l.collect(now)
		})
	}
}

func (l *limiter) tick(now time.Time) {
	l.owner.Tick(now)
	l.collect(now)
	l.p.w.after(now, limit.BatchInterval, l.tick)
}

func (l *limiter) collect(now time.Time) {
	for _, b := range l.local.Collect(now) {
		l.p.w.after(now, hop, func(now time.Time) {
			for _, o := range l.p.limiters {
				if o.name == b.Owner {
					g := o.owner.Grant(now, l.name, &b.Request)
					l.p.w.after(now, hop, func(now time.Time) { l.answered(now, &b, &g) })
				}
			}
		})
	}
}

func (l *limiter) answered(now time.Time, b *limit.Batch, g *limit.AllowanceGrant) {
	l.local.Apply(now, b, g)
	rs := l.waiting
	l.waiting = nil
	for _, r := range rs {
		if r.end == endNone {
			l.admit(now, r)
		}
	}
}

// admitted counts an admitted request for limit_overshoot.
func (w *world) admitted(now time.Time, r *request) {
	if at := w.since(now) - w.scenario.lead(); at >= 0 && at < horizon {
		if w.admissions == nil {
			w.admissions = map[int][]float64{}
		}
		if w.admissions[r.class] == nil {
			w.admissions[r.class] = make([]float64, horizon/time.Second)
		}
		w.admissions[r.class][at/time.Second]++
	}
}

// overshoot is the largest excess of the admitted requests of a class over its rate in any window of 10 s, as a share
// of the limit. The limit allows one second's requests at once.
func (w *world) overshoot(class int) float64 {
	const window = 10
	rate := w.classes[class].RequestRate
	counts := w.admissions[class]
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
