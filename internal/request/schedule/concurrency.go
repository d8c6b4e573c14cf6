package schedule

import "time"

const (
	// paceWindow is the time over which the pace is averaged before the limit changes.
	paceWindow = time.Second
	// headroom is the ratio of observed to target token interval below which the limit grows.
	headroom = 0.9
	// maxCut bounds one reduction of the limit, because one window may hold a pause caused by a long prompt.
	maxCut = 0.75
)

// Concurrency finds the number of streams that an engine of unknown capacity runs within the rows' token targets:
// additive increase while it is fully used and fast enough, multiplicative decrease while it is too slow.
// It is not safe for concurrent use.
type Concurrency struct {
	min, max float64
	limit    float64
	// ratioSum is the sum over tokens of observed interval divided by target.
	ratioSum, tokens float64
	saturated        bool
	windowEnd        time.Time
}

// NewConcurrency returns a Concurrency that starts at initial and stays between lowest and highest.
func NewConcurrency(initial, lowest, highest int) *Concurrency {
	return &Concurrency{min: float64(lowest), max: float64(highest), limit: float64(initial)}
}

// Limit returns the number of streams to run at once.
func (c *Concurrency) Limit() int { return int(c.limit) }

// Observe records n tokens of one stream that arrived with the given mean interval. saturated tells whether all slots
// were in use. Streams without a target are ignored.
func (c *Concurrency) Observe(now time.Time, n int, interval, target time.Duration, saturated bool) {
	if target <= 0 || n <= 0 {
		return
	}
	c.ratioSum += float64(n) * float64(interval) / float64(target)
	c.tokens += float64(n)
	c.saturated = c.saturated || saturated
	if c.windowEnd.IsZero() {
		c.windowEnd = now.Add(paceWindow)
	}
	if now.Before(c.windowEnd) {
		return
	}
	c.adjust(c.ratioSum / c.tokens)
	c.ratioSum, c.tokens, c.saturated = 0, 0, false
	c.windowEnd = now.Add(paceWindow)
}

func (c *Concurrency) adjust(ratio float64) {
	switch {
	case ratio > 1:
		c.limit = max(c.min, c.limit*max(maxCut, 1/ratio))
	case ratio < headroom && c.saturated:
		c.limit = min(c.max, c.limit+1)
	}
}
