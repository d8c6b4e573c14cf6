package edge

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
)

// freshness decides when this edge asks the store again, although its watches are pending. A watch may stay silent although
// something was written. So that not every edge has to ask, an answer that one edge gets counts for all that hear of it:
// the number of calls does not grow with the number of edges. Time is handed in.
type freshness struct {
	mu sync.Mutex
	// answered is the time of the latest answer of the store for each kind that is followed.
	answered map[string]time.Time
	// heard is the latest time at which another edge had answers for all kinds.
	heard time.Time
	// late counts own late findings; peers holds the counts of the others.
	late  uint32
	peers map[netip.Addr]uint32
	// limit is the age of the freshest knowledge at which this edge asks; most bounds it.
	limit, most time.Duration
}

const (
	// askAge bounds the age of the freshest knowledge among the edges. With the pace of watches, the time of a report and
	// that of a call it stays below the tightest bound of a configuration (2 s).
	askAge = 1200 * time.Millisecond
	// askShare is the same as a share of the platform's bound, for tighter ones.
	askShare = 0.6
	// askSpread is the part of the age over which the limits of the edges are spread.
	askSpread = 0.4
)

// newFreshness returns the freshness of an edge whose configurations have to be in force within the bound.
func newFreshness(bound time.Duration, kinds ...string) *freshness {
	f := &freshness{answered: map[string]time.Time{}, peers: map[netip.Addr]uint32{}, most: askAge}
	if bound > 0 {
		f.most = min(askAge, time.Duration(askShare*float64(bound)))
	}
	for _, kind := range kinds {
		f.answered[kind] = time.Time{}
	}
	f.draw()
	return f
}

// draw spreads the limits of the edges, so that usually one of them asks first and the others hear of it.
func (f *freshness) draw() {
	spread := time.Duration(askSpread * float64(f.most))
	f.limit = f.most - spread + rand.N(spread)
}

// onAnswer notes an answer of the store.
func (f *freshness) onAnswer(kind string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered[kind] = now
}

// onLate notes that asking again found what a watch did not tell.
func (f *freshness) onLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late++
}

// due reports whether this edge should ask now.
func (f *freshness) due(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.own()
	if f.heard.After(last) {
		last = f.heard
	}
	if now.Sub(last) < f.limit {
		return false
	}
	f.heard = now // asked; the next question is a limit away even if there is no answer
	f.draw()
	return true
}

// own returns the time from which on this edge has had answers for every kind.
func (f *freshness) own() time.Time {
	oldest := time.Time{}
	for _, at := range f.answered {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// tell returns what the other edges hear.
func (f *freshness) tell(version uint64, now time.Time) gossip.Freshness {
	f.mu.Lock()
	defer f.mu.Unlock()
	return gossip.Freshness{Configuration: version, AgeMs: uint32(min(now.Sub(f.own()).Milliseconds(), 1<<31)), Late: f.late}
}

// hear takes what another edge tells, and reports whether this edge has to ask at once: the other one has a newer
// configuration, or has found something late.
func (f *freshness) hear(from netip.Addr, told gossip.Freshness, version uint64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := now.Add(-time.Duration(told.AgeMs) * time.Millisecond); at.After(f.heard) {
		f.heard = at
	}
	known, met := f.peers[from]
	f.peers[from] = told.Late
	return told.Configuration > version || met && told.Late > known
}
