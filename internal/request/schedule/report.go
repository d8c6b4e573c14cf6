package schedule

import "time"

const (
	// minUrgentInterval is the minimum time between two load reports when the change affects the entries' choice of upstream.
	minUrgentInterval = 100 * time.Millisecond
	// minRoutineInterval is the minimum time between other reports. At the target size an entry has 48 busy sessions, and
	// 10 reports/s on each would exceed the control traffic budget of 8 KB/s several times.
	minRoutineInterval = time.Second
)

// Report is the part of a load report that changes with the load.
type Report struct {
	Slots, Running, Paused, Queued int
	Draining, Healthy              bool
}

// hasFreeSlot reports whether a committed ask would start at once.
func (r *Report) hasFreeSlot() bool { return r.Queued == 0 && r.Running < r.Slots }

// urgentChange reports whether the difference affects which upstreams an entry may choose.
func (r *Report) urgentChange(next *Report) bool {
	return r.Draining != next.Draining || r.Healthy != next.Healthy || r.hasFreeSlot() != next.hasFreeSlot()
}

// ReportLimiter limits the rate of a sidecar's load reports. It has no clock and is not safe for concurrent use.
type ReportLimiter struct {
	last Report
	sent time.Time
}

// Next reports whether to send the report now, and if so records it as sent. Otherwise the caller must call Next again
// after wait; a wait of 0 means that the report is unchanged.
func (l *ReportLimiter) Next(now time.Time, r Report) (send bool, wait time.Duration) {
	if r == l.last {
		return false, 0
	}
	interval := minRoutineInterval
	if l.last.urgentChange(&r) {
		interval = minUrgentInterval
	}
	if since := now.Sub(l.sent); !l.sent.IsZero() && since < interval {
		return false, interval - since
	}
	l.last, l.sent = r, now
	return true, 0
}
