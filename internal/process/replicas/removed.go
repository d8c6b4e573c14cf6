package replicas

import "time"

const (
	// removedRetention is how long it is kept in mind that a replica was removed. A copy from which the store comes back is some seconds
	// old.
	removedRetention = time.Minute
	// maxRemoved bounds the removed replicas. It is above the 7,600 replicas of the target scale.
	maxRemoved = 16384
)

// removal is a start of a replica that was removed from the list.
type removal struct {
	startUnixMs int64
	// era is that of the store when the replica was removed.
	era uint64
	at  time.Time
}

// forget removes a registration and keeps its start in mind.
func (r *Registry) forget(id string, now time.Time) {
	if len(r.removed) < maxRemoved {
		r.removed[id] = removal{r.registrations[id].StartUnixMs, r.era, now}
	}
	delete(r.registrations, id)
}

// isRevived reports whether an element of a list names a start that was removed in an earlier era: the store came back from a copy that
// is older than the removal.
func (r *Registry) isRevived(c Change) bool {
	before, ok := r.removed[c.ID]
	return ok && c.Replica != nil && before.era < c.Era && isSameKnownStart(before.startUnixMs, c.Replica.StartUnixMs)
}

// isSameKnownStart reports whether two start times are of the same start. An unknown start, unlike in SameStart, is never the same.
func isSameKnownStart(a, b int64) bool { return a != 0 && a == b }

func (r *Registry) forgetRemoved(now time.Time) {
	for id, before := range r.removed {
		if now.Sub(before.at) >= removedRetention {
			delete(r.removed, id)
		}
	}
}
