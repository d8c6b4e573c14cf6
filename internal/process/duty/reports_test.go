package duty

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/lease"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
	"github.com/dragonflypin/dragonflypin/internal/process/tally"
)

// fixedCounts are counts of windows of 5 s at a time that the test sets.
type fixedCounts struct {
	now      time.Time
	final    bool
	segments []tally.Segment
}

func (c *fixedCounts) Segments(uint64) []tally.Segment { return c.segments }
func (c *fixedCounts) Final(uint64, []string) bool     { return c.final }
func (c *fixedCounts) Window(at time.Time) uint64      { return uint64(at.Unix()) / 5 }
func (c *fixedCounts) Ends(window uint64) time.Duration {
	return time.Unix(int64(window+1)*5, 0).Sub(c.now)
}

func oneSegment(n uint64) []tally.Segment {
	return []tally.Segment{{Source: tally.Source{Edge: "e", Run: 1}, Counts: map[string]uint64{"w": n}}}
}

// reportsAt drives reports at times that the test sets.
type reportsAt struct {
	*reports
	counts *fixedCounts
}

// newReportsAt returns the reports of a holder whose first window is 100, which ends at second 505.
func newReportsAt(state []byte) *reportsAt {
	return &reportsAt{newReports(Holder{Name: "edge-1", Fence: 3}, 10*time.Second, state, 100, 1, &knownUsage{}), &fixedCounts{final: true, segments: oneSegment(4)}}
}

func (r *reportsAt) at(seconds float64) time.Time {
	r.counts.now = time.Unix(0, int64(seconds*float64(time.Second)))
	return r.counts.now
}

func (r *reportsAt) step(t *testing.T, seconds float64, want stepKind) step {
	t.Helper()
	now := r.at(seconds)
	s := r.next(now, now, r.counts, func(time.Duration) []string { return nil })
	if s.kind != want {
		t.Fatalf("at %v: step %+v, want kind %d", seconds, s, want)
	}
	return s
}

// Guards against a window that is sealed before requests which are counted late, or that waits for a lost edge until it is late.
func TestWindowWaitsForFinalCounts(t *testing.T) {
	r := newReportsAt(nil)
	r.step(t, 506.9, stepWait)
	if s := r.step(t, 507, stepSeal); s.window != 100 || !s.complete {
		t.Errorf("step %+v", s)
	}
	r = newReportsAt(nil)
	r.counts.final = false
	r.step(t, 509.9, stepWait)
	if s := r.step(t, 510, stepSeal); s.complete {
		t.Error("counts of an edge that sent none count as complete")
	}
}

// Guards against a second draft of a window whose create may still take effect, and against sending what is not confirmed.
func TestUnconfirmedWindowIsReadAndKeepsItsContent(t *testing.T) {
	r := newReportsAt(nil)
	s := r.step(t, 507, stepSeal)
	r.onStored(s, storeUnknown, nil, stored{}, r.at(507))
	r.counts.segments = oneSegment(9)
	r.step(t, 507.1, stepWait)
	s = r.step(t, 507.5, stepRead)
	r.onStored(s, storeAbsent, nil, stored{}, r.at(507.5))
	s = r.step(t, 507.5, stepSeal)
	if s.content.Sum["w"] != 4 {
		t.Errorf("second create with %v", s.content.Sum)
	}
	r.onStored(s, storeConflict, nil, stored{}, r.at(507.5))
	s = r.step(t, 507.5, stepRead)
	other := NewWindow(100, "edge-2", 2, oneSegment(7))
	r.onStored(s, storeDone, &other, stored{5}, r.at(507.5))
	if s = r.step(t, 507.5, stepSend); s.content.Sum["w"] != 7 {
		t.Errorf("sent %v, stored 7", s.content.Sum)
	}
}

// Guards against a new holder that forgets a window of the previous one, or reports one again that was settled.
func TestStateReachesNextHolder(t *testing.T) {
	r := newReportsAt(nil)
	s := r.step(t, 507, stepSeal)
	r.onStored(s, storeDone, nil, stored{1}, r.at(507))
	s = r.step(t, 507, stepSend)
	r.onSent(s, accepted, r.at(507), false)
	s = r.step(t, 512, stepSeal)
	r.onStored(s, storeDone, nil, stored{2}, r.at(512))
	r.step(t, 515.5, stepSend) // window 102 has ended, 101 is not confirmed
	next := newReportsAt(r.state())
	if s := next.step(t, 515.6, stepRead); s.window != 101 {
		t.Errorf("first step of the next holder %+v", s)
	}
	if _, ok := next.open[102]; !ok || len(next.open) != 2 || next.first != 100 {
		t.Errorf("open windows of the next holder %v, first %d", next.open, next.first)
	}
}

// Guards against reports that are given up while the platform is down, that are repeated too often, or that are repeated for ever
// although the platform refuses them.
func TestFailedReportsAreRepeated(t *testing.T) {
	send := func(outcome sendOutcome, times int) (r *reportsAt, sent []time.Duration) {
		r = newReportsAt(nil)
		s := r.step(t, 507, stepSeal)
		r.onStored(s, storeDone, nil, stored{1}, r.at(507))
		r.nextWindow = 1 << 40 // no further windows
		for seconds := 507.0; seconds < 600 && len(sent) < times; seconds += 0.05 {
			now := r.at(seconds)
			s := r.next(now, now, r.counts, func(time.Duration) []string { return nil })
			if s.kind != stepSend {
				continue
			}
			sent = append(sent, time.Duration((seconds-507)*float64(time.Second)))
			r.onSent(s, outcome, now, r.late(100, r.counts))
		}
		return r, sent
	}
	r, sent := send(throttled, 1000)
	inTime := len(slices.DeleteFunc(slices.Clone(sent), func(d time.Duration) bool { return d > 8*time.Second }))
	if inTime < 8 || inTime > 12 || len(sent)-inTime < 8 || len(sent)-inTime > 14 || r.waiting() != 1 {
		t.Errorf("%d calls in time and %d late ones in 93 s; %d windows wait", inTime, len(sent)-inTime, r.waiting())
	}
	if r, sent := send(refused, 1000); len(sent) != maxRefusals || r.waiting() != 0 {
		t.Errorf("%d refused calls, %d windows wait", len(sent), r.waiting())
	}
}

// Guards against windows that stay in the store for ever, and against the deletion of one that is kept.
func TestOldWindowsAreDeleted(t *testing.T) {
	r := newReportsAt(nil)
	var deleted []uint64
	for window := uint64(100); window < 100+keptWindows+3; window++ {
		seconds := float64(window+1)*5 + 2
		for done := false; !done; {
			now := r.at(seconds)
			s := r.next(now, now, r.counts, func(time.Duration) []string { return nil })
			switch s.kind {
			case stepSeal:
				r.onStored(s, storeDone, nil, stored{1}, now)
			case stepSend:
				r.onSent(s, accepted, now, false)
			case stepDelete:
				deleted = append(deleted, s.window)
				r.onDeleted(s, storeDone)
			default:
				done = true
			}
		}
	}
	if !slices.Equal(deleted, []uint64{100, 101, 102}) || r.first != 103 {
		t.Errorf("deleted %v, first %d", deleted, r.first)
	}
}

// Guards against counts that came after the seal and are shown nowhere, and against a window that is amended without end.
func TestLateCountsAreAddedOnce(t *testing.T) {
	r := newReportsAt(nil)
	s := r.step(t, 507, stepSeal)
	r.onStored(s, storeDone, nil, stored{1}, r.at(507))
	r.onSent(r.step(t, 507, stepSend), accepted, r.at(507), false)
	r.nextWindow = 1 << 40
	r.counts.segments = oneSegment(6)
	r.step(t, 519.9, stepWait)
	s = r.step(t, 520, stepAmend)
	if s.content.Sum["w"] != 4 || len(s.content.Late) != 1 || s.object.version != 1 {
		t.Errorf("amended to %+v", s.content)
	}
	r.onAmended(s)
	r.step(t, 520, stepWait)
	if len(r.open) != 0 {
		t.Errorf("open windows %v", r.open)
	}
}

// Guards against a holder that reports hours of windows after everything was down.
func TestWindowsOfLongAgoAreSkipped(t *testing.T) {
	r := newReportsAt(nil)
	r.step(t, float64(100+2*keptWindows)*5, stepSeal)
	if len(r.open) != keptWindows || r.skipped != keptWindows {
		t.Errorf("%d windows are open, %d skipped", len(r.open), r.skipped)
	}
}

// Guards against a holder that reports nothing until a wrong time is reached, because its time of day was ahead when it chose the
// first window.
func TestFirstWindowFollowsACorrectedTime(t *testing.T) {
	r := newReportsAt(nil)
	r.step(t, 300, stepWait)
	s := r.step(t, 307, stepSeal)
	if s.window != 60 {
		t.Errorf("first window %d, want 60", s.window)
	}
	r.onStored(s, storeDone, nil, stored{1}, r.at(307))
	r.onSent(r.step(t, 307, stepSend), accepted, r.at(307), false)
	r.step(t, 290, stepWait)
	if r.first != 60 || r.nextWindow != 61 {
		t.Errorf("first window %d, next %d after a window was taken up", r.first, r.nextWindow)
	}
}

// startRecorder is a lease that another edge holds. It records what would be passed on with an acquisition.
type startRecorder struct {
	holding
	attached atomic.Value
	start    atomic.Value
}

func (l *startRecorder) Attach(value json.RawMessage) { l.attached.Store(value) }

func (l *startRecorder) Acquire(context.Context) (uint64, error) {
	l.start.Store(l.attached.Load())
	return 0, lease.ErrHeld
}

func (l *startRecorder) Remaining(time.Time) (uint64, time.Duration) { return 0, 0 }

// correctedCounts are counts at an edge whose time of day is ahead until it hears the other edges.
type correctedCounts struct {
	fixedCounts
	error atomic.Int64
}

func (c *correctedCounts) Window(at time.Time) uint64 {
	return c.fixedCounts.Window(at.Add(time.Duration(c.error.Load())))
}

// Guards against windows that nobody reports because the first one was chosen by the time of day of a single machine.
func TestFirstWindowIsChosenWithTheTimeOfAllEdges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts := &correctedCounts{}
		counts.error.Store(int64(time.Minute))
		node := New(Options{
			Duties: settings.Duties{ReportUsage: true, Lease: 3 * time.Second, Window: 5 * time.Second, ReportBound: 10 * time.Second},
			Counts: counts, Clock: time.Now, Wall: time.Now, Rank: func() int { return 0 }, Live: func() []string { return nil }, Store: storetest.New(),
		})
		l := &startRecorder{}
		node.lease = l
		want := counts.fixedCounts.Window(time.Now().Add(-10 * time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { node.Run(ctx); close(done) }()
		time.Sleep(discoveryDelay / 2)
		counts.error.Store(0)
		time.Sleep(discoveryDelay)
		cancel()
		<-done
		value, _ := l.start.Load().(json.RawMessage)
		var state reportState
		if err := json.Unmarshal(value, &state); err != nil || state.First != want || state.Next != want {
			t.Errorf("acquires with %s (%v), want window %d", value, err, want)
		}
	})
}

// grantedLease is a lease that this edge always gets.
type grantedLease struct {
	holding
	renewals, releases int
}

func (l *grantedLease) Acquire(context.Context) (uint64, error) { return 1, nil }
func (l *grantedLease) Held(time.Time) (uint64, bool)           { return 1, true }
func (l *grantedLease) Position() store.Position                { return store.Position{Era: 1, Revision: 1} }
func (l *grantedLease) Renew(context.Context) error             { l.renewals++; return nil }
func (l *grantedLease) Release(context.Context) error           { l.releases++; return nil }

// Guards against a holder that gives up a new term at once for what happened in the one that it lost.
func TestStandingBackEndsWithTheTerm(t *testing.T) {
	for name, run := range map[string]func(n *Node, now time.Time){
		"before the loss": func(n *Node, now time.Time) { n.requestStandBack("platform not reached"); n.lost("expired", now) },
		"after the loss":  func(n *Node, now time.Time) { n.lost("expired", now); n.requestStandBack("platform not reached") },
	} {
		now := time.Unix(1000, 0)
		l := &grantedLease{}
		n := New(Options{Clock: func() time.Time { return now }, Rank: func() int { return 0 }, Announce: func(Announcement) {}, Store: storetest.New()})
		n.lease = l
		n.compete(t.Context(), now)
		run(n, now)
		n.compete(t.Context(), now)
		now = now.Add(time.Second)
		n.stepLease(t.Context())
		if l.renewals != 1 || l.releases != 0 {
			t.Errorf("%s: %d renewals, %d releases in the next term", name, l.renewals, l.releases)
		}
	}
}

// Guards against memory that grows for as long as the platform is down, and against other counts for a window that was sent: a later
// holder that does not find the deleted object would seal the window anew.
func TestWindowIsGivenUpBeforeItsObjectIsDeleted(t *testing.T) {
	r := newReportsAt(nil)
	s := r.step(t, 507, stepSeal)
	r.onStored(s, storeDone, nil, stored{1}, r.at(507))
	r.onSent(r.step(t, 507, stepSend), unknown, r.at(507), false)
	state := r.state()
	for _, next := range []*reportsAt{r, newReportsAt(state)} {
		now := next.at(float64(100+keptWindows+1)*5 + 2)
		next.takeUp(next.counts, now)
		if next.open[100] != nil || len(next.open) != keptWindows || next.skipped != 1 {
			t.Errorf("%d windows are open, %d skipped; window 100: %v", len(next.open), next.skipped, next.open[100])
		}
	}
}

// Guards against windows that stay in the store for ever because their holder was lost before it deleted them.
func TestWindowsOfEarlierHoldersAreDeleted(t *testing.T) {
	r := newReportsAt([]byte(`{"first":100,"next":830}`))
	r.open[829] = &report{phase: sealed}
	r.onSent(step{window: 829}, accepted, r.at(4157), false)
	if !slices.Equal(r.deletions, []uint64{100, 101}) {
		t.Errorf("deletions %v", r.deletions)
	}
	r.open[831] = &report{phase: sealed}
	r.onSent(step{window: 831}, accepted, r.at(4167), false)
	if !slices.Equal(r.deletions, []uint64{100, 101, 102, 103}) {
		t.Errorf("deletions %v", r.deletions)
	}
}

// Guards against candidates that compete at the same time, before the lease can have ended, or never.
func TestElectionOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newElection(3*time.Second, now)
	if e.wait(now, 1)-e.wait(now, 0) != rankDelay || e.wait(now, 0) != discoveryDelay {
		t.Errorf("first waits %v and %v", e.wait(now, 0), e.wait(now, 1))
	}
	e.heard(now)
	if e.wait(now, 0) != 3*time.Second {
		t.Errorf("wait %v after a sign of the holder", e.wait(now, 0))
	}
	e.released(now)
	if e.wait(now, 0) > 0 {
		t.Errorf("wait %v after a release", e.wait(now, 0))
	}
	e.standBack(now)
	if got := e.wait(now, 0); got != 3*time.Second+standBackDelay {
		t.Errorf("wait %v of an edge that stands back", got)
	}
	later := now.Add(standBackTime)
	e.failed(later, 2)
	if got := e.wait(later, 2); got != 3*retryDelay+2*rankDelay {
		t.Errorf("wait %v after a failed attempt", got)
	}
}

// Guards against a window that the copy of the store has as reported and that is sealed again with fresh counts, because only a part of its
// usage is known.
func TestPartlyKnownWindowIsNotSealedAgain(t *testing.T) {
	counts := &fixedCounts{now: time.Unix(500, 0), final: true, segments: oneSegment(4)}
	known := &knownUsage{}
	known.hear(&WindowNews{Window: 97, Fence: 1, Total: 5, Workspaces: 2, Names: []string{"a"}, Counts: []uint64{2}}, counts.now)
	known.record(&Window{Number: 98, Sum: map[string]uint64{"a": 2}}, true)
	r := newReports(Holder{Name: "edge-1", Fence: 3}, 10*time.Second, nil, 99, 2, known)
	r.recover(counts, counts.now, func(uint64, time.Duration) bool { return false })
	r.useKnown()
	if r.open[97] != nil || r.open[98] == nil || !r.open[98].wasReported {
		t.Errorf("window 97 is %+v, window 98 %+v; want only the known one to be written again", r.open[97], r.open[98])
	}
}
