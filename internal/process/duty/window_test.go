package duty

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflypin/dragonflypin/internal/process/tally"
)

func drawSegments(t *rapid.T, label string) []tally.Segment {
	var list []tally.Segment
	for i := range rapid.IntRange(0, 4).Draw(t, label) {
		counts := rapid.MapOf(rapid.StringMatching("[a-e]"), rapid.Uint64Range(0, 5)).Draw(t, "counts")
		list = append(list, tally.Segment{Source: tally.Source{Edge: string(rune('a' + i)), Run: 7}, Counts: counts})
	}
	return list
}

// Guards against a window whose stored form loses or changes counts, and against two forms of the same window.
func TestWindowKeepsItsContentWhenStored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(rapid.Uint64().Draw(t, "number"), "edge-1", 3, drawSegments(t, "segments"))
		w.AddLate(drawSegments(t, "late"))
		value, err := w.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeWindow(value)
		if err != nil || !reflect.DeepEqual(got, w) {
			t.Fatalf("%v: decoded %+v, want %+v", err, got, w)
		}
		if again, err := got.Encode(); err != nil || string(again) != string(value) {
			t.Errorf("encoded again: %s, %v; want %s", again, err, value)
		}
	})
}

// Guards against late counts that change what was reported, and against those that are added twice.
func TestLateCountsStandBesideTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(1, "edge-1", 3, drawSegments(t, "segments"))
		late := drawSegments(t, "late")
		before := SumOf(w.Segments)
		changed := w.AddLate(late)
		if changed != (len(w.Late) > 0) || w.AddLate(late) {
			t.Fatalf("changed %v, late %v; the second addition must change nothing", changed, w.Late)
		}
		if !reflect.DeepEqual(w.Sum, before) || !reflect.DeepEqual(SumOf(w.Segments), before) {
			t.Errorf("sum %v, want %v", w.Sum, before)
		}
	})
}

// Guards against a panic, or a wrong count, on an object that another writer has damaged.
func TestDamagedWindowIsRefused(t *testing.T) {
	for _, value := range []string{
		``, `[]`, `{"sum":[0]}`, `{"sum":[0,1]}`, `{"workspaces":["a"],"sum":[],"segments":[{"edge":"e","run":1,"counts":[1,1]}]}`,
	} {
		if w, err := DecodeWindow([]byte(value)); err == nil {
			t.Errorf("%q was decoded as %+v", value, w)
		}
	}
}

// manyEdges returns the segments of a number of edges that each have counted the same number of workspaces.
func manyEdges(edges, workspaces int) []tally.Segment {
	var list []tally.Segment
	for edge := range edges {
		counts := map[string]uint64{}
		for n := range workspaces {
			counts[fmt.Sprintf("workspace-%04d", (edge*37+n)%1300)] = uint64(n % 50)
		}
		list = append(list, tally.Segment{Source: tally.Source{Edge: fmt.Sprintf("10.1.%d.%d", edge/250, edge%250), Run: 1_790_000_000_000}, Counts: counts})
	}
	return list
}

// Guards against a window of a large deployment that the store refuses, and against counts that are lost when it is made smaller.
func TestWindowOfManyEdgesIsStored(t *testing.T) {
	for _, c := range []struct {
		workspaces int
		combined   bool
	}{{60, false}, {300, false}, {1300, true}} {
		w := NewWindow(1, "edge-1", 3, manyEdges(360, c.workspaces))
		value, err := encodeWindow(&w)
		if err != nil || len(value) > maxWindowBytes {
			t.Fatalf("%d bytes, %v", len(value), err)
		}
		got, err := DecodeWindow(value)
		if err != nil || !reflect.DeepEqual(got.Sum, w.Sum) || !reflect.DeepEqual(SumOf(got.Segments), w.Sum) || (len(got.Segments) == 1) != c.combined {
			t.Errorf("%d segments, %v", len(got.Segments), err)
		}
		t.Logf("360 edges with %d of 1,300 workspaces each: %d bytes, %d segments", c.workspaces, len(value), len(got.Segments))
	}
}
