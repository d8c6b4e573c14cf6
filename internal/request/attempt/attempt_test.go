package attempt

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/retry"
)

// fakeStream is a sidecar's side of a stream, driven by the test.
type fakeStream struct {
	in   chan wire.Message
	out  chan wire.Message
	once sync.Once
	done chan struct{}
}

func newFakeStream() *fakeStream {
	return &fakeStream{in: make(chan wire.Message, 16), out: make(chan wire.Message, 16), done: make(chan struct{})}
}

func (s *fakeStream) Send(messages ...wire.Message) error {
	for _, m := range messages {
		s.out <- m
	}
	return nil
}

func (s *fakeStream) Recv() (wire.Message, error) {
	select {
	case m := <-s.in:
		return m, nil
	default:
	}
	select {
	case m := <-s.in:
		return m, nil
	case <-s.done:
		return nil, io.ErrUnexpectedEOF
	}
}

func (s *fakeStream) Close() { s.once.Do(func() { close(s.done) }) }
func (s *fakeStream) Abort() { s.Close() }

// got returns the next message that the entry sent.
func (s *fakeStream) got(t *testing.T) wire.Message {
	t.Helper()
	select {
	case m := <-s.out:
		return m
	case <-time.After(time.Second):
		t.Error("the entry sent nothing")
		return nil
	}
}

type fakeUpstream struct {
	name   string
	stream *fakeStream
	opened int
}

func (u *fakeUpstream) Name() string { return u.name }

func (u *fakeUpstream) Open() (Stream, error) {
	u.opened++
	return u.stream, nil
}

// fixed proposes its choices in turn.
type fixed struct{ choices []Choice }

func (f *fixed) Choose(time.Time, *Request, []string) Choice {
	if len(f.choices) == 0 {
		return Choice{}
	}
	c := f.choices[0]
	f.choices = f.choices[1:]
	return c
}

type fakeSink struct {
	data []byte
	sent bool
}

func (s *fakeSink) Started(string)        {}
func (s *fakeSink) Head(*wire.Head) error { s.data = nil; return nil }
func (s *fakeSink) Sent() bool            { return s.sent }
func (s *fakeSink) Chunk(c *wire.Chunk) error {
	s.data = append(s.data, c.Data...)
	return nil
}

func run(ctx context.Context, sink *fakeSink, idempotent bool, choices ...Choice) Result {
	r := &Runner{Chooser: &fixed{choices}, Budget: retry.NewBudget(retry.Settings{}), Changed: func() <-chan struct{} { return nil }}
	req := &Request{
		Ask: wire.Ask{RequestID: "r", Kind: wire.KindEngine}, Body: []byte("body"), Idempotent: idempotent,
		Accepted: time.Now(), Deadline: time.Now().Add(time.Minute),
	}
	return r.Run(ctx, req, sink, &Trace{})
}

func one(committed bool, ups ...*fakeUpstream) Choice {
	c := Choice{Committed: committed}
	for _, u := range ups {
		c.Targets = append(c.Targets, u)
	}
	return c
}

func complete(s *fakeStream, number uint32) {
	s.in <- &wire.Started{RequestID: "r", Attempt: number}
	s.in <- &wire.Head{Status: 200}
	s.in <- &wire.Chunk{Seq: 1, Data: []byte("a")}
	s.in <- &wire.Chunk{Seq: 2, Data: []byte("b")}
	s.in <- &wire.Done{Outcome: wire.DoneCompleted, Chunks: 2}
}

// Guards against two starts of one request when two sidecars grant, and against a loser that keeps its slot.
func TestFirstGrantWinsAndTheOtherIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := &fakeUpstream{name: "a", stream: newFakeStream()}, &fakeUpstream{name: "b", stream: newFakeStream()}
		sink := &fakeSink{}
		done := make(chan Result, 1)
		go func() { done <- run(t.Context(), sink, true, one(false, a, b)) }()
		if m, ok := a.stream.got(t).(*wire.Ask); !ok || m.Body != nil {
			t.Errorf("first message %+v, want an ask without the body", m)
		}
		b.stream.got(t)
		b.stream.in <- &wire.Grant{RequestID: "r", Attempt: 2}
		if m, ok := b.stream.got(t).(*wire.Start); !ok || string(m.Body) != "body" {
			t.Errorf("answer to the grant %+v, want Start", m)
		}
		a.stream.in <- &wire.Grant{RequestID: "r", Attempt: 1}
		if m, ok := a.stream.got(t).(*wire.Cancel); !ok {
			t.Errorf("the loser got %T, want Cancel", m)
		}
		complete(b.stream, 2)
		if r := <-done; r.End != EndCompleted || r.Upstream != "b" || string(sink.data) != "ab" {
			t.Errorf("result %+v data %q", r, sink.data)
		}
	})
}

// Guards against an answer with a gap, a foreign answer, or a short one that is taken for the whole answer.
func TestWrongSequencesEndAsInterrupted(t *testing.T) {
	cases := map[string]func(s *fakeStream){
		"gap": func(s *fakeStream) {
			s.in <- &wire.Started{RequestID: "r", Attempt: 1}
			s.in <- &wire.Chunk{Seq: 2, Data: []byte("b")}
		},
		"fewer chunks than named": func(s *fakeStream) {
			s.in <- &wire.Started{RequestID: "r", Attempt: 1}
			s.in <- &wire.Done{Outcome: wire.DoneCompleted, Chunks: 1}
		},
		"session lost": func(s *fakeStream) {
			s.in <- &wire.Started{RequestID: "r", Attempt: 1}
			s.Close()
		},
	}
	for name, feed := range cases {
		t.Run(name, func(t *testing.T) {
			u := &fakeUpstream{name: "a", stream: newFakeStream()}
			feed(u.stream)
			if r := run(t.Context(), &fakeSink{sent: true}, true, one(true, u)); r.End != EndInterrupted {
				t.Errorf("result %+v", r)
			}
		})
	}
	u := &fakeUpstream{name: "a", stream: newFakeStream()}
	complete(u.stream, 7)
	if r := run(t.Context(), &fakeSink{}, false, one(true, u)); r.End != EndUnknown {
		t.Errorf("answer of another attempt: %+v, want unknown", r)
	}
}

// Guards against a second attempt of a call that may have run, and against none for one that provably did not.
func TestRepetitionFollowsWhatIsKnown(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		sent       bool
		feed       func(s *fakeStream)
		again      bool
	}{
		{"refused", false, false, func(s *fakeStream) { s.in <- &wire.Refuse{RequestID: "r", Attempt: 1, Reason: wire.RefuseDraining} }, true},
		{"not run", false, false, func(s *fakeStream) {
			s.in <- &wire.Started{RequestID: "r", Attempt: 1}
			s.in <- &wire.Done{Outcome: wire.DoneNotRun}
		}, true},
		{"unknown", false, false, func(s *fakeStream) {
			s.in <- &wire.Started{RequestID: "r", Attempt: 1}
			s.in <- &wire.Done{Outcome: wire.DoneUnknown}
		}, false},
		{"lost before the start was confirmed", false, false, func(s *fakeStream) { s.Close() }, false},
		{"idempotent and interrupted", true, false, func(s *fakeStream) {
			s.in <- &wire.Started{RequestID: "r", Attempt: 1}
			s.in <- &wire.Done{Outcome: wire.DoneInterrupted}
		}, true},
		{"idempotent and partly sent", true, true, func(s *fakeStream) {
			s.in <- &wire.Started{RequestID: "r", Attempt: 1}
			s.in <- &wire.Done{Outcome: wire.DoneInterrupted}
		}, false},
	}
	for _, c := range cases {
		first, second := &fakeUpstream{name: "a", stream: newFakeStream()}, &fakeUpstream{name: "b", stream: newFakeStream()}
		c.feed(first.stream)
		complete(second.stream, 2)
		run(t.Context(), &fakeSink{sent: c.sent}, c.idempotent, one(true, first), one(true, second))
		if again := second.opened == 1; again != c.again {
			t.Errorf("%s: repeated %t, want %t", c.name, again, c.again)
		}
	}
}

// Guards against not_run for a request whose sidecar has not confirmed that it did not start.
func TestCancelledCommittedAskWaitsForTheSidecarsWord(t *testing.T) {
	for name, word := range map[string]struct {
		m    wire.Message
		want End
	}{
		"refused": {&wire.Refuse{RequestID: "r", Attempt: 1, Reason: wire.RefuseCancelled}, EndCancelled},
		"silent":  {nil, EndUnknown},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			u := &fakeUpstream{name: "a", stream: newFakeStream()}
			done := make(chan Result, 1)
			go func() { done <- run(ctx, &fakeSink{}, false, one(true, u)) }()
			u.stream.got(t)
			cancel(errors.New("caller gone"))
			if m, ok := u.stream.got(t).(*wire.Cancel); !ok {
				t.Errorf("%s: got %T, want Cancel", name, m)
			}
			if word.m != nil {
				u.stream.in <- word.m
			}
			if r := <-done; r.End != word.want {
				t.Errorf("%s: end %s, want %s", name, r.End, word.want)
			}
		})
	}
}

// Guards against a request that waits at slow sidecars while others have free slots.
func TestAskWithoutGrantIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := []*fakeUpstream{{name: "a", stream: newFakeStream()}, {name: "b", stream: newFakeStream()}}
		free := &fakeUpstream{name: "c", stream: newFakeStream()}
		go func() {
			ask := free.stream.got(t).(*wire.Ask)
			free.stream.in <- &wire.Grant{RequestID: "r", Attempt: ask.Attempt}
			free.stream.got(t) // Start
			complete(free.stream, ask.Attempt)
		}()
		began := time.Now()
		result := run(t.Context(), &fakeSink{}, true, one(false, slow...), one(false, free))
		if result.End != EndCompleted || result.Upstream != "c" {
			t.Errorf("result %+v", result)
		}
		if waited := time.Since(began); waited != firstReask {
			t.Errorf("replaced after %s, want %s", waited, firstReask)
		}
		slow[0].stream.got(t) // Ask
		if _, ok := slow[0].stream.got(t).(*wire.Cancel); !ok {
			t.Error("the replaced ask was not cancelled")
		}
	})
}
