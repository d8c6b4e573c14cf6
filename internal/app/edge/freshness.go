package edge

import (
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
)

// freshness decides when this edge refreshes its state from the store although its watches are pending: a watch may fail to
// return although something was written. A store response that one edge receives counts for all edges that receive its
// reports, so that the number of calls does not grow with the number of edges. The current time is passed in.
type freshness struct {
	mu sync.Mutex
	// lastResponse is the time of the latest store response for each watched kind.
	lastResponse map[string]time.Time
	// peerResponse is the latest time at which another edge had store responses for all kinds.
	peerResponse time.Time
	// lastRefresh is the time of the latest refresh. It counts as a response, so that a refresh that gets no response is
	// not repeated immediately.
	lastRefresh time.Time
	// responses counts the store responses; a change of it triggers a report.
	responses uint64
	// configuration and replicas are the latest updates found by other edges.
	configuration, replicas peerUpdate
	// maxAge bounds the age of the latest store response among the edges.
	maxAge time.Duration
}

const (
	// maxResponseAge bounds the age of the latest store response among the edges. With the minimum watch interval, the
	// delay of a report and the time of a call, it stays below the tightest bound of a configuration (2 s).
	maxResponseAge = 1200 * time.Millisecond
	// maxResponseAgeShare is the same bound as a share of the platform's bound, for tighter ones.
	maxResponseAgeShare = 0.6
	// refreshSpread is the share of maxAge over which the edges' refreshes are spread in the order of their ranks.
	refreshSpread = 0.4
)

// newFreshness returns the freshness of an edge that must apply a configuration within the bound.
func newFreshness(bound time.Duration, kinds ...string) *freshness {
	f := &freshness{lastResponse: map[string]time.Time{}, maxAge: maxResponseAge}
	if bound > 0 {
		f.maxAge = min(maxResponseAge, time.Duration(maxResponseAgeShare*float64(bound)))
	}
	for _, kind := range kinds {
		f.lastResponse[kind] = time.Time{}
	}
	return f
}

// onResponse records a store response.
func (f *freshness) onResponse(kind string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastResponse[kind] = now
	f.responses++
}

// stale reports whether this edge should refresh now because no edge has had a recent response, and records the refresh.
// The step is the time after which the edge of the next rank refreshes when those of lower rank do not.
func (f *freshness) stale(now time.Time, rank int, step time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.ownResponse()
	for _, at := range [...]time.Time{f.peerResponse, f.lastRefresh} {
		if at.After(last) {
			last = at
		}
	}
	spread := time.Duration(refreshSpread * float64(f.maxAge))
	if now.Sub(last) < f.maxAge-spread+min(time.Duration(rank)*step, spread) {
		return false
	}
	f.lastRefresh = now
	return true
}

// behind reports whether this edge should refresh now because other edges have found what it has not read: a newer
// configuration, or a write to the list of replicas after its own revision.
func (f *freshness) behind(version, revision uint64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	configuration, list := f.configuration.overdue(version, now), f.replicas.overdue(revision, now)
	return configuration || list
}

// ownResponse returns the earliest of the kinds' latest response times.
func (f *freshness) ownResponse() time.Time {
	oldest := time.Time{}
	for _, at := range f.lastResponse {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// snapshot returns the freshness to publish in the next report, and a counter that grows with every store response.
func (f *freshness) snapshot(version uint64, now time.Time) (gossip.Freshness, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return gossip.Freshness{Configuration: version, AgeMs: uint32(min(now.Sub(f.ownResponse()).Milliseconds(), 1<<31))}, f.responses
}

// onReport records the freshness reported by another edge.
func (f *freshness) onReport(peer gossip.Freshness, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := now.Add(-time.Duration(peer.AgeMs) * time.Millisecond); at.After(f.peerResponse) {
		f.peerResponse = at
	}
	f.configuration.onReport(peer.Configuration, now)
	f.replicas.onReport(peer.Replicas.LastChange, now)
}

// peerUpdate is the newest version or revision that other edges have found.
type peerUpdate struct {
	newest             uint64
	since, lastRefresh time.Time
}

const (
	// peerUpdateDelay is how long this edge's own watch may take to deliver what another edge has found. In the published
	// deployment specifications, store responses take about 10 ms, and reports up to 90 ms between 22 edges.
	peerUpdateDelay = 150 * time.Millisecond
	// peerUpdateRetryInterval is the time between two refreshes for the same update.
	peerUpdateRetryInterval = time.Second
)

func (u *peerUpdate) onReport(found uint64, now time.Time) {
	if found > u.newest {
		u.newest, u.since = found, now
	}
}

// overdue reports whether this edge should refresh to read the update, and records the refresh.
func (u *peerUpdate) overdue(own uint64, now time.Time) bool {
	if own >= u.newest || now.Sub(u.since) < peerUpdateDelay || now.Sub(u.lastRefresh) < peerUpdateRetryInterval {
		return false
	}
	u.lastRefresh = now
	return true
}
