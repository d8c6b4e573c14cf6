package place

import (
	"math"
	"time"
)

// decaying is a count and a sum that lose weight exponentially with age.
type decaying struct {
	count, sum float64
	at         time.Time
}

// decay ages both to now; memory is the time constant.
func (d *decaying) decay(now time.Time, memory time.Duration) {
	if age := now.Sub(d.at); age > 0 {
		f := math.Exp(-age.Seconds() / memory.Seconds())
		d.count *= f
		d.sum *= f
		d.at = now
	}
}

// add counts a value.
func (d *decaying) add(value float64, now time.Time, memory time.Duration) {
	d.decay(now, memory)
	d.count++
	d.sum += value
}

// mean returns the mean of the values, or 0 without any.
func (d *decaying) mean() float64 {
	if d.count == 0 {
		return 0
	}
	return d.sum / d.count
}
