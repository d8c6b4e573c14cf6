package lease

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// lateStore keeps the next update back: its response is lost, and it takes effect when the test applies it.
type lateStore struct {
	*fakeStore
	keepBack bool
	kept     []store.Object
	reads    int
}

func (s *lateStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	s.reads++
	return s.fakeStore.Get(ctx, kind, name)
}

func (s *lateStore) Update(ctx context.Context, obj store.Object) (store.Object, error) {
	if s.keepBack {
		s.keepBack = false
		s.kept = append(s.kept, obj)
		return store.Object{}, store.ErrUnknown
	}
	return s.fakeStore.Update(ctx, obj)
}

// apply lets the updates that were kept back take effect, if their conditions still hold.
func (s *lateStore) apply(ctx context.Context) {
	for _, obj := range s.kept {
		_, _ = s.fakeStore.Update(ctx, obj) // one whose condition no longer holds has no effect
	}
	s.kept = nil
}

// Guards against a holder that counts a renewal which took effect late from the time at which it sent a later one: a candidate
// counts from when it took effect.
func TestLateRenewalCountsFromItsOwnSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{fakeStore: newFakeStore(1)}
		a, b := newLease(s, "a"), newLease(s, "b")
		if _, err := a.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		s.keepBack = true
		if err := a.Renew(t.Context()); !errors.Is(err, store.ErrUnknown) {
			t.Fatalf("renewal without a response: %v", err)
		}
		sent := time.Now()
		time.Sleep(time.Second)
		s.apply(t.Context())
		if _, err := b.Acquire(t.Context()); !errors.Is(err, ErrHeld) {
			t.Fatal(err)
		}
		time.Sleep(leaseDuration / 2)
		if err := a.Renew(t.Context()); !errors.Is(err, store.ErrUnknown) {
			t.Errorf("renewal on the version before the late one: %v", err)
		}
		if _, left := a.Remaining(time.Now()); left > time.Until(sent.Add(leaseDuration*2/3)) {
			t.Errorf("%v remain; the renewal that took effect was sent %v ago", left, time.Since(sent))
		}
		if err := a.Renew(t.Context()); err != nil {
			t.Errorf("renewal after the late one was found: %v", err)
		}
	})
}

// Guards against a release that a late renewal of the same term undoes.
func TestLateRenewalDoesNotUndoRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{fakeStore: newFakeStore(1)}
		a := newLease(s, "a")
		if _, err := a.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		s.keepBack = true
		_ = a.Renew(t.Context())
		s.apply(t.Context())
		_ = a.Release(t.Context()) // conflicts with the late renewal
		if _, ok := a.Held(time.Now()); ok {
			t.Error("held after the release")
		}
	})
}

// Guards against actions of two holders that alternate within a duration, and against a holder that waits although nobody
// else held the lease in between.
func TestReturningHolderWaitsBeforeItActs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		acquire := func(holder string, wantWait time.Duration) *Lease {
			t.Helper()
			l := newLease(s, holder)
			if _, err := l.Acquire(t.Context()); err != nil {
				t.Fatal(err)
			}
			acquired := time.Now()
			for time.Since(acquired) < 2*leaseDuration {
				if _, ok := l.Valid(time.Now()); ok {
					break
				}
				if err := l.Renew(t.Context()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
			}
			if waited := time.Since(acquired); waited < wantWait || waited > wantWait+time.Second {
				t.Errorf("%s acts after %v, want %v", holder, waited, wantWait)
			}
			return l
		}
		release := func(l *Lease) {
			t.Helper()
			if err := l.Release(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		release(acquire("a", 0))
		release(acquire("a", 0))
		release(acquire("b", 0))
		second := acquire("a", leaseDuration)
		time.Sleep(time.Second)
		if err := second.Renew(t.Context()); err != nil { // this one drops the recent holders
			t.Fatal(err)
		}
		release(second)
		release(acquire("a", 0))
	})
}

// Guards against store calls of candidates that hear the holder, and against a takeover before the whole duration after the last
// version that was heard.
func TestCandidateCountsFromVersionItHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{fakeStore: newFakeStore(1)}
		a, b := newLease(s, "a"), newLease(s, "b")
		if _, err := a.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		for range 5 {
			time.Sleep(leaseDuration / 3)
			if err := a.Renew(t.Context()); err != nil {
				t.Fatal(err)
			}
			b.Heard(a.Position(), 1)
		}
		b.Heard(store.Position{Era: 1, Revision: 1}, 1) // a message that is older than others
		s.reads = 0
		time.Sleep(leaseDuration - time.Millisecond)
		if _, err := b.Acquire(t.Context()); !errors.Is(err, ErrHeld) {
			t.Errorf("before the duration has passed: %v", err)
		}
		time.Sleep(time.Millisecond)
		if fence, err := b.Acquire(t.Context()); err != nil || fence != 2 || s.reads != 2 {
			t.Errorf("fence %d, %v after %d reads", fence, err, s.reads)
		}
	})
}

// Guards against a value that is lost when the lease changes hands.
func TestAttachedValueReachesNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		a, b := newLease(s, "a"), newLease(s, "b")
		if _, err := a.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		a.Attach(json.RawMessage(`{"next":7}`))
		if err := a.Renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		a.Abandon()
		for range 3 {
			_, _ = b.Acquire(t.Context()) // the first one only sees the version
			time.Sleep(leaseDuration)
		}
		if got := string(b.Attached()); got != `{"next":7}` {
			t.Errorf("attached value %q", got)
		}
	})
}
