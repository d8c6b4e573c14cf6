package duty

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/tally"
)

const (
	// knownWindows is the number of windows whose usage each edge keeps in mind after they were sealed: five minutes with windows of
	// 5 s. A copy from which the store comes back is some seconds old.
	knownWindows = 64
	// toldWindows is the number of these that an edge sends to the first holder in a new era.
	toldWindows = 12
	// maxKnownBytes bounds the names in one WindowNews, so that it fits into a datagram.
	maxKnownBytes = 900
	// countBytes is what a count takes in a WindowNews beside its name.
	countBytes = 12
)

// WindowNews tells other edges the usage of a window that its holder has sealed and is about to report, or has reported. All edges keep
// it, because the store may come back from a copy that lacks it. A window with many workspaces takes several.
type WindowNews struct {
	_      struct{} `cbor:",toarray"`
	Window uint64
	// Holder is the edge that sealed the window, and Fence its fencing number at that time.
	Holder string
	Fence  uint64
	// Total is the sum of all counts of the window, and Workspaces the number of workspaces with one.
	Total, Workspaces uint64
	Reported          bool
	Names             []string
	Counts            []uint64
	// Told is set in what an edge tells a new holder, with the numbers of all windows that it knows in Known.
	Told  bool
	Known []uint64
}

// knownWindow is what an edge knows of a sealed window.
type knownWindow struct {
	holder            string
	fence             uint64
	total, workspaces uint64
	counts            map[string]uint64
	reported          bool
}

// complete reports whether all counts are known.
func (k *knownWindow) complete() bool {
	sum := uint64(0)
	for _, n := range k.counts {
		sum += n
	}
	return uint64(len(k.counts)) == k.workspaces && sum == k.total
}

// content returns the window with one segment for all edges.
func (k *knownWindow) content(number uint64) *Window {
	w := Window{Number: number, Holder: k.holder, Fence: k.fence, Sum: maps.Clone(k.counts)}
	w.Segments = []tally.Segment{{Source: tally.Source{Edge: combinedEdge}, Counts: maps.Clone(k.counts)}}
	return &w
}

// knownUsage is the usage of the latest sealed windows. It is safe for concurrent use.
type knownUsage struct {
	mu      sync.Mutex
	windows map[uint64]*knownWindow
	// listed are windows that other edges know, whether or not their usage has arrived here, and toldAt when the last of them told so.
	listed map[uint64]bool
	toldAt time.Time
}

// record keeps the usage of a window that this edge has sealed or read, and returns the news of it.
func (u *knownUsage) record(w *Window, reported bool) []WindowNews {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := u.windows[w.Number]
	if k == nil || !k.complete() {
		k = &knownWindow{holder: w.Holder, fence: w.Fence, workspaces: uint64(len(w.Sum)), counts: maps.Clone(w.Sum)}
		for _, n := range w.Sum {
			k.total += n
		}
		u.keep(w.Number, k)
	}
	k.reported = k.reported || reported
	return k.news(w.Number)
}

// keep adds a window and drops the oldest ones.
func (u *knownUsage) keep(number uint64, k *knownWindow) {
	if u.windows == nil {
		u.windows = map[uint64]*knownWindow{}
	}
	u.windows[number] = k
	for len(u.windows) > knownWindows {
		delete(u.windows, slices.Min(slices.Collect(maps.Keys(u.windows))))
	}
}

// hear applies the news of another edge. What is known first counts: a holder tells it before it reports the window.
func (u *knownUsage) hear(n *WindowNews, now time.Time) {
	if len(n.Names) != len(n.Counts) || n.Workspaces > maxNewsWorkspaces || len(n.Known) > toldWindows {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if n.Told {
		u.hearList(n.Known, now)
	}
	if n.Window == 0 {
		return
	}
	k := u.windows[n.Window]
	if k == nil || !k.complete() && k.fence < n.Fence {
		k = &knownWindow{holder: n.Holder, fence: n.Fence, total: n.Total, workspaces: n.Workspaces, counts: map[string]uint64{}}
		u.keep(n.Window, k)
	}
	if k.fence != n.Fence || k.total != n.Total || k.workspaces != n.Workspaces {
		return // another one was known first
	}
	k.reported = k.reported || n.Reported
	for i, name := range n.Names {
		k.counts[strings.Clone(name)] = n.Counts[i]
	}
}

// hearList records which windows another edge knows. u.mu must be locked.
func (u *knownUsage) hearList(windows []uint64, now time.Time) {
	if u.listed == nil || len(u.listed) > knownWindows {
		u.listed = map[uint64]bool{}
	}
	u.toldAt = now
	for _, window := range windows {
		u.listed[window] = true
	}
}

// mayHave reports whether a window of which no usage is known here may have been sealed: another edge knows of it, or a later one was, or
// no edge has told this one what it knows since a time.
func (u *knownUsage) mayHave(number uint64, since time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listed[number] || u.toldAt.Before(since) {
		return true
	}
	for known := range u.windows {
		if known > number {
			return true
		}
	}
	return false
}

// maxNewsWorkspaces bounds the workspaces of one window in memory.
const maxNewsWorkspaces = 1 << 14

// get returns the content of a window whose usage is known, and whether it is known to be reported.
func (u *knownUsage) get(number uint64) (content *Window, reported bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := u.windows[number]
	if k == nil || !k.complete() {
		return nil, false
	}
	return k.content(number), k.reported
}

// content returns the content of a window whose usage is known, or nil.
func (u *knownUsage) content(number uint64) *Window {
	content, _ := u.get(number)
	return content
}

// latest returns the numbers of the latest windows, in their order.
func (u *knownUsage) latest() []uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	numbers := slices.Sorted(maps.Keys(u.windows))
	return numbers[max(0, len(numbers)-toldWindows):]
}

// recent returns the news of the latest windows, for a new holder. Each has the numbers of all of them.
func (u *knownUsage) recent() []WindowNews {
	numbers := u.latest()
	u.mu.Lock()
	defer u.mu.Unlock()
	news := []WindowNews{{}}
	for _, number := range numbers {
		if k := u.windows[number]; k != nil && k.complete() {
			news = append(news, k.news(number)...)
		}
	}
	for i := range news {
		news[i].Told, news[i].Known = true, numbers
	}
	return news
}

// news returns what to tell other edges.
func (k *knownWindow) news(number uint64) []WindowNews {
	head := WindowNews{Window: number, Holder: k.holder, Fence: k.fence, Total: k.total, Workspaces: k.workspaces, Reported: k.reported}
	list, size := []WindowNews{head}, 0
	for _, name := range slices.Sorted(maps.Keys(k.counts)) {
		last := &list[len(list)-1]
		if size += len(name) + countBytes; size > maxKnownBytes && len(last.Names) > 0 {
			list, size = append(list, head), len(name)+countBytes
			last = &list[len(list)-1]
		}
		last.Names, last.Counts = append(last.Names, name), append(last.Counts, k.counts[name])
	}
	return list
}
