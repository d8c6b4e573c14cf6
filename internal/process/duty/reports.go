package duty

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Shares of the time within which a report is due.
const (
	// settleShare is the share for which a window is left open after its end, also with final counts of all edges: some requests
	// are counted only when a replica turns out to have run them.
	settleShare = 0.2
	// sealShare is the share after which a window is sealed without the final counts of an edge. What remains suffices for the
	// end of a lease of 3 s, its acquisition, and a few calls.
	sealShare = 0.5
	// lateShare is the share after which counts that came after the seal are added.
	lateShare = 1.5
)

const (
	// keptWindows is the number of windows that stay in the store: an hour with windows of 5 s.
	keptWindows = 720
	// pollInterval is the time between checks whether the counts of a window are final.
	pollInterval = 100 * time.Millisecond
	// firstBackoff is the delay after the first failed call for a window; it doubles up to maxBackoff, or maxLateBackoff once the
	// report is late.
	firstBackoff   = 250 * time.Millisecond
	maxBackoff     = time.Second
	maxLateBackoff = 8 * time.Second
	// maxRefusals is the number of times that the platform may refuse a report, other than for its rate, before it is given up.
	maxRefusals = 8
	// deletionsPerReport is the number of old windows that are deleted for each reported one.
	deletionsPerReport = 2
	// maxDeleteFailures bounds the attempts to delete an old window.
	maxDeleteFailures = 3
)

// phase is how far the report of a window is.
type phase uint8

const (
	// counting means that the window has not been sealed, as far as this holder knows.
	counting phase = iota + 1
	// unread means that the window is or may be sealed, and has to be read.
	unread
	// sealed means that the stored window is known and may not have been reported.
	sealed
	// reported means that the platform has the report, or refuses it for good.
	reported
)

// report is the state of one window.
type report struct {
	phase phase
	// content is what is to be stored, or what is stored from the phase sealed on. It is never changed once a create was sent.
	content *Window
	// complete is set if all edges had sent their final counts when content was made.
	complete bool
	// object is the stored object, if this holder has it.
	object stored
	// retryAt is when the next call may be made, and failures the number of failed ones.
	retryAt  time.Time
	failures int
	refusals int
	// known is set if content is what an earlier holder has sealed in a lost history of the store, and wasReported if it has reported it.
	known, wasReported bool
	// inDoubt is set if the window may have been reported in a lost history and nobody knows its usage: only the store's object counts.
	inDoubt bool
}

// stored identifies an object's version.
type stored struct{ version uint64 }

// reportState is what a holder passes on to the next one with the lease. Windows before Next that are in neither list are reported.
type reportState struct {
	// First is the number of the first window whose object may be in the store.
	First uint64 `json:"first"`
	// Next is the number of the first window that has not ended.
	Next uint64 `json:"next"`
	// Open are windows that are not known to be sealed, and Sealed those that are sealed and not known to be reported.
	Open   []uint64 `json:"open,omitempty"`
	Sealed []uint64 `json:"sealed,omitempty"`
	// Away is the number of holders in a row that could not reach the platform.
	Away int `json:"away,omitempty"`
	// Era is the era of the store in which this was written. In a later one it may lack windows.
	Era uint64 `json:"era,omitempty"`
}

// isRestored reports whether the state that a holder has found is one of an earlier era: later ones are lost.
func isRestored(state json.RawMessage, era uint64) bool {
	var s reportState
	return era > store.FirstEra && (json.Unmarshal(state, &s) != nil || s.Era < era)
}

// stepKind is the kind of the next step of the holder.
type stepKind uint8

const (
	// stepWait means that nothing is to be done for a time.
	stepWait stepKind = iota + 1
	// stepSeal creates the window's object.
	stepSeal
	// stepRead reads the window's object.
	stepRead
	// stepSend reports the stored window.
	stepSend
	// stepAmend adds counts that came after the seal.
	stepAmend
	// stepDelete deletes the object of an old window.
	stepDelete
)

// step is what the holder does next.
type step struct {
	kind   stepKind
	window uint64
	wait   time.Duration
	// content is what to create, send or add to.
	content *Window
	// complete is set in stepSeal if all edges have sent their final counts.
	complete bool
	object   stored
}

// storeOutcome is what is known of a store call.
type storeOutcome uint8

const (
	// storeDone means that the call was carried out, or that the object to delete is not there.
	storeDone storeOutcome = iota + 1
	// storeConflict means that the object to create exists, or has changed.
	storeConflict
	// storeAbsent means that the object does not exist.
	storeAbsent
	// storeFailed means that the call was not carried out.
	storeFailed
	// storeUnknown means that the write may have been carried out or may still be.
	storeUnknown
)

// reports decides what the holder does about each window. It makes no calls: next says what to do, and the other methods take the
// results. Nothing is sent but what the store has confirmed, so that no two counts are sent for one window by anybody.
type reports struct {
	holder Holder
	bound  time.Duration
	first  uint64
	// nextWindow is the first window that has not been taken up.
	nextWindow uint64
	open       map[uint64]*report
	// deletions are the windows to delete, from first on without a gap.
	deletions []uint64
	// deleteFailures counts those of the first deletion in the list.
	deleteFailures int
	// away is the number of holders in a row that could not reach the platform, including this one.
	away int
	// skipped is the number of windows that were too old to report.
	skipped uint64
	// era is the era of the store when this holder began.
	era uint64
	// known is what the edges know of sealed windows.
	known *knownUsage
}

// newReports returns the reports of a new holder. state is what the previous one has passed on; without it, the first window is
// start.
func newReports(holder Holder, bound time.Duration, state json.RawMessage, start, era uint64, known *knownUsage) *reports {
	r := &reports{holder: holder, bound: bound, first: start, nextWindow: start, open: map[uint64]*report{}, era: era, known: known}
	var s reportState
	if len(state) == 0 || json.Unmarshal(state, &s) != nil || s.Next == 0 {
		return r
	}
	r.first, r.nextWindow, r.away = s.First, s.Next, s.Away
	for _, window := range s.Open {
		r.open[window] = &report{phase: counting}
	}
	for _, window := range s.Sealed {
		r.open[window] = &report{phase: unread}
	}
	return r
}

// state returns what a later holder has to know.
func (r *reports) state() json.RawMessage {
	s := reportState{First: r.first, Next: r.nextWindow, Away: r.away, Era: r.era}
	for _, window := range slices.Sorted(maps.Keys(r.open)) {
		switch w := r.open[window]; {
		case w.wasReported:
		case w.phase == counting:
			s.Open = append(s.Open, window)
		case w.phase == unread || w.phase == sealed:
			s.Sealed = append(s.Sealed, window)
		}
	}
	value, err := json.Marshal(&s)
	if err != nil {
		panic(err) // numbers can be encoded
	}
	return value
}

// recover makes the state of an earlier era that of the new one, in which the store lacks what was written after its copy. A window that was
// lost with all who may have known it is given up: it may have been reported, and would be again with other counts.
func (r *reports) recover(counts Counts, now time.Time, mayBeLost func(window uint64, ended time.Duration) bool) {
	r.takeUpLost(counts, now)
	for _, window := range r.known.latest() {
		// Also what the copy has as reported is written again: the store may lack it, or get a late write of the era before.
		if r.open[window] == nil && window < r.nextWindow && r.known.content(window) != nil {
			r.open[window] = &report{phase: counting, wasReported: true}
		}
	}
	for window, w := range r.open {
		w.inDoubt = r.known.content(window) == nil && mayBeLost(window, -counts.Ends(window))
		if w.phase == counting && w.inDoubt {
			r.giveUp(window)
		}
	}
}

// giveUp forgets a window that nobody reports.
func (r *reports) giveUp(window uint64) {
	delete(r.open, window)
	r.skipped++
}

// useKnown makes the windows that are to be sealed those that the edges know as sealed in a lost history of the store.
func (r *reports) useKnown() {
	for window, w := range r.open {
		if w.phase == counting || w.phase == unread {
			r.adopt(window)
		}
	}
}

// adopt makes the content of an open window the known one, if there is one. It is sealed again.
func (r *reports) adopt(window uint64) {
	if content, reported := r.known.get(window); content != nil {
		w := r.open[window]
		w.phase, w.content, w.known, w.wasReported = counting, content, true, reported || w.wasReported
	}
}

// takeUpLost opens all windows that have ended since the state of the copy.
func (r *reports) takeUpLost(counts Counts, now time.Time) {
	next := counts.Window(now)
	for counts.Ends(next) <= 0 {
		next++
	}
	from := r.nextWindow
	if next > knownWindows {
		from = max(from, next-knownWindows)
	}
	for window := from; window < next; window++ {
		if r.open[window] == nil {
			r.open[window] = &report{phase: counting}
		}
	}
	r.nextWindow = max(r.nextWindow, next)
}

// takeUp adds the windows that have ended, and gives up those whose objects are about to be deleted.
func (r *reports) takeUp(counts Counts, now time.Time) {
	current := counts.Window(now)
	if r.nextWindow == r.first && len(r.open) == 0 && current < r.first {
		// No window was taken up by anybody, and the time was ahead when the first one was chosen.
		r.first, r.nextWindow = current, current
	}
	if current > r.nextWindow+keptWindows {
		r.skipped += current - keptWindows - r.nextWindow
		r.nextWindow = current - keptWindows
	}
	for ; counts.Ends(r.nextWindow) <= 0; r.nextWindow++ {
		r.open[r.nextWindow] = &report{phase: counting}
	}
	// A later holder that does not find the object of a window would seal other counts than those that were sent.
	maps.DeleteFunc(r.open, func(window uint64, w *report) bool {
		old := window+keptWindows < current
		if old && w.phase != reported {
			r.skipped++
		}
		return old
	})
}

// next returns the next step. wall is the time for Counts, and now that of the lease's clock; edges returns those that took requests
// in a window.
func (r *reports) next(now, wall time.Time, counts Counts, edges func(ended time.Duration) []string) step {
	r.takeUp(counts, wall)
	wait := pollInterval
	var late *step
	for _, window := range slices.Sorted(maps.Keys(r.open)) {
		s := r.stepFor(window, now, counts, edges)
		switch {
		case s.kind == stepWait:
			wait = min(wait, s.wait)
		case !r.late(window, counts):
			return s
		case late == nil:
			late = &s
		}
	}
	if late != nil {
		return *late
	}
	if len(r.deletions) > 0 {
		return step{kind: stepDelete, window: r.deletions[0]}
	}
	return step{kind: stepWait, wait: max(wait, time.Millisecond)}
}

// late reports whether a report of the window is past its time.
func (r *reports) late(window uint64, counts Counts) bool { return -counts.Ends(window) > r.bound }

func (r *reports) stepFor(window uint64, now time.Time, counts Counts, edges func(time.Duration) []string) step {
	w := r.open[window]
	if wait := w.retryAt.Sub(now); wait > 0 {
		return step{kind: stepWait, wait: wait}
	}
	ended := -counts.Ends(window)
	switch w.phase {
	case counting:
		if w.content == nil {
			r.adopt(window) // the store may have lost it since, unnoticed so far
		}
		if w.content == nil {
			if ended < r.share(settleShare) {
				return step{kind: stepWait, wait: pollInterval}
			}
			w.complete = counts.Final(window, edges(ended))
			if !w.complete && ended < r.share(sealShare) {
				return step{kind: stepWait, wait: pollInterval}
			}
			content := NewWindow(window, r.holder.Name, r.holder.Fence, counts.Segments(window))
			w.content = &content
		}
		return step{kind: stepSeal, window: window, content: w.content, complete: w.complete}
	case unread:
		return step{kind: stepRead, window: window}
	case sealed:
		return step{kind: stepSend, window: window, content: w.content}
	default:
		return r.stepReported(window, ended, counts)
	}
}

func (r *reports) share(of float64) time.Duration { return time.Duration(of * float64(r.bound)) }

// stepReported adds late counts to a reported window once, and forgets the window after that.
func (r *reports) stepReported(window uint64, ended time.Duration, counts Counts) step {
	w := r.open[window]
	if ended < r.share(lateShare) {
		return step{kind: stepWait, wait: pollInterval}
	}
	if w.known {
		delete(r.open, window) // its counts are not known by edge
		return step{kind: stepWait}
	}
	if amended := *w.content; amended.AddLate(counts.Segments(window)) {
		return step{kind: stepAmend, window: window, content: &amended, object: w.object}
	}
	delete(r.open, window)
	return step{kind: stepWait}
}

// onStored takes the result of stepSeal or stepRead. content is what was read.
func (r *reports) onStored(s step, outcome storeOutcome, content *Window, object stored, now time.Time) {
	w := r.open[s.window]
	switch outcome {
	case storeDone:
		w.phase, w.object, w.failures, w.retryAt = sealed, object, 0, time.Time{}
		if content != nil && !w.known {
			w.content = content
		}
		if w.wasReported {
			w.phase = reported
		}
	case storeConflict:
		w.phase = unread
	case storeUnknown:
		w.phase = unread
		r.backOff(w, now, false)
	case storeAbsent:
		// The create did not take effect yet. It is repeated with the same content: at most one of both takes effect.
		w.phase = counting
		if w.inDoubt {
			r.giveUp(s.window)
		}
	default:
		r.backOff(w, now, false)
	}
}

// onAmended takes the result of stepAmend. It is not repeated: the report itself does not change.
func (r *reports) onAmended(s step) { delete(r.open, s.window) }

// onDeleted takes the result of stepDelete.
func (r *reports) onDeleted(s step, outcome storeOutcome) {
	if outcome != storeDone && r.deleteFailures < maxDeleteFailures {
		r.deleteFailures++
		return
	}
	r.deleteFailures, r.deletions = 0, r.deletions[1:]
	r.first = max(r.first, s.window+1)
}

// onSent takes the result of stepSend. It reports whether the report is settled: accepted, or given up.
func (r *reports) onSent(s step, outcome sendOutcome, now time.Time, late bool) (settled bool) {
	w := r.open[s.window]
	if outcome == refused {
		w.refusals++
	}
	if outcome != accepted && w.refusals < maxRefusals {
		r.backOff(w, now, late)
		return false
	}
	w.phase, w.retryAt = reported, time.Time{}
	// More than one, so that windows which an earlier holder has left are deleted too.
	for range deletionsPerReport {
		if oldest := r.first + uint64(len(r.deletions)); oldest+keptWindows <= s.window {
			r.deletions = append(r.deletions, oldest)
		}
	}
	return true
}

func (r *reports) backOff(w *report, now time.Time, late bool) {
	limit := maxBackoff
	if late {
		limit = maxLateBackoff
	}
	w.retryAt = now.Add(min(limit, firstBackoff<<min(w.failures, 10)))
	w.failures++
}

// waiting returns the number of windows that have ended and are not reported.
func (r *reports) waiting() int {
	n := 0
	for _, w := range r.open {
		if w.phase != reported {
			n++
		}
	}
	return n
}
