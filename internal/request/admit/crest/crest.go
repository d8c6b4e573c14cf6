// Package crest is the admission of an entry at the crest of a demand swing. It bounds the queue of one service by
// time: a request whose expected wait exceeds what its row allows is refused at once, with a Retry-After taken from the
// observed drain rate, and queued requests are shed when the expectation gets worse, lowest tier first. Protected
// requests are never shed.
//
// A Controller has no clock: every call carries the time.
package crest

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of the drain rate; load changes within seconds.
	rateTime = 2 * time.Second
	// minRate is the drain rate assumed after a backlog without any start, in requests/s: one within rateTime. Without it
	// one blocked request would make the expected wait of all others infinite.
	minRate = 0.5
	// maxRetryAfter bounds the hint, because the load may have changed by then.
	maxRetryAfter = time.Minute
	// retryShare is the ratio of Retry-After to the expected wait.
	retryShare = 2
	// minRetryAfter is the resolution of the Retry-After header.
	minRetryAfter = time.Second
	// forgetAfter is the idle time after which a class is forgotten when another one appears.
	forgetAfter = 10 * time.Minute
	// minBusy is the time with a backlog after which the drain rate is known.
	minBusy = 250 * time.Millisecond
)

// Config sets the bounds of a Controller. The zero value of a field selects its default.
type Config struct {
	// MaxQueue bounds the number of queued requests as protection of memory. Default 4096.
	MaxQueue int
	// TargetShare is the part of the latency target that may be spent waiting for a slot. Default 0.7.
	TargetShare float64
	// EvictShare is the ratio of expected wait to budget above which an admitted request is shed again. Above 1, so that
	// the noise of the estimate does not shed what was just admitted. Default 2.
	EvictShare float64
	// FloorShare is the part of the drain rate that every tier can count on. Default 1/16, as in the class scheduler.
	FloorShare float64
	// DefaultBudget bounds the wait of rows with neither a latency target nor a max_wait. Default 30 s.
	DefaultBudget time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxQueue <= 0 {
		c.MaxQueue = 4096
	}
	if c.TargetShare <= 0 {
		c.TargetShare = 0.7
	}
	if c.EvictShare <= 0 {
		c.EvictShare = 2
	}
	if c.FloorShare <= 0 {
		c.FloorShare = 1.0 / 16
	}
	if c.DefaultBudget <= 0 {
		c.DefaultBudget = 30 * time.Second
	}
	return c
}

// Request is what admission depends on. The values are those of the table row that the request is admitted under.
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

// Reason tells why a request was not admitted.
type Reason uint8

// Reasons of a Verdict.
const (
	// ReasonNone means that the request is admitted.
	ReasonNone Reason = iota
	// ReasonSaturated means that the expected wait exceeds what the row allows.
	ReasonSaturated
	// ReasonDeadline means that the caller's deadline passes before a slot is expected.
	ReasonDeadline
	// ReasonFull means that the queue holds MaxQueue requests and none of a lower tier.
	ReasonFull
)

// Verdict is the answer to Offer.
type Verdict struct {
	Reason Reason
	// RetryAfter is when the expected wait is likely to be within the latency target again.
	RetryAfter time.Duration
}

// Admitted tells whether the request was queued.
func (v Verdict) Admitted() bool { return v.Reason == ReasonNone }

// Shed names a queued request that must be refused.
type Shed struct {
	ID         uint64
	RetryAfter time.Duration
}

// Controller admits the requests of one service at one entry. It is not safe for concurrent use.
type Controller struct {
	cfg    Config
	lanes  []*lane
	byKey  map[laneKey]*lane
	queue  map[uint64]*waiter
	tiers  [maxPriority + 1]tier
	busy   time.Duration
	last   time.Time
	queued int
	free   []*waiter
}

// New returns a Controller with an empty queue.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg.withDefaults(), byKey: map[laneKey]*lane{}, queue: map[uint64]*waiter{}}
}

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return c.queued }

// Offer decides whether a request is queued. An admitted request stays queued until Started or Left.
// When it takes the place of a request of a lower tier, Next returns that one.
func (c *Controller) Offer(now time.Time, r *Request) Verdict {
	c.advance(now)
	l := c.lane(now, r)
	wait := c.wait(l, 1)
	budget := c.budget(r)
	if !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return Verdict{ReasonDeadline, retryAfter(wait)}
	}
	if !r.Protected && wait > budget {
		return Verdict{ReasonSaturated, retryAfter(wait)}
	}
	if c.queued >= c.cfg.MaxQueue && c.lowest(r.Priority) == nil {
		return Verdict{ReasonFull, retryAfter(wait)}
	}
	w := c.newWaiter()
	*w = waiter{id: r.ID, lane: l, since: now, budget: budget, limit: max(budget, r.MaxWait), protected: r.Protected}
	c.queue[r.ID] = w
	l.push(w)
	c.tiers[l.key.priority].queued++
	c.queued++
	return Verdict{}
}

// Started records that a queued request received a slot.
func (c *Controller) Started(now time.Time, id uint64) {
	c.advance(now)
	if w := c.queue[id]; w != nil {
		c.tiers[w.lane.key.priority].started++
		c.remove(w)
	}
}

// Left records that a queued request left without a slot, for example because its caller went away.
func (c *Controller) Left(now time.Time, id uint64) {
	c.advance(now)
	if w := c.queue[id]; w != nil {
		c.remove(w)
	}
}

// Next returns a queued request to shed, if any; it is no longer queued when Next returns. The caller calls it until it
// returns false, after every Offer and at least every 100 ms while requests are queued.
func (c *Controller) Next(now time.Time) (Shed, bool) {
	c.advance(now)
	for i := len(c.lanes) - 1; i >= 0; i-- {
		l := c.lanes[i]
		if w := l.oldest(); w != nil && !w.protected && now.Sub(w.since) > w.limit {
			return c.shed(w), true
		}
		w := l.newest()
		if w == nil || w.protected {
			continue
		}
		if c.wait(l, 0) > time.Duration(c.cfg.EvictShare*float64(w.budget)) {
			return c.shed(w), true
		}
	}
	if c.queued > c.cfg.MaxQueue {
		if w := c.lowest(0); w != nil {
			return c.shed(w), true
		}
	}
	return Shed{}, false
}

// Wait returns the expected wait of a request of the class if it were queued now.
func (c *Controller) Wait(now time.Time, r *Request) time.Duration {
	c.advance(now)
	return c.wait(c.lane(now, r), 1)
}

func (c *Controller) shed(w *waiter) Shed {
	s := Shed{ID: w.id, RetryAfter: retryAfter(c.wait(w.lane, 0))}
	c.remove(w)
	return s
}

func (c *Controller) remove(w *waiter) {
	w.gone = true
	w.lane.count--
	c.tiers[w.lane.key.priority].queued--
	c.queued--
	delete(c.queue, w.id)
	c.trim(w.lane)
}

// budget is the expected wait up to which a request is admitted.
func (c *Controller) budget(r *Request) time.Duration {
	b := c.cfg.DefaultBudget
	if r.MaxWait > 0 {
		b = r.MaxWait
	}
	if r.TTFTTarget > 0 {
		b = min(b, time.Duration(c.cfg.TargetShare*float64(r.TTFTTarget)))
	}
	return b
}

// wait estimates the wait of a request behind the queue of its lane, with extra more requests ahead. Higher tiers keep
// the drain rate that they used lately; the rest, or at least the floor, serves this tier, divided by weight among its
// classes with queued requests.
func (c *Controller) wait(l *lane, extra int) time.Duration {
	if c.busy < minBusy {
		return 0
	}
	total, above, ahead := 0.0, 0.0, 0
	for p := range c.tiers {
		total += c.tiers[p].rate
		if p < int(l.key.priority) {
			above += c.tiers[p].rate
			ahead += c.tiers[p].queued
		}
	}
	weights := 0.0
	for _, o := range c.lanes {
		if o.key.priority == l.key.priority && (o == l || o.count > 0) {
			weights += o.weight
		}
	}
	total = max(total, minRate)
	rate := max(total-above, c.cfg.FloorShare*total)
	own := float64(l.count+extra) / (rate * l.weight / weights)
	// The queue of higher tiers is served at the full rate before this tier's turn, except for the floor.
	seconds := min(own+float64(ahead)/total, float64(l.count+extra)/(c.cfg.FloorShare*total))
	return time.Duration(min(seconds, 1e6) * float64(time.Second))
}

// retryAfter is the hint for a refused request. The expected wait alone is too short, because others keep arriving while
// the queue drains.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(retryShare*wait, minRetryAfter), maxRetryAfter)
}

// lowest returns the newest unprotected request of the lowest tier below the given priority number.
func (c *Controller) lowest(above uint8) *waiter {
	for i := len(c.lanes) - 1; i >= 0 && c.lanes[i].key.priority > above; i-- {
		if w := c.lanes[i].newest(); w != nil && !w.protected {
			return w
		}
	}
	return nil
}

// advance decays the drain rates. Rates are learned only while requests are queued: without a backlog the number of
// starts is the demand, not the capacity.
func (c *Controller) advance(now time.Time) {
	if c.last.IsZero() {
		c.last = now
	}
	passed := now.Sub(c.last)
	if c.queued == 0 {
		c.last, c.busy = now, max(0, c.busy-passed)
		for p := range c.tiers {
			c.tiers[p].started = 0
		}
		return
	}
	if passed < 50*time.Millisecond {
		return
	}
	c.last = now
	c.busy = min(c.busy+passed, rateTime)
	gain := 1 - math.Exp(-float64(passed)/float64(min(rateTime, max(c.busy, passed))))
	for p := range c.tiers {
		t := &c.tiers[p]
		t.rate += gain * (float64(t.started)/passed.Seconds() - t.rate)
		t.started = 0
	}
}
