package place

import (
	"math"
	"time"
)

// decayingMean is a count and a sum of values whose weight decays exponentially with age.
type decayingMean struct {
	count, sum float64
	updated    time.Time
}

// decay applies the decay up to now.
func (d *decayingMean) decay(now time.Time, timeConstant time.Duration) {
	if age := now.Sub(d.updated); age > 0 {
		f := math.Exp(-age.Seconds() / timeConstant.Seconds())
		d.count *= f
		d.sum *= f
		d.updated = now
	}
}

// add applies the decay up to now and adds a value.
func (d *decayingMean) add(value float64, now time.Time, timeConstant time.Duration) {
	d.decay(now, timeConstant)
	d.count++
	d.sum += value
}

// mean returns the mean of the values, or 0 without any.
func (d *decayingMean) mean() float64 {
	if d.count == 0 {
		return 0
	}
	return d.sum / d.count
}
