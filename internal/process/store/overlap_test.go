package store_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// slowCalls is a store whose n-th call from 0 has its response after the n-th time, or none within callTimeout if that is longer.
type slowCalls struct {
	store.Client
	times []time.Duration
	// body is the part of the time in which the body of the response arrives.
	body time.Duration

	mu     sync.Mutex
	began  []time.Duration
	start  time.Time
	inCall int
	most   int
}

const callTimeout = time.Second

// Watch implements store.Client.
func (s *slowCalls) Watch(ctx context.Context, _ string, after store.Position) ([]store.Object, store.Position, error) {
	s.mu.Lock()
	n := len(s.began)
	s.began = append(s.began, time.Since(s.start).Round(time.Millisecond))
	s.inCall++
	s.most = max(s.most, s.inCall)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inCall--
	}()
	took := time.Millisecond
	if n < len(s.times) {
		took = s.times[n]
	}
	head := time.NewTimer(min(took-s.body, callTimeout))
	defer head.Stop()
	select {
	case <-ctx.Done():
		return nil, after, ctx.Err()
	case <-head.C:
	}
	if took-s.body > callTimeout {
		return nil, after, store.ErrUnavailable
	}
	if _, err := store.BeginResponse(ctx, -1); err != nil {
		return nil, after, err
	}
	time.Sleep(s.body)
	return nil, store.Position{Era: 1, Revision: uint64(n + 1)}, nil
}

// Guards against a Feed that does not notice for the timeout of a call that the store can be reached again, and against one that makes more
// calls, or reports failures, because the store is slow or a large response arrives slowly.
func TestWatchWithoutAResponseIsFollowedByAnother(t *testing.T) {
	const ms, none = time.Millisecond, time.Hour
	for name, c := range map[string]struct {
		times []time.Duration
		body  time.Duration
		// began are the starts of the first calls, and failed those of the calls that are reported as failed.
		began, failed []time.Duration
	}{
		"quick":                     {times: []time.Duration{ms}, began: []time.Duration{0, 3000 * ms}},
		"one call is lost":          {times: []time.Duration{none, ms}, began: []time.Duration{0, 500 * ms, 3000 * ms}},
		"cut off":                   {times: []time.Duration{none, none, none, none, ms}, began: []time.Duration{0, 500 * ms, 1000 * ms, 1500 * ms, 2000 * ms, 3000 * ms}, failed: []time.Duration{0, 500 * ms, 1000 * ms, 1500 * ms}},
		"slow":                      {times: []time.Duration{450 * ms}, began: []time.Duration{0, 3000 * ms}},
		"large response":            {times: []time.Duration{900 * ms}, body: 800 * ms, began: []time.Duration{0, 3000 * ms}},
		"slow, the first one comes": {times: []time.Duration{600 * ms, none}, began: []time.Duration{0, 500 * ms, 3000 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &slowCalls{times: c.times, body: c.body, start: time.Now()}
				var failed []time.Duration
				var feed *store.Feed
				feed = &store.Feed{
					Client: s, Poll: true, MinInterval: 3 * time.Second, OverlapDelay: func() time.Duration { return 500 * ms },
					OnGap: func(context.Context) error { return nil },
					OnError: func(err error) {
						if !errors.Is(err, store.ErrUnavailable) {
							t.Errorf("failed with %v", err)
						}
						failed = append(failed, feed.CallBegan().Sub(s.start).Round(ms))
					},
				}
				go feed.Run(ctx)
				time.Sleep(3100 * ms)
				cancel()
				time.Sleep(callTimeout)
				synctest.Wait()
				if !slices.Equal(s.began, c.began) || !slices.Equal(failed, c.failed) {
					t.Errorf("calls at %v, %v failed; want %v and %v", s.began, failed, c.began, c.failed)
				}
				if s.most > 3 || s.inCall != 0 {
					t.Errorf("%d calls at the same time, %d have not ended", s.most, s.inCall)
				}
			})
		})
	}
}

// Guards against an edge that the store leaves without a response while it serves others, and that does not apply what the others tell it until
// the store responds; and against a late response that brings back what has been replaced since.
func TestAdvanceWhileAWatchHasNoResponse(t *testing.T) {
	const ms = time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		// The third call has its response last, with the writes up to revision 3.
		s := &slowCalls{times: []time.Duration{ms, time.Hour, 900 * ms, time.Hour}, start: time.Now()}
		synced := 0
		feed := &store.Feed{
			Client: s, Poll: true, MinInterval: 700 * ms, OverlapDelay: func() time.Duration { return 500 * ms },
			OnGap:     func(context.Context) error { return nil },
			OnObjects: func([]store.Object) { t.Error("the late response was delivered") },
			OnSynced:  func(_, _ store.Position, _ time.Time) { synced++ },
		}
		go feed.Run(ctx)
		time.Sleep(1500 * ms) // the second call began at 700 ms, the third one at 1,200 ms
		applied := false
		moved := feed.Advance(store.Position{Era: 1, Revision: 1}, store.Position{Era: 1, Revision: 9}, time.Now(), func(store.Position) { applied = true })
		time.Sleep(650 * ms)
		synctest.Wait()
		if !moved || !applied || synced != 1 || feed.Position().Revision != 9 {
			t.Errorf("moved %t, applied %t, %d watches delivered, revision %d; want the first watch only, and revision 9", moved, applied, synced, feed.Position().Revision)
		}
		cancel()
		time.Sleep(callTimeout)
	})
}
