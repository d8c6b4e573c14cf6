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

// Options configure a Log. Zero values select the defaults.
type Options struct {
	// Instance is the name of this entry.
	Instance string
	Client   store.Client
	// Caller reaches other entries; nil means that this entry always writes itself.
	Caller peer.Caller
	// Members returns the names of the live entries, this one included.
	Members func() []string
	// Shards is the number of logs. All entries must use the same number. Default 4.
	Shards int
	// Retention is the time for which a key is remembered at least. Default 1 h.
	Retention time.Duration
	// RunTimeout is the longest time that a granted call can run. It must be below half of Retention. Default 10 min.
	RunTimeout time.Duration
	// ClaimTimeout bounds one Claim, when its context has no earlier deadline. Default 2 s.
	ClaimTimeout time.Duration
	// WritesPerSecond bounds the store writes of one shard by one process, deletions included. As a shard's owner writes
	// for all entries, Shards times this number is the cost to the store, whatever the number of entries. Default 8.
	WritesPerSecond float64
	// OnError is told of failed store calls; it may be nil.
	OnError func(error)
}

// Log is the claim log of one entry.
type Log struct {
	opt      Options
	claimant string
	shards   []*shard
	owed     chan owedOp
	stopped  atomic.Bool
}

// owedOp is a finish or release that has not reached the log yet.
type owedOp struct {
	shard int
	entry entry
}

// maxOwed bounds the operations that wait for delivery. Those beyond it are dropped: their keys stay claimed, and later
// uses return Unknown, which is safe.
const maxOwed = 4096

// deliverers is the number of operations that are delivered at once, and deliverRetry the wait after a failure.
const (
	deliverers   = 8
	deliverRetry = time.Second
)

// New returns a log; Run serves it.
func New(o Options) (*Log, error) {
	setDefaults(&o)
	if o.RunTimeout >= o.Retention/2 {
		return nil, fmt.Errorf("claim run timeout %v must be below half of the retention %v", o.RunTimeout, o.Retention)
	}
	l := &Log{
		opt: o, claimant: o.Instance + "/" + rand.Text(), owed: make(chan owedOp, maxOwed),
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
	for range deliverers {
		wg.Go(func() { l.deliverOwed(ctx) })
	}
	<-ctx.Done()
	l.stopped.Store(true)
	wg.Wait()
}

// Handlers returns the handlers of the peer calls by method.
func (l *Log) Handlers() map[string]peer.CallHandler {
	return map[string]peer.CallHandler{MethodClaim: l.handleClaim, MethodFinish: l.handleFinish}
}

// Claim asks for the right to run the call of a key. The attempt is unique to this execution of the request.
// On any error the call must not be run, and has not been; the attempt must not be used again.
func (l *Log) Claim(ctx context.Context, key Key, bodyHash [32]byte, attempt string) (State, error) {
	if len(key.Value) == 0 || len(key.Value) > MaxKey {
		return State{}, fmt.Errorf("idempotency key has %d bytes; allowed: 1 to %d", len(key.Value), MaxKey)
	}
	ctx, cancel := context.WithTimeout(ctx, l.opt.ClaimTimeout)
	defer cancel()
	start := time.Now()
	e := entry{
		Op: opClaim, Key: key.digest(), Attempt: attempt, Body: bodyHash, Claimant: l.claimant,
		DeadlineMs: start.Add(l.opt.RunTimeout).UnixMilli(),
	}
	state, err := l.claim(ctx, e)
	if err != nil {
		return State{}, err
	}
	if state.Status == Granted {
		state.ValidUntil = start.Add(l.opt.RunTimeout)
	}
	return state, nil
}

func (l *Log) claim(ctx context.Context, e entry) (State, error) {
	shard := l.shardOf(e.Key)
	remote := false
	if owner := l.owner(shard); owner != l.opt.Instance {
		state, err := l.callClaim(ctx, owner, e)
		if err == nil || errors.Is(err, ErrAbandoned) {
			return state, err
		}
		// An owner that answered with an error gives the key back itself.
		var refused *peer.RemoteError
		remote = !errors.As(err, &refused) && !errors.Is(err, errStopped)
		if !direct(err) || ctx.Err() != nil {
			if remote {
				l.owe(shard, release(e))
			}
			return State{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	state, written, err := l.shards[shard].claim(ctx, e)
	if err != nil && (written || remote) {
		// The claim may be in the log or still get there. It is not run, so the key is given back.
		l.owe(shard, release(e))
	}
	return state, err
}

// errStopped reports that the owner's log has stopped because the process ends.
var errStopped = errors.New("claim log of the owner has stopped")

// direct tells whether to write without the owner. A slow owner is no reason: if every entry wrote when the owner's
// budget is used up, the store's cost would grow with the number of entries.
func direct(err error) bool { return errors.Is(err, peer.ErrUnreachable) || errors.Is(err, errStopped) }

func release(e entry) entry { return entry{Op: opRelease, Key: e.Key, Attempt: e.Attempt} }

// Finish records the result of a granted call and waits until the log holds it or the context ends; in the latter case
// it is still written later, if this process lives. The call's response does not have to wait for it.
// The outcome not_run gives the key back.
func (l *Log) Finish(ctx context.Context, key Key, attempt string, result Result) error {
	bounded := result.bounded()
	e := entry{Op: opFinish, Key: key.digest(), Attempt: attempt, Result: &bounded}
	if result.Outcome == outcome.NotRun {
		e = entry{Op: opRelease, Key: e.Key, Attempt: attempt}
	}
	shard := l.shardOf(e.Key)
	if owner := l.owner(shard); owner != l.opt.Instance {
		err := l.callFinish(ctx, owner, e)
		var refused *peer.RemoteError
		switch {
		case err == nil:
			return nil
		case direct(err):
		case errors.As(err, &refused):
			return err // an operation that waits at the owner is still written there
		default:
			l.owe(shard, e)
			return err
		}
	}
	return l.shards[shard].settle(ctx, e)
}

func (l *Log) shardOf(key digest) int {
	h := fnv.New32a()
	_, _ = h.Write(key[:]) // never fails
	return int(h.Sum32() % uint32(l.opt.Shards))
}

// owner returns the entry that collects the claims of a shard: the live entry with the highest hash of shard and name.
func (l *Log) owner(shard int) string {
	if l.opt.Caller == nil {
		return l.opt.Instance
	}
	best, high := l.opt.Instance, uint64(0)
	for _, name := range l.opt.Members() {
		if h := xxhash.Sum64String(shardPrefix(shard) + name); h > high || h == high && name < best {
			best, high = name, h
		}
	}
	return best
}

// status returns what an unfinished or finished record means for another attempt.
func (l *Log) status(rec *record, now time.Time) Status {
	switch {
	case rec.finished:
		return Finished
	case now.UnixMilli() > rec.deadlineMs:
		return Unknown
	case rec.claimant == l.claimant:
		return Active
	}
	instance, _, _ := strings.Cut(rec.claimant, "/")
	if instance == l.opt.Instance {
		return Unknown // an earlier process of the same name
	}
	for _, name := range l.opt.Members() {
		if name == instance {
			return Active
		}
	}
	return Unknown
}

func (l *Log) owe(shard int, e entry) {
	select {
	case l.owed <- owedOp{shard: shard, entry: e}:
	default:
		l.failed(fmt.Errorf("more than %d claim releases wait; one is dropped, its key stays claimed", maxOwed))
	}
}

// deliverOwed passes what waits to the shards' owners, or to this process when they do not answer.
func (l *Log) deliverOwed(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-l.owed:
			l.deliver(ctx, op)
		}
	}
}

func (l *Log) deliver(ctx context.Context, op owedOp) {
	owner := l.owner(op.shard)
	if owner == l.opt.Instance {
		l.shards[op.shard].enqueue(newOp(op.entry, nil))
		return
	}
	err := l.callFinish(ctx, owner, op.entry)
	var refused *peer.RemoteError
	switch {
	case err == nil || errors.As(err, &refused):
	case direct(err):
		l.shards[op.shard].enqueue(newOp(op.entry, nil))
	default:
		// The call may have been lost. Repeating it is harmless.
		select {
		case <-time.After(deliverRetry):
			l.owe(op.shard, op.entry)
		case <-ctx.Done():
		}
	}
}

func (l *Log) failed(err error) {
	if l.opt.OnError != nil && !errors.Is(err, context.Canceled) {
		l.opt.OnError(err)
	}
}

// claimRequest is the argument of MethodClaim.
type claimRequest struct {
	Entry entry `cbor:"1,keyasint"`
	// RemainingMs is the time that the caller still waits.
	RemainingMs int64 `cbor:"2,keyasint"`
}

// claimAnswer is the result of MethodClaim.
type claimAnswer struct {
	Status  Status `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint,omitempty"`
	Result  Result `cbor:"3,keyasint,omitempty"`
	// Stopped means that the owner does not write any more.
	Stopped bool `cbor:"4,keyasint,omitempty"`
	// Abandoned means that the attempt was given up before.
	Abandoned bool `cbor:"5,keyasint,omitempty"`
}

// finishAnswer is the result of MethodFinish.
type finishAnswer struct {
	Stopped bool `cbor:"1,keyasint,omitempty"`
}

func (l *Log) callClaim(ctx context.Context, owner string, e entry) (State, error) {
	end, _ := ctx.Deadline()
	payload, err := wire.Marshal(claimRequest{Entry: e, RemainingMs: time.Until(end).Milliseconds()})
	if err != nil {
		return State{}, err
	}
	data, err := l.opt.Caller.Call(ctx, owner, MethodClaim, payload)
	if err != nil {
		return State{}, fmt.Errorf("%s at %s: %w", MethodClaim, owner, err)
	}
	var a claimAnswer
	if err := wire.Unmarshal(data, &a); err != nil {
		return State{}, fmt.Errorf("%s at %s: %w", MethodClaim, owner, err)
	}
	if a.Stopped {
		return State{}, fmt.Errorf("%s at %s: %w", MethodClaim, owner, errStopped)
	}
	if a.Abandoned {
		return State{}, ErrAbandoned
	}
	if a.Status == 0 || a.Status == Granted && a.Attempt != e.Attempt {
		return State{}, fmt.Errorf("%s at %s: answer has status %s for attempt %q", MethodClaim, owner, a.Status, a.Attempt)
	}
	return State{Status: a.Status, Attempt: a.Attempt, Result: a.Result}, nil
}

func (l *Log) callFinish(ctx context.Context, owner string, e entry) error {
	ctx, cancel := context.WithTimeout(ctx, l.opt.ClaimTimeout)
	defer cancel()
	payload, err := wire.Marshal(e)
	if err != nil {
		return err
	}
	data, err := l.opt.Caller.Call(ctx, owner, MethodFinish, payload)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", MethodFinish, owner, err)
	}
	var a finishAnswer
	if err := wire.Unmarshal(data, &a); err != nil {
		return fmt.Errorf("%s at %s: %w", MethodFinish, owner, err)
	}
	if a.Stopped {
		return fmt.Errorf("%s at %s: %w", MethodFinish, owner, errStopped)
	}
	return nil
}

func (l *Log) handleClaim(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	var req claimRequest
	if err := wire.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	if instance, _, _ := strings.Cut(req.Entry.Claimant, "/"); req.Entry.Op != opClaim || instance != from.Instance {
		return nil, fmt.Errorf("%s: claimant %q does not belong to %s", MethodClaim, req.Entry.Claimant, from.Instance)
	}
	if l.stopped.Load() {
		return wire.Marshal(claimAnswer{Stopped: true})
	}
	wait := min(time.Duration(req.RemainingMs)*time.Millisecond, l.opt.ClaimTimeout)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	shard := l.shardOf(req.Entry.Key)
	state, written, err := l.shards[shard].claim(ctx, req.Entry)
	if errors.Is(err, ErrAbandoned) {
		return wire.Marshal(claimAnswer{Abandoned: true})
	}
	if err != nil {
		if written {
			l.owe(shard, release(req.Entry))
		}
		return nil, err
	}
	return wire.Marshal(claimAnswer{Status: state.Status, Attempt: state.Attempt, Result: state.Result})
}

func (l *Log) handleFinish(ctx context.Context, _ peer.Identity, payload []byte) ([]byte, error) {
	var e entry
	if err := wire.Unmarshal(payload, &e); err != nil {
		return nil, err
	}
	if e.Op != opFinish && e.Op != opRelease || e.Op == opFinish && e.Result == nil {
		return nil, fmt.Errorf("%s: entry of kind %d", MethodFinish, e.Op)
	}
	if l.stopped.Load() {
		return wire.Marshal(finishAnswer{Stopped: true})
	}
	ctx, cancel := context.WithTimeout(ctx, l.opt.ClaimTimeout)
	defer cancel()
	if err := l.shards[l.shardOf(e.Key)].settle(ctx, e); err != nil {
		return nil, err
	}
	return wire.Marshal(finishAnswer{})
}
