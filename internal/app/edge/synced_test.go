package edge

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// fakeList is a store with one list. It returns ErrUnavailable to clients whose number is below refusedClients.
type fakeList struct {
	store.Client
	mu             sync.Mutex
	writes         []store.Object
	calls          int
	refusedClients int
}

func (l *fakeList) write(name, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes = append(l.writes, store.Object{Name: name, Value: []byte(value), Revision: uint64(len(l.writes) + 1)})
}

// listClient is the store client of one process. A watch takes 5 ms.
type listClient struct {
	*fakeList
	number int
}

func (c *listClient) Watch(ctx context.Context, _ string, after uint64) ([]store.Object, uint64, error) {
	time.Sleep(5 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.number < c.refusedClients {
		return nil, after, store.ErrUnavailable
	}
	at := uint64(len(c.writes))
	return append([]store.Object(nil), c.writes[min(after, at):]...), at, ctx.Err()
}

// follower is the part of an edge that watches the list.
type follower struct {
	registry *replicas.Registry
	synced   syncTracker
	feed     *store.Feed
}

func newFollower(list *fakeList, number int, share bool) *follower {
	f := &follower{registry: replicas.NewRegistry()}
	change := func(o store.Object) replicas.Change {
		return replicas.Change{ID: o.Name, Replica: &replicas.Replica{ID: o.Name, Address: string(o.Value)}}
	}
	apply := func(objects []store.Object) {
		for _, o := range objects {
			if f.registry.Apply([]replicas.Change{change(o)}, time.Now()) {
				f.synced.onChange()
			}
		}
	}
	f.feed = &store.Feed{
		Client: &listClient{fakeList: list, number: number}, MinInterval: 700 * time.Millisecond, OnObjects: apply,
		OnGap: func(context.Context) error {
			list.mu.Lock()
			defer list.mu.Unlock()
			var changes []replicas.Change
			for _, o := range list.writes {
				changes = append(changes, change(o))
			}
			f.synced.onList(f.registry.Apply(changes, time.Now()))
			return nil
		},
		OnSynced: f.synced.onSynced,
	}
	if share {
		f.feed.StaggerDelay = func() time.Duration { return staggerDelay(number, staggerStep(80*time.Millisecond), 2*time.Second) }
	}
	return f
}

// startFollowers starts n followers. With share set, they exchange their synced ranges every 80 ms.
func startFollowers(ctx context.Context, list *fakeList, n int, share bool) []*follower {
	all := make([]*follower, n)
	for i := range all {
		all[i] = newFollower(list, i, share)
		go all[i].feed.Run(ctx)
	}
	go func() {
		for share && ctx.Err() == nil {
			time.Sleep(80 * time.Millisecond)
			now := time.Now()
			for _, from := range all {
				synced := from.synced.snapshot(now)
				for _, to := range all {
					to.feed.CatchUp(synced.LastChange)
					to.feed.Advance(synced.From, synced.To, now.Add(-time.Duration(synced.AgeMs)*time.Millisecond))
				}
			}
		}
	}()
	return all
}

// simulateRenewals renews 50 entries for 30 s, changes the address of one of them every 5 s, and returns the number of store
// calls and the longest time until all followers have the new address.
func simulateRenewals(t *testing.T, edges, refused int, share bool) (calls int, longest time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		list := &fakeList{refusedClients: refused}
		for i := range 50 {
			list.write(fmt.Sprintf("r-%d", i), "first")
		}
		all := startFollowers(ctx, list, edges, share)
		time.Sleep(3 * time.Second)
		list.mu.Lock()
		list.calls = 0
		list.mu.Unlock()
		for step := range 6 * 200 {
			time.Sleep(25 * time.Millisecond)
			list.write(fmt.Sprintf("r-%d", step%49+1), "first")
			if step%200 != 100 {
				continue
			}
			address := fmt.Sprintf("moved-%d", step)
			list.write("r-0", address)
			longest = max(longest, waitForAddress(t, all[refused:], address))
		}
		list.mu.Lock()
		calls = list.calls
		list.mu.Unlock()
		cancel()
		time.Sleep(time.Second) // wait until all followers have returned
	})
	return calls, longest
}

// waitForAddress waits until all followers have the address for entry r-0, and returns the time it took.
func waitForAddress(t *testing.T, all []*follower, address string) time.Duration {
	t.Helper()
	began := time.Now()
	for _, f := range all {
		for {
			if r, ok := f.registry.View().Get("r-0"); ok && r.Address == address {
				break
			}
			if time.Since(began) > 10*time.Second {
				t.Fatalf("a follower does not have address %q after 10 s", address)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// Guards against store calls that grow with the number of edges times the number of writes, where nearly all writes only
// renew an entry, and against changes that reach an edge too late, including when the store refuses the edges that call
// first.
func TestRenewalsAreReadOnce(t *testing.T) {
	const ms = time.Millisecond
	// A change is read within the minimum watch interval (700 ms) and reported within a report interval (80 ms).
	for _, tracker := range []struct {
		edges, refused, maxCalls int
		maxDelay                 time.Duration
	}{{1, 0, 60, 900 * ms}, {22, 0, 250, 900 * ms}, {22, 2, 300, 1200 * ms}, {100, 0, 800, 900 * ms}} {
		calls, longest := simulateRenewals(t, tracker.edges, tracker.refused, true)
		if calls > tracker.maxCalls {
			t.Errorf("%d edges, %d refused: %d calls in 30 s, want at most %d", tracker.edges, tracker.refused, calls, tracker.maxCalls)
		}
		if longest > tracker.maxDelay {
			t.Errorf("%d edges, %d refused: a change took %s, want at most %s", tracker.edges, tracker.refused, longest, tracker.maxDelay)
		}
	}
	if calls, _ := simulateRenewals(t, 22, 0, false); calls < 900 {
		t.Errorf("22 edges that share no synced ranges make %d calls, want at least 900: the simulation does not show the difference", calls)
	}
}

// Guards against an edge that learns of a draining replica after the platform's bound, where that is tighter than in the
// published deployment specifications: the minimum watch interval and the longest stagger delay leave four tenths of the
// bound for the call.
func TestWatchIntervalAndStaggerDelayFitBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		longest := minWatchInterval(700*time.Millisecond, bound) + staggerDelay(1000, staggerStep(time.Second), bound)
		if longest > bound*6/10 {
			t.Errorf("bound %s: an edge may wait %s before it calls the store", bound, longest)
		}
	}
	if got := minWatchInterval(700*time.Millisecond, 0); got != 700*time.Millisecond {
		t.Errorf("minimum watch interval %s without a bound, want the configured 700 ms", got)
	}
}

// Guards against a synced range that includes writes which a list already contained: the watch that delivers them again
// changes nothing at the edge that listed, but other edges don't have them.
func TestListDoesNotExtendSyncedRange(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := &syncTracker{}
	tracker.onList(true)
	tracker.onSynced(10, now)
	tracker.onSynced(20, now) // writes 11 to 20 were in the list
	if synced := tracker.snapshot(now); synced.From != 20 || synced.LastChange != 0 {
		t.Errorf("after the first list: %+v, want From 20, LastChange 0", synced)
	}
	tracker.onSynced(30, now)
	if synced := tracker.snapshot(now); synced.From != 20 || synced.To != 30 {
		t.Errorf("after renewals: %+v, want From 20, To 30", synced)
	}
	tracker.onChange()
	tracker.onSynced(40, now)
	if synced := tracker.snapshot(now); synced.From != 40 || synced.LastChange != 40 {
		t.Errorf("after a change: %+v, want From 40, LastChange 40", synced)
	}
	tracker.onList(true)
	tracker.onSynced(50, now)
	tracker.onSynced(60, now)
	if synced := tracker.snapshot(now.Add(time.Second)); synced.From != 60 || synced.LastChange != 50 || synced.AgeMs != 1000 {
		t.Errorf("after a list with changes: %+v, want From 60, LastChange 50, AgeMs 1000", synced)
	}
}
