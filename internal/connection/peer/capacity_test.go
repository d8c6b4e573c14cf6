package peer

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

const (
	// datagramOverhead is the IPv4 and UDP header of a packet, in bytes, which the QUIC statistics leave out.
	datagramOverhead = 28
	// idleWindow holds two idle heartbeats and the start of a third.
	idleWindow = 11 * time.Second
	// settle lets path MTU discovery, which sends large probes after the handshake, come to its end.
	settle = 30 * time.Second
)

// fleetOf connects one entry to n sidecars in this process.
func fleetOf(b *testing.B, n int, serve func(context.Context, Identity, *Stream, *wire.Ask)) (*Node, []*Node) {
	b.Helper()
	ca, err := NewDevCA()
	if err != nil {
		b.Fatal(err)
	}
	listen := func(role wire.Role, instance string, load func() *wire.Load) *Node {
		credentials, err := ca.Issue(role, instance)
		if err != nil {
			b.Fatal(err)
		}
		node, err := Listen("127.0.0.1:0", Options{Credentials: credentials, Load: load, OnAsk: serve})
		if err != nil {
			b.Fatal(err)
		}
		return node
	}
	entry := listen(wire.RoleEntry, "e1", nil)
	load := func() *wire.Load {
		return &wire.Load{Slots: 16, Running: 7, TokensPerSecond: 41.5, Models: []string{"tilemend"}, Healthy: true}
	}
	sidecars := make([]*Node, n)
	for i := range sidecars {
		name := fmt.Sprintf("s%d", i)
		sidecars[i] = listen(wire.RoleSidecar, name, load)
		entry.Connect(Identity{Role: wire.RoleSidecar, Instance: name}, sidecars[i].Addr())
	}
	for len(entry.all()) < n {
		time.Sleep(10 * time.Millisecond)
	}
	return entry, sidecars
}

func traffic(n *Node) (bytes, packets uint64) {
	for _, s := range n.all() {
		stats := s.conn.ConnectionStats()
		bytes += stats.BytesSent + stats.BytesReceived
		packets += stats.PacketsSent + stats.PacketsReceived
	}
	return bytes + datagramOverhead*packets, packets
}

func memory() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // fails only for a bad address
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Measures what an idle session costs its entry: bytes a second in both directions with UDP and IPv4 headers, and memory and processor
// time of both ends together, which run in this process.
func BenchmarkIdleSessions(b *testing.B) {
	for _, n := range []int{8, 48, 192} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			before := memory()
			entry, sidecars := fleetOf(b, n, nil)
			time.Sleep(settle)
			held := memory() - before
			reportTraffic(b, entry, n)
			b.ReportMetric(float64(held)/1024/float64(n), "KiB/session-pair")
			closeAll(entry, sidecars)
		})
	}
}

func reportTraffic(b *testing.B, entry *Node, n int) {
	b.Helper()
	bytes, packets := traffic(entry)
	spent := processorTime()
	time.Sleep(idleWindow)
	bytesAfter, packetsAfter := traffic(entry)
	spent = processorTime() - spent
	perSession := idleWindow.Seconds() * float64(n)
	b.ReportMetric(float64(bytesAfter-bytes)/perSession, "bytes/s/session")
	b.ReportMetric(float64(packetsAfter-packets)/perSession, "packets/s/session")
	b.ReportMetric(float64(spent.Microseconds())/perSession, "cpu-us/s/session-pair")
	b.ReportMetric(0, "ns/op")
}

func closeAll(entry *Node, sidecars []*Node) {
	for _, s := range sidecars {
		_ = s.Close()
	}
	_ = entry.Close()
}

// tokenInterval is the target of 52 ms between tokens, and tokenEvent the size of one server-sent event.
const (
	tokenInterval = 52 * time.Millisecond
	tokenEvent    = 180
)

// Measures a session that holds work: one stream whose answer pauses, and one that carries a token every 52 ms.
// The difference of two runs with and without heartbeats shows what control adds to the data.
func BenchmarkBusySessions(b *testing.B) {
	data := make([]byte, tokenEvent)
	cases := []struct {
		name  string
		serve func(context.Context, Identity, *Stream, *wire.Ask)
	}{
		{"silent", func(ctx context.Context, _ Identity, _ *Stream, _ *wire.Ask) { <-ctx.Done() }},
		{"streaming", func(ctx context.Context, _ Identity, st *Stream, _ *wire.Ask) {
			ticker := time.NewTicker(tokenInterval)
			defer ticker.Stop()
			for seq := uint64(1); ; seq++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				if st.Send(&wire.Chunk{Seq: seq, Data: data, Tokens: 1}) != nil {
					return
				}
			}
		}},
	}
	const n = 48
	for _, c := range cases {
		b.Run(fmt.Sprintf("%s/sessions=%d", c.name, n), func(b *testing.B) {
			entry, sidecars := fleetOf(b, n, c.serve)
			for _, s := range entry.all() {
				st, err := s.Open()
				if err != nil {
					b.Fatal(err)
				}
				if err := st.Send(&wire.Ask{RequestID: "r", Kind: wire.KindEngine}); err != nil {
					b.Fatal(err)
				}
				go drain(st)
			}
			time.Sleep(settle)
			reportTraffic(b, entry, n)
			closeAll(entry, sidecars)
		})
	}
}

func drain(st *Stream) {
	for {
		if _, err := st.Recv(); err != nil {
			return
		}
	}
}
