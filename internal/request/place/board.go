// Package place decides which replica runs a request. Time and observations are handed in; nothing here does I/O.
//
// Every entry knows exactly what it has outstanding at a replica, and a little later what the other entries have there.
// A decision needs both: with two dozen entries, the own share of the traffic says nearly nothing about a replica's load.
package place

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// reportLife is how long the report of another entry counts. Entries report several times within it, so an older one
// belongs to an entry that stopped or is cut off.
const reportLife = 1500 * time.Millisecond

// Load is the work outstanding at a replica.
type Load struct {
	// Running is the number of requests that were sent and have not ended.
	Running int
	// Short is the part of Running with short prompts.
	Short int
	// Prefill is the number of prompt tokens that are sent and still to be read: those of requests without a first event.
	Prefill int
	// Waiting is the number of prompt tokens that wait at the entries for room at the replica.
	Waiting int
	// Urgent is the part of Waiting that belongs to the tightest of the service's long routes.
	Urgent int
	// Gaps and GapTime count the recent pauses between events of streams and their sum in milliseconds. Long pauses show a
	// replica that is slow or that reads much, before anything else does.
	Gaps, GapTime int
}

// Gap returns the mean pause between events, or false when too few are known.
func (l Load) Gap() (time.Duration, bool) {
	if l.Gaps < leastGaps {
		return 0, false
	}
	return time.Duration(l.GapTime) * time.Millisecond / time.Duration(l.Gaps), true
}

// leastGaps is the number of recent pauses that a mean needs.
const leastGaps = 2

// gapMemory is the time constant with which pauses are forgotten. Replicas slow down for spells of about 600 ms.
const gapMemory = 200 * time.Millisecond

func (l Load) plus(o Load) Load {
	return Load{
		Running: l.Running + o.Running, Short: l.Short + o.Short, Prefill: l.Prefill + o.Prefill, Waiting: l.Waiting + o.Waiting, Urgent: l.Urgent + o.Urgent,
		Gaps: l.Gaps + o.Gaps, GapTime: l.GapTime + o.GapTime,
	}
}

func (l Load) minus(o Load) Load {
	return Load{
		Running: l.Running - o.Running, Short: l.Short - o.Short, Prefill: l.Prefill - o.Prefill, Waiting: l.Waiting - o.Waiting, Urgent: l.Urgent - o.Urgent,
		Gaps: l.Gaps - o.Gaps, GapTime: l.GapTime - o.GapTime,
	}
}

// Key identifies a replica in reports between entries.
type Key uint32

// KeyOf returns the key of a replica ID.
func KeyOf(replicaID string) Key { return Key(xxhash.Sum64String(replicaID)) }

// Board holds the load of the replicas. It is safe for concurrent use.
type Board struct {
	mu   sync.Mutex
	own  map[Key]Load
	sum  map[Key]Load
	from map[string]report
	// gaps are the own recent pauses at each replica, in milliseconds.
	gaps map[Key]*decaying
	// changed counts changes of the own load.
	changed uint64
}

type report struct {
	loads map[Key]Load
	at    time.Time
}

// NewBoard returns an empty Board.
func NewBoard() *Board {
	return &Board{own: map[Key]Load{}, sum: map[Key]Load{}, from: map[string]report{}, gaps: map[Key]*decaying{}}
}

// Add changes the own load at a replica.
func (b *Board) Add(replica Key, change Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changed++
	l := b.own[replica].plus(change)
	if l == (Load{}) {
		delete(b.own, replica)
		return
	}
	b.own[replica] = l
}

// Paused notes a pause between two events of a stream.
func (b *Board) Paused(replica Key, gap time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.gaps[replica]
	if g == nil {
		g = &decaying{at: now}
		b.gaps[replica] = g
	}
	g.add(milliseconds(gap), now, gapMemory)
	b.changed++
}

// Own copies the own load of every replica that has some into dst, and returns the number of changes so far.
func (b *Board) Own(dst map[Key]Load, now time.Time) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, l := range b.own {
		dst[k] = l
	}
	for k := range b.gaps {
		dst[k] = dst[k].plus(b.ownGaps(k, now))
	}
	return b.changed
}

// ownGaps returns the own recent pauses at a replica, and forgets them when they no longer count.
func (b *Board) ownGaps(k Key, now time.Time) Load {
	g := b.gaps[k]
	if g == nil {
		return Load{}
	}
	g.decay(now, gapMemory)
	if g.count < 0.5 {
		delete(b.gaps, k)
		return Load{}
	}
	return Load{Gaps: int(g.count + 0.5), GapTime: int(g.sum + 0.5)}
}

// Report replaces what another entry has outstanding.
func (b *Board) Report(entry string, loads map[Key]Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subtract(entry)
	for k, l := range loads {
		b.sum[k] = b.sum[k].plus(l)
	}
	b.from[entry] = report{loads: loads, at: now}
}

// Expire forgets the reports of entries that have been silent for reportLife.
func (b *Board) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for entry, r := range b.from {
		if now.Sub(r.at) > reportLife {
			b.subtract(entry)
			delete(b.from, entry)
		}
	}
}

// Entries returns the number of other entries whose reports count.
func (b *Board) Entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.from)
}

// ReportAge returns the age of the oldest report that counts, or 0 without one.
func (b *Board) ReportAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := time.Duration(0)
	for _, r := range b.from {
		oldest = max(oldest, now.Sub(r.at))
	}
	return oldest
}

// Total returns the load of all entries at a replica.
func (b *Board) Total(replica Key, now time.Time) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own[replica].plus(b.sum[replica]).plus(b.ownGaps(replica, now))
}

func (b *Board) subtract(entry string) {
	for k, l := range b.from[entry].loads {
		rest := b.sum[k].minus(l)
		if rest == (Load{}) {
			delete(b.sum, k)
			continue
		}
		b.sum[k] = rest
	}
}
