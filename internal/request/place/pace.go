package place

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Parameters of the learned pace of replicas.
const (
	// recentPaceTime is the time constant of the recent pace: longer than slow periods of 600 ms, and short enough to find a
	// replica that turns slow within two seconds.
	recentPaceTime = 2 * time.Second
	// lastingPaceTime is the time constant of the lasting pace, to which the recent one returns without samples.
	lastingPaceTime = 15 * time.Second
	// modelTime is the time constant of what the replicas of a service show together.
	modelTime = 15 * time.Second
	// paceWeight is the expected time of the samples, in milliseconds, that weigh as much as what was known before.
	paceWeight = 400.0
	// lastingPrior is the weight, in samples, of the mean of the service in the lasting pace, and maxLastingSamples bounds the
	// weight of former samples, so that it follows a replica that has become faster or slower for good.
	lastingPrior, maxLastingSamples = 2.0, 30.0
	// halfWeightMs is the expected time, in milliseconds, at which a sample has half of the largest weight in the lasting pace: an
	// error of the constant part outweighs the time of short prompts.
	halfWeightMs = 100.0
	// maxOutlier bounds a sample in the model and in the lasting pace, as a multiple of the expected time. What is above comes
	// from short slow periods and from work that this entry did not know of.
	maxOutlier = 2.0
	// minRatio bounds a sample from below: a shorter time means that the replica kept more of the prompt than was known.
	minRatio = 0.4
	// minModelMs is the smallest expected time, in milliseconds, by which a sample is weighted in the model.
	minModelMs = 50.0
	// priorMs and priorSamples weight the pace that is assumed before any sample, at two sizes of prompts.
	priorMs, priorSamples = 300.0, 2.0
	// priorShort and priorLong are these sizes, in tokens.
	priorShort, priorLong = 500.0, 16000.0
	// paceTolerance is the difference of pace, as a factor, that is not counted: equal replicas show it by chance, and prompts that
	// change replicas for it are prefilled again.
	paceTolerance = 1.25
	// maxPaceSample bounds the time of one sample.
	maxPaceSample = 20 * time.Second
	// maxPendingSamples bounds the samples in one report, of up to 14 bytes each.
	maxPendingSamples = 24
)

// Bounds of the fast replicas of a service (see paces.updateFast).
const (
	// maxFastSlowdown is the lasting slowdown below which a replica becomes a fast one, and minNotFastSlowdown the one above which
	// it no longer is. Replicas of equal machines differ by less.
	maxFastSlowdown, minNotFastSlowdown = 0.62, 0.9
	// minFastSamples is the number of samples that this needs.
	minFastSamples = 6.0
	// fastWeight is the number of other replicas that a fast one counts for in a pool.
	fastWeight = 1.6
	// updateFastInterval is the minimum time between two changes of the fast replicas. Each change moves prompts to other replicas.
	updateFastInterval = 2 * time.Second
)

// PaceSample is the time that a replica took to a first event, as one entry has seen it.
type PaceSample struct {
	Replica Key
	// Tokens were prefilled: those of the prompt and those ahead of it.
	Tokens int
	// Own is the size of the prompt's part that no other one shares.
	Own  int
	Took time.Duration
}

// paces has the pace of each replica relative to its service. It answers replicas of uneven speed: a slow one gets the work that
// it can do as soon as the others, and no more. All entries exchange their samples, because an entry of a large fleet sees a
// replica once in many seconds. It is safe for concurrent use.
type paces struct {
	mu       sync.Mutex
	services map[string]*paceModel
	replicas map[Key]*replicaPace
	pending  []PaceSample
	// fastUpdated is the time of the latest change of the fast replicas.
	fastUpdated time.Time
}

func newPaces() *paces {
	return &paces{services: map[string]*paceModel{}, replicas: map[Key]*replicaPace{}}
}

// paceModel is a linear regression of the time to the first event on the tokens to prefill, over all replicas of a service. It
// weighs relative errors, so that short prompts determine the constant part.
type paceModel struct {
	n, x, y, xx, xy float64
	updated         time.Time
}

func newPaceModel(now time.Time) *paceModel {
	m := &paceModel{updated: now}
	for _, size := range [...]float64{priorShort, priorLong} {
		m.sum(size, size/prefillTokensPerMs, priorSamples/(priorMs*priorMs))
	}
	return m
}

func (m *paceModel) sum(tokens, ms, weight float64) {
	m.n += weight
	m.x += weight * tokens
	m.y += weight * ms
	m.xx += weight * tokens * tokens
	m.xy += weight * tokens * ms
}

// line returns the constant part of the time to a first event, in milliseconds, and the part of each token.
func (m *paceModel) line() (constant, perToken float64) {
	spread := m.n*m.xx - m.x*m.x
	if spread <= 0 {
		return 0, 1 / prefillTokensPerMs
	}
	perToken = max(minMsPerToken, (m.n*m.xy-m.x*m.y)/spread)
	return max(0, (m.y-perToken*m.x)/m.n), perToken
}

// minMsPerToken keeps the model from expecting no time at all while all samples are of equal size.
const minMsPerToken = 0.1 / prefillTokensPerMs

func (m *paceModel) add(tokens, ms, expected float64, now time.Time) {
	if age := now.Sub(m.updated); age > 0 {
		f := decayFactor(age, modelTime)
		m.n, m.x, m.y, m.xx, m.xy, m.updated = m.n*f, m.x*f, m.y*f, m.xx*f, m.xy*f, now
	}
	weight := max(minModelMs, expected)
	m.sum(tokens, min(ms, maxOutlier*expected), 1/(weight*weight))
}

// replicaPace has decaying sums over the samples of a replica.
type replicaPace struct {
	// recentTook and recentExpected are the times that they took and the expected ones, in milliseconds without the constant part.
	recentTook, recentExpected float64
	// lastingSamples is the number of samples, and lastingRatios the sum of the ratios of the two times. Their weights
	// differ little, so that a few prompts that had to wait don't hide the pace.
	lastingSamples, lastingRatios float64
	updated                       time.Time
	// fast is set for a fast replica.
	fast bool
}

// lastingSlowdown is slowdown without slow periods of the replica.
func (r *replicaPace) lastingSlowdown(now time.Time) float64 {
	f := r.decay(now, lastingPaceTime)
	return (f*r.lastingRatios + lastingPrior) / (f*r.lastingSamples + lastingPrior)
}

// slowdown returns how many times as long as the mean of its service the replica takes.
func (r *replicaPace) slowdown(now time.Time) float64 {
	f := r.decay(now, recentPaceTime)
	return (f*r.recentTook + paceWeight*r.lastingSlowdown(now)) / (f*r.recentExpected + paceWeight)
}

func (r *replicaPace) decay(now time.Time, timeConstant time.Duration) float64 {
	if age := now.Sub(r.updated); age > 0 {
		return decayFactor(age, timeConstant)
	}
	return 1
}

func (r *replicaPace) add(took, expected float64, now time.Time) {
	recent, lasting := r.decay(now, recentPaceTime), r.decay(now, lastingPaceTime)
	r.recentTook, r.recentExpected = r.recentTook*recent+took, r.recentExpected*recent+expected
	weight := expected / (expected + halfWeightMs)
	r.lastingSamples, r.lastingRatios = r.lastingSamples*lasting+weight, r.lastingRatios*lasting+weight*min(maxOutlier, took/expected)
	if r.lastingSamples > maxLastingSamples {
		r.lastingSamples, r.lastingRatios = maxLastingSamples, r.lastingRatios*maxLastingSamples/r.lastingSamples
	}
	if now.After(r.updated) {
		r.updated = now
	}
}

func decayFactor(age, timeConstant time.Duration) float64 {
	return math.Exp(-age.Seconds() / timeConstant.Seconds())
}

// slowdown returns how many times as long as the mean of its service the replica takes; 1 for one that is not known.
func (p *paces) slowdown(replica Key, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.replicas[replica]; r != nil {
		return r.slowdown(now)
	}
	return 1
}

// record adds a sample. One of this entry is kept for the next report.
func (p *paces) record(service string, s PaceSample, own bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	model := p.services[service]
	if model == nil {
		model = newPaceModel(now)
		p.services[service] = model
	}
	r := p.replicas[s.Replica]
	if r == nil {
		r = &replicaPace{updated: now}
		p.replicas[s.Replica] = r
	}
	took, tokens := milliseconds(min(s.Took, maxPaceSample)), float64(s.Tokens)
	constant, perToken := model.line()
	expected := max(1, perToken*tokens)
	r.add(max(minRatio*expected, took-constant), expected, now)
	model.add(tokens, took, constant+expected, now)
	if own && len(p.pending) < maxPendingSamples {
		p.pending = append(p.pending, s)
	}
}

// takePending returns the samples to send to the other entries now.
func (p *paces) takePending() []PaceSample {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.Clone(p.pending)
	p.pending = p.pending[:0]
	return list
}

// updateFast determines the fast replicas anew and reports whether they have changed. All entries receive the same samples, so
// that they agree but for short times.
func (p *paces) updateFast(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.fastUpdated) < updateFastInterval {
		return false
	}
	changed := false
	for _, r := range p.replicas {
		bound := maxFastSlowdown
		if r.fast {
			bound = minNotFastSlowdown
		}
		// A replica without recent samples stays what it was.
		if r.lastingSamples*r.decay(now, lastingPaceTime) < minFastSamples {
			continue
		}
		if fast := r.lastingSlowdown(now) < bound; fast != r.fast {
			r.fast, changed = fast, true
		}
	}
	if changed {
		p.fastUpdated = now
	}
	return changed
}

// isFast reports whether the replica is one of the fast ones.
func (p *paces) isFast(replica Key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[replica]
	return r != nil && r.fast
}

// expire deletes replicas without samples for a long time.
func (p *paces) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, r := range p.replicas {
		if now.Sub(r.updated) > paceExpiry {
			delete(p.replicas, k)
		}
	}
}

// paceExpiry is the time without samples after which what is known of a replica is deleted.
const paceExpiry = 4 * lastingPaceTime

// serviceOf returns the service of a listed replica, or false.
func (p *Placer) serviceOf(replica Key) (string, bool) {
	for name, l := range *p.layout.Load() {
		if _, ok := l.byKey[replica]; ok {
			return name, true
		}
	}
	return "", false
}

// recordPace records the time that the choice took to its first event.
func (p *Placer) recordPace(c *Choice, now time.Time) {
	if c.Prefill > 0 && !c.Granted.IsZero() {
		p.recordPaceSample(PaceSample{Replica: c.Key, Tokens: c.Load.Prefill + c.Prefill, Own: c.Own, Took: now.Sub(c.Granted)}, true, now)
	}
}

func (p *Placer) recordPaceSample(s PaceSample, own bool, now time.Time) {
	if service, ok := p.serviceOf(s.Replica); ok {
		p.paces.record(service, s, own, now)
	}
}

// prefillMs returns the time, in milliseconds, in which the replica prefills the tokens.
func (p *Placer) prefillMs(replica Key, tokens int, now time.Time) float64 {
	return float64(tokens) / prefillTokensPerMs * p.slowdown(replica, now)
}

func (p *Placer) prefillDuration(replica Key, tokens int, now time.Time) time.Duration {
	return time.Duration(p.prefillMs(replica, tokens, now) * float64(time.Millisecond))
}

// slowdown returns how many times as long as the mean of its service the replica takes.
func (p *Placer) slowdown(replica Key, now time.Time) float64 {
	limit := p.set.MaxSlowdown
	if limit <= 1 {
		return 1
	}
	slowdown := p.paces.slowdown(replica, now)
	switch {
	case slowdown > paceTolerance:
		return min(limit, slowdown/paceTolerance)
	case slowdown < 1/paceTolerance:
		return max(1/limit, slowdown*paceTolerance)
	default:
		return 1
	}
}

// updateFast divides the replicas anew when the fast ones have changed.
func (p *Placer) updateFast(now time.Time) {
	if p.set.MaxSlowdown > 1 && p.paces.updateFast(now) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.divide()
	}
}
