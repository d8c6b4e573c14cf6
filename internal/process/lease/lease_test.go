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

const leaseDuration = 9 * time.Second

func newLease(s store.Client, holder string) *Lease {
	return New(Settings{Store: s, Name: "rollout", Holder: holder, Duration: leaseDuration, Clock: time.Now, Term: rand.Text})
}

// input and output describe one operation of a history.
type input struct {
	act    bool
	client int
	fence  uint64
}

type output struct {
	fence uint64
	err   error
}

// state is the state of the model: the highest fencing number granted, its holder, and the highest number that the
// FenceChecker accepted.
type state struct {
	granted  uint64
	holder   int
	accepted uint64
}

// model specifies leases with fencing: a new holder gets the next number, and an action is accepted only if no action
// with a higher number was accepted before. An operation whose write may have taken effect leads to both states.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{holder: -1}} },
	Step: func(s, in, out any) []any {
		st, i, o := s.(state), in.(input), out.(output)
		if i.act {
			return stepAct(st, i, o)
		}
		next := state{st.granted + 1, i.client, st.accepted}
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
	raised := state{st.granted, st.holder, max(st.accepted, i.fence)}
	var stale *StaleFenceError
	switch {
	case o.err == nil && i.fence >= st.accepted && i.fence <= st.granted:
		return []any{raised}
	case errors.As(o.err, &stale) && i.fence < st.accepted:
		return []any{st}
	case o.err == nil || errors.As(o.err, &stale):
		return nil
	default:
		return []any{st, raised}
	}
}

// simulation runs candidates that acquire, act, renew, release and pause, with store faults and restarts of the
// FenceChecker.
type simulation struct {
	store  *fakeStore
	clock  atomic.Int64
	mu     sync.Mutex
	ops    []porcupine.Operation
	fences *FenceChecker
	// fenceStore is the store of the FenceCheckers. losesState is a deliberate defect that replaces it at each restart.
	fenceStore *fakeStore
	losesState bool
	// refused is the number of actions refused because their holder had been replaced.
	refused int
}

func (sim *simulation) record(in input, run func() output) output {
	call := sim.clock.Add(1)
	out := run()
	end := sim.clock.Add(1)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.ops = append(sim.ops, porcupine.Operation{ClientId: in.client, Input: in, Output: out, Call: call, Return: end})
	var stale *StaleFenceError
	if errors.As(out.err, &stale) {
		sim.refused++
	}
	return out
}

func (sim *simulation) candidate(ctx context.Context, id int, rng *mathrand.Rand) {
	l := newLease(sim.store, "candidate")
	for range 25 {
		time.Sleep(time.Duration(rng.Int64N(int64(leaseDuration / 2))))
		if _, ok := l.Valid(time.Now()); !ok {
			sim.record(input{client: id}, func() output {
				fence, err := l.Acquire(ctx)
				return output{fence, err}
			})
		}
		fence, ok := l.Valid(time.Now())
		if !ok {
			continue
		}
		if rng.IntN(4) == 0 {
			time.Sleep(leaseDuration * time.Duration(1+rng.IntN(2))) // a pause between the check and the action
		}
		sim.mu.Lock()
		fences := sim.fences
		sim.mu.Unlock()
		sim.record(input{act: true, client: id, fence: fence}, func() output {
			return output{err: fences.Run(ctx, fence, func(context.Context) error { return nil })}
		})
		if rng.IntN(8) == 0 {
			_ = l.Release(ctx)
		} else {
			_ = l.Renew(ctx)
		}
	}
}

func (sim *simulation) faults(rng *mathrand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Second):
		}
		sim.store.set(func(f *fakeStore) { f.outage = rng.IntN(4) == 0 })
		if rng.IntN(2) == 0 {
			sim.mu.Lock()
			if sim.losesState {
				sim.fenceStore = newFakeStore(1)
			}
			sim.fences = NewFenceChecker(sim.fenceStore, "lm-pool-1")
			sim.mu.Unlock()
		}
	}
}

func (sim *simulation) run(t *testing.T, seed uint64) porcupine.CheckResult {
	sim.store.rng = mathrand.New(mathrand.NewPCG(seed, 2))
	sim.store.lossRate, sim.store.delay = 0.2, 300*time.Millisecond
	if sim.fenceStore == nil {
		sim.fenceStore = sim.store
	}
	synctest.Test(t, func(t *testing.T) {
		// Channels must be created inside the bubble; waiting for others stops its clock.
		sim.fences = NewFenceChecker(sim.fenceStore, "lm-pool-1")
		done := make(chan struct{})
		go sim.faults(mathrand.New(mathrand.NewPCG(seed, 99)), done)
		var all sync.WaitGroup
		for id := range 4 {
			all.Go(func() { sim.candidate(t.Context(), id, mathrand.New(mathrand.NewPCG(seed, uint64(id)))) })
		}
		all.Wait()
		close(done)
	})
	return porcupine.CheckOperationsTimeout(model.ToModel(), sim.ops, 30*time.Second)
}

// Guards against two holders with the same fencing number, and against actions of a replaced holder, when holders
// pause, responses are lost, the store has outages and the sidecar restarts.
func TestLeaseHistoriesAreLinearizable(t *testing.T) {
	refused, ops := 0, 0
	for seed := range uint64(20) {
		sim := &simulation{store: newFakeStore(seed)}
		if r := sim.run(t, seed); r != porcupine.Ok {
			t.Fatalf("seed %d: history is %s", seed, r)
		}
		refused += sim.refused
		ops += len(sim.ops)
	}
	t.Logf("%d operations, %d stale actions refused", ops, refused)
	if refused == 0 {
		t.Error("no stale action was attempted: the histories do not cover fencing")
	}
}

// Guards against a linearizability check that accepts every history: it must reject those of a store without conditional
// writes and of a FenceChecker that loses its number at a restart.
func TestLinearizabilityCheckRejectsFaultyFakes(t *testing.T) {
	for name, faulty := range map[string]func() *simulation{
		"unconditional writes": func() *simulation {
			sim := &simulation{store: newFakeStore(1)}
			sim.store.ignoreVersions = true
			return sim
		},
		"fence checker without persistence": func() *simulation {
			return &simulation{store: newFakeStore(1), fenceStore: newFakeStore(1), losesState: true}
		},
	} {
		rejected := 0
		for seed := range uint64(10) {
			if faulty().run(t, seed) == porcupine.Illegal {
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
// duration, and a fencing number that does not increase by one.
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
				if fence != 2 || stopped > leaseDuration*2/3 || time.Since(start) < leaseDuration {
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

// Guards against losing a lease whose write took effect although its response was lost, and against counting a lease as
// held while the outcome of its write is unknown.
func TestLostResponsesAreResolvedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.lossRate = 1
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
			time.Sleep(leaseDuration)
		}
		if resolved == 0 || unknown == 0 {
			t.Errorf("%d resolved and %d unknown, want some of both", resolved, unknown)
		}
	})
}

// Guards against running an order with a lower number after a restart of the sidecar, and against running orders while
// the number cannot be stored.
func TestFenceCheckerRefusesLowerNumberAfterRestart(t *testing.T) {
	s := newFakeStore(1)
	ran := 0
	act := func(context.Context) error { ran++; return nil }
	if err := NewFenceChecker(s, "u").Run(t.Context(), 7, act); err != nil {
		t.Fatal(err)
	}
	c := NewFenceChecker(s, "u")
	var stale *StaleFenceError
	if err := c.Run(t.Context(), 6, act); !errors.As(err, &stale) || stale.Accepted != 7 {
		t.Errorf("lower number: %v", err)
	}
	s.outage = true
	if err := c.Run(t.Context(), 8, act); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("during the outage: %v", err)
	}
	s.outage = false
	if err := c.Run(t.Context(), 7, act); err != nil {
		t.Errorf("same number again: %v", err)
	}
	if ran != 2 {
		t.Errorf("%d orders ran, want 2", ran)
	}
}

// Guards against orders without a valid lease, above the weight store's rate limit or with a lower number, and against
// reporting an order as refused when its response was lost.
func TestLoadModelOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		w := &fakeWeights{interval: time.Minute}
		sidecar := &fakeSidecar{fences: NewFenceChecker(s, "u")}
		a, b := newLease(s, "a"), newLease(s, "b")
		load := func(l *Lease) Result {
			return LoadModel(t.Context(), time.Now, l, w, sidecar, "u", "model-a", "v2")
		}
		want := func(what string, r Result, outcome Outcome) {
			t.Helper()
			if r.Outcome != outcome {
				t.Errorf("%s: %+v, want outcome %d", what, r, outcome)
			}
		}
		want("without a lease", load(a), NotHolder)
		if _, err := a.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		want("with a lease", load(a), Loaded)
		if r := load(a); r.Outcome != Throttled || r.Wait != time.Minute {
			t.Errorf("second read: %+v", r)
		}
		w.interval, w.next = 0, time.Time{}
		sidecar.lost = true
		want("lost response", load(a), Uncertain)
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

// pausedHolder is a Holder that was replaced during a pause and still counts its lease as valid.
type pausedHolder struct{ fence uint64 }

func (p pausedHolder) Valid(time.Time) (uint64, bool) { return p.fence, true }
