package edge

import (
	"math"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// syncTracker tracks which revisions of a kind this edge has read, for publication in its updates and reports. Nearly all
// writes renew an entry and change nothing: an edge that has read them saves the other edges the call. The current time is
// passed in.
type syncTracker struct {
	mu sync.Mutex
	// changed is the revision of the last write that the call in progress has read and that is a change; 0 means none, and
	// unknownRevision some revision up to the one that the call reads.
	changed uint64
	// nonExtending is the number of calls, including the one in progress, that don't extend the synced range because the whole
	// list was read.
	nonExtending int
	// listedAt is when the whole list was read.
	listedAt time.Time
	// synced is a range of one era: the first call of another era begins it anew.
	synced gossip.SyncedRange
	// began is the start of the last completed call.
	began time.Time
}

// unknownRevision is some revision up to the one that a call reads.
const unknownRevision = math.MaxUint64

// onChange records that the call in progress changed the list.
func (t *syncTracker) onChange() { t.onWrite(unknownRevision) }

// onWrite records that the call in progress has read a write that other edges have to read, whether or not this edge knew it before:
// it may have got the object from another edge.
func (t *syncTracker) onWrite(revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = max(t.changed, revision)
}

// nonExtendingCalls is the number of calls that don't extend the synced range after a read of the whole list, including the
// call that reads it. The list can contain writes after the revision from which it is watched; the first watch delivers
// them again without a change.
const nonExtendingCalls = 2

// onList records that the call in progress read the whole list. The first list of a process is not published as a change.
func (t *syncTracker) onList(changed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nonExtending, t.listedAt = nonExtendingCalls, now
	t.changed = 0
	if changed && t.synced.To > 0 {
		t.changed = unknownRevision
	}
}

// onApplied records that this edge got changes up to the position from another edge: they are not in the ranges that it publishes.
func (t *syncTracker) onApplied(to store.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.synced.Era == to.Era {
		t.synced.From = max(t.synced.From, to.Revision)
	}
}

// onAdvance records that this edge has applied what another edge read with a call that began at the given time. A call that
// began after the list has read all writes that the list contains.
func (t *syncTracker) onAdvance(began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if began.After(t.listedAt) {
		t.nonExtending = 0
	}
}

// onSynced records the end of a call that began at the given time and read all writes up to the position. It reports whether
// the changes that the call delivered are all changes since the call before.
func (t *syncTracker) onSynced(to store.Position, began time.Time) (complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	revision := to.Revision
	complete = t.nonExtending == 0 && t.synced.Era == to.Era
	if t.synced.Era != to.Era {
		t.synced = gossip.SyncedRange{Era: to.Era, From: revision}
	}
	if t.changed > 0 {
		t.synced.LastChange = min(t.changed, revision)
		t.synced.From = t.synced.LastChange
	}
	if t.nonExtending > 0 {
		t.synced.From = revision
	}
	t.synced.To, t.began = revision, began
	t.changed, t.nonExtending = 0, max(0, t.nonExtending-1)
	return complete
}

// announceWrite returns the synced range to publish when a call begins to read writes after the position.
func (t *syncTracker) announceWrite(after store.Position, now time.Time) gossip.SyncedRange {
	synced := t.snapshot(now)
	if synced.Era != after.Era {
		return gossip.SyncedRange{Era: after.Era, From: after.Revision, To: after.Revision, LastChange: after.Revision + 1}
	}
	synced.To, synced.LastChange = min(synced.To, after.Revision), after.Revision+1
	return synced
}

// snapshot returns the synced range to publish in the next report.
func (t *syncTracker) snapshot(now time.Time) gossip.SyncedRange {
	t.mu.Lock()
	defer t.mu.Unlock()
	synced := t.synced
	synced.AgeMs = uint32(min(now.Sub(t.began).Milliseconds(), 1<<31))
	return synced
}

const (
	// maxStaggerShare bounds the stagger delay, which is added to the minimum watch interval, as a share of the bound on
	// work sent to leaving replicas. With the minimum interval (700 ms of 2 s) and the time of a call, the sum stays well
	// below the bound.
	maxStaggerShare = 0.25
	// staggerStep is the time that the edge of the next rank allows for a store call and for the update that reports it. In
	// the published deployment specifications, calls take about 10 ms and updates a few ms.
	staggerStep = 100 * time.Millisecond
)

// staggerDelay returns how much longer than the minimum watch interval the edge of the given rank waits before it calls the
// store. The edge of rank 0 calls first; if it does not, the next one calls once an update from it should have arrived.
func staggerDelay(rank int, bound time.Duration) time.Duration {
	return min(time.Duration(rank)*staggerStep, time.Duration(maxStaggerShare*float64(bound)))
}
