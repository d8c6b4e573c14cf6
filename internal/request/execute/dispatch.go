package execute

import (
	"context"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/schedule"
)

// item is the job as the scheduler sees it.
func (j *job) item() schedule.Item {
	return schedule.Item{
		ID: j.id, Class: j.ask.Class, Policy: schedule.FromWire(&j.ask.Policy),
		Arrived:      j.arrived.Add(-time.Duration(j.ask.WaitedMs) * time.Millisecond),
		Deadline:     j.arrived.Add(time.Duration(j.ask.RemainingMs) * time.Millisecond),
		PromptTokens: int(j.ask.PromptTokens), MaxTokens: int(j.ask.MaxTokens),
	}
}

// dispatch carries out the scheduler's decisions until it has none. The caller holds the lock.
func (e *Executor) dispatch(now time.Time) {
	e.wake.Stop()
	for e.step(now) {
	}
	if e.opts.OnChange != nil {
		e.opts.OnChange()
	}
}

func (e *Executor) step(now time.Time) bool {
	d := e.sched.Next(now)
	j := e.jobs[d.ID]
	switch d.Action {
	case schedule.ActionStart:
		j.granted = true
		e.queued--
		e.running++
		close(j.ready)
	case schedule.ActionResume:
		j.paused = false
		e.paused--
		e.running++
		go e.applyPause(j)
	case schedule.ActionPause:
		j.paused = true
		e.running--
		e.paused++
		go e.applyPause(j)
	case schedule.ActionRefuse:
		e.withdraw(j, wire.RefuseDeadline)
	default:
		if !d.Wake.IsZero() {
			e.wake.Reset(max(0, d.Wake.Sub(now)))
		}
		return false
	}
	return true
}

func (e *Executor) onWake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatch(time.Now())
}

// applyPause brings the engine's state of a stream in line with the last decision. A failed call leaves the stream
// as it is: the engine has then one stream more or less than slots, which ends with the stream.
func (e *Executor) applyPause(j *job) {
	j.control.Lock()
	defer j.control.Unlock()
	e.mu.Lock()
	paused, known := j.paused, e.jobs[j.id] == j
	e.mu.Unlock()
	if !known {
		return
	}
	call := e.opts.Client.Resume
	if paused {
		call = e.opts.Client.Pause
	}
	if err := call(context.Background(), UpstreamID(j.ask)); err != nil && e.opts.OnError != nil {
		e.opts.OnError(err)
	}
}

// onTokens tells the scheduler about progress.
func (e *Executor) onTokens(j *job, n int) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.OnTokens(j.id, n, now)
	if e.queued > 0 || e.paused > 0 {
		e.dispatch(now)
	}
}
