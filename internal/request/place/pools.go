package place

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// shrinkInterval is the time between two reductions of a short pool by one replica. A replica that leaves the pool gets
// long prompts at once, while its short streams still run for some seconds.
const shrinkInterval = 400 * time.Millisecond

// shortPool is the size of a service's short pool. The pool grows as soon as its replicas would run more short streams than
// keep their pace, and shrinks slowly. This handles bursts of short prompts with long responses: on replicas that also
// prefill long prompts, every prefill would make all streams there late.
type shortPool struct {
	size       int
	lastShrunk time.Time
}

// resize adapts the pool to the number of replicas that the running short streams need.
func (s *shortPool) resize(wanted, smallest, largest int, now time.Time) {
	wanted = min(largest, max(smallest, wanted))
	switch {
	case wanted >= s.size:
		s.size, s.lastShrunk = wanted, now
	case now.Sub(s.lastShrunk) >= shrinkInterval:
		s.size, s.lastShrunk = s.size-1, now
	}
}

// resizePools adapts the short pools of all services to the load.
func (p *Placer) resizePools(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range *p.layout.Load() {
		if len(l.short) == 0 {
			continue
		}
		pool := p.pools[name]
		if pool == nil {
			pool = &shortPool{}
			p.pools[name] = pool
		}
		running := 0
		for _, m := range l.all {
			running += p.Loads.Total(m.key, now).Short
		}
		largest := max(len(l.short), int(p.set.MaxShortPoolShare*float64(len(l.all))))
		pool.resize(wantedReplicas(l.order, float64(running)/p.set.ShortPerReplica), len(l.short), largest, now)
		l.size.Store(int32(pool.size))
	}
}

// wantedReplicas returns the number of members, from the first one on, whose weights reach the sum.
func wantedReplicas(members []member, sum float64) int {
	weight := 0.0
	for i, m := range members {
		if weight >= sum {
			return i
		}
		weight += m.weight
	}
	return len(members)
}

// layout is the division of a service's replicas into pools. It is the same at all entries that have the same list of
// replicas.
type layout struct {
	all, short, long []member
	byKey            map[Key]member
	affinityRing     *ring
	// longIndex are the indexes in long.
	longIndex map[Key]int
	// borrowable are the members of short that long prompts may borrow while the backlog of the reserved ones is low.
	reserved, borrowable []member
	borrowableRing       *ring
	// order has the members of short, then those of long in the order in which they join the short pool.
	order []member
	// size is the current size of the short pool.
	size atomic.Int32
}

// division returns the members of the short pool at its current size, and the others.
func (l *layout) division() (short, long []member) {
	size := len(l.short) + l.added()
	return l.order[:size], l.order[size:]
}

// added returns the number of members of long that have joined the short pool.
func (l *layout) added() int { return max(0, min(int(l.size.Load())-len(l.short), len(l.long))) }

type member struct {
	*replicas.Replica
	key Key
	// weight is the number of replicas of common speed that the replica counts for.
	weight float64
}

// Update replaces the list of replicas.
func (p *Placer) Update(view *replicas.View, services []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view, p.services = view, services
	p.kept.unlist()
	for _, name := range services {
		for _, r := range view.Service(name) {
			p.kept.update(r, p.memory[name])
		}
	}
	p.divide()
}

// divide divides the replicas of each service into pools. The caller holds mu.
func (p *Placer) divide() {
	next := make(map[string]*layout, len(p.services))
	for _, name := range p.services {
		next[name] = newLayout(p.view.Service(name), &p.set, p.pools[name], p.paces.isFast)
	}
	p.layout.Store(&next)
}

func newLayout(list []*replicas.Replica, set *settings.Placement, pool *shortPool, isFast func(Key) bool) *layout {
	l := &layout{all: make([]member, len(list)), byKey: make(map[Key]member, len(list))}
	for i, r := range list {
		l.all[i] = member{Replica: r, key: KeyOf(r.ID), weight: 1}
		if isFast(l.all[i].key) {
			l.all[i].weight = fastWeight
		}
		l.byKey[l.all[i].key] = l.all[i]
	}
	// Fast replicas come first: they keep the gap targets of short streams also in slow periods.
	byHash := slices.Clone(l.all)
	slices.SortFunc(byHash, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(xxhash.Sum64String("pool "+a.ID), xxhash.Sum64String("pool "+b.ID)))
	})
	short := 0
	if len(list) >= minReplicasForPools {
		short = max(1, int(set.ShortPoolShare*float64(len(list))+0.5))
	}
	l.short, l.long = byHash[:short], byHash[short:]
	reserved := min(short, max(1, int(set.ReservedShare*float64(short)+0.5)))
	l.reserved, l.borrowable = l.short[:min(reserved, short)], l.short[min(reserved, short):]
	l.order = byHash
	if pool != nil {
		l.size.Store(int32(pool.size))
	}
	l.longIndex = make(map[Key]int, len(l.long))
	for i, m := range l.long {
		l.longIndex[m.key] = i
	}
	l.affinityRing, l.borrowableRing = newRing(l.long), newRing(l.borrowable)
	return l
}
