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

// Size limits of a shard.
const (
	// maxBatchBytes limits a batch so that a page of minPageBatches stays below the store client's limit for one list.
	maxBatchBytes  = 512 << 10
	minPageBatches = 32
	// maxPageBatches limits a page of small batches; targetPageBytes is the page size at which larger batches are listed.
	maxPageBatches  = 500
	targetPageBytes = 8 << 20
	// maxQueuedOps limits the queue of one shard in one process. Operations beyond maxQueuedBodies are queued without
	// their response body.
	maxQueuedOps    = 8192
	maxQueuedBodies = 256
)

// Timing of a shard.
const (
	// callTimeout is the timeout of one store call.
	callTimeout = 2 * time.Second
	// finishBatchDelay is the time for which finishes and releases wait for a claim to share its batch.
	finishBatchDelay = 500 * time.Millisecond
	// maintenanceInterval is the time between two runs of preload and truncate.
	maintenanceInterval = 10 * time.Second
	// seenResolution is the resolution of the times at which batches were first seen.
	seenResolution = 10 * time.Second
	minRetryDelay  = 50 * time.Millisecond
	maxRetryDelay  = time.Second
)

// errStaleBatch reports that other batches were appended first, so that the batch has to be built again.
var errStaleBatch = errors.New("claim log batch was built on an outdated end of the log")

// Stages of an operation until it is in the log.
const (
	stageQueued int32 = iota
	// stageWriting means that the operation is being written or may have been written.
	stageWriting
	stageCancelled
)

// op is an operation that waits to be written or completed.
type op struct {
	record logRecord
	// ctx is the context of a claim, or nil for other operations, which are written even if nobody waits for them.
	ctx   context.Context
	done  chan opResult
	stage atomic.Int32
	// mayBeWritten is set after a write with unknown outcome that contained the operation. It is only used by the shard's
	// goroutine.
	mayBeWritten bool
}

type opResult struct {
	state State
	err   error
}

func newOp(rec logRecord, ctx context.Context) *op { //revive:disable-line:context-as-argument
	return &op{record: rec, ctx: ctx, done: make(chan opResult, 1)}
}

func (o *op) complete(s State, err error) { o.done <- opResult{state: s, err: err} }

func (o *op) isClaim() bool { return o.record.Op == opClaim }

// startWrite marks the operation as being written. It returns false if the operation was cancelled.
func (o *op) startWrite() bool {
	o.stage.CompareAndSwap(stageQueued, stageWriting)
	return o.stage.Load() == stageWriting
}

// claimCancelled reports whether the context of a claim has ended.
func (o *op) claimCancelled() bool { return o.isClaim() && o.ctx != nil && o.ctx.Err() != nil }

// shard appends to the log of one shard. All fields below wake are only used by the goroutine of run.
type shard struct {
	log         *Log
	number      int
	writeBudget *tokenBucket

	mu    sync.Mutex
	queue []*op
	wake  chan struct{}

	state *logState
	// lastBatch is the number of the last batch applied.
	lastBatch uint64
	loaded    bool
	// lastBatchConfirmedAt is the last time at which that batch was known to be the end of the log.
	lastBatchConfirmedAt time.Time
	// versions maps the number of each batch that is not yet deleted to its store version.
	versions map[uint64]uint64
	// oldest is the lowest batch number that may still exist in the store.
	oldest uint64
	seen   []seenBatches
	// pageSize is the number of batches in one list call.
	pageSize int
	// localHorizon is the horizon that this process has computed and writes with its next batch.
	localHorizon uint64
}

// seenBatches records that this process first saw the batches up to number between at and seenResolution after it.
type seenBatches struct {
	number uint64
	at     time.Time
}

func newShard(l *Log, number int) *shard {
	return &shard{
		log: l, number: number, writeBudget: newTokenBucket(l.opt.WritesPerSecond), wake: make(chan struct{}, 1),
		state: newLogState(), versions: map[uint64]uint64{}, pageSize: minPageBatches,
	}
}

func (s *shard) enqueue(o *op) bool {
	s.mu.Lock()
	full := len(s.queue) >= maxQueuedOps
	if !full {
		if len(s.queue) >= maxQueuedBodies && o.record.Result != nil && len(o.record.Result.Body) > 0 {
			o.record.Result = &Result{Outcome: o.record.Result.Outcome, Status: o.record.Result.Status, Dropped: true}
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

// claim queues a claim and waits until it is decided. On error, written reports whether the claim may have been written.
func (s *shard) claim(ctx context.Context, rec logRecord) (state State, written bool, err error) {
	o := newOp(rec, ctx)
	if !s.enqueue(o) {
		return State{}, false, fmt.Errorf("%w: %d operations wait", ErrUnavailable, maxQueuedOps)
	}
	select {
	case r := <-o.done:
		if r.err == nil && r.state.Status == Granted && ctx.Err() != nil {
			return State{}, true, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
		return r.state, o.stage.Load() == stageWriting, r.err
	case <-ctx.Done():
		written = !o.stage.CompareAndSwap(stageQueued, stageCancelled)
		return State{}, written, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
}

// finish queues a finish or release and waits until it is in the log or the context ends.
func (s *shard) finish(ctx context.Context, rec logRecord) error {
	o := newOp(rec, nil)
	if !s.enqueue(o) {
		return fmt.Errorf("%w: %d operations wait", ErrUnavailable, maxQueuedOps)
	}
	select {
	case r := <-o.done:
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("claim result is not in the log yet: %w", ctx.Err())
	}
}

func (s *shard) run(ctx context.Context) {
	maintenance := time.NewTicker(maintenanceInterval)
	defer maintenance.Stop()
	backoff := store.NewBackoff(minRetryDelay, maxRetryDelay)
	for {
		select {
		case <-ctx.Done():
			return
		case <-maintenance.C:
			s.preload(ctx)
			s.truncate(ctx)
		case <-s.wake:
			s.awaitBatch(ctx)
			if err := s.commit(ctx); err != nil && !errors.Is(err, errStaleBatch) {
				s.log.reportError(fmt.Errorf("claim log shard %d: %w", s.number, err))
				if !backoff.Wait(ctx) {
					return
				}
				s.signal()
				continue
			}
			backoff.Reset()
			if s.hasQueued() {
				s.signal()
			}
		}
	}
}

func (s *shard) hasQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0
}

// awaitBatch waits until the next batch should be written: for finishBatchDelay if no claim is queued, and then for the
// write budget.
func (s *shard) awaitBatch(ctx context.Context) {
	if !s.hasQueuedClaim() {
		timer := time.NewTimer(finishBatchDelay)
		defer timer.Stop()
		for !s.hasQueuedClaim() {
			select {
			case <-s.wake:
				continue
			case <-timer.C:
			case <-ctx.Done():
			}
			break
		}
	}
	s.writeBudget.take(ctx)
}

func (s *shard) hasQueuedClaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.queue {
		if o.isClaim() {
			return true
		}
	}
	return false
}

// commit completes the queued operations that need no write and appends others as one batch.
func (s *shard) commit(ctx context.Context) error {
	if !s.loaded {
		if err := s.refresh(ctx); err != nil {
			return err
		}
	}
	ops, b, err := s.buildBatch(ctx)
	if err != nil || len(ops) == 0 {
		s.writeBudget.refund()
		return err
	}
	err = s.appendBatch(ctx, b)
	if err != nil {
		resetUnwritten(ops, errors.Is(err, store.ErrUnknown))
		s.requeue(ops)
		return err
	}
	for _, o := range ops {
		s.completeFromState(o)
	}
	if s.canDelete() {
		// One deletion for each appended batch keeps the length of the log constant.
		s.writeBudget.take(ctx)
		s.deleteOldest(ctx)
	}
	return nil
}

// resetUnwritten marks operations as queued again, unless this or an earlier write may have appended them.
func resetUnwritten(ops []*op, unknown bool) {
	for _, o := range ops {
		o.mayBeWritten = o.mayBeWritten || unknown
		if !o.mayBeWritten {
			o.stage.CompareAndSwap(stageWriting, stageQueued)
		}
	}
}

// buildBatch takes the operations off the queue. Those that the log already decides are completed; the others form the
// batch. It only contains operations that take effect at the known end of the log, and at most one for each key.
func (s *shard) buildBatch(ctx context.Context) ([]*op, *batch, error) {
	queue := s.takeQueue()
	if err := s.refreshBeforeRefusal(ctx, queue); err != nil {
		s.requeue(queue)
		return nil, nil, err
	}
	b := &batch{ID: rand.Text(), Writer: s.log.opt.Instance, TimeMs: time.Now().UnixMilli(), Horizon: s.nextHorizon()}
	keysInBatch := map[digest]bool{}
	var ops, deferred []*op
	size := 0
	for _, o := range queue {
		switch {
		case keysInBatch[o.record.Key] || size > maxBatchBytes:
			deferred = append(deferred, o)
		case o.claimCancelled() || s.completeWithoutWrite(o) || !o.startWrite():
		default:
			keysInBatch[o.record.Key] = true
			ops, b.Records = append(ops, o), append(b.Records, o.record)
			size += recordSize(&o.record)
		}
	}
	s.requeue(deferred)
	return ops, b, nil
}

func recordSize(rec *logRecord) int {
	const overheadBytes = 200
	if rec.Result == nil {
		return overheadBytes
	}
	return overheadBytes + rec.Result.headerSize() + len(rec.Result.Body)
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

// completeWithoutWrite completes an operation that needs no write, and reports whether it did.
func (s *shard) completeWithoutWrite(o *op) bool {
	ks := s.state.keys[o.record.Key]
	_, abandoned := s.state.abandoned[o.record.Attempt]
	own := ks != nil && ks.attempt == o.record.Attempt
	switch {
	case o.record.Op == opRelease && abandoned, o.record.Op == opFinish && own && ks.finished:
		o.complete(State{}, nil)
	case o.record.Op == opFinish && !own:
		o.complete(State{}, ErrNotHeld)
	case o.isClaim() && abandoned:
		o.complete(State{}, ErrAbandoned)
	case o.isClaim() && ks != nil:
		s.completeFromState(o)
	default:
		return false
	}
	return true
}

// refreshBeforeRefusal reads new batches before a claim is refused because of an unfinished claim, which may have ended
// in the meantime.
func (s *shard) refreshBeforeRefusal(ctx context.Context, queue []*op) error {
	for _, o := range queue {
		ks := s.state.keys[o.record.Key]
		if o.isClaim() && ks != nil && !ks.finished && ks.attempt != o.record.Attempt {
			return s.refresh(ctx)
		}
	}
	return nil
}

// completeFromState completes an operation according to the state of its key.
func (s *shard) completeFromState(o *op) {
	if !o.isClaim() {
		o.complete(State{}, nil)
		return
	}
	ks := s.state.keys[o.record.Key]
	switch {
	case ks == nil:
		// The key was released in the meantime: the claim was not written, or its attempt was abandoned.
		o.complete(State{}, ErrUnavailable)
	case ks.body != o.record.Body:
		o.complete(State{Status: Mismatch, Attempt: ks.attempt}, nil)
	case ks.attempt == o.record.Attempt && ks.claimant == o.record.Claimant && !ks.finished:
		o.complete(State{Status: Granted, Attempt: ks.attempt}, nil)
	case ks.finished:
		// Reading the result takes a store call, which must not delay the next batch.
		found := *ks
		go func() {
			o.complete(State{Status: Finished, Attempt: found.attempt, Result: s.readResult(o.ctx, &found)}, nil)
		}()
	default:
		o.complete(State{Status: s.log.status(ks, time.Now()), Attempt: ks.attempt}, nil)
	}
}

// readResult reads a stored result. If the store call fails, only its outcome and status are returned.
func (s *shard) readResult(ctx context.Context, ks *keyState) Result {
	withoutResponse := Result{Outcome: ks.outcome, Status: ks.status, Dropped: true}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := s.log.opt.Client.Get(ctx, Kind, objectName(s.number, ks.resultBatch))
	if err != nil {
		return withoutResponse
	}
	var b batch
	if err := wire.Unmarshal(obj.Value, &b); err != nil || ks.resultIndex >= len(b.Records) {
		return withoutResponse
	}
	rec := b.Records[ks.resultIndex]
	if rec.Attempt != ks.attempt || rec.Result == nil {
		return withoutResponse
	}
	return *rec.Result
}

// appendBatch writes the batch under the next number. After an error the operations must not be completed: either the
// batch is not in the log, or the next refresh finds it.
func (s *shard) appendBatch(ctx context.Context, b *batch) error {
	value, err := wire.Marshal(b)
	if err != nil {
		return err
	}
	number, confirmedAt := s.lastBatch+1, s.lastBatchConfirmedAt
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
	if maxElapsed(confirmedAt) > s.log.opt.Retention/2 {
		// This process was paused. Another process may have used the number and deleted its batch in the meantime, so a
		// successful create does not prove that this batch is at the end of the log: read the log again.
		s.loaded = false
		return errStaleBatch
	}
	s.applyBatch(storedBatch{number: number, version: obj.Version, batch: b})
	s.lastBatchConfirmedAt = started
	return nil
}

// readBack resolves a conflict or a write with unknown outcome by reading the batches after the last known number.
func (s *shard) readBack(ctx context.Context, b *batch, cause error) error {
	found, err := s.refreshAndFind(ctx, b.ID)
	switch {
	case err != nil:
		return fmt.Errorf("%w; read back: %v", store.ErrUnknown, err) //nolint:errorlint // the class must be ErrUnknown
	case found:
		return nil
	case errors.Is(cause, store.ErrUnknown):
		return cause
	default:
		return errStaleBatch
	}
}

func (s *shard) refresh(ctx context.Context) error {
	_, err := s.refreshAndFind(ctx, "")
	return err
}

// refreshAndFind applies all batches after the last known one and reports whether one of them has the ID.
func (s *shard) refreshAndFind(ctx context.Context, id string) (bool, error) {
	if !s.loaded || maxElapsed(s.lastBatchConfirmedAt) > s.log.opt.Retention/2 {
		return s.load(ctx, id)
	}
	found := false
	for {
		started := time.Now()
		page, last, err := s.list(ctx, s.lastBatch)
		if err != nil {
			return found, err
		}
		for _, p := range page {
			if p.number != s.lastBatch+1 {
				s.loaded = false
				return found, fmt.Errorf("claim log shard %d: batch %d follows batch %d", s.number, p.number, s.lastBatch)
			}
			s.applyBatch(p)
			found = found || p.batch.ID == id
		}
		if last {
			s.lastBatchConfirmedAt = started
			return found, nil
		}
	}
}

// load reads the whole log again. Batches before the highest horizon are not applied: they are being deleted, or were
// created by a process that was paused while other processes used and deleted the number.
func (s *shard) load(ctx context.Context, id string) (bool, error) {
	s.loaded = false
	var all []storedBatch
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
	s.state, s.lastBatch, s.oldest = newLogState(), 0, 0
	clear(s.versions)
	horizon := uint64(0)
	for _, p := range all {
		horizon = max(horizon, p.batch.Horizon)
	}
	found := false
	for _, p := range all {
		switch {
		case p.number < horizon:
			s.trackVersion(p)
			continue
		case s.lastBatch != 0 && p.number != s.lastBatch+1:
			return false, fmt.Errorf("claim log shard %d: batch %d follows batch %d", s.number, p.number, s.lastBatch)
		}
		s.applyBatch(p)
		found = found || p.batch.ID == id
	}
	s.state.expire(horizon)
	s.loaded, s.lastBatchConfirmedAt = true, started
	return found, nil
}

// storedBatch is a batch in the store.
type storedBatch struct {
	number, version uint64
	batch           *batch
}

// list returns the page of batches after a number (0 for the first page) and whether it is the last page.
func (s *shard) list(ctx context.Context, after uint64) ([]storedBatch, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	name := ""
	if after > 0 {
		name = objectName(s.number, after)
	}
	limit := s.pageSize
	objs, err := s.log.opt.Client.List(ctx, Kind, shardPrefix(s.number), name, limit)
	if err != nil {
		s.pageSize = minPageBatches // the page may have been too large to transfer
		return nil, false, err
	}
	page := make([]storedBatch, 0, len(objs))
	largest := 1
	for _, obj := range objs {
		p, err := decodeBatch(obj)
		if err != nil {
			return nil, false, err
		}
		page = append(page, p)
		largest = max(largest, len(obj.Value))
	}
	s.pageSize = min(max(minPageBatches, targetPageBytes/largest), maxPageBatches)
	return page, len(objs) < limit, nil
}

// decodeBatch decodes a batch without its responses, which are read from the store when needed.
func decodeBatch(obj store.Object) (storedBatch, error) {
	number, err := objectNumber(obj.Name)
	if err != nil {
		return storedBatch{}, err
	}
	b := new(batch)
	if err := wire.Unmarshal(obj.Value, b); err != nil {
		return storedBatch{}, fmt.Errorf("claim log object %s: %w", obj.Name, err)
	}
	for i := range b.Records {
		if r := b.Records[i].Result; r != nil {
			r.Body, r.Header = nil, nil
		}
	}
	return storedBatch{number: number, version: obj.Version, batch: b}, nil
}

// trackVersion records the store version of a batch, which its deletion needs.
func (s *shard) trackVersion(p storedBatch) {
	s.versions[p.number] = p.version
	if s.oldest == 0 {
		s.oldest = p.number
	}
}

func (s *shard) applyBatch(p storedBatch) {
	s.trackVersion(p)
	s.state.apply(p.number, p.batch)
	s.lastBatch = p.number
	if n := len(s.seen); n == 0 || time.Since(s.seen[n-1].at) > seenResolution {
		s.seen = append(s.seen, seenBatches{at: time.Now()})
	}
	s.seen[len(s.seen)-1].number = p.number
}

// nextHorizon returns the number of the first batch that this process saw less than the retention time ago. It uses no
// clock of another process, so that a wrong clock there expires no claims.
func (s *shard) nextHorizon() uint64 {
	n := 0
	for ; n < len(s.seen); n++ {
		// An element covers batches seen up to seenResolution after its time.
		if minElapsed(s.seen[n].at) < s.log.opt.Retention+seenResolution {
			break
		}
		s.localHorizon = max(s.localHorizon, s.seen[n].number+1)
	}
	s.seen = s.seen[n:]
	return max(s.state.horizon, min(s.localHorizon, s.lastBatch))
}

// canDelete reports whether this process owns the shard and batches before the horizon are still to be deleted.
// The last batch is never deleted, as the next number is derived from it.
func (s *shard) canDelete() bool {
	return s.loaded && s.oldest > 0 && s.oldest < min(s.state.horizon, s.lastBatch) && s.log.owner(s.number) == s.log.opt.Instance
}

// preload reads the log of a shard that this process now owns, so that the next claim does not have to wait for it.
func (s *shard) preload(ctx context.Context) {
	if s.loaded || s.log.owner(s.number) != s.log.opt.Instance {
		return
	}
	if err := s.refresh(ctx); err != nil {
		s.log.reportError(fmt.Errorf("claim log shard %d: read: %w", s.number, err))
	}
}

// truncate deletes batches before the horizon, in order, while no operation is queued and the write budget allows it.
func (s *shard) truncate(ctx context.Context) {
	for s.canDelete() && !s.hasQueued() && s.writeBudget.tryTake() {
		if !s.deleteOldest(ctx) {
			return
		}
	}
}

// deleteOldest deletes the oldest batch. It returns false if the store call failed.
func (s *shard) deleteOldest(ctx context.Context) bool {
	version, ok := s.versions[s.oldest]
	if ok {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := s.log.opt.Client.Delete(ctx, store.Object{Kind: Kind, Name: objectName(s.number, s.oldest), Version: version})
		if err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict) {
			s.log.reportError(fmt.Errorf("claim log shard %d: delete batch %d: %w", s.number, s.oldest, err))
			return false
		}
	}
	delete(s.versions, s.oldest)
	s.oldest++
	return true
}

// maxElapsed returns the time since t by the clock that advanced more: the monotonic clock stops while a machine is
// suspended.
func maxElapsed(t time.Time) time.Duration {
	return max(time.Since(t), time.Now().Round(0).Sub(t.Round(0)))
}

// minElapsed returns the time since t by the clock that advanced less.
func minElapsed(t time.Time) time.Duration {
	return min(time.Since(t), time.Now().Round(0).Sub(t.Round(0)))
}
