// Package truetime estimates the true time of day from the clocks of several machines, since the time of day of a single machine
// may be wrong by seconds or jump. The estimate is an offset to the boot-time clock, which does not jump.
package truetime

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sampleLifetime is how long the clock of a machine counts after its last message. In this time two clocks drift apart by about
	// 30 ms (100 ppm), and a machine that is cut off keeps the estimate of all.
	sampleLifetime = 5 * time.Minute
	// maxSamples bounds the machines whose clocks are compared. It is above the 360 nodes of the target scale.
	maxSamples = 512
	// tolerance is the change of the estimate that is applied at once. It is above the delay of messages between machines.
	tolerance = 50 * time.Millisecond
	// holdTime is how long a larger change must last: messages that waited for a suspended machine show times that have passed.
	holdTime = time.Second
)

// Clock estimates the true time of day. It is safe for concurrent use.
type Clock struct {
	boot, timeOfDay func() time.Time
	// offset is the true time minus that of the boot-time clock, in nanoseconds.
	offset atomic.Int64

	mu      sync.Mutex
	samples map[netip.Addr]sample
	// clocks is the number of clocks on which the offset is based.
	clocks int
	// differsSince is when the median began to differ from the offset by more than the tolerance; zero if it does not.
	differsSince time.Time
}

// sample is the time of day of another machine, as an offset to the own boot-time clock.
type sample struct {
	offset time.Duration
	at     time.Time
}

// New returns a Clock that begins with the machine's own time of day. boot reads the boot-time clock, timeOfDay the time of day.
func New(boot, timeOfDay func() time.Time) *Clock {
	c := &Clock{boot: boot, timeOfDay: timeOfDay, samples: map[netip.Addr]sample{}, clocks: 1}
	c.offset.Store(int64(c.own()))
	return c
}

func (c *Clock) own() time.Duration {
	return time.Duration(c.timeOfDay().UnixNano() - c.boot().UnixNano())
}

// Now returns the estimate of the true time.
func (c *Clock) Now() time.Time { return c.At(c.boot()) }

// At returns the estimate of the true time at a time of the boot-time clock.
func (c *Clock) At(boot time.Time) time.Time {
	return boot.Add(time.Duration(c.offset.Load()))
}

// Error returns the difference between the machine's own time of day and the estimate.
func (c *Clock) Error() time.Duration { return c.own() - time.Duration(c.offset.Load()) }

// Observe records the time of day that a message of another machine carries, when the message arrives.
func (c *Clock) Observe(from netip.Addr, timeOfDay time.Time) {
	now := c.boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.samples[from]; !known && len(c.samples) >= maxSamples {
		return
	}
	c.samples[from] = sample{time.Duration(timeOfDay.UnixNano() - now.UnixNano()), now}
}

// Tick updates the estimate to the median of the clocks. A change above the tolerance applies at once if the median is based on more
// clocks than the estimate, and otherwise once it has lasted for the hold time.
func (c *Clock) Tick() {
	now, own := c.boot(), c.own()
	c.mu.Lock()
	defer c.mu.Unlock()
	offsets := make([]time.Duration, 0, len(c.samples)+1)
	offsets = append(offsets, own)
	for from, s := range c.samples {
		if now.Sub(s.at) > sampleLifetime {
			delete(c.samples, from)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	median := medianOf(offsets)
	difference := (median - time.Duration(c.offset.Load())).Abs()
	switch {
	case difference <= tolerance:
		c.differsSince = time.Time{}
	case len(offsets) > c.clocks:
	case c.differsSince.IsZero():
		c.differsSince = now
		return
	case now.Sub(c.differsSince) < holdTime:
		return
	}
	c.offset.Store(int64(median))
	c.clocks, c.differsSince = len(offsets), time.Time{}
}

// medianOf sorts the values and returns their median. Two machines whose clocks differ thus get the same estimate.
func medianOf(values []time.Duration) time.Duration {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return values[middle-1] + (values[middle]-values[middle-1])/2
}
