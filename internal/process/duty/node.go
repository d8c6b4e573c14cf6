package duty

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/lease"
	"github.com/dragonflypin/dragonflypin/internal/process/metrics"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// LeaseName is the name of the lease of all duties.
const LeaseName = "duties"

const (
	// renewalsPerLease is the number of renewals in the duration of a lease. A holder stops acting after two thirds of it, so one
	// renewal may fail.
	renewalsPerLease = 3
	// renewRetry is the time between attempts while renewals fail, and resumeRetry that after the lease has ended.
	renewRetry  = 150 * time.Millisecond
	resumeRetry = 400 * time.Millisecond
	// storeTimeout is the timeout of a call for a window. The store's responses take 4 ms, or 240 ms while it is slow.
	storeTimeout = time.Second
	// callTimeout is the timeout of a call to the platform.
	callTimeout = 1800 * time.Millisecond
	// callMargin is the time that the lease must still be valid for at the end of a call's timeout.
	callMargin = 50 * time.Millisecond
	// minCallTime is the least time for which a call is made: a new connection and a response of a slow platform.
	minCallTime = 300 * time.Millisecond
	// rateShare is the share of the rate of calls that a holder uses. The rest is left to the previous holder's last second.
	rateShare = 0.5
	// idleWait is the wait of a loop that is woken when there is something to do.
	idleWait = time.Second
	// unreachableCalls is the number of calls in a row without a response after which a holder stands back.
	unreachableCalls = 2
	// maxAway is the number of holders in a row that stand back at once. After that the platform itself is taken to be down, and a
	// holder tries for awayTime.
	maxAway  = 3
	awayTime = 10 * time.Second
	// isolationShare is the share of the edges heard within isolationSpan below which a holder stands back: it would seal windows without
	// the counts of the others.
	isolationShare = 0.5
	isolationSpan  = 30 * time.Second
	// maxWindowBytes leaves room for the metadata of a window's object.
	maxWindowBytes = store.MaxValue - 4<<10
	// releaseTimeout bounds the release of the lease.
	releaseTimeout = time.Second
	// defaultLease is used where the platform names no time within which two holders must not act in turns.
	defaultLease = 3 * time.Second
)

// Options configure a Node.
type Options struct {
	Duties settings.Duties
	// Name is the edge's name in calls, Address identifies its machine.
	Name, Address string
	Store         store.Client
	Platform      Platform
	Counts        Counts
	// Orders may be nil.
	Orders Orders
	// Clock is boottime.Now; Wall is time.Now, for Counts.
	Clock, Wall func() time.Time
	// Rank returns the number of live edges before this one in the order of addresses, Live the addresses of the other live edges.
	Rank func() int
	Live func() []string
	// Announce sends an Announcement to the other edges.
	Announce func(Announcement)
	Log      *eventlog.Log
	Metrics  *metrics.Metrics
}

// holding is the lease of the duties; *lease.Lease implements it.
type holding interface {
	Acquire(ctx context.Context) (fence uint64, err error)
	Renew(ctx context.Context) error
	Release(ctx context.Context) error
	Abandon()
	Heard(version uint64)
	Held(now time.Time) (fence uint64, ok bool)
	Remaining(now time.Time) (fence uint64, remaining time.Duration)
	Version() uint64
	Attach(value json.RawMessage)
	Attached() json.RawMessage
}

var _ holding = (*lease.Lease)(nil)

// Node takes part in the election of the holder of all duties, and performs them while it is the holder. Create it only where the
// settings name a duty. It is safe for concurrent use.
type Node struct {
	opts  Options
	lease holding
	// duration is that of the lease.
	duration time.Duration
	// wakeLease and wakeReports wake the loops.
	wakeLease, wakeReports chan struct{}
	// acting has an element during each call of the reporter, so that the lease is not released during one.
	acting chan struct{}

	mu       sync.Mutex
	election election
	// holder is the address of the current holder as last heard, holderVersion the version that it has announced.
	holder        string
	holderVersion uint64
	// holds is set from an acquisition to the loss of the lease, fence its number, since its time, and renewAt the next renewal.
	holds   bool
	fence   uint64
	since   time.Time
	renewAt time.Time
	// leaving is set once the process stops; left is closed once the lease has been given up after that. standBack is the reason for
	// which this edge gives the lease up to the others, or empty.
	leaving   bool
	left      chan struct{}
	leftOnce  sync.Once
	standBack string

	// started is when this edge began to take part, on the clock of Counts, and startWindow the first window to report if there was no
	// holder before.
	started     time.Time
	startWindow uint64

	// The fields below are used by the holder of acting.
	reports   *reports
	edges     map[string]time.Time
	lastCall  time.Time
	unreached int
	// unknownAt is the time of the last call with an unknown outcome.
	unknownAt time.Time
}

// New returns a Node.
func New(o Options) *Node {
	duration := o.Duties.Lease
	if duration <= 0 {
		duration = defaultLease
	}
	return &Node{
		opts: o, duration: duration,
		lease: lease.New(lease.Settings{
			Store: o.Store, Name: LeaseName, Holder: o.Name + "@" + o.Address, Duration: duration, Clock: o.Clock, Term: rand.Text,
		}),
		wakeLease: make(chan struct{}, 1), wakeReports: make(chan struct{}, 1), acting: make(chan struct{}, 1), left: make(chan struct{}),
		edges: map[string]time.Time{},
	}
}

// Run takes part until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.election = newElection(n.duration, n.opts.Clock())
	n.mu.Unlock()
	n.started = n.opts.Wall()
	var loops sync.WaitGroup
	loops.Go(func() { n.loop(ctx, n.wakeLease, n.stepLease) })
	loops.Go(func() { n.loop(ctx, n.wakeReports, n.stepReports) })
	loops.Wait()
}

// loop calls step until ctx ends, each time after the wait that it returned or when it is woken.
func (n *Node) loop(ctx context.Context, wake <-chan struct{}, step func(context.Context) time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
		timer.Reset(step(ctx))
	}
}

func wakeUp(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default: // it is being woken
	}
}

// Holder returns the address of the edge that holds the duties, as far as this edge knows; empty for none.
func (n *Node) Holder() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder
}

// Fence returns the fencing number if this edge may act as the holder now.
func (n *Node) Fence() (fence uint64, ok bool) {
	fence, remaining := n.lease.Remaining(n.opts.Clock())
	return fence, remaining > 0
}

// Status is what an edge knows of the duties.
type Status struct {
	// Holder is the address of the holder, or empty.
	Holder string `json:"holder"`
	// Fence is this edge's fencing number while it may act, 0 otherwise.
	Fence uint64 `json:"fence"`
	// Version is the version of the lease that was announced last.
	Version uint64 `json:"lease_version"`
}

// Status returns what this edge knows of the duties.
func (n *Node) Status() Status {
	fence, _ := n.Fence()
	n.mu.Lock()
	defer n.mu.Unlock()
	return Status{Holder: n.holder, Fence: fence, Version: n.holderVersion}
}

// Heard applies an announcement of another edge.
func (n *Node) Heard(from string, a Announcement) {
	n.lease.Heard(a.Version)
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Version <= n.holderVersion {
		return
	}
	n.holder, n.holderVersion = from, a.Version
	now := n.opts.Clock()
	if a.Released {
		n.holder = ""
		n.election.released(now)
		wakeUp(n.wakeLease)
		return
	}
	n.election.heard(now)
}

// Leave gives up the lease and takes no further part. It returns when the lease has been given up, or when ctx ends.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	wakeUp(n.wakeLease)
	select {
	case <-n.left:
	case <-ctx.Done():
	}
}

// stepLease renews the lease, competes for it, or gives it up, and returns the time until the next step.
func (n *Node) stepLease(ctx context.Context) time.Duration {
	n.mu.Lock()
	holds, leaving, standBack, renewAt := n.holds, n.leaving, n.standBack, n.renewAt
	n.mu.Unlock()
	now := n.opts.Clock()
	switch {
	case holds && (leaving || standBack != ""):
		n.giveUp(ctx, standBack)
	case holds:
		if wait := renewAt.Sub(now); wait > 0 {
			return wait
		}
		return n.renew(ctx)
	case leaving:
	default:
		return n.compete(ctx, now)
	}
	if leaving {
		n.leftOnce.Do(func() { close(n.left) })
	}
	return idleWait
}

// renew renews the lease and returns the time until the next renewal.
func (n *Node) renew(ctx context.Context) time.Duration {
	err := n.lease.Renew(ctx)
	now := n.opts.Clock()
	fence, held := n.lease.Held(now)
	switch {
	case err == nil && held:
		n.announce(fence, false)
		n.setRenewal(now.Add(n.duration / renewalsPerLease))
		return n.duration / renewalsPerLease
	case errors.Is(err, lease.ErrLost):
		n.lost("replaced", now)
		return 0
	case !held:
		n.lost("expired", now)
		return 0
	default:
		n.setRenewal(now.Add(renewRetry))
		return renewRetry
	}
}

func (n *Node) setRenewal(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.renewAt = at
}

// lost records that this edge no longer holds the lease. It competes at once: if nobody has acquired the lease, it goes on.
func (n *Node) lost(reason string, now time.Time) {
	n.mu.Lock()
	fence := n.fence
	n.holds, n.standBack, n.holder = false, "", ""
	if reason == "replaced" {
		n.election.heard(now)
	} else {
		n.election.released(now)
	}
	n.mu.Unlock()
	n.opts.Metrics.DutyHolder(false, fence)
	n.opts.Log.Emit(eventlog.DutiesLost, eventlog.Fence(fence), eventlog.Reason(reason))
}

// compete tries to acquire the lease when it is this edge's turn.
func (n *Node) compete(ctx context.Context, now time.Time) time.Duration {
	rank := n.opts.Rank()
	n.mu.Lock()
	wait := n.election.wait(now, rank)
	n.mu.Unlock()
	if wait > 0 {
		return min(wait, idleWait) // the rank may change
	}
	n.chooseStart()
	fence, err := n.lease.Acquire(ctx)
	now = n.opts.Clock()
	n.mu.Lock()
	switch {
	case err == nil:
		n.holds, n.fence, n.since = true, fence, now
		n.holder, n.holderVersion = n.opts.Address, n.lease.Version()
		n.renewAt = now.Add(n.duration / renewalsPerLease)
	case errors.Is(err, lease.ErrHeld):
		n.election.heard(now)
	default:
		n.election.failed(now, rank)
	}
	n.mu.Unlock()
	if err != nil {
		if !errors.Is(err, lease.ErrHeld) {
			return resumeRetry
		}
		return idleWait
	}
	n.announce(fence, false)
	n.opts.Metrics.DutyHolder(true, fence)
	n.opts.Log.Emit(eventlog.DutiesAcquired, eventlog.Fence(fence))
	wakeUp(n.wakeReports)
	return n.duration / renewalsPerLease
}

// chooseStart sets the window that this edge begins with if there was no holder before. It is not set at the start of the process, when
// the time of day of this machine is the only one that it knows.
func (n *Node) chooseStart() {
	d := n.opts.Duties
	n.mu.Lock()
	held := n.fence != 0
	n.mu.Unlock()
	if !d.ReportUsage || held {
		return
	}
	// Other edges may have started before this one without becoming the holder. Windows whose report was not due yet when this edge
	// started are reported too.
	n.startWindow = n.opts.Counts.Window(n.started.Add(-d.ReportBound))
	n.lease.Attach(newReports(Holder{}, d.ReportBound, nil, n.startWindow).state())
}

// giveUp ends this edge's term. The lease is released only if no call may still arrive at the platform; otherwise it expires.
func (n *Node) giveUp(ctx context.Context, standBack string) {
	n.acting <- struct{}{} // no call is under way now, and none begins before holds is unset
	now := n.opts.Clock()
	settled := n.unknownAt.IsZero() || now.Sub(n.unknownAt) >= n.duration
	n.unreached = 0
	clear(n.edges)
	n.mu.Lock()
	fence := n.fence
	n.holds, n.standBack, n.holder = false, "", ""
	if standBack != "" {
		n.election.standBack(now)
	}
	n.mu.Unlock()
	if !settled {
		n.lease.Abandon()
	}
	<-n.acting
	reason := "stop"
	if standBack != "" {
		reason = standBack
	}
	if settled {
		releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		if err := n.lease.Release(releaseCtx); err == nil {
			n.announce(fence, true)
		}
	}
	n.opts.Metrics.DutyHolder(false, fence)
	n.opts.Log.Emit(eventlog.DutiesReleased, eventlog.Fence(fence), eventlog.Reason(reason), eventlog.Settled(settled))
}

func (n *Node) announce(fence uint64, released bool) {
	n.opts.Announce(Announcement{Version: n.lease.Version(), Fence: fence, Released: released})
}

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

// begin starts the work of a new term.
func (n *Node) begin(fence uint64) {
	n.reports = newReports(Holder{Name: n.opts.Name, Fence: fence}, n.opts.Duties.ReportBound, n.lease.Attached(), n.startWindow)
	n.unreached = 0
	n.lease.Attach(n.reports.state())
	if n.opts.Orders != nil {
		n.opts.Orders.Begin()
	}
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
	if err != nil && outcome != storeAbsent {
		n.opts.Log.Emit(eventlog.UsageFailed, eventlog.Window(s.window), eventlog.Err(err))
	}
	n.reports.onStored(s, outcome, content, stored{obj.Version}, n.opts.Clock())
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
