package peer

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

type pair struct {
	ca           *DevCA
	entry, other *Node
}

func listen(tb testing.TB, ca *DevCA, role wire.Role, instance string, change func(*Options)) *Node {
	tb.Helper()
	credentials, err := ca.Issue(role, instance)
	if err != nil {
		tb.Fatal(err)
	}
	opts := Options{Credentials: credentials}
	if role == wire.RoleSidecar {
		opts.Load = func() *wire.Load { return &wire.Load{Slots: 1} }
	}
	if change != nil {
		change(&opts)
	}
	n, err := Listen("127.0.0.1:0", opts)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = n.Close() })
	return n
}

func newPair(tb testing.TB, change func(*Options)) *pair {
	tb.Helper()
	ca, err := NewDevCA()
	if err != nil {
		tb.Fatal(err)
	}
	p := &pair{ca: ca, entry: listen(tb, ca, wire.RoleEntry, "e1", nil), other: listen(tb, ca, wire.RoleSidecar, "s1", change)}
	p.entry.Connect(Identity{wire.RoleSidecar, "s1"}, p.other.Addr())
	waitFor(tb, func() bool { return p.entry.Session("s1") != nil && p.other.Session("e1") != nil })
	return p
}

func waitFor(tb testing.TB, ok func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatal("condition not met within 5 s")
		}
	}
}

func echo(_ context.Context, from Identity, payload []byte) ([]byte, error) {
	if len(payload) == 0 {
		return nil, errors.New("empty")
	}
	return append([]byte(from.Instance+":"), payload...), nil
}

// Guards against calls that work in only one direction of a session, and against transport errors reported as handler errors
// or the reverse.
func TestCallsInBothDirections(t *testing.T) {
	p := newPair(t, nil)
	p.entry.Handle("echo", echo)
	p.other.Handle("echo", echo)
	if got, err := p.entry.Call(t.Context(), "s1", "echo", []byte("x")); err != nil || string(got) != "e1:x" {
		t.Errorf("entry to sidecar: %q %v", got, err)
	}
	if got, err := p.other.Call(t.Context(), "e1", "echo", []byte("y")); err != nil || string(got) != "s1:y" {
		t.Errorf("sidecar to entry: %q %v", got, err)
	}
	var remote *RemoteError
	if _, err := p.entry.Call(t.Context(), "s1", "echo", nil); !errors.As(err, &remote) {
		t.Errorf("handler error: %v, want RemoteError", err)
	}
	if _, err := p.entry.Call(t.Context(), "s1", "none", nil); !errors.As(err, &remote) {
		t.Errorf("unknown method: %v, want RemoteError", err)
	}
	if _, err := p.entry.Call(t.Context(), "s2", "echo", nil); !errors.Is(err, ErrUnreachable) {
		t.Errorf("no session: %v, want ErrUnreachable", err)
	}
}

// Guards against accepting a peer with another name, a certificate of another CA, or another protocol version.
func TestRejectsPeerWithWrongIdentityOrVersion(t *testing.T) {
	p := newPair(t, nil)
	link := p.entry.Connect(Identity{wire.RoleSidecar, "s2"}, p.other.Addr())
	waitFor(t, func() bool { return link.Err() != nil })
	var identity *IdentityError
	if !errors.As(link.Err(), &identity) {
		t.Errorf("other name: %v, want IdentityError", link.Err())
	}
	otherCA, err := NewDevCA()
	if err != nil {
		t.Fatal(err)
	}
	untrusted := listen(t, otherCA, wire.RoleEntry, "e1", nil)
	link = untrusted.Connect(Identity{wire.RoleSidecar, "s1"}, p.other.Addr())
	waitFor(t, func() bool { return link.Err() != nil })
	if link.Session() != nil || !strings.Contains(link.Err().Error(), "certificate") {
		t.Errorf("other CA: session %v error %v", link.Session(), link.Err())
	}
	session := &Session{node: p.entry}
	if err := session.checkHello(&wire.Hello{ProtocolVersion: wire.ProtocolVersion + 1, Role: wire.RoleSidecar, Instance: "s1"}, Identity{wire.RoleSidecar, "s1"}); !errors.As(err, new(*VersionError)) {
		t.Errorf("other version: %v, want VersionError", err)
	}
	if err := session.checkHello(&wire.Hello{ProtocolVersion: wire.ProtocolVersion, Role: wire.RoleSidecar, Instance: "s9"}, Identity{wire.RoleSidecar, "s1"}); !errors.As(err, &identity) {
		t.Errorf("Hello of another name: %v, want IdentityError", err)
	}
}

// Guards against an instance that stays unreachable after its process has restarted at the same address.
func TestReconnectsAfterPeerRestart(t *testing.T) {
	p := newPair(t, nil)
	address := p.other.Addr()
	_ = p.other.Close()
	waitFor(t, func() bool { return p.entry.Session("s1") == nil })
	credentials, err := p.ca.Issue(wire.RoleSidecar, "s1")
	if err != nil {
		t.Fatal(err)
	}
	restarted, err := Listen(address, Options{Credentials: credentials})
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	waitFor(t, func() bool { return p.entry.Session("s1") != nil })
}

// Guards against a stalled reader that blocks the other streams of its session.
func TestSlowReaderBlocksOnlyItsOwnStream(t *testing.T) {
	chunk := &wire.Chunk{Seq: 1, Data: make([]byte, 16<<10)}
	blocked := make(chan struct{}, 1)
	p := newPair(t, func(o *Options) {
		o.OnAsk = func(_ context.Context, _ Identity, st *Stream, ask *wire.Ask) {
			if ask.RequestID == "quick" {
				_ = st.Send(&wire.Done{})
				_, _ = st.Recv()
				return
			}
			for sent := 0; ; sent++ {
				if sent == 5 { // 80 KiB exceed the window
					blocked <- struct{}{}
				}
				if st.Send(chunk) != nil {
					return
				}
			}
		}
	})
	s := p.entry.Session("s1")
	for range 50 {
		slow, err := s.Open()
		if err != nil {
			t.Fatal(err)
		}
		defer slow.Abort()
		if err := slow.Send(&wire.Ask{RequestID: "slow"}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(200 * time.Millisecond)
	if len(blocked) > 0 {
		t.Error("a stream with a stalled reader accepted more data than its window")
	}
	quick, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer quick.Close()
	if err := quick.Send(&wire.Ask{RequestID: "quick"}); err != nil {
		t.Fatal(err)
	}
	_ = quick.q.SetReadDeadline(time.Now().Add(2 * time.Second))
	if m, err := quick.Recv(); err != nil || m.WireType() != wire.TypeDone {
		t.Errorf("quick stream behind stalled ones: %v %v", m, err)
	}
	if n := s.InFlight(); n != 51 {
		t.Errorf("%d streams in flight, want 51", n)
	}
}

// Measures the round trip of one call on a session.
func BenchmarkCall(b *testing.B) {
	p := newPair(b, nil)
	p.other.Handle("echo", echo)
	for range b.N {
		if _, err := p.entry.Call(context.Background(), "s1", "echo", []byte("x")); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against heartbeats that are sent although data arrives, and against missing heartbeats while no data arrives.
func TestDataReplacesHeartbeats(t *testing.T) {
	const observed = 3500 * time.Millisecond
	for _, c := range []struct {
		name     string
		interval time.Duration
		min, max int64
	}{
		{"streaming", 50 * time.Millisecond, 0, 1},
		{"no data", time.Hour, 3, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var heartbeats atomic.Int64
			p := newPair(t, func(o *Options) {
				o.Load = func() *wire.Load { heartbeats.Add(1); return &wire.Load{Slots: 1} }
				o.OnAsk = func(ctx context.Context, _ Identity, st *Stream, _ *wire.Ask) {
					for seq := uint64(1); st.Send(&wire.Chunk{Seq: seq}) == nil; seq++ {
						select {
						case <-ctx.Done():
							return
						case <-time.After(c.interval):
						}
					}
				}
			})
			st, err := p.entry.Session("s1").Open()
			if err != nil {
				t.Fatal(err)
			}
			if err := st.Send(&wire.Ask{RequestID: "r"}); err != nil {
				t.Fatal(err)
			}
			go discard(st)
			time.Sleep(100 * time.Millisecond)
			before := heartbeats.Load()
			time.Sleep(observed)
			if n := heartbeats.Load() - before; n < c.min || n > c.max {
				t.Errorf("%d heartbeats in %s, want %d to %d", n, observed, c.min, c.max)
			}
			if p.entry.Session("s1") == nil || p.entry.Session("s1").Suspect() {
				t.Error("the session was lost or is suspect")
			}
		})
	}
}
