package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
)

// hearing is how long edges need to hear each other once one of them contacts the other.
const hearing = 100 * time.Millisecond

// edgeNetwork is a network of edges without seeds that find each other by a store. Edges that hear each other tell each other of all others.
type edgeNetwork struct {
	t     *testing.T
	store *storetest.Memory
	// running are the goroutines of the network and the edges.
	running sync.WaitGroup

	mu    sync.Mutex
	edges map[netip.Addr]*networkEdge
	// spreading is set while edges still hear of others.
	spreading bool
	// cut reports whether two edges can't reach each other; it may be nil.
	cut func(a, b netip.Addr) bool
}

type networkEdge struct {
	*discovery
	stop  context.CancelFunc
	heard map[netip.Addr]bool
	tried []netip.Addr
	alone []bool
}

func newEdgeNetwork(t *testing.T) *edgeNetwork {
	n := &edgeNetwork{t: t, store: storetest.New(), edges: map[netip.Addr]*networkEdge{}}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		n.running.Wait()
	})
	n.running.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(hearing)
			n.exchange()
		}
	})
	return n
}

// exchange lets the edges hear those that they contact, and those that these hear.
func (n *edgeNetwork) exchange() {
	n.mu.Lock()
	defer n.mu.Unlock()
	reach := func(a, b netip.Addr) bool { return n.edges[b] != nil && (n.cut == nil || !n.cut(a, b)) }
	changed := false
	hear := func(a, b netip.Addr) {
		if e := n.edges[a]; a != b && !e.heard[b] && reach(a, b) {
			e.heard[b], n.edges[b].heard[a], changed = true, true, true
		}
	}
	for a, e := range n.edges {
		for b := range e.heard {
			if !reach(a, b) {
				delete(e.heard, b)
			}
		}
		for _, b := range e.tried {
			hear(a, b)
		}
	}
	if !changed && !n.spreading {
		return
	}
	changed = false
	for a, e := range n.edges {
		for b := range e.heard {
			for c := range n.edges[b].heard {
				hear(a, c)
			}
		}
	}
	n.spreading = changed
}

func edgeAddress(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}) }

func (n *edgeNetwork) start(number int) {
	ctx, stop := context.WithCancel(context.Background())
	self := edgeAddress(number)
	e := &networkEdge{stop: stop, heard: map[netip.Addr]bool{}}
	live := func() []netip.Addr {
		n.mu.Lock()
		defer n.mu.Unlock()
		var list []netip.Addr
		for a := range e.heard {
			list = append(list, a)
		}
		return list
	}
	e.discovery = &discovery{
		client: n.store, self: self, live: live, logError: func(error) {},
		isFirst: func() bool { return !slices.ContainsFunc(live(), func(a netip.Addr) bool { return a.Less(self) }) },
		contact: func(list []netip.Addr) {
			n.mu.Lock()
			defer n.mu.Unlock()
			e.tried = list
		},
		onAlone: func(alone bool, _ int) { e.alone = append(e.alone, alone) },
	}
	n.mu.Lock()
	n.edges[self] = e
	n.mu.Unlock()
	n.running.Go(func() { e.run(ctx) })
	n.t.Cleanup(stop)
}

func (n *edgeNetwork) end(number int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.edges[edgeAddress(number)].stop()
	delete(n.edges, edgeAddress(number))
}

// connected reports whether each edge hears all others.
func (n *edgeNetwork) connected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.edges {
		if len(e.heard) != len(n.edges)-1 {
			return false
		}
	}
	return true
}

// within fails unless all edges hear each other within the time.
func (n *edgeNetwork) within(limit time.Duration) {
	n.t.Helper()
	for range int(limit / hearing) {
		if n.connected() {
			return
		}
		time.Sleep(hearing)
	}
	if !n.connected() {
		n.t.Errorf("%d edges don't hear each other within %s", len(n.edges), limit)
	}
}

func (n *edgeNetwork) calls() int {
	c := n.store.Counts()
	return int(c.Reads + c.Writes)
}

func (n *edgeNetwork) putRoster(addresses ...netip.Addr) {
	value, err := json.Marshal(roster{Addresses: addresses})
	if err == nil {
		_, err = n.store.Create(n.t.Context(), rosterKind, rosterName, value)
	}
	if err != nil {
		n.t.Fatal(err)
	}
}

// findTime is how long edges may need to find each other by a store that is up: the settling, two contacts and a conflict.
const findTime = 5 * time.Second

// Guards against edges that never find each other because no seed is up, and against calls to the store that grow with the fleet.
func TestEdgesFindEachOtherByTheStore(t *testing.T) {
	for name, play := range map[string]func(n *edgeNetwork){
		"three": func(n *edgeNetwork) {
			for number := range 3 {
				n.start(number)
				time.Sleep(300 * time.Millisecond)
			}
			n.within(findTime)
		},
		"60 at once": func(n *edgeNetwork) {
			for number := range 60 {
				n.start(number)
			}
			n.within(findTime)
			if calls := n.calls(); calls > 3*60 {
				n.t.Errorf("%d calls", calls)
			}
			before := n.calls()
			time.Sleep(10 * time.Minute)
			if calls := n.calls() - before; calls > 2*10*2 {
				n.t.Errorf("%d calls in 10 minutes of 60 edges", calls)
			}
		},
		"one alone": func(n *edgeNetwork) {
			n.start(1)
			time.Sleep(time.Minute)
			before := n.calls()
			time.Sleep(10 * time.Minute)
			if calls := n.calls() - before; calls > 2*10 {
				n.t.Errorf("%d calls in 10 minutes of an edge", calls)
			}
		},
		"all replaced at once": func(n *edgeNetwork) {
			for number := range 3 {
				n.start(100 + number)
			}
			n.within(findTime)
			for number := range 3 {
				n.end(100 + number)
			}
			for number := range 3 {
				n.start(number)
				time.Sleep(200 * time.Millisecond)
			}
			n.within(findTime)
		},
		"replaced one by one": func(n *edgeNetwork) {
			for number := range 3 {
				n.start(100 + number)
			}
			n.within(findTime)
			for number := range 3 {
				n.end(100 + number)
				n.start(number)
				n.within(findTime)
			}
		},
		"the store away": func(n *edgeNetwork) {
			n.store.SetFaults(storetest.Faults{Outage: true})
			for number := range 3 {
				n.start(number)
			}
			time.Sleep(2 * time.Minute)
			n.store.SetFaults(storetest.Faults{})
			n.within(rosterInterval + findTime)
		},
		"dead edges and odd addresses in the roster": func(n *edgeNetwork) {
			list := []netip.Addr{netip.IPv4Unspecified(), netip.MustParseAddr("224.0.0.1"), netip.MustParseAddr("::1"), {}}
			for number := range 500 {
				list = append(list, edgeAddress(1000+number))
			}
			n.putRoster(list...)
			for number := range 3 {
				n.start(number)
			}
			n.within(findTime)
			time.Sleep(rosterGrace + 2*rosterInterval)
			object, err := n.store.Get(n.t.Context(), rosterKind, rosterName)
			if want := `{"addresses":["10.1.0.0","10.1.0.1","10.1.0.2"]}`; err != nil || string(object.Value) != want {
				n.t.Errorf("the roster is %s, %v, want %s", object.Value, err, want)
			}
		},
		"a roster that can't be read": func(n *edgeNetwork) {
			if _, err := n.store.Create(n.t.Context(), rosterKind, rosterName, []byte(`["10.1.0.1`)); err != nil {
				n.t.Fatal(err)
			}
			for number := range 3 {
				n.start(number)
			}
			n.within(findTime)
		},
		"the roster lost": func(n *edgeNetwork) {
			n.start(1)
			n.start(2)
			n.within(findTime)
			if object, err := n.store.Get(n.t.Context(), rosterKind, rosterName); err != nil || n.store.Delete(n.t.Context(), object) != nil {
				n.t.Fatal("the roster can't be deleted")
			}
			n.start(3)
			n.within(rosterInterval + findTime)
		},
		"two halves": func(n *edgeNetwork) {
			n.cut = func(a, b netip.Addr) bool { return a.Less(edgeAddress(10)) != b.Less(edgeAddress(10)) }
			for _, number := range []int{1, 2, 3, 11, 12, 13} {
				n.start(number)
			}
			time.Sleep(rosterGrace / 2)
			n.mu.Lock()
			n.cut = nil
			n.mu.Unlock()
			n.within(findTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				play(newEdgeNetwork(t))
			})
		})
	}
}

// Guards against an edge that hears nobody and does not say so, although the store names others.
func TestEdgeSaysThatItIsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newEdgeNetwork(t)
		n.putRoster(edgeAddress(7))
		n.start(1)
		time.Sleep(aloneLogDelay + findTime)
		e := n.edges[edgeAddress(1)]
		if got := fmt.Sprint(e.alone, e.discovery.alone.Load()); got != "[true] true" {
			t.Errorf("alone: %s", got)
		}
		n.start(7)
		n.within(findTime)
		time.Sleep(time.Second)
		if got := fmt.Sprint(e.alone, e.discovery.alone.Load()); got != "[true false] false" {
			t.Errorf("with another edge: %s", got)
		}
	})
}
