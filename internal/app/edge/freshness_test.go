package edge

import (
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
)

// Guards against store calls that grow with the number of edges, and against state that gets too old: of many edges that
// exchange reports, one refreshes every 0.7 s, including when the edges of the lowest ranks have stopped responding.
func TestRefreshesDoNotGrowWithEdges(t *testing.T) {
	for _, c := range []struct{ edges, stopped int }{{1, 0}, {4, 0}, {24, 0}, {24, 2}} {
		now := time.Unix(1000, 0)
		all := make([]*freshness, c.edges)
		for i := range all {
			all[i] = newFreshness(2*time.Second, "a", "b")
			all[i].onResponse("a", now)
			all[i].onResponse("b", now)
		}
		interval := time.Duration(c.edges) * 4 * time.Millisecond
		refreshes, last := 0, now
		var longest time.Duration
		var reports []gossip.Freshness
		for end := now.Add(60 * time.Second); now.Before(end); now = now.Add(interval) {
			for i, f := range all[c.stopped:] {
				for _, fresh := range reports {
					f.onReport(fresh, now)
				}
				if f.stale(now, c.stopped+i, staggerStep(interval)) {
					refreshes++
					longest = max(longest, now.Sub(last))
					last = now
					f.onResponse("a", now)
					f.onResponse("b", now)
				}
			}
			reports = reports[:0]
			for _, f := range all[c.stopped:] {
				fresh, _ := f.snapshot(1, now)
				fresh.AgeMs += uint32(interval.Milliseconds())
				reports = append(reports, fresh)
			}
		}
		if refreshes > 90 || longest > maxResponseAge+100*time.Millisecond {
			t.Errorf("%d edges, %d stopped: %d refreshes in 60 s, longest interval %s", c.edges, c.stopped, refreshes, longest)
		}
	}
}

// Guards against an edge that keeps an old configuration or list although another edge has found a newer one, against a
// refresh for what the edge's own watch delivers in time, and against a refresh at every report.
func TestUpdatesOfPeersCauseRefresh(t *testing.T) {
	start := time.Unix(1000, 0)
	f := newFreshness(2*time.Second, "a")
	for _, c := range []struct {
		after                  time.Duration
		peerVersion, peerFound uint64
		version, revision      uint64
		want                   bool
	}{
		{after: 0, peerVersion: 5, peerFound: 70, version: 5, revision: 70, want: false},
		{after: 10 * time.Millisecond, peerVersion: 6, peerFound: 70, version: 5, revision: 70, want: false},
		{after: 100 * time.Millisecond, peerVersion: 6, peerFound: 70, version: 5, revision: 70, want: false},
		{after: 160 * time.Millisecond, peerVersion: 6, peerFound: 70, version: 5, revision: 70, want: true},
		{after: 260 * time.Millisecond, peerVersion: 6, peerFound: 70, version: 5, revision: 70, want: false},
		{after: 1200 * time.Millisecond, peerVersion: 6, peerFound: 70, version: 5, revision: 70, want: true},
		{after: 1300 * time.Millisecond, peerVersion: 6, peerFound: 71, version: 6, revision: 70, want: false},
		{after: 1500 * time.Millisecond, peerVersion: 6, peerFound: 71, version: 6, revision: 70, want: true},
		{after: 3000 * time.Millisecond, peerVersion: 6, peerFound: 71, version: 6, revision: 71, want: false},
	} {
		now := start.Add(c.after)
		f.onReport(gossip.Freshness{Configuration: c.peerVersion, Replicas: gossip.SyncedRange{LastChange: c.peerFound}}, now)
		if got := f.behind(c.version, c.revision, now); got != c.want {
			t.Errorf("after %s: refresh %t, want %t", c.after, got, c.want)
		}
	}
}
