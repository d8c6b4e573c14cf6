package gossip_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
)

func freePort(t *testing.T) uint16 {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return netip.MustParseAddrPort(c.LocalAddr().String()).Port()
}

// entry is a node on its own loopback address. received counts the reports that it accepted.
type entry struct {
	*gossip.Node
	received atomic.Int64
	stop     context.CancelFunc
}

func start(t *testing.T, address string, port uint16, seeds ...string) *entry {
	t.Helper()
	e := &entry{}
	var list []netip.Addr
	for _, s := range seeds {
		list = append(list, netip.MustParseAddr(s))
	}
	var changes atomic.Uint64
	node, err := gossip.New(gossip.Options{
		Listen: netip.AddrPortFrom(netip.MustParseAddr(address), port), Seeds: list,
		Collect: func() gossip.State {
			return gossip.State{Changes: changes.Add(1), Loads: []gossip.Load{{Replica: 7, Running: 3}}}
		},
		OnReport: func(_ netip.Addr, r *gossip.Report) {
			if len(r.Loads) == 1 && r.Loads[0].Running == 3 {
				e.received.Add(1)
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	e.Node = node
	ctx, cancel := context.WithCancel(t.Context())
	e.stop = cancel
	go node.Run(ctx)
	t.Cleanup(cancel)
	return e
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("condition not met within 5 s: %s", what)
}

// Guards against entries that don't discover each other although a seed has both addresses, and against entries that still
// count as live after they stopped.
func TestEntriesDiscoverEachOtherThroughSeed(t *testing.T) {
	port := freePort(t)
	seed := start(t, "127.0.0.1", port, "127.0.0.1", "127.0.0.99")
	second := start(t, "127.0.0.2", port, "127.0.0.1")
	third := start(t, "127.0.0.3", port, "127.0.0.1")
	eventually(t, "all entries receive reports of two others", func() bool {
		return seed.Live() == 2 && second.Live() == 2 && third.Live() == 2 && second.received.Load() > 0 && third.received.Load() > 0
	})
	third.stop()
	eventually(t, "the stopped entry is no longer live", func() bool { return seed.Live() == 1 && second.Live() == 1 })
}

// sender returns a socket of another address, from which an entry at 127.0.0.1 accepts reports.
func sender(t *testing.T, port uint16) *net.UDPConn {
	t.Helper()
	from, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 5), Port: int(port)}, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: int(port)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = from.Close() })
	return from
}

func sendReport(t *testing.T, from *net.UDPConn, protocol uint8, epoch, seq uint64) {
	t.Helper()
	data, err := cbor.Marshal(&gossip.Report{Protocol: protocol, Epoch: epoch, Seq: seq, Loads: []gossip.Load{{Replica: 1, Running: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = from.Write(append([]byte{1}, data...)) // a lost report fails the test
}

// Guards against accepting reports that arrive out of order, and datagrams that are not reports of this protocol version.
func TestStaleAndInvalidDatagramsAreDropped(t *testing.T) {
	port := freePort(t)
	e := start(t, "127.0.0.1", port)
	from := sender(t, port)
	send := func(protocol uint8, epoch, seq uint64) { sendReport(t, from, protocol, epoch, seq) }
	send(6, 10, 2)
	eventually(t, "the first report is accepted", func() bool { return e.received.Load() == 1 })
	send(6, 10, 1)
	send(6, 9, 50)
	send(7, 10, 3)
	_, _ = from.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	send(6, 11, 1)
	eventually(t, "the first report of a restarted sender is accepted", func() bool { return e.received.Load() == 2 })
	time.Sleep(50 * time.Millisecond)
	if n := e.received.Load(); n != 2 {
		t.Errorf("%d reports accepted, want 2", n)
	}
}

// Guards against an entry that is ignored for seconds after its restart because its time of day was set back meanwhile.
func TestRestartWithAnEarlierTimeOfDayIsAccepted(t *testing.T) {
	port := freePort(t)
	e := start(t, "127.0.0.1", port)
	from := sender(t, port)
	sendReport(t, from, 6, 10, 7)
	eventually(t, "the first process is live", func() bool { return e.Live() == 1 })
	eventually(t, "the first process is no longer live", func() bool { return e.Live() == 0 })
	sendReport(t, from, 6, 9, 1)
	eventually(t, "the restarted process is live", func() bool { return e.Live() == 1 })
	eventually(t, "the first report of the restarted process is accepted", func() bool { return e.received.Load() == 2 })
}

// Guards against a panic while decoding an arbitrary datagram.
func FuzzReport(f *testing.F) {
	data, err := cbor.Marshal(&gossip.Report{Protocol: 6, Seq: 1, Loads: []gossip.Load{{Replica: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var r gossip.Report
		_ = cbor.Unmarshal(data, &r)
	})
}
