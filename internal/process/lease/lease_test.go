package lease

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

const duration = 9 * time.Second

func newLease(s store.Client, holder string) *Lease {
	return New(Settings{Store: s, Name: "rollout", Holder: holder, Duration: duration, Clock: time.Now, Term: rand.Text})
}

// input and output are an operation of a history.
type input struct {
	act    bool
	client int
	fence  uint64
}

type output struct {
	fence uint64
	err   error
}

// state of the model: the highest fencing number granted, its holder, and the highest number that the gate let pass.
type state struct {
	granted uint64
	holder  int
	passed  uint64
}

// model says what leases with fencing promise: a new holder gets the next number, and an action passes only if no
// action with a higher number passed before. An operation whose write may have taken effect leaves both states open.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{holder: -1}} },
	Step: func(s, in, out any) []any {
		st, i, o := s.(state), in.(input), out.(output)
		if i.act {
			return stepAct(st, i, o)
		}
		next := state{st.granted + 1, i.client, st.passed}
		switch {
		case o.err == nil && o.fence == next.granted:
			return []any{next}
		case o.err == nil && o.fence == st.granted && st.holder == i.client:
			return []any{st}
		case o.err == nil:
			return nil
		case errors.Is(o.err, store.ErrUnknown):
			return []any{st, next}
		default:
			return []any{st}
		}
	},
}

func stepAct(st state, i input, o output) []any {
	raised := state{st.granted, st.holder, max(st.passed, i.fence)}
	var stale *StaleFenceError
	switch {
	case o.err == nil && i.fence >= st.passed && i.fence <= st.granted:
		return []any{raised}
	case errors.As(o.err, &stale) && i.fence < st.passed:
		return []any{st}
	case o.err == nil || errors.As(o.err, &stale):
		return nil
	default:
		return []any{st, raised}
	}
}

// world runs candidates that acquire, act, renew, release and pause, with faults of the store and restarts of the gate.
type world struct {
	store *fakeStore
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
	gate  *Gate
	// gateStore is where gates persist; forgetful replaces it at each restart, as a defect.
	gateStore *fakeStore
	forgetful bool
	// refused counts actions that were refused because their holder had been replaced.
	refused int
}

func (w *world) record(in input, run func() output) output {
	call := w.clock.Add(1)
	out := run()
	end := w.clock.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ops = append(w.ops, porcupine.Operation{ClientId: in.client, Input: in, Output: out, Call: call, Return: end})
	var stale *StaleFenceError
	if errors.As(out.err, &stale) {
		w.refused++
	}
	return out
}

func (w *world) candidate(ctx context.Context, id int, rng *mathrand.Rand) {
	l := newLease(w.store, "candidate")
	for range 25 {
		time.Sleep(time.Duration(rng.Int64N(int64(duration / 2))))
		if _, ok := l.Valid(time.Now()); !ok {
			w.record(input{client: id}, func() output {
				fence, err := l.Acquire(ctx)
				return output{fence, err}
			})
		}
		fence, ok := l.Valid(time.Now())
		if !ok {
			continue
		}
		if rng.IntN(4) == 0 {
			time.Sleep(duration * time.Duration(1+rng.IntN(2))) // a pause between the check and the action
		}
		w.mu.Lock()
		gate := w.gate
		w.mu.Unlock()
		w.record(input{act: true, client: id, fence: fence}, func() output {
			return output{err: gate.Pass(ctx, fence, func(context.Context) error { return nil })}
		})
		if rng.IntN(8) == 0 {
			_ = l.Release(ctx)
		} else {
			_ = l.Renew(ctx)
		}
	}
}

func (w *world) faults(rng *mathrand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Second):
		}
		w.store.set(func(f *fakeStore) { f.outage = rng.IntN(4) == 0 })
		if rng.IntN(2) == 0 {
			w.mu.Lock()
			if w.forgetful {
				w.gateStore = newFakeStore(1)
			}
			w.gate = NewGate(w.gateStore, "lm-pool-1")
			w.mu.Unlock()
		}
	}
}

func (w *world) run(t *testing.T, seed uint64) porcupine.CheckResult {
	w.store.rng = mathrand.New(mathrand.NewPCG(seed, 2))
	w.store.lose, w.store.delay = 0.2, 300*time.Millisecond
	if w.gateStore == nil {
		w.gateStore = w.store
	}
	synctest.Test(t, func(t *testing.T) {
		// Channels must be made inside the bubble, or waiting for them stops its clock.
		w.gate = NewGate(w.gateStore, "lm-pool-1")
		done := make(chan struct{})
		go w.faults(mathrand.New(mathrand.NewPCG(seed, 99)), done)
		var all sync.WaitGroup
		for id := range 4 {
			all.Go(func() { w.candidate(t.Context(), id, mathrand.New(mathrand.NewPCG(seed, uint64(id)))) })
		}
		all.Wait()
		close(done)
	})
	return porcupine.CheckOperationsTimeout(model.ToModel(), w.ops, 30*time.Second)
}

// Guards against two holders of one number, and against actions of a replaced holder, with pauses of holders, lost
// responses, outages of the store and restarts of the sidecar.
func TestLeaseHistoriesAreLinearizable(t *testing.T) {
	refused, ops := 0, 0
	for seed := range uint64(20) {
		w := &world{store: newFakeStore(seed)}
		if r := w.run(t, seed); r != porcupine.Ok {
			t.Fatalf("seed %d: history is %s", seed, r)
		}
		refused += w.refused
		ops += len(w.ops)
	}
	t.Logf("%d operations, %d stale actions refused", ops, refused)
	if refused == 0 {
		t.Error("no stale action was tried: the histories prove nothing about fencing")
	}
}

// Guards against a checker that accepts everything: a store without conditional writes and a gate that forgets its
// number at a restart must both be rejected.
func TestBrokenFakesAreRejected(t *testing.T) {
	for name, broken := range map[string]func() *world{
		"unconditional writes": func() *world {
			w := &world{store: newFakeStore(1)}
			w.store.ignoreVersions = true
			return w
		},
		"forgetful gate": func() *world { return &world{store: newFakeStore(1), gateStore: newFakeStore(1), forgetful: true} },
	} {
		rejected := 0
		for seed := range uint64(10) {
			if broken().run(t, seed) == porcupine.Illegal {
				rejected++
			}
		}
		t.Logf("%s: %d of 10 histories rejected", name, rejected)
		if rejected == 0 {
			t.Errorf("%s: every history accepted", name)
		}
	}
}

// Guards against a holder that acts after two thirds of the duration, a successor that does not wait for the whole
// duration, and a number that does not grow by one.
func TestHolderStopsBeforeSuccessorStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		a, b := newLease(s, "a"), newLease(s, "b")
		if fence, err := a.Acquire(t.Context()); fence != 1 || err != nil {
			t.Fatalf("fence %d, %v", fence, err)
		}
		start := time.Now()
		stopped := time.Duration(0)
		for {
			if _, ok := a.Valid(time.Now()); !ok && stopped == 0 {
				stopped = time.Since(start)
			}
			fence, err := b.Acquire(t.Context())
			if err == nil {
				if fence != 2 || stopped > duration*2/3 || time.Since(start) < duration {
					t.Errorf("fence %d, stopped after %v, taken over after %v", fence, stopped, time.Since(start))
				}
				break
			}
			if !errors.Is(err, ErrHeld) {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if err := a.Renew(t.Context()); !errors.Is(err, ErrLost) {
			t.Errorf("renewal of the replaced holder: %v", err)
		}
		if err := b.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		if fence, err := a.Acquire(t.Context()); fence != 3 || err != nil {
			t.Errorf("after the release: fence %d, %v", fence, err)
		}
	})
}

// Guards against losing a lease whose write took effect although its response was lost, and against assuming one.
func TestLostAnswersAreResolvedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.lose = 1
		l := newLease(s, "a")
		resolved, unknown := 0, 0
		for range 40 {
			fence, err := l.Acquire(t.Context())
			switch {
			case err == nil && fence == 1:
				resolved++
				if err := l.Renew(t.Context()); err != nil && !errors.Is(err, store.ErrUnknown) {
					t.Errorf("renewal: %v", err)
				}
			case errors.Is(err, store.ErrUnknown):
				unknown++
				if _, ok := l.Valid(time.Now()); ok {
					t.Error("an unresolved write counts as held")
				}
			default:
				t.Fatalf("fence %d, %v", fence, err)
			}
			time.Sleep(duration)
		}
		if resolved == 0 || unknown == 0 {
			t.Errorf("%d resolved and %d unknown: both were to be tried", resolved, unknown)
		}
	})
}

// Guards against an older order after a restart of the sidecar, and against orders let through while the number cannot
// be stored.
func TestGateRefusesOlderNumberAfterRestart(t *testing.T) {
	s := newFakeStore(1)
	ran := 0
	act := func(context.Context) error { ran++; return nil }
	if err := NewGate(s, "u").Pass(t.Context(), 7, act); err != nil {
		t.Fatal(err)
	}
	g := NewGate(s, "u")
	var stale *StaleFenceError
	if err := g.Pass(t.Context(), 6, act); !errors.As(err, &stale) || stale.Accepted != 7 {
		t.Errorf("older number: %v", err)
	}
	s.outage = true
	if err := g.Pass(t.Context(), 8, act); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("during the outage: %v", err)
	}
	s.outage = false
	if err := g.Pass(t.Context(), 7, act); err != nil {
		t.Errorf("same number again: %v", err)
	}
	if ran != 2 {
		t.Errorf("%d orders ran, want 2", ran)
	}
}

// Guards against orders without a valid lease, above the weight store's rate, with an older number, and against
// calling an order refused whose answer was lost.
func TestLoadModelSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		w := &fakeWeights{interval: time.Minute}
		sidecar := &fakeSidecar{gate: NewGate(s, "u")}
		a, b := newLease(s, "a"), newLease(s, "b")
		load := func(l *Lease) Result {
			return LoadModel(t.Context(), time.Now, l, w, sidecar, "u", "model-a", "v2")
		}
		want := func(what string, r Result, step Step) {
			t.Helper()
			if r.Step != step {
				t.Errorf("%s: %+v, want step %d", what, r, step)
			}
		}
		want("without a lease", load(a), NotHolder)
		if _, err := a.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		want("with a lease", load(a), Loaded)
		if r := load(a); r.Step != Throttled || r.Wait != time.Minute {
			t.Errorf("second read: %+v", r)
		}
		w.interval, w.next = 0, time.Time{}
		sidecar.lost = true
		want("lost answer", load(a), Uncertain)
		sidecar.lost = false
		if err := a.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, err := b.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		want("new holder", load(b), Loaded)
		r := LoadModel(t.Context(), time.Now, pausedHolder{1}, w, sidecar, "u", "model-a", "v1")
		want("paused holder", r, Refused)
		if n := len(sidecar.loaded); n != 3 || sidecar.loaded[2].Fence != 2 {
			t.Errorf("engine ran %+v", sidecar.loaded)
		}
	})
}

// pausedHolder believes that it still holds the lease.
type pausedHolder struct{ fence uint64 }

func (p pausedHolder) Valid(time.Time) (uint64, bool) { return p.fence, true }
