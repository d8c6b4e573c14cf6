package duty

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// stepReports makes the next call of the holder and returns the time until the next one.
func (n *Node) stepReports(ctx context.Context) time.Duration {
	n.acting <- struct{}{}
	defer func() { <-n.acting }()
	now := n.opts.Clock()
	n.mu.Lock()
	acts := n.holds && !n.leaving && n.standBack == ""
	n.mu.Unlock()
	fence, remaining := n.lease.Remaining(now)
	if !acts {
		return idleWait
	}
	if remaining <= 0 {
		return pollInterval
	}
	if n.reports == nil || n.reports.holder.Fence != fence {
		if wait := n.newsWait(now); wait > 0 {
			return wait
		}
		n.begin(fence)
	}
	if n.isolated(now) {
		n.requestStandBack("others not heard")
		return pollInterval
	}
	s := step{kind: stepWait, wait: pollInterval}
	if n.opts.Duties.ReportUsage {
		s = n.reports.next(now, n.opts.Wall(), n.opts.Counts, func(ended time.Duration) []string { return n.edgesSince(now.Add(-ended - n.opts.Duties.Window)) })
		n.logSkipped()
	}
	if s.kind == stepWait {
		return min(s.wait, n.order(ctx, now))
	}
	wait := n.perform(ctx, s)
	n.lease.Attach(n.reports.state())
	return wait
}

// newsTime is the time after an acquisition, once the store has come back from an older copy, in which the other edges tell the holder
// which windows they know.
const newsTime = 500 * time.Millisecond

// newsWait returns for how long a new holder still waits for the other edges, because the store may lack what they know.
func (n *Node) newsWait(now time.Time) time.Duration {
	if n.opts.Store.Era() <= store.FirstEra {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.since.Add(newsTime).Sub(now)
}

// begin starts the work of a new term.
func (n *Node) begin(fence uint64) {
	attached, era := n.lease.Attached(), n.opts.Store.Era()
	n.reports = newReports(Holder{Name: n.opts.Name, Fence: fence}, n.opts.Duties.ReportBound, attached, n.startWindow, era, &n.known)
	if n.opts.Duties.ReportUsage && era > store.FirstEra {
		if isRestored(attached, era) {
			n.reports.recover(n.opts.Counts, n.opts.Wall(), n.mayBeLost)
			n.logSkipped()
		}
		n.reports.useKnown()
	}
	n.unreached = 0
	n.lease.Attach(n.reports.state())
	if n.opts.Orders != nil {
		n.opts.Orders.Begin()
	}
}

// mayBeLost reports whether another holder may have reported the window in the lost history although this edge does not know its usage.
// It can't have if the window ended in the new era; nor if this edge has heard all holders since its end, no other edge knows of the window,
// and at least one has said so, if there are others.
func (n *Node) mayBeLost(window uint64, ended time.Duration) bool {
	end := n.opts.Clock().Add(-ended)
	n.mu.Lock()
	eraSince, holderSince, heard := n.eraSince, n.since, n.heardBefore
	n.mu.Unlock()
	if len(n.opts.Live()) == 0 {
		holderSince = time.Time{}
	}
	if !end.Before(eraSince) {
		return false
	}
	return !heard.covers(end, eraSince) || n.known.mayHave(window, holderSince)
}

// order sends the next order, if there is one, and returns the time until the next step.
func (n *Node) order(ctx context.Context, now time.Time) time.Duration {
	if !n.opts.Duties.OrderReplicas || n.opts.Orders == nil {
		return pollInterval
	}
	o, ok := n.opts.Orders.Next(now)
	if !ok {
		return pollInterval
	}
	h, wait := n.permission(now)
	if wait > 0 {
		return wait
	}
	err := n.call(ctx, h, now, func(ctx context.Context) error {
		return n.opts.Platform.OrderReplicas(ctx, h, o.Service, o.Zone, o.Replicas)
	})
	n.opts.Orders.Sent(o, err, n.opts.Clock())
	if err != nil {
		n.opts.Log.Emit(eventlog.OrderFailed, eventlog.Service(o.Service), eventlog.Zone(o.Zone), eventlog.Count(o.Replicas), eventlog.Err(err))
		return firstBackoff
	}
	n.opts.Log.Emit(eventlog.ReplicasOrdered, eventlog.Service(o.Service), eventlog.Zone(o.Zone), eventlog.Count(o.Replicas), eventlog.Fence(h.Fence))
	return 0
}

// perform carries a step out and returns the time until the next one.
func (n *Node) perform(ctx context.Context, s step) time.Duration {
	switch s.kind {
	case stepSeal:
		n.seal(ctx, s)
	case stepRead:
		n.read(ctx, s)
	case stepSend:
		return n.send(ctx, s)
	case stepAmend:
		n.amend(ctx, s)
	case stepDelete:
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		err := n.opts.Store.Delete(ctx, store.Object{Kind: WindowKind, Name: WindowName(s.window)})
		n.reports.onDeleted(s, storeOutcomeOf(err, true))
	}
	return 0
}

// storeOutcomeOf returns the outcome of a store call. absentIsDone is set for deletions.
func storeOutcomeOf(err error, absentIsDone bool) storeOutcome {
	switch {
	case err == nil:
		return storeDone
	case errors.Is(err, store.ErrNotFound):
		if absentIsDone {
			return storeDone
		}
		return storeAbsent
	case errors.Is(err, store.ErrConflict):
		return storeConflict
	case errors.Is(err, store.ErrUnknown):
		return storeUnknown
	default:
		return storeFailed
	}
}

// encodeWindow returns the value of the window's object; with a segment for all edges together if it is too large otherwise.
func encodeWindow(w *Window) (json.RawMessage, error) {
	value, err := w.Encode()
	if err == nil && len(value) > maxWindowBytes {
		combined := w.Combined()
		value, err = combined.Encode()
	}
	return value, err
}

func (n *Node) seal(ctx context.Context, s step) {
	value, err := encodeWindow(s.content)
	if err != nil {
		n.opts.Log.Emit(eventlog.UsageFailed, eventlog.Window(s.window), eventlog.Err(err))
		n.reports.onStored(s, storeFailed, nil, stored{}, n.opts.Clock())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := n.opts.Store.Create(ctx, WindowKind, WindowName(s.window), value)
	outcome := storeOutcomeOf(err, false)
	if outcome == storeDone {
		n.opts.Log.Emit(eventlog.UsageSealed, eventlog.Window(s.window), eventlog.Count(len(s.content.Segments)), eventlog.Fence(n.reports.holder.Fence), eventlog.Complete(s.complete))
	} else if outcome != storeConflict {
		n.opts.Log.Emit(eventlog.UsageFailed, eventlog.Window(s.window), eventlog.Err(err))
	}
	n.reports.onStored(s, outcome, nil, stored{obj.Version}, n.opts.Clock())
	n.announceSealed(s.window)
}

// announceSealed tells the other edges the usage of a window before it is reported. An edge that has lost the lease meanwhile may have sealed
// it in another history of the store than the one in which a later holder has reported it.
func (n *Node) announceSealed(window uint64) {
	fence, remaining := n.lease.Remaining(n.opts.Clock())
	if w := n.reports.open[window]; w != nil && w.phase == sealed && remaining > 0 && fence == n.reports.holder.Fence {
		n.announceWindow(w.content, false)
	}
}

func (n *Node) announceWindow(content *Window, reported bool) {
	for _, news := range n.known.record(content, reported) {
		n.opts.AnnounceWindow(news)
	}
}

func (n *Node) read(ctx context.Context, s step) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := n.opts.Store.Get(ctx, WindowKind, WindowName(s.window))
	outcome := storeOutcomeOf(err, false)
	var content *Window
	if outcome == storeDone {
		decoded, decodeErr := DecodeWindow(obj.Value)
		if err = decodeErr; err != nil {
			outcome = storeFailed
		}
		content = &decoded
	}
	if outcome == storeDone {
		obj, outcome = n.replaceUnknown(ctx, s.window, content, obj)
	}
	if err != nil && outcome != storeAbsent {
		n.opts.Log.Emit(eventlog.UsageFailed, eventlog.Window(s.window), eventlog.Err(err))
	}
	n.reports.onStored(s, outcome, content, stored{obj.Version}, n.opts.Clock())
	n.announceSealed(s.window)
}

// replaceUnknown writes a window as an earlier holder has sealed it in a lost history of the store, if somebody else has sealed it with
// other counts since.
func (n *Node) replaceUnknown(ctx context.Context, window uint64, have *Window, obj store.Object) (store.Object, storeOutcome) {
	w := n.reports.open[window]
	if !w.known || maps.Equal(have.Sum, w.content.Sum) {
		return obj, storeDone
	}
	value, err := encodeWindow(w.content)
	if err != nil {
		return obj, storeFailed
	}
	written, err := n.opts.Store.Update(ctx, store.Object{Kind: WindowKind, Name: WindowName(window), Version: obj.Version, Value: value})
	if outcome := storeOutcomeOf(err, false); outcome != storeDone {
		return obj, storeFailed
	}
	return written, storeDone
}

func (n *Node) amend(ctx context.Context, s step) {
	defer n.reports.onAmended(s)
	value, err := s.content.Encode()
	if err != nil || len(value) > maxWindowBytes {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = n.opts.Store.Update(ctx, store.Object{Kind: WindowKind, Name: WindowName(s.window), Version: s.object.version, Value: value})
	n.opts.Log.Emit(eventlog.UsageDiffers, eventlog.Window(s.window), eventlog.Count(len(s.content.Late)), eventlog.Err(err))
}

// send reports a window, and returns the time until the next step.
func (n *Node) send(ctx context.Context, s step) time.Duration {
	now := n.opts.Clock()
	h, wait := n.permission(now)
	if wait > 0 {
		return wait
	}
	err := n.call(ctx, h, now, func(ctx context.Context) error { return n.opts.Platform.ReportUsage(ctx, h, s.window, s.content.Sum) })
	late := n.reports.late(s.window, n.opts.Counts)
	settled := n.reports.onSent(s, outcomeOf(err), n.opts.Clock(), late)
	if err == nil {
		n.announceWindow(s.content, true)
	}
	n.logSent(s.window, err, settled, late)
	return 0
}

// permission returns the Holder for a call that begins now, or the time after which to ask again. The lease is checked here, right
// before each call, and its end bounds the call.
func (n *Node) permission(now time.Time) (h Holder, wait time.Duration) {
	if wait := n.lastCall.Add(n.spacing()).Sub(now); wait > 0 {
		return Holder{}, wait
	}
	fence, remaining := n.lease.Remaining(now)
	timeout := min(callTimeout, remaining-callMargin)
	if fence != n.reports.holder.Fence || timeout < minCallTime {
		return Holder{}, pollInterval
	}
	return Holder{Name: n.opts.Name, Fence: fence, Until: now.Add(timeout)}, 0
}

// call makes one call to the platform.
func (n *Node) call(ctx context.Context, h Holder, now time.Time, run func(context.Context) error) error {
	n.lastCall = now
	ctx, cancel := context.WithTimeout(ctx, h.Until.Sub(now))
	defer cancel()
	err := run(ctx)
	n.onReached(outcomeOf(err), n.opts.Clock())
	return err
}

// spacing is the time between two calls to the platform.
func (n *Node) spacing() time.Duration {
	if n.opts.Duties.CallsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / (n.opts.Duties.CallsPerSecond * rateShare))
}

// onReached records whether the platform has responded, and stands back after several calls without a response while other edges
// may reach it.
func (n *Node) onReached(outcome sendOutcome, now time.Time) {
	switch outcome {
	case unknown:
		n.unknownAt = now
	case notSent:
	default:
		n.unreached, n.reports.away = 0, 0
		return
	}
	n.unreached++
	n.mu.Lock()
	since := n.since
	n.mu.Unlock()
	if n.unreached < unreachableCalls || len(n.opts.Live()) == 0 || n.reports.away >= maxAway && now.Sub(since) < awayTime {
		return
	}
	n.reports.away++
	n.requestStandBack("platform not reached")
}

// requestStandBack lets the other edges have the lease, if this edge has not lost it meanwhile.
func (n *Node) requestStandBack(reason string) {
	n.mu.Lock()
	if n.holds {
		n.standBack = reason
	}
	n.mu.Unlock()
	wakeUp(n.wakeLease)
}

// isolated records which edges are live, and reports whether this edge hears far fewer of them than before.
func (n *Node) isolated(now time.Time) bool {
	maps.DeleteFunc(n.edges, func(_ string, at time.Time) bool { return now.Sub(at) > isolationSpan })
	live := n.opts.Live()
	for _, edge := range live {
		n.edges[edge] = now
	}
	return float64(len(live)) < isolationShare*float64(len(n.edges))
}

// edgesSince returns the edges that were live at a time or later.
func (n *Node) edgesSince(since time.Time) []string {
	var list []string
	for edge, at := range n.edges {
		if !at.Before(since) {
			list = append(list, edge)
		}
	}
	return list
}

func (n *Node) logSkipped() {
	if skipped := n.reports.skipped; skipped > 0 {
		n.reports.skipped = 0
		n.opts.Log.Emit(eventlog.UsageSkipped, eventlog.Count(int(skipped)))
		n.opts.Metrics.UsageWindows("skipped", int(skipped))
	}
}

func (n *Node) logSent(window uint64, err error, settled, late bool) {
	switch {
	case err == nil && late:
		n.opts.Log.Emit(eventlog.UsageLate, eventlog.Window(window), eventlog.Fence(n.reports.holder.Fence))
		n.opts.Metrics.UsageWindows("late", 1)
	case err == nil:
		n.opts.Log.Emit(eventlog.UsageReported, eventlog.Window(window), eventlog.Fence(n.reports.holder.Fence))
		n.opts.Metrics.UsageWindows("reported", 1)
	case settled:
		n.opts.Log.Emit(eventlog.UsageRefused, eventlog.Window(window), eventlog.Err(err))
		n.opts.Metrics.UsageWindows("refused", 1)
	default:
		n.opts.Log.Emit(eventlog.UsageFailed, eventlog.Window(window), eventlog.Err(err))
	}
}
