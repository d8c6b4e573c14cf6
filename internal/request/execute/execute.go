// Package execute is the sidecar's side of an attempt: it queues asks, grants slots, runs requests at the upstream
// and streams the answers back. It is the only dispatcher to its upstream, so its statements about what ran are certain.
package execute

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/upstream"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

const (
	// grantLife is how long a granted slot waits for its Start.
	grantLife = 500 * time.Millisecond
	// queuedPerSlot bounds the asks that wait for one slot.
	queuedPerSlot = 64
	minQueued     = 256
	// saturatedRetry is the wait that a refusal for a full queue suggests.
	saturatedRetry = 100 * time.Millisecond
)

// Stream is the request stream to the entry.
type Stream interface {
	Send(messages ...wire.Message) error
	Recv() (wire.Message, error)
}

// Record is what an attempt used, for the usage record of the sidecar's side.
type Record struct {
	Entry string
	Ask   *wire.Ask
	Done  wire.Done
	// Cancelled tells that the entry withdrew the attempt.
	Cancelled bool
}

// Options configure an Executor.
type Options struct {
	Client *upstream.Client
	Kind   wire.Kind
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Models are the models that the engine serves; empty admits all.
	Models []string
	// Scheduler decides which ask gets a free slot.
	Scheduler Scheduler
	// CanPause tells whether the engine can pause and resume streams.
	CanPause bool
	// OnChange is called after each change of the load; it must not block.
	OnChange func()
	// OnRecord receives each started attempt when it has ended; it must not block.
	OnRecord func(Record)
}

// Executor owns the slots and the queue of one upstream. It is safe for concurrent use.
type Executor struct {
	opts Options

	mu       sync.Mutex
	jobs     map[string]*job
	queued   int
	running  int
	paused   int
	draining bool
	healthy  bool
	models   []string
	pace     float64
	idle     chan struct{}
}

// job is one ask from its arrival to its end.
type job struct {
	id      string
	ask     *wire.Ask
	entry   string
	arrived time.Time
	granted bool
	// ready is closed when the job has a slot; refused carries the reason of a later refusal.
	ready   chan struct{}
	refused chan wire.RefuseReason
}

// New returns an Executor that regards its upstream as healthy.
func New(opts Options) *Executor {
	return &Executor{opts: opts, jobs: map[string]*job{}, healthy: true, models: opts.Models}
}

// Serve handles one ask; it returns when the attempt has ended. The context ends with the session.
func (e *Executor) Serve(ctx context.Context, from peer.Identity, st Stream, ask *wire.Ask) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j := &job{
		id: jobID(from.Instance, ask), ask: ask, entry: from.Instance, arrived: time.Now(),
		ready: make(chan struct{}), refused: make(chan wire.RefuseReason, 1),
	}
	if reason := e.admit(j); reason != 0 {
		refuse(st, ask, reason)
		return
	}
	starts := make(chan []byte, 1)
	go receive(st, starts, cancel)
	body, reason := e.waitForSlot(ctx, st, j, starts)
	if reason != 0 {
		e.leave(j)
		refuse(st, ask, reason)
		return
	}
	defer e.leave(j)
	e.run(ctx, st, j, body)
}

// receive turns the entry's messages into a body or a cancellation. It ends when the stream does.
func receive(st Stream, starts chan<- []byte, cancel func()) {
	defer cancel()
	for {
		m, err := st.Recv()
		if err != nil {
			return
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
	if e.jobs[j.id] != nil {
		return wire.RefuseInvalid
	}
	if e.queued >= max(minQueued, queuedPerSlot*e.opts.Slots) && !e.displace(j) {
		return wire.RefuseSaturated
	}
	e.jobs[j.id] = j
	e.queued++
	e.opts.Scheduler.Enqueue(j.arrived, itemOf(j))
	e.dispatch(j.arrived)
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
	for _, m := range e.models {
		if m == model {
			return true
		}
	}
	return len(e.models) == 0
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
	e.opts.Scheduler.Remove(j.id)
	delete(e.jobs, j.id)
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
	delete(e.jobs, j.id)
	if j.granted {
		e.running--
		e.opts.Scheduler.OnDone(j.id, now)
	} else {
		e.queued--
		e.opts.Scheduler.Remove(j.id)
	}
	e.dispatch(now)
	if e.draining && len(e.jobs) == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
}

// dispatch hands free slots to queued jobs.
func (e *Executor) dispatch(now time.Time) {
	for e.running < e.opts.Slots && e.queued > 0 {
		id, ok := e.opts.Scheduler.Next(now)
		if !ok {
			break
		}
		j := e.jobs[id]
		j.granted = true
		e.queued--
		e.running++
		close(j.ready)
	}
	if e.opts.OnChange != nil {
		e.opts.OnChange()
	}
}

// Load reports slots, queue and health.
func (e *Executor) Load() *wire.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wire.Load{
		Slots: e.opts.Slots, Running: e.running, Paused: e.paused, Queued: e.queued, TokensPerSecond: e.pace,
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

// Drain refuses queued and new asks, and waits until everything granted has ended or ctx ends.
func (e *Executor) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.refuseQueued(wire.RefuseDraining)
	e.dispatch(time.Now())
	if len(e.jobs) == 0 {
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
