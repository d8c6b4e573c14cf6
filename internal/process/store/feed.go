package store

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
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
	// OnSnapshot, if it is set, gets the objects of a Client.Snapshot instead of OnGap. Use it for a kind whose objects are few and
	// large and of which only the newest state matters: the Feed then reads a snapshot also when it knows of a write, so that no
	// response is much larger than the state, however many writes there are.
	OnSnapshot func(ctx context.Context, objects []Object) error
	// OnWrites is called with OnSnapshot as soon as the response to a watch begins and is so large that it has writes after the
	// position; it may be nil.
	OnWrites func(after Position)
	// OnError is called after each failed call; it may be nil.
	OnError func(error)
	// OnResponse is called after each successful watch, before its result is delivered; it may be nil.
	OnResponse func()
	// MaxRetryDelay bounds the delay after a failed call, to which StaggerDelay is added. Default 3 s.
	MaxRetryDelay time.Duration
	// Poll makes each watch return at once instead of waiting for a write.
	Poll bool
	// MinInterval is the minimum interval between the starts of two watches, so that writes in quick succession are read
	// with one call. Default 0.
	MinInterval time.Duration
	// StaggerDelay returns a delay in addition to MinInterval, so that another process that follows the same kind may call
	// the store first and share its result through Advance; it may be nil.
	StaggerDelay func() time.Duration
	// OverlapDelay returns the time after which a watch to which no response has begun is followed by another one beside it, of which the
	// first response counts; it may be nil. A process that was cut off then soon notices that the store can be reached again, while
	// the call that it made before has no response and only ends by its timeout. It is for a Feed without OnSnapshot.
	OverlapDelay func() time.Duration
	// OnRestored is called before OnGap if the store has come back from an older copy since the state was read; it may be nil.
	OnRestored func(era uint64)
	// OnSynced is called after OnObjects or OnGap with the positions from which the call has read and up to which the state is
	// known, and the start time of the call; it may be nil.
	OnSynced func(from, to Position, began time.Time)

	mu sync.Mutex
	// position is where the next watch continues; zero means that the state has to be read again.
	position Position
	// era is the latest era of the store that is known.
	era uint64
	// syncedAt is the start of the call that read up to position; later writes may be missing.
	syncedAt time.Time
	// retryAt is the time of the next call after a failed one; zero if the state was synced since.
	retryAt time.Time
	// waiting is set while Run waits to start the next watch, and hanging while a watch has no response in time.
	waiting, hanging bool
	// catchingUp ends the current wait. snapshotDue is set if it ended the last one.
	catchingUp, snapshotDue bool
	// wakeup receives a value when the end of the current wait may have changed.
	wakeup chan struct{}
	// receiving is set while the body of a response arrives.
	receiving atomic.Bool
	// The fields below are only used by the goroutine of Run.

	// began is the start of the call that a callback is about, and stateBytes the size of the last snapshot.
	began      time.Time
	stateBytes int64
	// failing is set while the last call that has ended failed.
	failing bool
}

const (
	// watchSlack is by how much the response to a watch may exceed two states of a kind that is read in snapshots.
	watchSlack = 64 << 10
	// emptyWatchBytes is above the size of a response without writes.
	emptyWatchBytes = 2 << 10
)

// pollTimeout is the watch timeout of a Feed that polls.
const pollTimeout = time.Millisecond

// Run watches until the context ends.
func (f *Feed) Run(ctx context.Context) {
	f.wakeup = make(chan struct{}, 1)
	if f.Poll {
		ctx = WithWatchTimeout(ctx, pollTimeout)
	}
	limit := f.MaxRetryDelay
	if limit <= 0 {
		limit = maxFeedRetryDelay
	}
	backoff := NewBackoff(minFeedRetryDelay, limit)
	for ctx.Err() == nil {
		began := time.Now()
		f.began = began
		next, err := f.step(ctx, f.Position(), began)
		if err == nil && !next.IsZero() {
			backoff.Reset()
			f.failing = false
			f.setPosition(next, began)
		} else {
			f.failing = true
			if err != nil && ctx.Err() == nil && f.OnError != nil {
				f.OnError(err)
			}
			// A store without any write returns revision 0 at once, so this case is delayed too.
			f.setFailed(next, time.Now().Add(backoff.Next()))
		}
		if !f.waitForNext(ctx) {
			return
		}
	}
}

// CallBegan returns when the call began that a callback is about. It is for the callbacks.
func (f *Feed) CallBegan() time.Time { return f.began }

// Position returns the position from which the next watch continues; zero means that the state has to be read again.
func (f *Feed) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

func (f *Feed) setPosition(p Position, syncedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if syncedAt.Before(f.syncedAt) {
		syncedAt = f.syncedAt // Advance has moved the Feed meanwhile
	}
	f.position, f.syncedAt, f.retryAt = p, syncedAt, time.Time{}
}

func (f *Feed) setFailed(p Position, retryAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position, f.retryAt = p, retryAt
}

// waitForNext waits until the next watch may start and returns false if the context ended first.
func (f *Feed) waitForNext(ctx context.Context) bool {
	f.setWaiting(true)
	defer f.setWaiting(false)
	for remaining := f.remainingWait(); remaining > 0; remaining = f.remainingWait() {
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
	f.snapshotDue = f.catchingUp
	f.waiting, f.catchingUp = on, false
}

func (f *Feed) remainingWait() time.Duration {
	stagger := time.Duration(0)
	if f.StaggerDelay != nil {
		stagger = f.StaggerDelay()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.retryAt.IsZero():
		return time.Until(f.retryAt) + stagger
	case f.catchingUp:
		return 0
	default:
		return f.MinInterval + stagger - time.Since(f.syncedAt)
	}
}

// Advance reports that another process read up to the position to with a call that began at the given time, and that apply
// delivers all writes between the positions from and to that matter. If the Feed waits for its next watch, or for a response that is late, and
// has read at least up to from, in the same era, it calls apply with the position up to which it has read, continues at to and returns true.
func (f *Feed) Advance(from, to Position, at time.Time, apply func(read Position)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.waiting && !f.hanging || f.position.IsZero() || !f.position.Within(from, to) || !at.After(f.syncedAt) {
		return false
	}
	// The lock is held, so that no watch starts that would deliver older writes later. What a late one delivers is dropped.
	apply(f.position)
	f.position, f.syncedAt, f.retryAt = to, at, time.Time{}
	f.wake()
	return true
}

// IsBehind reports whether the Feed has read the state, but not in an era that another process knows.
func (f *Feed) IsBehind(era uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era > 0 && era > f.era
}

// CatchUp reports that a write at the position matters. A Feed that waits for its next watch and has not read the write
// starts that watch at once. In a later era than its own it reads the state again: no earlier position counts there.
func (f *Feed) CatchUp(write Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.waiting || !f.position.Before(write) {
		return
	}
	if f.position.Era < write.Era {
		f.position = Position{}
	}
	f.catchingUp = true
	f.wake()
}

func (f *Feed) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default: // a wakeup is pending already
	}
}

// Receiving reports whether the body of a response is arriving. It is known for Feeds with OnSnapshot only.
func (f *Feed) Receiving() bool { return f.receiving.Load() }

// step makes one watch, or reads the state if the position is zero, and delivers the result. It returns the position to continue
// from; zero means that the state has to be read again.
func (f *Feed) step(ctx context.Context, from Position, began time.Time) (Position, error) {
	if f.OnSnapshot != nil && (from.IsZero() || f.isSnapshotDue()) {
		return f.stepSnapshot(ctx, from, began)
	}
	objs, next, err := f.watch(ctx, from)
	if f.endHanging(from) {
		return f.dropWatch(err)
	}
	switch {
	case !errors.Is(err, ErrLongResponse):
	case f.OnSnapshot != nil:
		return f.stepSnapshot(ctx, from, began)
	case !from.IsZero():
		// There are more writes than fit into a response. The list has each object once, and is divided into pages.
		f.setPosition(Position{}, began)
		return f.step(ctx, Position{}, began)
	}
	if err == nil && f.OnResponse != nil {
		f.OnResponse()
	}
	switch {
	case errors.Is(err, ErrGap):
		return Position{}, err
	case err != nil:
		return from, err
	case from.IsZero():
		f.noteRestore(next.Era)
		// The position is read before the list, so the next watch returns the writes between the two.
		if err := f.OnGap(ctx); err != nil {
			return Position{}, err
		}
	case len(objs) > 0:
		f.OnObjects(objs)
	}
	if f.OnSynced != nil {
		f.OnSynced(from, next, began)
	}
	return next, nil
}

// noteRestore records the era in which the state is read, and tells of a new one before that.
func (f *Feed) noteRestore(era uint64) {
	f.mu.Lock()
	restored := f.era > 0 && era > f.era
	f.era = max(f.era, era)
	f.mu.Unlock()
	if restored && f.OnRestored != nil {
		f.OnRestored(era)
	}
}

func (f *Feed) isSnapshotDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshotDue
}

// watch makes one watch. With OnSnapshot its response is bounded.
func (f *Feed) watch(ctx context.Context, from Position) ([]Object, Position, error) {
	if f.OnSnapshot == nil && f.OverlapDelay != nil {
		return f.watchOverlapping(ctx, from)
	}
	if f.OnSnapshot == nil {
		return f.Client.Watch(ctx, f.Kind, from)
	}
	defer f.receiving.Store(false)
	return f.Client.Watch(WithResponse(ctx, 2*f.stateBytes+watchSlack, func(bytes int64) {
		f.receiving.Store(true)
		if bytes > emptyWatchBytes && f.OnWrites != nil {
			f.OnWrites(from)
		}
	}), f.Kind, from)
}

// maxOverlapping bounds the watches in progress.
const maxOverlapping = 4

// errOvertaken reports a call that had no response when a later one had.
var errOvertaken = fmt.Errorf("%w: a later call had a response first", ErrUnavailable)

// watched is the result of a watch.
type watched struct {
	objects []Object
	next    Position
	err     error
	began   time.Time
}

// watchOverlapping makes watches until one of them ends with a response, or the last one in progress fails. The others that have failed are
// reported to OnError.
func (f *Feed) watchOverlapping(ctx context.Context, from Position) ([]Object, Position, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan watched, maxOverlapping)
	var responding atomic.Bool
	ctx = WithResponse(ctx, math.MaxInt64, func(int64) { responding.Store(true) })
	// pending has the starts of the watches in progress, in their order.
	var pending []time.Time
	begin := func(began time.Time) {
		pending = append(pending, began)
		go func() {
			objects, next, err := f.Client.Watch(ctx, f.Kind, from)
			results <- watched{objects, next, err, began}
		}()
	}
	begin(f.began)
	timer := time.NewTimer(f.OverlapDelay())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if !responding.Load() && len(pending) < maxOverlapping {
				f.setHanging()
				begin(time.Now())
			}
			timer.Reset(f.OverlapDelay())
		case r := <-results:
			i := slices.Index(pending, r.began)
			if r.err == nil && i > 0 && f.failing {
				f.reportFailed(pending[i-1], errOvertaken)
			}
			pending = slices.Delete(pending, i, i+1)
			f.began = r.began
			if r.err == nil || len(pending) == 0 || errors.Is(r.err, ErrGap) || errors.Is(r.err, ErrLongResponse) {
				return r.objects, r.next, r.err
			}
			f.reportFailed(r.began, r.err)
		}
	}
}

func (f *Feed) setHanging() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hanging = true
}

// endHanging records the end of a watch from the position, and reports whether Advance has moved the Feed meanwhile.
func (f *Feed) endHanging(from Position) (moved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	moved = f.hanging && f.position != from
	f.hanging = false
	return moved
}

// dropWatch ends a watch from a position that the Feed has left, and returns the position to continue from.
func (f *Feed) dropWatch(err error) (Position, error) {
	switch {
	case errors.Is(err, ErrGap):
		return Position{}, err
	case err == nil && f.OnResponse != nil:
		f.OnResponse()
	}
	return f.Position(), err
}

// reportFailed reports a failed call while others are in progress.
func (f *Feed) reportFailed(began time.Time, err error) {
	f.began, f.failing = began, true
	if f.OnError != nil {
		f.OnError(err)
	}
}

// stepSnapshot reads the state and delivers it. It returns as step does.
func (f *Feed) stepSnapshot(ctx context.Context, from Position, began time.Time) (Position, error) {
	defer f.receiving.Store(false)
	objs, next, err := f.Client.Snapshot(WithResponse(ctx, math.MaxInt64, func(int64) { f.receiving.Store(true) }), f.Kind)
	if err != nil {
		return from, err
	}
	if f.OnResponse != nil {
		f.OnResponse()
	}
	f.noteRestore(next.Era)
	f.stateBytes = 0
	for _, o := range objs {
		f.stateBytes += int64(len(o.Value))
	}
	if err := f.OnSnapshot(ctx, objs); err != nil {
		return from, err
	}
	if f.OnSynced != nil {
		f.OnSynced(from, next, began)
	}
	return next, nil
}
