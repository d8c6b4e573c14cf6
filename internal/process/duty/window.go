// Package duty performs the calls to the platform that are the duty of one edge at a time: an election decides by a lease in the
// store which edge holds the duties, and its holder reports the usage of each window once.
package duty

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/dragonflypin/dragonflypin/internal/process/tally"
)

// WindowKind is the store kind of the objects with the usage of a window. A window's object is created once, before its sum is
// reported. Only its late segments change after that.
const WindowKind = "usage-window"

// nameDigits is the length of an object's name, so that the order of names is the order of windows. Windows of 1 ms would need
// 13 digits.
const nameDigits = 13

// WindowName returns the name of a window's object.
func WindowName(number uint64) string { return fmt.Sprintf("%0*d", nameDigits, number) }

// ParseWindowName returns the number of the window whose object has the name.
func ParseWindowName(name string) (uint64, error) { return strconv.ParseUint(name, 10, 64) }

// Window is the usage of one window as it was reported, with the counts that it was summed from.
type Window struct {
	// Number is the window's number: it begins Number times the length of a window after the start of 1970.
	Number uint64
	// Holder is the edge that sealed the window, and Fence its fencing number at that time.
	Holder string
	Fence  uint64
	// Segments are the counts that were known when the window was sealed.
	Segments []tally.Segment
	// Sum is what is reported: the sum of Segments by workspace.
	Sum map[string]uint64
	// Late has counts that became known after the seal and exceed those of the same source in Segments. Each has all of its
	// source's counts in the window, also those that are in Segments.
	Late []tally.Segment
}

// SumOf returns the sum of segments by workspace, without workspaces whose sum is 0.
func SumOf(segments []tally.Segment) map[string]uint64 {
	sum := map[string]uint64{}
	for _, s := range segments {
		for workspace, n := range s.Counts {
			if n > 0 {
				sum[workspace] += n
			}
		}
	}
	return sum
}

// NewWindow returns the Window to seal: the segments and their sum.
func NewWindow(number uint64, holder string, fence uint64, segments []tally.Segment) Window {
	return Window{Number: number, Holder: holder, Fence: fence, Segments: segments, Sum: SumOf(segments)}
}

// AddLate merges segments that became known after the seal into Late, and reports whether that changed it. For each source and
// workspace the larger number counts.
func (w *Window) AddLate(segments []tally.Segment) bool {
	known := map[tally.Source]map[string]uint64{}
	for _, list := range [][]tally.Segment{w.Segments, w.Late} {
		for _, s := range list {
			known[s.Source] = mergeCounts(known[s.Source], s.Counts)
		}
	}
	changed := false
	for _, s := range segments {
		if exceeds(s.Counts, known[s.Source]) {
			known[s.Source] = mergeCounts(known[s.Source], s.Counts)
			w.Late = slices.DeleteFunc(w.Late, func(l tally.Segment) bool { return l.Source == s.Source })
			w.Late = append(w.Late, tally.Segment{Source: s.Source, Counts: known[s.Source]})
			changed = true
		}
	}
	return changed
}

func mergeCounts(a, b map[string]uint64) map[string]uint64 {
	merged := make(map[string]uint64, max(len(a), len(b)))
	maps.Copy(merged, a)
	for workspace, n := range b {
		merged[workspace] = max(merged[workspace], n)
	}
	return merged
}

// exceeds reports whether a count in a is larger than the one in b.
func exceeds(a, b map[string]uint64) bool {
	for workspace, n := range a {
		if n > b[workspace] {
			return true
		}
	}
	return false
}

// combinedEdge stands for all edges in a window that would be too large with a segment for each.
const combinedEdge = "combined"

// Combined returns the window with one segment for all edges.
func (w *Window) Combined() Window {
	c := *w
	c.Segments = []tally.Segment{{Source: tally.Source{Edge: combinedEdge}, Counts: w.Sum}}
	c.Late = nil
	return c
}

// windowObject is the JSON of a Window. Workspaces are named once; counts are pairs of a workspace's index and its number.
type windowObject struct {
	Number     uint64          `json:"number"`
	Holder     string          `json:"holder"`
	Fence      uint64          `json:"fence"`
	Workspaces []string        `json:"workspaces"`
	Sum        []uint64        `json:"sum"`
	Segments   []segmentObject `json:"segments"`
	Late       []segmentObject `json:"late,omitempty"`
}

type segmentObject struct {
	tally.Source
	Counts []uint64 `json:"counts"`
}

// Encode returns the value of the window's object. Equal windows have equal values.
func (w *Window) Encode() ([]byte, error) {
	names := map[string]uint64{}
	for workspace := range w.Sum {
		names[workspace] = 0
	}
	for _, list := range [][]tally.Segment{w.Segments, w.Late} {
		for _, s := range list {
			for workspace := range s.Counts {
				names[workspace] = 0
			}
		}
	}
	o := windowObject{Number: w.Number, Holder: w.Holder, Fence: w.Fence, Workspaces: slices.Sorted(maps.Keys(names))}
	for i, workspace := range o.Workspaces {
		names[workspace] = uint64(i)
	}
	o.Sum = encodeCounts(w.Sum, names)
	o.Segments, o.Late = encodeSegments(w.Segments, names), encodeSegments(w.Late, names)
	return json.Marshal(&o)
}

func encodeSegments(segments []tally.Segment, index map[string]uint64) []segmentObject {
	list := make([]segmentObject, 0, len(segments))
	for _, s := range segments {
		list = append(list, segmentObject{Source: s.Source, Counts: encodeCounts(s.Counts, index)})
	}
	return list
}

func encodeCounts(counts, index map[string]uint64) []uint64 {
	pairs := make([]uint64, 0, 2*len(counts))
	for _, workspace := range slices.Sorted(maps.Keys(counts)) {
		pairs = append(pairs, index[workspace], counts[workspace])
	}
	return pairs
}

// errCounts reports counts that are no pairs of an index of a workspace and a number.
var errCounts = errors.New("counts must be pairs of the index of a workspace and a number")

// DecodeWindow returns the Window in the value of an object.
func DecodeWindow(value []byte) (Window, error) {
	var o windowObject
	if err := json.Unmarshal(value, &o); err != nil {
		return Window{}, fmt.Errorf("usage window: %w", err)
	}
	w := Window{Number: o.Number, Holder: o.Holder, Fence: o.Fence}
	var err error
	if w.Sum, err = decodeCounts(o.Sum, o.Workspaces); err == nil {
		if w.Segments, err = decodeSegments(o.Segments, o.Workspaces); err == nil {
			w.Late, err = decodeSegments(o.Late, o.Workspaces)
		}
	}
	if err != nil {
		return Window{}, fmt.Errorf("usage window %d: %w", o.Number, err)
	}
	return w, nil
}

func decodeSegments(list []segmentObject, workspaces []string) ([]tally.Segment, error) {
	var segments []tally.Segment
	for _, s := range list {
		counts, err := decodeCounts(s.Counts, workspaces)
		if err != nil {
			return nil, err
		}
		segments = append(segments, tally.Segment{Source: s.Source, Counts: counts})
	}
	return segments, nil
}

func decodeCounts(pairs []uint64, workspaces []string) (map[string]uint64, error) {
	if len(pairs)%2 != 0 {
		return nil, errCounts
	}
	counts := make(map[string]uint64, len(pairs)/2)
	for pair := range slices.Chunk(pairs, 2) {
		if pair[0] >= uint64(len(workspaces)) {
			return nil, errCounts
		}
		counts[workspaces[pair[0]]] = pair[1]
	}
	return counts, nil
}
