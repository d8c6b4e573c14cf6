package store

import (
	"context"
	"errors"
	"time"
)

// Waits of a Feed after a failed watch.
const (
	feedBase  = 100 * time.Millisecond
	feedLimit = 3 * time.Second
)

// Feed watches one kind without end and resumes after errors and gaps.
type Feed struct {
	Client Client
	Kind   string
	// OnObjects receives writes in revision order. A write can be delivered again after an error.
	OnObjects func([]Object)
	// OnGap reads the current state again. It is called first and whenever writes were missed, and is repeated until it
	// returns nil.
	OnGap func(ctx context.Context) error
	// OnError is told of failed calls; it may be nil.
	OnError func(error)
	// OnContact is told of each call that the store answered; it may be nil.
	OnContact func()
	// RetryLimit bounds the wait after a failed call. Default 3 s.
	RetryLimit time.Duration
	// Pace is the shortest time between two watches, so that writes in quick succession arrive together. Default 0.
	Pace time.Duration
}

// Run watches until the context ends.
func (f *Feed) Run(ctx context.Context) {
	var revision uint64
	limit := f.RetryLimit
	if limit <= 0 {
		limit = feedLimit
	}
	backoff := NewBackoff(feedBase, limit)
	for ctx.Err() == nil {
		began := time.Now()
		next, err := f.step(ctx, revision)
		revision = next
		if err == nil && next > 0 {
			backoff.Reset()
			if !sleep(ctx, f.Pace-time.Since(began)) {
				return
			}
			continue
		}
		if err != nil && ctx.Err() == nil && f.OnError != nil {
			f.OnError(err)
		}
		// A store without any write answers with revision 0 at once, so that case waits too.
		if !backoff.Wait(ctx) {
			return
		}
	}
}

// step returns the revision to continue from; 0 means that the state has to be read again.
func (f *Feed) step(ctx context.Context, revision uint64) (uint64, error) {
	objs, next, err := f.Client.Watch(ctx, f.Kind, revision)
	if err == nil && f.OnContact != nil {
		f.OnContact()
	}
	switch {
	case errors.Is(err, ErrGap):
		return 0, err
	case err != nil:
		return revision, err
	case revision == 0:
		// The revision is taken before the state is read, so a write between the two is delivered by the next watch.
		if err := f.OnGap(ctx); err != nil {
			return 0, err
		}
	case len(objs) > 0:
		f.OnObjects(objs)
	}
	return next, nil
}
