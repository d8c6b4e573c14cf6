package store

import (
	"context"
	"errors"
	"sync"
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
	// OnLate is told when a Refresh found writes or a gap that the interrupted watch had not told of; it may be nil.
	OnLate func()
	// Pace is the shortest time between two watches, so that writes in quick succession arrive together. Default 0.
	Pace time.Duration

	mu     sync.Mutex
	cancel context.CancelFunc
	// refreshing is set while a watch runs that replaces an interrupted one.
	refreshing bool
}

// errRefreshed ends a watch that Refresh interrupts.
var errRefreshed = errors.New("watch interrupted for a refresh")

// refreshWait is how long the platform may hold the watch that follows a Refresh. It is only to tell what was missed.
const refreshWait = time.Millisecond

// Refresh interrupts a pending watch and asks again at once, so that writes are found that the watch did not tell of.
func (f *Feed) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
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
			if !f.refreshPending() && !sleep(ctx, f.Pace-time.Since(began)) {
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

func (f *Feed) refreshPending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refreshing
}

// step returns the revision to continue from; 0 means that the state has to be read again.
func (f *Feed) step(ctx context.Context, revision uint64) (uint64, error) {
	objs, next, err := f.watch(ctx, revision)
	if errors.Is(err, errRefreshed) {
		return revision, nil
	}
	if err == nil && f.OnContact != nil {
		f.OnContact()
	}
	if f.refreshed() && f.OnLate != nil && (errors.Is(err, ErrGap) || len(objs) > 0) {
		f.OnLate()
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

// watch makes one watch that Refresh can interrupt.
func (f *Feed) watch(ctx context.Context, revision uint64) ([]Object, uint64, error) {
	f.mu.Lock()
	if f.refreshing {
		ctx = WithWait(ctx, refreshWait)
	}
	watched, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	if f.refreshing {
		f.cancel = nil
	}
	f.mu.Unlock()
	defer cancel()
	objs, next, err := f.Client.Watch(watched, f.Kind, revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	if err != nil && watched.Err() != nil && ctx.Err() == nil {
		f.refreshing = true
		return nil, revision, errRefreshed
	}
	return objs, next, err
}

// refreshed reports whether the watch that just ended replaced an interrupted one.
func (f *Feed) refreshed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.refreshing
	f.refreshing = false
	return was
}
