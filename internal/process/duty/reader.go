package duty

import (
	"cmp"
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/tally"
)

const (
	// readerPageSize is the number of objects that are asked for at once; the store returns fewer if they are large.
	readerPageSize = 500
	// maxProblems bounds the problems in a Verification.
	maxProblems = 1000
)

// Reader reads the stored windows for operators. It keeps one page of them at a time and is safe for concurrent use.
type Reader struct {
	store  store.Client
	window time.Duration
}

// NewReader returns a Reader of windows of the given length.
func NewReader(client store.Client, window time.Duration) *Reader {
	return &Reader{store: client, window: window}
}

// each calls visit for each stored object in the order of the windows. Without an err, w is the window in it.
func (r *Reader) each(ctx context.Context, visit func(number uint64, w *Window, err error) error) error {
	for after := ""; ; {
		objects, err := r.store.List(ctx, WindowKind, "", after, readerPageSize)
		if err != nil {
			return fmt.Errorf("list %s after %q: %w", WindowKind, after, err)
		}
		if len(objects) == 0 {
			return nil
		}
		for _, o := range objects {
			number, err := ParseWindowName(o.Name)
			var w Window
			if err == nil {
				w, err = DecodeWindow(o.Value)
			}
			if err := visit(number, &w, err); err != nil {
				return err
			}
			after = o.Name
		}
	}
}

// Span is the range of the windows that were read.
type Span struct {
	First   uint64    `json:"first"`
	Last    uint64    `json:"last"`
	Windows int       `json:"windows"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
}

func (r *Reader) add(s *Span, number uint64) {
	if s.Windows == 0 {
		s.First, s.From = number, r.startOf(number)
	}
	s.Last, s.To = number, r.startOf(number+1)
	s.Windows++
}

func (r *Reader) startOf(number uint64) time.Time {
	return time.Unix(0, int64(number)*int64(r.window)).UTC()
}

// WorkspaceTotal is the usage of a workspace in the windows that were read.
type WorkspaceTotal struct {
	Workspace string `json:"workspace"`
	// Requests is what was reported.
	Requests uint64 `json:"requests"`
	// Late is what became known after the windows were reported, and is not part of Requests.
	Late uint64 `json:"late"`
}

// Summary is the response to "usage show".
type Summary struct {
	Span   Span             `json:"span"`
	Totals []WorkspaceTotal `json:"totals"`
}

// Summary returns the totals by workspace. It returns an error if a window can't be read, since the totals would be wrong.
func (r *Reader) Summary(ctx context.Context) (Summary, error) {
	s := Summary{Totals: []WorkspaceTotal{}}
	totals := map[string]WorkspaceTotal{}
	err := r.each(ctx, func(number uint64, w *Window, err error) error {
		if err != nil {
			return err
		}
		r.add(&s.Span, number)
		for workspace, n := range w.Sum {
			t := totals[workspace]
			t.Requests += n
			totals[workspace] = t
		}
		for workspace, n := range w.lateCounts() {
			t := totals[workspace]
			t.Late += n
			totals[workspace] = t
		}
		return nil
	})
	for _, workspace := range slices.Sorted(maps.Keys(totals)) {
		t := totals[workspace]
		t.Workspace = workspace
		s.Totals = append(s.Totals, t)
	}
	return s, err
}

// lateCounts returns by how much the late segments exceed those that the window was summed from, by workspace.
func (w *Window) lateCounts() map[string]uint64 {
	sealed := map[tally.Source]map[string]uint64{}
	for _, s := range w.Segments {
		sealed[s.Source] = s.Counts
	}
	late := map[string]uint64{}
	for _, s := range w.Late {
		for workspace, n := range s.Counts {
			if n > sealed[s.Source][workspace] {
				late[workspace] += n - sealed[s.Source][workspace]
			}
		}
	}
	return late
}

// ProblemKind is the kind of a Problem.
type ProblemKind string

// Kinds of problems.
const (
	// Unreadable means that the object is not a window.
	Unreadable ProblemKind = "unreadable"
	// Renumbered means that the object has the name of another window.
	Renumbered ProblemKind = "renumbered"
	// Missing means that there are windows before and after one that is not stored.
	Missing ProblemKind = "missing"
	// Differs means that the reported sum is not that of the segments.
	Differs ProblemKind = "differs"
	// Repeated means that a source has two segments, so that its counts were added twice.
	Repeated ProblemKind = "repeated"
	// Late means that counts became known after the window was sealed, and are not in the reported sum.
	Late ProblemKind = "late"
)

// Problem is something in the stored windows that does not hold.
type Problem struct {
	Kind   ProblemKind `json:"kind"`
	Window uint64      `json:"window"`
	Detail string      `json:"detail"`
}

// SourceTotal is what one run of an edge has counted.
type SourceTotal struct {
	Edge     string    `json:"edge"`
	Run      uint64    `json:"run"`
	Started  time.Time `json:"started"`
	Windows  int       `json:"windows"`
	Requests uint64    `json:"requests"`
}

// Verification is the response to "usage verify".
type Verification struct {
	Span     Span          `json:"span"`
	Problems []Problem     `json:"problems"`
	Counted  []SourceTotal `json:"counted"`
}

// Verify recomputes the sum of each stored window and checks that no window is missing between the first and the last.
func (r *Reader) Verify(ctx context.Context) (Verification, error) {
	v := &verifier{report: Verification{Problems: []Problem{}, Counted: []SourceTotal{}}, counted: map[tally.Source]SourceTotal{}}
	err := r.each(ctx, func(number uint64, w *Window, err error) error {
		if last := v.report.Span.Last; v.report.Span.Windows > 0 && number > last+1 {
			v.problem(Missing, last+1, "%d windows are not stored, up to %d", number-last-1, number-1)
		}
		r.add(&v.report.Span, number)
		v.window(number, w, err)
		return nil
	})
	for _, t := range v.counted {
		v.report.Counted = append(v.report.Counted, t)
	}
	slices.SortFunc(v.report.Counted, func(a, b SourceTotal) int {
		return cmp.Or(cmp.Compare(a.Edge, b.Edge), cmp.Compare(a.Run, b.Run))
	})
	return v.report, err
}

type verifier struct {
	report  Verification
	counted map[tally.Source]SourceTotal
}

func (v *verifier) problem(kind ProblemKind, window uint64, format string, args ...any) {
	if len(v.report.Problems) < maxProblems {
		v.report.Problems = append(v.report.Problems, Problem{kind, window, fmt.Sprintf(format, args...)})
	}
}

func (v *verifier) window(number uint64, w *Window, err error) {
	if err != nil {
		v.problem(Unreadable, number, "%v", err)
		return
	}
	if w.Number != number {
		v.problem(Renumbered, number, "the object contains window %d", w.Number)
	}
	sources := map[tally.Source]bool{}
	for _, s := range w.Segments {
		if sources[s.Source] {
			v.problem(Repeated, number, "edge %s, run %d has two segments", s.Edge, s.Run)
		}
		sources[s.Source] = true
		t := v.counted[s.Source]
		t.Edge, t.Run, t.Started = s.Edge, s.Run, time.UnixMilli(int64(s.Run)).UTC()
		t.Windows++
		for _, n := range s.Counts {
			t.Requests += n
		}
		v.counted[s.Source] = t
	}
	sum := SumOf(w.Segments)
	for _, workspace := range workspacesOf(sum, w.Sum) {
		if w.Sum[workspace] != sum[workspace] {
			v.problem(Differs, number, "workspace %s: %d reported by %s, the segments have %d", workspace, w.Sum[workspace], w.Holder, sum[workspace])
		}
	}
	late := w.lateCounts()
	for _, workspace := range workspacesOf(late) {
		v.problem(Late, number, "workspace %s: %d reported, %d more became known later", workspace, w.Sum[workspace], late[workspace])
	}
}

// workspacesOf returns the workspaces in any of the maps in their order.
func workspacesOf(counts ...map[string]uint64) []string {
	all := map[string]bool{}
	for _, m := range counts {
		for workspace := range m {
			all[workspace] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Kinds of rows of an export.
const (
	rowReported = "reported"
	rowSegment  = "segment"
	rowLate     = "late"
)

// Export writes the stored windows as CSV. A row has the reported number of a workspace in a window, or what one run of an edge has
// counted of it, before the window was reported or late.
func (r *Reader) Export(ctx context.Context, out io.Writer) error {
	rows := csv.NewWriter(out)
	if err := rows.Write([]string{"window", "start", "row", "edge", "run", "workspace", "requests", "holder", "fence"}); err != nil {
		return err
	}
	err := r.each(ctx, func(number uint64, w *Window, err error) error {
		if err != nil {
			return err
		}
		write := func(kind string, source tally.Source, counts map[string]uint64) {
			edge, run := source.Edge, strconv.FormatUint(source.Run, 10)
			if kind == rowReported {
				edge, run = "", ""
			}
			for _, workspace := range workspacesOf(counts) {
				// The writer keeps its first error, which Error returns below.
				_ = rows.Write([]string{
					strconv.FormatUint(number, 10), r.startOf(number).Format(time.RFC3339), kind, edge, run, workspace,
					strconv.FormatUint(counts[workspace], 10), w.Holder, strconv.FormatUint(w.Fence, 10),
				})
			}
		}
		write(rowReported, tally.Source{}, w.Sum)
		for _, s := range w.Segments {
			write(rowSegment, s.Source, s.Counts)
		}
		for _, s := range w.Late {
			write(rowLate, s.Source, s.Counts)
		}
		rows.Flush()
		return rows.Error()
	})
	rows.Flush()
	if err != nil {
		return err
	}
	return rows.Error()
}
