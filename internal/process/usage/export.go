package usage

import (
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"strconv"
)

// exportColumns are the columns of the CSV export. The first eight describe the segment and are repeated for each of its
// records, so that signatures can be verified offline from the file and the public keys.
var exportColumns = []string{
	"writer", "writer_side", "segment", "previous_sha256", "segment_sha256", "signature", "final", "record",
	"record_sha256", "request_id", "attempt", "side", "unix_ms", "owner", "workspace", "class", "model", "service", "upstream",
	"upstream_owner", "outcome", "prompt_tokens", "completion_tokens", "wasted_tokens", "charged_to", "folded",
}

const (
	// segmentColumns is the number of columns that describe the segment.
	segmentColumns = 8
	// columnRecordHash is the index of the record's hash, by which verification finds the changed record; the signature
	// covers the whole segment.
	columnRecordHash = 8
)

// Export writes the segments as CSV, one line per record. A segment without records is one line with record 0.
func Export(w io.Writer, segments []Segment) error {
	out := csv.NewWriter(w)
	if err := out.Write(exportColumns); err != nil {
		return err
	}
	for _, chain := range groupByWriter(segments) {
		for i := range chain {
			if err := exportSegment(out, &chain[i]); err != nil {
				return err
			}
		}
	}
	out.Flush()
	return out.Error()
}

func exportSegment(out *csv.Writer, s *Segment) error {
	if len(s.Records) == 0 {
		return out.Write(append(segmentFields(s, 0), make([]string, len(exportColumns)-segmentColumns)...))
	}
	for i := range s.Records {
		fields, err := recordFields(&s.Records[i])
		if err != nil {
			return err
		}
		if err := out.Write(append(segmentFields(s, i+1), fields...)); err != nil {
			return err
		}
	}
	return nil
}

func segmentFields(s *Segment, index int) []string {
	return []string{
		s.Writer, string(s.Side), strconv.FormatUint(s.Seq, 10), hex.EncodeToString(s.PrevHash[:]), hex.EncodeToString(s.Hash[:]),
		hex.EncodeToString(s.Signature), strconv.FormatBool(s.Final), strconv.Itoa(index),
	}
}

func recordFields(r *Record) ([]string, error) {
	hash, err := recordHash(r)
	if err != nil {
		return nil, err
	}
	return []string{
		hash, r.RequestID, strconv.FormatUint(uint64(r.Attempt), 10), string(r.Side), strconv.FormatInt(r.UnixMs, 10),
		r.Owner, r.Workspace, r.Class, r.Model, r.Service, r.Upstream, r.UpstreamOwner, r.Outcome,
		strconv.FormatUint(r.PromptTokens, 10), strconv.FormatUint(r.CompletionTokens, 10), strconv.FormatUint(r.WastedTokens, 10),
		string(r.ChargedTo), strconv.FormatUint(r.Folded, 10),
	}, nil
}

func recordHash(r *Record) (string, error) {
	data, err := encMode.Marshal(r)
	if err != nil {
		return "", fmt.Errorf("encode record of %s: %w", r.RequestID, err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Import reads an export. Records whose content does not match their hash are returned as problems. The segments' hashes
// are computed from the records in the file, not taken from its hash column, so that Verify detects edited records.
func Import(r io.Reader) ([]Segment, []Problem, error) {
	in := csv.NewReader(r)
	in.FieldsPerRecord = len(exportColumns)
	header, err := in.Read()
	if err != nil {
		return nil, nil, fmt.Errorf("read usage export: %w", err)
	}
	if !slices.Equal(header, exportColumns) {
		return nil, nil, fmt.Errorf("usage export: line 1: columns must be %v", exportColumns)
	}
	var im importer
	for {
		fields, err := in.Read()
		if err == io.EOF {
			segments, err := im.finish()
			return segments, im.problems, err
		}
		if err != nil {
			return nil, nil, fmt.Errorf("read usage export: %w", err)
		}
		if err := im.addLine(fields); err != nil {
			line, _ := in.FieldPos(0)
			return nil, nil, fmt.Errorf("usage export: line %d: %w", line, err)
		}
	}
}

type importer struct {
	segments []Segment
	problems []Problem
}

func (im *importer) addLine(fields []string) error {
	p := fieldParser{fields: fields}
	segment := Segment{
		Writer: fields[0], Side: Side(fields[1]), Seq: p.uint(2, 64), PrevHash: p.hash(3), Signature: p.bytes(5), Final: p.bool(6),
	}
	index := int(p.uint(7, 32))
	if p.err != nil {
		return p.err
	}
	if n := len(im.segments); n == 0 || !sameSegment(&im.segments[n-1], &segment) {
		im.segments = append(im.segments, segment)
	}
	s := &im.segments[len(im.segments)-1]
	if index == 0 {
		return nil
	}
	record := p.record()
	if p.err != nil {
		return p.err
	}
	s.Records = append(s.Records, record)
	im.checkRecordHash(s, index, &record, fields[columnRecordHash])
	return nil
}

// checkRecordHash checks the position and the hash of the last record of s.
func (im *importer) checkRecordHash(s *Segment, index int, r *Record, claimed string) {
	problem := Problem{Writer: s.Writer, Seq: s.Seq, Index: index, RequestID: r.RequestID, Attempt: r.Attempt}
	if index != len(s.Records) {
		problem.Kind, problem.Detail = ProblemMissing, fmt.Sprintf("record %d is at position %d of its segment", index, len(s.Records))
		im.problems = append(im.problems, problem)
		return
	}
	if hash, err := recordHash(r); err != nil || hash != claimed {
		problem.Kind, problem.Detail = ProblemChanged, "content does not match the record's hash"
		im.problems = append(im.problems, problem)
	}
}

func sameSegment(a, b *Segment) bool {
	return a.Writer == b.Writer && a.Seq == b.Seq && a.PrevHash == b.PrevHash && slices.Equal(a.Signature, b.Signature)
}

func (im *importer) finish() ([]Segment, error) {
	for i := range im.segments {
		body, err := im.segments[i].encodeBody()
		if err != nil {
			return nil, err
		}
		im.segments[i].Hash = sha256.Sum256(body)
	}
	return im.segments, nil
}

// fieldParser parses the fields of a line. It records the first error, so that callers check once per line.
type fieldParser struct {
	fields []string
	err    error
}

func (p *fieldParser) fail(i int, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("column %s: %q is not %s", exportColumns[i], p.fields[i], want)
	}
}

func (p *fieldParser) uint(i, bits int) uint64 {
	n, err := strconv.ParseUint(p.fields[i], 10, bits)
	if err != nil {
		p.fail(i, "a whole number")
	}
	return n
}

func (p *fieldParser) bool(i int) bool {
	v, err := strconv.ParseBool(p.fields[i])
	if err != nil {
		p.fail(i, "true or false")
	}
	return v
}

func (p *fieldParser) bytes(i int) []byte {
	v, err := hex.DecodeString(p.fields[i])
	if err != nil {
		p.fail(i, "hexadecimal")
	}
	return v
}

func (p *fieldParser) hash(i int) Hash {
	v := p.bytes(i)
	if len(v) != sha256.Size {
		p.fail(i, "a SHA-256 hash in hexadecimal")
		return Hash{}
	}
	return Hash(v)
}

func (p *fieldParser) record() Record {
	f := p.fields[columnRecordHash+1:]
	first := columnRecordHash + 1
	unixMs, err := strconv.ParseInt(f[3], 10, 64)
	if err != nil {
		p.fail(first+3, "a whole number")
	}
	return Record{
		RequestID: f[0], Attempt: uint32(p.uint(first+1, 32)), Side: Side(f[2]), UnixMs: unixMs,
		Owner: f[4], Workspace: f[5], Class: f[6], Model: f[7], Service: f[8], Upstream: f[9], UpstreamOwner: f[10], Outcome: f[11],
		PromptTokens: p.uint(first+12, 64), CompletionTokens: p.uint(first+13, 64), WastedTokens: p.uint(first+14, 64),
		ChargedTo: ChargedTo(f[15]), Folded: p.uint(first+16, 64),
	}
}
