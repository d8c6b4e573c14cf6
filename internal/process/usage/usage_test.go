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

// pair returns the segments of an entry and a sidecar that both counted n attempts, with the keys.
func pair(t testing.TB, n int) ([]Segment, map[string]ed25519.PublicKey) {
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
		segments = append(segments, decodeOffers(t, w)...)
	}
	return segments, keys
}

func decodeOffers(t testing.TB, w *Writer) []Segment {
	t.Helper()
	var segments []Segment
	for _, o := range w.Unconfirmed() {
		s, err := DecodeSegment(o.Segment)
		if err != nil {
			t.Fatal(err)
		}
		segments = append(segments, s)
	}
	return segments
}

func firstKind(r Report) ProblemKind {
	if r.Valid() {
		return ""
	}
	return r.Problems[0].Kind
}

// Guards against a verification that accepts a manipulated record: each case breaks one rule.
func TestVerifyNamesWhatDoesNotHold(t *testing.T) {
	cases := []struct {
		name   string
		damage func([]Segment, map[string]ed25519.PublicKey) []Segment
		want   ProblemKind
	}{
		{"sound", func(s []Segment, _ map[string]ed25519.PublicKey) []Segment { return s }, ""},
		{"stored twice", func(s []Segment, _ map[string]ed25519.PublicKey) []Segment { return append(s, s[0]) }, ""},
		{"missing segment", func(s []Segment, _ map[string]ed25519.PublicKey) []Segment { return s[1:] }, ProblemMissing},
		{"foreign writer", func(s []Segment, keys map[string]ed25519.PublicKey) []Segment {
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
		{"sides disagree", func(s []Segment, _ map[string]ed25519.PublicKey) []Segment {
			return resign(t, s, 0, func(seg *Segment) { seg.Records[1].CompletionTokens = 19 })
		}, ProblemMismatch},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			segments, keys := pair(t, segmentRecords+5)
			report := Verify(c.damage(segments, keys), keys)
			if got := firstKind(report); got != c.want {
				t.Fatalf("first problem %q, want %q: %v", got, c.want, report.Problems)
			}
		})
	}
}

// resign changes a segment as its own writer would, so that only the content is wrong.
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

// Guards against a stored segment that takes all memory when it is read.
func TestOversizedSegmentIsRefused(t *testing.T) {
	packed, err := deflate(make([]byte, maxBody+1))
	if err != nil {
		t.Fatal(err)
	}
	data, err := encMode.Marshal(signedSegment{Packed: packed})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeSegment(data); err == nil || !strings.Contains(err.Error(), "more than") {
		t.Fatalf("got %v, want a refusal", err)
	}
}

// Guards against an export that either owner could edit without being found out offline.
func TestExportIsVerifiableOffline(t *testing.T) {
	segments, keys := pair(t, 3)
	var csv bytes.Buffer
	if err := Export(&csv, segments); err != nil {
		t.Fatal(err)
	}
	imported, problems, err := Import(bytes.NewReader(csv.Bytes()))
	if err != nil || len(problems) > 0 {
		t.Fatalf("import: %v, %v", err, problems)
	}
	if report := Verify(imported, keys); !report.Valid() || report.Compared != 3 {
		t.Fatalf("sound export: %+v", report)
	}

	edited := strings.Replace(csv.String(), ",completed,10,20,", ",completed,10,21,", 1)
	imported, problems, err = Import(strings.NewReader(edited))
	if err != nil {
		t.Fatal(err)
	}
	if len(problems) != 1 || problems[0].RequestID != "r0" || problems[0].Kind != ProblemChanged {
		t.Fatalf("edited record is not named: %v", problems)
	}
	if got := firstKind(Verify(imported, keys)); got != ProblemChanged {
		t.Fatalf("edited export verifies as %q", got)
	}
	report, err := VerifyExport(strings.NewReader(edited), keys)
	if err != nil {
		t.Fatal(err)
	}
	if first := report.Problems[0]; first.RequestID != "r0" {
		t.Fatalf("first problem is %v, want the edited record", first)
	}
}

// Guards against totals that change when the memory bound folds records during a long store outage.
func TestFoldingKeepsTotalsWithinTheBound(t *testing.T) {
	const n, bound = 5000, 64 << 10
	w := NewWriter("e1", SideEntry, testKey(1), bound)
	for i := range n {
		w.Add(testRecord(i), testStart)
		if got := w.Stats().Bytes; got > bound {
			t.Fatalf("after %d records the writer holds %d bytes, bound %d", i, got, bound)
		}
	}
	if w.Stats().Folded == 0 {
		t.Fatal("nothing was folded")
	}
	if err := w.SealFinal(); err != nil {
		t.Fatal(err)
	}
	totals := Totals(decodeOffers(t, w))
	if len(totals) != 1 || totals[0].Attempts != n || totals[0].UsefulTokens != 20*n {
		t.Fatalf("totals %+v, want %d attempts", totals, n)
	}
}

// Guards against a bill that counts an attempt twice, loses one that a crashed side did not count,
// or charges waste to the wrong owner.
func TestTotalsUnionOfBothCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry, sidecar := NewWriter("e1", SideEntry, testKey(1), 0), NewWriter("s1", SideSidecar, testKey(2), 0)
		var attempts, wasted uint64
		for i := range rapid.IntRange(1, 40).Draw(t, "attempts") {
			r := testRecord(i)
			if rapid.Bool().Draw(t, "wasted") {
				r.Outcome, r.WastedTokens, r.ChargedTo, r.UpstreamOwner = "interrupted", r.CompletionTokens, ChargeUpstreamOwner, "jadestone"
				wasted += r.WastedTokens
			}
			seen := rapid.IntRange(1, 3).Draw(t, "sides")
			if seen&1 != 0 {
				entry.Add(r, testStart)
			}
			if seen&2 != 0 {
				sidecar.Add(r, testStart)
			}
			attempts++
		}
		var segments []Segment
		for _, w := range []*Writer{entry, sidecar} {
			if err := w.SealFinal(); err != nil {
				t.Fatal(err)
			}
			for _, o := range w.Unconfirmed() {
				s, err := DecodeSegment(o.Segment)
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
			t.Fatalf("%d attempts billed, %d made", got, attempts)
		}
		for _, b := range Bills(totals) {
			if b.Owner == "jadestone" && b.WastedByUpstreams != wasted {
				t.Fatalf("upstream owner pays %d wasted tokens, want %d", b.WastedByUpstreams, wasted)
			}
			if b.Owner == "furano" && b.WastedByUpstreams != 0 {
				t.Fatalf("workspace owner pays %d tokens that the other owner's upstream wasted", b.WastedByUpstreams)
			}
		}
	})
}

// Measures verification rate; the metric is records per second.
func BenchmarkVerify(b *testing.B) {
	segments, keys := pair(b, 8*segmentRecords)
	b.ResetTimer()
	for b.Loop() {
		if report := Verify(segments, keys); !report.Valid() {
			b.Fatal(report.Problems[0])
		}
	}
	b.ReportMetric(float64(2*8*segmentRecords*b.N)/b.Elapsed().Seconds(), "records/s")
}

// variedRecord differs in what differs in production: a random request ID, time, workspace, class, upstream and amounts.
func variedRecord(random *rand.Rand, i int) Record {
	r := testRecord(i)
	r.RequestID = fmt.Sprintf("entry-%d-%016x", 1+i%2, random.Uint64())
	r.UnixMs += int64(random.IntN(10_000))
	r.Workspace, r.Class = fmt.Sprintf("workspace-%d", random.IntN(200)), fmt.Sprintf("class-%d", random.IntN(8))
	r.Upstream = fmt.Sprintf("sachetlm-%d", random.IntN(20))
	r.PromptTokens, r.CompletionTokens = uint64(random.IntN(4000)), uint64(random.IntN(1000))
	return r
}

// Measures the stored size of one record, signature and chain included.
func BenchmarkSegmentBytes(b *testing.B) {
	for _, n := range []int{10, 100, segmentRecords} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			var size int
			for b.Loop() {
				size = len(segmentOf(b, n))
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/record")
		})
	}
}

func segmentOf(b *testing.B, n int) []byte {
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

// Guards against damage to a stored chain that verification passes over, whatever record or segment it hits.
func TestVerifyFindsAnyDamage(t *testing.T) {
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
		for i, o := range w.Unconfirmed() {
			s, err := DecodeSegment(o.Segment)
			if err != nil {
				t.Fatal(err)
			}
			segments[i] = s
		}
		keys := map[string]ed25519.PublicKey{w.Name(): w.Registration().PublicKey}
		if report := Verify(segments, keys); !report.Valid() {
			t.Fatalf("sound chain: %v", report.Problems)
		}
		at := rapid.IntRange(0, len(segments)-2).Draw(t, "at")
		segments = damage(t, segments, at)
		if report := Verify(segments, keys); report.Valid() {
			t.Fatalf("damage of segment %d of %d is not found", at+1, len(segments))
		}
	})
}

// damage changes, drops or replaces a segment. The last one is spared: the end of a chain shows in the other count only.
func damage(t *rapid.T, segments []Segment, at int) []Segment {
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
