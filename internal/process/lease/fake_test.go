package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// fakeStore is an in-memory store.Client with optional fault injection.
type fakeStore struct {
	store.Client // the methods that leases do not use

	mu      sync.Mutex
	rng     *rand.Rand
	objects map[string]store.Object
	version uint64
	// lossRate is the share of writes whose response is lost; half of these take effect. outage fails every call.
	lossRate float64
	outage   bool
	// ignoreVersions is a deliberate defect: writes are not conditional.
	ignoreVersions bool
	delay          time.Duration
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{rng: rand.New(rand.NewPCG(seed, 1)), objects: make(map[string]store.Object)}
}

func (f *fakeStore) call(write bool) (lost, applied bool, err error) {
	if f.outage {
		return false, false, store.ErrUnavailable
	}
	lost = write && f.rng.Float64() < f.lossRate
	return lost, !lost || f.rng.IntN(2) == 0, nil
}

func (f *fakeStore) Era() uint64 { return 1 }

func (f *fakeStore) wait() {
	if f.delay > 0 {
		f.mu.Lock()
		d := time.Duration(f.rng.Int64N(int64(f.delay)))
		f.mu.Unlock()
		time.Sleep(d)
	}
}

func (f *fakeStore) Get(_ context.Context, kind, name string) (store.Object, error) {
	f.wait()
	defer f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, _, err := f.call(false); err != nil {
		return store.Object{}, err
	}
	obj, ok := f.objects[kind+"/"+name]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return obj, nil
}

func (f *fakeStore) Create(_ context.Context, kind, name string, value []byte) (store.Object, error) {
	return f.put(store.Object{Kind: kind, Name: name, Value: value}, true)
}

func (f *fakeStore) Update(_ context.Context, obj store.Object) (store.Object, error) {
	return f.put(obj, false)
}

func (f *fakeStore) put(obj store.Object, create bool) (store.Object, error) {
	f.wait()
	defer f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	lost, applied, err := f.call(true)
	if err != nil {
		return store.Object{}, err
	}
	have, ok := f.objects[obj.Kind+"/"+obj.Name]
	conflict := create && ok || !create && (!ok || have.Version != obj.Version)
	if f.ignoreVersions {
		conflict = false
	}
	if !conflict && applied {
		f.version++
		obj.Version, obj.Revision = f.version, f.version
		f.objects[obj.Kind+"/"+obj.Name] = obj
	}
	switch {
	case lost:
		return store.Object{}, store.ErrUnknown
	case conflict:
		return store.Object{}, store.ErrConflict
	default:
		return obj, nil
	}
}

func (f *fakeStore) set(change func(f *fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// fakeWeights allows one read per interval.
type fakeWeights struct {
	interval time.Duration
	next     time.Time
}

func (w *fakeWeights) Reserve(now time.Time, _, _ string) time.Duration {
	if now.Before(w.next) {
		return w.next.Sub(now)
	}
	w.next = now.Add(w.interval)
	return 0
}

// fakeSidecar sends orders through a FenceChecker to an engine that ignores fencing numbers.
type fakeSidecar struct {
	fences *FenceChecker
	lost   bool
	loaded []Order
}

var errResponseLost = errors.New("response lost")

func (s *fakeSidecar) Order(ctx context.Context, _ string, o Order) error {
	err := s.fences.Run(ctx, o.Fence, func(context.Context) error {
		s.loaded = append(s.loaded, o)
		return nil
	})
	if s.lost {
		return errResponseLost
	}
	return err
}
