// Package tally counts, by workspace and window of true time, the requests that replicas began to run, and merges the counts of all edges.
// Counts are state that merges: by edge, run of the edge, window and workspace the larger number wins.
package tally

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/truetime"
)

const (
	// SendInterval is how often changes are sent: an edge that is killed loses this much of a window.
	SendInterval = 200 * time.Millisecond
	// maxSettleTime is the longest time after the end of a window in which its counts are not final: a plain request that began in the
	// window is counted when its response arrives.
	maxSettleTime = 1500 * time.Millisecond
	// settleShare is the part of the time until a report is due that the counts may take to settle.
	settleShare = 0.15
	// finalSends is how often final counts are sent, because datagrams may be lost.
	finalSends = 3
	// candidates is the number of edges, in the order of their addresses, that get the counts besides the holder of the duties: one of
	// them becomes the next holder.
	candidates = 3
	// maxWindows is the number of windows before the current one that are kept: at 5 s a window, two minutes for a platform or store that
	// can't be reached.
	maxWindows = 24
	// maxAhead is the number of windows after the current one for which counts of other edges are accepted.
	maxAhead = 2
	// recentWindows is the number of windows whose counts an edge gets when it becomes one of the receivers: the running one, and those
	// that may not have been reported yet.
	recentWindows = 4
	// maxCounts bounds the counts of other edges; above it the oldest windows are dropped. It is eight windows of 5 s with 7,300
	// requests a second whose sources or workspaces are all different, 11 MB (37 bytes a count).
	maxCounts = 8 * 5 * 7300
	// maxNames bounds the names of workspaces that are shared by all counts.
	maxNames = 1 << 14
)

// Options configure a Counter.
type Options struct {
	// Edge is this edge's address, and Run the start of its process, in Unix milliseconds.
	Edge netip.Addr
	Run  uint64
	// Window is the length of a window.
	Window time.Duration
	// ReportBound is the time after the end of a window within which its report is due.
	ReportBound time.Duration
	Clock       *truetime.Clock
}

// Counter counts the requests that began, and merges the counts of other edges. It is safe for concurrent use.
type Counter struct {
	opts   Options
	self   Source
	settle time.Duration

	mu sync.Mutex
	// first is the window in which this process began to count.
	first uint64
	own   map[uint64]*ownWindow
	// others has the counts of other sources, by window.
	others map[uint64]map[Source]*otherWindow
	// heard has what is known of the other sources.
	heard map[Source]heardSource
	// counts is the number of counts in others.
	counts int
	// names has one copy of each name of a workspace in others.
	names map[string]string
	// holder is the edge that holds the duties; the zero value if it is not known.
	holder netip.Addr
	// receivers are the edges that get the counts with the runs of their processes, as of the last sends. The run is 0 if it is not known.
	receivers map[netip.Addr]uint64
	lastSend  time.Time
	// counted is the number of own counts, dropped that of windows dropped because there were too many counts.
	counted, dropped uint64
}

// ownWindow has this edge's counts in a window.
type ownWindow struct {
	counts map[string]ownCount
	sum    uint64
	// changed is set if a count is higher than what was sent.
	changed bool
	// finalSends is how often the final counts were sent.
	finalSends int
}

type ownCount struct{ number, sent uint64 }

// otherWindow has the counts of another source in a window.
type otherWindow struct {
	counts map[string]uint64
	sum    uint64
	// final is the sum of the final counts plus 1, or 0 before it is known.
	final uint64
}

// isFinal reports whether all of the source's counts have arrived.
func (w *otherWindow) isFinal() bool { return w.final > 0 && w.sum+1 >= w.final }

// heardSource is what is known of another source.
type heardSource struct {
	// first is the window in which the source began to count.
	first uint64
	// last is when the last message from the source arrived.
	last time.Time
}

// New returns a Counter. All times that its methods take are those of the boot-time clock.
func New(opts Options) *Counter {
	c := &Counter{
		opts: opts, self: Source{opts.Edge.String(), opts.Run}, settle: min(maxSettleTime, time.Duration(settleShare*float64(opts.ReportBound))),
		own: map[uint64]*ownWindow{}, others: map[uint64]map[Source]*otherWindow{}, heard: map[Source]heardSource{}, names: map[string]string{},
	}
	c.first = c.windowAt(opts.Clock.Now())
	return c
}

// windowAt returns the window of a true time.
func (c *Counter) windowAt(t time.Time) uint64 {
	return uint64(max(0, t.UnixNano()) / int64(c.opts.Window))
}

// Window returns the window of a time of the boot-time clock.
func (c *Counter) Window(now time.Time) uint64 { return c.windowAt(c.opts.Clock.At(now)) }

// Ends returns the time until the end of the window; it is negative after it.
func (c *Counter) Ends(window uint64) time.Duration { return c.endsAfter(window, c.opts.Clock.Now()) }

// endsAfter returns the time from a true time until the end of the window.
func (c *Counter) endsAfter(window uint64, t time.Time) time.Duration {
	if window >= math.MaxInt64/uint64(c.opts.Window) {
		return math.MaxInt64
	}
	return time.Duration(int64(window+1)*int64(c.opts.Window) - t.UnixNano())
}

// Began counts a request of the workspace that a replica began to run at the time. Requests without a workspace are not counted.
func (c *Counter) Began(workspace string, at time.Time) {
	if workspace == "" {
		return
	}
	window := c.Window(at)
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.ownWindow(window)
	n := w.counts[workspace]
	n.number++
	w.counts[workspace] = n
	w.sum++
	c.counted++
	w.changed, w.finalSends = true, 0
}

func (c *Counter) ownWindow(window uint64) *ownWindow {
	w := c.own[window]
	if w == nil {
		w = &ownWindow{counts: map[string]ownCount{}}
		c.own[window] = w
	}
	return w
}

// SetHolder sets the edge that holds the duties, which gets the counts; the zero value means that it is not known.
func (c *Counter) SetHolder(holder netip.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = holder
}

// Segments returns the counts of a window by source, in the order of the sources, with the own ones.
func (c *Counter) Segments(window uint64) []Segment {
	c.mu.Lock()
	defer c.mu.Unlock()
	var segments []Segment
	if w := c.own[window]; w != nil && len(w.counts) > 0 {
		counts := make(map[string]uint64, len(w.counts))
		for workspace, n := range w.counts {
			counts[workspace] = n.number
		}
		segments = append(segments, Segment{c.self, counts})
	}
	for source, w := range c.others[window] {
		if len(w.counts) > 0 {
			segments = append(segments, Segment{source, maps.Clone(w.counts)})
		}
	}
	slices.SortFunc(segments, func(a, b Segment) int { return compareSources(a.Source, b.Source) })
	return segments
}

func compareSources(a, b Source) int {
	addressA, _ := netip.ParseAddr(a.Edge)
	addressB, _ := netip.ParseAddr(b.Edge)
	if order := addressA.Compare(addressB); order != 0 {
		return order
	}
	switch {
	case a.Run < b.Run:
		return -1
	case a.Run > b.Run:
		return 1
	default:
		return 0
	}
}

// Final reports whether the own counts of the window have settled and the final counts of all live edges have arrived. An edge whose
// process began to count after the window has none in it.
func (c *Counter) Final(window uint64, live []string) bool {
	if c.Ends(window) > -c.settle {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, edge := range live {
		if edge != c.self.Edge && !c.isFinal(window, edge) {
			return false
		}
	}
	return true
}

// isFinal reports whether the final counts of the latest run of an edge have arrived.
func (c *Counter) isFinal(window uint64, edge string) bool {
	var latest Source
	for source, heard := range c.heard {
		// The runs of an edge whose time of day was set back don't grow.
		if source.Edge == edge && !heard.last.Before(c.heard[latest].last) {
			latest = source
		}
	}
	if c.heard[latest].first > window {
		return true
	}
	w := c.others[window][latest]
	return w != nil && w.isFinal()
}

// Merge applies a message of another edge, with the address of its sender.
func (c *Counter) Merge(from netip.Addr, m *Message, now time.Time) {
	current := c.Window(now)
	if m.Edge != 0 {
		from = addrFromUint32(m.Edge)
	}
	source := Source{from.String(), m.Run}
	c.mu.Lock()
	defer c.mu.Unlock()
	if source == c.self || !isKept(m.Window, current) || len(m.Workspaces) != len(m.Counts) {
		return
	}
	heard := c.heard[source]
	heard.first = m.Window - min(uint64(m.Age), m.Window)
	if m.Edge == 0 {
		heard.last = now
	}
	c.heard[source] = heard
	w := c.otherWindow(m.Window, source)
	for i, workspace := range m.Workspaces {
		if have, known := w.counts[workspace]; !known || m.Counts[i] > have {
			if !known {
				workspace = c.name(workspace)
				c.counts++
			}
			w.sum += m.Counts[i] - have
			w.counts[workspace] = m.Counts[i]
		}
	}
	w.final = max(w.final, m.Final)
	c.limit()
}

// isKept reports whether counts of the window are kept in the current one.
func isKept(window, current uint64) bool {
	return window+maxWindows >= current && window <= current+maxAhead
}

func (c *Counter) otherWindow(window uint64, source Source) *otherWindow {
	sources := c.others[window]
	if sources == nil {
		sources = map[Source]*otherWindow{}
		c.others[window] = sources
	}
	w := sources[source]
	if w == nil {
		w = &otherWindow{counts: map[string]uint64{}}
		sources[source] = w
	}
	return w
}

// name returns the one copy of a workspace's name.
func (c *Counter) name(workspace string) string {
	if known, ok := c.names[workspace]; ok {
		return known
	}
	if len(c.names) >= maxNames {
		clear(c.names)
	}
	c.names[workspace] = workspace
	return workspace
}

// limit drops the oldest windows of other edges while there are too many counts, but never the latest one.
func (c *Counter) limit() {
	for c.counts > maxCounts && len(c.others) > 1 {
		oldest := uint64(math.MaxUint64)
		for window := range c.others {
			oldest = min(oldest, window)
		}
		c.drop(oldest)
		c.dropped++
	}
}

func (c *Counter) drop(window uint64) {
	for _, w := range c.others[window] {
		c.counts -= len(w.counts)
	}
	delete(c.others, window)
}

// expire drops the windows that are no longer kept, and what is known of sources without any.
func (c *Counter) expire(current uint64) {
	for window := range c.own {
		if !isKept(window, current) {
			delete(c.own, window)
		}
	}
	known := map[Source]bool{}
	for window, sources := range c.others {
		if !isKept(window, current) {
			c.drop(window)
			continue
		}
		for source := range sources {
			known[source] = true
		}
	}
	maps.DeleteFunc(c.heard, func(s Source, _ heardSource) bool { return !known[s] })
}

// Stats describe a Counter, for metrics.
type Stats struct {
	// Counted is the number of requests counted by this edge.
	Counted uint64
	// Windows is the number of windows with counts, and Counts the number of counts of other edges.
	Windows, Counts int
	// Dropped is the number of windows that were dropped because there were too many counts.
	Dropped uint64
	// OldestNews is the longest time since the last message of a live edge that has sent one.
	OldestNews time.Duration
}

// Stats returns the current state. live are the other live edges.
func (c *Counter) Stats(now time.Time, live map[netip.Addr]uint64) Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Stats{Counted: c.counted, Windows: len(c.others), Counts: c.counts, Dropped: c.dropped}
	for window := range c.own {
		if c.others[window] == nil {
			s.Windows++
		}
	}
	latest := map[string]time.Time{}
	for source, heard := range c.heard {
		if heard.last.After(latest[source.Edge]) {
			latest[source.Edge] = heard.last
		}
	}
	for edge := range live {
		if at, ok := latest[edge.String()]; ok {
			s.OldestNews = max(s.OldestNews, now.Sub(at))
		}
	}
	return s
}
