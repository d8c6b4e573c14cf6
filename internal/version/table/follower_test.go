package table

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
)

// zones is the number of availability zones of the fleet.
const zones = 6

// fleet is a group of followers with a common store and a simulated network.
type fleet struct {
	store *storetest.Memory
	ctx   context.Context
	wg    sync.WaitGroup

	mu      sync.Mutex
	nodes   map[string]*fleetNode
	members []Member
	random  *rand.Rand
	// loss is the share of announcements and calls that are lost.
	loss float64
	// partitioned reports whether two instances cannot communicate.
	partitioned func(a, b string) bool

	calls, announcements, bytes atomic.Int64
	forks                       atomic.Int64
}

type fleetNode struct {
	fleet     *fleet
	follower  *Follower
	stop      context.CancelFunc
	regressed atomic.Bool
	highest   atomic.Uint64
	storeDown atomic.Bool
}

var errLost = errors.New("peer unreachable")

func newFleet(ctx context.Context, size int) *fleet {
	f := &fleet{
		store: storetest.New(), ctx: ctx, nodes: map[string]*fleetNode{}, random: rand.New(rand.NewPCG(1, 2)),
		partitioned: func(string, string) bool { return false },
	}
	for i := range size {
		f.members = append(f.members, Member{Instance: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones)})
	}
	return f
}

func (f *fleet) startAll() {
	for _, m := range f.members {
		f.start(m)
	}
}

func (f *fleet) start(m Member) *fleetNode {
	n := &fleetNode{fleet: f}
	n.follower = NewFollower(FollowerOptions{
		Instance: m.Instance, Zone: m.Zone, Client: &fleetStore{Client: f.store, node: n},
		Peers: &fleetPeers{fleet: f, self: m.Instance}, Events: n,
	})
	ctx, stop := context.WithCancel(f.ctx)
	n.stop = stop
	f.mu.Lock()
	f.nodes[m.Instance] = n
	f.mu.Unlock()
	f.wg.Go(func() { n.follower.Run(ctx) })
	return n
}

func (f *fleet) kill(instance string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[instance].stop()
	delete(f.nodes, instance)
}

func (f *fleet) node(instance string) *fleetNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[instance]
}

// outdated returns the instances on which the version is not in force.
func (f *fleet) outdated(number uint64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name, n := range f.nodes {
		if n.follower.Number() != number {
			names = append(names, name)
		}
	}
	return names
}

// waitForVersion waits until the version is in force on every entry, and returns the time that this took.
func (f *fleet) waitForVersion(number uint64, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		outdated := f.outdated(number)
		if len(outdated) == 0 {
			return time.Since(start), nil
		}
		if time.Since(start) > limit {
			return 0, fmt.Errorf("after %v %d entries are not at version %d, among them %s at %d", limit, len(outdated), number,
				outdated[0], f.node(outdated[0]).follower.Number())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// publish publishes an edit through one entry. An empty instance stands for a process that crashes after the store accepted
// the edit and before it announces the version.
func (f *fleet) publish(instance string, weight int) (*Version, error) {
	known, offer := func() *Compiled { return nil }, func(*Version) {}
	if instance != "" {
		known, offer = f.node(instance).follower.Current, f.node(instance).follower.Offer
	}
	p := NewPublisher(f.store, known, offer)
	head, err := Log{Client: f.store}.Head(f.ctx, 0)
	if err != nil {
		return nil, err
	}
	base := &Version{}
	if head != nil {
		base = head
	}
	return p.Apply(f.ctx, Edit{Author: "furano", Base: base.Number, Rows: withRow(base.Rows, row(fmt.Sprintf("class-%d", weight%50), "furano", weight))})
}

func (n *fleetNode) TableInForce(c *Compiled, _ string) {
	for {
		old := n.highest.Load()
		if c.Number() < old {
			// Events of two versions may arrive out of order, but the version in force must not decrease.
			if n.follower.Number() < old {
				n.regressed.Store(true)
			}
			return
		}
		if n.highest.CompareAndSwap(old, c.Number()) {
			return
		}
	}
}
func (n *fleetNode) TableFailed(string, error)  {}
func (n *fleetNode) TableForked(string, uint64) { n.fleet.forks.Add(1) }

// fleetStore is the store client of one entry, which can be made unavailable.
type fleetStore struct {
	store.Client
	node *fleetNode
}

func (s *fleetStore) List(ctx context.Context, kind, prefix, after string, limit int) ([]store.Object, error) {
	if s.node.storeDown.Load() {
		return nil, store.ErrUnavailable
	}
	return s.Client.List(ctx, kind, prefix, after, limit)
}

func (s *fleetStore) Watch(ctx context.Context, kind string, after store.Position) ([]store.Object, store.Position, error) {
	if s.node.storeDown.Load() {
		return nil, after, store.ErrUnavailable
	}
	return s.Client.Watch(ctx, kind, after)
}

type fleetPeers struct {
	fleet *fleet
	self  string
}

func (p *fleetPeers) Members() []Member { return p.fleet.members }

// receiver returns the entry that receives a message to an instance, or nil if the message is lost.
func (p *fleetPeers) receiver(instance string) *fleetNode {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() < f.loss || f.partitioned(p.self, instance) {
		return nil
	}
	return f.nodes[instance]
}

func (p *fleetPeers) Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error) {
	if method != MethodFetch {
		return nil, fmt.Errorf("unknown method %q", method)
	}
	p.fleet.calls.Add(1)
	time.Sleep(time.Millisecond)
	n := p.receiver(instance)
	if n == nil {
		<-ctx.Done() // a lost message causes a timeout
		return nil, errLost
	}
	data, err := n.follower.HandleFetch(ctx, payload)
	time.Sleep(time.Millisecond)
	p.fleet.bytes.Add(int64(len(data) + len(payload)))
	return data, err
}

func (p *fleetPeers) Announce(instances []string, version uint64) {
	for _, instance := range instances {
		p.fleet.announcements.Add(1)
		n := p.receiver(instance)
		if n == nil {
			continue
		}
		p.fleet.wg.Go(func() {
			time.Sleep(time.Millisecond)
			n.follower.OnAnnounce(p.self, version)
		})
	}
}

// runFleet runs a test with a fleet in virtual time, and a benchmark in real time.
func runFleet(t testing.TB, size int, test func(f *fleet)) {
	run := func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		f := newFleet(ctx, size)
		defer f.wg.Wait()
		defer cancel()
		test(f)
		for name, n := range f.nodes {
			if n.regressed.Load() {
				t.Errorf("%s returned to an older version", name)
			}
		}
		if n := f.forks.Load(); n > 0 {
			t.Errorf("two entries had different rows under the same version number %d times", n)
		}
	}
	switch t := t.(type) {
	case *testing.T:
		synctest.Test(t, func(t *testing.T) { run(t.Context()) })
	default:
		run(context.Background())
	}
}

// inForceLimit is the longest allowed time from acceptance of a version until it is in force on all entries.
const inForceLimit = 10 * time.Second

// Guards against entries that receive a version too late if the store is slow, messages are lost or the publisher crashes
// right after acceptance.
func TestInForceEverywhereWithinTenSeconds(t *testing.T) {
	for _, test := range []struct {
		size  int
		delay time.Duration
		loss  float64
	}{
		{10, 0, 0}, {10, 3 * time.Second, 0.2}, {100, 3 * time.Second, 0.2}, {400, 0, 0}, {400, 3 * time.Second, 0.2},
	} {
		t.Run(fmt.Sprintf("%d_entries_delay_%v_loss_%v", test.size, test.delay, test.loss), func(t *testing.T) {
			runFleet(t, test.size, func(f *fleet) {
				if _, err := f.publish("", 1); err != nil {
					t.Fatal(err)
				}
				f.startAll()
				if _, err := f.waitForVersion(1, inForceLimit); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Second) // until watches are pending
				f.store.SetFaults(storetest.Faults{Delay: test.delay})
				f.mu.Lock()
				f.loss = test.loss
				f.mu.Unlock()
				for i, publisher := range []string{"entry-3", ""} {
					v, err := f.publish(publisher, 2+i)
					if err != nil {
						t.Fatal(err)
					}
					took, err := f.waitForVersion(v.Number, inForceLimit)
					if err != nil {
						t.Fatalf("publisher %q: %v", publisher, err)
					}
					t.Logf("publisher %q: in force everywhere after %v", publisher, took)
				}
			})
		})
	}
}

// Guards against an entry that cannot start during a store outage, or that starts with an older version than a peer has.
func TestStartDuringStoreOutageUsesHighestPeerVersion(t *testing.T) {
	runFleet(t, 12, func(f *fleet) {
		f.startAll()
		for i := range 3 {
			if _, err := f.publish("entry-1", 1+i); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := f.waitForVersion(3, inForceLimit); err != nil {
			t.Fatal(err)
		}
		f.kill("entry-7")
		f.store.SetFaults(storetest.Faults{Outage: true})
		n := f.start(Member{Instance: "entry-7", Zone: "zone-1"})
		start := time.Now()
		<-n.follower.Ready()
		if n.follower.Number() != 3 {
			t.Errorf("started with version %d, peers have 3", n.follower.Number())
		}
		t.Logf("in force after %v", time.Since(start))
	})
}

// Guards against entries that remain outdated if all watchers of their zone have failed but are still in the member list,
// or if they can reach the store but no peer.
func TestFailedWatchersAndIsolatedEntry(t *testing.T) {
	runFleet(t, 60, func(f *fleet) {
		if _, err := f.publish("", 1); err != nil {
			t.Fatal(err)
		}
		f.startAll()
		if _, err := f.waitForVersion(1, inForceLimit); err != nil {
			t.Fatal(err)
		}
		for _, w := range zoneWatchers(f.members, "zone-2") {
			f.kill(w)
		}
		f.mu.Lock()
		f.partitioned = func(a, b string) bool { return a == "entry-9" || b == "entry-9" }
		f.mu.Unlock()
		if _, err := f.publish("", 2); err != nil {
			t.Fatal(err)
		}
		took, err := f.waitForVersion(2, inForceLimit)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("in force everywhere after %v", took)
	})
}

// Guards against a region that remains on its old version after the end of a partition from the other entries and the store.
func TestPartitionedRegionCatchesUp(t *testing.T) {
	runFleet(t, 60, func(f *fleet) {
		if _, err := f.publish("", 1); err != nil {
			t.Fatal(err)
		}
		f.startAll()
		if _, err := f.waitForVersion(1, inForceLimit); err != nil {
			t.Fatal(err)
		}
		region := map[string]bool{}
		f.mu.Lock()
		for _, m := range f.members {
			if strings.Compare(m.Zone, "zone-3") >= 0 {
				region[m.Instance] = true
				f.nodes[m.Instance].storeDown.Store(true)
			}
		}
		f.partitioned = func(a, b string) bool { return region[a] != region[b] }
		f.mu.Unlock()
		for i := range 40 { // more than maxRecentVersions
			if _, err := f.publish("", 2+i); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(3 * time.Minute)
		if got := len(f.outdated(41)); got != len(region) {
			t.Errorf("%d entries are outdated during the partition, want the %d of the region", got, len(region))
		}
		f.mu.Lock()
		f.partitioned = func(string, string) bool { return false }
		for name := range region {
			f.nodes[name].storeDown.Store(false)
		}
		f.mu.Unlock()
		took, err := f.waitForVersion(41, inForceLimit)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("version in force in the region after %v", took)
	})
}

// Guards against store calls and peer traffic beyond the budget of a large fleet.
func TestStoreAndPeerTraffic(t *testing.T) {
	const size, minutes = 360, 1
	runFleet(t, size, func(f *fleet) {
		if _, err := f.publish("", 1); err != nil {
			t.Fatal(err)
		}
		f.startAll()
		if _, err := f.waitForVersion(1, inForceLimit); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		before, calls, announcements, bytes := f.store.Counts(), f.calls.Load(), f.announcements.Load(), f.bytes.Load()
		start := time.Now()
		const editsPerDay = 31000
		edits := 0
		for time.Since(start) < minutes*time.Minute {
			if _, err := f.publish(fmt.Sprintf("entry-%d", edits%size), 2+edits%900); err != nil {
				t.Fatal(err)
			}
			edits++
			time.Sleep(24 * time.Hour / editsPerDay)
		}
		seconds := time.Since(start).Seconds()
		after := f.store.Counts()
		// Store reads are not compared: this test's publisher searches the head from version 0 each time, unlike an entry.
		watches := float64(after.Watches-before.Watches) / seconds
		perNode := float64(f.bytes.Load()-bytes) * 2 / size / seconds
		t.Logf("%d edits: %.1f watches/s, %.2f store writes/s, per entry %.2f calls/s, %.2f announcements/s, %.0f B/s of payload",
			edits, watches, float64(after.Writes-before.Writes)/seconds, float64(f.calls.Load()-calls)/size/seconds,
			float64(f.announcements.Load()-announcements)/size/seconds, perNode)
		if watches > 10 {
			t.Errorf("%.1f watches/s, want 10 or less", watches)
		}
		if perNode > 2000 {
			t.Errorf("%.0f B/s of payload per entry, want 2000 or less of the 8 KB/s for all control traffic", perNode)
		}
	})
}

// BenchmarkInForceEverywhere measures the real time from acceptance until the version is in force on all entries.
func BenchmarkInForceEverywhere(b *testing.B) {
	for _, size := range []int{10, 100, 400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			runFleet(b, size, func(f *fleet) {
				f.startAll()
				if _, err := f.publish("", 1); err != nil {
					b.Fatal(err)
				}
				if _, err := f.waitForVersion(1, inForceLimit); err != nil {
					b.Fatal(err)
				}
				b.ResetTimer()
				for i := range b.N {
					v, err := f.publish("entry-3", 2+i%900)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := f.waitForVersion(v.Number, inForceLimit); err != nil {
						b.Fatal(err)
					}
				}
			})
		})
	}
}
