package schedule

import (
	"testing"
	"time"
)

// Guards against load reports that exceed the control traffic budget, and against late reports of a drain or a full
// upstream.
func TestReportLimiter(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var l ReportLimiter
	steps := []struct {
		name   string
		at     time.Duration
		report Report
		send   bool
		wait   time.Duration
	}{
		{"first", 0, Report{Slots: 4, Running: 1, Healthy: true}, true, 0},
		{"unchanged", time.Second, Report{Slots: 4, Running: 1, Healthy: true}, false, 0},
		{"routine change", 1100 * time.Millisecond, Report{Slots: 4, Running: 2, Healthy: true}, true, 0},
		{"routine change too soon", 1200 * time.Millisecond, Report{Slots: 4, Running: 3, Healthy: true}, false, 900 * time.Millisecond},
		{"last free slot taken", 1210 * time.Millisecond, Report{Slots: 4, Running: 4, Healthy: true}, true, 0},
		{"urgent change too soon", 1220 * time.Millisecond, Report{Slots: 4, Running: 4, Healthy: true, Draining: true}, false, 90 * time.Millisecond},
		{"draining", 1310 * time.Millisecond, Report{Slots: 4, Running: 4, Healthy: true, Draining: true}, true, 0},
	}
	for _, s := range steps {
		send, wait := l.Next(start.Add(s.at), s.report)
		if send != s.send || wait != s.wait {
			t.Errorf("%s: send %t wait %s, want %t %s", s.name, send, wait, s.send, s.wait)
		}
	}
}
