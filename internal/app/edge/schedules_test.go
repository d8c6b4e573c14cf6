package edge

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

var (
	firstSchedule = flag.Uint64("schedules.first", 1, "first schedule")
	schedules     = flag.Int("schedules.count", 400, "number of schedules")
)

const (
	// scheduleTime is the length of a schedule, and checkInterval the time between two checks of the bounds.
	scheduleTime  = 14 * time.Second
	checkInterval = 50 * time.Millisecond
	// scheduleConfigBound is the platform's bound for a configuration, scheduleRefusedBound that for an edge that the store refuses,
	// and scheduleContact the time without disruption after which they hold.
	scheduleConfigBound  = 2 * time.Second
	scheduleRefusedBound = 7 * time.Second
	scheduleContact      = 3 * time.Second
	// scheduleObjectBytes is the size of a configuration in a response: two fit into the response to a watch, three don't.
	scheduleObjectBytes = 30 << 10
	// scheduleFetchTime is the time of a fetch from another edge.
	scheduleFetchTime = 10 * time.Millisecond
)

// configStore has one configuration, whose value is its version. Renewals of other objects raise its revision.
type configStore struct {
	store.Client
	mu sync.Mutex
	// revision is the store's, and compacted that up to which the history is gone.
	revision, compacted uint64
	// era is the number of the store's history, and rewrites the number of writes that others still make again after a restore.
	era, rewrites uint64
	version       int
	changes       []configChange
	// acknowledged has all changes, also those that the store has lost.
	acknowledged []configChange
	// past has the revisions at earlier times.
	past []pastRevision
	// downUntil is the end of the current outage, and disturbed that of the last one.
	downUntil, disturbed time.Time
}

type pastRevision struct {
	at       time.Time
	revision uint64
}

// restore takes the store down for some time, after which it is as it was some time before. The operator writes again what was lost,
// and others make the given number of writes in each of the next renewals.
func (s *configStore) restore(age, down time.Duration, writes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := time.Now()
	s.downUntil, s.disturbed = began.Add(down), began.Add(down)
	copied := s.changes[0].revision
	for _, p := range s.past {
		if !p.at.After(began.Add(-age)) {
			copied = p.revision
		}
	}
	time.AfterFunc(down, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.era++
		s.compacted = min(s.compacted, copied)
		s.changes = slices.DeleteFunc(s.changes, func(c configChange) bool { return c.revision > copied })
		s.past = slices.DeleteFunc(s.past, func(p pastRevision) bool { return p.revision > copied })
		s.revision, s.rewrites = copied, rewriteRenewals*writes
		time.AfterFunc(rewriteDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.changes[len(s.changes)-1].version < s.version {
				s.write()
			}
		})
	})
}

// write writes the newest version. The caller holds the lock.
func (s *configStore) write() {
	s.revision++
	s.changes = append(s.changes, configChange{s.revision, s.version, time.Now()})
	s.past = append(s.past, pastRevision{time.Now(), s.revision})
}

// isDisturbed reports whether an outage has not ended for the time of contact.
func (s *configStore) isDisturbed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.disturbed) < scheduleContact
}

// isDown reports whether the store is down.
func (s *configStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

type configChange struct {
	revision uint64
	version  int
	at       time.Time
}

func (s *configStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return // the operator's call fails
	}
	s.version++
	s.write()
	s.acknowledged = append(s.acknowledged, s.changes[len(s.changes)-1])
}

func (s *configStore) renew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return
	}
	rewrites := min(s.rewrites, (s.rewrites+rewriteRenewals-1)/rewriteRenewals)
	s.rewrites -= rewrites
	s.revision += 1 + rewrites
	s.past = append(s.past, pastRevision{time.Now(), s.revision})
}

// rewriteDelay is the time after which the operator writes again what was lost.
const rewriteDelay = 100 * time.Millisecond

// rewriteRenewals is about the number of renewals in which others write again what was lost.
const rewriteRenewals = 8

func (s *configStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
}

// acknowledgedBefore returns the newest version that was acknowledged before the time.
func (s *configStore) acknowledgedBefore(at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := 0
	for _, c := range s.acknowledged {
		if c.at.Before(at) {
			version = c.version
		}
	}
	return version
}

// scheduledEdge is the part of an edge that follows the configuration.
type scheduledEdge struct {
	*followed
	store.Client
	fleet *schedule
	index int

	mu      sync.Mutex
	version int
	failing bool
	// cut edges reach neither the store nor the others; the store refuses refused ones.
	cut, refused bool
	// disturbed and refusedAt are when the edge was last cut off, and last refused.
	disturbed, refusedAt time.Time
	lag                  versionLag
}

func (e *scheduledEdge) set(change func(e *scheduledEdge)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *scheduledEdge) isCut() (cut, refused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut, e.refused
}

// Watch implements store.Client.
func (e *scheduledEdge) Watch(ctx context.Context, _ string, after store.Position) ([]store.Object, store.Position, error) {
	time.Sleep(5 * time.Millisecond)
	if cut, refused := e.isCut(); cut || refused || e.fleet.store.isDown() {
		return nil, after, store.ErrUnavailable
	}
	s := e.fleet.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Era != s.era || after.Revision < s.compacted || after.Revision > s.revision {
		return nil, after, store.ErrGap
	}
	var objects []store.Object
	for _, c := range s.changes {
		if c.revision > after.Revision {
			objects = append(objects, store.Object{Revision: c.revision, Era: s.era, Version: uint64(c.version)})
		}
	}
	if _, err := store.BeginResponse(ctx, int64(len(objects)*scheduleObjectBytes)); err != nil {
		return nil, after, err
	}
	return objects, store.Position{Era: s.era, Revision: s.revision}, ctx.Err()
}

// Snapshot implements store.Client.
func (e *scheduledEdge) Snapshot(ctx context.Context, _ string) ([]store.Object, store.Position, error) {
	time.Sleep(5 * time.Millisecond)
	if cut, refused := e.isCut(); cut || refused || e.fleet.store.isDown() {
		return nil, store.Position{}, store.ErrUnavailable
	}
	s := e.fleet.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := store.BeginResponse(ctx, scheduleObjectBytes); err != nil {
		return nil, store.Position{}, err
	}
	newest := s.changes[len(s.changes)-1]
	return []store.Object{{Revision: newest.revision, Era: s.era, Version: uint64(newest.version)}}, store.Position{Era: s.era, Revision: s.revision}, ctx.Err()
}

// accept applies a version if it is newer.
func (e *scheduledEdge) accept(version int) {
	e.set(func(e *scheduledEdge) { e.version = max(e.version, version) })
}

func (e *scheduledEdge) onObjects(objects []store.Object) {
	for _, o := range objects {
		e.synced.onWrite(o.Revision)
		e.accept(int(o.Version))
	}
}

// schedule is one drawn sequence of disruptions.
type schedule struct {
	rng *rand.Rand
	// restores is set if the store comes back from older copies.
	restores bool
	store    *configStore
	// quietUntil is until when nothing else happens, so that the bounds hold.
	quietUntil time.Time
	edges      []*scheduledEdge
	log        []string

	// lossMu guards the share of the messages that is lost, and what draws them.
	lossMu  sync.Mutex
	loss    float64
	lossRng *rand.Rand
}

func (s *schedule) newEdge(index int) *scheduledEdge {
	e := &scheduledEdge{followed: &followed{}, fleet: s, index: index}
	e.feed = &store.Feed{
		Client: e, MinInterval: minWatchInterval(700*time.Millisecond, scheduleConfigBound), Poll: true, MaxRetryDelay: maxStoreRetryDelay,
		OnObjects: e.onObjects,
		OnSnapshot: func(_ context.Context, objects []store.Object) error {
			e.onObjects(objects)
			return nil
		},
		OnWrites: func(after store.Position) {
			announced := e.synced.announceWrite(after, time.Now())
			s.send(e, func(to *scheduledEdge) { to.applySyncedRange(announced, replicas.NewRegistry(), time.Now()) })
		},
		OnError:    func(error) { e.set(func(e *scheduledEdge) { e.failing = true }) },
		OnResponse: func() { e.set(func(e *scheduledEdge) { e.failing = false }) },
		OnSynced: func(from, to store.Position, began time.Time) {
			updates := e.synchronized(configurationObjects, from, to, began)
			for i := range updates {
				updates[i].Synced = e.synced.snapshot(time.Now())
			}
			s.send(e, func(to *scheduledEdge) {
				for _, u := range updates {
					if changes, complete := to.fleetPending(&u); complete {
						to.apply(&u, changes, replicas.NewRegistry(), time.Now(), func() {})
					}
				}
			})
		},
		StaggerDelay: func() time.Duration { return staggerDelay(s.rank(e), scheduleConfigBound) },
	}
	return e
}

func (e *scheduledEdge) fleetPending(u *update) ([]replicas.Change, bool) {
	var a assembly
	return a.add(netip.Addr{}, u)
}

func (s *schedule) rank(e *scheduledEdge) int {
	e.mu.Lock()
	own := e.failing
	e.mu.Unlock()
	rank := 0
	for _, other := range s.edges[:e.index] {
		other.mu.Lock()
		if !other.cut && (own || !other.failing) {
			rank++
		}
		other.mu.Unlock()
	}
	return rank
}

// send delivers a datagram to each other edge after 5 ms, except where it is lost.
func (s *schedule) send(from *scheduledEdge, deliver func(to *scheduledEdge)) {
	if cut, _ := from.isCut(); cut {
		return
	}
	for _, to := range s.edges {
		s.lossMu.Lock()
		lost := s.lossRng.Float64() < s.loss
		s.lossMu.Unlock()
		if to == from || lost {
			continue
		}
		time.AfterFunc(5*time.Millisecond, func() {
			if cut, _ := to.isCut(); !cut {
				deliver(to)
			}
		})
	}
}

// report sends what the edges report to each other: the synced range and the version, by which an edge that is behind for
// behindDelay fetches the configuration.
func (s *schedule) report() {
	for _, from := range s.edges {
		synced := from.synced.snapshot(time.Now())
		from.mu.Lock()
		version := from.version
		from.mu.Unlock()
		s.send(from, func(to *scheduledEdge) {
			to.applySyncedRange(synced, replicas.NewRegistry(), time.Now())
			to.onVersion(version)
		})
	}
}

func (e *scheduledEdge) onVersion(version int) {
	fetch := false
	e.set(func(e *scheduledEdge) { fetch = e.lag.isFetchDue(uint64(e.version), uint64(version), time.Now()) })
	if !fetch {
		return
	}
	go func() {
		time.Sleep(scheduleFetchTime)
		e.accept(version)
	}()
}

// disrupt draws one disruption or change.
func (s *schedule) disrupt() {
	e := s.edges[s.rng.IntN(len(s.edges))]
	now := time.Now()
	event := ""
	kinds := 10
	if s.restores {
		kinds = 14
	}
	switch s.rng.IntN(kinds) {
	case 0:
		event = "cut"
		e.set(func(e *scheduledEdge) { e.cut, e.disturbed = true, now })
	case 1, 2:
		event = "whole"
		for _, e := range s.edges {
			e.set(func(e *scheduledEdge) {
				if e.cut {
					e.cut, e.disturbed = false, now
				}
				if e.refused {
					e.refused, e.refusedAt = false, now
				}
			})
		}
	case 3:
		event = "refused"
		e.set(func(e *scheduledEdge) { e.refused, e.refusedAt = true, now })
	case 4:
		event = "compact"
		s.store.compact()
	case 5:
		loss := []float64{0, 0.1, 0.4}[s.rng.IntN(3)]
		s.lossMu.Lock()
		s.loss = loss
		s.lossMu.Unlock()
		event = fmt.Sprint("loss ", loss)
	case 10, 11, 12, 13:
		if !s.store.isDown() {
			age, down := time.Duration(100+s.rng.IntN(8000))*time.Millisecond, time.Duration(50+s.rng.IntN(1000))*time.Millisecond
			writes := s.rng.Uint64N(60)
			s.store.restore(age, down, writes)
			s.quietUntil = now.Add(down + scheduleContact + 2*scheduleConfigBound)
			event = fmt.Sprint("restore ", age, " ", down, " ", writes)
			time.AfterFunc(down+time.Duration(s.rng.IntN(600))*time.Millisecond, s.store.change)
		}
	default:
		event = "change"
		s.store.change()
	}
	s.log = append(s.log, fmt.Sprintf("%s %s %d", now.Format("05.000"), event, e.index))
}

// hasReader reports whether an edge has been able to read the configuration for some time, so that others can get it from there.
func (s *schedule) hasReader(now time.Time) bool {
	for _, e := range s.edges {
		e.mu.Lock()
		able := !e.cut && !e.refused && now.Sub(e.disturbed) >= scheduleRefusedBound && now.Sub(e.refusedAt) >= scheduleRefusedBound
		e.mu.Unlock()
		if able {
			return true
		}
	}
	return false
}

// check returns a line about an edge that has an older configuration than it may have.
func (s *schedule) check() string {
	now := time.Now()
	if s.store.isDisturbed(now) {
		return ""
	}
	reader := s.hasReader(now)
	for _, e := range s.edges {
		e.mu.Lock()
		version, excused := e.version, e.cut || now.Sub(e.disturbed) < scheduleContact
		bound := scheduleConfigBound
		if e.refused || now.Sub(e.refusedAt) < scheduleContact {
			bound = scheduleRefusedBound
			excused = excused || !reader
		}
		e.mu.Unlock()
		if want := s.store.acknowledgedBefore(now.Add(-bound)); !excused && version < want {
			return fmt.Sprintf("%s: edge %d has version %d, want %d within %s", now.Format("05.000"), e.index, version, want, bound)
		}
	}
	return ""
}

// run plays the schedule and returns what broke, or an empty string.
func (s *schedule) run(t *testing.T) (broken string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s.store.change()
		for n := range 2 + s.rng.IntN(4) {
			s.edges = append(s.edges, s.newEdge(n))
		}
		for _, e := range s.edges {
			go e.feed.Run(ctx)
		}
		time.Sleep(time.Second)
		next := time.Now()
		for end := time.Now().Add(scheduleTime); broken == "" && time.Now().Before(end); time.Sleep(checkInterval) {
			s.store.renew()
			if now := time.Now(); !now.Before(next) && now.After(s.quietUntil) {
				s.disrupt()
				next = time.Now().Add(time.Duration(100+s.rng.IntN(1500)) * time.Millisecond)
			}
			s.report()
			broken = s.check()
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
	return broken
}

// Guards against an edge that keeps an old configuration because of what the edges tell each other: lost and old messages, edges that
// are cut off or refused, a history that is dropped, and edges that poll by turns.
func TestConfigurationIsInForceInDrawnSchedules(t *testing.T) { playSchedules(t, false) }

// Guards against edges that go on in a lost history of the store, or mix it with the new one, after it came back from an older copy.
func TestConfigurationIsInForceAfterRestoresInDrawnSchedules(t *testing.T) { playSchedules(t, true) }

func playSchedules(t *testing.T, restores bool) {
	t.Helper()
	for n := range *schedules {
		seed := *firstSchedule + uint64(n)
		s := &schedule{rng: rand.New(rand.NewPCG(seed, 24)), restores: restores, lossRng: rand.New(rand.NewPCG(seed, 25)), store: &configStore{revision: 10, era: 1}}
		if broken := s.run(t); broken != "" {
			t.Fatalf("schedule %d: %s; %s", seed, broken, strings.Join(s.log, ", "))
		}
	}
}
