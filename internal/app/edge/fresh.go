package edge

import (
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
	// asked is the time of the latest question, which counts as an answer for the next one.
	asked time.Time
	// answers counts the answers, so that the others hear of them at once.
	answers uint64
	// configuration and replicas are what others have found.
	configuration, replicas news
	// most bounds the age of the freshest knowledge.
	most time.Duration
}

const (
	// askAge bounds the age of the freshest knowledge among the edges. With the pace of watches, the time of a report and
	// that of a call it stays below the tightest bound of a configuration (2 s).
	askAge = 1200 * time.Millisecond
	// askShare is the same as a share of the platform's bound, for tighter ones.
	askShare = 0.6
	// askSpread is the part of the age over which the edges' questions are spread in the order of their ranks.
	askSpread = 0.4
)

// newFreshness returns the freshness of an edge whose configurations have to be in force within the bound.
func newFreshness(bound time.Duration, kinds ...string) *freshness {
	f := &freshness{answered: map[string]time.Time{}, most: askAge}
	if bound > 0 {
		f.most = min(askAge, time.Duration(askShare*float64(bound)))
	}
	for _, kind := range kinds {
		f.answered[kind] = time.Time{}
	}
	return f
}

// onAnswer notes an answer of the store.
func (f *freshness) onAnswer(kind string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered[kind] = now
	f.answers++
}

// due reports whether this edge should ask now, for lack of answers. The step is the time after which the edge of the next
// rank asks when those before it do not.
func (f *freshness) due(now time.Time, rank int, step time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.own()
	for _, at := range [...]time.Time{f.heard, f.asked} {
		if at.After(last) {
			last = at
		}
	}
	spread := time.Duration(askSpread * float64(f.most))
	if now.Sub(last) < f.most-spread+min(time.Duration(rank)*step, spread) {
		return false
	}
	f.asked = now
	return true
}

// behind reports whether this edge should ask now because others have found what it does not know: a newer configuration,
// or a write to the list of replicas after the revision that it has read.
func (f *freshness) behind(version, revision uint64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	configuration, list := f.configuration.overdue(version, now), f.replicas.overdue(revision, now)
	return configuration || list
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

// tell returns what the other edges hear, and a number that grows with every answer.
func (f *freshness) tell(version uint64, now time.Time) (gossip.Freshness, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return gossip.Freshness{Configuration: version, AgeMs: uint32(min(now.Sub(f.own()).Milliseconds(), 1<<31))}, f.answers
}

// hear takes what another edge tells.
func (f *freshness) hear(told gossip.Freshness, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := now.Add(-time.Duration(told.AgeMs) * time.Millisecond); at.After(f.heard) {
		f.heard = at
	}
	f.configuration.hear(told.Configuration, now)
	f.replicas.hear(told.Replicas.Found, now)
}

// news is the newest version or revision that others have found.
type news struct {
	newest       uint64
	since, asked time.Time
}

const (
	// newsDelay is the time that an own watch has to bring what another edge has found. Answers take about 10 ms on the
	// sheets and reports up to 90 ms between 22 edges.
	newsDelay = 150 * time.Millisecond
	// newsRepeat is the time between two questions about the same news.
	newsRepeat = time.Second
)

func (n *news) hear(found uint64, now time.Time) {
	if found > n.newest {
		n.newest, n.since = found, now
	}
}

func (n *news) overdue(own uint64, now time.Time) bool {
	if own >= n.newest || now.Sub(n.since) < newsDelay || now.Sub(n.asked) < newsRepeat {
		return false
	}
	n.asked = now
	return true
}
