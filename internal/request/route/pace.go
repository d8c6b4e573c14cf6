package route

import (
	"slices"
	"time"
)

const (
	// paceAlpha is the weight of one observed gap between tokens.
	paceAlpha = 0.1
	// reportAlpha is the weight of a reported pace; used only without own observations since silentAfter.
	reportAlpha = 0.5
	// maxGap bounds one gap relative to the median: a paused stream shows one long gap that says nothing about pace.
	maxGap = 8
	// observeEvery spaces the observations that count towards a change between slow and fast.
	observeEvery = int64(100 * time.Millisecond)
	// slowStrikes and fastStrikes are the consecutive spaced observations needed for a change.
	slowStrikes, fastStrikes = 3, 2
	silentAfter              = int64(2 * time.Second)
	medianEvery              = int64(250 * time.Millisecond)
	medianSample             = 33
	// minPeers is the number of known paces below which no upstream is called slow.
	minPeers = 3
	// probeSteps is the resolution of the time drawn around a probe's gap.
	probeSteps = 1024
	// probeSpread is the length of the interval that the time is drawn from, in gaps. With 1, three entries whose
	// reports take 5 s made nearly three probes for each one that was needed.
	probeSpread = 2
	// heavyPrompt is the length of a prompt, relative to the group's mean, above which its request is not used as a probe.
	// It is above 1 so that requests with prompts of one length stay eligible.
	heavyPrompt = 1.5
	// stallAfter is the silence of all own streams after which it is taken as the pace.
	stallAfter = int64(time.Second)
)

type paceState struct {
	// perToken is the smoothed time per token in nanoseconds; 0 means not observed.
	perToken   float64
	observedAt int64
	countedAt  int64
	strikes    int
	slow       bool
	// slowSeen is when the upstream was last asked or reported while slow.
	slowSeen  int64
	nextProbe int64
	probeGap  int64
}

// observe takes in the time per token of one own stream.
func (p *Picker) observe(u *upstream, at int64, perToken float64) {
	u.observedAt = at
	p.blend(u, at, perToken, paceAlpha)
}

func (p *Picker) reportedPace(u *upstream, pace float64) {
	if pace <= 0 || (u.perToken > 0 && u.reportAt-u.observedAt < silentAfter) {
		return
	}
	p.blend(u, u.reportAt, float64(time.Second)/pace, reportAlpha)
}

func (p *Picker) blend(u *upstream, at int64, perToken, alpha float64) {
	g := u.home
	if g.perToken > 0 {
		perToken = min(perToken, maxGap*g.perToken)
	}
	if u.perToken == 0 {
		u.perToken = perToken
	} else {
		u.perToken += alpha * (perToken - u.perToken)
	}
	p.refreshMedian(g, at)
	p.judge(u, at)
}

// judge moves the upstream between slow and fast, with different thresholds in each direction.
func (p *Picker) judge(u *upstream, at int64) {
	g := u.home
	if g.perToken == 0 || at-u.countedAt < observeEvery {
		return
	}
	u.countedAt = at
	relative := g.perToken / u.perToken
	switch {
	case !u.slow && relative < p.set.SlowBelow:
		u.strikes++
		if u.strikes >= slowStrikes {
			p.setSlow(u, at, true)
		}
	case u.slow && relative > p.set.FastAbove:
		u.strikes++
		if u.strikes >= fastStrikes {
			p.setSlow(u, at, false)
		}
	default:
		u.strikes = 0
	}
}

func (p *Picker) setSlow(u *upstream, at int64, slow bool) {
	u.slow, u.strikes = slow, 0
	u.probeGap = int64(p.set.ProbeEvery)
	u.nextProbe, u.slowSeen = at+p.spread(u.probeGap), at
	p.reindex(u)
}

// refreshMedian takes the median over a sample of the group, slow members included.
func (p *Picker) refreshMedian(g *group, at int64) {
	if g.medianSeen && at-g.medianAt < medianEvery {
		return
	}
	var known [medianSample]float64
	n := 0
	total := len(g.fast.ids) + len(g.slow.ids)
	start := 0
	if total > medianSample {
		start = p.random(total)
	}
	for i := 0; i < total && n < medianSample && i < 4*medianSample; i++ {
		if u := p.member(g, (start+i)%total); u != nil && u.perToken > 0 {
			known[n] = u.perToken
			n++
		}
	}
	if n < minPeers {
		g.perToken = 0
		return
	}
	slices.Sort(known[:n])
	g.perToken, g.medianAt, g.medianSeen = known[(n-1)/2], at, true
}

func (p *Picker) member(g *group, i int) *upstream {
	if i < len(g.fast.ids) {
		return p.get(g.fast.ids[i])
	}
	return p.get(g.slow.ids[i-len(g.fast.ids)])
}

// spread draws a time around gap, because all entries call an upstream slow at about the same time and would otherwise
// probe it at the same time.
func (p *Picker) spread(gap int64) int64 {
	return gap/2 + int64(p.random(probeSteps))*probeSpread*gap/probeSteps
}

// stillSlow postpones the next probe when a report shows streams at a slow pace: another entry's probe or an older stream
// has told what a probe would.
func (p *Picker) stillSlow(u *upstream, at int64, r *Report) {
	median := u.home.perToken
	if !u.slow || median == 0 || r.Running == 0 || r.TokensPerSecond <= 0 {
		return
	}
	if median*r.TokensPerSecond < p.set.FastAbove*float64(time.Second) {
		u.nextProbe, u.slowSeen = max(u.nextProbe, at+p.spread(u.probeGap)), at
	}
}

// heavy tells whether the request's prompt is much longer than the group's mean, so that reading it at a slow upstream
// takes longer than most requests need.
func (g *group) heavy(r *Request) bool { return float64(r.PrefixTokens) > heavyPrompt*g.meanPrefix }

// dueProbe returns a slow upstream whose probe is due, or nil. It looks at a bounded number of them. While the fast ones
// are full, an upstream that may have recovered is asked sooner. A request whose prefix the upstream holds is taken first,
// because it waits least for a slow read of its prompt.
func (p *Picker) dueProbe(g *group, at int64, r *Request, full bool) *upstream {
	last := r.Protected || g.heavy(r)
	a, b := p.prefix.find(r.PrefixHash)
	for range min(len(g.slow.ids), maxSample) {
		g.probeNext = (g.probeNext + 1) % len(g.slow.ids)
		u := p.get(g.slow.ids[g.probeNext])
		due := u.nextProbe
		if full {
			due = min(due, u.slowSeen+int64(p.set.ProbeEvery)/2)
		}
		switch {
		case last:
			due += 2 * int64(p.set.ProbeMax)
		case u.id != a && u.id != b: // it does not hold the prefix
			due += int64(p.set.ProbeEvery)
		}
		if at >= due && !excluded(u.id, r) {
			u.probeGap = min(2*u.probeGap, int64(p.set.ProbeMax))
			u.nextProbe, u.slowSeen = at+p.spread(u.probeGap), at
			return u
		}
	}
	return nil
}
