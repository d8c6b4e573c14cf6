// Package overload implements the overload control of an entry. It bounds the queue of one service by expected wait: a
// request whose expected wait exceeds what its row allows is refused at once, with a Retry-After derived from the measured
// drain rate. When the expected wait grows, queued requests are shed, lowest tier first. Protected requests are never shed.
//
// A Controller has no clock: the caller passes the time to every call that needs it.
package overload

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the moving average of the drain rate; load changes within seconds.
	rateTimeConstant = 2 * time.Second
	// minRate is the drain rate assumed for a backlog without any start, in requests/s: one per rateTimeConstant. Without it,
	// one blocked request would make the expected wait of all others infinite.
	minRate = 0.5
	// maxRetryAfter bounds Retry-After, because the load may have changed by then.
	maxRetryAfter = time.Minute
	// retryWaitRatio is the ratio of Retry-After to the expected wait.
	retryWaitRatio = 2
	// minRetryAfter is the resolution of the Retry-After header.
	minRetryAfter = time.Second
	// idleExpiry is the idle time after which the queue of a class is removed. The check runs when a new class arrives.
	idleExpiry = 10 * time.Minute
	// minBacklogTime is the time with a backlog after which the measured drain rate is used; until then the expected wait
	// is 0.
	minBacklogTime = 250 * time.Millisecond
)

// Config sets the bounds of a Controller. The zero value of a field selects its default.
type Config struct {
	// MaxQueue bounds the number of queued requests, to limit memory. Default 4096.
	MaxQueue int
	// TargetShare is the part of the latency target that a request may spend waiting for a slot. Default 0.7.
	TargetShare float64
	// ShedRatio is the ratio of expected wait to wait budget above which a queued request is shed. It is above 1, so that
	// noise in the estimate does not shed requests that were just admitted. Default 2.
	ShedRatio float64
	// MinShare is the minimum part of the drain rate assumed for every tier. Default 1/16, the share that aging gets in
	// the class scheduler.
	MinShare float64
	// DefaultWaitBudget is the wait budget of rows with neither a latency target nor a max_wait. Default 30 s.
	DefaultWaitBudget time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxQueue <= 0 {
		c.MaxQueue = 4096
	}
	if c.TargetShare <= 0 {
		c.TargetShare = 0.7
	}
	if c.ShedRatio <= 0 {
		c.ShedRatio = 2
	}
	if c.MinShare <= 0 {
		c.MinShare = 1.0 / 16
	}
	if c.DefaultWaitBudget <= 0 {
		c.DefaultWaitBudget = 30 * time.Second
	}
	return c
}

// Request is a request to admit. Its class, priority, weight, protection, target and max wait are those of the table row
// that it is admitted under.
type Request struct {
	// ID is unique among the queued requests; the caller assigns it.
	ID         uint64
	Class      string
	Priority   uint8
	Weight     uint16
	Protected  bool
	TTFTTarget time.Duration
	MaxWait    time.Duration
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
}

// Reason is why a request was refused.
type Reason uint8

// Reasons of a Verdict.
const (
	// ReasonNone means that the request is admitted.
	ReasonNone Reason = iota
	// ReasonSaturated means that the expected wait exceeds what the row allows.
	ReasonSaturated
	// ReasonDeadline means that the caller's deadline passes before a slot is expected.
	ReasonDeadline
	// ReasonFull means that the queue contains MaxQueue requests and none that could be shed from a lower tier.
	ReasonFull
)

// Verdict is the result of Offer.
type Verdict struct {
	Reason Reason
	// RetryAfter is the time after which the expected wait is likely to be within the latency target again.
	RetryAfter time.Duration
}

// Admitted reports whether the request was queued.
func (v Verdict) Admitted() bool { return v.Reason == ReasonNone }

// Shed identifies a request that was removed from the queue and must be refused.
type Shed struct {
	ID         uint64
	RetryAfter time.Duration
}

// Controller admits the requests of one service at one entry. It is not safe for concurrent use.
type Controller struct {
	cfg     Config
	queues  []*classQueue
	byKey   map[queueKey]*classQueue
	waiters map[uint64]*waiter
	tiers   [maxPriority + 1]tier
	// backlogTime is the recent time with a backlog, at most rateTimeConstant; it decreases while the queue is empty.
	backlogTime time.Duration
	lastUpdate  time.Time
	queued      int
	freeWaiters []*waiter
}

// New returns a Controller with an empty queue.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg.withDefaults(), byKey: map[queueKey]*classQueue{}, waiters: map[uint64]*waiter{}}
}

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return c.queued }

// Offer queues a request or refuses it. An admitted request stays queued until Started or Abandoned is called or Next
// returns it. If the queue exceeds MaxQueue with it, Next returns a request of a lower tier to shed.
func (c *Controller) Offer(now time.Time, r *Request) Verdict {
	c.updateRates(now)
	q := c.queueFor(now, r)
	wait := c.estimateWait(q, 1)
	budget := c.budget(r)
	if !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return Verdict{ReasonDeadline, retryAfter(wait)}
	}
	if !r.Protected && wait > budget {
		return Verdict{ReasonSaturated, retryAfter(wait)}
	}
	if c.queued >= c.cfg.MaxQueue && c.lowestUnprotected(r.Priority) == nil {
		return Verdict{ReasonFull, retryAfter(wait)}
	}
	w := c.newWaiter()
	*w = waiter{id: r.ID, queue: q, enqueued: now, budget: budget, maxWait: max(budget, r.MaxWait), protected: r.Protected}
	c.waiters[r.ID] = w
	q.push(w)
	c.tiers[q.key.priority].queued++
	c.queued++
	return Verdict{}
}

// Started records that a queued request received a slot.
func (c *Controller) Started(now time.Time, id uint64) {
	c.updateRates(now)
	if w := c.waiters[id]; w != nil {
		c.tiers[w.queue.key.priority].started++
		c.remove(w)
	}
}

// Abandoned records that a queued request no longer waits although it received no slot, for example because its caller
// disconnected.
func (c *Controller) Abandoned(now time.Time, id uint64) {
	c.updateRates(now)
	if w := c.waiters[id]; w != nil {
		c.remove(w)
	}
}

// Next removes a request to shed from the queue and returns it, or returns false if there is none. The caller must call it
// until it returns false, after every Offer and at least every 100 ms while requests are queued.
func (c *Controller) Next(now time.Time) (Shed, bool) {
	c.updateRates(now)
	for i := len(c.queues) - 1; i >= 0; i-- {
		q := c.queues[i]
		if w := q.oldest(); w != nil && !w.protected && now.Sub(w.enqueued) > w.maxWait {
			return c.shed(w), true
		}
		w := q.newest()
		if w == nil || w.protected {
			continue
		}
		if c.estimateWait(q, 0) > time.Duration(c.cfg.ShedRatio*float64(w.budget)) {
			return c.shed(w), true
		}
	}
	if c.queued > c.cfg.MaxQueue {
		if w := c.lowestUnprotected(0); w != nil {
			return c.shed(w), true
		}
	}
	return Shed{}, false
}

// ExpectedWait returns the expected wait of the request if it were queued now.
func (c *Controller) ExpectedWait(now time.Time, r *Request) time.Duration {
	c.updateRates(now)
	return c.estimateWait(c.queueFor(now, r), 1)
}

func (c *Controller) shed(w *waiter) Shed {
	s := Shed{ID: w.id, RetryAfter: retryAfter(c.estimateWait(w.queue, 0))}
	c.remove(w)
	return s
}

func (c *Controller) remove(w *waiter) {
	w.removed = true
	w.queue.count--
	c.tiers[w.queue.key.priority].queued--
	c.queued--
	delete(c.waiters, w.id)
	c.trim(w.queue)
}

// budget returns the wait budget of a request: the expected wait up to which it is admitted.
func (c *Controller) budget(r *Request) time.Duration {
	b := c.cfg.DefaultWaitBudget
	if r.MaxWait > 0 {
		b = r.MaxWait
	}
	if r.TTFTTarget > 0 {
		b = min(b, time.Duration(c.cfg.TargetShare*float64(r.TTFTTarget)))
	}
	return b
}

// estimateWait estimates the wait until q is drained, with extra more requests in it. Higher tiers are assumed to keep their
// recent drain rate. This tier gets the rest, or at least its minimum share, divided by weight among its classes with queued
// requests.
func (c *Controller) estimateWait(q *classQueue, extra int) time.Duration {
	if c.backlogTime < minBacklogTime {
		return 0
	}
	total, rateAbove, queuedAbove := 0.0, 0.0, 0
	for p := range c.tiers {
		total += c.tiers[p].rate
		if p < int(q.key.priority) {
			rateAbove += c.tiers[p].rate
			queuedAbove += c.tiers[p].queued
		}
	}
	weights := 0.0
	for _, o := range c.queues {
		if o.key.priority == q.key.priority && (o == q || o.count > 0) {
			weights += o.weight
		}
	}
	total = max(total, minRate)
	rate := max(total-rateAbove, c.cfg.MinShare*total)
	ownSeconds := float64(q.count+extra) / (rate * q.weight / weights)
	// The backlog of higher tiers is drained first, at the full rate, but the minimum share bounds the wait.
	seconds := min(ownSeconds+float64(queuedAbove)/total, float64(q.count+extra)/(c.cfg.MinShare*total))
	// The bound keeps the product within the range of time.Duration.
	return time.Duration(min(seconds, 1e6) * float64(time.Second))
}

// retryAfter returns the Retry-After of a refused request. The expected wait alone is too short, because more requests
// arrive while the queue drains.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(retryWaitRatio*wait, minRetryAfter), maxRetryAfter)
}

// lowestUnprotected returns the newest unprotected request of the lowest tier, or nil if there is none in a tier lower than
// priority.
func (c *Controller) lowestUnprotected(priority uint8) *waiter {
	for i := len(c.queues) - 1; i >= 0 && c.queues[i].key.priority > priority; i-- {
		if w := c.queues[i].newest(); w != nil && !w.protected {
			return w
		}
	}
	return nil
}

// updateRates updates the moving averages of the drain rates. It takes samples only while requests are queued: without a
// backlog, the number of starts measures demand, not capacity.
func (c *Controller) updateRates(now time.Time) {
	if c.lastUpdate.IsZero() {
		c.lastUpdate = now
	}
	elapsed := now.Sub(c.lastUpdate)
	if c.queued == 0 {
		c.lastUpdate, c.backlogTime = now, max(0, c.backlogTime-elapsed)
		for p := range c.tiers {
			c.tiers[p].started = 0
		}
		return
	}
	// One sample counts the starts of at least 50 ms.
	if elapsed < 50*time.Millisecond {
		return
	}
	c.lastUpdate = now
	c.backlogTime = min(c.backlogTime+elapsed, rateTimeConstant)
	gain := 1 - math.Exp(-float64(elapsed)/float64(min(rateTimeConstant, max(c.backlogTime, elapsed))))
	for p := range c.tiers {
		t := &c.tiers[p]
		t.rate += gain * (float64(t.started)/elapsed.Seconds() - t.rate)
		t.started = 0
	}
}
