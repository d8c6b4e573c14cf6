package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Bounds of a shard.
const (
	// maxBatchBytes bounds a batch; a page of minPage batches stays below the store client's bound of one list.
	maxBatchBytes = 512 << 10
	minPage       = 32
	// maxPage is a page of small batches, and pageBytes the size of a page that its number of batches aims at.
	maxPage   = 500
	pageBytes = 8 << 20
	// maxQueue bounds the operations that wait in one shard of one process, and maxBodies those with a response body.
	maxQueue  = 8192
	maxBodies = 256
)

// Timing of a shard.
const (
	// callTimeout bounds one store call.
	callTimeout = 2 * time.Second
	// settleDelay lets finishes and releases wait for a claim to share a batch with.
	settleDelay = 500 * time.Millisecond
	// cleanEvery is the time between two deletions of old batches.
	cleanEvery = 10 * time.Second
	// markEvery is the resolution of the times at which batches were first seen.
	markEvery = 10 * time.Second
	retryBase = 50 * time.Millisecond
	retryMax  = time.Second
)

// errRebuild reports that other batches were appended first.
var errRebuild = errors.New("claim log has grown")

// Places of an operation on its way into the log.
const (
	opWaiting int32 = iota
	// opTaken operations are being written, or may have been written.
	opTaken
	opCancelled
)

// op is an operation that waits for the log.
type op struct {
	entry entry
	// ctx is the waiting caller's, or nil when nobody waits.
	ctx   context.Context
	done  chan answer
	place atomic.Int32
	// exposed is set once a write with unknown outcome contained the operation. Only the shard's goroutine uses it.
	exposed bool
}

type answer struct {
	state State
	err   error
}

func newOp(e entry, ctx context.Context) *op { //revive:disable-line:context-as-argument
	return &op{entry: e, ctx: ctx, done: make(chan answer, 1)}
}

func (o *op) answer(s State, err error) { o.done <- answer{state: s, err: err} }

func (o *op) claims() bool { return o.entry.Op == opClaim }

// take marks the operation as being written. It returns false when its caller has stopped waiting.
func (o *op) take() bool {
	o.place.CompareAndSwap(opWaiting, opTaken)
	return o.place.Load() == opTaken
}

// abandoned tells whether the caller of a claim has stopped waiting.
func (o *op) abandoned() bool { return o.claims() && o.ctx != nil && o.ctx.Err() != nil }

// shard appends to one log. Its state is used only by the goroutine of run.
type shard struct {
	log    *Log
	number int
	pace   *pace

	mu    sync.Mutex
	queue []*op
	wake  chan struct{}

	state  *replay
	head   uint64
	loaded bool
	// confirmed is when head was last known to be the end of the log.
	confirmed time.Time
	// versions are the store versions of the batches that are not deleted yet.
	versions map[uint64]uint64
	// first is the lowest number that may still exist.
	first uint64
	seen  []sighting
	// page is the number of batches in one list.
	page int
	// expired is the horizon that this process has found and that the next batch carries.
	expired uint64
}

// sighting says that this process first saw the batches up to number between at and markEvery after it.
type sighting struct {
	number uint64
	at     time.Time
}

func newShard(l *Log, number int) *shard {
	return &shard{
		log: l, number: number, pace: newPace(l.opt.WritesPerSecond), wake: make(chan struct{}, 1),
		state: newReplay(), versions: map[uint64]uint64{}, page: minPage,
	}
}

func (s *shard) enqueue(o *op) bool {
	s.mu.Lock()
	full := len(s.queue) >= maxQueue
	if !full {
		if len(s.queue) >= maxBodies && o.entry.Result != nil && len(o.entry.Result.Body) > 0 {
			o.entry.Result = &Result{Outcome: o.entry.Result.Outcome, Status: o.entry.Result.Status, Dropped: true}
		}
		s.queue = append(s.queue, o)
	}
	s.mu.Unlock()
	if !full {
		s.signal()
	}
	return !full
}

func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// claim waits for the log's decision. written tells, on error, whether the claim may have been written.
func (s *shard) claim(ctx context.Context, e entry) (state State, written bool, err error) {
	o := newOp(e, ctx)
	if !s.enqueue(o) {
		return State{}, false, fmt.Errorf("%w: %d operations wait", ErrUnavailable, maxQueue)
	}
	select {
	case a := <-o.done:
		if a.err == nil && a.state.Status == Granted && ctx.Err() != nil {
			return State{}, true, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
		return a.state, o.place.Load() == opTaken, a.err
	case <-ctx.Done():
		written = !o.place.CompareAndSwap(opWaiting, opCancelled)
		return State{}, written, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
}

// settle waits until a finish or release is in the log.
func (s *shard) settle(ctx context.Context, e entry) error {
	o := newOp(e, nil)
	if !s.enqueue(o) {
		return fmt.Errorf("%w: %d operations wait", ErrUnavailable, maxQueue)
	}
	select {
	case a := <-o.done:
		return a.err
	case <-ctx.Done():
		return fmt.Errorf("claim result is not in the log yet: %w", ctx.Err())
	}
}

func (s *shard) run(ctx context.Context) {
	clean := time.NewTicker(cleanEvery)
	defer clean.Stop()
	backoff := store.NewBackoff(retryBase, retryMax)
	for {
		select {
		case <-ctx.Done():
			return
		case <-clean.C:
			s.prepare(ctx)
			s.clean(ctx)
		case <-s.wake:
			s.gather(ctx)
			if err := s.commit(ctx); err != nil && !errors.Is(err, errRebuild) {
				s.log.failed(fmt.Errorf("claim log shard %d: %w", s.number, err))
				if !backoff.Wait(ctx) {
					return
				}
				s.signal()
				continue
			}
			backoff.Reset()
			if s.waiting() {
				s.signal()
			}
		}
	}
}

func (s *shard) waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0
}

// gather waits for the write budget, and a little longer while nobody waits for an answer.
func (s *shard) gather(ctx context.Context) {
	if !s.anyClaim() {
		timer := time.NewTimer(settleDelay)
		defer timer.Stop()
		for !s.anyClaim() {
			select {
			case <-s.wake:
				continue
			case <-timer.C:
			case <-ctx.Done():
			}
			break
		}
	}
	s.pace.take(ctx)
}

func (s *shard) anyClaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.queue {
		if o.claims() {
			return true
		}
	}
	return false
}

// commit answers or writes what is queued, in one batch.
func (s *shard) commit(ctx context.Context) error {
	if !s.loaded {
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
	ops, b, err := s.build(ctx)
	if err != nil || len(ops) == 0 {
		s.pace.refund()
		return err
	}
	err = s.append(ctx, b)
	if err != nil {
		putBack(ops, errors.Is(err, store.ErrUnknown))
		s.requeue(ops)
		return err
	}
	for _, o := range ops {
		s.conclude(o)
	}
	if s.expendable() {
		// One deletion for each batch keeps the log's length steady.
		s.pace.take(ctx)
		s.deleteFirst(ctx)
	}
	return nil
}

// putBack marks operations that were not written, unless this or an earlier attempt may have written them.
func putBack(ops []*op, unknown bool) {
	for _, o := range ops {
		o.exposed = o.exposed || unknown
		if !o.exposed {
			o.place.CompareAndSwap(opTaken, opWaiting)
		}
	}
}

// build takes operations off the queue. Those that the log already decides are answered; the rest form the batch.
// Only operations that take effect at the end of the log as it is known are written, and one for each key.
func (s *shard) build(ctx context.Context) ([]*op, *batch, error) {
	queue := s.takeQueue()
	if err := s.refreshForRefusals(ctx, queue); err != nil {
		s.requeue(queue)
		return nil, nil, err
	}
	b := &batch{ID: rand.Text(), Writer: s.log.opt.Instance, TimeMs: time.Now().UnixMilli(), Horizon: s.nextHorizon()}
	touched := map[digest]bool{}
	var ops, later []*op
	size := 0
	for _, o := range queue {
		switch {
		case touched[o.entry.Key] || size > maxBatchBytes:
			later = append(later, o)
		case o.abandoned() || s.decided(o) || !o.take():
		default:
			touched[o.entry.Key] = true
			ops, b.Entries = append(ops, o), append(b.Entries, o.entry)
			size += entrySize(&o.entry)
		}
	}
	s.requeue(later)
	return ops, b, nil
}

func entrySize(e *entry) int {
	const fixed = 200
	if e.Result == nil {
		return fixed
	}
	return fixed + e.Result.headerSize() + len(e.Result.Body)
}

func (s *shard) takeQueue() []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	ops := s.queue
	s.queue = nil
	return ops
}

func (s *shard) requeue(ops []*op) {
	if len(ops) == 0 {
		return
	}
	s.mu.Lock()
	s.queue = append(ops, s.queue...)
	s.mu.Unlock()
	s.signal()
}

// decided answers an operation that needs no write.
func (s *shard) decided(o *op) bool {
	rec := s.state.keys[o.entry.Key]
	_, given := s.state.given[o.entry.Attempt]
	own := rec != nil && rec.attempt == o.entry.Attempt
	switch {
	case o.entry.Op == opRelease && given, o.entry.Op == opFinish && own && rec.finished:
		o.answer(State{}, nil)
	case o.entry.Op == opFinish && !own:
		o.answer(State{}, ErrNotHeld)
	case o.claims() && given:
		o.answer(State{}, ErrAbandoned)
	case o.claims() && rec != nil:
		s.conclude(o)
	default:
		return false
	}
	return true
}

// refreshForRefusals reads the end of the log again before a claim is refused because of another one that may have
// ended by now.
func (s *shard) refreshForRefusals(ctx context.Context, queue []*op) error {
	for _, o := range queue {
		rec := s.state.keys[o.entry.Key]
		if o.claims() && rec != nil && !rec.finished && rec.attempt != o.entry.Attempt {
			return s.refresh(ctx)
		}
	}
	return nil
}

// conclude answers an operation from the state.
func (s *shard) conclude(o *op) {
	if !o.claims() {
		o.answer(State{}, nil)
		return
	}
	rec := s.state.keys[o.entry.Key]
	switch {
	case rec == nil:
		// Given back in the meantime: the claim was not written, or its attempt was given up.
		o.answer(State{}, ErrUnavailable)
	case rec.body != o.entry.Body:
		o.answer(State{Status: Mismatch, Attempt: rec.attempt}, nil)
	case rec.attempt == o.entry.Attempt && rec.claimant == o.entry.Claimant && !rec.finished:
		o.answer(State{Status: Granted, Attempt: rec.attempt}, nil)
	case rec.finished:
		// Reading the result back takes a store call, which must not delay the next batch.
		found := *rec
		go func() {
			o.answer(State{Status: Finished, Attempt: found.attempt, Result: s.result(o.ctx, &found)}, nil)
		}()
	default:
		o.answer(State{Status: s.log.status(rec, time.Now()), Attempt: rec.attempt}, nil)
	}
}

// result reads a kept result. Without the store only its outcome is known.
func (s *shard) result(ctx context.Context, rec *record) Result {
	short := Result{Outcome: rec.outcome, Status: rec.status, Dropped: true}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := s.log.opt.Client.Get(ctx, Kind, objectName(s.number, rec.resultBatch))
	if err != nil {
		return short
	}
	var b batch
	if err := wire.Unmarshal(obj.Value, &b); err != nil || rec.resultIndex >= len(b.Entries) {
		return short
	}
	e := b.Entries[rec.resultIndex]
	if e.Attempt != rec.attempt || e.Result == nil {
		return short
	}
	return *e.Result
}

// append writes the batch as the next number. On any error the operations are not concluded: either the batch is not
// in the log, or the next refresh finds it there.
func (s *shard) append(ctx context.Context, b *batch) error {
	value, err := wire.Marshal(b)
	if err != nil {
		return err
	}
	number, known := s.head+1, s.confirmed
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := s.log.opt.Client.Create(callCtx, Kind, objectName(s.number, number), value)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) {
		return s.readBack(ctx, b, err)
	}
	if err != nil {
		return err
	}
	if age(known) > s.log.opt.Retention/2 {
		// This process was paused. The number may have been used and deleted in between, so the creation proves
		// nothing: read the log again.
		s.loaded = false
		return errRebuild
	}
	s.accept(stored{number: number, version: obj.Version, batch: b})
	s.confirmed = started
	return nil
}

// readBack resolves a conflict or a lost answer by reading what the log holds after the last known number.
func (s *shard) readBack(ctx context.Context, b *batch, cause error) error {
	found, err := s.refreshFinding(ctx, b.ID)
	switch {
	case err != nil:
		return fmt.Errorf("%w; read back: %v", store.ErrUnknown, err) //nolint:errorlint // the class must be ErrUnknown
	case found:
		return nil
	case errors.Is(cause, store.ErrUnknown):
		return cause
	default:
		return errRebuild
	}
}

func (s *shard) refresh(ctx context.Context) error {
	_, err := s.refreshFinding(ctx, "")
	return err
}

// refreshFinding applies all batches after the last known one, and tells whether one has the ID.
func (s *shard) refreshFinding(ctx context.Context, id string) (bool, error) {
	if !s.loaded || age(s.confirmed) > s.log.opt.Retention/2 {
		return s.load(ctx, id)
	}
	found := false
	for {
		started := time.Now()
		page, last, err := s.list(ctx, s.head)
		if err != nil {
			return found, err
		}
		for _, p := range page {
			if p.number != s.head+1 {
				s.loaded = false
				return found, fmt.Errorf("claim log shard %d: batch %d follows batch %d", s.number, p.number, s.head)
			}
			s.accept(p)
			found = found || p.batch.ID == id
		}
		if last {
			s.confirmed = started
			return found, nil
		}
	}
}

// load reads the whole log again. Batches before the highest horizon are ignored: they are being deleted, or were
// written there by a process that had been paused while the number was used and deleted.
func (s *shard) load(ctx context.Context, id string) (bool, error) {
	s.loaded = false
	var all []stored
	started, after := time.Now(), uint64(0)
	for {
		page, last, err := s.list(ctx, after)
		if err != nil {
			return false, err
		}
		all = append(all, page...)
		if last {
			break
		}
		after, started = page[len(page)-1].number, time.Now()
	}
	s.state, s.head, s.first = newReplay(), 0, 0
	clear(s.versions)
	horizon := uint64(0)
	for _, p := range all {
		horizon = max(horizon, p.batch.Horizon)
	}
	found := false
	for _, p := range all {
		switch {
		case p.number < horizon:
			s.keep(p)
			continue
		case s.head != 0 && p.number != s.head+1:
			return false, fmt.Errorf("claim log shard %d: batch %d follows batch %d", s.number, p.number, s.head)
		}
		s.accept(p)
		found = found || p.batch.ID == id
	}
	s.state.forget(horizon)
	s.loaded, s.confirmed = true, started
	return found, nil
}

// stored is a batch in the store.
type stored struct {
	number, version uint64
	batch           *batch
}

// list returns a page of the log after a number, 0 for its begin, and whether it is the last one.
func (s *shard) list(ctx context.Context, after uint64) ([]stored, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	name := ""
	if after > 0 {
		name = objectName(s.number, after)
	}
	limit := s.page
	objs, err := s.log.opt.Client.List(ctx, Kind, shardPrefix(s.number), name, limit)
	if err != nil {
		s.page = minPage // the page may have been too large to transfer
		return nil, false, err
	}
	page := make([]stored, 0, len(objs))
	largest := 1
	for _, obj := range objs {
		p, err := decode(obj)
		if err != nil {
			return nil, false, err
		}
		page = append(page, p)
		largest = max(largest, len(obj.Value))
	}
	s.page = min(max(minPage, pageBytes/largest), maxPage)
	return page, len(objs) < limit, nil
}

// decode reads a batch and drops the response bodies, which are read again when needed.
func decode(obj store.Object) (stored, error) {
	number, err := objectNumber(obj.Name)
	if err != nil {
		return stored{}, err
	}
	b := new(batch)
	if err := wire.Unmarshal(obj.Value, b); err != nil {
		return stored{}, fmt.Errorf("claim log object %s: %w", obj.Name, err)
	}
	for i := range b.Entries {
		if r := b.Entries[i].Result; r != nil {
			r.Body, r.Header = nil, nil
		}
	}
	return stored{number: number, version: obj.Version, batch: b}, nil
}

// keep remembers a batch for its deletion.
func (s *shard) keep(p stored) {
	s.versions[p.number] = p.version
	if s.first == 0 {
		s.first = p.number
	}
}

func (s *shard) accept(p stored) {
	s.keep(p)
	s.state.apply(p.number, p.batch)
	s.head = p.number
	if n := len(s.seen); n == 0 || time.Since(s.seen[n-1].at) > markEvery {
		s.seen = append(s.seen, sighting{at: time.Now()})
	}
	s.seen[len(s.seen)-1].number = p.number
}

// nextHorizon returns the first number that this process has not yet known for the retention time. No clock of another
// process is involved, so that a wrong clock forgets nothing.
func (s *shard) nextHorizon() uint64 {
	n := 0
	for ; n < len(s.seen); n++ {
		// A mark covers batches seen up to markEvery after its time.
		if youngest(s.seen[n].at) < s.log.opt.Retention+markEvery {
			break
		}
		s.expired = max(s.expired, s.seen[n].number+1)
	}
	s.seen = s.seen[n:]
	return max(s.state.horizon, min(s.expired, s.head))
}

// expendable tells whether this process owns the shard and batches before the horizon remain to be deleted.
// The last batch always stays, as it holds the number.
func (s *shard) expendable() bool {
	return s.loaded && s.first > 0 && s.first < min(s.state.horizon, s.head) && s.log.owner(s.number) == s.log.opt.Instance
}

// prepare reads the log of a shard that this process has come to own, so that the next claim need not wait for it.
func (s *shard) prepare(ctx context.Context) {
	if s.loaded || s.log.owner(s.number) != s.log.opt.Instance {
		return
	}
	if err := s.refresh(ctx); err != nil {
		s.log.failed(fmt.Errorf("claim log shard %d: read: %w", s.number, err))
	}
}

// clean deletes batches before the horizon, in order, while the write budget has nothing better to do.
func (s *shard) clean(ctx context.Context) {
	for s.expendable() && !s.waiting() && s.pace.tryTake() {
		if !s.deleteFirst(ctx) {
			return
		}
	}
}

// deleteFirst deletes the oldest batch.
func (s *shard) deleteFirst(ctx context.Context) bool {
	version, ok := s.versions[s.first]
	if ok {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := s.log.opt.Client.Delete(ctx, store.Object{Kind: Kind, Name: objectName(s.number, s.first), Version: version})
		if err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict) {
			s.log.failed(fmt.Errorf("claim log shard %d: delete batch %d: %w", s.number, s.first, err))
			return false
		}
	}
	delete(s.versions, s.first)
	s.first++
	return true
}

// age returns the time since t by the clock that advanced more: the monotonic clock stops while a machine is suspended.
func age(t time.Time) time.Duration {
	return max(time.Since(t), time.Now().Round(0).Sub(t.Round(0)))
}

// youngest returns the time since t by the clock that advanced less.
func youngest(t time.Time) time.Duration {
	return min(time.Since(t), time.Now().Round(0).Sub(t.Round(0)))
}
