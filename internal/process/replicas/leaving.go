package replicas

import "time"

const (
	// leavingRetention is how long it is kept in mind that a replica leaves after its last registration was removed. An old list
	// may name it again until then.
	leavingRetention = 10 * time.Minute
	// maxLeaving bounds the replicas that leave. It is above the 7,600 replicas of the target scale.
	maxLeaving = 16384
)

// leaving is a start of a replica that has said itself that it leaves. This counts more than any list: only another start at its
// address ends it.
type leaving struct {
	startUnixMs int64
	// registeredAt is when the replica was last seen in the list.
	registeredAt time.Time
}

// RegisteredStart returns the start time of the replica that is registered under the ID, or 0 if there is none.
func (r *Registry) RegisteredStart(id string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registrations[id].StartUnixMs
}

// Leave records that a start of a replica has said that it leaves, and reports whether that is new. An unknown start, 0, is the one
// that is registered; it is ignored if none is, because it would stand for all later ones.
func (r *Registry) Leave(id string, startUnixMs int64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if startUnixMs == 0 {
		registered, ok := r.registrations[id]
		if !ok {
			return false
		}
		startUnixMs = registered.StartUnixMs
	}
	if old, ok := r.leaving[id]; ok && SameStart(old.startUnixMs, startUnixMs) {
		return false
	}
	if len(r.leaving) >= maxLeaving {
		r.forgetLeaving(now, 0)
	}
	r.leaving[id] = leaving{startUnixMs, now}
	r.publish()
	return true
}

// leaves reports whether the registered start of the replica has said that it leaves.
func (r *Registry) leaves(replica *Replica) bool {
	l, ok := r.leaving[replica.ID]
	return ok && SameStart(l.startUnixMs, replica.StartUnixMs)
}

// IsLeaving reports whether a start of a replica has announced that it leaves, or was removed from the list.
func (r *Registry) IsLeaving(id string, startUnixMs int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.leaving[id]; ok && SameStart(l.startUnixMs, startUnixMs) {
		return true
	}
	registered, ok := r.registrations[id]
	return r.listed && !ok || registered.Draining && SameStart(registered.StartUnixMs, startUnixMs)
}

// SameStart reports whether two start times are of the same start. Clocks may jump, so that a later start can have an earlier time.
// An unknown start counts as the same one.
func SameStart(a, b int64) bool { return a == b || a == 0 || b == 0 }

// forgetLeaving forgets replicas that have not been registered for the time.
func (r *Registry) forgetLeaving(now time.Time, retention time.Duration) {
	for id, l := range r.leaving {
		if _, registered := r.registrations[id]; registered {
			l.registeredAt = now
			r.leaving[id] = l
		} else if now.Sub(l.registeredAt) >= retention {
			delete(r.leaving, id)
		}
	}
}
