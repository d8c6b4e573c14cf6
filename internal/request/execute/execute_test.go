package execute

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/upstream"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// fakeStream is the sidecar's end of a stream whose entry is the test. Closing in ends the stream.
type fakeStream struct {
	in  chan wire.Message
	out chan wire.Message
}

func (s *fakeStream) Send(messages ...wire.Message) error {
	for _, m := range messages {
		s.out <- m
	}
	return nil
}

func (s *fakeStream) Recv() (wire.Message, error) {
	m, ok := <-s.in
	if !ok {
		return nil, io.EOF
	}
	return m, nil
}

func (s *fakeStream) next(t *testing.T) wire.Message {
	t.Helper()
	select {
	case m := <-s.out:
		return m
	case <-time.After(2 * time.Second):
		t.Fatal("no message within 2 s")
		return nil
	}
}

type fixture struct {
	executor *Executor
	calls    atomic.Int64
}

func newFixture(t *testing.T, slots int) *fixture {
	f := &fixture{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	client, err := upstream.New(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	f.executor = New(Options{Client: client, Kind: wire.KindEngine, Slots: slots})
	return f
}

func (f *fixture) ask(t *testing.T, id string, change func(*wire.Ask)) *fakeStream {
	s := &fakeStream{in: make(chan wire.Message, 4), out: make(chan wire.Message, 16)}
	a := &wire.Ask{RequestID: id, Attempt: 1, Kind: wire.KindEngine, Method: "POST", Path: "/x", RemainingMs: 60000, Policy: wire.Policy{Priority: 4, Weight: 1}}
	if change != nil {
		change(a)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.executor.Serve(context.Background(), peer.Identity{Role: wire.RoleEntry, Instance: "e1"}, s, a)
	}()
	t.Cleanup(func() {
		close(s.in)
		<-done
	})
	return s
}

func expect[M wire.Message](t *testing.T, s *fakeStream) M {
	t.Helper()
	m := s.next(t)
	got, ok := m.(M)
	if !ok {
		t.Fatalf("got %T %+v", m, m)
	}
	return got
}

func committed(a *wire.Ask) { a.Committed = true }

// Guards against a slot that stays reserved for an entry that sends no Start, and against a Start that takes effect
// after the slot was reclaimed.
func TestGrantWithoutStartIsReclaimed(t *testing.T) {
	f := newFixture(t, 1)
	first := f.ask(t, "r1", nil)
	expect[*wire.Grant](t, first)
	second := f.ask(t, "r2", nil)
	start := time.Now()
	expect[*wire.Grant](t, second)
	if waited := time.Since(start); waited < grantTimeout-50*time.Millisecond || waited > grantTimeout+300*time.Millisecond {
		t.Errorf("the slot was reclaimed after %s, want about %s", waited, grantTimeout)
	}
	if r := expect[*wire.Refuse](t, first); r.Reason != wire.RefuseSaturated {
		t.Errorf("refusal %+v", r)
	}
	second.in <- &wire.Start{}
	expect[*wire.Started](t, second)
	first.in <- &wire.Start{Body: []byte("late")}
	time.Sleep(50 * time.Millisecond)
	if n := f.calls.Load(); n != 1 {
		t.Errorf("%d calls reached the upstream, want 1", n)
	}
}

// Guards against a committed ask that waits at one busy sidecar while another has a free slot.
func TestCommittedAskDoesNotWait(t *testing.T) {
	f := newFixture(t, 1)
	expect[*wire.Started](t, f.ask(t, "r1", committed))
	if r := expect[*wire.Refuse](t, f.ask(t, "r2", committed)); r.Reason != wire.RefuseSaturated {
		t.Errorf("refusal %+v", r)
	}
	if load := f.executor.Load(); load.Running != 1 || load.Queued != 0 {
		t.Errorf("load %+v, want one running and none queued", load)
	}
}

// Guards against an ask that is queued or run although the sidecar must refuse it.
func TestRefusedAsks(t *testing.T) {
	f := newFixture(t, 4)
	f.executor.models = []string{"m"}
	cases := map[string]struct {
		change func(*wire.Ask)
		want   wire.RefuseReason
	}{
		"other kind":  {func(a *wire.Ask) { a.Kind = wire.KindPlain }, wire.RefuseInvalid},
		"other model": {func(a *wire.Ask) { a.Model = "n" }, wire.RefuseModel},
		"no time":     {func(a *wire.Ask) { a.RemainingMs = 0 }, wire.RefuseDeadline},
	}
	for name, c := range cases {
		if r := expect[*wire.Refuse](t, f.ask(t, name, c.change)); r.Reason != c.want {
			t.Errorf("%s: reason %d, want %d", name, r.Reason, c.want)
		}
	}
	expect[*wire.Started](t, f.ask(t, "twice", committed))
	if r := expect[*wire.Refuse](t, f.ask(t, "twice", committed)); r.Reason != wire.RefuseInvalid {
		t.Errorf("the same attempt again: reason %d", r.Reason)
	}
	f.executor.SetHealthy(false)
	if r := expect[*wire.Refuse](t, f.ask(t, "unhealthy", nil)); r.Reason != wire.RefuseUnhealthy {
		t.Errorf("unhealthy: reason %d", r.Reason)
	}
}

// Guards against a drain that waits for asks that have not started, or that interrupts attempts that have.
func TestDrainRefusesQueuedAndWaitsForStarted(t *testing.T) {
	f := newFixture(t, 1)
	running := f.ask(t, "r1", committed)
	expect[*wire.Started](t, running)
	queued := f.ask(t, "r2", nil)
	for f.executor.Load().Queued != 1 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- f.executor.Drain(context.Background()) }()
	if r := expect[*wire.Refuse](t, queued); r.Reason != wire.RefuseDraining {
		t.Errorf("queued: reason %d", r.Reason)
	}
	select {
	case err := <-drained:
		t.Fatalf("the drain ended while an attempt was running: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	running.in <- &wire.Cancel{}
	if d := expect[*wire.Done](t, running); d.Outcome != wire.DoneInterrupted {
		t.Errorf("cancelled attempt: %+v", d)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Guards against wasted tokens that are charged to a workspace although the router ended the attempt.
func TestRecordStatesWhoCancelled(t *testing.T) {
	cases := []struct {
		name string
		end  func(*fakeStream)
		want Cancellation
	}{
		{"caller", func(s *fakeStream) { s.in <- &wire.Cancel{} }, CancelledByCaller},
		{"deadline", func(s *fakeStream) { s.in <- &wire.Cancel{ByRouter: true} }, CancelledByRouter},
	}
	for _, c := range cases {
		f := newFixture(t, 1)
		records := make(chan Record, 1)
		f.executor.opts.OnRecord = func(r Record) { records <- r }
		s := f.ask(t, c.name, committed)
		expect[*wire.Started](t, s)
		c.end(s)
		if r := <-records; r.Cancelled != c.want {
			t.Errorf("%s: cancellation %d, want %d", c.name, r.Cancelled, c.want)
		}
	}
}
