package edge

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
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
	// revision is the store's, changed that of the last change, and compacted that up to which the history is gone.
	revision, changed, compacted uint64
	version                      int
	changes                      []configChange
}

type configChange struct {
	revision uint64
	version  int
	at       time.Time
}

func (s *configStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.version++
	s.changed = s.revision
	s.changes = append(s.changes, configChange{s.revision, s.version, time.Now()})
}

func (s *configStore) renew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
}

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
	for _, c := range s.changes {
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
func (e *scheduledEdge) Watch(ctx context.Context, _ string, after uint64) ([]store.Object, uint64, error) {
	time.Sleep(5 * time.Millisecond)
	if cut, refused := e.isCut(); cut || refused {
		return nil, after, store.ErrUnavailable
	}
	s := e.fleet.store
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case after < s.compacted:
		return nil, 0, store.ErrGap
	}
	var objects []store.Object
	for _, c := range s.changes {
		if c.revision > after {
			objects = append(objects, store.Object{Revision: c.revision, Version: uint64(c.version)})
		}
	}
	if _, err := store.BeginResponse(ctx, int64(len(objects)*scheduleObjectBytes)); err != nil {
		return nil, after, err
	}
	return objects, s.revision, ctx.Err()
}

// Snapshot implements store.Client.
func (e *scheduledEdge) Snapshot(ctx context.Context, _ string) ([]store.Object, uint64, error) {
	time.Sleep(5 * time.Millisecond)
	if cut, refused := e.isCut(); cut || refused {
		return nil, 0, store.ErrUnavailable
	}
	s := e.fleet.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := store.BeginResponse(ctx, scheduleObjectBytes); err != nil {
		return nil, 0, err
	}
	return []store.Object{{Revision: s.changed, Version: uint64(s.version)}}, s.revision, ctx.Err()
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
	rng   *rand.Rand
	store *configStore
	edges []*scheduledEdge
	log   []string

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
		OnWrites: func(after uint64) {
			announced := e.synced.announceWrite(after, time.Now())
			s.send(e, func(to *scheduledEdge) { to.applySyncedRange(announced, replicas.NewRegistry(), time.Now()) })
		},
		OnError:    func(error) { e.set(func(e *scheduledEdge) { e.failing = true }) },
		OnResponse: func() { e.set(func(e *scheduledEdge) { e.failing = false }) },
		OnSynced: func(from, to uint64, began time.Time) {
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
	switch s.rng.IntN(9) {
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
			if !time.Now().Before(next) {
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
func TestConfigurationIsInForceInDrawnSchedules(t *testing.T) {
	for n := range *schedules {
		seed := *firstSchedule + uint64(n)
		s := &schedule{rng: rand.New(rand.NewPCG(seed, 24)), lossRng: rand.New(rand.NewPCG(seed, 25)), store: &configStore{revision: 10}}
		if broken := s.run(t); broken != "" {
			t.Fatalf("schedule %d: %s; %s", seed, broken, strings.Join(s.log, ", "))
		}
	}
}
