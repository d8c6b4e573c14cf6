package usage

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

var testStart = time.Unix(1_800_000_000, 0)

func testKey(b byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{b}, ed25519.SeedSize))
}

func testRecord(i int) Record {
	return Record{
		RequestID: fmt.Sprintf("r%d", i), Attempt: 1, UnixMs: testStart.UnixMilli(), Owner: "furano", Workspace: "biei-1", Class: "certificate",
		Model: "lavender", Service: "sachetlm", Upstream: "sachetlm-1", UpstreamOwner: "furano", Outcome: "completed",
		PromptTokens: 10, CompletionTokens: 20,
	}
}

// segmentsOfBothSides returns the segments of an entry and a sidecar that both counted n attempts, and their public keys.
func segmentsOfBothSides(t testing.TB, n int) ([]Segment, map[string]ed25519.PublicKey) {
	t.Helper()
	writers := []*Writer{NewWriter("e1", SideEntry, testKey(1), 0), NewWriter("s1", SideSidecar, testKey(2), 0)}
	keys := make(map[string]ed25519.PublicKey)
	var segments []Segment
	for _, w := range writers {
		for i := range n {
			w.Add(testRecord(i), testStart)
		}
		if err := w.SealFinal(); err != nil {
			t.Fatal(err)
		}
		keys[w.Name()] = w.Registration().PublicKey
		segments = append(segments, decodeUnconfirmed(t, w)...)
	}
	return segments, keys
}

// decodeUnconfirmed returns the writer's unconfirmed segments, decoded from their stored form.
func decodeUnconfirmed(t testing.TB, w *Writer) []Segment {
	t.Helper()
	var segments []Segment
	for _, encoded := range w.Unconfirmed() {
		s, err := DecodeSegment(encoded.Segment)
		if err != nil {
			t.Fatal(err)
		}
		segments = append(segments, s)
	}
	return segments
}

// firstProblemKind returns the kind of the first problem, or "" if the report is valid.
func firstProblemKind(r Report) ProblemKind {
	if r.Valid() {
		return ""
	}
	return r.Problems[0].Kind
}

// Guards against verification that accepts a manipulated record or reports it as the wrong kind of problem: each case
// violates one rule.
func TestVerifyReportsProblemKind(t *testing.T) {
	cases := []struct {
		name   string
		change func([]Segment, map[string]ed25519.PublicKey) []Segment
		want   ProblemKind
	}{
		{"valid", func(s []Segment, _ map[string]ed25519.PublicKey) []Segment { return s }, ""},
		{"stored twice", func(s []Segment, _ map[string]ed25519.PublicKey) []Segment { return append(s, s[0]) }, ""},
		{"missing segment", func(s []Segment, _ map[string]ed25519.PublicKey) []Segment { return s[1:] }, ProblemMissing},
		{"unregistered writer", func(s []Segment, keys map[string]ed25519.PublicKey) []Segment {
			delete(keys, s[0].Writer)
			return s
		}, ProblemForeign},
		{"changed signature", func(s []Segment, _ map[string]ed25519.PublicKey) []Segment {
			s[0].Signature = bytes.Clone(s[0].Signature)
			s[0].Signature[3] ^= 1
			return s
		}, ProblemChanged},
		{"repeated record", func(s []Segment, _ map[string]ed25519.PublicKey) []Segment {
			return resign(t, s, 0, func(seg *Segment) { seg.Records[1] = seg.Records[0] })
		}, ProblemRepeated},
		{"counts differ", func(s []Segment, _ map[string]ed25519.PublicKey) []Segment {
			return resign(t, s, 0, func(seg *Segment) { seg.Records[1].CompletionTokens = 19 })
		}, ProblemMismatch},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			segments, keys := segmentsOfBothSides(t, maxSegmentRecords+5)
			report := Verify(c.change(segments, keys), keys)
			if got := firstProblemKind(report); got != c.want {
				t.Fatalf("first problem %q, want %q: %v", got, c.want, report.Problems)
			}
		})
	}
}

// resign changes a segment and signs it and the next one with the writer's key, so that only the content is wrong.
func resign(t *testing.T, segments []Segment, at int, change func(*Segment)) []Segment {
	t.Helper()
	s := &segments[at]
	change(s)
	if err := s.sign(testKey(1)); err != nil {
		t.Fatal(err)
	}
	if next := &segments[at+1]; next.Writer == s.Writer {
		next.PrevHash = s.Hash
		if err := next.sign(testKey(1)); err != nil {
			t.Fatal(err)
		}
	}
	return segments
}

// Guards against a small stored segment that exhausts memory when it is decompressed.
func TestOversizedSegmentIsRejected(t *testing.T) {
	packed, err := deflate(make([]byte, maxBodyBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	data, err := encMode.Marshal(signedSegment{Packed: packed})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeSegment(data); err == nil || !strings.Contains(err.Error(), "more than") {
		t.Fatalf("got %v, want an error about the size", err)
	}
}

// Guards against an edit of an export that offline verification does not detect, or does not attribute to the record.
func TestExportIsVerifiableOffline(t *testing.T) {
	segments, keys := segmentsOfBothSides(t, 3)
	var csv bytes.Buffer
	if err := Export(&csv, segments); err != nil {
		t.Fatal(err)
	}
	imported, problems, err := Import(bytes.NewReader(csv.Bytes()))
	if err != nil || len(problems) > 0 {
		t.Fatalf("import: %v, %v", err, problems)
	}
	if report := Verify(imported, keys); !report.Valid() || report.Compared != 3 {
		t.Fatalf("unchanged export: %+v", report)
	}

	edited := strings.Replace(csv.String(), ",completed,10,20,", ",completed,10,21,", 1)
	imported, problems, err = Import(strings.NewReader(edited))
	if err != nil {
		t.Fatal(err)
	}
	if len(problems) != 1 || problems[0].RequestID != "r0" || problems[0].Kind != ProblemChanged {
		t.Fatalf("edited record is not reported: %v", problems)
	}
	if got := firstProblemKind(Verify(imported, keys)); got != ProblemChanged {
		t.Fatalf("first problem of the edited export is %q", got)
	}
	report, err := VerifyExport(strings.NewReader(edited), keys)
	if err != nil {
		t.Fatal(err)
	}
	if first := report.Problems[0]; first.RequestID != "r0" {
		t.Fatalf("first problem is %v, want the edited record", first)
	}
}

// Guards against totals that change, or memory above the limit, when records are folded during a long store outage.
func TestFoldingPreservesTotalsWithinMemoryLimit(t *testing.T) {
	const n, limit = 5000, 64 << 10
	w := NewWriter("e1", SideEntry, testKey(1), limit)
	for i := range n {
		w.Add(testRecord(i), testStart)
		if got := w.Stats().Bytes; got > limit {
			t.Fatalf("after %d records the writer uses %d bytes, limit %d", i, got, limit)
		}
	}
	if w.Stats().Folded == 0 {
		t.Fatal("nothing was folded")
	}
	if err := w.SealFinal(); err != nil {
		t.Fatal(err)
	}
	totals := Totals(decodeUnconfirmed(t, w))
	if len(totals) != 1 || totals[0].Attempts != n || totals[0].UsefulTokens != 20*n {
		t.Fatalf("totals %+v, want %d attempts", totals, n)
	}
}

// Guards against totals that count an attempt twice or omit one that a crashed side did not count, and against bills that
// charge waste to the wrong owner.
func TestTotalsAreUnionOfBothCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry, sidecar := NewWriter("e1", SideEntry, testKey(1), 0), NewWriter("s1", SideSidecar, testKey(2), 0)
		var attempts, wasted uint64
		for i := range rapid.IntRange(1, 40).Draw(t, "attempts") {
			r := testRecord(i)
			if rapid.Bool().Draw(t, "wasted") {
				r.Outcome, r.WastedTokens, r.ChargedTo, r.UpstreamOwner = "interrupted", r.CompletionTokens, ChargeUpstreamOwner, "jadestone"
				wasted += r.WastedTokens
			}
			sides := rapid.IntRange(1, 3).Draw(t, "sides")
			if sides&1 != 0 {
				entry.Add(r, testStart)
			}
			if sides&2 != 0 {
				sidecar.Add(r, testStart)
			}
			attempts++
		}
		var segments []Segment
		for _, w := range []*Writer{entry, sidecar} {
			if err := w.SealFinal(); err != nil {
				t.Fatal(err)
			}
			for _, encoded := range w.Unconfirmed() {
				s, err := DecodeSegment(encoded.Segment)
				if err != nil {
					t.Fatal(err)
				}
				segments = append(segments, s)
			}
		}
		totals := Totals(segments)
		var got uint64
		for _, total := range totals {
			got += total.Attempts
		}
		if got != attempts {
			t.Fatalf("totals contain %d attempts, want %d", got, attempts)
		}
		for _, b := range Bills(totals) {
			if b.Owner == "jadestone" && b.WastedByUpstreams != wasted {
				t.Fatalf("upstream owner is charged %d wasted tokens, want %d", b.WastedByUpstreams, wasted)
			}
			if b.Owner == "furano" && b.WastedByUpstreams != 0 {
				t.Fatalf("workspace owner is charged %d tokens wasted by another owner's upstream", b.WastedByUpstreams)
			}
		}
	})
}

// Measures the verification rate; the metric is records per second.
func BenchmarkVerify(b *testing.B) {
	segments, keys := segmentsOfBothSides(b, 8*maxSegmentRecords)
	b.ResetTimer()
	for b.Loop() {
		if report := Verify(segments, keys); !report.Valid() {
			b.Fatal(report.Problems[0])
		}
	}
	b.ReportMetric(float64(2*8*maxSegmentRecords*b.N)/b.Elapsed().Seconds(), "records/s")
}

// variedRecord returns a record with random values in the fields that vary in production: request ID, time, workspace, class,
// upstream and token counts.
func variedRecord(random *rand.Rand, i int) Record {
	r := testRecord(i)
	r.RequestID = fmt.Sprintf("entry-%d-%016x", 1+i%2, random.Uint64())
	r.UnixMs += int64(random.IntN(10_000))
	r.Workspace, r.Class = fmt.Sprintf("workspace-%d", random.IntN(200)), fmt.Sprintf("class-%d", random.IntN(8))
	r.Upstream = fmt.Sprintf("sachetlm-%d", random.IntN(20))
	r.PromptTokens, r.CompletionTokens = uint64(random.IntN(4000)), uint64(random.IntN(1000))
	return r
}

// Measures the stored size per record, including the signature and the hash of the previous segment.
func BenchmarkSegmentBytes(b *testing.B) {
	for _, n := range []int{10, 100, maxSegmentRecords} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			var size int
			for b.Loop() {
				size = len(storedSegment(b, n))
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/record")
		})
	}
}

// storedSegment returns the stored form of a segment with n records.
func storedSegment(b *testing.B, n int) []byte {
	b.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	w := NewWriter("e1", SideEntry, testKey(1), 0)
	for i := range n {
		w.Add(variedRecord(random, i), testStart)
	}
	if err := w.SealFinal(); err != nil {
		b.Fatal(err)
	}
	return w.Unconfirmed()[0].Segment
}

// Guards against changes of a stored chain that verification does not detect, in any record or segment but the last.
func TestVerifyDetectsAnyChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWriter("e1", SideEntry, testKey(1), 0)
		segments := make([]Segment, rapid.IntRange(2, 5).Draw(t, "segments"))
		n := 0
		for range segments {
			for range rapid.IntRange(1, 4).Draw(t, "records") {
				n++
				w.Add(testRecord(n), testStart)
			}
			if err := w.sealOne(false); err != nil {
				t.Fatal(err)
			}
		}
		for i, encoded := range w.Unconfirmed() {
			s, err := DecodeSegment(encoded.Segment)
			if err != nil {
				t.Fatal(err)
			}
			segments[i] = s
		}
		keys := map[string]ed25519.PublicKey{w.Name(): w.Registration().PublicKey}
		if report := Verify(segments, keys); !report.Valid() {
			t.Fatalf("unchanged chain: %v", report.Problems)
		}
		at := rapid.IntRange(0, len(segments)-2).Draw(t, "at")
		segments = tamper(t, segments, at)
		if report := Verify(segments, keys); report.Valid() {
			t.Fatalf("change of segment %d of %d is not detected", at+1, len(segments))
		}
	})
}

// tamper changes, drops or re-signs a segment. The caller doesn't select the last one, since only a comparison with the other
// side's count shows that it is missing.
func tamper(t *rapid.T, segments []Segment, at int) []Segment {
	s := &segments[at]
	rehash := func() {
		body, err := s.encodeBody()
		if err != nil {
			t.Fatal(err)
		}
		s.Hash = sha256.Sum256(body)
	}
	switch rapid.IntRange(0, 3).Draw(t, "damage") {
	case 0:
		s.Records[rapid.IntRange(0, len(s.Records)-1).Draw(t, "record")].CompletionTokens++
		rehash()
	case 1:
		s.Records = append(s.Records, s.Records[0])
		rehash()
	case 2:
		s.Signature = ed25519.Sign(testKey(9), s.Hash[:])
	case 3:
		return append(segments[:at:at], segments[at+1:]...)
	}
	return segments
}
