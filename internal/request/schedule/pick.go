package schedule

import "time"

// pick returns the waiting job that gets the next slot, and whether the floor chose it.
func (s *Scheduler) pick(now time.Time) (*job, bool) {
	best := s.pickTier(now)
	if best == nil {
		return nil, false
	}
	if f := s.pickFloor(now); f != nil && f.Policy.Priority > best.Policy.Priority {
		return f, true
	}
	return best, false
}

// pickFloor returns the overdue job that waits longest past its due time, if the floor's share of slots is not used up.
func (s *Scheduler) pickFloor(now time.Time) *job {
	var best *job
	for _, l := range s.lanes {
		for _, j := range [2]*job{l.paused.head, l.waiting.head} {
			if j != nil && !j.due.After(now) && (best == nil || j.due.Before(best.due)) {
				best = j
			}
		}
	}
	if best == nil || s.floorRunning() >= max(1, int(s.cfg.FloorShare*float64(s.Slots()))) {
		return nil
	}
	return best
}

func (s *Scheduler) floorRunning() int {
	n := 0
	for _, j := range s.running {
		if j.floorUntil > 0 && j.tokens < j.floorUntil {
			n++
		}
	}
	return n
}

// pickTier returns the next job of the highest tier with eligible work. Long jobs above their share come last.
func (s *Scheduler) pickTier(now time.Time) *job {
	for from := 0; from < len(s.lanes); {
		to := from + 1
		for to < len(s.lanes) && s.lanes[to].key.priority == s.lanes[from].key.priority {
			to++
		}
		if j := s.pickLane(s.lanes[from:to], now); j != nil {
			return j
		}
		from = to
	}
	for _, l := range s.lanes {
		if l.paused.head != nil {
			return l.paused.head
		}
	}
	return nil
}

func (s *Scheduler) pickLane(tier []*lane, now time.Time) *job {
	if j := s.resumable(tier); j != nil {
		return j
	}
	if j := urgent(tier, now, s.firstToken); j != nil {
		return j
	}
	return s.roundRobin(tier, now)
}

// resumable returns the paused job of the tier that arrived first, passing over long jobs above their share.
func (s *Scheduler) resumable(tier []*lane) *job {
	longAllowed := s.longRunning < s.longLimit()
	var best *job
	for _, l := range tier {
		for j := l.paused.head; j != nil; j = j.next {
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

// urgent returns the queued job with the least slack to its latency target among those that can still meet it, of
// classes that have not used more than their share.
func urgent(tier []*lane, now time.Time, firstToken time.Duration) *job {
	var best *job
	var least time.Duration
	for _, l := range tier {
		j := l.waiting.head
		if j == nil || j.Policy.TTFTTarget <= 0 || l.deficit < 0 {
			continue
		}
		slack := j.Arrived.Add(j.Policy.TTFTTarget).Sub(now) - firstToken
		if slack < 0 || slack > urgentSlack(j) {
			continue
		}
		if best == nil || slack < least {
			best, least = j, slack
		}
	}
	return best
}

func urgentSlack(j *job) time.Duration {
	return time.Duration((1 - urgentPoint) * float64(j.Policy.TTFTTarget))
}

// roundRobin returns the head of the next lane with a positive deficit. When no lane has one, all lanes with queued
// or recent work receive the smallest number of rounds that gives one of them a positive deficit.
func (s *Scheduler) roundRobin(tier []*lane, now time.Time) *job {
	rounds := -1.0
	for _, l := range tier {
		if l.waiting.n == 0 {
			continue
		}
		need := 0.0
		if l.deficit <= 0 {
			need = (1 - l.deficit) / l.weight
		}
		if rounds < 0 || need < rounds {
			rounds = need
		}
	}
	if rounds < 0 {
		return nil
	}
	if rounds > 0 {
		for _, l := range tier {
			switch {
			case l.waiting.n > 0:
				l.deficit += rounds * l.weight
			case now.Sub(l.seen) <= creditWindow:
				l.deficit = max(l.deficit, min(l.deficit+rounds*l.weight, creditRequests*l.meanTokens))
			default:
				l.deficit = min(l.deficit, 0)
			}
		}
	}
	for i := range tier {
		k := (s.turn + i) % len(tier)
		if l := tier[k]; l.waiting.n > 0 && l.deficit > 0 {
			s.turn = k
			return l.waiting.head
		}
	}
	return nil
}

func (s *Scheduler) longLimit() int { return max(1, int(s.cfg.LongShare*float64(s.Slots()))) }

// victim returns the running job to pause for j, or nil. Protected jobs and jobs of a higher tier are never paused.
func (s *Scheduler) victim(j *job, now time.Time) *job {
	if !s.cfg.CanPause || s.paused >= s.cfg.MaxPaused {
		return nil
	}
	tooLong := s.longRunning > s.longLimit() && !j.long
	lower := j.Policy.Protected || s.pressing(j, now)
	var best *job
	for _, r := range s.running {
		if r.Policy.Protected || (r.floorUntil > 0 && r.tokens < r.floorUntil) {
			continue
		}
		below := lower && r.Policy.Priority > j.Policy.Priority
		excess := tooLong && r.long && r.Policy.Priority >= j.Policy.Priority
		if (below || excess) && (best == nil || pausedBefore(r, best)) {
			best = r
		}
	}
	return best
}

// pressing tells whether waiting for a slot to become free endangers the job's latency target. A job that was paused
// has missed time between its tokens already, unless it was paused for being long.
func (s *Scheduler) pressing(j *job, now time.Time) bool {
	if j.state == paused {
		return !j.long
	}
	target := j.Policy.TTFTTarget
	if target <= 0 {
		return false
	}
	return j.Arrived.Add(target).Sub(now)-s.firstToken <= urgentSlack(j)
}

// pausedBefore orders victims: lowest tier, then most output, because the longer a stream has run the longer it is
// likely to continue.
func pausedBefore(a, b *job) bool {
	if a.Policy.Priority != b.Policy.Priority {
		return a.Policy.Priority > b.Policy.Priority
	}
	return a.tokens > b.tokens
}

// wake returns the next time at which the passing of time alone changes a decision.
func (s *Scheduler) wake(now time.Time) time.Time {
	var at time.Time
	if len(s.deadlines) > 0 {
		at = s.deadlines[0].latestStart.Add(1)
	}
	for _, l := range s.lanes {
		if j := l.waiting.head; j != nil {
			at = earlier(at, j.due, now)
			if target := j.Policy.TTFTTarget; target > 0 {
				at = earlier(at, j.Arrived.Add(target-urgentSlack(j)-s.firstToken), now)
			}
		}
		if j := l.paused.head; j != nil {
			at = earlier(at, j.due, now)
		}
	}
	return at
}

func earlier(at, t, now time.Time) time.Time {
	if t.After(now) && (at.IsZero() || t.Before(at)) {
		return t
	}
	return at
}
