// Package schedule implements the class scheduler of a sidecar. It decides which queued ask gets a free slot of the
// upstream and which running stream is paused to free one.
//
// The rules apply in this order:
//  1. A queued item that cannot meet its deadline is refused.
//  2. Aging: an item that has waited for a large part of its MaxWait may run ahead of higher tiers, in a bounded share of
//     the slots.
//  3. Higher tiers run before lower ones (strict priority).
//  4. Within a tier, paused items are resumed first. Next come items close to their latency target, if their class has not
//     exceeded its share. All others are served by weighted deficit round robin over estimated tokens.
//
// While other work waits, long items (those that have already produced many tokens) use at most a bounded share of the
// slots.
//
// A Scheduler has no clock: the caller passes the time to every call that needs it.
package schedule

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// agingFraction is the part of MaxWait after which an item counts as aged. The rest leaves time for a slot to become
	// free.
	agingFraction = 0.5
	// agedQuantumTokens is the number of tokens that an item started or resumed by aging produces before it can be paused.
	agedQuantumTokens = 64
	// urgentFraction is the part of the latency target after which a waiting item is urgent.
	urgentFraction = 0.5
	// creditWindow is the time after its last arrival during which a class without queued items still accumulates deficit.
	// A class whose asks are spread over many sidecars often has none queued at the one whose slot becomes free.
	creditWindow = 5 * time.Second
	// maxCreditRequests bounds the deficit accumulated that way, in requests of the class's mean length.
	maxCreditRequests = 6
	// idleExpiry is the idle time after which the queue of a class and its mean output length are removed. The check runs
	// when a new class arrives.
	idleExpiry = 10 * time.Minute
	// timingGain is the weight of a new sample in the moving averages of the upstream's timing.
	timingGain = 0.1
	// minOutputShare is the part of the expected decode time that must fit before the deadline.
	minOutputShare = 1
)

// Scheduler tracks the queued, running and paused items of one upstream. It is not safe for concurrent use.
type Scheduler struct {
	cfg         Config
	queues      []*classQueue
	byKey       map[queueKey]*classQueue
	jobs        map[uint64]*job
	running     []*job
	deadlines   deadlineHeap
	freeJobs    []*job
	concurrency *ConcurrencyLimiter
	paused      int
	queued      int
	longRunning int
	// rrIndex is the position in its tier of the queue that the round robin served last.
	rrIndex int
	// ttft (time from start to first token) and decodeInterval are moving averages; 0 means that there is no sample yet.
	ttft, decodeInterval time.Duration
}

// New returns an empty Scheduler.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	s := &Scheduler{cfg: cfg, byKey: map[queueKey]*classQueue{}, jobs: map[uint64]*job{}}
	if cfg.MaxSlots > 0 {
		s.concurrency = NewConcurrencyLimiter(cfg.Slots, cfg.MinSlots, cfg.MaxSlots)
	}
	return s
}

// Slots returns the current concurrency limit.
func (s *Scheduler) Slots() int {
	if s.concurrency != nil {
		return s.concurrency.Limit()
	}
	return s.cfg.Slots
}

// Stats returns the concurrency limit and the number of items by state.
func (s *Scheduler) Stats() Stats {
	return Stats{Slots: s.Slots(), Running: len(s.running), Paused: s.paused, Queued: s.queued}
}

// Timing returns moving averages of the time from a start to the first token and of the time between tokens of one stream;
// 0 means that there is no sample yet.
func (s *Scheduler) Timing() (ttft, decodeInterval time.Duration) { return s.ttft, s.decodeInterval }

// Enqueue queues an item. It ignores an item whose ID is already in use.
func (s *Scheduler) Enqueue(now time.Time, item Item) {
	if s.jobs[item.ID] != nil {
		return
	}
	if item.Arrived.IsZero() || item.Arrived.After(now) {
		item.Arrived = now
	}
	if item.Policy.MaxWait <= 0 {
		item.Policy.MaxWait = s.cfg.DefaultMaxWait
	}
	q := s.queueFor(now, &item)
	q.lastArrival = now
	j := s.newJob()
	*j = job{Item: item, queue: q, state: queued, heapIndex: -1}
	j.agingDeadline = agingDeadline(item.Arrived, item.Policy.MaxWait)
	s.jobs[item.ID] = j
	q.waiting.insert(j)
	s.queued++
	if !item.Deadline.IsZero() {
		need := s.ttft + time.Duration(minOutputShare*q.expectedTokens(&item)*float64(s.decodeInterval))
		j.latestStart = item.Deadline.Add(-need)
		heap.Push(&s.deadlines, j)
	}
}

// Remove removes an item in any state, for a cancelled ask or a grant that was not used. If the item has produced no
// output, its class gets the charged deficit back.
func (s *Scheduler) Remove(id uint64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	if j.tokens == 0 {
		j.queue.deficit += j.charged
	}
	if float64(j.tokens) > j.queue.meanTokens {
		// The truncated length is a lower bound of the output length. Ignoring it would underestimate the mean of a class
		// whose long outputs miss their deadlines.
		j.queue.recordLength(j.tokens)
	}
	s.removeJob(j)
}

// OnTokens records n output tokens of a running item.
func (s *Scheduler) OnTokens(id uint64, n int, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.state != running || n <= 0 {
		return
	}
	s.observeTiming(j, n, now)
	j.tokens += n
	j.lastTokenAt = now
	if over := float64(j.tokens) - j.charged; over > 0 {
		j.queue.deficit -= over
		j.charged += over
	}
	if !j.long && j.tokens >= s.cfg.LongTokens {
		j.long = true
		s.longRunning++
	}
}

// OnDone records the end of a started item, whatever its outcome, and frees its slot. It corrects the charged deficit
// to the tokens used.
func (s *Scheduler) OnDone(id uint64, _ time.Time) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	if j.tokens > 0 {
		j.queue.recordLength(j.tokens)
		used := float64(j.tokens) + float64(j.PromptTokens)*promptTokenCost
		j.queue.deficit += j.charged - used
	}
	s.removeJob(j)
}

// Next makes the next decision, records it and returns it. The caller must carry it out and call Next again until it
// returns ActionNone. This loop must run after every Enqueue, Remove and OnDone, and after OnTokens when items are queued
// or paused.
func (s *Scheduler) Next(now time.Time) Decision {
	if len(s.deadlines) > 0 && s.deadlines[0].latestStart.Before(now) {
		j := s.deadlines[0]
		id := j.ID
		s.removeJob(j)
		return Decision{Action: ActionRefuse, ID: id}
	}
	j, aged := s.pick(now)
	if j == nil {
		return Decision{Wake: s.nextWake(now)}
	}
	if len(s.running) < s.Slots() {
		return s.assignSlot(j, aged, now)
	}
	if v := s.victim(j, now); v != nil {
		s.pause(v, now)
		return Decision{Action: ActionPause, ID: v.ID}
	}
	return Decision{Wake: s.nextWake(now)}
}

func (s *Scheduler) queueFor(now time.Time, item *Item) *classQueue {
	key := queueKey{item.Class, item.Policy.Priority}
	q := s.byKey[key]
	if q == nil {
		s.removeIdleQueues(now)
		q = &classQueue{key: key, meanTokens: initialMeanTokens}
		s.byKey[key] = q
		at := len(s.queues)
		for at > 0 && s.queues[at-1].key.priority > key.priority {
			at--
		}
		s.queues = append(s.queues, nil)
		copy(s.queues[at+1:], s.queues[at:])
		s.queues[at] = q
	}
	if q.weight == 0 || item.Policy.Version > q.version {
		q.version, q.weight = item.Policy.Version, max(1, float64(item.Policy.Weight))
	}
	return q
}

// removeIdleQueues removes expired queues, as left behind by classes that were deleted or moved to another tier.
func (s *Scheduler) removeIdleQueues(now time.Time) {
	s.queues = slices.DeleteFunc(s.queues, func(q *classQueue) bool {
		expired := q.empty() && q.running == 0 && now.Sub(q.lastArrival) > idleExpiry
		if expired {
			delete(s.byKey, q.key)
		}
		return expired
	})
}

func (s *Scheduler) newJob() *job {
	if n := len(s.freeJobs); n > 0 {
		j := s.freeJobs[n-1]
		s.freeJobs = s.freeJobs[:n-1]
		return j
	}
	return new(job)
}

// removeJob removes a job in any state and frees its slot, if it has one.
func (s *Scheduler) removeJob(j *job) {
	switch j.state {
	case queued:
		j.queue.waiting.remove(j)
		s.queued--
	case paused:
		j.queue.paused.remove(j)
		s.paused--
	case running:
		s.releaseSlot(j)
	}
	s.removeDeadline(j)
	s.boundDeficit(j.queue)
	delete(s.jobs, j.ID)
	s.freeJobs = append(s.freeJobs, j)
}

func (s *Scheduler) removeDeadline(j *job) {
	if j.heapIndex >= 0 {
		heap.Remove(&s.deadlines, j.heapIndex)
	}
}

// boundDeficit caps the deficit of a queue without waiting jobs, and clears a negative one when no job runs either.
func (s *Scheduler) boundDeficit(q *classQueue) {
	if !q.empty() {
		return
	}
	q.deficit = min(q.deficit, maxCreditRequests*q.meanTokens)
	if q.running == 0 && q.deficit < 0 {
		q.deficit = 0
	}
}

func (s *Scheduler) releaseSlot(j *job) {
	for i, r := range s.running {
		if r == j {
			last := len(s.running) - 1
			s.running[i] = s.running[last]
			s.running[last] = nil
			s.running = s.running[:last]
			break
		}
	}
	j.queue.running--
	if j.long {
		s.longRunning--
	}
}

func (s *Scheduler) assignSlot(j *job, aged bool, now time.Time) Decision {
	action := ActionStart
	if j.state == paused {
		action = ActionResume
		j.queue.paused.remove(j)
		s.paused--
	} else {
		j.queue.waiting.remove(j)
		s.queued--
		s.removeDeadline(j)
		j.started = now
		j.charged = j.queue.cost(&j.Item)
		j.queue.deficit -= j.charged
	}
	j.state, j.lastTokenAt, j.quantumEnd = running, now, 0
	if aged {
		j.quantumEnd = j.tokens + agedQuantumTokens
	}
	j.queue.running++
	s.running = append(s.running, j)
	if j.long {
		s.longRunning++
	}
	s.boundDeficit(j.queue)
	return Decision{Action: action, ID: j.ID}
}

func (s *Scheduler) pause(j *job, now time.Time) {
	s.releaseSlot(j)
	j.state, j.quantumEnd = paused, 0
	j.agingDeadline = agingDeadline(now, j.Policy.MaxWait)
	j.queue.paused.insert(j)
	s.paused++
}

// observeTiming updates the moving averages with n new tokens of a running job.
func (s *Scheduler) observeTiming(j *job, n int, now time.Time) {
	since := now.Sub(j.lastTokenAt)
	if j.tokens == 0 {
		s.ttft = movingAverage(s.ttft, now.Sub(j.started))
		return
	}
	interval := since / time.Duration(n)
	s.decodeInterval = movingAverage(s.decodeInterval, interval)
	if s.concurrency != nil {
		s.concurrency.Observe(now, n, interval, j.Policy.TokenTarget, len(s.running) >= s.Slots())
	}
}

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(timingGain*float64(sample-old))
}

func agingDeadline(from time.Time, maxWait time.Duration) time.Time {
	return from.Add(time.Duration(agingFraction * float64(maxWait)))
}
