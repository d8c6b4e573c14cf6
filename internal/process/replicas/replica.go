// Package replicas maintains the list of upstream replicas from the platform's store, including during outages of the store.
package replicas

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Replica is an upstream instance that registered itself in the store.
type Replica struct {
	// ID identifies one start of a replica, unless the replica kept its ID across a restart.
	ID      string
	Service string
	// Address is the IP:PORT of its HTTP/1.1 interface.
	Address string
	Zone    string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining replicas accept no new requests.
	Draining bool
	// StartUnixMs is the start time of the replica in Unix milliseconds, or 0 if unknown. It distinguishes starts with the
	// same ID.
	StartUnixMs int64
}

// Change is a write to the list.
type Change struct {
	ID string
	// Replica is nil if the registration was removed or is invalid.
	Replica *Replica
	// Revision is the store's revision of the write in its Era, or 0 if unknown. A write that is older than the one in force is ignored.
	Revision, Era uint64
}

// expiryGrace is how long a registration that expired during an outage of the store may be missing after the outage:
// according to the platform's documentation, live replicas register again within about two seconds. It is below the
// platform's contact time (at least 3 s after an outage), after which the list must again be applied exactly.
const expiryGrace = 2500 * time.Millisecond

// The platform's contact time counts from the end of an outage, which lies between the start of the last call that failed and the first
// response. So expired registrations are kept for maxExpiryGrace after the former, but at least for minExpiryGrace after the latter, within
// which live replicas register again. Both hold within the contact time if the two are not more than some 0.8 s apart.
const (
	maxExpiryGrace = 2600 * time.Millisecond
	minExpiryGrace = 2 * time.Second
)

// heartbeatInterval is within which each live replica writes to the store, by the platform's documentation. Responses that end sooner
// after an outage do not show which replicas are gone: the store may be down again before live ones have registered.
const heartbeatInterval = 1200 * time.Millisecond

// maxUnconfirmedGrace is how long after the first response after an outage an expired registration is kept for want of a response that
// shows which replicas are gone. It is the platform's contact time.
const maxUnconfirmedGrace = 3 * time.Second

// View is an immutable list of the replicas that accept new requests, by service and sorted by ID.
type View struct {
	byService map[string][]*Replica
	byID      map[string]*Replica
}

// Service returns the replicas of a service. The caller must not change the slice.
func (v *View) Service(name string) []*Replica {
	if v == nil {
		return nil
	}
	return v.byService[name]
}

// Get returns the replica with the ID if it accepts new requests.
func (v *View) Get(id string) (*Replica, bool) {
	if v == nil {
		return nil, false
	}
	r, ok := v.byID[id]
	return r, ok
}

// Len returns the number of replicas that accept new requests.
func (v *View) Len() int {
	if v == nil {
		return 0
	}
	return len(v.byID)
}

// Registry maintains a View from complete lists and changes. It is safe for concurrent use.
type Registry struct {
	mu            sync.Mutex
	registrations map[string]registration
	// leaving has the replicas that have said that they leave, by ID.
	leaving map[string]leaving
	// removed has the starts of replicas that were removed shortly before, by ID.
	removed map[string]removal
	// outageEnd is the end of the last outage of the store, or the zero time if there was none.
	outageEnd time.Time
	// graceEnd is until when registrations that expired in that outage are kept, and unconfirmedEnd until when if the store has not
	// responded for heartbeatInterval after the outage.
	graceEnd, unconfirmedEnd time.Time
	// failing is set while this process's own calls fail, since failingSince.
	failing      bool
	failingSince time.Time
	// lastFailedCall is when the last call began that failed before a response: the outage had not ended then.
	lastFailedCall time.Time
	// ownOutageBegin and ownOutageEnd are those of the last outage that only the failed calls of this process tell of.
	ownOutageBegin, ownOutageEnd time.Time
	// upSince is the earliest time since which the store has served another process all the time, by what it reported at upHeard.
	upSince, upHeard time.Time
	// respondedAt is the last response of the store, to this process or another one, and silenceEnd the first one after a time
	// of minOutage without any.
	respondedAt, silenceEnd time.Time
	// listed is set once a complete list was read.
	listed bool
	// era is the latest era of the store in which a write was applied.
	era  uint64
	view atomic.Pointer[View]
}

// registration is one element of the list.
type registration struct {
	Replica
	// revision is the revision of the latest applied write, in the era.
	revision, era uint64
	// missingSince is the time at which the registration expired, or the zero time while it is present.
	missingSince time.Time
}

// NewRegistry returns a Registry without replicas.
func NewRegistry() *Registry {
	r := &Registry{registrations: map[string]registration{}, leaving: map[string]leaving{}, removed: map[string]removal{}}
	r.publish()
	return r
}

// View returns the current list.
func (r *Registry) View() *View { return r.view.Load() }

// Listed reports whether a complete list has been read since the start of the process.
func (r *Registry) Listed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// StoreFailed records a failed store call of this process, which began at the given time. It is an outage unless the store serves
// others meanwhile.
func (r *Registry) StoreFailed(began, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if began.Before(r.respondedAt) {
		return // the store has responded since
	}
	r.lastFailedCall = began
	if !r.failing || r.respondedAt.After(r.failingSince) {
		r.failingSince = now
	}
	r.failing = true
}

// StoreResponded records a store response to this process. The first one after a failure ends the outage, if it was one.
func (r *Registry) StoreResponded(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing && !r.servedOthers() {
		r.endOutage(now)
	}
	r.failing = false
	r.noteResponse(now)
}

// StoreServedOther records that the store has responded to another process.
func (r *Registry) StoreServedOther(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing && now.Sub(r.respondedAt) >= minOutage {
		r.endOutage(now)
	}
	r.noteResponse(now)
}

func (r *Registry) noteResponse(now time.Time) {
	if now.Sub(r.respondedAt) >= minOutage {
		r.silenceEnd = now
	}
	r.respondedAt = now
}

// endOutage records the end of an outage, as far as this process can tell. A call that fails shortly after the end of an outage
// belongs to that one.
func (r *Registry) endOutage(now time.Time) {
	if now.Sub(r.outageEnd) < expiryGrace && now.Sub(r.failingSince) < minOutage {
		return
	}
	if r.lastFailedCall.Before(r.outageEnd) {
		return // another process has reported the end, and no call has failed that began after it
	}
	r.outageEnd, r.ownOutageBegin, r.ownOutageEnd = now, r.failingSince, now
	r.graceEnd = now.Add(expiryGrace)
	if limit := r.lastFailedCall.Add(maxExpiryGrace); limit.Before(r.graceEnd) {
		r.graceEnd = limit
	}
	if earliest := now.Add(minExpiryGrace); earliest.After(r.graceEnd) {
		r.graceEnd = earliest
	}
	r.unconfirmedEnd = now.Add(maxUnconfirmedGrace)
	if now.Sub(r.upHeard) < upRetention {
		r.refuteOutage(r.upSince)
	}
}

// servedOthers reports whether the store has responded to another process since the calls of this one began to fail.
func (r *Registry) servedOthers() bool { return r.respondedAt.After(r.failingSince) }

// upRetention is how long a report of another process that the store has served it counts for an outage that ends after it.
const upRetention = time.Second

// StoreUp records the report of another process that the store has served it, or others, without an outage since a time up. A
// process that was cut off takes that for an outage, and learns by this that it was none.
func (r *Registry) StoreUp(up time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := now.Add(-up)
	if r.failing && now.Sub(r.failingSince) < minOutage {
		return // the other process does not notice an outage sooner
	}
	if now.Sub(r.upHeard) >= upRetention || since.Before(r.upSince) {
		r.upSince = since
	}
	r.upHeard = now
	r.refuteOutage(since)
}

// refuteOutage ends the time in which expired registrations are kept, if it follows only from failed calls of this process, during
// which the store has been up. If the store was up for the last part of these calls, the outage ended before that part.
func (r *Registry) refuteOutage(upSince time.Time) {
	switch {
	case !r.outageEnd.Equal(r.ownOutageEnd):
	case !upSince.After(r.ownOutageBegin):
		r.outageEnd = time.Time{}
	case upSince.Before(r.outageEnd):
		r.outageEnd, r.ownOutageEnd = upSince, upSince
		if limit := upSince.Add(expiryGrace); limit.Before(r.graceEnd) {
			r.graceEnd = limit
		}
		r.unconfirmedEnd = upSince.Add(maxUnconfirmedGrace)
	}
}

// UpFor returns for how long the store has served this process, or others that it hears of, without an outage, or 0 during one.
func (r *Registry) UpFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.respondedAt.IsZero() || now.Sub(r.respondedAt) >= minOutage {
		return 0
	}
	return now.Sub(r.silenceEnd)
}

// minOutage is the shortest time without a response of the store to any process that counts as an outage for all of them. The
// processes together call it more than once in this time, also when the first ones are cut off.
const minOutage = 2 * time.Second

// StoreRecovered records that an outage of the store, which this process may not have noticed, ended at the given time for another
// process. It does not count if the store has responded to others meanwhile: then only that process was cut off or refused.
func (r *Registry) StoreRecovered(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Sub(r.upHeard) < upRetention && at.Sub(r.upSince) >= minOutage {
		return // the store was up for a third process
	}
	unrecorded := r.silenceEnd.Sub(r.outageEnd).Abs() >= minOutage
	wasSilent := at.Sub(r.respondedAt) >= minOutage || unrecorded && at.Sub(r.silenceEnd).Abs() < minOutage
	if wasSilent && at.Sub(r.outageEnd) >= minOutage { // otherwise it is the outage that this process knows of
		r.outageEnd, r.graceEnd, r.unconfirmedEnd = at, at.Add(minExpiryGrace), at.Add(maxUnconfirmedGrace)
	}
}

// StoreRestored records that the store has come back from an older copy: registrations since that copy are missing from its list until
// their replicas write them again.
func (r *Registry) StoreRestored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.outageEnd) >= minOutage { // otherwise it is the outage that this process knows of
		r.outageEnd, r.graceEnd, r.unconfirmedEnd = now, now.Add(minExpiryGrace), now.Add(maxUnconfirmedGrace)
	}
}

// OutageEnd returns the end of the last outage, and whether registrations that expired in it are still kept.
func (r *Registry) OutageEnd(now time.Time) (end time.Time, kept bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outageEnd, !r.failing && r.inExpiryGrace(now)
}

// Replace applies a complete list and reports whether it changed anything. Registrations that are missing from the list
// are removed, or kept for expiryGrace if the store was unavailable until shortly before. What the list of a store that came back from an
// older copy has again, although it was removed before, counts only once it is written again.
func (r *Registry) Replace(list []Change, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[string]bool, len(list))
	changed := false
	for _, c := range list {
		if r.isRevived(c) {
			continue
		}
		present[c.ID] = c.Replica != nil
		changed = r.apply(c, now) || changed
	}
	for id := range r.registrations {
		if !present[id] {
			changed = r.remove(id, now) || changed
		}
	}
	r.listed = true
	if changed {
		r.publish()
	}
	return changed
}

// Apply applies changes in the order of the store's revisions and returns those that changed anything: most writes to the
// list only renew a registration.
func (r *Registry) Apply(changes []Change, now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var effective []Change
	for _, c := range changes {
		if r.apply(c, now) {
			effective = append(effective, c)
		}
	}
	if len(effective) > 0 {
		r.publish()
	}
	return effective
}

// Expire removes registrations that are still missing after expiryGrace and returns their IDs.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLeaving(now, leavingRetention)
	r.forgetRemoved(now)
	var expired []string
	for id, e := range r.registrations {
		if !e.missingSince.IsZero() && !r.inExpiryGrace(now) {
			r.forget(id, now)
			expired = append(expired, id)
		}
	}
	if len(expired) > 0 {
		r.publish()
	}
	return expired
}

func (r *Registry) apply(c Change, now time.Time) bool {
	old, known := r.registrations[c.ID]
	if c.Era < r.era || known && c.Revision > 0 && c.Era == old.era && c.Revision < old.revision {
		return false // a newer write was delivered before, or the store has another history now
	}
	r.era = max(r.era, c.Era)
	if c.Replica == nil {
		return r.remove(c.ID, now)
	}
	delete(r.removed, c.ID)
	next := registration{Replica: *c.Replica, revision: c.Revision, era: c.Era}
	if c.Era > old.era && old.Draining && isSameKnownStart(old.StartUnixMs, c.Replica.StartUnixMs) {
		next.Draining = true // the copy is older than the write that said so
	}
	r.registrations[c.ID] = next
	return !known || old.Replica != next.Replica || !old.missingSince.IsZero()
}

// remove removes a registration and reports whether it changed anything. One that may have expired only because its replica
// could not reach the store is marked as missing instead. A draining replica is always removed immediately.
func (r *Registry) remove(id string, now time.Time) bool {
	e, ok := r.registrations[id]
	switch {
	case ok && (e.Draining || !r.inExpiryGrace(now)):
		r.forget(id, now)
		return true
	case ok && e.missingSince.IsZero():
		e.missingSince = now
		r.registrations[id] = e
		return true
	default:
		return false
	}
}

// inExpiryGrace reports whether the store is unavailable, or was until shortly before now.
func (r *Registry) inExpiryGrace(now time.Time) bool {
	if r.failing && !r.servedOthers() {
		return true
	}
	if r.outageEnd.IsZero() {
		return false
	}
	confirmed := r.respondedAt.Sub(r.outageEnd) >= heartbeatInterval
	return now.Before(r.graceEnd) || !confirmed && now.Before(r.unconfirmedEnd)
}

// publish rebuilds the View.
func (r *Registry) publish() {
	v := &View{byService: map[string][]*Replica{}, byID: map[string]*Replica{}}
	ids := make([]string, 0, len(r.registrations))
	for id := range r.registrations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		e := r.registrations[id]
		if e.Draining || r.leaves(&e.Replica) {
			continue
		}
		replica := e.Replica
		v.byService[replica.Service] = append(v.byService[replica.Service], &replica)
		v.byID[id] = &replica
	}
	r.view.Store(v)
}
