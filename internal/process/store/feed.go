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
	// Pace is the shortest time between two watches, so that writes in quick succession arrive together. Default 0.
	Pace time.Duration
	// Turn returns how much longer to wait than Pace, so that another process that follows the same kind may ask first
	// and tell by Advance; it may be nil.
	Turn func() time.Duration
	// OnRead is told, after OnObjects or OnGap, up to which revision the state is known, and when the call for it began;
	// it may be nil.
	OnRead func(revision uint64, began time.Time)

	mu     sync.Mutex
	cancel context.CancelFunc
	// refreshing is set while a watch runs that replaces an interrupted one.
	refreshing bool
	// revision is where the next watch continues; 0 means that the state has to be read again.
	revision uint64
	// known is the time from which on writes may be missing, and resting whether Run waits for the next watch.
	known   time.Time
	resting bool
	hurried bool
	// moved receives a value when known, or hurried, changes during a rest.
	moved chan struct{}
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
	f.moved = make(chan struct{}, 1)
	limit := f.RetryLimit
	if limit <= 0 {
		limit = feedLimit
	}
	backoff := NewBackoff(feedBase, limit)
	for ctx.Err() == nil {
		began := time.Now()
		next, err := f.step(ctx, f.Revision(), began)
		f.continueAt(next, began)
		if err == nil && next > 0 {
			backoff.Reset()
			if !f.refreshPending() && !f.rest(ctx) {
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

// Revision returns the revision from which the next watch continues; 0 means that the state has to be read again.
func (f *Feed) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

func (f *Feed) continueAt(revision uint64, known time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.known = revision, known
}

// rest waits until the next watch is due and returns false when the context ended.
func (f *Feed) rest(ctx context.Context) bool {
	wait := f.Pace
	if f.Turn != nil {
		wait += f.Turn()
	}
	f.setResting(true)
	defer f.setResting(false)
	for left := f.untilDue(wait); left > 0; left = f.untilDue(wait) {
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		case <-f.moved:
			timer.Stop()
		}
	}
	return ctx.Err() == nil
}

func (f *Feed) setResting(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resting, f.hurried = on, false
}

func (f *Feed) untilDue(wait time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hurried {
		return 0
	}
	return wait - time.Since(f.known)
}

// Advance tells that another process read up to the revision to with a call that began at the given time, and that no
// write after the revision from matters. A Feed that waits for its next watch and knows all up to from continues at to.
func (f *Feed) Advance(from, to uint64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.resting || f.revision < from || f.revision > to || !at.After(f.known) {
		return
	}
	f.revision, f.known = to, at
	f.wake()
}

// Hurry tells that a write at the revision matters. A Feed that waits for its next watch and does not know the write asks
// at once.
func (f *Feed) Hurry(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resting && revision > f.revision {
		f.hurried = true
		f.wake()
	}
}

func (f *Feed) wake() {
	select {
	case f.moved <- struct{}{}:
	default: // a value is waiting already
	}
}

func (f *Feed) refreshPending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refreshing
}

// step returns the revision to continue from; 0 means that the state has to be read again.
func (f *Feed) step(ctx context.Context, revision uint64, began time.Time) (uint64, error) {
	objs, next, err := f.watch(ctx, revision)
	if errors.Is(err, errRefreshed) {
		return revision, nil
	}
	if err == nil && f.OnContact != nil {
		f.OnContact()
	}
	f.refreshed()
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
	if f.OnRead != nil {
		f.OnRead(next, began)
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

// refreshed notes that the watch that replaced an interrupted one has ended.
func (f *Feed) refreshed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshing = false
}
