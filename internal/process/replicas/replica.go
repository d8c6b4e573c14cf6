// Package replicas keeps the list of upstream replicas, as the platform's store tells it, through outages of the store.
package replicas

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Replica is one upstream that registered itself.
type Replica struct {
	// ID names one start of a replica, unless the replica kept its ID over a restart.
	ID      string
	Service string
	// Address is the IP:PORT of its HTTP/1.1 interface.
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining replicas take no new work.
	Draining bool
	// Born is the start of the replica in Unix milliseconds, or 0 when unknown. It tells starts under the same ID apart.
	Born int64
}

// Change is a write to the list.
type Change struct {
	ID string
	// Replica is nil when the entry was removed or can't be used.
	Replica *Replica
}

// lapseGrace is how long an entry that lapsed during an outage of the store may be missing after the store's return: the
// platform's pages say that live replicas are back within about two seconds. It is below the contact time after which the
// platform expects the list to be followed exactly again.
const lapseGrace = 2500 * time.Millisecond

// View is an immutable list of the replicas that take new work, by service and in the order of their IDs.
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

// Get returns a replica that takes new work.
func (v *View) Get(id string) (*Replica, bool) {
	if v == nil {
		return nil, false
	}
	r, ok := v.byID[id]
	return r, ok
}

// Len returns the number of replicas that take new work.
func (v *View) Len() int {
	if v == nil {
		return 0
	}
	return len(v.byID)
}

// Registry combines lists and changes into a View. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	entries map[string]entry
	// restored is the end of the latest outage of the store, and the zero time before the first one.
	restored time.Time
	outage   bool
	listed   bool
	view     atomic.Pointer[View]
}

type entry struct {
	Replica
	// missing is the time since which the entry lapsed; the zero time while it is present.
	missing time.Time
}

// NewRegistry returns a Registry without replicas.
func NewRegistry() *Registry {
	r := &Registry{entries: map[string]entry{}}
	r.publish()
	return r
}

// View returns the current list.
func (r *Registry) View() *View { return r.view.Load() }

// Listed reports whether a complete list has been read since the start.
func (r *Registry) Listed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// StoreFailed notes that the store does not answer.
func (r *Registry) StoreFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage = true
}

// StoreAnswered notes an answer of the store. The first one after a failure ends the outage.
func (r *Registry) StoreAnswered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outage {
		r.outage, r.restored = false, now
	}
}

// Replace takes a complete list and reports whether it changed anything. Entries that are missing from it are removed, or
// kept for lapseGrace when the store was away until shortly before.
func (r *Registry) Replace(list []Change, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[string]bool, len(list))
	changed := false
	for _, c := range list {
		present[c.ID] = c.Replica != nil
		changed = r.apply(c, now) || changed
	}
	for id := range r.entries {
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

// Apply takes changes in the order of the store's revisions and reports whether they changed anything: most writes to the
// list only renew an entry.
func (r *Registry) Apply(changes []Change, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, c := range changes {
		changed = r.apply(c, now) || changed
	}
	if changed {
		r.publish()
	}
	return changed
}

// Expire drops entries that are still missing after lapseGrace and returns their IDs.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for id, e := range r.entries {
		if !e.missing.IsZero() && !r.mayLapse(now) {
			delete(r.entries, id)
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		r.publish()
	}
	return gone
}

func (r *Registry) apply(c Change, now time.Time) bool {
	if c.Replica == nil {
		return r.remove(c.ID, now)
	}
	next := entry{Replica: *c.Replica}
	if old, ok := r.entries[c.ID]; ok && old == next {
		return false
	}
	r.entries[c.ID] = next
	return true
}

// remove reports whether it changed anything. It keeps an entry that may have lapsed only because its replica could not reach the store. A replica that was
// draining is gone at once.
func (r *Registry) remove(id string, now time.Time) bool {
	e, ok := r.entries[id]
	switch {
	case ok && (e.Draining || !r.mayLapse(now)):
		delete(r.entries, id)
		return true
	case ok && e.missing.IsZero():
		e.missing = now
		r.entries[id] = e
		return true
	default:
		return false
	}
}

// mayLapse reports whether the store was away until shortly before now.
func (r *Registry) mayLapse(now time.Time) bool {
	return r.outage || !r.restored.IsZero() && now.Sub(r.restored) < lapseGrace
}

func (r *Registry) publish() {
	v := &View{byService: map[string][]*Replica{}, byID: map[string]*Replica{}}
	ids := make([]string, 0, len(r.entries))
	for id := range r.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		e := r.entries[id]
		if e.Draining {
			continue
		}
		replica := e.Replica
		v.byService[replica.Service] = append(v.byService[replica.Service], &replica)
		v.byID[id] = &replica
	}
	r.view.Store(v)
}
