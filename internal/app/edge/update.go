package edge

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

// followedKind identifies a kind of object that all edges follow.
type followedKind uint8

const (
	configurationObjects followedKind = iota + 1
	replicaObjects
)

// Types of broadcasts: the first byte.
const (
	updateBroadcast byte = iota + 1
	evidenceBroadcast
	crashBroadcast
	soundBroadcast
	quarantineBroadcast
	limitBroadcast
	sendsBroadcast
	leavingBroadcast
	dutiesBroadcast
	tallyBroadcast
	windowBroadcast
)

// evidence tells the other edges what a request of this one has shown about a replica.
type evidence struct {
	_       struct{} `cbor:",toarray"`
	Replica uint32
	Gone    bool
	Reset   bool
}

// update tells the other edges what a store call has read, so that they need not read it. The changes of one call may be
// divided into several updates, which are applied together.
type update struct {
	_    struct{} `cbor:",toarray"`
	Kind followedKind
	// From and To are the revisions between which the changes were read, in the era of Synced.
	From, To uint64
	// Synced is the sender's synced range.
	Synced gossip.SyncedRange
	// RecoveredMs is the time since the end of a store outage, plus 1, while registrations that expired in it are kept.
	RecoveredMs uint32
	// Part is the number of this update from 0, and Parts the number of updates of the call.
	Part, Parts uint8
	Changes     []replicaChange
}

// complete reports whether the updates of the call contain all changes between their revisions. They never contain a
// configuration, so that one which changed after the first revision has to be read from the store.
func (u *update) complete() bool {
	return u.Kind == replicaObjects || u.Synced.LastChange <= u.From
}

// replicaChange is a write to the list of replicas that changed the sender's list.
type replicaChange struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Revision uint64
	// Removed is set if the write names no usable replica; the fields below are empty then.
	Removed                bool
	Service, Address, Zone string
	Slots                  int
	Draining               bool
	StartUnixMs            int64
}

const (
	// changesPerUpdate keeps an update within one datagram: a change takes up to about 100 bytes.
	changesPerUpdate = 10
	// maxUpdates bounds the updates of one call. The other edges read more changes than fit from the store themselves.
	maxUpdates = 32
)

func encodeChange(c replicas.Change) replicaChange {
	if c.Replica == nil {
		return replicaChange{ID: c.ID, Revision: c.Revision, Removed: true}
	}
	r := c.Replica
	return replicaChange{
		ID: c.ID, Revision: c.Revision, Service: r.Service, Address: r.Address, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining, StartUnixMs: r.StartUnixMs,
	}
}

func (c *replicaChange) decode(era uint64) replicas.Change {
	change := replicas.Change{ID: c.ID, Revision: c.Revision, Era: era}
	if !c.Removed {
		change.Replica = &replicas.Replica{
			ID: c.ID, Service: c.Service, Address: c.Address, Zone: c.Zone, Slots: c.Slots, Draining: c.Draining, StartUnixMs: c.StartUnixMs,
		}
	}
	return change
}

// newUpdates returns the updates for a call that read the changes between two revisions.
func newUpdates(kind followedKind, from, to uint64, changes []replicas.Change) []update {
	parts := max(1, (len(changes)+changesPerUpdate-1)/changesPerUpdate)
	if parts > maxUpdates {
		from, parts, changes = to, 1, nil
	}
	list := make([]update, parts)
	for i := range list {
		list[i] = update{Kind: kind, From: from, To: to, Part: uint8(i), Parts: uint8(parts)}
		for _, c := range changes[min(len(changes), i*changesPerUpdate):min(len(changes), (i+1)*changesPerUpdate)] {
			list[i].Changes = append(list[i].Changes, encodeChange(c))
		}
	}
	return list
}

// assembly collects the updates of one call until all have arrived. Only the latest call of each sender is kept.
type assembly struct {
	bySender map[netip.Addr]*pendingCall
}

type pendingCall struct {
	from, to, era uint64
	count         uint8
	parts         map[uint8][]replicaChange
}

// has reports whether an update is a part of the call.
func (p *pendingCall) has(u *update) bool {
	return p.from == u.From && p.to == u.To && p.era == u.Synced.Era && p.count == u.Parts
}

// maxPendingCalls bounds the senders with incomplete updates.
const maxPendingCalls = 64

// add records an update and returns all changes of its call once all of its updates have arrived.
func (a *assembly) add(from netip.Addr, u *update) (changes []replicas.Change, complete bool) {
	if u.Parts <= 1 {
		return decodeChanges(u.Changes, u.Synced.Era), true
	}
	if a.bySender == nil || len(a.bySender) >= maxPendingCalls {
		a.bySender = map[netip.Addr]*pendingCall{}
	}
	p := a.bySender[from]
	if p == nil || !p.has(u) {
		p = &pendingCall{from: u.From, to: u.To, era: u.Synced.Era, count: u.Parts, parts: map[uint8][]replicaChange{}}
		a.bySender[from] = p
	}
	p.parts[u.Part] = u.Changes
	if len(p.parts) < int(u.Parts) {
		return nil, false
	}
	delete(a.bySender, from)
	for part := range u.Parts {
		changes = append(changes, decodeChanges(p.parts[part], p.era)...)
	}
	return changes, true
}

func decodeChanges(list []replicaChange, era uint64) []replicas.Change {
	changes := make([]replicas.Change, 0, len(list))
	for i := range list {
		changes = append(changes, list[i].decode(era))
	}
	return changes
}

// recentCalls has the changes that the latest calls for a kind have read. Each update contains those of all of them, so that
// an edge which missed an update continues with the next one instead of calling the store, which may refuse it.
type recentCalls struct{ calls []recentCall }

type recentCall struct {
	from    uint64
	changes []replicas.Change
}

// maxRecentCalls is the number of calls whose changes an update contains: those of about three seconds.
const maxRecentCalls = 5

// add records a call that read the changes after the revision from. It returns the revision after which the changes of all
// recent calls were read, and these changes. With contiguous unset, the earlier calls don't count.
func (r *recentCalls) add(from uint64, changes []replicas.Change, contiguous bool) (uint64, []replicas.Change) {
	if !contiguous {
		r.calls = nil
	}
	r.calls = append(r.calls, recentCall{from, changes})
	if len(r.calls) > maxRecentCalls {
		r.calls = slices.Delete(r.calls, 0, 1)
	}
	var all []replicas.Change
	for _, c := range r.calls {
		all = append(all, c.changes...)
	}
	return r.calls[0].from, all
}

// synchronized records that a call has read the changes between two positions, and returns the updates for the other edges.
func (f *followed) synchronized(kind followedKind, from, to store.Position, began time.Time) []update {
	complete := f.synced.onSynced(to, began) && from.Era == to.Era
	if !complete {
		from, f.changes = to, nil
	}
	// The edge may have applied updates of other edges since its call before, whose changes are not in its recent calls.
	contiguous := complete && from == f.lastTo
	f.lastTo = to
	first, changes := f.recent.add(from.Revision, f.changes, contiguous)
	f.changes = nil
	return newUpdates(kind, first, to.Revision, changes)
}

// publish sends updates to the other edges.
func (e *Edge) publish(f *followed, updates []update) {
	now := time.Now()
	recovered := uint32(0)
	if end, kept := e.registry.OutageEnd(now); kept {
		recovered = uint32(now.Sub(end).Milliseconds()) + 1
	}
	for _, u := range updates {
		u.Synced, u.RecoveredMs = f.synced.snapshot(now), recovered
		e.broadcast(updateBroadcast, &u)
	}
}

// broadcast sends a message to the other edges. A message that is lost or too long does not matter: they read updates from
// the store, find evidence about replicas themselves, and get that about prompt parts again.
func (e *Edge) broadcast(kind byte, message any) {
	if data := e.encode(kind, message); data != nil {
		e.gossip.Broadcast(data)
	}
}

// sendTo sends a message to one edge.
func (e *Edge) sendTo(to netip.Addr, kind byte, message any) {
	if data := e.encode(kind, message); data != nil {
		e.gossip.Send(to, data)
	}
}

// encode returns the payload of a message, or nil after an error, which it logs.
func (e *Edge) encode(kind byte, message any) []byte {
	data, err := cbor.Marshal(message)
	if err == nil && len(data) >= gossip.MaxBroadcastBytes {
		err = errBroadcastSize
	}
	if err != nil {
		e.observer.logError(eventlog.EdgeGossipFailed, err)
		return nil
	}
	return append([]byte{kind}, data...)
}

// recordEvidence applies evidence that this edge has found, and shares it if it is new.
func (e *Edge) recordEvidence(found place.Evidence) {
	if e.placer.Health.Apply(found, time.Now()) {
		e.shareEvidence(found)
	}
}

// shareEvidence sends evidence about a replica to the other edges.
func (e *Edge) shareEvidence(found place.Evidence) {
	e.broadcast(evidenceBroadcast, &evidence{Replica: uint32(found.Replica), Gone: found.Gone, Reset: found.Reset})
}

// onBroadcast applies a message of another edge.
func (e *Edge) onBroadcast(from netip.Addr, payload []byte) {
	err := errUnknownBroadcast
	if len(payload) > 0 {
		err = e.handleBroadcast(from, payload[0], payload[1:])
	}
	if err != nil {
		e.observer.logError(eventlog.EdgeGossipFailed, fmt.Errorf("broadcast from %s: %w", from, err))
	}
}

func (e *Edge) handleBroadcast(from netip.Addr, kind byte, message []byte) error {
	switch kind {
	case updateBroadcast:
		return e.onUpdate(from, message)
	case evidenceBroadcast:
		return e.onEvidence(message)
	case crashBroadcast:
		return e.guard.onCrash(message)
	case soundBroadcast:
		return e.guard.onSound(message)
	case quarantineBroadcast:
		return e.guard.onEntries(message)
	case limitBroadcast:
		return e.onLimits(message)
	case sendsBroadcast:
		return e.onSends(message)
	case leavingBroadcast:
		return e.onLeaving(message)
	case dutiesBroadcast:
		return e.onDuties(from, message)
	case tallyBroadcast:
		return e.onTally(from, message)
	case windowBroadcast:
		return e.onWindow(message)
	default:
		return errUnknownBroadcast
	}
}

func (e *Edge) onEvidence(payload []byte) error {
	var found evidence
	if err := cbor.Unmarshal(payload, &found); err != nil {
		return err
	}
	e.placer.Health.Apply(place.Evidence{Replica: place.Key(found.Replica), Gone: found.Gone, Reset: found.Reset}, time.Now())
	return nil
}

var (
	errBroadcastSize    = errors.New("message exceeds the size of a datagram")
	errUnknownBroadcast = errors.New("unknown type of message")
)

// onUpdate applies what another edge has read from the store.
func (e *Edge) onUpdate(from netip.Addr, payload []byte) error {
	var u update
	if err := cbor.Unmarshal(payload, &u); err != nil {
		return err
	}
	f := e.followed(u.Kind)
	if f == nil {
		return errUnknownBroadcast
	}
	now := time.Now()
	changes, complete := e.pending.add(from, &u)
	if !complete {
		return nil
	}
	if u.RecoveredMs > 0 {
		e.registry.StoreRecovered(now.Add(-time.Duration(u.RecoveredMs-1) * time.Millisecond))
	}
	f.apply(&u, changes, e.registry, now, func() { e.onListChanged("received") })
	return nil
}

// apply applies the changes between the revisions of an update if this edge has read up to the first one. Otherwise it
// applies the sender's synced range. The changes of a later era than this edge's are applied in any case: the store may refuse this
// edge, which then can't read the state in that era. onChange is called if the list of replicas changed.
func (f *followed) apply(u *update, changes []replicas.Change, registry *replicas.Registry, now time.Time, onChange func()) {
	at := now.Add(-time.Duration(u.Synced.AgeMs) * time.Millisecond)
	from, to := store.Position{Era: u.Synced.Era, Revision: u.From}, store.Position{Era: u.Synced.Era, Revision: u.To}
	applied := u.complete() && u.From < u.To && f.feed.Advance(from, to, at, func(read store.Position) {
		f.synced.onAdvance(at)
		registry.StoreServedOther(now)
		if len(registry.Apply(unread(changes, read.Revision), now)) > 0 {
			f.synced.onApplied(to)
			onChange()
		}
	})
	if !applied {
		if f.feed.IsBehind(to.Era) && len(registry.Apply(changes, now)) > 0 {
			onChange()
		}
		f.applySyncedRange(u.Synced, registry, now)
	}
}

// unread returns the changes without the registrations up to the revision. Removals are kept, because the store may report
// them with the revision of the write before.
func unread(changes []replicas.Change, revision uint64) []replicas.Change {
	return slices.DeleteFunc(changes, func(c replicas.Change) bool { return c.Replica != nil && c.Revision <= revision })
}

// applySyncedRange skips the next watch for writes that another edge has read without a change, or starts it at once for a
// change that this edge has not read.
func (f *followed) applySyncedRange(synced gossip.SyncedRange, registry *replicas.Registry, now time.Time) {
	at := now.Add(-time.Duration(synced.AgeMs) * time.Millisecond)
	from, to := store.Position{Era: synced.Era, Revision: synced.From}, store.Position{Era: synced.Era, Revision: synced.To}
	f.feed.Advance(from, to, at, func(store.Position) {
		f.synced.onAdvance(at)
		registry.StoreServedOther(now)
	})
	f.feed.CatchUp(store.Position{Era: synced.Era, Revision: synced.LastChange})
}
