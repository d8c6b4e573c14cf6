package schedule

import "time"

const (
	// adjustInterval is the time over which decode intervals are averaged between two changes of the limit.
	adjustInterval = time.Second
	// increaseBelow is the ratio of observed to target decode interval below which the limit grows.
	increaseBelow = 0.9
	// minDecreaseFactor bounds one decrease of the limit, because the prefill of a long prompt may stall decoding during one
	// adjustInterval.
	minDecreaseFactor = 0.75
)

// ConcurrencyLimiter adapts the number of concurrent streams to an engine of unknown capacity, so that streams meet the
// token targets of their rows. It uses additive increase while all slots are in use and tokens arrive fast enough, and
// multiplicative decrease while they arrive too slowly.
// It is not safe for concurrent use.
type ConcurrencyLimiter struct {
	min, max float64
	limit    float64
	// ratioSum is the sum of observed decode interval divided by target over all tokens since the last adjustment.
	ratioSum, tokens float64
	saturated        bool
	nextAdjust       time.Time
}

// NewConcurrencyLimiter returns a ConcurrencyLimiter that starts at initial and stays between lowest and highest.
func NewConcurrencyLimiter(initial, lowest, highest int) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{min: float64(lowest), max: float64(highest), limit: float64(initial)}
}

// Limit returns the number of streams to run at once.
func (c *ConcurrencyLimiter) Limit() int { return int(c.limit) }

// Observe records n tokens of one stream that arrived with the given mean decode interval. saturated reports whether
// all slots were in use. Streams without a target are ignored.
func (c *ConcurrencyLimiter) Observe(now time.Time, n int, interval, target time.Duration, saturated bool) {
	if target <= 0 || n <= 0 {
		return
	}
	c.ratioSum += float64(n) * float64(interval) / float64(target)
	c.tokens += float64(n)
	c.saturated = c.saturated || saturated
	if c.nextAdjust.IsZero() {
		c.nextAdjust = now.Add(adjustInterval)
	}
	if now.Before(c.nextAdjust) {
		return
	}
	c.adjust(c.ratioSum / c.tokens)
	c.ratioSum, c.tokens, c.saturated = 0, 0, false
	c.nextAdjust = now.Add(adjustInterval)
}

func (c *ConcurrencyLimiter) adjust(ratio float64) {
	switch {
	case ratio > 1:
		c.limit = max(c.min, c.limit*max(minDecreaseFactor, 1/ratio))
	case ratio < increaseBelow && c.saturated:
		c.limit = min(c.max, c.limit+1)
	}
}
