package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// Parameters of the estimates.
const (
	// prefillTokensPerMs is the prefill speed of an engine, from the published deployment specifications.
	prefillTokensPerMs = 56.6
	// minReplicasForPools is the number of replicas from which a service is divided into a short and a long pool.
	minReplicasForPools = 4
	// maxAffinityReplicas bounds the affinity replicas that are considered for a prompt before all replicas are.
	maxAffinityReplicas = 8
	// sampleSize is the number of replicas that are compared for a request without prefix affinity, by up to sampleEntries
	// entries. With more entries fewer are compared, but at least minSampleSize: many entries decide by the same reports, which
	// are also older the more entries there are, and would all choose the replicas with the least load in them.
	sampleSize    = 16
	sampleEntries = 8
	minSampleSize = 2
)

// milliseconds converts to milliseconds, the unit of all costs.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Part is one part of a prompt. Requests with a shared prefix of parts can use the same KV cache.
type Part struct {
	ID     string
	Tokens int
}

// Job is a request as the placement decision sees it.
type Job struct {
	Service string
	Route   string
	// Parts of the prompt in order; the last one belongs to the request alone. Empty for plain services.
	Parts []Part
	// Tokens is the number of prompt tokens.
	Tokens int
	// Target is the time to the first event or response that earns full credit.
	Target time.Duration
	// Repeatable requests may probe ejected replicas.
	Repeatable bool
	// Retried jobs were sent to a replica before. They don't wait for capacity: they have waited once, can't be refused
	// as not run, and their number is bounded by the retry budget.
	Retried bool
	// Priority is 0 for the most urgent jobs.
	Priority int
	// Arrived is when the caller's request arrived.
	Arrived time.Time
	// Excluded are the replicas that were tried before.
	Excluded []string
}

// Reason is the reason for the choice of a replica.
type Reason string

// Reasons for a choice.
const (
	// ReasonAffinity is the affinity replica of the prompt's shared parts.
	ReasonAffinity Reason = "home"
	// ReasonSecondAffinity is a further affinity replica of the prompt's shared parts, because the first ones have a long
	// backlog.
	ReasonSecondAffinity Reason = "second_home"
	// ReasonKept is another replica that keeps the prompt's shared parts, because its affinity replicas have a long backlog.
	ReasonKept Reason = "kept"
	// ReasonBorrowed is a replica of the short pool with little load, while the prompt's affinity replicas have a long
	// backlog.
	ReasonBorrowed Reason = "lent"
	// ReasonLeastLoaded is the replica with the least load.
	ReasonLeastLoaded Reason = "least_loaded"
	// ReasonOverflow is a replica outside the request's pool, which has no usable replica or a much longer backlog.
	ReasonOverflow Reason = "overflow"
	// ReasonForced is the least loaded replica for an urgent request whose affinity replicas had no capacity until its
	// queue timeout.
	ReasonForced Reason = "insisted"
	// ReasonLastResort is an ejected replica, because there is no other one.
	ReasonLastResort Reason = "last_resort"
)

// Choice is the result of a placement decision.
type Choice struct {
	Replica *replicas.Replica
	Key     Key
	Reason  Reason
	// Prefill is the number of tokens that the replica is expected to prefill.
	Prefill int
	// Own is the part of these tokens that no other prompt shares.
	Own int
	// Source is a replica that has prefilled the prompt's shared parts and from which the chosen one fetches them; nil
	// for none.
	Source *replicas.Replica
	// Short is set for a prompt of a short route (see Profile).
	Short bool
	// Granted is when the choice was granted.
	Granted time.Time
	// Load is the load that the decision was based on, and ReportAge the age of the oldest report in it.
	Load      Load
	ReportAge time.Duration
}

// runningLoad is the load of the running request, times sign.
func (c *Choice) runningLoad(sign int) Load {
	l := Load{Running: sign}
	if c.Short {
		l.Short = sign
	}
	return l
}

// ReplicaID returns the ID of the chosen replica, or "" before a choice.
func (c *Choice) ReplicaID() string {
	if c.Replica == nil {
		return ""
	}
	return c.Replica.ID
}

// Placer chooses replicas. It is safe for concurrent use.
type Placer struct {
	Loads  *LoadTracker
	Health *Health
	// Limits are those that replicas have named. New sets those of a single entry; one of several replaces them.
	Limits *ReplicaLimits
	Pauses *Pauses
	// Connected reports whether this entry has an idle connection to the replica at an address. It may be nil.
	Connected func(address string) bool
	sizes     *PromptSizes
	kept      *keptParts
	paces     *paces
	zone      string
	set       settings.Placement

	mu sync.Mutex
	// memory is the KV cache of the replicas of each service, in tokens; guarded by mu.
	memory map[string]int
	// view and services are the latest list of replicas; guarded by mu.
	view     *replicas.View
	services []string
	layout   atomic.Pointer[map[string]*layout]
	// pools are the sizes of the short pools, by service; guarded by mu.
	pools map[string]*shortPool

	queues queues

	randomMu sync.Mutex
	random   *rand.Rand
}

// randomN returns a random number in [0, n).
func (p *Placer) randomN(n int) int {
	p.randomMu.Lock()
	defer p.randomMu.Unlock()
	return p.random.IntN(n)
}

// New returns a Placer for an entry in the availability zone. The seed randomizes the choice between equally good
// replicas, so that entries which decide at the same time choose differently.
func New(zone string, set settings.Placement, seed uint64) *Placer {
	p := &Placer{set: set, random: rand.New(rand.NewPCG(seed, seed)), Loads: NewLoadTracker(), Health: NewHealth(), Limits: NewReplicaLimits(""), Pauses: NewPauses(), sizes: NewPromptSizes(), kept: newKeptParts(), paces: newPaces(), zone: zone, queues: newQueues(), pools: map[string]*shortPool{}}
	p.layout.Store(&map[string]*layout{})
	return p
}

// pick chooses a replica for the job. The second result is false when the service has no untried replica.
func (p *Placer) pick(job *Job, profile Profile, now time.Time) (Choice, bool) {
	l := (*p.layout.Load())[job.Service]
	switch {
	case l == nil || len(l.all) == 0:
		return Choice{}, false
	case len(job.Parts) == 0:
		return p.pickLeastLoaded(job, l.all, nil, ReasonLeastLoaded, now)
	case profile.Short:
		return p.pickShort(job, l, now)
	}
	if c, ok := p.pickAffinity(job, l, profile.urgent(job), now); ok {
		return c, true
	}
	short, long := l.division()
	return p.pickLeastLoaded(job, long, short, ReasonOverflow, now)
}

// pickShort chooses a replica for a short prompt: a reserved one, unless another one of the pool has so much less backlog
// that the long prompts there delay the prompt less. This handles a pool whose replicas slow down or are lost; for bursts of
// short prompts the pool itself grows (see shortPool).
func (p *Placer) pickShort(job *Job, l *layout, now time.Time) (Choice, bool) {
	short, long := l.division()
	own, cost, ok := p.leastLoaded(job, l.reserved, now)
	if minAdvantage := milliseconds(time.Duration(p.set.ShortBorrowableCost)); !ok || cost > minAdvantage {
		if other, otherCost, found := p.leastLoaded(job, short[len(l.reserved):], now); found && (!ok || otherCost+minAdvantage < cost) {
			own, cost, ok = other, otherCost, true
		}
	}
	if !ok {
		return p.pickLeastLoaded(job, long, nil, ReasonOverflow, now)
	}
	own.Reason = ReasonLeastLoaded
	if minOverflowAdvantage := milliseconds(time.Duration(p.set.OverflowCost)); cost > minOverflowAdvantage {
		if other, otherCost, found := p.leastLoaded(job, long, now); found && otherCost+minOverflowAdvantage < cost {
			other.Reason = ReasonOverflow
			return other, true
		}
	}
	return own, true
}

// affinityKey is the hash of the deepest part that other requests share: the last one but one.
func affinityKey(parts []Part) uint64 {
	i := max(0, len(parts)-2)
	return xxhash.Sum64String(parts[i].ID)
}

// pickAffinity chooses among the affinity replicas of the prompt's shared parts, and the others that keep them. This handles many prompts with long
// shared parts: each shared part is prefilled once, and the prompts are spread evenly over the replicas. A further
// affinity replica is used only when the backlog of the one before exceeds the work of prefilling the shared parts again. Replicas
// that have named a limit are considered in addition to as many others, so that what they may not take has affinity replicas too.
func (p *Placer) pickAffinity(job *Job, l *layout, urgent bool, now time.Time) (Choice, bool) {
	key := affinityKey(job.Parts)
	var found [maxAffinityReplicas]int32
	best, bestCost := Choice{}, 0.0
	consider := func(m member, reason Reason, extra float64) {
		if !p.usable(job, m, now) {
			return
		}
		load := p.Loads.Total(m.key, now)
		c := Choice{Replica: m.Replica, Key: m.key, Prefill: p.kept.missingTokens(m.key, job.Parts, now), Load: load, Reason: reason}
		cost := p.cost(m.key, load, urgent, now) + p.prefillCost(&c, job, now) + p.connectionCost(m) + extra
		if best.Replica == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	reason := ReasonAffinity
	added := l.added()
	candidates := min(maxAffinityReplicas, p.set.AffinityReplicas)
	searched := candidates
	if p.Limits.Active() > 0 {
		searched = maxAffinityReplicas
	}
	for _, index := range found[:l.affinityRing.lookup(key, found[:searched], added)] {
		if candidates == 0 {
			break
		}
		consider(l.long[index], reason, 0)
		reason = ReasonSecondAffinity
		if !p.Limits.isLimited(l.long[index].key) {
			candidates--
		}
	}
	if bestCost > milliseconds(time.Duration(p.set.KeptCost)) {
		var keeping [maxSources]Key
		for _, key := range p.kept.replicasHolding(keeping[:0], job.Parts, now) {
			// An ejected replica is no candidate, and this check must not use up its probe.
			if index, ok := l.longIndex[key]; ok && index >= added && p.Health.Usable(job.Service, key, false, now) {
				consider(l.long[index], ReasonKept, 0)
			}
		}
	}
	if borrowCost := milliseconds(time.Duration(p.set.LongBorrowCost)); added == 0 && bestCost > borrowCost && p.mayBorrow(l, now) {
		for _, index := range found[:l.borrowableRing.lookup(key, found[:borrowableCandidates], 0)] {
			if p.Loads.Total(l.borrowable[index].key, now).Short <= maxShortOnBorrowed {
				consider(l.borrowable[index], ReasonBorrowed, borrowCost)
			}
		}
	}
	return best, best.Replica != nil
}

// maxShortOnBorrowed is the number of short prompts that may run on a replica that a long prompt borrows. Long prompts
// there make them late.
const maxShortOnBorrowed = 1

// borrowableCandidates is the number of borrowable replicas that are considered for a prompt.
const borrowableCandidates = 2

// mayBorrow reports whether the reserved part of the short pool has a low backlog, so that long prompts may borrow the
// rest. This handles a burst of long prompts while there are few short ones, and the reverse.
func (p *Placer) mayBorrow(l *layout, now time.Time) bool {
	if len(l.borrowable) == 0 {
		return false
	}
	total := 0.0
	for _, m := range l.reserved[:min(len(l.reserved), sampleSize)] {
		total += p.cost(m.key, p.Loads.Total(m.key, now), false, now)
	}
	return total/float64(min(len(l.reserved), sampleSize)) < milliseconds(time.Duration(p.set.MaxReservedWait))
}

// cost is the expected wait before a replica starts a further prompt, in milliseconds. Urgent prompts go before the
// others that wait.
func (p *Placer) cost(replica Key, l Load, urgent bool, now time.Time) float64 {
	ahead := l.Prefill + l.Waiting
	if urgent {
		ahead = l.Prefill + l.Urgent
	}
	wait := (float64(ahead)/prefillTokensPerMs + p.runningCost()*float64(l.Running)) * p.slowdown(replica, now)
	if gap, ok := l.MeanGap(); ok {
		wait += p.set.GapCost * milliseconds(gap)
	}
	return wait
}

// pickLeastLoaded chooses the replica with the least load, among a sample when there are many: in pool, or in fallback
// when pool has no usable one. This handles bursts of short prompts.
func (p *Placer) pickLeastLoaded(job *Job, pool, fallback []member, reason Reason, now time.Time) (Choice, bool) {
	for _, candidates := range [][]member{pool, fallback} {
		if c, _, ok := p.leastLoaded(job, candidates, now); ok {
			c.Reason = reason
			return c, true
		}
		reason = ReasonOverflow
	}
	return p.pickLastResort(job, now, pool, fallback)
}

// leastLoaded returns the least loaded of the candidates, and its cost.
func (p *Placer) leastLoaded(job *Job, candidates []member, now time.Time) (Choice, float64, bool) {
	best, bestCost := Choice{}, 0.0
	n := len(candidates)
	if n == 0 {
		return best, 0, false
	}
	start, stride, compared, samples := p.randomN(n), sampleStride(n), 0, p.samples()
	for i := 0; i < n && compared < samples; i++ {
		m := candidates[(start+i*stride)%n]
		if !p.usable(job, m, now) {
			continue
		}
		compared++
		load := p.Loads.Total(m.key, now)
		c := p.cost(m.key, load, false, now) + p.connectionCost(m)
		if m.Zone != p.zone {
			c += otherZonePenalty * p.runningCost()
		}
		if best.Replica == nil || c < bestCost {
			best, bestCost = Choice{Replica: m.Replica, Key: m.key, Load: load}, c
		}
	}
	if best.Replica != nil && len(job.Parts) > 0 {
		best.Prefill = p.kept.missingTokens(best.Key, job.Parts, now)
	}
	return best, bestCost, best.Replica != nil
}

// connectionCost is the cost of a replica to which a connection has to be opened, in milliseconds.
func (p *Placer) connectionCost(m member) float64 {
	if p.Connected == nil || p.Connected(m.Address) {
		return 0
	}
	return milliseconds(time.Duration(p.set.ConnectionCost))
}

// samples returns the number of replicas to compare.
func (p *Placer) samples() int {
	return max(minSampleSize, min(sampleSize, sampleSize*sampleEntries/max(1, p.Loads.Entries()+1)))
}

// sampleStride returns the distance between two compared replicas of n, which has no common divisor with n, so that samples
// which begin close to each other differ.
func sampleStride(n int) int {
	for _, stride := range [...]int{7, 11, 13, 17} {
		if n%stride != 0 {
			return stride
		}
	}
	return 1
}

// otherZonePenalty is the cost of a replica in another availability zone, in running requests. It is below one, so that
// it does not outweigh the cost of one running request.
const otherZonePenalty = 0.8

// runningCost returns the cost of one running request in milliseconds.
func (p *Placer) runningCost() float64 {
	return milliseconds(time.Duration(p.set.RunningCost))
}

// pickLastResort chooses an ejected replica: for a request without an alternative, trying one is better than a refusal.
func (p *Placer) pickLastResort(job *Job, now time.Time, pools ...[]member) (Choice, bool) {
	for _, candidates := range pools {
		n := len(candidates)
		if n == 0 {
			continue
		}
		start := p.randomN(n)
		for i := range n {
			m := candidates[(start+i)%n]
			if !slices.Contains(job.Excluded, m.ID) && p.accepts(m, now) {
				return Choice{Replica: m.Replica, Key: m.key, Reason: ReasonLastResort, Prefill: job.Tokens, Load: p.Loads.Total(m.key, now)}, true
			}
		}
	}
	return Choice{}, false
}

// accepts reports whether the replica takes another request now, by what it has said itself.
func (p *Placer) accepts(m member, now time.Time) bool {
	return p.Limits.Allows(m.key, now) && p.Pauses.Wait(m, now) == 0
}

func (p *Placer) usable(job *Job, m member, now time.Time) bool {
	return !slices.Contains(job.Excluded, m.ID) && p.accepts(m, now) && p.Health.Usable(job.Service, m.key, job.Repeatable, now)
}

// ReplicaID returns the ID of a replica in the list, or "".
func (p *Placer) ReplicaID(key Key) string {
	for _, l := range *p.layout.Load() {
		for _, m := range l.all {
			if m.key == key {
				return m.ID
			}
		}
	}
	return ""
}

// FirstEvent records that the replica has prefilled the job's prompt.
func (p *Placer) FirstEvent(c Choice, now time.Time) {
	p.recordPace(&c, now)
	p.Loads.Add(c.Key, Load{Prefill: -c.Prefill})
	p.serveQueue(c.Key, now)
}

// Ended records that the job has ended at the replica. started is set if FirstEvent was called.
func (p *Placer) Ended(c Choice, started bool, now time.Time) {
	change := c.runningLoad(-1)
	if !started {
		change.Prefill = -c.Prefill
	}
	p.Loads.Add(c.Key, change)
	p.serveQueue(c.Key, now)
}

// TakeHints returns the cache hints to send to the other entries now.
func (p *Placer) TakeHints() []CacheHint { return p.kept.takePending() }

// TakePaceSamples returns the samples to send to the other entries now.
func (p *Placer) TakePaceSamples() []PaceSample { return p.paces.takePending() }

// ReportOf is what another entry has sent.
type ReportOf struct {
	Loads map[Key]Load
	Hints []CacheHint
	Paces []PaceSample
}

// ApplyReport applies the load, the cache hints and the pace samples that another entry sent.
func (p *Placer) ApplyReport(entry string, r ReportOf, now time.Time) {
	p.Loads.Report(entry, r.Loads, now)
	p.kept.merge(r.Hints, now)
	for _, s := range r.Paces {
		p.recordPaceSample(s, false, now)
		p.kept.mergeOwn(s.Replica, s.Own, now)
	}
	p.serveAllQueues(now)
}

// Tick deletes expired records and serves the queues. It is called periodically.
func (p *Placer) Tick(now time.Time) {
	p.updateFast(now)
	p.resizePools(now)
	p.Loads.Expire(now)
	p.Health.Expire(now)
	p.Limits.Expire(now)
	p.Pauses.Expire(now)
	p.kept.expire(now)
	p.paces.expire(now)
	p.serveAllQueues(now)
}
