// Package execute implements the sidecar's side of an attempt: it queues asks, grants slots, runs requests at the
// upstream and streams the responses back. As the only dispatcher to its upstream, it knows for certain which requests
// it has started.
package execute

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/upstream"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/schedule"
)

const (
	// grantTimeout is how long a granted slot stays reserved without a Start.
	grantTimeout = 500 * time.Millisecond
	// maxQueuedPerSlot and minQueueLimit bound the queue: its limit is the larger of maxQueuedPerSlot for each slot and
	// minQueueLimit.
	maxQueuedPerSlot = 64
	minQueueLimit    = 256
	// closeTimeout is how long a stream stays open for the entry to read the last message.
	closeTimeout = time.Second
	// saturatedRetryAfter is the retry delay that a refusal with RefuseSaturated suggests.
	saturatedRetryAfter = 100 * time.Millisecond
)

// Stream is the request stream to the entry.
type Stream interface {
	Send(messages ...wire.Message) error
	Recv() (wire.Message, error)
}

// Cancellation states who cancelled a started attempt. It decides who is charged for the wasted tokens.
type Cancellation uint8

// Cancellations.
const (
	NotCancelled Cancellation = iota
	// CancelledByCaller means that the entry reported a cancellation by the caller.
	CancelledByCaller
	// CancelledByRouter means that the deadline passed, or that the entry or its session failed.
	CancelledByRouter
)

// errCancelledByCaller is the cause of a context that ended because the caller cancelled the request.
var errCancelledByCaller = errors.New("cancelled by the caller")

// Record describes an ended attempt for the sidecar's usage record.
type Record struct {
	Entry string
	Ask   *wire.Ask
	Done  wire.Done
	// Cancelled states who cancelled the attempt, if anyone did.
	Cancelled Cancellation
}

// Options configures an Executor.
type Options struct {
	Client *upstream.Client
	Kind   wire.Kind
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Models are the models that the engine serves; empty allows every model.
	Models []string
	// CanPause states whether the engine can pause and resume streams.
	CanPause bool
	// OnChange is called after each change of the load, under the executor's lock; it must not block or call the Executor.
	OnChange func()
	// OnHealth is called when the upstream becomes healthy or unhealthy, under the executor's lock; it must not block or
	// call the Executor.
	OnHealth func(healthy bool)
	// OnError receives the errors of pause and resume calls; it must not block.
	OnError func(error)
	// OnRecord receives the record of each started attempt after its end; it must not block.
	OnRecord func(Record)
}

// Executor manages the slots and the queue of one upstream. It is safe for concurrent use.
type Executor struct {
	opts Options

	mu            sync.Mutex
	sched         *schedule.Scheduler
	jobs          map[uint64]*job
	asks          map[askKey]bool
	lastID        uint64
	wakeTimer     *time.Timer
	activeStreams int
	queued        int
	running       int
	paused        int
	draining      bool
	healthy       bool
	models        []string
	idle          chan struct{}
}

// askKey identifies an ask across all entries.
type askKey struct {
	entry, request string
	attempt        uint32
}

// job is one ask from its arrival to its end.
type job struct {
	id      uint64
	key     askKey
	ask     *wire.Ask
	entry   string
	arrived time.Time
	granted bool
	started bool
	paused  bool
	// controlMu serializes the pause and resume calls of a running stream.
	controlMu sync.Mutex
	// ready is closed when the job has a slot; refused receives the reason if a queued job is refused.
	ready   chan struct{}
	refused chan wire.RefuseReason
}

// New returns an Executor whose upstream counts as healthy until SetHealthy is called.
func New(opts Options) *Executor {
	e := &Executor{
		opts: opts, sched: schedule.New(schedule.Config{Slots: opts.Slots, CanPause: opts.CanPause}),
		jobs: map[uint64]*job{}, asks: map[askKey]bool{}, healthy: true, models: opts.Models,
	}
	e.wakeTimer = time.AfterFunc(time.Hour, e.onWake)
	e.wakeTimer.Stop()
	return e
}

// Serve handles one ask; it returns when the attempt has ended. The context ends with the session.
func (e *Executor) Serve(ctx context.Context, from peer.Identity, st Stream, ask *wire.Ask) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.mu.Lock()
	e.activeStreams++
	e.mu.Unlock()
	j := &job{
		key: askKey{from.Instance, ask.RequestID, ask.Attempt}, ask: ask, entry: from.Instance, arrived: time.Now(),
		ready: make(chan struct{}), refused: make(chan wire.RefuseReason, 1),
	}
	starts := make(chan []byte, 1)
	go receive(st, starts, cancel)
	e.attempt(ctx, st, j, starts)
	awaitClose(ctx)
	e.streamEnded()
}

// attempt queues and runs one ask.
func (e *Executor) attempt(ctx context.Context, st Stream, j *job, starts <-chan []byte) {
	if reason := e.enqueue(j); reason != 0 {
		refuse(st, j.ask, reason)
		return
	}
	defer e.release(j)
	body, reason := e.waitForSlot(ctx, st, j, starts)
	if reason != 0 {
		refuse(st, j.ask, reason)
		return
	}
	e.mu.Lock()
	j.started = true
	e.mu.Unlock()
	e.run(ctx, st, j, body)
}

// awaitClose waits until the entry closes the stream, which it does after it has read the last message. Otherwise the exit
// of a draining process could lose that message.
func awaitClose(ctx context.Context) {
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// streamEnded counts an ended stream and completes a drain with the last one.
func (e *Executor) streamEnded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeStreams--
	if e.activeStreams == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
}

// receive passes on the body of a Start, or cancels the attempt. It returns when the stream ends or after a Cancel.
func receive(st Stream, starts chan<- []byte, cancel context.CancelCauseFunc) {
	defer cancel(nil)
	for {
		m, err := st.Recv()
		if err != nil {
			return
		}
		if c, ok := m.(*wire.Cancel); ok && !c.ByRouter {
			cancel(errCancelledByCaller)
		}
		start, ok := m.(*wire.Start)
		if !ok {
			return
		}
		select {
		case starts <- start.Body:
		default:
		}
	}
}

// waitForSlot waits until the attempt may start and returns its body, or the reason for a refusal.
func (e *Executor) waitForSlot(ctx context.Context, st Stream, j *job, starts <-chan []byte) ([]byte, wire.RefuseReason) {
	deadline := time.NewTimer(time.Duration(j.ask.RemainingMs) * time.Millisecond)
	defer deadline.Stop()
	select {
	case <-j.ready:
	case reason := <-j.refused:
		return nil, reason
	case <-ctx.Done():
		return nil, wire.RefuseCancelled
	case <-deadline.C:
		return nil, wire.RefuseDeadline
	}
	if j.ask.Committed {
		return j.ask.Body, 0
	}
	if err := st.Send(&wire.Grant{RequestID: j.ask.RequestID, Attempt: j.ask.Attempt}); err != nil {
		return nil, wire.RefuseCancelled
	}
	deadline.Reset(grantTimeout)
	select {
	case body := <-starts:
		return body, 0
	case <-ctx.Done():
		return nil, wire.RefuseCancelled
	case <-deadline.C:
		return nil, wire.RefuseSaturated
	}
}

// enqueue queues the job or returns the reason for a refusal.
func (e *Executor) enqueue(j *job) wire.RefuseReason {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.checkAsk(j.ask); reason != 0 {
		return reason
	}
	if e.asks[j.key] {
		return wire.RefuseInvalid
	}
	if e.queued >= max(minQueueLimit, maxQueuedPerSlot*e.opts.Slots) && !e.shedFor(j) {
		return wire.RefuseSaturated
	}
	e.lastID++
	j.id = e.lastID
	e.jobs[j.id] = j
	e.asks[j.key] = true
	e.queued++
	e.sched.Enqueue(j.arrived, j.item())
	e.dispatch(j.arrived)
	if j.ask.Committed && !j.granted && e.jobs[j.id] == j {
		// The entry sent a committed ask to this sidecar only; a refusal lets it ask others that may have a free slot.
		e.sched.Remove(j.id)
		e.forget(j)
		e.queued--
		return wire.RefuseSaturated
	}
	return 0
}

// checkAsk returns the reason to refuse an ask, or 0.
func (e *Executor) checkAsk(ask *wire.Ask) wire.RefuseReason {
	switch {
	case e.draining:
		return wire.RefuseDraining
	case !e.healthy:
		return wire.RefuseUnhealthy
	case ask.Kind != e.opts.Kind:
		return wire.RefuseInvalid
	case ask.RemainingMs == 0:
		return wire.RefuseDeadline
	case ask.Model != "" && !e.serves(ask.Model):
		return wire.RefuseModel
	default:
		return 0
	}
}

func (e *Executor) serves(model string) bool {
	return len(e.models) == 0 || slices.Contains(e.models, model)
}

// AddModel records that the engine has loaded a model.
func (e *Executor) AddModel(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.models, model) {
		e.models = append(slices.Clone(e.models), model)
		e.dispatch(time.Now())
	}
}

// shedFor frees a place in a full queue for j: among the unprotected asks of lower tiers than j's, it refuses the newest
// one of the lowest tier. It returns false if there is none.
func (e *Executor) shedFor(j *job) bool {
	var victim *job
	for _, other := range e.jobs {
		if other.granted || other.ask.Policy.Protected || other.ask.Policy.Priority <= j.ask.Policy.Priority {
			continue
		}
		if victim == nil || other.ask.Policy.Priority > victim.ask.Policy.Priority ||
			other.ask.Policy.Priority == victim.ask.Policy.Priority && other.arrived.After(victim.arrived) {
			victim = other
		}
	}
	if victim == nil {
		return false
	}
	e.refuseJob(victim, wire.RefuseSaturated)
	return true
}

// refuseJob removes a queued job; the job's own goroutine sends the refusal.
func (e *Executor) refuseJob(j *job, reason wire.RefuseReason) {
	e.sched.Remove(j.id)
	e.forget(j)
	e.queued--
	j.refused <- reason
}

// release removes a job that has ended and gives its slot to the next one.
func (e *Executor) release(j *job) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[j.id] != j {
		return
	}
	e.forget(j)
	switch {
	case !j.granted:
		e.queued--
	case j.paused:
		e.paused--
	default:
		e.running--
	}
	if j.started {
		e.sched.OnDone(j.id, now)
	} else {
		e.sched.Remove(j.id)
	}
	e.dispatch(now)
}

func (e *Executor) forget(j *job) {
	delete(e.jobs, j.id)
	delete(e.asks, j.key)
}

// Load reports slots, queue and health.
func (e *Executor) Load() *wire.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokensPerSecond := 0.0
	if _, interval := e.sched.Timing(); interval > 0 {
		tokensPerSecond = float64(time.Second) / float64(interval)
	}
	return &wire.Load{
		Slots: e.opts.Slots, Running: e.running, Paused: e.paused, Queued: e.queued, TokensPerSecond: tokensPerSecond,
		Models: e.models, Draining: e.draining, Healthy: e.healthy,
	}
}

// SetHealthy records whether the upstream is healthy. When it becomes unhealthy, the queued asks are refused, so that the
// entries ask other sidecars.
func (e *Executor) SetHealthy(healthy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.healthy == healthy {
		return
	}
	e.healthy = healthy
	if e.opts.OnHealth != nil {
		e.opts.OnHealth(healthy)
	}
	if !healthy {
		e.refuseQueued(wire.RefuseUnhealthy)
	}
	e.dispatch(time.Now())
}

func (e *Executor) refuseQueued(reason wire.RefuseReason) {
	for _, j := range e.jobs {
		if !j.granted {
			e.refuseJob(j, reason)
		}
	}
}

// Drain refuses queued and new asks, and waits until every stream has ended or ctx ends.
func (e *Executor) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.refuseQueued(wire.RefuseDraining)
	e.dispatch(time.Now())
	if e.activeStreams == 0 {
		e.mu.Unlock()
		return nil
	}
	idle := make(chan struct{})
	e.idle = idle
	e.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func refuse(st Stream, ask *wire.Ask, reason wire.RefuseReason) {
	r := &wire.Refuse{RequestID: ask.RequestID, Attempt: ask.Attempt, Reason: reason}
	if reason == wire.RefuseSaturated {
		r.RetryAfterMs = uint32(saturatedRetryAfter / time.Millisecond)
	}
	_ = st.Send(r) // if the stream is broken, the entry detects the end of the session
}
