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

// Figures of the estimates.
const (
	// prefillRate is the speed at which an engine reads prompts, in tokens per millisecond; the published sheets say 56.6.
	prefillRate = 56.6
	// leastForPools is the number of replicas from which a service is divided.
	leastForPools = 4
	// maxHomes bounds the replicas that are considered for a prompt before all of them are.
	maxHomes = 8
	// sampled is the number of replicas that are compared for a request without a home.
	sampled = 16
)

// milliseconds converts to the unit of all costs.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// readingTime is the time in which an engine reads the tokens.
func readingTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond))
}

// Part is one part of a prompt. Requests with the same first parts can use the same cache.
type Part struct {
	ID     string
	Tokens int
}

// Job is a request as the decision sees it.
type Job struct {
	Service string
	Route   string
	// Parts of the prompt in order; the last one belongs to the request alone. Empty for plain services.
	Parts []Part
	// Tokens is the size of the prompt.
	Tokens int
	// Target is the time to the first event or answer that earns full credit.
	Target time.Duration
	// Repeatable requests may try out replicas that are avoided.
	Repeatable bool
	// Repeated jobs were sent to a replica before. They don't wait for room: they have waited once, can't be refused as not
	// run, and the retry budget bounds their number.
	Repeated bool
	// Priority is 0 for the most urgent jobs.
	Priority int
	// Arrived is when the caller's request came.
	Arrived time.Time
	// Excluded are the replicas that were tried before.
	Excluded []string
}

// Reason says why a replica was chosen.
type Reason string

// Reasons of a choice.
const (
	// ReasonHome is the first replica of the prompt's shared parts.
	ReasonHome Reason = "home"
	// ReasonSecondHome is a further replica of the prompt's shared parts, because the first ones have much to read.
	ReasonSecondHome Reason = "second_home"
	// ReasonLent is a replica of the short pool, which has little to do while the prompt's homes have much.
	ReasonLent Reason = "lent"
	// ReasonLeastLoaded is the replica with the least to do.
	ReasonLeastLoaded Reason = "least_loaded"
	// ReasonOverflow is a replica outside the pool of the request, which has no usable one.
	ReasonOverflow Reason = "overflow"
	// ReasonInsisted is the least loaded replica for an urgent request whose homes have had no room for long.
	ReasonInsisted Reason = "insisted"
	// ReasonLastResort is a replica that is avoided, because there is no other one.
	ReasonLastResort Reason = "last_resort"
)

// Choice is the outcome of a decision.
type Choice struct {
	Replica *replicas.Replica
	Key     Key
	Reason  Reason
	// Prefill is the number of tokens that the replica is expected to read.
	Prefill int
	// Source is a replica that has read the prompt's shared parts and from which the chosen one fetches them; nil for none.
	Source *replicas.Replica
	// Short tells that the prompt is short compared with others of its service.
	Short bool
	// Load is the load that the decision saw, and ReportAge the age of the oldest report in it.
	Load      Load
	ReportAge time.Duration
}

// running is the load of the request while it runs, times sign.
func (c *Choice) running(sign int) Load {
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
	Board  *Board
	Health *Health
	mix    *Mix
	cached *cachedParts
	zone   string
	set    settings.Placement

	mu     sync.Mutex
	layout atomic.Pointer[map[string]*layout]

	lines lines

	randomMu sync.Mutex
	random   *rand.Rand
}

// below returns a random number below n.
func (p *Placer) below(n int) int {
	p.randomMu.Lock()
	defer p.randomMu.Unlock()
	return p.random.IntN(n)
}

// New returns a Placer for an entry in the zone. The seed spreads the choices between replicas that are equally good, so that
// entries which decide at the same time decide differently.
func New(zone string, set settings.Placement, seed uint64) *Placer {
	p := &Placer{set: set, random: rand.New(rand.NewPCG(seed, seed)), Board: NewBoard(), Health: NewHealth(), mix: NewMix(), cached: newCachedParts(), zone: zone, lines: newLines()}
	p.layout.Store(&map[string]*layout{})
	return p
}

// layout is the division of a service's replicas. It is the same at all entries that see the same replicas.
type layout struct {
	all, short, long []member
	byKey            map[Key]member
	homes            *ring
	// lent are the members of short that long prompts may use while the rest of short, kept, is calm.
	kept, lent []member
	lentHomes  *ring
}

type member struct {
	*replicas.Replica
	key Key
}

// Update takes a new list of replicas.
func (p *Placer) Update(view *replicas.View, services []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*layout, len(services))
	for _, name := range services {
		next[name] = newLayout(view.Service(name), &p.set)
	}
	p.layout.Store(&next)
}

func newLayout(list []*replicas.Replica, set *settings.Placement) *layout {
	l := &layout{all: make([]member, len(list)), byKey: make(map[Key]member, len(list))}
	for i, r := range list {
		l.all[i] = member{r, KeyOf(r.ID)}
		l.byKey[l.all[i].key] = l.all[i]
	}
	byHash := slices.Clone(l.all)
	slices.SortFunc(byHash, func(a, b member) int {
		return cmpUint(xxhash.Sum64String("pool "+a.ID), xxhash.Sum64String("pool "+b.ID))
	})
	short := 0
	if len(list) >= leastForPools {
		short = max(1, int(set.ShortPoolShare*float64(len(list))+0.5))
	}
	l.short, l.long = byHash[:short], byHash[short:]
	kept := min(short, max(1, int(set.KeptShare*float64(short)+0.5)))
	l.kept, l.lent = l.short[:min(kept, short)], l.short[min(kept, short):]
	l.homes, l.lentHomes = newRing(l.long), newRing(l.lent)
	return l
}

func cmpUint(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// pick chooses a replica for the job. The second result is false when the service has no replica that was not tried yet.
func (p *Placer) pick(job *Job, profile Profile, now time.Time) (Choice, bool) {
	l := (*p.layout.Load())[job.Service]
	switch {
	case l == nil || len(l.all) == 0:
		return Choice{}, false
	case len(job.Parts) == 0:
		return p.least(job, l.all, nil, ReasonLeastLoaded, now)
	case profile.Short:
		return p.short(job, l, now)
	}
	if c, ok := p.home(job, l, profile.urgent(job), now); ok {
		return c, true
	}
	return p.least(job, l.long, l.short, ReasonOverflow, now)
}

// short chooses for a short prompt. It goes to its own pool unless a replica of the other one has so much less to do that
// the long prompts there disturb it less. It answers bursts of short work, and a pool that slows down or loses replicas.
func (p *Placer) short(job *Job, l *layout, now time.Time) (Choice, bool) {
	own, cost, ok := p.leastOf(job, l.kept, now)
	if pack := milliseconds(time.Duration(p.set.PackCost)); !ok || cost > pack {
		if lent, lentCost, found := p.leastOf(job, l.lent, now); found && (!ok || lentCost+pack < cost) {
			own, cost, ok = lent, lentCost, true
		}
	}
	if !ok {
		return p.least(job, l.long, nil, ReasonOverflow, now)
	}
	own.Reason = ReasonLeastLoaded
	if limit := milliseconds(time.Duration(p.set.OverflowCost)); cost > limit {
		if other, otherCost, found := p.leastOf(job, l.long, now); found && otherCost+limit < cost {
			other.Reason = ReasonOverflow
			return other, true
		}
	}
	return own, true
}

// homeKey is the deepest part that other requests share: the last one but one.
func homeKey(parts []Part) uint64 {
	i := max(0, len(parts)-2)
	return xxhash.Sum64String(parts[i].ID)
}

// home chooses among the replicas that the prompt's shared parts lead to. It answers the pattern of many prompts that
// share long parts: each of them is read once, and the replicas share the prompts evenly. A further home is used only when
// the backlog of the one before exceeds the work of reading the shared parts again.
func (p *Placer) home(job *Job, l *layout, urgent bool, now time.Time) (Choice, bool) {
	key := homeKey(job.Parts)
	var found [maxHomes]int32
	best, bestCost := Choice{}, 0.0
	consider := func(m member, reason Reason, extra float64) {
		if !p.usable(job, m, now) {
			return
		}
		load := p.Board.Total(m.key, now)
		c := Choice{Replica: m.Replica, Key: m.key, Prefill: p.cached.missing(m.key, job.Parts, now), Load: load, Reason: reason}
		cost := p.cost(load, urgent) + p.readCost(&c, job, now) + extra
		if best.Replica == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	reason := ReasonHome
	for _, index := range found[:l.homes.homes(key, found[:min(maxHomes, p.set.Homes)])] {
		consider(l.long[index], reason, 0)
		reason = ReasonSecondHome
	}
	if lendCost := milliseconds(time.Duration(p.set.LendCost)); bestCost > lendCost && p.calm(l, now) {
		for _, index := range found[:l.lentHomes.homes(key, found[:lentHomeCount])] {
			if p.Board.Total(l.lent[index].key, now).Short <= lentShort {
				consider(l.lent[index], ReasonLent, lendCost)
			}
		}
	}
	return best, best.Replica != nil
}

// lentShort is the number of short prompts that may run on a replica that is lent. Long prompts there make them late.
const lentShort = 1

// lentHomeCount is the number of lent replicas that are considered for a prompt.
const lentHomeCount = 2

// calm reports whether the kept part of the short pool has little to do, so that the rest can be lent. It answers a burst
// of long prompts while there are few short ones, and the reverse.
func (p *Placer) calm(l *layout, now time.Time) bool {
	if len(l.lent) == 0 {
		return false
	}
	total := 0.0
	for _, m := range l.kept[:min(len(l.kept), sampled)] {
		total += p.cost(p.Board.Total(m.key, now), false)
	}
	return total/float64(min(len(l.kept), sampled)) < milliseconds(time.Duration(p.set.CalmCost))
}

// cost is the expected wait before a replica begins with a further prompt, in milliseconds. Urgent prompts overtake the
// others that wait.
func (p *Placer) cost(l Load, urgent bool) float64 {
	ahead := l.Prefill + l.Waiting
	if urgent {
		ahead = l.Prefill + l.Urgent
	}
	wait := float64(ahead)/prefillRate + p.runningCost()*float64(l.Running)
	if gap, ok := l.Gap(); ok {
		wait += p.set.GapCost * milliseconds(gap)
	}
	return wait
}

// least chooses the replica with the least to do, among a sample when there are many. It answers bursts of short work.
func (p *Placer) least(job *Job, pool, rest []member, reason Reason, now time.Time) (Choice, bool) {
	for _, candidates := range [][]member{pool, rest} {
		if c, _, ok := p.leastOf(job, candidates, now); ok {
			c.Reason = reason
			return c, true
		}
		reason = ReasonOverflow
	}
	return p.lastResort(job, now, pool, rest)
}

// leastOf returns the least loaded of the candidates, and its cost.
func (p *Placer) leastOf(job *Job, candidates []member, now time.Time) (Choice, float64, bool) {
	best, bestCost := Choice{}, 0.0
	n := len(candidates)
	if n == 0 {
		return best, 0, false
	}
	start := p.below(n)
	for i := range min(n, sampled) {
		m := candidates[(start+i)%n]
		if !p.usable(job, m, now) {
			continue
		}
		load := p.Board.Total(m.key, now)
		c := p.cost(load, false)
		if m.Zone != p.zone {
			c += otherZoneShare * p.runningCost()
		}
		if best.Replica == nil || c < bestCost {
			best, bestCost = Choice{Replica: m.Replica, Key: m.key, Load: load}, c
		}
	}
	if best.Replica != nil && len(job.Parts) > 0 {
		best.Prefill = p.cached.missing(best.Key, job.Parts, now)
	}
	return best, bestCost, best.Replica != nil
}

// otherZoneShare prefers the own availability zone between replicas that are equally loaded. It counts as less than one
// running request.
const otherZoneShare = 0.8

// runningCost returns the weight of a running request in milliseconds.
func (p *Placer) runningCost() float64 {
	return milliseconds(time.Duration(p.set.RunningCost))
}

// lastResort chooses a replica that is avoided: a request with no other place is better tried than refused.
func (p *Placer) lastResort(job *Job, now time.Time, pools ...[]member) (Choice, bool) {
	for _, candidates := range pools {
		n := len(candidates)
		if n == 0 {
			continue
		}
		start := p.below(n)
		for i := range n {
			m := candidates[(start+i)%n]
			if !slices.Contains(job.Excluded, m.ID) {
				return Choice{Replica: m.Replica, Key: m.key, Reason: ReasonLastResort, Prefill: job.Tokens, Load: p.Board.Total(m.key, now)}, true
			}
		}
	}
	return Choice{}, false
}

func (p *Placer) usable(job *Job, m member, now time.Time) bool {
	return !slices.Contains(job.Excluded, m.ID) && p.Health.Usable(job.Service, m.key, job.Repeatable, now)
}

// FirstEvent notes that the replica has read the job's prompt.
func (p *Placer) FirstEvent(c Choice, now time.Time) {
	p.Board.Add(c.Key, Load{Prefill: -c.Prefill})
	p.room(c.Key, now)
}

// Ended notes that the replica is done with the job. started tells whether FirstEvent was called.
func (p *Placer) Ended(c Choice, started bool, now time.Time) {
	change := c.running(-1)
	if !started {
		change.Prefill = -c.Prefill
	}
	p.Board.Add(c.Key, change)
	p.room(c.Key, now)
}

// FreshNotes returns what the other entries have to hear about the replicas' caches.
func (p *Placer) FreshNotes() []Note { return p.cached.takeFresh() }

// Reported takes the state of another entry.
func (p *Placer) Reported(entry string, loads map[Key]Load, notes []Note, now time.Time) {
	p.Board.Report(entry, loads, now)
	p.cached.told(notes, now)
	p.rooms(now)
}

// Tick forgets what is too old to count.
func (p *Placer) Tick(now time.Time) {
	p.Board.Expire(now)
	p.Health.Forget(now)
	p.cached.expire(now)
	p.rooms(now)
}
