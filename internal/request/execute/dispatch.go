package execute

import (
	"context"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/schedule"
)

// item returns the scheduler's description of the job.
func (j *job) item() schedule.Item {
	return schedule.Item{
		ID: j.id, Class: j.ask.Class, Policy: schedule.FromWire(&j.ask.Policy),
		Arrived:      j.arrived.Add(-time.Duration(j.ask.WaitedMs) * time.Millisecond),
		Deadline:     j.arrived.Add(time.Duration(j.ask.RemainingMs) * time.Millisecond),
		PromptTokens: int(j.ask.PromptTokens), MaxTokens: int(j.ask.MaxTokens),
	}
}

// dispatch carries out the scheduler's decisions until there are none. The caller must hold e.mu.
func (e *Executor) dispatch(now time.Time) {
	e.wakeTimer.Stop()
	for e.step(now) {
	}
	if e.opts.OnChange != nil {
		e.opts.OnChange()
	}
}

// step carries out one decision and reports whether there was one.
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
		go e.syncPaused(j)
	case schedule.ActionPause:
		j.paused = true
		e.running--
		e.paused++
		go e.syncPaused(j)
	case schedule.ActionRefuse:
		e.refuseJob(j, wire.RefuseDeadline)
	default:
		if !d.Wake.IsZero() {
			e.wakeTimer.Reset(max(0, d.Wake.Sub(now)))
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

// syncPaused pauses or resumes a stream at the engine according to the scheduler's last decision. If the call fails, the
// engine runs one stream more or fewer than the scheduler assumes until the stream ends.
func (e *Executor) syncPaused(j *job) {
	j.controlMu.Lock()
	defer j.controlMu.Unlock()
	e.mu.Lock()
	paused, active := j.paused, e.jobs[j.id] == j
	e.mu.Unlock()
	if !active {
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

// onTokens reports generated tokens to the scheduler.
func (e *Executor) onTokens(j *job, n int) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.OnTokens(j.id, n, now)
	if e.queued > 0 || e.paused > 0 {
		e.dispatch(now)
	}
}
