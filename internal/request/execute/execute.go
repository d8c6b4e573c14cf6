// Package execute is the sidecar's side of an attempt: it queues asks, grants slots, runs requests at the upstream
// and streams the answers back. It is the only dispatcher to its upstream, so its statements about what ran are certain.
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
	// grantLife is how long a granted slot waits for its Start.
	grantLife = 500 * time.Millisecond
	// queuedPerSlot bounds the asks that wait for one slot.
	queuedPerSlot = 64
	minQueued     = 256
	lingerTime    = time.Second
	// saturatedRetry is the wait that a refusal for a full queue suggests.
	saturatedRetry = 100 * time.Millisecond
)

// Stream is the request stream to the entry.
type Stream interface {
	Send(messages ...wire.Message) error
	Recv() (wire.Message, error)
}

// Cancellation tells who gave a started attempt up. It decides who is charged for the wasted tokens.
type Cancellation uint8

// Cancellations.
const (
	NotCancelled Cancellation = iota
	// CancelledByCaller means that the entry said so.
	CancelledByCaller
	// CancelledByRouter means that a deadline passed, or that the entry or its session was lost.
	CancelledByRouter
)

// errCaller is the cause of a context that ended because the caller gave the request up.
var errCaller = errors.New("cancelled by the caller")

// Record is what an attempt used, for the usage record of the sidecar's side.
type Record struct {
	Entry string
	Ask   *wire.Ask
	Done  wire.Done
	// Cancelled tells who gave the attempt up before its end, if anybody did.
	Cancelled Cancellation
}

// Options configure an Executor.
type Options struct {
	Client *upstream.Client
	Kind   wire.Kind
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Models are the models that the engine serves; empty admits all.
	Models []string
	// CanPause tells whether the engine can pause and resume streams.
	CanPause bool
	// OnChange is called after each change of the load, under the executor's lock; it must not block or call back.
	OnChange func()
	// OnHealth is called when the upstream begins or ceases to answer, under the executor's lock; it must not block or call
	// back.
	OnHealth func(healthy bool)
	// OnError receives failed pause and resume calls; it must not block.
	OnError func(error)
	// OnRecord receives each started attempt when it has ended; it must not block.
	OnRecord func(Record)
}

// Executor owns the slots and the queue of one upstream. It is safe for concurrent use.
type Executor struct {
	opts Options

	mu       sync.Mutex
	sched    *schedule.Scheduler
	jobs     map[uint64]*job
	asks     map[askKey]bool
	lastID   uint64
	wake     *time.Timer
	serving  int
	queued   int
	running  int
	paused   int
	draining bool
	healthy  bool
	models   []string
	idle     chan struct{}
}

// askKey identifies an ask among those of all entries.
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
	// control serializes the pause and resume calls of a running stream.
	control sync.Mutex
	// ready is closed when the job has a slot; refused carries the reason of a later refusal.
	ready   chan struct{}
	refused chan wire.RefuseReason
}

// New returns an Executor that regards its upstream as healthy.
func New(opts Options) *Executor {
	e := &Executor{
		opts: opts, sched: schedule.New(schedule.Config{Slots: opts.Slots, CanPause: opts.CanPause}),
		jobs: map[uint64]*job{}, asks: map[askKey]bool{}, healthy: true, models: opts.Models,
	}
	e.wake = time.AfterFunc(time.Hour, e.onWake)
	e.wake.Stop()
	return e
}

// Serve handles one ask; it returns when the attempt has ended. The context ends with the session.
func (e *Executor) Serve(ctx context.Context, from peer.Identity, st Stream, ask *wire.Ask) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.mu.Lock()
	e.serving++
	e.mu.Unlock()
	j := &job{
		key: askKey{from.Instance, ask.RequestID, ask.Attempt}, ask: ask, entry: from.Instance, arrived: time.Now(),
		ready: make(chan struct{}), refused: make(chan wire.RefuseReason, 1),
	}
	starts := make(chan []byte, 1)
	go receive(st, starts, cancel)
	e.attempt(ctx, st, j, starts)
	linger(ctx)
	e.served()
}

// attempt queues and runs one ask.
func (e *Executor) attempt(ctx context.Context, st Stream, j *job, starts <-chan []byte) {
	if reason := e.admit(j); reason != 0 {
		refuse(st, j.ask, reason)
		return
	}
	defer e.leave(j)
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

// linger waits until the entry closes the stream, which it does once it has read the last message. Without it, the end
// of a draining process could drop that message.
func linger(ctx context.Context) {
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// served ends the stream's part in a drain.
func (e *Executor) served() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serving--
	if e.serving == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
}

// receive turns the entry's messages into a body or a cancellation. It ends when the stream does.
func receive(st Stream, starts chan<- []byte, cancel context.CancelCauseFunc) {
	defer cancel(nil)
	for {
		m, err := st.Recv()
		if err != nil {
			return
		}
		if c, ok := m.(*wire.Cancel); ok && !c.Router {
			cancel(errCaller)
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

// waitForSlot waits until the attempt may start and returns its body, or the reason why it will not run.
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
	deadline.Reset(grantLife)
	select {
	case body := <-starts:
		return body, 0
	case <-ctx.Done():
		return nil, wire.RefuseCancelled
	case <-deadline.C:
		return nil, wire.RefuseSaturated
	}
}

// admit queues the job or returns the reason against it.
func (e *Executor) admit(j *job) wire.RefuseReason {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.reject(j.ask); reason != 0 {
		return reason
	}
	if e.asks[j.key] {
		return wire.RefuseInvalid
	}
	if e.queued >= max(minQueued, queuedPerSlot*e.opts.Slots) && !e.displace(j) {
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
		// A committed ask has no second sidecar to wait at, so it does not wait here either.
		e.sched.Remove(j.id)
		e.forget(j)
		e.queued--
		return wire.RefuseSaturated
	}
	return 0
}

func (e *Executor) reject(ask *wire.Ask) wire.RefuseReason {
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

// displace makes room in a full queue by refusing the newest unprotected ask of a lower tier than j's.
func (e *Executor) displace(j *job) bool {
	var victim *job
	for _, o := range e.jobs {
		if o.granted || o.ask.Policy.Protected || o.ask.Policy.Priority <= j.ask.Policy.Priority {
			continue
		}
		if victim == nil || o.ask.Policy.Priority > victim.ask.Policy.Priority ||
			o.ask.Policy.Priority == victim.ask.Policy.Priority && o.arrived.After(victim.arrived) {
			victim = o
		}
	}
	if victim == nil {
		return false
	}
	e.withdraw(victim, wire.RefuseSaturated)
	return true
}

// withdraw refuses a queued job; its own goroutine sends the refusal.
func (e *Executor) withdraw(j *job, reason wire.RefuseReason) {
	e.sched.Remove(j.id)
	e.forget(j)
	e.queued--
	j.refused <- reason
}

// leave takes a job out of the books and hands its slot on.
func (e *Executor) leave(j *job) {
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
	pace := 0.0
	if _, interval := e.sched.Timing(); interval > 0 {
		pace = float64(time.Second) / float64(interval)
	}
	return &wire.Load{
		Slots: e.opts.Slots, Running: e.running, Paused: e.paused, Queued: e.queued, TokensPerSecond: pace,
		Models: e.models, Draining: e.draining, Healthy: e.healthy,
	}
}

// SetHealthy records whether the upstream answers. An unhealthy one refuses what is queued, so that it is asked elsewhere.
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
			e.withdraw(j, reason)
		}
	}
}

// Drain refuses queued and new asks, and waits until every stream has ended or ctx ends.
func (e *Executor) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.refuseQueued(wire.RefuseDraining)
	e.dispatch(time.Now())
	if e.serving == 0 {
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
		r.RetryAfterMs = uint32(saturatedRetry / time.Millisecond)
	}
	_ = st.Send(r) // a broken stream needs no refusal: the entry sees the session's end
}
