package usage

import (
	"cmp"
	"crypto/ed25519"
	"fmt"
	"slices"
)

// ProblemKind is the kind of a problem found by verification.
type ProblemKind string

// Values of ProblemKind.
const (
	// ProblemChanged reports content that does not match its signature or hash.
	ProblemChanged ProblemKind = "changed"
	// ProblemMissing reports a gap in a writer's chain.
	ProblemMissing ProblemKind = "missing"
	// ProblemRepeated reports an attempt that one side counted twice, or two segments with the same number.
	ProblemRepeated ProblemKind = "repeated"
	// ProblemForeign reports a segment whose writer has no registered key, or a record of the wrong side.
	ProblemForeign ProblemKind = "foreign"
	// ProblemMismatch reports an attempt for which the counts of the two sides differ.
	ProblemMismatch ProblemKind = "mismatch"
)

// Problem describes a record or segment that failed verification.
type Problem struct {
	Kind   ProblemKind `json:"kind"`
	Writer string      `json:"writer"`
	Seq    uint64      `json:"seq"`
	// Index is the record's position in its segment, starting at 1; 0 means the whole segment.
	Index     int    `json:"index"`
	RequestID string `json:"request_id,omitempty"`
	Attempt   uint32 `json:"attempt,omitempty"`
	Detail    string `json:"detail"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: writer %s segment %d record %d request %q attempt %d: %s", p.Kind, p.Writer, p.Seq, p.Index, p.RequestID, p.Attempt, p.Detail)
}

// Report is the result of Verify.
type Report struct {
	Segments int `json:"segments"`
	Records  int `json:"records"`
	Writers  int `json:"writers"`
	// Compared is the number of attempts that both sides counted.
	Compared int `json:"compared"`
	// EntryOnly and SidecarOnly are the numbers of attempts that only one side counted: the other side crashed before
	// its record was confirmed, has not sealed it yet, or has folded it.
	EntryOnly   int `json:"entry_only"`
	SidecarOnly int `json:"sidecar_only"`
	// Folded is the number of attempts in folded records, which cannot be compared.
	Folded uint64 `json:"folded"`
	// OpenChains is the number of writers whose last segment is not final: they are still running or have crashed.
	OpenChains int `json:"open_chains"`
	// Problems are sorted by writer, segment and record.
	Problems []Problem `json:"problems"`
}

// Valid reports whether verification found no problem.
func (r *Report) Valid() bool { return len(r.Problems) == 0 }

// Verify checks the signatures and hash chains and compares the two counts. keys contains the registered public key of each
// writer. A segment that is stored twice is not a problem: it is sent again when its confirmation was lost.
func Verify(segments []Segment, keys map[string]ed25519.PublicKey) Report {
	v := verifier{keys: keys, entry: make(map[attemptKey]recordLocation), sidecar: make(map[attemptKey]recordLocation)}
	v.checkChains(segments)
	v.compareCounts()
	sortProblems(v.report.Problems)
	return v.report
}

type attemptKey struct {
	requestID string
	attempt   uint32
}

type recordLocation struct {
	record *Record
	writer string
	seq    uint64
	index  int
}

type verifier struct {
	keys           map[string]ed25519.PublicKey
	report         Report
	entry, sidecar map[attemptKey]recordLocation
}

func (v *verifier) addProblem(kind ProblemKind, s *Segment, index int, format string, args ...any) {
	p := Problem{Kind: kind, Writer: s.Writer, Seq: s.Seq, Index: index, Detail: fmt.Sprintf(format, args...)}
	if index > 0 {
		p.RequestID, p.Attempt = s.Records[index-1].RequestID, s.Records[index-1].Attempt
	}
	v.report.Problems = append(v.report.Problems, p)
}

func (v *verifier) checkChains(segments []Segment) {
	for _, chain := range groupByWriter(segments) {
		v.report.Writers++
		v.checkChain(chain)
	}
}

// groupByWriter groups the segments by writer, in order of sequence number, without duplicates.
func groupByWriter(segments []Segment) [][]Segment {
	sorted := slices.Clone(segments)
	slices.SortStableFunc(sorted, func(a, b Segment) int {
		return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.Seq, b.Seq), slices.Compare(a.Hash[:], b.Hash[:]))
	})
	sorted = slices.CompactFunc(sorted, func(a, b Segment) bool {
		return a.Writer == b.Writer && a.Seq == b.Seq && a.Hash == b.Hash && slices.Equal(a.Signature, b.Signature)
	})
	var chains [][]Segment
	for start := 0; start < len(sorted); {
		end := start + 1
		for end < len(sorted) && sorted[end].Writer == sorted[start].Writer {
			end++
		}
		chains = append(chains, sorted[start:end])
		start = end
	}
	return chains
}

func (v *verifier) checkChain(chain []Segment) {
	expected, prev := uint64(1), Hash{}
	for i := range chain {
		s := &chain[i]
		v.report.Segments++
		switch {
		case s.Seq < expected:
			v.addProblem(ProblemRepeated, s, 0, "segment %d exists with different content", s.Seq)
			continue
		case s.Seq > expected:
			v.addProblem(ProblemMissing, s, 0, "segments %d to %d are missing before this one", expected, s.Seq-1)
		case s.PrevHash != prev:
			v.addProblem(ProblemChanged, s, 0, "previous hash does not match the segment before")
		}
		v.checkSegment(s)
		expected, prev = s.Seq+1, s.Hash
	}
	if !chain[len(chain)-1].Final {
		v.report.OpenChains++
	}
}

func (v *verifier) checkSegment(s *Segment) {
	key, ok := v.keys[s.Writer]
	if !ok {
		v.addProblem(ProblemForeign, s, 0, "no public key is registered for the writer")
		return
	}
	if len(key) != ed25519.PublicKeySize || !ed25519.Verify(key, s.Hash[:], s.Signature) {
		v.addProblem(ProblemChanged, s, 0, "signature does not match the content")
		return
	}
	for i := range s.Records {
		v.checkRecord(s, i+1)
	}
}

// checkRecord checks the record at index, which starts at 1, and adds it to its side's count for compareCounts.
func (v *verifier) checkRecord(s *Segment, index int) {
	r := &s.Records[index-1]
	v.report.Records++
	if r.Side != s.Side {
		v.addProblem(ProblemForeign, s, index, "record of side %q in a segment of side %q", r.Side, s.Side)
		return
	}
	if r.Folded > 0 {
		v.report.Folded += r.Folded
		return
	}
	counts := v.entry
	if r.Side == SideSidecar {
		counts = v.sidecar
	}
	key := attemptKey{r.RequestID, r.Attempt}
	if first, ok := counts[key]; ok {
		v.addProblem(ProblemRepeated, s, index, "counted already by writer %s segment %d record %d", first.writer, first.seq, first.index)
		return
	}
	counts[key] = recordLocation{record: r, writer: s.Writer, seq: s.Seq, index: index}
}

func (v *verifier) compareCounts() {
	for key, e := range v.entry {
		s, ok := v.sidecar[key]
		if !ok {
			v.report.EntryOnly++
			continue
		}
		v.report.Compared++
		if detail := describeMismatch(e.record, s.record); detail != "" {
			v.report.Problems = append(v.report.Problems, Problem{
				Kind: ProblemMismatch, Writer: e.writer, Seq: e.seq, Index: e.index,
				RequestID: key.requestID, Attempt: key.attempt, Detail: detail,
			})
		}
	}
	v.report.SidecarOnly = len(v.sidecar) - v.report.Compared
}

const outcomeCompleted = "completed"

// describeMismatch compares the two counts of one attempt and returns the difference, or "" if they agree. If an attempt
// was interrupted, the sidecar may have counted tokens that had not reached the entry yet, so the entry's count may be lower.
func describeMismatch(e, s *Record) string {
	switch {
	case e.Workspace != s.Workspace || e.Class != s.Class || e.Owner != s.Owner || e.Model != s.Model:
		return fmt.Sprintf("entry counted for workspace %s class %s, sidecar for workspace %s class %s", e.Workspace, e.Class, s.Workspace, s.Class)
	case e.CompletionTokens > s.CompletionTokens:
		return fmt.Sprintf("entry counted %d completion tokens, sidecar %d", e.CompletionTokens, s.CompletionTokens)
	case e.Outcome == outcomeCompleted && (e.CompletionTokens != s.CompletionTokens || e.PromptTokens != s.PromptTokens):
		return fmt.Sprintf("entry counted %d+%d tokens of a completed attempt, sidecar %d+%d", e.PromptTokens, e.CompletionTokens, s.PromptTokens, s.CompletionTokens)
	default:
		return ""
	}
}

// sortProblems sorts by writer, segment and record; within a segment, problems of a record precede those of the whole segment.
func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, compareProblems)
}

func compareProblems(a, b Problem) int {
	return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.Seq, b.Seq), cmp.Compare(uint(a.Index-1), uint(b.Index-1)), cmp.Compare(a.Detail, b.Detail))
}
