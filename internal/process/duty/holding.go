package duty

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/lease"
)

// stepLease renews the lease, competes for it, or gives it up, and returns the time until the next step.
func (n *Node) stepLease(ctx context.Context) time.Duration {
	n.mu.Lock()
	holds, leaving, standBack, renewAt := n.holds, n.leaving, n.standBack, n.renewAt
	n.mu.Unlock()
	now := n.opts.Clock()
	n.mu.Lock()
	n.noteEra(n.opts.Store.Era(), now)
	n.mu.Unlock()
	switch {
	case holds && (leaving || standBack != ""):
		n.giveUp(ctx, standBack)
	case holds:
		if wait := renewAt.Sub(now); wait > 0 {
			return wait
		}
		return n.renew(ctx)
	case leaving:
	default:
		return n.compete(ctx, now)
	}
	if leaving {
		n.leftOnce.Do(func() { close(n.left) })
	}
	return idleWait
}

// renew renews the lease and returns the time until the next renewal.
func (n *Node) renew(ctx context.Context) time.Duration {
	err := n.lease.Renew(ctx)
	now := n.opts.Clock()
	fence, held := n.lease.Held(now)
	switch {
	case err == nil && held:
		n.announce(fence, false)
		n.setRenewal(now.Add(n.duration / renewalsPerLease))
		return n.duration / renewalsPerLease
	case errors.Is(err, lease.ErrRestored):
		n.lost("restored", now)
		return 0
	case errors.Is(err, lease.ErrLost):
		n.lost("replaced", now)
		return 0
	case !held:
		n.lost("expired", now)
		return 0
	default:
		n.setRenewal(now.Add(renewRetry))
		return renewRetry
	}
}

func (n *Node) setRenewal(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.renewAt = at
}

// lost records that this edge no longer holds the lease. It competes at once: if nobody has acquired the lease, it goes on.
func (n *Node) lost(reason string, now time.Time) {
	n.mu.Lock()
	fence := n.fence
	n.holds, n.standBack, n.holder = false, "", ""
	if reason == "replaced" {
		n.election.heard(now)
	} else {
		n.election.released(now)
	}
	n.mu.Unlock()
	n.opts.Metrics.DutyHolder(false, fence)
	n.opts.Log.Emit(eventlog.DutiesLost, eventlog.Fence(fence), eventlog.Reason(reason))
}

// compete tries to acquire the lease when it is this edge's turn.
func (n *Node) compete(ctx context.Context, now time.Time) time.Duration {
	rank := n.opts.Rank()
	n.mu.Lock()
	wait := n.election.wait(now, rank)
	n.mu.Unlock()
	if wait > 0 {
		return min(wait, idleWait) // the rank may change
	}
	n.chooseStart()
	fence, err := n.lease.Acquire(ctx)
	now = n.opts.Clock()
	n.mu.Lock()
	switch {
	case err == nil:
		n.holds, n.fence, n.since = true, fence, now
		n.holder, n.holderPosition = n.opts.Address, n.lease.Position()
		n.renewAt = now.Add(n.duration / renewalsPerLease)
	case errors.Is(err, lease.ErrHeld):
		n.election.heard(now)
	default:
		n.election.failed(now, rank)
	}
	n.mu.Unlock()
	if err != nil {
		if !errors.Is(err, lease.ErrHeld) {
			return resumeRetry
		}
		return idleWait
	}
	n.announce(fence, false)
	n.opts.Metrics.DutyHolder(true, fence)
	n.opts.Log.Emit(eventlog.DutiesAcquired, eventlog.Fence(fence))
	wakeUp(n.wakeReports)
	return n.duration / renewalsPerLease
}

// chooseStart sets the window that this edge begins with if there was no holder before. It is not set at the start of the process, when
// the time of day of this machine is the only one that it knows.
func (n *Node) chooseStart() {
	d := n.opts.Duties
	n.mu.Lock()
	held := n.fence != 0
	n.mu.Unlock()
	if !d.ReportUsage || held {
		return
	}
	// Other edges may have started before this one without becoming the holder. Windows whose report was not due yet when this edge
	// started are reported too.
	n.startWindow = n.opts.Counts.Window(n.started.Add(-d.ReportBound))
	n.lease.Attach(newReports(Holder{}, d.ReportBound, nil, n.startWindow, 0, &n.known).state())
}

// giveUp ends this edge's term. The lease is released only if no call may still arrive at the platform; otherwise it expires.
func (n *Node) giveUp(ctx context.Context, standBack string) {
	n.acting <- struct{}{} // no call is under way now, and none begins before holds is unset
	now := n.opts.Clock()
	settled := n.unknownAt.IsZero() || now.Sub(n.unknownAt) >= n.duration
	n.unreached = 0
	clear(n.edges)
	n.mu.Lock()
	fence := n.fence
	n.holds, n.standBack, n.holder = false, "", ""
	if standBack != "" {
		n.election.standBack(now)
	}
	n.mu.Unlock()
	if !settled {
		n.lease.Abandon()
	}
	<-n.acting
	reason := "stop"
	if standBack != "" {
		reason = standBack
	}
	if settled {
		releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		if err := n.lease.Release(releaseCtx); err == nil {
			n.announce(fence, true)
		}
	}
	n.opts.Metrics.DutyHolder(false, fence)
	n.opts.Log.Emit(eventlog.DutiesReleased, eventlog.Fence(fence), eventlog.Reason(reason), eventlog.Settled(settled))
}

func (n *Node) announce(fence uint64, released bool) {
	position := n.lease.Position()
	n.mu.Lock()
	n.hearing.heard(n.opts.Clock())
	n.mu.Unlock()
	n.opts.Announce(Announcement{Version: position.Revision, Era: position.Era, Fence: fence, Released: released})
}
