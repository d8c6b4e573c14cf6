package edge

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

const (
	// cutContact is the platform's contact time, after which its bound on requests to replicas that left holds for an edge that was cut off.
	cutContact    = 3 * time.Second
	cutDrainBound = 2 * time.Second
	// cutHeartbeat is the time between heartbeats of a replica, cutLapse that after which its entry is removed without one, and cutReturn
	// that within which a live one is back after an outage of the store.
	cutHeartbeat = 1200 * time.Millisecond
	cutLapse     = 3 * cutHeartbeat
	cutReturn    = 2 * time.Second
	// cutCallTimeout is the timeout of a watch that doesn't wait for writes, and cutCallTime the time of one that succeeds.
	cutCallTimeout = time.Second
	cutCallTime    = 4 * time.Millisecond
	cutCheckStep   = 10 * time.Millisecond
)

// cutKind is what happens to the calls of an edge that is cut off.
type cutKind string

const (
	// cutSilent calls get no response, also if the cut ends meanwhile: the first packet of their connection is lost.
	cutSilent cutKind = "silent"
	// cutHeld calls get their response when the cut ends.
	cutHeld cutKind = "held"
	// cutRefused calls fail at once.
	cutRefused cutKind = "refused"
)

// cutStore is the store as one edge reaches it. It has a list of replicas.
type cutStore struct {
	store.Client
	kind cutKind

	mu       sync.Mutex
	cut      chan struct{} // closed at the end of the cut; nil without one
	revision uint64
	events   []store.Object
	listed   map[string]bool
}

func (s *cutStore) set(name string, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if listed {
		s.listed[name] = true
	} else {
		delete(s.listed, name)
	}
	s.events = append(s.events, store.Object{Name: name, Revision: s.revision, Era: 1, Deleted: !listed})
}

func (s *cutStore) setCut(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.cut = make(chan struct{})
	} else {
		close(s.cut)
		s.cut = nil
	}
}

// reach returns an error if a call that begins now does not reach the store.
func (s *cutStore) reach(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, cutCallTimeout)
	defer cancel()
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut != nil {
		switch s.kind {
		case cutRefused:
			return store.ErrUnavailable
		case cutSilent:
			cut = nil
		}
		select {
		case <-cut:
		case <-ctx.Done():
			return store.ErrUnavailable
		}
	}
	time.Sleep(cutCallTime)
	return ctx.Err()
}

// Watch implements store.Client.
func (s *cutStore) Watch(ctx context.Context, _ string, after store.Position) ([]store.Object, store.Position, error) {
	if err := s.reach(ctx); err != nil {
		return nil, after, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var objects []store.Object
	for _, o := range s.events {
		if !after.IsZero() && o.Revision > after.Revision {
			objects = append(objects, o)
		}
	}
	return objects, store.Position{Era: 1, Revision: s.revision}, nil
}

// changes are those of the whole list.
func (s *cutStore) changes() []replicas.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []replicas.Change
	for _, name := range slices.Sorted(maps.Keys(s.listed)) {
		all = append(all, replicaChanges([]store.Object{{Name: name, Revision: s.revision, Era: 1}})...)
	}
	return all
}

func replicaChanges(objects []store.Object) []replicas.Change {
	var changes []replicas.Change
	for _, o := range objects {
		c := replicas.Change{ID: o.Name, Revision: o.Revision, Era: o.Era}
		if !o.Deleted {
			c.Replica = &replicas.Replica{ID: o.Name, Service: "s"}
		}
		changes = append(changes, c)
	}
	return changes
}

// cutEdge is the part of an edge that follows the list of replicas. Its configuration is followed as well, since any call tells of an outage.
type cutEdge struct {
	store    *cutStore
	registry *replicas.Registry
}

func (e *cutEdge) run(ctx context.Context) {
	for _, list := range []bool{true, false} {
		feed := &store.Feed{
			OverlapDelay: func() time.Duration { return overlapDelay },
			Client:       e.store, Poll: true, MinInterval: minWatchInterval(700*time.Millisecond, cutDrainBound),
			OnObjects: func(objects []store.Object) { e.registry.Apply(replicaChanges(objects), time.Now()) },
			OnGap: func(context.Context) error {
				e.registry.Replace(e.store.changes(), time.Now())
				return nil
			},
		}
		if !list {
			feed.OnObjects, feed.OnGap, feed.OverlapDelay = func([]store.Object) {}, func(context.Context) error { return nil }, nil
		}
		recordOutages(feed, e.registry, func(bool) {}, func(error) {})
		go feed.Run(ctx)
	}
	for range time.Tick(tickInterval) {
		if ctx.Err() != nil {
			return
		}
		e.registry.Expire(time.Now())
	}
}

// playCut runs an edge that is cut off for a time, after a time since its start, and calls check in short steps with the time since the end
// of the cut. Times of events are since the end of the cut, too.
func playCut(t *testing.T, kind cutKind, names []string, begin, length time.Duration, events map[time.Duration]func(*cutStore), check func(e *cutEdge, since time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(2 * time.Second)
		}()
		s := &cutStore{kind: kind, revision: 1, listed: map[string]bool{}}
		for _, name := range names {
			s.set(name, true)
		}
		e := &cutEdge{store: s, registry: replicas.NewRegistry()}
		go e.run(ctx)
		time.Sleep(5 * time.Second)
		end := time.Now().Add(begin + length)
		time.AfterFunc(begin, func() { s.setCut(true) })
		time.AfterFunc(begin+length, func() { s.setCut(false) })
		for at, event := range events {
			time.AfterFunc(time.Until(end)+at, func() { event(s) })
		}
		for time.Until(end) > -6*time.Second {
			check(e, -time.Until(end))
			time.Sleep(cutCheckStep)
		}
	})
}

// cutPhases calls f with each way, phase and length of a cut.
func cutPhases(f func(kind cutKind, begin, length time.Duration)) {
	for _, kind := range []cutKind{cutSilent, cutHeld, cutRefused} {
		for length := 300 * time.Millisecond; length < 8*time.Second; length += 370 * time.Millisecond {
			// The edge calls about every 700 ms.
			for begin := time.Duration(0); begin < 700*time.Millisecond; begin += 70 * time.Millisecond {
				f(kind, begin, length)
			}
		}
	}
}

// Guards against an edge that was cut off from the store, takes that for an outage, and goes on to send requests to replicas that have left, at
// each phase and length of the cut: the end of an outage was taken to be the first response after it, which comes up to 1.8 s later.
func TestReplicasThatLeaveAroundACutAreGivenUpInTime(t *testing.T) {
	left := map[string]time.Duration{}
	for _, at := range []int{-4000, -2000, -500, 0, 300, 600, 900, 1200, 1800, 2600} {
		left[fmt.Sprintf("r-%d", at)] = time.Duration(at) * time.Millisecond
	}
	plays, latest := 0, time.Duration(0)
	cutPhases(func(kind cutKind, begin, length time.Duration) {
		plays++
		events := map[time.Duration]func(*cutStore){}
		for name, at := range left {
			events[at] = func(s *cutStore) { s.set(name, false) }
		}
		late := map[string]time.Duration{}
		playCut(t, kind, append(slices.Collect(maps.Keys(left)), "stays"), begin, length, events, func(e *cutEdge, since time.Duration) {
			for name, at := range left {
				if _, used := e.registry.View().Get(name); !used {
					continue
				}
				if since > max(cutContact, at+cutDrainBound) {
					late[name] = since
				}
				if at <= cutContact-cutDrainBound {
					latest = max(latest, since)
				}
			}
		})
		if len(late) > 0 {
			t.Errorf("%s cut of %s that begins at %s: replicas that left are used until %v", kind, length, begin, late)
		}
	})
	t.Logf("%d cuts; a replica that left before %s was used until %s at the latest", plays, cutContact-cutDrainBound, latest)
}

// Guards against live replicas that lapsed in an outage of the store and are given up before they can be back.
func TestReplicasThatLapseInAnOutageAreKept(t *testing.T) {
	cutPhases(func(kind cutKind, begin, length time.Duration) {
		if length <= cutLapse {
			return
		}
		events := map[time.Duration]func(*cutStore){}
		returns := map[string]time.Duration{}
		for n := range 6 {
			name, back := fmt.Sprintf("r-%d", n), time.Duration(n)*cutReturn/5
			returns[name] = back
			events[cutLapse-length+time.Duration(n)] = func(s *cutStore) { s.set(name, false) }
			events[back+time.Duration(n)] = func(s *cutStore) { s.set(name, true) }
		}
		early := map[string]time.Duration{}
		playCut(t, kind, slices.Collect(maps.Keys(returns)), begin, length, events, func(e *cutEdge, since time.Duration) {
			for name, back := range returns {
				if _, used := e.registry.View().Get(name); !used && since < back && early[name] == 0 {
					early[name] = since
				}
			}
		})
		if len(early) > 0 {
			t.Errorf("%s outage of %s that begins at %s: live replicas are given up at %v", kind, length, begin, early)
		}
	})
}
