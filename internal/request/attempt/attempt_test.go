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

// fakeStream is the entry's end of a stream whose sidecar is the test.
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

// nextSent returns the next message that the entry sent.
func (s *fakeStream) nextSent(t *testing.T) wire.Message {
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

// fakeChooser returns its choices one after the other.
type fakeChooser struct{ choices []Choice }

func (f *fakeChooser) Choose(time.Time, *Request, []string) Choice {
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
	r := &Runner{Chooser: &fakeChooser{choices}, Budget: retry.NewBudget(retry.Settings{}), Changed: func() <-chan struct{} { return nil }}
	req := &Request{
		Ask: wire.Ask{RequestID: "r", Kind: wire.KindEngine}, Body: []byte("body"), Idempotent: idempotent,
		Accepted: time.Now(), Deadline: time.Now().Add(time.Minute),
	}
	return r.Run(ctx, req, sink, &Trace{})
}

func choiceOf(committed bool, ups ...*fakeUpstream) Choice {
	c := Choice{Committed: committed}
	for _, u := range ups {
		c.Targets = append(c.Targets, u)
	}
	return c
}

func sendCompleteResponse(s *fakeStream, number uint32) {
	s.in <- &wire.Started{RequestID: "r", Attempt: number}
	s.in <- &wire.Head{Status: 200}
	s.in <- &wire.Chunk{Seq: 1, Data: []byte("a")}
	s.in <- &wire.Chunk{Seq: 2, Data: []byte("b")}
	s.in <- &wire.Done{Outcome: wire.DoneCompleted, Chunks: 2}
}

// Guards against two starts of one request when two sidecars grant a slot, and against a second slot that stays reserved.
func TestOnlyTheFirstGrantIsStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := &fakeUpstream{name: "a", stream: newFakeStream()}, &fakeUpstream{name: "b", stream: newFakeStream()}
		sink := &fakeSink{}
		done := make(chan Result, 1)
		go func() { done <- run(t.Context(), sink, true, choiceOf(false, a, b)) }()
		if m, ok := a.stream.nextSent(t).(*wire.Ask); !ok || m.Body != nil {
			t.Errorf("first message %+v, want an ask without the body", m)
		}
		b.stream.nextSent(t)
		b.stream.in <- &wire.Grant{RequestID: "r", Attempt: 2}
		if m, ok := b.stream.nextSent(t).(*wire.Start); !ok || string(m.Body) != "body" {
			t.Errorf("response to the grant %+v, want Start", m)
		}
		a.stream.in <- &wire.Grant{RequestID: "r", Attempt: 1}
		if m, ok := a.stream.nextSent(t).(*wire.Cancel); !ok {
			t.Errorf("the other sidecar got %T, want Cancel", m)
		}
		sendCompleteResponse(b.stream, 2)
		if r := <-done; r.End != EndCompleted || r.Upstream != "b" || string(sink.data) != "ab" {
			t.Errorf("result %+v data %q", r, sink.data)
		}
	})
}

// Guards against a response that is reported as complete although chunks are missing or it belongs to another attempt.
func TestInvalidResponseIsNotCompleted(t *testing.T) {
	cases := map[string]func(s *fakeStream){
		"gap": func(s *fakeStream) {
			s.in <- &wire.Started{RequestID: "r", Attempt: 1}
			s.in <- &wire.Chunk{Seq: 2, Data: []byte("b")}
		},
		"fewer chunks than stated": func(s *fakeStream) {
			s.in <- &wire.Started{RequestID: "r", Attempt: 1}
			s.in <- &wire.Done{Outcome: wire.DoneCompleted, Chunks: 1}
		},
		"session lost": func(s *fakeStream) {
			s.in <- &wire.Started{RequestID: "r", Attempt: 1}
			s.Close()
		},
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			u := &fakeUpstream{name: "a", stream: newFakeStream()}
			respond(u.stream)
			if r := run(t.Context(), &fakeSink{sent: true}, true, choiceOf(true, u)); r.End != EndInterrupted {
				t.Errorf("result %+v", r)
			}
		})
	}
	u := &fakeUpstream{name: "a", stream: newFakeStream()}
	sendCompleteResponse(u.stream, 7)
	if r := run(t.Context(), &fakeSink{}, false, choiceOf(true, u)); r.End != EndUnknown {
		t.Errorf("response of another attempt: %+v, want unknown", r)
	}
}

// Guards against a retry of a call that may have run, and against a missing retry of a call that certainly did not run.
func TestRetryOnlyWhenSafe(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		sent       bool
		respond    func(s *fakeStream)
		retried    bool
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
		c.respond(first.stream)
		sendCompleteResponse(second.stream, 2)
		run(t.Context(), &fakeSink{sent: c.sent}, c.idempotent, choiceOf(true, first), choiceOf(true, second))
		if retried := second.opened == 1; retried != c.retried {
			t.Errorf("%s: retried %t, want %t", c.name, retried, c.retried)
		}
	}
}

// Guards against outcome not_run for a request although its sidecar has not confirmed that it did not start.
func TestCancelledCommittedAskWaitsForConfirmation(t *testing.T) {
	for name, reply := range map[string]struct {
		m    wire.Message
		want End
	}{
		"refused": {&wire.Refuse{RequestID: "r", Attempt: 1, Reason: wire.RefuseCancelled}, EndCancelled},
		"timeout": {nil, EndUnknown},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			u := &fakeUpstream{name: "a", stream: newFakeStream()}
			done := make(chan Result, 1)
			go func() { done <- run(ctx, &fakeSink{}, false, choiceOf(true, u)) }()
			u.stream.nextSent(t)
			cancel(errors.New("caller gone"))
			if m, ok := u.stream.nextSent(t).(*wire.Cancel); !ok {
				t.Errorf("%s: got %T, want Cancel", name, m)
			}
			if reply.m != nil {
				u.stream.in <- reply.m
			}
			if r := <-done; r.End != reply.want {
				t.Errorf("%s: end %s, want %s", name, r.End, reply.want)
			}
		})
	}
}

// Guards against a request that waits at busy sidecars while others have free slots.
func TestAskWithoutGrantIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := []*fakeUpstream{{name: "a", stream: newFakeStream()}, {name: "b", stream: newFakeStream()}}
		free := &fakeUpstream{name: "c", stream: newFakeStream()}
		go func() {
			ask := free.stream.nextSent(t).(*wire.Ask)
			free.stream.in <- &wire.Grant{RequestID: "r", Attempt: ask.Attempt}
			free.stream.nextSent(t) // Start
			sendCompleteResponse(free.stream, ask.Attempt)
		}()
		start := time.Now()
		result := run(t.Context(), &fakeSink{}, true, choiceOf(false, busy...), choiceOf(false, free))
		if result.End != EndCompleted || result.Upstream != "c" {
			t.Errorf("result %+v", result)
		}
		if waited := time.Since(start); waited != initialReaskDelay {
			t.Errorf("replaced after %s, want %s", waited, initialReaskDelay)
		}
		busy[0].stream.nextSent(t) // Ask
		if _, ok := busy[0].stream.nextSent(t).(*wire.Cancel); !ok {
			t.Error("the replaced ask was not cancelled")
		}
	})
}
