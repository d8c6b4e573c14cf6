package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Delays of a Feed after a failed watch.
const (
	minFeedRetryDelay = 100 * time.Millisecond
	maxFeedRetryDelay = 3 * time.Second
)

// Feed watches one kind until its context ends. It resumes after errors, and lists again after a gap in the watch history.
type Feed struct {
	Client Client
	Kind   string
	// OnObjects receives writes in revision order. A write can be delivered again after an error.
	OnObjects func([]Object)
	// OnGap lists the current state. It is called before the first watch and whenever writes were missed, and is retried
	// until it returns nil.
	OnGap func(ctx context.Context) error
	// OnError is called after each failed call; it may be nil.
	OnError func(error)
	// OnResponse is called after each successful watch, before its result is delivered; it may be nil.
	OnResponse func()
	// MaxRetryDelay bounds the delay after a failed call. Default 3 s.
	MaxRetryDelay time.Duration
	// MinInterval is the minimum interval between the starts of two watches, so that writes in quick succession are read
	// with one call. Default 0.
	MinInterval time.Duration
	// StaggerDelay returns a delay in addition to MinInterval, so that another process that follows the same kind may call
	// the store first and share its result through Advance; it may be nil.
	StaggerDelay func() time.Duration
	// OnSynced is called after OnObjects or OnGap with the revision up to which the state is known and the start time of the
	// call that read it; it may be nil.
	OnSynced func(revision uint64, began time.Time)

	mu     sync.Mutex
	cancel context.CancelFunc
	// refreshing is set from the interruption of a watch by Refresh until the watch that replaces it has ended.
	refreshing bool
	// revision is where the next watch continues; 0 means that the state has to be listed again.
	revision uint64
	// syncedAt is the start of the call that read up to revision; later writes may be missing.
	syncedAt time.Time
	// waiting is set while Run waits to start the next watch.
	waiting bool
	// catchingUp ends the current wait.
	catchingUp bool
	// wakeup receives a value when syncedAt or catchingUp changes while Run waits.
	wakeup chan struct{}
}

// errRefreshed is the error of a watch that Refresh interrupted.
var errRefreshed = errors.New("watch interrupted for a refresh")

// refreshWatchTimeout is the watch timeout after a Refresh: that watch only has to return writes that were missed.
const refreshWatchTimeout = time.Millisecond

// Refresh interrupts a pending watch and starts another one at once, to find writes that the pending watch did not
// return.
func (f *Feed) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// Run watches until the context ends.
func (f *Feed) Run(ctx context.Context) {
	f.wakeup = make(chan struct{}, 1)
	limit := f.MaxRetryDelay
	if limit <= 0 {
		limit = maxFeedRetryDelay
	}
	backoff := NewBackoff(minFeedRetryDelay, limit)
	for ctx.Err() == nil {
		began := time.Now()
		next, err := f.step(ctx, f.Revision(), began)
		f.setPosition(next, began)
		if err == nil && next > 0 {
			backoff.Reset()
			if !f.isRefreshing() && !f.waitForNext(ctx) {
				return
			}
			continue
		}
		if err != nil && ctx.Err() == nil && f.OnError != nil {
			f.OnError(err)
		}
		// A store without any write returns revision 0 at once, so this case is delayed too.
		if !backoff.Wait(ctx) {
			return
		}
	}
}

// Revision returns the revision from which the next watch continues; 0 means that the state has to be listed again.
func (f *Feed) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

func (f *Feed) setPosition(revision uint64, syncedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.syncedAt = revision, syncedAt
}

// waitForNext waits until the next watch may start and returns false if the context ended first.
func (f *Feed) waitForNext(ctx context.Context) bool {
	wait := f.MinInterval
	if f.StaggerDelay != nil {
		wait += f.StaggerDelay()
	}
	f.setWaiting(true)
	defer f.setWaiting(false)
	for remaining := f.remainingWait(wait); remaining > 0; remaining = f.remainingWait(wait) {
		timer := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		case <-f.wakeup:
			timer.Stop()
		}
	}
	return ctx.Err() == nil
}

func (f *Feed) setWaiting(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting, f.catchingUp = on, false
}

func (f *Feed) remainingWait(wait time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catchingUp {
		return 0
	}
	return wait - time.Since(f.syncedAt)
}

// Advance reports that another process read up to the revision to with a call that began at the given time, and that no
// write between the revisions from and to matters. A Feed that waits for its next watch and has read at least up to from
// continues at to.
func (f *Feed) Advance(from, to uint64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.waiting || f.revision < from || f.revision > to || !at.After(f.syncedAt) {
		return
	}
	f.revision, f.syncedAt = to, at
	f.wake()
}

// CatchUp reports that a write at the revision matters. A Feed that waits for its next watch and has not read the write
// starts that watch at once.
func (f *Feed) CatchUp(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting && revision > f.revision {
		f.catchingUp = true
		f.wake()
	}
}

func (f *Feed) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default: // a wakeup is pending already
	}
}

func (f *Feed) isRefreshing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refreshing
}

// step makes one watch, which is followed by a list if revision is 0, and delivers the result. It returns the revision to
// continue from; 0 means that the state has to be listed again.
func (f *Feed) step(ctx context.Context, revision uint64, began time.Time) (uint64, error) {
	objs, next, err := f.watch(ctx, revision)
	if errors.Is(err, errRefreshed) {
		return revision, nil
	}
	if err == nil && f.OnResponse != nil {
		f.OnResponse()
	}
	f.endRefresh()
	switch {
	case errors.Is(err, ErrGap):
		return 0, err
	case err != nil:
		return revision, err
	case revision == 0:
		// The revision is read before the list, so the next watch returns the writes between the two.
		if err := f.OnGap(ctx); err != nil {
			return 0, err
		}
	case len(objs) > 0:
		f.OnObjects(objs)
	}
	if f.OnSynced != nil {
		f.OnSynced(next, began)
	}
	return next, nil
}

// watch makes one watch. Refresh can interrupt it, unless it replaces an interrupted one.
func (f *Feed) watch(ctx context.Context, revision uint64) ([]Object, uint64, error) {
	f.mu.Lock()
	if f.refreshing {
		ctx = WithWatchTimeout(ctx, refreshWatchTimeout)
	}
	watchCtx, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	if f.refreshing {
		f.cancel = nil
	}
	f.mu.Unlock()
	defer cancel()
	objs, next, err := f.Client.Watch(watchCtx, f.Kind, revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		f.refreshing = true
		return nil, revision, errRefreshed
	}
	return objs, next, err
}

// endRefresh records that the watch that replaced an interrupted one has ended.
func (f *Feed) endRefresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshing = false
}
