package route

import "time"

// maxFreshReportAge is the age up to which a report is sufficient evidence of a free slot.
const maxFreshReportAge = int64(250 * time.Millisecond)

// maxCommitLoad is the load up to which an ask is committed while other entries use the upstream: above it, another
// entry may take the last slot.
const maxCommitLoad = 0.75

// nearlyFullLoad is the mean load of the sample from which slow upstreams are probed earlier. At 1, queue waits grew
// fourfold before recovered upstreams were probed.
const nearlyFullLoad = 0.92

// medianTolerance is the relative difference from the median decode interval up to which the median is used instead.
const medianTolerance = 0.2

// Pick chooses up to two upstreams. It does not allocate.
func (p *Picker) Pick(now time.Time, r *Request) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupKey{r.Service, r.Model}]
	if g == nil {
		return Choice{}
	}
	at := p.nanos(now)
	g.meanPrefixTokens += meanAlpha * (float64(r.PrefixTokens) - g.meanPrefixTokens)
	n := p.sampleCandidates(g, at, r, &g.fast)
	if len(g.slow.ids) > 0 {
		if c, ok := p.probe(g, at, r, n); ok {
			return c
		}
	}
	reason := ReasonNone
	if n == 0 {
		if n = p.sampleCandidates(g, at, r, &g.slow); n == 0 {
			return Choice{}
		}
		reason = ReasonOnlySlow
	}
	cs := p.sample[:n]
	first, second, chosenFor := p.settings.Chooser.Choose(cs)
	if reason == ReasonNone {
		reason = chosenFor
	}
	c := Choice{First: cs[first].ID, Reason: reason, Committed: canCommit(&cs[first])}
	if second >= 0 {
		c.Second = cs[second].ID
	}
	return c
}

// probe returns a slow upstream to probe as the first choice, and the fast one with the lowest cost as the second.
func (p *Picker) probe(g *group, at int64, r *Request, n int) (Choice, bool) {
	u := p.selectProbe(g, at, r, nearlyFull(p.sample[:n]))
	if u == nil {
		return Choice{}, false
	}
	c := Choice{First: u.id, Reason: ReasonProbe, Committed: u.ownInFlight < max(1, u.slots)}
	if i := lowestCost(p.sample[:n], -1); i >= 0 {
		c.Second = p.sample[i].ID
	}
	return c, true
}

// nearlyFull reports whether the candidates have few free slots.
func nearlyFull(cs []Candidate) bool {
	load := 0.0
	for i := range cs {
		load += cs[i].Load()
	}
	return load >= nearlyFullLoad*float64(len(cs))
}

// sampleCandidates fills the sample with upstreams that have the prefix cached, random members of the list and, for the
// fast list, random upstreams of the own zone. It returns the size of the sample.
func (p *Picker) sampleCandidates(g *group, at int64, r *Request, from *list) int {
	n := 0
	if r.PrefixHash != 0 {
		a, b := p.prefixes.find(r.PrefixHash)
		n = p.addCandidate(at, r, from, a, n, true)
		n = p.addCandidate(at, r, from, b, n, true)
	}
	n = p.sampleList(at, r, from, from, p.allZonesSampleSize(g), n)
	if from == &g.fast {
		n = p.sampleList(at, r, from, &g.ownZone, p.settings.SampleOwnZone, n)
	}
	return n
}

// allZonesSampleSize returns the number of candidates from all zones. When many entries rely on the same stale reports,
// a large sample makes all of them choose the same upstream. The entry's own load and fresh reports allow a larger one.
func (p *Picker) allZonesSampleSize(g *group) int {
	k := p.settings.SampleAllZones + g.scaleByOwnLoad(p.settings.SampleOwnLoad)
	if g.meanReportInterval > 0 && g.meanReportInterval <= float64(maxFreshReportAge) {
		k += p.settings.SampleFreshReports
	}
	return min(k, maxSample-2-p.settings.SampleOwnZone)
}

// scaleByOwnLoad returns k times the share of the group's load that this entry causes, rounded.
func (g *group) scaleByOwnLoad(k int) int {
	own := float64(g.ownInFlight)
	total := own + g.meanOthersInFlight*float64(len(g.fast.ids))
	if total < 1 {
		return k
	}
	return int(float64(k)*own/total + 0.5)
}

// sampleList adds k random members of l to the sample, or all of them when l has at most k.
func (p *Picker) sampleList(at int64, r *Request, eligible, l *list, k, n int) int {
	if len(l.ids) <= k {
		for _, id := range l.ids {
			n = p.addCandidate(at, r, eligible, id, n, false)
		}
		return n
	}
	// A draw can repeat or hit an excluded upstream, so up to 2k+MaxExclude draws are made.
	for want, draws := n+k, 0; n < want && draws < 2*k+MaxExclude; draws++ {
		n = p.addCandidate(at, r, eligible, l.ids[p.random(len(l.ids))], n, false)
	}
	return n
}

// addCandidate appends an upstream to a sample of size n, unless the sample is full or already contains it, it is not
// eligible, or the Filter rejects it. It returns the new size.
func (p *Picker) addCandidate(at int64, r *Request, eligible *list, id ID, n int, hasPrefix bool) int {
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
	p.fillCandidate(c, p.upstreams[id], at)
	c.HasPrefix = hasPrefix
	if !p.settings.Filter.Allow(c, r) {
		return n
	}
	c.Cost = p.settings.Scorer.Cost(c, r)
	return n + 1
}

func (p *Picker) fillCandidate(c *Candidate, u *upstream, at int64) {
	*c = Candidate{
		ID: u.id, InFlight: u.ownInFlight, OutstandingTokens: u.outstandingTokens, Slots: max(1, u.slots),
		MeanTokens: max(1, u.peerGroup.meanTokens), DecodeInterval: u.decodeInterval, OwnZone: u.inOwnZone,
		OthersInFlight: u.peerGroup.meanOthersInFlight,
	}
	if u.reported {
		age := float64(max(0, at-u.reportAt))
		halfLife := float64(p.settings.ReportHalfLife)
		c.OthersInFlight += (u.othersInFlight - c.OthersInFlight) * halfLife / (halfLife + age)
		c.freshLoad = u.othersInFlight == 0 || at-u.reportAt <= maxFreshReportAge
	}
	c.DecodeInterval = u.peerGroup.snapToMedian(c.DecodeInterval)
	if idle := at - u.lastTokenAt; u.decodingStreams > 0 && idle > stallTimeout {
		c.DecodeInterval = max(c.DecodeInterval, float64(idle))
	}
}

// snapToMedian replaces an unknown decode interval, or one close to the median, by the median: otherwise the upstream
// that is slightly faster by chance would receive all requests of an idle group.
func (g *group) snapToMedian(interval float64) float64 {
	median := g.medianInterval
	if median == 0 {
		median = defaultDecodeInterval
	}
	if interval == 0 || (interval > median*(1-medianTolerance) && interval < median*(1+medianTolerance)) {
		return median
	}
	return interval
}

// canCommit reports whether the candidate is likely to have a free slot, so that the ask can carry the body.
func canCommit(c *Candidate) bool {
	used := float64(c.InFlight) + c.OthersInFlight
	return c.freshLoad && used < float64(c.Slots) && (c.OthersInFlight < 0.5 || c.Load() <= maxCommitLoad)
}
