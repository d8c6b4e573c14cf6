package edge

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// fakeList is a store with one list. It returns ErrUnavailable to clients whose number is below refusedClients.
type fakeList struct {
	store.Client
	mu             sync.Mutex
	writes         []store.Object
	calls          int
	refusedClients int
	// lastCall is the time of the latest call, and longestPause the longest time between two calls.
	lastCall     time.Time
	longestPause time.Duration
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

func (c *listClient) Watch(ctx context.Context, _ string, after store.Position) ([]store.Object, store.Position, error) {
	time.Sleep(5 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.longestPause, c.lastCall = max(c.longestPause, time.Since(c.lastCall)), time.Now()
	if c.number < c.refusedClients {
		return nil, after, store.ErrUnavailable
	}
	at := uint64(len(c.writes))
	return append([]store.Object(nil), c.writes[min(after.Revision, at):]...), store.Position{Revision: at}, ctx.Err()
}

// fleet is a number of followers that send each other updates and reports.
type fleet struct {
	list    *fakeList
	members []*member
	// lossEvery is the number of updates of which one is lost, or 0.
	lossEvery int
	sent      atomic.Int64
	// stopped is the number of edges before the first member.
	stopped int
	// deaf gets nothing from the other members; it may be nil.
	deaf atomic.Pointer[member]
}

// member is the part of an edge that follows the list.
type member struct {
	*followed
	registry *replicas.Registry
	pending  assembly
	failing  atomic.Bool
}

func (c *fleet) newMember(number int, share bool) *member {
	m := &member{followed: &followed{}, registry: replicas.NewRegistry()}
	decode := func(objects []store.Object) []replicas.Change {
		var changes []replicas.Change
		for _, o := range objects {
			changes = append(changes, replicas.Change{ID: o.Name, Revision: o.Revision, Replica: &replicas.Replica{ID: o.Name, Address: string(o.Value)}})
		}
		return changes
	}
	m.feed = &store.Feed{
		Client: &listClient{fakeList: c.list, number: number}, MinInterval: 700 * time.Millisecond, Poll: true, MaxRetryDelay: maxStoreRetryDelay,
		OnObjects: func(objects []store.Object) {
			if m.changes = m.registry.Apply(decode(objects), time.Now()); len(m.changes) > 0 {
				m.synced.onChange()
			}
		},
		OnGap: func(context.Context) error {
			c.list.mu.Lock()
			defer c.list.mu.Unlock()
			m.synced.onList(len(m.registry.Apply(decode(c.list.writes), time.Now())) > 0, time.Now())
			return nil
		},
		OnSynced: func(from, to store.Position, began time.Time) {
			if updates := m.synchronized(replicaObjects, from, to, began); share {
				c.publish(m, updates)
			}
		},
	}
	if share {
		m.feed.OnError, m.feed.OnResponse = func(error) { m.failing.Store(true) }, func() { m.failing.Store(false) }
		m.feed.StaggerDelay = func() time.Duration { return staggerDelay(c.rank(m), 2*time.Second) }
	}
	return m
}

// rank returns the number of members before m, as gossip.Node.Rank does.
func (c *fleet) rank(m *member) int {
	rank := c.stopped // the others don't know yet that these have stopped
	for _, other := range c.members {
		if other == m {
			break
		}
		if m.failing.Load() || !other.failing.Load() {
			rank++
		}
	}
	return rank
}

// publish delivers updates to the other members after 5 ms, except those that are lost.
func (c *fleet) publish(from *member, updates []update) {
	for i := range updates {
		updates[i].Synced = from.synced.snapshot(time.Now())
	}
	for _, to := range c.members {
		if to == from || to == c.deaf.Load() {
			continue
		}
		for _, u := range updates {
			if n := int(c.sent.Add(1)); c.lossEvery > 0 && n%c.lossEvery == 0 {
				continue
			}
			time.AfterFunc(5*time.Millisecond, func() {
				if changes, complete := to.pending.add(netip.Addr{}, &u); complete {
					to.apply(&u, changes, to.registry, time.Now(), func() {})
				}
			})
		}
	}
}

// start starts the members from the given number on. With share set, they exchange updates, and their synced ranges every
// 80 ms.
func (c *fleet) start(ctx context.Context, edges, stopped int, share bool) {
	for i := range edges {
		c.members = append(c.members, c.newMember(i, share))
	}
	c.members, c.stopped = c.members[stopped:], stopped
	for _, m := range c.members {
		go m.feed.Run(ctx)
	}
	go func() {
		for share && ctx.Err() == nil {
			time.Sleep(80 * time.Millisecond)
			now := time.Now()
			for _, from := range c.members {
				for _, to := range c.members {
					if to == c.deaf.Load() {
						continue
					}
					to.applySyncedRange(from.synced.snapshot(now), to.registry, now)
				}
			}
		}
	}()
}

// renewals is a simulation of edges that follow a list of 50 entries, which are renewed for 30 s.
type renewals struct {
	edges int
	// refused is the number of edges whose calls fail, and lossEvery the number of updates of which one is lost.
	refused, lossEvery int
	alone              bool
}

// run changes the address of an entry every 5 s, and returns the number of store calls and the longest time until all edges
// whose calls succeed have the new address, or all edges with everywhere set.
func (r renewals) run(t *testing.T, everywhere bool) (calls int, longest time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		list := &fakeList{}
		for i := range 50 {
			list.write(fmt.Sprintf("r-%d", i), "first")
		}
		c := &fleet{list: list, lossEvery: r.lossEvery}
		c.start(ctx, r.edges, 0, !r.alone)
		time.Sleep(3 * time.Second)
		list.mu.Lock()
		list.calls, list.refusedClients = 0, r.refused
		list.mu.Unlock()
		awaited := c.members[r.refused:]
		if everywhere {
			awaited = c.members
		}
		for step := range 6 * 200 {
			time.Sleep(25 * time.Millisecond)
			list.write(fmt.Sprintf("r-%d", step%49+1), "first")
			if step%200 != 100 {
				continue
			}
			address := fmt.Sprintf("moved-%d", step)
			list.write("r-0", address)
			longest = max(longest, waitForAddress(t, awaited, address))
		}
		list.mu.Lock()
		calls = list.calls
		list.mu.Unlock()
		cancel()
		time.Sleep(2 * time.Second) // wait until all members have returned
	})
	return calls, longest
}

// waitForAddress waits until all members have the address for entry r-0, and returns the time it took.
func waitForAddress(t *testing.T, all []*member, address string) time.Duration {
	t.Helper()
	began := time.Now()
	for _, f := range all {
		for {
			if r, ok := f.registry.View().Get("r-0"); ok && r.Address == address {
				break
			}
			if time.Since(began) > 10*time.Second {
				t.Fatalf("a member does not have address %q after 10 s", address)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// Guards against store calls that grow with the number of edges, for renewals and for changes, and against changes that reach
// an edge too late, including when the store refuses the edges that call first and when updates are lost.
func TestListIsReadOnceForAllEdges(t *testing.T) {
	const ms = time.Millisecond
	// A change is read within the minimum watch interval (700 ms). Without a loss, 30 s take 43 polls; the bound for 100 edges
	// is a quarter of the 641 calls that were made when only renewals were read once.
	for _, c := range []struct {
		renewals
		maxCalls   int
		maxDelay   time.Duration
		everywhere bool
	}{
		{renewals{edges: 1}, 60, 900 * ms, true},
		{renewals{edges: 22}, 60, 900 * ms, true},
		{renewals{edges: 22, refused: 2}, 160, 1200 * ms, false},
		{renewals{edges: 22, lossEvery: 40}, 120, 1000 * ms, true},
		{renewals{edges: 100}, 160, 900 * ms, true},
		// Edges that the store refuses get the changes from the others, within the tightest published bound.
		{renewals{edges: 40, refused: 14}, 700, 2 * time.Second, true},
	} {
		calls, longest := c.run(t, c.everywhere)
		if calls > c.maxCalls {
			t.Errorf("%+v: %d calls in 30 s, want at most %d", c.renewals, calls, c.maxCalls)
		}
		if longest > c.maxDelay {
			t.Errorf("%+v: a change took %s, want at most %s", c.renewals, longest, c.maxDelay)
		}
	}
	if calls, _ := (renewals{edges: 22, alone: true}).run(t, true); calls < 900 {
		t.Errorf("22 edges that share nothing make %d calls, want at least 900: the simulation does not show the difference", calls)
	}
}

// Guards against store calls that grow with the number of edges while nothing is written, and against state that gets too
// old: one of the edges polls every 0.7 s, including when the edges that would poll first have stopped.
func TestPollsDoNotGrowWithEdges(t *testing.T) {
	for _, c := range []struct{ edges, stopped int }{{1, 0}, {4, 0}, {24, 0}, {24, 2}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			list := &fakeList{}
			list.write("r-0", "first")
			f := &fleet{list: list}
			f.start(ctx, c.edges, c.stopped, true)
			time.Sleep(3 * time.Second)
			list.mu.Lock()
			list.calls, list.longestPause, list.lastCall = 0, 0, time.Now()
			list.mu.Unlock()
			time.Sleep(time.Minute)
			list.mu.Lock()
			calls, longest := list.calls, list.longestPause
			list.mu.Unlock()
			if calls > 90 || longest > 1300*time.Millisecond {
				t.Errorf("%d edges, %d stopped: %d calls in 60 s, longest interval %s", c.edges, c.stopped, calls, longest)
			}
			cancel()
			time.Sleep(2 * time.Second)
		})
	}
}

// Guards against an edge that missed the update of a changed configuration and continues after it with the next update, whose
// revisions span several calls. A hunted day (cornemuse-breizh-grown, hunt-1035-3) kept an old configuration for 14 s.
func TestConfigurationChangeIsNotSkipped(t *testing.T) {
	for _, c := range []struct {
		lastChange uint64
		want       bool
	}{{5, true}, {10, true}, {30, false}, {50, false}} {
		u := update{Kind: configurationObjects, From: 10, To: 50, Synced: gossip.SyncedRange{From: c.lastChange, To: 50, LastChange: c.lastChange}}
		if got := u.complete(); got != c.want {
			t.Errorf("change at revision %d, update from 10 to 50: complete %t, want %t", c.lastChange, got, c.want)
		}
	}
}

// Guards against an update that is applied by an edge which has not read the writes before it, against parts of one call that
// are applied without the others, and against an older write that replaces a newer one.
func TestUpdatesAreAppliedWholeAndInOrder(t *testing.T) {
	var changes []replicas.Change
	for i := range 25 {
		id := fmt.Sprintf("r-%d", i)
		changes = append(changes, replicas.Change{ID: id, Revision: uint64(101 + i), Replica: &replicas.Replica{ID: id, Service: "s", Address: "10.0.0.1:1"}})
	}
	updates := newUpdates(replicaObjects, 100, 200, changes)
	if len(updates) != 3 {
		t.Fatalf("%d updates for 25 changes, want 3", len(updates))
	}
	var a assembly
	now := time.Unix(1000, 0)
	for i, u := range []update{updates[2], updates[0], updates[0], updates[1]} {
		got, complete := a.add(netip.Addr{}, &u)
		if complete != (i == 3) {
			t.Errorf("update %d: complete %t", i, complete)
		}
		if complete && (len(got) != 25 || got[0].ID != "r-0" || got[24].ID != "r-24") {
			t.Errorf("%d changes, want 25 in order", len(got))
		}
	}
	if many := newUpdates(replicaObjects, 100, 200, make([]replicas.Change, 1000)); len(many) != 1 || many[0].From != 200 {
		t.Error("changes that don't fit into the updates of a call must be read from the store")
	}
	registry := replicas.NewRegistry()
	registry.Apply(changes[:1], now)
	if old := registry.Apply([]replicas.Change{{ID: "r-0", Revision: 50}}, now); len(old) != 0 || registry.View().Len() != 1 {
		t.Error("an older write replaced a newer one")
	}
}

// Guards against an edge that learns of a draining replica after the platform's bound, where that is tighter than in the
// published deployment specifications: the minimum watch interval and the longest stagger delay leave four tenths of the
// bound for the call.
func TestWatchIntervalAndStaggerDelayFitBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		longest := minWatchInterval(700*time.Millisecond, bound) + staggerDelay(1000, bound)
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
	tracker.onList(true, now)
	tracker.onSynced(store.Position{Revision: 10}, now)
	tracker.onSynced(store.Position{Revision: 20}, now) // writes 11 to 20 were in the list
	if synced := tracker.snapshot(now); synced.From != 20 || synced.LastChange != 0 {
		t.Errorf("after the first list: %+v, want From 20, LastChange 0", synced)
	}
	tracker.onSynced(store.Position{Revision: 30}, now)
	if synced := tracker.snapshot(now); synced.From != 20 || synced.To != 30 {
		t.Errorf("after renewals: %+v, want From 20, To 30", synced)
	}
	tracker.onChange()
	tracker.onSynced(store.Position{Revision: 40}, now)
	if synced := tracker.snapshot(now); synced.From != 40 || synced.LastChange != 40 {
		t.Errorf("after a change: %+v, want From 40, LastChange 40", synced)
	}
	tracker.onList(true, now)
	tracker.onSynced(store.Position{Revision: 50}, now)
	tracker.onSynced(store.Position{Revision: 60}, now)
	if synced := tracker.snapshot(now.Add(time.Second)); synced.From != 60 || synced.LastChange != 50 || synced.AgeMs != 1000 {
		t.Errorf("after a list with changes: %+v, want From 60, LastChange 50, AgeMs 1000", synced)
	}
}

// Guards against a change of the list that an edge never gets: it missed the update, and continues after the change with the synced range
// of an edge that got the change in an update and has begun to poll since.
func TestChangeFromAnUpdateIsNotInTheSyncedRange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		list := &fakeList{}
		for i := range 5 {
			list.write(fmt.Sprintf("r-%d", i), "first")
		}
		c := &fleet{list: list}
		c.start(ctx, 3, 0, true)
		refused, next := c.members[0], c.members[2]
		renew := func(d time.Duration) {
			for range d / (25 * time.Millisecond) {
				time.Sleep(25 * time.Millisecond)
				list.write("r-1", "first")
			}
		}
		renew(4 * time.Second)
		list.mu.Lock()
		list.refusedClients = 1
		list.mu.Unlock()
		renew(2 * time.Second) // the poller polls for all
		c.deaf.Store(refused)
		list.write("r-0", "moved")
		renew(time.Second)
		if r, _ := next.registry.View().Get("r-0"); r == nil || r.Address != "moved" {
			t.Fatal("the update did not reach the next edge")
		}
		list.mu.Lock()
		list.refusedClients = 2 // the poller too, so that the next edge polls
		list.mu.Unlock()
		renew(6 * time.Second) // recent updates don't contain the change any more
		c.deaf.Store(nil)
		renew(3 * time.Second)
		list.mu.Lock()
		list.refusedClients = 0
		list.mu.Unlock()
		renew(3 * time.Second)
		if r, _ := refused.registry.View().Get("r-0"); r == nil || r.Address != "moved" {
			t.Errorf("the edge that missed the update has %+v", r)
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// Guards against parts of two calls that read up to the same revision and are put together as one update: changes of the first part
// would be missing.
func TestPartsOfTwoCallsAreNotPutTogether(t *testing.T) {
	sender := netip.MustParseAddr("10.0.0.1")
	part := func(from uint64, part uint8, id string) *update {
		return &update{Kind: replicaObjects, From: from, To: 10, Part: part, Parts: 2, Changes: []replicaChange{{ID: id, Removed: true}}}
	}
	var a assembly
	for _, u := range []*update{part(1, 0, "a"), part(3, 1, "b")} {
		if changes, complete := a.add(sender, u); complete {
			t.Errorf("parts of two calls are applied as one: %v", changes)
		}
	}
	changes, complete := a.add(sender, part(3, 0, "c"))
	if !complete || len(changes) != 2 || changes[0].ID != "c" || changes[1].ID != "b" {
		t.Errorf("got %v, complete %t, want both parts of the later call", changes, complete)
	}
}

// Guards against an edge that tells the others of no change between two revisions although its poll has read a configuration there: it
// had got the same one from another edge meanwhile.
func TestConfigurationKnownBeforeItsPollIsAChange(t *testing.T) {
	e := &Edge{registry: replicas.NewRegistry(), deps: Deps{Source: Source{
		ConfigurationKind: "config", ConfigurationName: "main",
		Configuration: func(o store.Object) (*routes.Version, error) { return &routes.Version{Number: o.Version}, nil },
	}}}
	e.exchange = newConfigurationExchange(e)
	e.routes.Offer(&routes.Version{Number: 2}) // from another edge
	f := e.followConfiguration()
	now := time.Now()
	f.synced.onSynced(store.Position{Revision: 10}, now)
	f.feed.OnObjects([]store.Object{{Name: "main", Version: 2, Revision: 15}})
	f.synced.onSynced(store.Position{Revision: 20}, now)
	f.synced.onSynced(store.Position{Revision: 30}, now)
	if synced := f.synced.snapshot(now); synced.LastChange < 15 || synced.From < 15 {
		t.Errorf("a configuration at revision 15 was read; the other edges are told of %+v", synced)
	}
}
