package store_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// longWatches is a store whose watches have responses that are too long, except after the newest revision.
type longWatches struct {
	store.Client
	revision atomic.Uint64
}

// Watch implements store.Client.
func (s *longWatches) Watch(_ context.Context, _ string, after store.Position) ([]store.Object, store.Position, error) {
	if !after.IsZero() && after.Revision < s.revision.Load() {
		return nil, after, fmt.Errorf("%w: 30000000 bytes", store.ErrLongResponse)
	}
	return nil, store.Position{Era: 1, Revision: s.revision.Load()}, nil
}

// Guards against a panic of every edge, one after the other, when the writes since the last watch of a list don't fit into a response, as large
// entries of another writer don't: a Feed that lists called what only a Feed with snapshots has.
func TestWritesThatDontFitIntoAResponseAreListed(t *testing.T) {
	for name, overlap := range map[string]func() time.Duration{"one call": nil, "overlapping": func() time.Duration { return time.Second }} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &longWatches{}
				s.revision.Store(5)
				lists, failed := 0, 0
				feed := &store.Feed{
					Client: s, Poll: true, MinInterval: time.Second, OverlapDelay: overlap, OnObjects: func([]store.Object) {},
					OnGap: func(context.Context) error {
						lists++
						return nil
					},
					OnError: func(error) { failed++ },
				}
				go feed.Run(ctx)
				time.Sleep(500 * time.Millisecond)
				s.revision.Store(100)
				time.Sleep(2 * time.Second)
				cancel()
				synctest.Wait()
				if lists != 2 || failed != 0 || feed.Position().Revision != 100 {
					t.Errorf("%d lists, %d failures, revision %d; want 2, none and 100", lists, failed, feed.Position().Revision)
				}
			})
		})
	}
}
