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
	// OnGap reads the current state again. It is called first, before any watch, and whenever writes were missed;
	// it is repeated until it returns nil.
	OnGap func(ctx context.Context) error
	// OnError is told of failed calls; it may be nil.
	OnError func(error)
}

// Run watches until the context ends.
func (f *Feed) Run(ctx context.Context) {
	var revision uint64
	gap := true
	backoff := NewBackoff(feedBase, feedLimit)
	for ctx.Err() == nil {
		err := f.step(ctx, &revision, &gap)
		if err == nil {
			backoff.Reset()
			continue
		}
		if ctx.Err() == nil && f.OnError != nil {
			f.OnError(err)
		}
		if !backoff.Wait(ctx) {
			return
		}
	}
}

func (f *Feed) step(ctx context.Context, revision *uint64, gap *bool) error {
	if *gap {
		if err := f.OnGap(ctx); err != nil {
			return err
		}
		*gap = false
	}
	objs, next, err := f.Client.Watch(ctx, f.Kind, *revision)
	if errors.Is(err, ErrGap) {
		*revision, *gap = next, true
		return nil
	}
	if err != nil {
		return err
	}
	*revision = next
	if len(objs) > 0 {
		f.OnObjects(objs)
	}
	return nil
}
