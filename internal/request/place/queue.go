package place

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Minimum intervals of work on the queues.
const (
	// minServeInterval is the minimum interval between two scans of all queues.
	minServeInterval = 10 * time.Millisecond
	// minReassignInterval is the minimum interval between two reassignments of waiting jobs. A first event takes at least
	// this long, so that little new is known sooner.
	minReassignInterval = 50 * time.Millisecond
)

// Waiter is a job that waits for capacity at a replica, or has got it.
type Waiter struct {
	job     *Job
	profile Profile
	choice  Choice
	// Granted receives the choice once. From then on the job counts as load, until Ended.
	Granted chan Choice
	// QueueDeadline is when the queue timeout ends the wait for capacity: a job that starts later would have its first
	// event long after its target.
	QueueDeadline time.Time
	waiting       bool
	// counted is set while the job is counted against the limit of its choice and not granted.
	counted bool
}

// Unplaced reports whether the job waits for no replica in particular: those that could serve it have reached their limits.
func (w *Waiter) Unplaced() bool { return w.choice.Replica == nil }

// queues holds the waiting jobs of each replica.
type queues struct {
	mu    sync.Mutex
	byKey map[Key][]*Waiter
	// unplaced are the jobs that wait until the limit of a replica allows another request.
	unplaced       []*Waiter
	lastServed     time.Time
	lastReassigned time.Time
}

func newQueues() queues { return queues{byKey: map[Key][]*Waiter{}} }

// keys returns the replicas that have a queue, in a fixed order, so that the same load gives the same decisions.
func (q *queues) keys() []Key { return slices.Sorted(maps.Keys(q.byKey)) }

// Enqueue requests a replica for the job. The choice is in Granted at once when the replica has capacity. This handles
// bursts of long prompts: an engine works on everything that it has at the same time, while a job that waits here can
// still be reordered or sent to another replica. The result is false when the service has no untried replica.
func (p *Placer) Enqueue(job *Job, now time.Time) (*Waiter, bool) {
	profile := Profile{}
	if len(job.Parts) > 0 {
		profile = p.sizes.Record(job, now)
	}
	w := &Waiter{
		job: job, profile: profile, Granted: make(chan Choice, 1),
		QueueDeadline: job.Arrived.Add(time.Duration(p.set.QueueTimeoutTargets * float64(job.Target))),
	}
	placed := p.choose(w, now)
	if !placed && !p.heldBack(job, now) {
		return nil, false
	}
	p.queues.mu.Lock()
	defer p.queues.mu.Unlock()
	if !placed {
		if now.Add(p.pauseWait(job, now)).After(w.QueueDeadline) {
			w.QueueDeadline = now
		}
		w.waiting = true
		p.queues.unplaced = append(p.queues.unplaced, w)
		return w, true
	}
	switch {
	case !p.limited(w) || p.mayStart(w, now):
		p.grant(w, now)
	case p.exceedsQueueTimeout(w, now):
		w.QueueDeadline = now
		p.returnCount(w)
	default:
		p.startWaiting(w)
	}
	return w, true
}

// choose sets the waiter's choice and counts it against the replica's limit.
func (p *Placer) choose(w *Waiter, now time.Time) bool {
	for {
		choice, ok := p.pick(w.job, w.profile, now)
		if !ok {
			return false
		}
		if p.Limits.Take(choice.Key, now) {
			w.choice, w.counted = choice, true
			return true
		}
	}
}

// heldBack reports whether the limit or the pause of a replica that the job was not sent to keeps the job from it.
func (p *Placer) heldBack(job *Job, now time.Time) bool {
	l := (*p.layout.Load())[job.Service]
	return p.Limits.Active()+p.Pauses.Active() > 0 && l != nil && slices.ContainsFunc(l.all, func(m member) bool {
		return !slices.Contains(job.Excluded, m.ID) && (p.Limits.isLimited(m.key) || p.Pauses.Wait(m, now) > 0)
	})
}

// returnCount takes back that the waiter was counted against the limit of its choice.
func (p *Placer) returnCount(w *Waiter) {
	if w.counted {
		w.counted = false
		p.Limits.Return(w.choice.Key)
	}
}

// ForcePlace places a job whose queue timeout has passed, without a backlog limit, and reports whether it did. Only
// urgent jobs are placed: they would otherwise be refused while larger and less urgent ones start elsewhere. This handles
// affinity replicas that are blocked by a few very long prompts.
func (p *Placer) ForcePlace(w *Waiter, now time.Time) bool {
	if !w.urgent() {
		return false
	}
	l := (*p.layout.Load())[w.job.Service]
	if l == nil {
		return false
	}
	p.queues.mu.Lock()
	defer p.queues.mu.Unlock()
	if w.waiting || len(w.Granted) > 0 {
		return len(w.Granted) > 0
	}
	choice, ok := p.pickLeastLoaded(w.job, l.long, l.borrowable, ReasonForced, now)
	if !ok {
		return false
	}
	if !p.Limits.Take(choice.Key, now) {
		return false
	}
	choice.Reason = ReasonForced // pickLeastLoaded reports ReasonOverflow for its second pool
	w.choice = choice
	p.grant(w, now)
	return true
}

// exceedsQueueTimeout reports whether the job cannot start before its queue timeout because of the work ahead of it, so
// that it is better refused at once.
func (p *Placer) exceedsQueueTimeout(w *Waiter, now time.Time) bool {
	load := p.Loads.Total(w.choice.Key, now)
	ahead := load.Waiting
	if w.urgent() {
		ahead = load.Urgent
	}
	wait := time.Duration(p.set.AdmissionBacklogShare * float64(p.prefillDuration(w.choice.Key, ahead, now)))
	return now.Add(wait).After(w.QueueDeadline)
}

// Dequeue removes a waiter that may still wait. If its choice was already granted, the caller must call Ended.
func (p *Placer) Dequeue(w *Waiter) {
	p.queues.mu.Lock()
	defer p.queues.mu.Unlock()
	if !w.waiting {
		return
	}
	if i := slices.Index(p.queues.unplaced, w); i >= 0 {
		p.queues.unplaced = slices.Delete(p.queues.unplaced, i, i+1)
		w.waiting = false
		return
	}
	p.returnCount(w)
	queue := p.queues.byKey[w.choice.Key]
	if i := slices.Index(queue, w); i >= 0 {
		p.queues.byKey[w.choice.Key] = slices.Delete(queue, i, i+1)
	}
	p.stopWaiting(w)
}

// PendingChoice returns the choice that the job waits for, with the current load, for logs.
func (p *Placer) PendingChoice(w *Waiter, now time.Time) Choice {
	c := w.choice
	c.Load, c.ReportAge = p.Loads.Total(c.Key, now), p.Loads.ReportAge(now)
	return c
}

// RetryAfter returns when a job that was refused for lack of capacity should be sent again: after the time to prefill
// what is ahead now.
func (p *Placer) RetryAfter(w *Waiter, now time.Time) time.Duration {
	if w.Unplaced() {
		return p.limitWait(w.job, now)
	}
	ahead := p.Loads.Total(w.choice.Key, now)
	return p.prefillDuration(w.choice.Key, ahead.Prefill+ahead.Waiting, now)
}

// limitWait returns the time until the limit of a replica allows a request.
func (p *Placer) limitWait(job *Job, now time.Time) time.Duration {
	wait := maxLimitWait
	if l := (*p.layout.Load())[job.Service]; l != nil {
		for _, m := range l.all {
			wait = min(wait, p.Limits.Wait(m.key, now))
		}
	}
	return max(wait, minLimitWait)
}

// pauseWait returns the time until the first replica of the job's service ends its pause, or 0 if one of them does not pause.
func (p *Placer) pauseWait(job *Job, now time.Time) time.Duration {
	l := (*p.layout.Load())[job.Service]
	if p.Pauses.Active() == 0 || l == nil || len(l.all) == 0 {
		return 0
	}
	wait := MaxPause
	for _, m := range l.all {
		wait = min(wait, p.Pauses.Wait(m, now))
	}
	return wait
}

// ReturnAfterPause returns when the caller of a job that was refused because all replicas pause should come back, and false if they
// don't. Those who are refused in the same pause return one after the other, none of them before its end.
func (p *Placer) ReturnAfterPause(w *Waiter, now time.Time) (time.Duration, bool) {
	wait := p.pauseWait(w.job, now)
	if wait == 0 {
		return 0, false
	}
	return wait + p.Pauses.returnDelay(w.job.Service), true
}

// minLimitWait is the shortest time for which a caller is told to wait for a limited replica.
const minLimitWait = 50 * time.Millisecond

// limited reports whether the job is subject to the backlog limit. Short prompts are not, because the limit keeps
// capacity free for them; neither are retried ones.
func (p *Placer) limited(w *Waiter) bool {
	return len(w.job.Parts) > 0 && !w.profile.Short && !w.job.Retried && w.choice.Reason != ReasonLastResort
}

// mayStart reports whether the replica has capacity for the waiter, and the waiter precedes all that are queued there.
func (p *Placer) mayStart(w *Waiter, now time.Time) bool {
	if queue := p.queues.byKey[w.choice.Key]; len(queue) > 0 && !p.precedes(w, queue[p.first(queue, now)], now) {
		return false
	}
	return p.hasCapacity(w, now)
}

// first returns the index of the first waiter in queue order.
func (p *Placer) first(queue []*Waiter, now time.Time) int {
	index := 0
	for i := 1; i < len(queue); i++ {
		if p.precedes(queue[i], queue[index], now) {
			index = i
		}
	}
	return index
}

// hasCapacity reports whether the replica's backlog is within the waiter's limit. Urgent prompts that wait at any entry
// go first.
func (p *Placer) hasCapacity(w *Waiter, now time.Time) bool {
	load := p.Loads.Total(w.choice.Key, now)
	if load.Urgent > 0 && !w.urgent() {
		return false
	}
	return p.prefillMs(w.choice.Key, load.Prefill, now) <= p.backlogLimit(w)
}

func (w *Waiter) urgent() bool { return w.profile.urgent(w.job) }

// backlogLimit is the work, in milliseconds, that may be ahead of the waiter's prompt at its replica. The limit of the other
// prompts bounds the work that an urgent one finds ahead of it.
func (p *Placer) backlogLimit(w *Waiter) float64 {
	share := p.set.BacklogShare
	if w.urgent() {
		share = p.set.UrgentBacklogShare
	}
	return share * milliseconds(w.profile.TightestTarget)
}

// precedes defines the queue order: lower priority number first; then jobs that can still meet their target; then the oldest.
func (p *Placer) precedes(a, b *Waiter, now time.Time) bool {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority < b.job.Priority
	}
	if inTimeA, inTimeB := p.inTime(a, now), p.inTime(b, now); inTimeA != inTimeB {
		return inTimeA
	}
	return a.job.Arrived.Before(b.job.Arrived)
}

// inTime reports whether the job's first event can arrive within its target if the job is sent now.
func (p *Placer) inTime(w *Waiter, now time.Time) bool {
	return now.Add(p.prefillDuration(w.choice.Key, w.choice.Prefill, now)).Before(w.job.Arrived.Add(w.job.Target))
}

func (p *Placer) startWaiting(w *Waiter) {
	w.waiting = true
	p.Loads.Add(w.choice.Key, w.queuedLoad(1))
	p.queues.byKey[w.choice.Key] = append(p.queues.byKey[w.choice.Key], w)
}

func (p *Placer) stopWaiting(w *Waiter) {
	w.waiting = false
	p.Loads.Add(w.choice.Key, w.queuedLoad(-1))
}

// queuedLoad is the load of a waiting job, times sign.
func (w *Waiter) queuedLoad(sign int) Load {
	l := Load{Waiting: sign * w.choice.Prefill}
	if w.urgent() {
		l.Urgent = l.Waiting
	}
	return l
}

// grant counts the job at its replica. The tokens to prefill and their source are computed again, because an earlier job
// with the same parts may have been sent while this one waited.
func (p *Placer) grant(w *Waiter, now time.Time) {
	if len(w.job.Parts) > 0 {
		w.choice.Own = w.job.Parts[len(w.job.Parts)-1].Tokens
		w.choice.Source, w.choice.Prefill = nil, p.kept.missingTokens(w.choice.Key, w.job.Parts, now)
		p.prefillCost(&w.choice, w.job, now)
	}
	w.choice.Load, w.choice.ReportAge = p.Loads.Total(w.choice.Key, now), p.Loads.ReportAge(now)
	w.choice.Granted = now
	p.kept.recordSent(w.choice.Key, w.job.Parts, now)
	w.choice.Short = w.profile.Short
	w.counted = false
	p.Loads.Add(w.choice.Key, w.choice.runningLoad(1).plus(Load{Prefill: w.choice.Prefill}))
	w.Granted <- w.choice
}

// serveQueue grants the waiting jobs for which the replica has capacity.
func (p *Placer) serveQueue(replica Key, now time.Time) {
	p.queues.mu.Lock()
	defer p.queues.mu.Unlock()
	p.serveQueueLocked(replica, now)
}

// serveAllQueues serves the queues of all replicas, after reports of other entries.
func (p *Placer) serveAllQueues(now time.Time) {
	p.queues.mu.Lock()
	defer p.queues.mu.Unlock()
	if now.Sub(p.queues.lastServed) < minServeInterval {
		return
	}
	p.queues.lastServed = now
	for _, replica := range p.queues.keys() {
		p.serveQueueLocked(replica, now)
	}
	p.placeWaiters(now)
	p.reassignWaiters(now)
}

// placeWaiters places jobs that wait for the limit of a replica, in queue order.
func (p *Placer) placeWaiters(now time.Time) {
	waiting := p.queues.unplaced
	slices.SortStableFunc(waiting, func(a, b *Waiter) int {
		switch {
		case p.precedes(a, b, now):
			return -1
		case p.precedes(b, a, now):
			return 1
		default:
			return 0
		}
	})
	p.queues.unplaced = slices.DeleteFunc(waiting, func(w *Waiter) bool {
		if !p.choose(w, now) {
			return false
		}
		w.waiting = false
		if !p.limited(w) || p.mayStart(w, now) {
			p.grant(w, now)
		} else {
			p.startWaiting(w)
		}
		return true
	})
}

// reassignWaiters reassigns waiting jobs to replicas that have become a better choice. This handles replicas that stop
// responding or slow down while jobs wait for them.
func (p *Placer) reassignWaiters(now time.Time) {
	if now.Sub(p.queues.lastReassigned) < minReassignInterval {
		return
	}
	p.queues.lastReassigned = now
	for _, replica := range p.queues.keys() {
		for _, w := range slices.Clone(p.queues.byKey[replica]) {
			p.reassign(w, now)
		}
	}
}

// reassign makes a new choice for the waiter. Its own tokens don't count against the replica where it waits.
func (p *Placer) reassign(w *Waiter, now time.Time) {
	old := w.choice
	p.Loads.Add(old.Key, w.queuedLoad(-1))
	choice, ok := p.pick(w.job, w.profile, now)
	p.Loads.Add(old.Key, w.queuedLoad(1))
	if !ok || choice.Key == old.Key || !p.Limits.Take(choice.Key, now) {
		return
	}
	p.returnCount(w)
	queue := p.queues.byKey[old.Key]
	if i := slices.Index(queue, w); i >= 0 {
		p.queues.byKey[old.Key] = slices.Delete(queue, i, i+1)
	}
	p.stopWaiting(w)
	w.choice, w.counted = choice, true
	if p.mayStart(w, now) {
		p.grant(w, now)
		return
	}
	p.startWaiting(w)
}

// pauses reports whether the replica pauses; jobs that wait for it go elsewhere or are refused at their queue timeout.
func (p *Placer) pauses(replica Key, now time.Time) bool {
	if p.Pauses.Active() == 0 {
		return false
	}
	for _, l := range *p.layout.Load() {
		if m, ok := l.byKey[replica]; ok {
			return p.Pauses.Wait(m, now) > 0
		}
	}
	return false
}

func (p *Placer) serveQueueLocked(replica Key, now time.Time) {
	queue := p.queues.byKey[replica]
	for len(queue) > 0 && !p.pauses(replica, now) {
		next := p.first(queue, now)
		w := queue[next]
		if !p.hasCapacity(w, now) {
			break
		}
		queue = slices.Delete(queue, next, next+1)
		p.stopWaiting(w)
		p.grant(w, now)
	}
	if len(queue) == 0 {
		delete(p.queues.byKey, replica)
		return
	}
	p.queues.byKey[replica] = queue
}
