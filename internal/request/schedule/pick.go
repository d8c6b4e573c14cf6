package schedule

import "time"

// pick returns the waiting job that gets the next slot, and whether aging selected it.
func (s *Scheduler) pick(now time.Time) (*job, bool) {
	best := s.pickByTier(now)
	if best == nil {
		return nil, false
	}
	if j := s.pickAged(now); j != nil && j.Policy.Priority > best.Policy.Priority {
		return j, true
	}
	return best, false
}

// pickAged returns the job with the earliest expired aging deadline, or nil when aged jobs already use their share of the
// slots.
func (s *Scheduler) pickAged(now time.Time) *job {
	var best *job
	for _, q := range s.queues {
		for _, j := range [2]*job{q.paused.head, q.waiting.head} {
			if j != nil && !j.agingDeadline.After(now) && (best == nil || j.agingDeadline.Before(best.agingDeadline)) {
				best = j
			}
		}
	}
	if best == nil || s.agedRunning() >= max(1, int(s.cfg.AgedShare*float64(s.Slots()))) {
		return nil
	}
	return best
}

func (s *Scheduler) agedRunning() int {
	n := 0
	for _, j := range s.running {
		if j.quantumEnd > 0 && j.tokens < j.quantumEnd {
			n++
		}
	}
	return n
}

// pickByTier returns the next job of the highest tier with an eligible one. Paused long jobs above their share come after
// all tiers.
func (s *Scheduler) pickByTier(now time.Time) *job {
	for from := 0; from < len(s.queues); {
		to := from + 1
		for to < len(s.queues) && s.queues[to].key.priority == s.queues[from].key.priority {
			to++
		}
		if j := s.pickInTier(s.queues[from:to], now); j != nil {
			return j
		}
		from = to
	}
	for _, q := range s.queues {
		if q.paused.head != nil {
			return q.paused.head
		}
	}
	return nil
}

func (s *Scheduler) pickInTier(tier []*classQueue, now time.Time) *job {
	if j := s.resumable(tier); j != nil {
		return j
	}
	if j := leastSlack(tier, now, s.ttft); j != nil {
		return j
	}
	return s.roundRobin(tier, now)
}

// resumable returns the paused job of the tier that arrived first, skipping long jobs when their share is used up.
func (s *Scheduler) resumable(tier []*classQueue) *job {
	longAllowed := s.longRunning < s.longLimit()
	var best *job
	for _, q := range tier {
		for j := q.paused.head; j != nil; j = j.next {
			if j.long && !longAllowed {
				continue
			}
			if best == nil || j.Arrived.Before(best.Arrived) {
				best = j
			}
			break
		}
	}
	return best
}

// leastSlack returns the urgent queued job with the least slack to its latency target. It skips jobs that can no longer
// meet the target and classes with a negative deficit.
func leastSlack(tier []*classQueue, now time.Time, ttft time.Duration) *job {
	var best *job
	var bestSlack time.Duration
	for _, q := range tier {
		j := q.waiting.head
		if j == nil || j.Policy.TTFTTarget <= 0 || q.deficit < 0 {
			continue
		}
		slack := j.Arrived.Add(j.Policy.TTFTTarget).Sub(now) - ttft
		if slack < 0 || slack > maxUrgentSlack(j) {
			continue
		}
		if best == nil || slack < bestSlack {
			best, bestSlack = j, slack
		}
	}
	return best
}

// maxUrgentSlack is the slack to the latency target up to which a job is urgent.
func maxUrgentSlack(j *job) time.Duration {
	return time.Duration((1 - urgentFraction) * float64(j.Policy.TTFTTarget))
}

// roundRobin implements deficit round robin: it returns the head of the next backlogged queue with a positive deficit.
// When there is none, it first adds the fewest rounds of quanta (weights) that make one positive. Queues without a backlog
// but with recent arrivals also receive them, up to a bound.
func (s *Scheduler) roundRobin(tier []*classQueue, now time.Time) *job {
	rounds := -1.0
	for _, q := range tier {
		if q.waiting.n == 0 {
			continue
		}
		need := 0.0
		if q.deficit <= 0 {
			need = (1 - q.deficit) / q.weight
		}
		if rounds < 0 || need < rounds {
			rounds = need
		}
	}
	if rounds < 0 {
		return nil
	}
	if rounds > 0 {
		for _, q := range tier {
			switch {
			case q.waiting.n > 0:
				q.deficit += rounds * q.weight
			case now.Sub(q.lastArrival) <= creditWindow:
				q.deficit = max(q.deficit, min(q.deficit+rounds*q.weight, maxCreditRequests*q.meanTokens))
			default:
				q.deficit = min(q.deficit, 0)
			}
		}
	}
	for i := range tier {
		k := (s.rrIndex + i) % len(tier)
		if q := tier[k]; q.waiting.n > 0 && q.deficit > 0 {
			s.rrIndex = k
			return q.waiting.head
		}
	}
	return nil
}

func (s *Scheduler) longLimit() int { return max(1, int(s.cfg.LongShare*float64(s.Slots()))) }

// victim returns the running job to pause in favor of j, or nil. It never selects a protected job, a job of a higher tier,
// or an aged job within its quantum.
func (s *Scheduler) victim(j *job, now time.Time) *job {
	if !s.cfg.CanPause || s.paused >= s.cfg.MaxPaused {
		return nil
	}
	longExceeded := s.longRunning > s.longLimit() && !j.long
	lower := j.Policy.Protected || s.isUrgent(j, now)
	var best *job
	for _, r := range s.running {
		if r.Policy.Protected || (r.quantumEnd > 0 && r.tokens < r.quantumEnd) {
			continue
		}
		below := lower && r.Policy.Priority > j.Policy.Priority
		excess := longExceeded && r.long && r.Policy.Priority >= j.Policy.Priority
		if (below || excess) && (best == nil || pausedBefore(r, best)) {
			best = r
		}
	}
	return best
}

// isUrgent reports whether waiting for a slot to become free endangers the job's latency target. A paused job is urgent
// because its token interval already suffers, unless it is long.
func (s *Scheduler) isUrgent(j *job, now time.Time) bool {
	if j.state == paused {
		return !j.long
	}
	target := j.Policy.TTFTTarget
	if target <= 0 {
		return false
	}
	return j.Arrived.Add(target).Sub(now)-s.ttft <= maxUrgentSlack(j)
}

// pausedBefore reports whether a is the better victim: the lower tier, then the longer output, because the longer a stream
// has run, the longer it is likely to continue.
func pausedBefore(a, b *job) bool {
	if a.Policy.Priority != b.Policy.Priority {
		return a.Policy.Priority > b.Policy.Priority
	}
	return a.tokens > b.tokens
}

// nextWake returns the next time at which a decision can change without an event; zero means never.
func (s *Scheduler) nextWake(now time.Time) time.Time {
	var at time.Time
	if len(s.deadlines) > 0 {
		at = s.deadlines[0].latestStart.Add(1)
	}
	for _, q := range s.queues {
		if j := q.waiting.head; j != nil {
			at = earlier(at, j.agingDeadline, now)
			if target := j.Policy.TTFTTarget; target > 0 {
				at = earlier(at, j.Arrived.Add(target-maxUrgentSlack(j)-s.ttft), now)
			}
		}
		if j := q.paused.head; j != nil {
			at = earlier(at, j.agingDeadline, now)
		}
	}
	return at
}

// earlier returns the earlier of at and t. It ignores t unless t is after now; a zero at means none.
func earlier(at, t, now time.Time) time.Time {
	if t.After(now) && (at.IsZero() || t.Before(at)) {
		return t
	}
	return at
}
