package duty

import (
	"context"
	"crypto/rand"
	"encoding/json"
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
	// TrueTime is the time of day, as far as the edges agree on it.
	TrueTime func() time.Time
	// Rank returns the number of live edges before this one in the order of addresses, Live the addresses of the other live edges.
	Rank func() int
	Live func() []string
	// Announce sends an Announcement to the other edges, AnnounceWindow the usage of a window, and TellWindow the latter to one of them.
	Announce       func(Announcement)
	AnnounceWindow func(WindowNews)
	TellWindow     func(to string, news WindowNews)
	Log            *eventlog.Log
	Metrics        *metrics.Metrics
}

// holding is the lease of the duties; *lease.Lease implements it.
type holding interface {
	Acquire(ctx context.Context) (fence uint64, err error)
	Renew(ctx context.Context) error
	Release(ctx context.Context) error
	Abandon()
	Heard(write store.Position, fence uint64)
	Held(now time.Time) (fence uint64, ok bool)
	Remaining(now time.Time) (fence uint64, remaining time.Duration)
	Position() store.Position
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
	// holder is the address of the current holder as last heard, holderPosition that of the lease's write that it has announced.
	holder         string
	holderPosition store.Position
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

	// known is the usage of the latest sealed windows, also of those that other edges have sealed.
	known knownUsage
	// era is the latest era of the store that this edge has noticed, and eraSince when.
	era      uint64
	eraSince time.Time
	// hearing is how well this edge has heard the holders, and heardBefore how well at the end of the era before.
	hearing, heardBefore hearing

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
			Store: o.Store, Name: LeaseName, Holder: o.Name + "@" + o.Address, Duration: duration, Clock: o.Clock, Time: o.TrueTime, Term: rand.Text,
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
	return Status{Holder: n.holder, Fence: fence, Version: n.holderPosition.Revision}
}

// Heard applies an announcement of another edge.
func (n *Node) Heard(from string, a Announcement) {
	write := store.Position{Era: a.Era, Revision: a.Version}
	n.lease.Heard(write, a.Fence)
	if n.hear(from, write, a.Released) && a.Era > store.FirstEra {
		// The store may lack what earlier holders have sealed and reported.
		for _, news := range n.known.recent() {
			n.opts.TellWindow(from, news)
		}
	}
}

// hear records the announcement of a holder, and reports whether it is a new one.
func (n *Node) hear(from string, write store.Position, released bool) (newHolder bool) {
	heardAt := n.opts.Clock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.holderPosition.Before(write) {
		return false
	}
	n.noteEra(write.Era, heardAt)
	n.hearing.heard(heardAt)
	newHolder = n.holder != from || n.holderPosition.Era < write.Era
	n.holder, n.holderPosition = from, write
	now := n.opts.Clock()
	if released {
		n.holder = ""
		n.election.released(now)
		wakeUp(n.wakeLease)
		return false
	}
	n.election.heard(now)
	return newHolder
}

// HeardWindow applies the usage of a window that another edge knows.
func (n *Node) HeardWindow(news WindowNews) { n.known.hear(&news, n.opts.Clock()) }

// noteEra records the era of the store. n.mu must be locked.
func (n *Node) noteEra(era uint64, now time.Time) {
	if era > n.era {
		n.era, n.eraSince, n.heardBefore = era, now, n.hearing
	}
}

// maxSilence is the longest time between two announcements of holders in which no other edge can have become the holder unheard: it is
// above the time between renewals, some of which may fail, and below the duration of a lease.
const maxSilence = 2500 * time.Millisecond

// hearing is what an edge has heard of the holders' announcements, with its own ones.
type hearing struct {
	// last is when the latest one was heard, and since the start of the latest time without a longer silence than maxSilence.
	last, since time.Time
}

func (h *hearing) heard(now time.Time) {
	if h.last.IsZero() || now.Sub(h.last) > maxSilence {
		h.since = now
	}
	h.last = now
}

// covers reports whether all holders were heard from a time until the store went away, before an edge noticed at the end that it had come
// back.
func (h *hearing) covers(from, end time.Time) bool {
	return !h.last.IsZero() && !h.since.After(from) && end.Sub(h.last) <= maxOutage
}

// maxOutage is the longest time from the last announcement to the new era in which nobody can have acquired the lease: its duration, and
// what passes until an edge notices the era.
const maxOutage = 4 * time.Second

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
