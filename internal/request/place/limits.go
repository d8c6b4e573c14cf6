package place

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the limits that replicas name.
const (
	// turnSpread is the number of requests below which the entries take turns: the entry that is first for a replica sends as soon
	// as one request is allowed, the last one only when 1 + turnSpread are. So not all of them send the same request, and what
	// the first ones don't need is left to the others.
	turnSpread = 2.0
	// maxAllowed is the number of requests that are allowed at once after a time without any. With the turns it is less than the
	// five requests that the platform tolerates above a limit.
	maxAllowed = 1 + turnSpread
	// maxOverdrawn bounds how far sends of several entries at the same moment are made up for later, in requests.
	maxOverdrawn = 20
	// probeRate is the lowest rate at which the replica gets requests, in requests a second, because only its responses tell when
	// a limit ends.
	probeRate = 0.1
	// shareHoldTime is how long the part of an entry that has gone silent is kept free. It may only be cut off from the others.
	shareHoldTime = 10 * time.Second
	// limitExpiry is how long a limit that no entry hears of is kept: several times the time between two requests at probeRate.
	limitExpiry = time.Minute
	// announceInterval is the time after which the other entries are told of a limit again, for those that have just started.
	announceInterval = time.Second
	// maxLimits bounds the replicas with a limit. It is above the 7,600 replicas of the target scale.
	maxLimits = 8192
)

// NamedLimit is what a response of a replica says about its limit: the requests a second that it takes from all entries together.
type NamedLimit struct {
	Replica   Key
	PerSecond float64
	// Withdrawn is set if the response names no limit.
	Withdrawn bool
	// Sent is when the request of a response without a limit was sent, and At when a response with one arrived.
	Sent, At time.Time
}

// ReplicaLimits keeps the limits that replicas name. Each entry tells the others of its sends to limited replicas at once, so that
// all of them know how many further requests are allowed. It is safe for concurrent use.
type ReplicaLimits struct {
	// Taken receives a value when there are sends for TakeSends.
	Taken chan struct{}
	// active is the number of limited replicas.
	active atomic.Int32

	mu   sync.Mutex
	self string
	// seen is when each entry, without this one, was last live. entries are their addresses with this one's, and live is the
	// number of those that are live now.
	seen     map[string]time.Time
	entries  []string
	live     int
	replicas map[Key]*replicaLimit
	// sends are those of this entry of which the others have not been told.
	sends map[Key]int
}

// replicaLimit is the limit of one replica.
type replicaLimit struct {
	perSecond float64
	withdrawn bool
	// at is when the replica last named the limit, or when it was withdrawn.
	at time.Time
	// rate is the part of the limit, in requests a second, of the entries that this one hears, together.
	rate float64
	// allowed is the number of requests that they may send at updated, and needed that from which this entry may send one.
	allowed, needed float64
	updated         time.Time
	// announced is when the other entries were last told.
	announced time.Time
}

// NewReplicaLimits returns ReplicaLimits without limits, for the entry with the address.
func NewReplicaLimits(self string) *ReplicaLimits {
	return &ReplicaLimits{
		Taken: make(chan struct{}, 1), self: self, seen: map[string]time.Time{}, entries: []string{self}, live: 1,
		replicas: map[Key]*replicaLimit{}, sends: map[Key]int{},
	}
}

// SetEntries sets the other entries that are live.
func (l *ReplicaLimits) SetEntries(live []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range live {
		l.seen[address] = now
	}
	entries := []string{l.self}
	for address, at := range l.seen {
		if now.Sub(at) > shareHoldTime {
			delete(l.seen, address)
			continue
		}
		entries = append(entries, address)
	}
	slices.Sort(entries)
	if slices.Equal(entries, l.entries) && l.live == len(live)+1 {
		return
	}
	l.entries, l.live = entries, len(live)+1
	for replica, r := range l.replicas {
		l.divide(replica, r, now)
	}
}

// Apply applies what a response to this or another entry says. It reports whether the limit has changed, so that this entry
// should tell the others if the response is its own.
func (l *ReplicaLimits) Apply(n NamedLimit, now time.Time) bool {
	if n.Withdrawn && l.active.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.replicas[n.Replica]
	if n.Withdrawn {
		// A request that was sent before the limit was named says nothing.
		if r == nil || r.withdrawn || !n.Sent.After(r.at) {
			return false
		}
		r.withdrawn, r.at, r.announced = true, n.Sent, now
		l.count()
		return true
	}
	if r == nil {
		if len(l.replicas) >= maxLimits {
			return false
		}
		r = &replicaLimit{withdrawn: true, updated: now}
		l.replicas[n.Replica] = r
	}
	if !n.At.After(r.at) {
		return false
	}
	changed := r.withdrawn || r.perSecond != n.PerSecond
	r.at = n.At
	if changed {
		r.withdrawn, r.perSecond, r.announced = false, n.PerSecond, now
		l.divide(n.Replica, r, now)
		l.count()
	}
	return changed
}

// Heard records that another entry has told all of the replica's limit.
func (l *ReplicaLimits) Heard(replica Key, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.replicas[replica]; r != nil {
		r.announced = now
	}
}

// TakeAnnouncements returns the limits of which the others have not been told lately.
func (l *ReplicaLimits) TakeAnnouncements(now time.Time) []NamedLimit {
	if l.active.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []NamedLimit
	for replica, r := range l.replicas {
		if !r.withdrawn && now.Sub(r.announced) >= announceInterval {
			r.announced = now
			list = append(list, NamedLimit{Replica: replica, PerSecond: r.perSecond, At: r.at})
		}
	}
	return list
}

// Expire deletes limits that no entry has heard of for a long time.
func (l *ReplicaLimits) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for replica, r := range l.replicas {
		if now.Sub(r.at) > limitExpiry {
			delete(l.replicas, replica)
		}
	}
	l.count()
}

func (l *ReplicaLimits) count() {
	n := int32(0)
	for _, r := range l.replicas {
		if !r.withdrawn {
			n++
		}
	}
	l.active.Store(n)
}

// Active returns the number of limited replicas.
func (l *ReplicaLimits) Active() int { return int(l.active.Load()) }

// divide computes the part of a limit that the live entries have, and this entry's turn. The turns are ordered by a hash of replica
// and entry, so that each entry is first for about as many replicas.
func (l *ReplicaLimits) divide(replica Key, r *replicaLimit, now time.Time) {
	r.refill(now)
	r.rate = max(probeRate, r.perSecond) * float64(l.live) / float64(len(l.entries))
	own, before := turn(replica, l.self), 0
	for _, address := range l.entries {
		if address != l.self && turn(replica, address) < own {
			before++
		}
	}
	r.needed = 1 + turnSpread*float64(before)/float64(len(l.entries))
}

func turn(replica Key, address string) uint64 {
	h := xxhash.NewWithSeed(uint64(replica))
	_, _ = h.WriteString(address) // never fails
	return h.Sum64()
}

func (r *replicaLimit) refill(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		r.allowed, r.updated = min(maxAllowed, r.allowed+r.rate*elapsed.Seconds()), now
	}
}

// limitOf returns the limit of a replica with what it allows now, or nil if it has none. The caller holds the lock.
func (l *ReplicaLimits) limitOf(replica Key, now time.Time) *replicaLimit {
	r := l.replicas[replica]
	if r == nil || r.withdrawn {
		return nil
	}
	r.refill(now)
	return r
}

// isLimited reports whether the replica has named a limit.
func (l *ReplicaLimits) isLimited(replica Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.replicas[replica]
	return r != nil && !r.withdrawn
}

// Allows reports whether a request may be sent to the replica now.
func (l *ReplicaLimits) Allows(replica Key, now time.Time) bool {
	if l.active.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.limitOf(replica, now)
	return r == nil || r.allowed >= r.needed
}

// Take counts a request that is sent to the replica, if that is allowed.
func (l *ReplicaLimits) Take(replica Key, now time.Time) bool {
	if l.active.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.limitOf(replica, now)
	switch {
	case r == nil:
		return true
	case r.allowed < r.needed:
		return false
	}
	r.allowed--
	l.sends[replica]++
	select {
	case l.Taken <- struct{}{}:
	default:
	}
	return true
}

// TakeSends returns the numbers of sends to limited replicas of which the others have not been told.
func (l *ReplicaLimits) TakeSends() map[Key]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sends := l.sends
	l.sends = map[Key]int{}
	return sends
}

// ApplySends applies the sends of another entry.
func (l *ReplicaLimits) ApplySends(sends map[Key]int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for replica, n := range sends {
		if r := l.limitOf(replica, now); r != nil {
			r.allowed = max(-maxOverdrawn, r.allowed-float64(n))
		}
	}
}

// Return takes a request back that was counted and will not be sent to the replica, unless the others have been told already.
func (l *ReplicaLimits) Return(replica Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.replicas[replica]; r != nil && l.sends[replica] > 0 {
		l.sends[replica]--
		r.allowed++
	}
}

// Wait returns the time until a request may be sent to the replica.
func (l *ReplicaLimits) Wait(replica Key, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.limitOf(replica, now)
	if r == nil {
		return 0
	}
	return min(maxLimitWait, time.Duration(max(0, r.needed-r.allowed)/r.rate*float64(time.Second)))
}

// maxLimitWait is the longest time for which a caller is told to wait for a limited replica: its next request may reach an entry
// that is earlier in turn.
const maxLimitWait = 2 * time.Second
