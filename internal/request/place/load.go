// Package place decides which replica runs a request. The caller passes in the time and all observations; the package
// does no I/O.
//
// Each entry knows exactly what it has outstanding at a replica, and with a short delay what the other entries have
// outstanding there. A decision needs both: with two dozen entries, an entry's own share of the traffic says almost
// nothing about a replica's load.
package place

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// reportTimeout is how long the load report of another entry is used. Entries send several reports within it, so an older
// one comes from an entry that stopped or is disconnected.
const reportTimeout = 1500 * time.Millisecond

// Load is the work outstanding at a replica.
type Load struct {
	// Running is the number of requests that were sent and have not ended.
	Running int
	// Short is the number of Running requests with short prompts.
	Short int
	// Prefill is the number of prompt tokens that were sent and not yet prefilled: those of requests without a first
	// event.
	Prefill int
	// Waiting is the number of prompt tokens queued at the entries for the replica.
	Waiting int
	// Urgent is the part of Waiting that belongs to urgent prompts (see Profile.urgent).
	Urgent int
	// Gaps is the number of recent gaps between stream events, GapTime their sum in milliseconds. Long gaps are the first
	// sign of a replica that is slow or prefills many tokens.
	Gaps, GapTime int
}

// MeanGap returns the mean gap between events, or false when too few are known.
func (l Load) MeanGap() (time.Duration, bool) {
	if l.Gaps < minGaps {
		return 0, false
	}
	return time.Duration(l.GapTime) * time.Millisecond / time.Duration(l.Gaps), true
}

// minGaps is the number of recent gaps that a mean needs.
const minGaps = 2

// gapDecayTime is the time constant of the exponential decay of gaps. Replicas slow down for periods of about 600 ms.
const gapDecayTime = 200 * time.Millisecond

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

// Key identifies a replica in the reports that entries exchange.
type Key uint32

// KeyOf returns the key of a replica ID.
func KeyOf(replicaID string) Key { return Key(xxhash.Sum64String(replicaID)) }

// LoadTracker tracks the load of the replicas. It is safe for concurrent use.
type LoadTracker struct {
	mu      sync.Mutex
	own     map[Key]Load
	others  map[Key]Load
	reports map[string]report
	// gaps are this entry's recent event gaps at each replica, in milliseconds.
	gaps map[Key]*decayingMean
	// changes counts the changes of this entry's own load.
	changes uint64
}

type report struct {
	loads    map[Key]Load
	received time.Time
}

// NewLoadTracker returns an empty LoadTracker.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{own: map[Key]Load{}, others: map[Key]Load{}, reports: map[string]report{}, gaps: map[Key]*decayingMean{}}
}

// Add adds a change to this entry's own load at a replica.
func (t *LoadTracker) Add(replica Key, change Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes++
	l := t.own[replica].plus(change)
	if l == (Load{}) {
		delete(t.own, replica)
		return
	}
	t.own[replica] = l
}

// RecordGap records a gap between two events of a stream.
func (t *LoadTracker) RecordGap(replica Key, gap time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.gaps[replica]
	if g == nil {
		g = &decayingMean{updated: now}
		t.gaps[replica] = g
	}
	g.add(milliseconds(gap), now, gapDecayTime)
	t.changes++
}

// Own copies this entry's own load at every replica into dst, and returns the number of changes so far.
func (t *LoadTracker) Own(dst map[Key]Load, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, l := range t.own {
		dst[k] = l
	}
	for k := range t.gaps {
		dst[k] = dst[k].plus(t.ownGaps(k, now))
	}
	return t.changes
}

// ownGaps returns this entry's recent gaps at a replica. It deletes them once they have decayed.
func (t *LoadTracker) ownGaps(k Key, now time.Time) Load {
	g := t.gaps[k]
	if g == nil {
		return Load{}
	}
	g.decay(now, gapDecayTime)
	if g.count < 0.5 {
		delete(t.gaps, k)
		return Load{}
	}
	return Load{Gaps: int(g.count + 0.5), GapTime: int(g.sum + 0.5)}
}

// Report replaces the load that another entry has outstanding.
func (t *LoadTracker) Report(entry string, loads map[Key]Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subtractReport(entry)
	for k, l := range loads {
		t.others[k] = t.others[k].plus(l)
	}
	t.reports[entry] = report{loads: loads, received: now}
}

// Expire deletes the reports of entries that have sent none for reportTimeout.
func (t *LoadTracker) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for entry, r := range t.reports {
		if now.Sub(r.received) > reportTimeout {
			t.subtractReport(entry)
			delete(t.reports, entry)
		}
	}
}

// Entries returns the number of other entries with a current report.
func (t *LoadTracker) Entries() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reports)
}

// ReportAge returns the age of the oldest current report, or 0 without one.
func (t *LoadTracker) ReportAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	oldest := time.Duration(0)
	for _, r := range t.reports {
		oldest = max(oldest, now.Sub(r.received))
	}
	return oldest
}

// Total returns the load of all entries at a replica.
func (t *LoadTracker) Total(replica Key, now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own[replica].plus(t.others[replica]).plus(t.ownGaps(replica, now))
}

func (t *LoadTracker) subtractReport(entry string) {
	for k, l := range t.reports[entry].loads {
		remaining := t.others[k].minus(l)
		if remaining == (Load{}) {
			delete(t.others, k)
			continue
		}
		t.others[k] = remaining
	}
}
