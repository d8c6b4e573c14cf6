package tally_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
	"github.com/dragonflypin/dragonflypin/internal/process/tally"
	"github.com/dragonflypin/dragonflypin/internal/process/truetime"
)

const (
	window      = 5 * time.Second
	reportBound = 10 * time.Second
	// settled is a time after the end of a window at which its counts are final and were sent three times.
	settled = 3 * time.Second
)

// epoch is the true time at which the tests begin: the start of a window.
var epoch = time.Unix(1_767_225_600, 0)

// edge is a simulated edge.
type edge struct {
	address netip.Addr
	run     uint64
	counter *tally.Counter
	dead    bool
}

// fleet has edges that exchange their counts. The boot-time clock is the true time minus the epoch.
type fleet struct {
	now   time.Time
	edges []*edge
	// lose reports whether a datagram is lost; nil loses none.
	lose func() bool
	// bytes and messages are what was sent.
	bytes, messages int
}

var boot = time.Unix(0, 0)

func newFleet(edges int) *fleet {
	f := &fleet{now: boot}
	for range edges {
		f.start(netip.AddrFrom4([4]byte{10, 0, byte(len(f.edges) / 200), byte(1 + len(f.edges)%200)}))
	}
	return f
}

func (f *fleet) trueTime() time.Time { return epoch.Add(f.now.Sub(boot)) }

// window returns the number of the running window.
func (f *fleet) window() uint64 { return uint64(f.trueTime().Unix()) / uint64(window/time.Second) }

// start starts a process at the address.
func (f *fleet) start(address netip.Addr) *edge {
	clock := truetime.New(func() time.Time { return f.now }, f.trueTime)
	run := uint64(f.trueTime().UnixMilli())
	e := &edge{address: address, run: run, counter: tally.New(tally.Options{
		Edge: address, Run: run, Window: window, ReportBound: reportBound, Clock: clock,
	})}
	f.edges = append(f.edges, e)
	return e
}

// others returns the other live edges with their runs.
func (f *fleet) others(of *edge) map[netip.Addr]uint64 {
	live := map[netip.Addr]uint64{}
	for _, e := range f.edges {
		if e != of && !e.dead {
			live[e.address] = e.run
		}
	}
	return live
}

func (f *fleet) live() []string {
	var list []string
	for a := range f.others(nil) {
		list = append(list, a.String())
	}
	return list
}

// run lets time pass, in which counts are sent.
func (f *fleet) run(t testing.TB, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for _, e := range f.edges {
			if !e.dead {
				f.deliver(t, e, e.counter.Due(f.now, f.others(e)))
			}
		}
	}
}

func (f *fleet) deliver(t testing.TB, from *edge, sends []tally.Send) {
	for _, s := range sends {
		data, err := cbor.Marshal(&s.Message)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) >= gossip.MaxBroadcastBytes {
			t.Errorf("a message of %d bytes does not fit into a datagram", len(data))
		}
		for _, to := range s.To {
			f.messages++
			f.bytes += len(data)
			if f.lose != nil && f.lose() {
				continue
			}
			var m tally.Message
			if err := cbor.Unmarshal(data, &m); err != nil {
				t.Fatal(err)
			}
			for _, e := range f.edges {
				if e.address == to && !e.dead {
					e.counter.Merge(from.address, &m, f.now)
				}
			}
		}
	}
}

// sum returns the counts of a window by workspace.
func sum(segments []tally.Segment) map[string]uint64 {
	counts := map[string]uint64{}
	for _, s := range segments {
		for workspace, n := range s.Counts {
			counts[workspace] += n
		}
	}
	return counts
}

// Guards against counts that are lost or counted twice between edges, and against a window that looks complete before it is.
func TestCountsReachTheFirstCandidatesAndTheHolder(t *testing.T) {
	f := newFleet(6)
	holder := f.edges[5]
	for _, e := range f.edges {
		e.counter.SetHolder(holder.address)
	}
	counted := f.window()
	for _, e := range f.edges {
		e.counter.Began("a", f.now)
		e.counter.Began("a", f.now)
		e.counter.Began("b", f.now)
	}
	f.run(t, window)
	if holder.counter.Final(counted, f.live()) {
		t.Error("the window is final at its end, when responses of plain requests are still expected")
	}
	f.run(t, settled)
	want := map[string]uint64{"a": 12, "b": 6}
	for i, e := range f.edges {
		has := maps.Equal(sum(e.counter.Segments(counted)), want)
		if wants := i < 3 || e == holder; has != wants {
			t.Errorf("edge %d has all counts: %v, want %v", i, has, wants)
		}
		if final := e.counter.Final(counted, f.live()); final != has {
			t.Errorf("edge %d sees the window as final: %v, want %v", i, final, has)
		}
	}
	segments := holder.counter.Segments(counted)
	if !slices.IsSortedFunc(segments, func(a, b tally.Segment) int {
		return netip.MustParseAddr(a.Edge).Compare(netip.MustParseAddr(b.Edge))
	}) || len(segments) != 6 {
		t.Errorf("segments %v: want one for each edge in their order", segments)
	}
}

// Guards against a killed edge that takes more of its counts with it than those of the last interval.
func TestKilledEdgeLeavesItsCounts(t *testing.T) {
	f := newFleet(6)
	counted := f.window()
	f.run(t, time.Second)
	for range 40 {
		f.edges[5].counter.Began("a", f.now)
		f.run(t, 100*time.Millisecond)
	}
	f.edges[5].dead = true
	f.run(t, window+settled)
	for i, e := range f.edges[:3] {
		if got := sum(e.counter.Segments(counted))["a"]; got < 38 {
			t.Errorf("edge %d has %d of 40 counts, want at least those up to 0.2 s before the kill", i, got)
		}
		if !e.counter.Final(counted, f.live()) {
			t.Errorf("edge %d waits for the final counts of an edge that is dead", i)
		}
	}
}

// Guards against a next holder without the counts of edges that died while others got them.
func TestNewReceiversGetTheRecentCounts(t *testing.T) {
	f := newFleet(8)
	counted := f.window()
	for i, e := range f.edges {
		for range i + 1 {
			e.counter.Began("a", f.now)
		}
	}
	f.run(t, time.Second)
	f.edges[7].dead = true
	f.run(t, window)
	f.edges[0].dead, f.edges[1].dead = true, true
	f.run(t, settled)
	for i, e := range f.edges[2:5] {
		if got := sum(e.counter.Segments(counted))["a"]; got != 36 {
			t.Errorf("edge %d has %d of 36 counts", i+2, got)
		}
		if !e.counter.Final(counted, f.live()) {
			t.Errorf("edge %d does not see the window as final", i+2)
		}
	}
}

// Guards against a next holder that restarted and has none of the counts from before: its address is that of a receiver all the while.
func TestRestartedReceiverGetsTheRecentCounts(t *testing.T) {
	f := newFleet(8)
	counted := f.window()
	for _, e := range f.edges {
		e.counter.Began("a", f.now)
	}
	f.run(t, window+settled)
	f.edges[7].dead = true
	f.run(t, 200*time.Millisecond)
	f.edges[1].dead = true
	restarted := f.start(f.edges[1].address)
	f.run(t, time.Second)
	if got := sum(restarted.counter.Segments(counted))["a"]; got != 8 {
		t.Errorf("%d of 8 counts", got)
	}
	if !restarted.counter.Final(counted, f.live()) {
		t.Error("the window is not final")
	}
}

// Guards against windows that are never final because an edge started after them, and against two runs of an edge that are taken for one.
func TestRestartedEdgeIsAnotherSource(t *testing.T) {
	f := newFleet(4)
	counted := f.window()
	address := f.edges[3].address
	f.edges[3].counter.Began("a", f.now)
	f.run(t, time.Second)
	f.edges[3].dead = true
	f.run(t, time.Second)
	again := f.start(address)
	again.counter.Began("a", f.now)
	f.run(t, window)
	late := f.start(netip.MustParseAddr("10.0.0.200"))
	late.counter.Began("a", f.now)
	f.run(t, settled)
	for i, e := range f.edges[:3] {
		segments := e.counter.Segments(counted)
		if len(segments) != 2 || sum(segments)["a"] != 2 || segments[0].Run >= segments[1].Run {
			t.Errorf("edge %d has the segments %v, want one count for each of two runs", i, segments)
		}
		if !e.counter.Final(counted, f.live()) {
			t.Errorf("edge %d waits for an edge that started after the window", i)
		}
	}
}

// Guards against a count that arrives after the final ones and is lost: a plain request is counted at its response.
func TestLateCountIsSent(t *testing.T) {
	f := newFleet(4)
	counted, began := f.window(), f.now
	f.run(t, window+settled)
	f.edges[3].counter.Began("a", began)
	f.run(t, time.Second)
	if got := sum(f.edges[0].counter.Segments(counted))["a"]; got != 1 {
		t.Errorf("%d counts, want 1", got)
	}
}

// Guards against counts that a stopping process takes with it.
func TestFlushSendsWhatIsUnsent(t *testing.T) {
	f := newFleet(4)
	f.run(t, time.Second)
	stopped := f.edges[3]
	for n := range uint64(2) {
		stopped.counter.Began("a", f.now)
		f.deliver(t, stopped, stopped.counter.Flush(f.now, f.others(stopped), n == 1))
		if got := sum(f.edges[0].counter.Segments(f.window()))["a"]; got != n+1 {
			t.Errorf("%d counts, want %d", got, n+1)
		}
	}
	// The others take the edge for live until its reports time out, and the window before the last flush is not final at them.
	live := f.live()
	stopped.dead = true
	counted := f.window()
	f.run(t, 2*window+settled)
	for w := counted; w <= counted+1; w++ {
		if !f.edges[0].counter.Final(w, live) {
			t.Errorf("window %d is not final without the stopped edge", w)
		}
	}
}

// Guards against requests without a workspace in a report by workspace.
func TestRequestsWithoutAWorkspaceAreNotCounted(t *testing.T) {
	f := newFleet(1)
	f.edges[0].counter.Began("", f.now)
	if segments := f.edges[0].counter.Segments(f.window()); len(segments) != 0 {
		t.Errorf("segments %v, want none", segments)
	}
}

// Guards against counts outside the windows that are kept, and lists of different lengths, from a wrong or foreign message.
func TestUnusableMessagesAreIgnored(t *testing.T) {
	f := newFleet(1)
	e, from, current := f.edges[0], netip.MustParseAddr("10.0.0.9"), f.window()
	for _, m := range []tally.Message{
		{Run: 1, Window: current + 3, Workspaces: []string{"a"}, Counts: []uint64{1}},
		{Run: 1, Window: current - 25, Workspaces: []string{"a"}, Counts: []uint64{1}},
		{Run: 1, Window: current, Workspaces: []string{"a", "b"}, Counts: []uint64{1}},
		{Run: 1, Window: current, Age: 1 << 31, Workspaces: []string{"a"}},
	} {
		e.counter.Merge(from, &m, f.now)
		if segments := e.counter.Segments(m.Window); len(segments) != 0 {
			t.Errorf("message %+v: segments %v, want none", m, segments)
		}
	}
}

// Guards against a merge whose result depends on the order, loss or repetition of messages: the merged counts are never above those of
// the source, and equal to them once the final counts have arrived.
func TestMergeIsIndependentOfOrderLossAndRepetition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		loss := rapid.Float64Range(0, 0.5).Draw(rt, "loss")
		f := newFleet(rapid.IntRange(2, 7).Draw(rt, "edges"))
		counted := f.window()
		want := map[string]uint64{}
		receiver := f.edges[0]
		var messages []tally.Message
		var senders []*edge
		collect := func(e *edge) {
			for _, s := range e.counter.Due(f.now, f.others(e)) {
				if slices.Contains(s.To, receiver.address) {
					messages, senders = append(messages, s.Message), append(senders, e)
				}
			}
		}
		for f.window() == counted {
			for _, e := range f.edges[1:] {
				if rng.IntN(3) == 0 {
					workspace := fmt.Sprintf("w%d", rng.IntN(5))
					e.counter.Began(workspace, f.now)
					want[workspace]++
				}
				collect(e)
			}
			f.now = f.now.Add(100 * time.Millisecond)
		}
		merge := func(i int) { receiver.counter.Merge(senders[i].address, &messages[i], f.now) }
		for _, i := range rng.Perm(len(messages)) {
			for range rng.IntN(3) + 1 { // some messages are repeated
				if rng.Float64() >= loss {
					merge(i)
				}
			}
		}
		for workspace, n := range sum(receiver.counter.Segments(counted)) {
			if n > want[workspace] {
				rt.Fatalf("workspace %s: %d counts, the edges counted %d", workspace, n, want[workspace])
			}
		}
		messages, senders = nil, nil
		for range 30 {
			for _, e := range f.edges[1:] {
				collect(e)
			}
			f.now = f.now.Add(100 * time.Millisecond)
		}
		for _, i := range rng.Perm(len(messages)) {
			merge(i)
		}
		if got := sum(receiver.counter.Segments(counted)); !maps.Equal(got, want) {
			rt.Fatalf("counts %v, want %v", got, want)
		}
		if !receiver.counter.Final(counted, f.live()) {
			rt.Fatal("the window is not final after the final counts have arrived")
		}
	})
}

// Guards against a window that looks complete while a part of its final counts is missing.
func TestWindowIsNotFinalWithoutAllParts(t *testing.T) {
	f := newFleet(2)
	f.run(t, time.Second) // new receivers get all counts besides
	counted := f.window()
	for i := range 1300 {
		f.edges[1].counter.Began(fmt.Sprintf("workspace-%04d", i), f.now)
	}
	f.now = f.now.Add(window + settled)
	var parts []tally.Message
	for _, s := range f.edges[1].counter.Due(f.now, f.others(f.edges[1])) {
		if s.Message.Window == counted {
			parts = append(parts, s.Message)
		}
	}
	if len(parts) < 10 {
		t.Fatalf("%d messages with 1,300 counts, want at least 10", len(parts))
	}
	for i := range parts {
		if f.edges[0].counter.Final(counted, f.live()) {
			t.Fatalf("final with %d of %d messages", i, len(parts))
		}
		f.edges[0].counter.Merge(f.edges[1].address, &parts[i], f.now)
	}
	if !f.edges[0].counter.Final(counted, f.live()) || len(sum(f.edges[0].counter.Segments(counted))) != 1300 {
		t.Error("not final with all messages")
	}
}

// Guards against memory that grows with time or with the number of counts.
func TestCountsAreBounded(t *testing.T) {
	f := newFleet(2)
	f.run(t, time.Minute)
	receiver := f.edges[0].counter
	counts := make([]uint64, 1300)
	names := make([]string, 1300)
	for i := range names {
		names[i], counts[i] = fmt.Sprintf("workspace-%04d", i), 1
	}
	for back := range uint64(10) {
		for i := range 360 {
			from := netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i % 200)})
			receiver.Merge(from, &tally.Message{Run: 1, Window: f.window() - 9 + back, Workspaces: names, Counts: counts}, f.now)
		}
	}
	stats := receiver.Stats(f.now, nil)
	if limit := 360*1300 + 300_000; stats.Counts > limit || stats.Dropped == 0 {
		t.Errorf("%d counts are kept and %d windows dropped, want at most %d counts", stats.Counts, stats.Dropped, limit)
	}
	if got := len(receiver.Segments(f.window())); got != 360 {
		t.Errorf("%d segments of the latest window, want 360", got)
	}
	f.run(t, 3*time.Minute)
	if stats := receiver.Stats(f.now, nil); stats.Counts != 0 || stats.Windows > 26 {
		t.Errorf("%d counts and %d windows are kept after 3 minutes", stats.Counts, stats.Windows)
	}
}

// Guards against a process that started with a wrong time of day and never reports the windows before its first one as final.
func TestFirstWindowFollowsTheTime(t *testing.T) {
	f := newFleet(1)
	counted := f.window()
	clock := truetime.New(func() time.Time { return f.now }, func() time.Time { return f.trueTime().Add(time.Hour) })
	e := &edge{address: netip.MustParseAddr("10.0.0.9"), run: 1, counter: tally.New(tally.Options{
		Edge: netip.MustParseAddr("10.0.0.9"), Run: 1, Window: window, ReportBound: reportBound, Clock: clock,
	})}
	f.edges = append(f.edges, e)
	for i := range 4 {
		clock.Observe(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), f.trueTime())
	}
	clock.Tick()
	e.counter.Began("a", f.now)
	f.run(t, window+settled)
	if got := sum(f.edges[0].counter.Segments(counted))["a"]; got != 1 || !f.edges[0].counter.Final(counted, f.live()) {
		t.Errorf("%d counts, final %v; want 1 in the running window", got, f.edges[0].counter.Final(counted, f.live()))
	}
}

// Guards against an allocation for each request.
func TestCountingDoesNotAllocate(t *testing.T) {
	f := newFleet(1)
	c := f.edges[0].counter
	c.Began("a", f.now)
	if n := testing.AllocsPerRun(100, func() { c.Began("a", f.now) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// BenchmarkExchange measures what one edge sends in a second, for CAPACITY.md. The requests of 10.6 a second and edge (as on the
// deployment with 21 edges), 9.6 and 20.3 (7,300 a second at 360 edges) are spread evenly over the workspaces.
func BenchmarkExchange(b *testing.B) {
	for _, c := range []struct {
		edges, workspaces int
		perSecond         float64
	}{{21, 24, 10.6}, {103, 24, 9.6}, {360, 1300, 20.3}} {
		b.Run(fmt.Sprintf("edges=%d/workspaces=%d", c.edges, c.workspaces), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			for b.Loop() {
				f := newFleet(c.edges)
				f.run(b, window)
				f.bytes, f.messages = 0, 0
				const seconds = 10
				for range seconds * 10 {
					for _, e := range f.edges {
						for left := c.perSecond / 10; left > rng.Float64(); left-- {
							e.counter.Began(fmt.Sprintf("workspace-%d", rng.IntN(c.workspaces)), f.now)
						}
					}
					f.run(b, 100*time.Millisecond)
				}
				// 30 bytes: the headers of IP and UDP, and two bytes of the datagram.
				b.ReportMetric(float64(f.bytes+30*f.messages)/seconds/float64(c.edges), "B/s")
				b.ReportMetric(float64(f.messages)/seconds/float64(c.edges), "datagrams/s")
				// The first edge receives the most.
				b.ReportMetric(float64(f.edges[0].counter.Stats(f.now, nil).Counts), "counts-kept")
			}
		})
	}
}

// BenchmarkMemory measures what a receiver keeps of 360 edges with 100 counts each in 8 windows, for CAPACITY.md.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		f := newFleet(1)
		receiver := f.edges[0].counter
		before := heapInUse()
		for w := range uint64(8) {
			for i := range 360 {
				m := tally.Message{Run: uint64(i), Window: f.window() - w}
				for n := range 100 {
					m.Workspaces, m.Counts = append(m.Workspaces, fmt.Sprintf("workspace-%04d", (i+13*n)%1300)), append(m.Counts, 1)
				}
				receiver.Merge(netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i % 200)}), &m, f.now)
			}
		}
		counts := receiver.Stats(f.now, nil).Counts
		b.ReportMetric(float64(heapInUse()-before)/float64(counts), "B/count")
		b.ReportMetric(float64(heapInUse()-before)/1e6, "MB")
		runtime.KeepAlive(f)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBegan measures the count of one request.
func BenchmarkBegan(b *testing.B) {
	f := newFleet(1)
	for b.Loop() {
		f.edges[0].counter.Began("workspace", f.now)
	}
}
