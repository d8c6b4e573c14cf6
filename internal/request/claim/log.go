package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// Defaults of Options.
const (
	DefaultShards          = 4
	DefaultRetention       = time.Hour
	DefaultRunTimeout      = 10 * time.Minute
	DefaultClaimTimeout    = 2 * time.Second
	DefaultWritesPerSecond = 8.0
)

// Methods of peer calls.
const (
	MethodClaim  = "claim.claim"
	MethodFinish = "claim.finish"
)

// Options configures a Log. Zero values select the defaults.
type Options struct {
	// Instance is the instance name of this entry.
	Instance string
	Client   store.Client
	// Peers calls the other entries. If it is nil, this entry writes to all shards itself.
	Peers peer.Client
	// Members returns the instance names of the live entries, including this one.
	Members func() []string
	// Shards is the number of shards, each with its own log. All entries must use the same number. Default 4.
	Shards int
	// Retention is the minimum time for which a key is stored. Default 1 h.
	Retention time.Duration
	// RunTimeout is the maximum run time of a granted call. It must be below half of Retention. Default 10 min.
	RunTimeout time.Duration
	// ClaimTimeout is the timeout of one Claim whose context has no earlier deadline. Default 2 s.
	ClaimTimeout time.Duration
	// WritesPerSecond limits the store writes of one process to one shard, including deletions. As the owner of a shard
	// writes for all entries, the store's write rate is at most Shards times this number, for any number of entries.
	// Default 8.
	WritesPerSecond float64
	// OnError is called when a store call fails or too many operations are pending; it may be nil.
	OnError func(error)
}

// Log is the claim log of one entry.
type Log struct {
	opt      Options
	claimant string
	shards   []*shard
	pending  chan pendingOp
	stopped  atomic.Bool
}

// pendingOp is a finish or release that still has to be delivered to the owner of its shard.
type pendingOp struct {
	shard  int
	record logRecord
}

// maxPendingOps limits the operations that wait for delivery. Further ones are dropped: their keys stay claimed, and
// later claims of them return Unknown, which is safe.
const maxPendingOps = 4096

// Delivery of pending operations: the number of concurrent deliveries, and the delay before a retry.
const (
	deliveryWorkers    = 8
	deliveryRetryDelay = time.Second
)

// New returns a log. Run must be called for it to append batches.
func New(o Options) (*Log, error) {
	setDefaults(&o)
	if o.RunTimeout >= o.Retention/2 {
		return nil, fmt.Errorf("claim run timeout %v must be below half of the retention %v", o.RunTimeout, o.Retention)
	}
	l := &Log{
		opt: o, claimant: o.Instance + "/" + rand.Text(), pending: make(chan pendingOp, maxPendingOps),
	}
	for i := range o.Shards {
		l.shards = append(l.shards, newShard(l, i))
	}
	return l, nil
}

func setDefaults(o *Options) {
	if o.Shards <= 0 {
		o.Shards = DefaultShards
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.RunTimeout <= 0 {
		o.RunTimeout = DefaultRunTimeout
	}
	if o.ClaimTimeout <= 0 {
		o.ClaimTimeout = DefaultClaimTimeout
	}
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.Members == nil {
		o.Members = func() []string { return []string{o.Instance} }
	}
}

// Run appends batches until the context ends.
func (l *Log) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range l.shards {
		wg.Go(func() { s.run(ctx) })
	}
	for range deliveryWorkers {
		wg.Go(func() { l.deliverPending(ctx) })
	}
	<-ctx.Done()
	l.stopped.Store(true)
	wg.Wait()
}

// Handlers returns the handlers of peer calls by method.
func (l *Log) Handlers() map[string]peer.CallHandler {
	return map[string]peer.CallHandler{MethodClaim: l.handleClaim, MethodFinish: l.handleFinish}
}

// Claim requests the exclusive right to run the call of a key. The attempt ID must be unique to this execution of the
// request. After an error this attempt must not run the call, and the attempt ID must not be used again.
func (l *Log) Claim(ctx context.Context, key Key, bodyHash [32]byte, attempt string) (State, error) {
	if len(key.Value) == 0 || len(key.Value) > MaxKeyBytes {
		return State{}, fmt.Errorf("idempotency key has %d bytes; allowed: 1 to %d", len(key.Value), MaxKeyBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, l.opt.ClaimTimeout)
	defer cancel()
	start := time.Now()
	rec := logRecord{
		Op: opClaim, Key: key.digest(), Attempt: attempt, Body: bodyHash, Claimant: l.claimant,
		DeadlineMs: start.Add(l.opt.RunTimeout).UnixMilli(),
	}
	state, err := l.claim(ctx, rec)
	if err != nil {
		return State{}, err
	}
	if state.Status == Granted {
		state.ValidUntil = start.Add(l.opt.RunTimeout)
	}
	return state, nil
}

func (l *Log) claim(ctx context.Context, rec logRecord) (State, error) {
	shard := l.shardOf(rec.Key)
	maybeAtOwner := false
	if owner := l.owner(shard); owner != l.opt.Instance {
		state, err := l.callClaim(ctx, owner, rec)
		if err == nil || errors.Is(err, ErrAbandoned) {
			return state, err
		}
		// An owner that responded with an error releases the key itself.
		var remoteErr *peer.RemoteError
		maybeAtOwner = !errors.As(err, &remoteErr) && !errors.Is(err, errStopped)
		if !bypassOwner(err) || ctx.Err() != nil {
			if maybeAtOwner {
				l.queueForDelivery(shard, release(rec))
			}
			return State{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	state, written, err := l.shards[shard].claim(ctx, rec)
	if err != nil && (written || maybeAtOwner) {
		// The claim may be in the log or may still be appended. The call is not run, so the key is released.
		l.queueForDelivery(shard, release(rec))
	}
	return state, err
}

// errStopped reports that the owner of the shard is shutting down and no longer writes.
var errStopped = errors.New("claim log of the owner has stopped")

// bypassOwner reports whether to append to the log without the owner of the shard. A slow owner is not bypassed: if every
// entry wrote once the owner's write budget is used up, the store's write rate would grow with the number of entries.
func bypassOwner(err error) bool {
	return errors.Is(err, peer.ErrUnreachable) || errors.Is(err, errStopped)
}

func release(rec logRecord) logRecord {
	return logRecord{Op: opRelease, Key: rec.Key, Attempt: rec.Attempt}
}

// Finish records the result of a granted call and waits until it is in the log or the context ends. In the latter case
// it is written later, unless this process exits first. The response to the caller does not have to wait for it.
// The outcome not_run releases the key.
func (l *Log) Finish(ctx context.Context, key Key, attempt string, result Result) error {
	bounded := result.bounded()
	rec := logRecord{Op: opFinish, Key: key.digest(), Attempt: attempt, Result: &bounded}
	if result.Outcome == outcome.NotRun {
		rec = logRecord{Op: opRelease, Key: rec.Key, Attempt: attempt}
	}
	shard := l.shardOf(rec.Key)
	if owner := l.owner(shard); owner != l.opt.Instance {
		err := l.callFinish(ctx, owner, rec)
		var remoteErr *peer.RemoteError
		switch {
		case err == nil:
			return nil
		case bypassOwner(err):
		case errors.As(err, &remoteErr):
			return err // an operation queued at the owner is still written there
		default:
			l.queueForDelivery(shard, rec)
			return err
		}
	}
	return l.shards[shard].finish(ctx, rec)
}

func (l *Log) shardOf(key digest) int {
	h := fnv.New32a()
	_, _ = h.Write(key[:]) // never fails
	return int(h.Sum32() % uint32(l.opt.Shards))
}

// owner returns the entry that collects the claims of a shard, by rendezvous hashing: the live entry with the highest hash
// of shard and name.
func (l *Log) owner(shard int) string {
	if l.opt.Peers == nil {
		return l.opt.Instance
	}
	best, bestHash := l.opt.Instance, uint64(0)
	for _, name := range l.opt.Members() {
		if h := xxhash.Sum64String(shardPrefix(shard) + name); h > bestHash || h == bestHash && name < best {
			best, bestHash = name, h
		}
	}
	return best
}

// status returns the status of a key that another attempt claimed.
func (l *Log) status(ks *keyState, now time.Time) Status {
	switch {
	case ks.finished:
		return Finished
	case now.UnixMilli() > ks.deadlineMs:
		return Unknown
	case ks.claimant == l.claimant:
		return Active
	}
	instance, _, _ := strings.Cut(ks.claimant, "/")
	if instance == l.opt.Instance {
		return Unknown // claimed by an earlier process of the same instance name
	}
	for _, name := range l.opt.Members() {
		if name == instance {
			return Active
		}
	}
	return Unknown
}

func (l *Log) queueForDelivery(shard int, rec logRecord) {
	select {
	case l.pending <- pendingOp{shard: shard, record: rec}:
	default:
		l.reportError(fmt.Errorf("more than %d claim results and releases are pending; one was dropped and its key stays claimed", maxPendingOps))
	}
}

// deliverPending delivers pending operations to the owners of their shards, or appends them from this process when an
// owner is unreachable or stopped.
func (l *Log) deliverPending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-l.pending:
			l.deliver(ctx, op)
		}
	}
}

func (l *Log) deliver(ctx context.Context, op pendingOp) {
	owner := l.owner(op.shard)
	if owner == l.opt.Instance {
		l.shards[op.shard].enqueue(newOp(op.record, nil))
		return
	}
	err := l.callFinish(ctx, owner, op.record)
	var remoteErr *peer.RemoteError
	switch {
	case err == nil || errors.As(err, &remoteErr):
	case bypassOwner(err):
		l.shards[op.shard].enqueue(newOp(op.record, nil))
	default:
		// The call may have been lost. A repeated finish or release has no effect, so retrying is safe.
		select {
		case <-time.After(deliveryRetryDelay):
			l.queueForDelivery(op.shard, op.record)
		case <-ctx.Done():
		}
	}
}

func (l *Log) reportError(err error) {
	if l.opt.OnError != nil && !errors.Is(err, context.Canceled) {
		l.opt.OnError(err)
	}
}

// claimRequest is the request of MethodClaim.
type claimRequest struct {
	Record logRecord `cbor:"1,keyasint"`
	// RemainingMs is the time until the deadline of the calling entry.
	RemainingMs int64 `cbor:"2,keyasint"`
}

// claimResponse is the response of MethodClaim.
type claimResponse struct {
	Status  Status `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint,omitempty"`
	Result  Result `cbor:"3,keyasint,omitempty"`
	// Stopped means that the owner is shutting down and no longer writes.
	Stopped bool `cbor:"4,keyasint,omitempty"`
	// Abandoned means that the attempt was abandoned earlier.
	Abandoned bool `cbor:"5,keyasint,omitempty"`
}

// finishResponse is the response of MethodFinish.
type finishResponse struct {
	Stopped bool `cbor:"1,keyasint,omitempty"`
}

func (l *Log) callClaim(ctx context.Context, owner string, rec logRecord) (State, error) {
	end, _ := ctx.Deadline()
	payload, err := wire.Marshal(claimRequest{Record: rec, RemainingMs: time.Until(end).Milliseconds()})
	if err != nil {
		return State{}, err
	}
	data, err := l.opt.Peers.Call(ctx, owner, MethodClaim, payload)
	if err != nil {
		return State{}, fmt.Errorf("%s at %s: %w", MethodClaim, owner, err)
	}
	var resp claimResponse
	if err := wire.Unmarshal(data, &resp); err != nil {
		return State{}, fmt.Errorf("%s at %s: %w", MethodClaim, owner, err)
	}
	if resp.Stopped {
		return State{}, fmt.Errorf("%s at %s: %w", MethodClaim, owner, errStopped)
	}
	if resp.Abandoned {
		return State{}, ErrAbandoned
	}
	if resp.Status == 0 || resp.Status == Granted && resp.Attempt != rec.Attempt {
		return State{}, fmt.Errorf("%s at %s: response has status %s for attempt %q", MethodClaim, owner, resp.Status, resp.Attempt)
	}
	return State{Status: resp.Status, Attempt: resp.Attempt, Result: resp.Result}, nil
}

func (l *Log) callFinish(ctx context.Context, owner string, rec logRecord) error {
	ctx, cancel := context.WithTimeout(ctx, l.opt.ClaimTimeout)
	defer cancel()
	payload, err := wire.Marshal(rec)
	if err != nil {
		return err
	}
	data, err := l.opt.Peers.Call(ctx, owner, MethodFinish, payload)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", MethodFinish, owner, err)
	}
	var resp finishResponse
	if err := wire.Unmarshal(data, &resp); err != nil {
		return fmt.Errorf("%s at %s: %w", MethodFinish, owner, err)
	}
	if resp.Stopped {
		return fmt.Errorf("%s at %s: %w", MethodFinish, owner, errStopped)
	}
	return nil
}

func (l *Log) handleClaim(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var req claimRequest
	if err := wire.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	if instance, _, _ := strings.Cut(req.Record.Claimant, "/"); req.Record.Op != opClaim || instance != from.Instance {
		return nil, fmt.Errorf("%s: claimant %q does not belong to %s", MethodClaim, req.Record.Claimant, from.Instance)
	}
	if l.stopped.Load() {
		return wire.Marshal(claimResponse{Stopped: true})
	}
	wait := min(time.Duration(req.RemainingMs)*time.Millisecond, l.opt.ClaimTimeout)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	shard := l.shardOf(req.Record.Key)
	state, written, err := l.shards[shard].claim(ctx, req.Record)
	if errors.Is(err, ErrAbandoned) {
		return wire.Marshal(claimResponse{Abandoned: true})
	}
	if err != nil {
		if written {
			l.queueForDelivery(shard, release(req.Record))
		}
		return nil, err
	}
	return wire.Marshal(claimResponse{Status: state.Status, Attempt: state.Attempt, Result: state.Result})
}

func (l *Log) handleFinish(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var rec logRecord
	if err := wire.Unmarshal(payload, &rec); err != nil {
		return nil, err
	}
	if rec.Op != opFinish && rec.Op != opRelease || rec.Op == opFinish && rec.Result == nil {
		return nil, fmt.Errorf("%s: entry of kind %d", MethodFinish, rec.Op)
	}
	if l.stopped.Load() {
		return wire.Marshal(finishResponse{Stopped: true})
	}
	ctx, cancel := context.WithTimeout(ctx, l.opt.ClaimTimeout)
	defer cancel()
	if err := l.shards[l.shardOf(rec.Key)].finish(ctx, rec); err != nil {
		return nil, err
	}
	return wire.Marshal(finishResponse{})
}
