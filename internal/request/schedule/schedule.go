// Package schedule is the class scheduler of a sidecar: it decides which queued ask gets a free slot of the upstream
// and which running stream is paused for it.
//
// Rules, in this order: queued work that cannot meet its deadline is refused; work that has waited for a large part of
// its MaxWait may use a bounded share of the slots ahead of higher tiers; higher tiers come first; within a tier
// interrupted work is resumed first, then the work closest to its latency target of the classes that have not used more
// than their share, then weighted shares by deficit round robin over estimated tokens. Long work, known by the
// tokens it has produced, holds a bounded share of the slots while other work waits.
//
// A Scheduler has no clock: every call carries the time.
package schedule

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// floorPoint is the part of MaxWait after which the floor applies; the rest is left for a slot to become free.
	floorPoint = 0.5
	// floorQuantum is the number of tokens that work started by the floor produces before it can be paused.
	floorQuantum = 64
	// urgentPoint is the part of the latency target after which waiting work is urgent.
	urgentPoint = 0.5
	// creditWindow is the time after its last arrival during which a class without queued work still receives its share:
	// a class that waits at many sidecars often has no ask at the one whose slot becomes free.
	creditWindow = 5 * time.Second
	// creditRequests bounds the share saved that way, in mean requests of the class.
	creditRequests = 6
	// forgetAfter is the idle time after which the learned length of a class is dropped when another class appears.
	forgetAfter = 10 * time.Minute
	// timingGain is the weight of a new observation in the averages of the upstream's timing.
	timingGain = 0.1
	// deadlineShare is the part of the expected output time that must fit before the deadline.
	deadlineShare = 1
)

// Scheduler holds the queued, running and paused items of one upstream. It is not safe for concurrent use.
type Scheduler struct {
	cfg         Config
	lanes       []*lane
	byKey       map[laneKey]*lane
	jobs        map[uint64]*job
	running     []*job
	deadlines   deadlineHeap
	free        []*job
	concurrency *Concurrency
	paused      int
	queued      int
	longRunning int
	turn        int
	// firstToken and interval are moving averages of the upstream's timing.
	firstToken, interval time.Duration
}

// New returns an empty Scheduler.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	s := &Scheduler{cfg: cfg, byKey: map[laneKey]*lane{}, jobs: map[uint64]*job{}}
	if cfg.MaxSlots > 0 {
		s.concurrency = NewConcurrency(cfg.Slots, cfg.MinSlots, cfg.MaxSlots)
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

// Stats returns the number of items by state.
func (s *Scheduler) Stats() Stats {
	return Stats{Slots: s.Slots(), Running: len(s.running), Paused: s.paused, Queued: s.queued}
}

// Pace returns the observed time to the first token after a start and the time between tokens of one stream; 0 means
// not observed.
func (s *Scheduler) Pace() (firstToken, interval time.Duration) { return s.firstToken, s.interval }

// Enqueue adds a queued item. An ID that is already known is ignored.
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
	l := s.lane(now, &item)
	l.seen = now
	j := s.newJob()
	*j = job{Item: item, lane: l, state: queued, heapIndex: -1}
	j.due = floorDue(item.Arrived, item.Policy.MaxWait)
	s.jobs[item.ID] = j
	l.waiting.insert(j)
	s.queued++
	if !item.Deadline.IsZero() {
		need := s.firstToken + time.Duration(deadlineShare*l.expectedTokens(&item)*float64(s.interval))
		j.latestStart = item.Deadline.Add(-need)
		heap.Push(&s.deadlines, j)
	}
}

// Remove withdraws an item in any state, for a cancelled ask or a grant that was not used. The share that an item
// without output used is returned to its class.
func (s *Scheduler) Remove(id uint64) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	if j.tokens == 0 {
		j.lane.deficit += j.charged
	}
	if float64(j.tokens) > j.lane.meanTokens {
		// The length of an output that was cut is at least what it had. Without it, a class whose long outputs miss their
		// deadline would look short.
		j.lane.learn(j.tokens)
	}
	s.drop(j)
}

// OnTokens records n output tokens of a running item.
func (s *Scheduler) OnTokens(id uint64, n int, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.state != running || n <= 0 {
		return
	}
	s.observe(j, n, now)
	j.tokens += n
	j.lastTokens = now
	if over := float64(j.tokens) - j.charged; over > 0 {
		j.lane.deficit -= over
		j.charged += over
	}
	if !j.long && j.tokens >= s.cfg.LongTokens {
		j.long = true
		s.longRunning++
	}
}

// OnDone records the end of an item that was started, whatever its outcome, and frees its slot.
func (s *Scheduler) OnDone(id uint64, _ time.Time) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	if j.tokens > 0 {
		j.lane.learn(j.tokens)
		used := float64(j.tokens) + float64(j.PromptTokens)*promptShare
		j.lane.deficit += j.charged - used
	}
	s.drop(j)
}

// Next returns the next step and records it. The caller carries it out and calls Next again until ActionNone, after
// every Enqueue, Remove, OnDone, and after OnTokens when work is queued.
func (s *Scheduler) Next(now time.Time) Decision {
	if len(s.deadlines) > 0 && s.deadlines[0].latestStart.Before(now) {
		j := s.deadlines[0]
		id := j.ID
		s.drop(j)
		return Decision{Action: ActionRefuse, ID: id}
	}
	j, floor := s.pick(now)
	if j == nil {
		return Decision{Wake: s.wake(now)}
	}
	if len(s.running) < s.Slots() {
		return s.run(j, floor, now)
	}
	if v := s.victim(j, now); v != nil {
		s.pause(v, now)
		return Decision{Action: ActionPause, ID: v.ID}
	}
	return Decision{Wake: s.wake(now)}
}

func (s *Scheduler) lane(now time.Time, item *Item) *lane {
	key := laneKey{item.Class, item.Policy.Priority}
	l := s.byKey[key]
	if l == nil {
		s.forgetLanes(now)
		l = &lane{key: key, meanTokens: initialTokens}
		s.byKey[key] = l
		at := len(s.lanes)
		for at > 0 && s.lanes[at-1].key.priority > key.priority {
			at--
		}
		s.lanes = append(s.lanes, nil)
		copy(s.lanes[at+1:], s.lanes[at:])
		s.lanes[at] = l
	}
	if l.weight == 0 || item.Policy.Version > l.version {
		l.version, l.weight = item.Policy.Version, max(1, float64(item.Policy.Weight))
	}
	return l
}

// forgetLanes drops the lanes of classes that have left the table or changed their tier.
func (s *Scheduler) forgetLanes(now time.Time) {
	s.lanes = slices.DeleteFunc(s.lanes, func(l *lane) bool {
		old := l.idle() && l.active == 0 && now.Sub(l.seen) > forgetAfter
		if old {
			delete(s.byKey, l.key)
		}
		return old
	})
}

func (s *Scheduler) newJob() *job {
	if n := len(s.free); n > 0 {
		j := s.free[n-1]
		s.free = s.free[:n-1]
		return j
	}
	return new(job)
}

// drop forgets a job and releases what it holds.
func (s *Scheduler) drop(j *job) {
	switch j.state {
	case queued:
		j.lane.waiting.remove(j)
		s.queued--
	case paused:
		j.lane.paused.remove(j)
		s.paused--
	case running:
		s.stop(j)
	}
	s.unheap(j)
	s.settle(j.lane)
	delete(s.jobs, j.ID)
	s.free = append(s.free, j)
}

func (s *Scheduler) unheap(j *job) {
	if j.heapIndex >= 0 {
		heap.Remove(&s.deadlines, j.heapIndex)
	}
}

// settle bounds the share saved by a lane without waiting work and ends the debt of an idle one.
func (s *Scheduler) settle(l *lane) {
	if !l.idle() {
		return
	}
	l.deficit = min(l.deficit, creditRequests*l.meanTokens)
	if l.active == 0 && l.deficit < 0 {
		l.deficit = 0
	}
}

func (s *Scheduler) stop(j *job) {
	for i, r := range s.running {
		if r == j {
			last := len(s.running) - 1
			s.running[i] = s.running[last]
			s.running[last] = nil
			s.running = s.running[:last]
			break
		}
	}
	j.lane.active--
	if j.long {
		s.longRunning--
	}
}

func (s *Scheduler) run(j *job, floor bool, now time.Time) Decision {
	action := ActionStart
	if j.state == paused {
		action = ActionResume
		j.lane.paused.remove(j)
		s.paused--
	} else {
		j.lane.waiting.remove(j)
		s.queued--
		s.unheap(j)
		j.started = now
		j.charged = j.lane.cost(&j.Item)
		j.lane.deficit -= j.charged
	}
	j.state, j.lastTokens, j.floorUntil = running, now, 0
	if floor {
		j.floorUntil = j.tokens + floorQuantum
	}
	j.lane.active++
	s.running = append(s.running, j)
	if j.long {
		s.longRunning++
	}
	s.settle(j.lane)
	return Decision{Action: action, ID: j.ID}
}

func (s *Scheduler) pause(j *job, now time.Time) {
	s.stop(j)
	j.state, j.floorUntil = paused, 0
	j.due = floorDue(now, j.Policy.MaxWait)
	j.lane.paused.insert(j)
	s.paused++
}

// observe updates the timing averages from n new tokens of a running job.
func (s *Scheduler) observe(j *job, n int, now time.Time) {
	since := now.Sub(j.lastTokens)
	if j.tokens == 0 {
		s.firstToken = average(s.firstToken, now.Sub(j.started))
		return
	}
	interval := since / time.Duration(n)
	s.interval = average(s.interval, interval)
	if s.concurrency != nil {
		s.concurrency.Observe(now, n, interval, j.Policy.TokenTarget, len(s.running) >= s.Slots())
	}
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(timingGain*float64(sample-old))
}

func floorDue(from time.Time, maxWait time.Duration) time.Time {
	return from.Add(time.Duration(floorPoint * float64(maxWait)))
}
