package route

import "time"

// freshReport is the age up to which a report is trusted to show a free slot.
const freshReport = int64(250 * time.Millisecond)

// commitLoad is the load up to which the body is sent with the ask: above it, another entry may take the last slot.
const commitLoad = 0.75

// fullLoad is the mean load of the sample from which slow upstreams are probed sooner. At 1, waits had already grown
// fourfold before upstreams that had recovered were asked.
const fullLoad = 0.92

// paceTolerance is the difference to the median pace that does not count.
const paceTolerance = 0.2

// Pick chooses up to two upstreams. It does not allocate.
func (p *Picker) Pick(now time.Time, r *Request) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupKey{r.Service, r.Model}]
	if g == nil {
		return Choice{}
	}
	at := p.nanos(now)
	g.meanPrefix += meanAlpha * (float64(r.PrefixTokens) - g.meanPrefix)
	n := p.gather(g, at, r, &g.fast)
	if len(g.slow.ids) > 0 {
		if c, ok := p.probe(g, at, r, n); ok {
			return c
		}
	}
	reason := ReasonNone
	if n == 0 {
		if n = p.gather(g, at, r, &g.slow); n == 0 {
			return Choice{}
		}
		reason = ReasonOnlySlow
	}
	cs := p.sample[:n]
	first, second, why := p.set.Chooser.Choose(cs)
	if reason == ReasonNone {
		reason = why
	}
	c := Choice{First: cs[first].ID, Reason: reason, Committed: committed(&cs[first])}
	if second >= 0 {
		c.Second = cs[second].ID
	}
	return c
}

// probe sends the request to a slow upstream whose probe is due, together with the cheapest fast one.
func (p *Picker) probe(g *group, at int64, r *Request, n int) (Choice, bool) {
	u := p.dueProbe(g, at, r, full(p.sample[:n]))
	if u == nil {
		return Choice{}, false
	}
	c := Choice{First: u.id, Reason: ReasonProbe, Committed: u.inflight < max(1, u.slots)}
	if i := cheapest(p.sample[:n], -1); i >= 0 {
		c.Second = p.sample[i].ID
	}
	return c, true
}

// full tells whether the candidates have few free slots left.
func full(cs []Candidate) bool {
	load := 0.0
	for i := range cs {
		load += cs[i].Load()
	}
	return load >= fullLoad*float64(len(cs))
}

// gather fills the sample from the list, the own zone and the upstreams that hold the prefix.
func (p *Picker) gather(g *group, at int64, r *Request, from *list) int {
	n := 0
	if r.PrefixHash != 0 {
		a, b := p.prefix.find(r.PrefixHash)
		n = p.consider(at, r, from, a, n, true)
		n = p.consider(at, r, from, b, n, true)
	}
	n = p.draw(at, r, from, from, p.drawAny(g), n)
	if from == &g.fast {
		n = p.draw(at, r, from, &g.own, p.set.SampleZone, n)
	}
	return n
}

// drawAny is the number of candidates from all zones. Reports that many entries see and that lag make a large sample
// harmful, because all choose alike; own work and fresh reports do not.
func (p *Picker) drawAny(g *group) int {
	k := p.set.SampleAny + g.ownPart(p.set.SampleOwn)
	if g.reportGap > 0 && g.reportGap <= float64(freshReport) {
		k += p.set.SampleFresh
	}
	return min(k, maxSample-2-p.set.SampleZone)
}

// ownPart is k times the part of the group's load that is the entry's own, rounded.
func (g *group) ownPart(k int) int {
	own := float64(g.inflight)
	total := own + g.meanOthers*float64(len(g.fast.ids))
	if total < 1 {
		return k
	}
	return int(float64(k)*own/total + 0.5)
}

// draw considers k random members of a list, or all of a list that is not longer than k.
func (p *Picker) draw(at int64, r *Request, eligible, l *list, k, n int) int {
	if len(l.ids) <= k {
		for _, id := range l.ids {
			n = p.consider(at, r, eligible, id, n, false)
		}
		return n
	}
	// A draw can repeat or hit an excluded upstream; twice the number of draws bounds the cost.
	for want, draws := n+k, 0; n < want && draws < 2*k+MaxExclude; draws++ {
		n = p.consider(at, r, eligible, l.ids[p.random(len(l.ids))], n, false)
	}
	return n
}

func (p *Picker) consider(at int64, r *Request, eligible *list, id ID, n int, prefix bool) int {
	if n >= maxSample || id == None {
		return n
	}
	for i := range p.sample[:n] {
		if p.sample[i].ID == id {
			return n
		}
	}
	if _, ok := eligible.pos[id]; !ok {
		return n
	}
	c := &p.sample[n]
	p.fill(c, p.ups[id], at)
	c.Prefix = prefix
	if !p.set.Filter.Allow(c, r) {
		return n
	}
	c.Cost = p.set.Scorer.Cost(c, r)
	return n + 1
}

func (p *Picker) fill(c *Candidate, u *upstream, at int64) {
	*c = Candidate{
		ID: u.id, InFlight: u.inflight, Outstanding: u.outstanding, Slots: max(1, u.slots),
		MeanTokens: max(1, u.home.meanTokens), PerToken: u.perToken, OwnZone: u.zoneIsOwn,
		Others: u.home.meanOthers,
	}
	if u.reported {
		age := float64(max(0, at-u.reportAt))
		half := float64(p.set.ReportHalfLife)
		c.Others += (u.others - c.Others) * half / (half + age)
		c.fresh = u.others == 0 || at-u.reportAt <= freshReport
	}
	c.PerToken = u.home.level(c.PerToken)
	if silence := at - u.lastToken; u.decoding > 0 && silence > stallAfter {
		c.PerToken = max(c.PerToken, float64(silence))
	}
}

// level replaces an unknown pace, or one close to the median, by the median: otherwise the upstream that is faster by
// chance gets all the work of an idle group.
func (g *group) level(perToken float64) float64 {
	median := g.perToken
	if median == 0 {
		median = defaultPerToken
	}
	if perToken == 0 || (perToken > median*(1-paceTolerance) && perToken < median*(1+paceTolerance)) {
		return median
	}
	return perToken
}

func committed(c *Candidate) bool {
	used := float64(c.InFlight) + c.Others
	return c.fresh && used < float64(c.Slots) && (c.Others < 0.5 || c.Load() <= commitLoad)
}
