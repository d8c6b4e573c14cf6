package route

import (
	"slices"
	"time"
)

const (
	// intervalAlpha is the weight of one decode interval observed by this entry.
	intervalAlpha = 0.1
	// reportAlpha is the weight of a reported decode speed, which is used only when this entry's last observation is
	// older than ownIntervalMaxAge.
	reportAlpha = 0.5
	// maxIntervalRatio bounds one decode interval relative to the median, because the pause of a stream shows as one long
	// interval that is unrelated to the decode speed.
	maxIntervalRatio = 8
	// slowCheckInterval is the minimum time between observations that count towards a change between slow and fast.
	slowCheckInterval = int64(100 * time.Millisecond)
	// slowChecks and fastChecks are the numbers of consecutive checks needed to become slow and fast.
	slowChecks, fastChecks = 3, 2
	ownIntervalMaxAge      = int64(2 * time.Second)
	medianRefreshInterval  = int64(250 * time.Millisecond)
	medianSampleSize       = 33
	// minPeers is the number of known decode intervals below which no upstream becomes slow.
	minPeers = 3
	// jitterSteps is the number of different values of the probe jitter.
	jitterSteps = 1024
	// jitterRange is the width of the probe jitter in probe intervals. With 1, three entries whose reports take 5 s
	// sent nearly three probes for each one that was needed.
	jitterRange = 2
	// longPromptRatio is the ratio of a request's PrefixTokens to the group's mean above which the request is a probe only
	// as a last resort. It is above 1 so that requests with prompts of equal length stay eligible.
	longPromptRatio = 1.5
	// stallTimeout is the time without tokens on all of this entry's streams after which that time replaces the decode
	// interval.
	stallTimeout = int64(time.Second)
)

type decodeState struct {
	// decodeInterval is the moving average of the time per token, or per call of a service without tokens, in
	// nanoseconds; 0 means not observed.
	decodeInterval    float64
	observedAt        int64
	checkedAt         int64
	consecutiveChecks int
	slow              bool
	// slowSeenAt is when the upstream became slow, or was last probed or reported to be slow.
	slowSeenAt    int64
	nextProbeAt   int64
	probeInterval int64
}

// observeInterval records a decode interval of one of this entry's streams.
func (p *Picker) observeInterval(u *upstream, at int64, interval float64) {
	u.observedAt = at
	p.updateInterval(u, at, interval, intervalAlpha)
}

func (p *Picker) applyReportedSpeed(u *upstream, tokensPerSecond float64) {
	if tokensPerSecond <= 0 || (u.decodeInterval > 0 && u.reportAt-u.observedAt < ownIntervalMaxAge) {
		return
	}
	p.updateInterval(u, u.reportAt, float64(time.Second)/tokensPerSecond, reportAlpha)
}

func (p *Picker) updateInterval(u *upstream, at int64, interval, alpha float64) {
	g := u.peerGroup
	if g.medianInterval > 0 {
		interval = min(interval, maxIntervalRatio*g.medianInterval)
	}
	if u.decodeInterval == 0 {
		u.decodeInterval = interval
	} else {
		u.decodeInterval += alpha * (interval - u.decodeInterval)
	}
	p.refreshMedian(g, at)
	p.checkSlow(u, at)
}

// checkSlow moves the upstream between slow and fast. The thresholds differ so that it does not flap between them.
func (p *Picker) checkSlow(u *upstream, at int64) {
	g := u.peerGroup
	if g.medianInterval == 0 || at-u.checkedAt < slowCheckInterval {
		return
	}
	u.checkedAt = at
	relativeSpeed := g.medianInterval / u.decodeInterval
	switch {
	case !u.slow && relativeSpeed < p.settings.SlowThreshold:
		u.consecutiveChecks++
		if u.consecutiveChecks >= slowChecks {
			p.setSlow(u, at, true)
		}
	case u.slow && relativeSpeed > p.settings.RecoveryThreshold:
		u.consecutiveChecks++
		if u.consecutiveChecks >= fastChecks {
			p.setSlow(u, at, false)
		}
	default:
		u.consecutiveChecks = 0
	}
}

func (p *Picker) setSlow(u *upstream, at int64, slow bool) {
	u.slow, u.consecutiveChecks = slow, 0
	u.probeInterval = int64(p.settings.InitialProbeInterval)
	u.nextProbeAt, u.slowSeenAt = at+p.jitter(u.probeInterval), at
	p.reindex(u)
}

// refreshMedian updates the median decode interval from a sample of the group that includes slow upstreams.
func (p *Picker) refreshMedian(g *group, at int64) {
	if g.medianKnown && at-g.medianAt < medianRefreshInterval {
		return
	}
	var known [medianSampleSize]float64
	n := 0
	total := len(g.fast.ids) + len(g.slow.ids)
	start := 0
	if total > medianSampleSize {
		start = p.random(total)
	}
	for i := 0; i < total && n < medianSampleSize && i < 4*medianSampleSize; i++ {
		if u := p.member(g, (start+i)%total); u != nil && u.decodeInterval > 0 {
			known[n] = u.decodeInterval
			n++
		}
	}
	if n < minPeers {
		g.medianInterval = 0
		return
	}
	slices.Sort(known[:n])
	g.medianInterval, g.medianAt, g.medianKnown = known[(n-1)/2], at, true
}

func (p *Picker) member(g *group, i int) *upstream {
	if i < len(g.fast.ids) {
		return p.get(g.fast.ids[i])
	}
	return p.get(g.slow.ids[i-len(g.fast.ids)])
}

// jitter returns a random time from 0.5 to 2.5 times interval. All entries detect a slow upstream at about the same time
// and would otherwise probe it at the same time.
func (p *Picker) jitter(interval int64) int64 {
	return interval/2 + int64(p.random(jitterSteps))*jitterRange*interval/jitterSteps
}

// postponeProbe postpones the next probe of a slow upstream when a report shows that its running streams decode slowly.
// Such a stream, be it another entry's probe or an older request, already shows what a probe would.
func (p *Picker) postponeProbe(u *upstream, at int64, r *Report) {
	median := u.peerGroup.medianInterval
	if !u.slow || median == 0 || r.Running == 0 || r.TokensPerSecond <= 0 {
		return
	}
	if median*r.TokensPerSecond < p.settings.RecoveryThreshold*float64(time.Second) {
		u.nextProbeAt, u.slowSeenAt = max(u.nextProbeAt, at+p.jitter(u.probeInterval)), at
	}
}

// isLongPrompt reports whether the request's PrefixTokens are well above the group's mean, so that its prefill at a slow
// upstream takes longer than most requests need.
func (g *group) isLongPrompt(r *Request) bool {
	return float64(r.PrefixTokens) > longPromptRatio*g.meanPrefixTokens
}

// selectProbe returns a slow upstream that the request should probe now, or nil. It checks a bounded number of them.
// While the fast upstreams are nearly full, a slow one that may have recovered is probed earlier. A request whose
// prefix is cached at the upstream is used first, because it has the shortest prefill. Protected requests and those
// with a long prompt are used only after a further delay.
func (p *Picker) selectProbe(g *group, at int64, r *Request, fastNearlyFull bool) *upstream {
	lastResort := r.Protected || g.isLongPrompt(r)
	cached, otherCached := p.prefixes.find(r.PrefixHash)
	for range min(len(g.slow.ids), maxSample) {
		g.probePosition = (g.probePosition + 1) % len(g.slow.ids)
		u := p.get(g.slow.ids[g.probePosition])
		probeAt := u.nextProbeAt
		if fastNearlyFull {
			probeAt = min(probeAt, u.slowSeenAt+int64(p.settings.InitialProbeInterval)/2)
		}
		switch {
		case lastResort:
			probeAt += 2 * int64(p.settings.MaxProbeInterval)
		case u.id != cached && u.id != otherCached:
			probeAt += int64(p.settings.InitialProbeInterval)
		}
		if at >= probeAt && !excluded(u.id, r) {
			u.probeInterval = min(2*u.probeInterval, int64(p.settings.MaxProbeInterval))
			u.nextProbeAt, u.slowSeenAt = at+p.jitter(u.probeInterval), at
			return u
		}
	}
	return nil
}
