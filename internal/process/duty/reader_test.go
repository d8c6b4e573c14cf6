package duty_test

import (
	"bytes"
	"context"
	"encoding/csv"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/duty"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/tally"
)

// windowStore lists objects in pages of two.
type windowStore struct {
	store.Client
	objects []store.Object
	err     error
}

// List implements store.Client.
func (s *windowStore) List(_ context.Context, kind, _, after string, _ int) ([]store.Object, error) {
	if kind != duty.WindowKind || s.err != nil {
		return nil, s.err
	}
	var page []store.Object
	for _, o := range s.objects {
		if o.Name > after && len(page) < 2 {
			page = append(page, o)
		}
	}
	return page, nil
}

func (s *windowStore) add(t *testing.T, number uint64, w duty.Window) {
	t.Helper()
	value, err := w.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s.objects = append(s.objects, store.Object{Kind: duty.WindowKind, Name: duty.WindowName(number), Value: value})
}

func segment(edge string, counts map[string]uint64) tally.Segment {
	return tally.Segment{Source: tally.Source{Edge: edge, Run: 1_767_225_600_000}, Counts: counts}
}

// storedWindows has the windows 100 to 104, which hold.
func storedWindows(t *testing.T) *windowStore {
	s := &windowStore{}
	for number := uint64(100); number < 105; number++ {
		s.add(t, number, duty.NewWindow(number, "edge-1", 7, []tally.Segment{
			segment("10.0.0.1", map[string]uint64{"a": 3, "b": 1}), segment("10.0.0.2", map[string]uint64{"a": 2}),
		}))
	}
	return s
}

// Guards against totals that miss a page, an edge or what became known late.
func TestSummaryOfStoredWindows(t *testing.T) {
	s := storedWindows(t)
	w := duty.NewWindow(105, "edge-2", 8, []tally.Segment{segment("10.0.0.1", map[string]uint64{"a": 1})})
	w.AddLate([]tally.Segment{segment("10.0.0.1", map[string]uint64{"a": 4}), segment("10.0.0.3", map[string]uint64{"c": 2})})
	s.add(t, 105, w)
	got, err := duty.NewReader(s, 5*time.Second).Summary(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	want := duty.Summary{
		Span:   duty.Span{First: 100, Last: 105, Windows: 6, From: time.Unix(500, 0).UTC(), To: time.Unix(530, 0).UTC()},
		Totals: []duty.WorkspaceTotal{{Workspace: "a", Requests: 26, Late: 3}, {Workspace: "b", Requests: 5}, {Workspace: "c", Late: 2}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against windows that look right to the owners although they are missing, changed, or short of what was counted.
func TestVerifyNamesWhatDoesNotHold(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *windowStore)
		want   []duty.Problem
	}{
		"nothing": {func(*windowStore) {}, []duty.Problem{}},
		"missing": {func(s *windowStore) { s.objects = slices.Delete(s.objects, 1, 3) },
			[]duty.Problem{{Kind: duty.Missing, Window: 101, Detail: "2 windows are not stored, up to 102"}}},
		"sum changed": {func(s *windowStore) {
			s.objects[2].Value = bytes.Replace(s.objects[2].Value, []byte(`"sum":[0,5,`), []byte(`"sum":[0,9,`), 1)
		}, []duty.Problem{{Kind: duty.Differs, Window: 102, Detail: "workspace a: 9 reported by edge-1, the segments have 5"}}},
		"count changed": {func(s *windowStore) {
			s.objects[0].Value = bytes.Replace(s.objects[0].Value, []byte(`"counts":[0,2]`), []byte(`"counts":[0,1]`), 1)
		}, []duty.Problem{{Kind: duty.Differs, Window: 100, Detail: "workspace a: 5 reported by edge-1, the segments have 4"}}},
		"renamed": {func(s *windowStore) { s.objects[4].Name = duty.WindowName(105) }, []duty.Problem{
			{Kind: duty.Missing, Window: 104, Detail: "1 windows are not stored, up to 104"},
			{Kind: duty.Renumbered, Window: 105, Detail: "the object contains window 104"}}},
		"not a window": {func(s *windowStore) { s.objects[3].Value = []byte(`{"sum":[1]}`) },
			[]duty.Problem{{Kind: duty.Unreadable, Window: 103, Detail: "usage window 0: counts must be pairs of the index of a workspace and a number"}}},
		"late": {func(s *windowStore) {
			w, err := duty.DecodeWindow(s.objects[1].Value)
			if err != nil {
				t.Fatal(err)
			}
			w.AddLate([]tally.Segment{segment("10.0.0.2", map[string]uint64{"a": 4})})
			s.objects[1].Value, _ = w.Encode()
		}, []duty.Problem{{Kind: duty.Late, Window: 101, Detail: "workspace a: 5 reported, 2 more became known later"}}},
		"segment twice": {func(s *windowStore) {
			w := duty.NewWindow(100, "edge-1", 7, []tally.Segment{segment("10.0.0.1", map[string]uint64{"a": 1}), segment("10.0.0.1", map[string]uint64{"a": 1})})
			s.objects[0].Value, _ = w.Encode()
		}, []duty.Problem{{Kind: duty.Repeated, Window: 100, Detail: "edge 10.0.0.1, run 1767225600000 has two segments"}}},
	} {
		s := storedWindows(t)
		c.change(s)
		report, err := duty.NewReader(s, 5*time.Second).Verify(t.Context())
		if err != nil || !reflect.DeepEqual(report.Problems, c.want) {
			t.Errorf("%s: problems %+v, error %v; want %+v", name, report.Problems, err, c.want)
		}
	}
}

// Guards against a report that does not tell who counted.
func TestVerifySaysWhoCounted(t *testing.T) {
	report, err := duty.NewReader(storedWindows(t), 5*time.Second).Verify(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	started := time.UnixMilli(1_767_225_600_000).UTC()
	want := []duty.SourceTotal{
		{Edge: "10.0.0.1", Run: 1_767_225_600_000, Started: started, Windows: 5, Requests: 20},
		{Edge: "10.0.0.2", Run: 1_767_225_600_000, Started: started, Windows: 5, Requests: 10},
	}
	if !reflect.DeepEqual(report.Counted, want) {
		t.Errorf("got %+v, want %+v", report.Counted, want)
	}
}

// Guards against an export from which an owner can't add up what was reported.
func TestExportHasReportedNumbersAndSegments(t *testing.T) {
	var out bytes.Buffer
	if err := duty.NewReader(storedWindows(t), 5*time.Second).Export(t.Context(), &out); err != nil {
		t.Fatal(err)
	}
	rows, err := csv.NewReader(&out).ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	var first []string
	for _, row := range rows[:6] {
		first = append(first, strings.Join(row, ","))
	}
	want := []string{
		"window,start,row,edge,run,workspace,requests,holder,fence",
		"100,1970-01-01T00:08:20Z,reported,,,a,5,edge-1,7",
		"100,1970-01-01T00:08:20Z,reported,,,b,1,edge-1,7",
		"100,1970-01-01T00:08:20Z,segment,10.0.0.1,1767225600000,a,3,edge-1,7",
		"100,1970-01-01T00:08:20Z,segment,10.0.0.1,1767225600000,b,1,edge-1,7",
		"100,1970-01-01T00:08:20Z,segment,10.0.0.2,1767225600000,a,2,edge-1,7",
	}
	if !slices.Equal(first, want) || len(rows) != 26 {
		t.Errorf("%d rows, the first are %q, want %q", len(rows), first, want)
	}
}

// Guards against totals, a verification or an export of a part of the windows that looks like that of all.
func TestReaderReportsWhatItCanNotRead(t *testing.T) {
	failing := &windowStore{err: errors.New("store is down")}
	unreadable := storedWindows(t)
	unreadable.objects[1].Value = []byte("[]")
	for _, s := range []*windowStore{failing, unreadable} {
		r := duty.NewReader(s, 5*time.Second)
		if _, err := r.Summary(t.Context()); err == nil {
			t.Error("Summary returned no error")
		}
		if err := r.Export(t.Context(), &bytes.Buffer{}); err == nil {
			t.Error("Export returned no error")
		}
	}
	if _, err := duty.NewReader(failing, 5*time.Second).Verify(t.Context()); err == nil {
		t.Error("Verify returned no error")
	}
}
