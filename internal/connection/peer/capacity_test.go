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
	// datagramOverheadBytes is the size of the IPv4 and UDP headers of a packet, which the QUIC statistics do not include.
	datagramOverheadBytes = 28
	// measurementTime covers two idle heartbeats and the start of a third.
	measurementTime = 11 * time.Second
	// settleTime is long enough for path MTU discovery, which sends large probes after the handshake, to finish.
	settleTime = 30 * time.Second
)

// startFleet connects one entry to n sidecars in this process.
func startFleet(b *testing.B, n int, serve func(context.Context, Identity, *Stream, *wire.Ask)) (*Node, []*Node) {
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
	for len(entry.allSessions()) < n {
		time.Sleep(10 * time.Millisecond)
	}
	return entry, sidecars
}

func sessionTraffic(n *Node) (bytes, packets uint64) {
	for _, s := range n.allSessions() {
		stats := s.conn.ConnectionStats()
		bytes += stats.BytesSent + stats.BytesReceived
		packets += stats.PacketsSent + stats.PacketsReceived
	}
	return bytes + datagramOverheadBytes*packets, packets
}

func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // fails only for a bad address
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Measures the cost of an idle session: bytes per second in both directions, including UDP and IPv4 headers, and the memory
// and CPU time of both ends together, which run in this process.
func BenchmarkIdleSessions(b *testing.B) {
	for _, n := range []int{8, 48, 192} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			before := memoryInUse()
			entry, sidecars := startFleet(b, n, nil)
			time.Sleep(settleTime)
			used := memoryInUse() - before
			reportTraffic(b, entry, n)
			b.ReportMetric(float64(used)/1024/float64(n), "KiB/session-pair")
			closeAll(entry, sidecars)
		})
	}
}

func reportTraffic(b *testing.B, entry *Node, n int) {
	b.Helper()
	bytes, packets := sessionTraffic(entry)
	cpu := cpuTime()
	time.Sleep(measurementTime)
	bytesAfter, packetsAfter := sessionTraffic(entry)
	cpu = cpuTime() - cpu
	perSession := measurementTime.Seconds() * float64(n)
	b.ReportMetric(float64(bytesAfter-bytes)/perSession, "bytes/s/session")
	b.ReportMetric(float64(packetsAfter-packets)/perSession, "packets/s/session")
	b.ReportMetric(float64(cpu.Microseconds())/perSession, "cpu-us/s/session-pair")
	b.ReportMetric(0, "ns/op")
}

func closeAll(entry *Node, sidecars []*Node) {
	for _, s := range sidecars {
		_ = s.Close()
	}
	_ = entry.Close()
}

// tokenInterval is the target time between tokens, and tokenEventBytes the size of one server-sent event.
const (
	tokenInterval   = 52 * time.Millisecond
	tokenEventBytes = 180
)

// Measures a session with a request in flight: one whose response is paused, and one that streams a token every 52 ms.
// The difference of two runs, with and without heartbeats, is the overhead of the control stream.
func BenchmarkBusySessions(b *testing.B) {
	data := make([]byte, tokenEventBytes)
	cases := []struct {
		name  string
		serve func(context.Context, Identity, *Stream, *wire.Ask)
	}{
		{"no data", func(ctx context.Context, _ Identity, _ *Stream, _ *wire.Ask) { <-ctx.Done() }},
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
			entry, sidecars := startFleet(b, n, c.serve)
			for _, s := range entry.allSessions() {
				st, err := s.Open()
				if err != nil {
					b.Fatal(err)
				}
				if err := st.Send(&wire.Ask{RequestID: "r", Kind: wire.KindEngine}); err != nil {
					b.Fatal(err)
				}
				go discard(st)
			}
			time.Sleep(settleTime)
			reportTraffic(b, entry, n)
			closeAll(entry, sidecars)
		})
	}
}

func discard(st *Stream) {
	for {
		if _, err := st.Recv(); err != nil {
			return
		}
	}
}
