package schedule

import "time"

const (
	// urgentReport is the shortest time between two load reports when the entries' choice depends on the change.
	urgentReport = 100 * time.Millisecond
	// routineReport is the shortest time between other reports. At the target size an entry has 48 busy sessions, and ten
	// reports a second on each would take several times the 8 KB/s that control may use.
	routineReport = time.Second
)

// Report is the part of a load report that changes with the work.
type Report struct {
	Slots, Running, Paused, Queued int
	Draining, Healthy              bool
}

// free tells whether a committed ask would start at once.
func (r *Report) free() bool { return r.Queued == 0 && r.Running < r.Slots }

// urgent tells whether the difference changes which upstreams an entry may choose.
func (r *Report) urgent(next *Report) bool {
	return r.Draining != next.Draining || r.Healthy != next.Healthy || r.free() != next.free()
}

// ReportPacer spaces the load reports of a sidecar. It has no clock and is not safe for concurrent use.
type ReportPacer struct {
	last Report
	sent time.Time
}

// Next tells whether the report is to be sent now; it has then been recorded as sent. Otherwise the report is due again
// after the wait, or needs not be sent when the wait is 0.
func (p *ReportPacer) Next(now time.Time, r Report) (send bool, wait time.Duration) {
	if r == p.last {
		return false, 0
	}
	interval := routineReport
	if p.last.urgent(&r) {
		interval = urgentReport
	}
	if since := now.Sub(p.sent); !p.sent.IsZero() && since < interval {
		return false, interval - since
	}
	p.last, p.sent = r, now
	return true, 0
}
