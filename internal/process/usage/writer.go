package usage

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"time"
)

// Limits of a writer.
const (
	// maxSegmentRecords is the size of a full segment, which is sealed regardless of its age; 1,000 records encode to about 150 KB.
	maxSegmentRecords = 1000
	// maxUnconfirmedSegments is the number of sealed segments at which further records stay unsealed, so that they can be folded.
	maxUnconfirmedSegments = 8
)

// DefaultBufferBytes is the default limit on the memory for records that the store has not confirmed.
const DefaultBufferBytes = 64 << 20

// Writer collects the records of one process. It is safe for concurrent use.
type Writer struct {
	name        string
	side        Side
	key         ed25519.PrivateKey
	bufferBytes int

	mu            sync.Mutex
	pending       []Record
	pendingBytes  int
	oldestPending time.Time
	sealed        []sealedSegment
	sealedBytes   int
	seq           uint64
	prevHash      Hash
	folded        uint64
	final         bool
}

type sealedSegment struct {
	segment Segment
	encoded []byte
}

// NewWriter returns the writer for one process start. bufferBytes limits its memory; 0 selects DefaultBufferBytes.
func NewWriter(instance string, side Side, key ed25519.PrivateKey, bufferBytes int) *Writer {
	if bufferBytes <= 0 {
		bufferBytes = DefaultBufferBytes
	}
	var suffix [6]byte
	_, _ = rand.Read(suffix[:]) // never fails
	return &Writer{name: instance + "." + hex.EncodeToString(suffix[:]), side: side, key: key, bufferBytes: bufferBytes}
}

// Name returns the writer's name, INSTANCE.RANDOM.
func (w *Writer) Name() string { return w.name }

// Registration returns the writer's name, side and public key.
func (w *Writer) Registration() Registration {
	return Registration{Writer: w.name, Side: w.side, PublicKey: w.key.Public().(ed25519.PublicKey)}
}

// Add records one ended attempt. Above the memory limit, unsealed records are folded into totals.
func (w *Writer) Add(r Record, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Side = w.side
	if len(w.pending) == 0 {
		w.oldestPending = now
	}
	w.pending = append(w.pending, r)
	w.pendingBytes += r.size()
	if w.pendingBytes+w.sealedBytes > w.bufferBytes {
		w.foldPending()
	}
}

func (w *Writer) foldPending() {
	before := len(w.pending)
	w.pending = fold(w.pending)
	w.pendingBytes = 0
	for i := range w.pending {
		w.pendingBytes += w.pending[i].size()
	}
	w.folded += uint64(before - len(w.pending))
}

// Seal puts pending records into signed segments once the oldest is maxAge old or a segment is full.
// While maxUnconfirmedSegments segments are unconfirmed, records stay pending.
func (w *Writer) Seal(now time.Time, maxAge time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) > 0 && len(w.sealed) < maxUnconfirmedSegments {
		if len(w.pending) < maxSegmentRecords && now.Sub(w.oldestPending) < maxAge {
			return nil
		}
		if err := w.sealOne(false); err != nil {
			return err
		}
	}
	return nil
}

// SealFinal seals all pending records and marks the last segment as the end of the chain after a graceful shutdown.
func (w *Writer) SealFinal() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.final {
		return nil
	}
	for len(w.pending) > maxSegmentRecords {
		if err := w.sealOne(false); err != nil {
			return err
		}
	}
	w.final = true
	return w.sealOne(true)
}

func (w *Writer) sealOne(final bool) error {
	n := min(len(w.pending), maxSegmentRecords)
	records := append([]Record(nil), w.pending[:n]...)
	segment := Segment{Writer: w.name, Side: w.side, Seq: w.seq + 1, PrevHash: w.prevHash, Records: records, Final: final}
	if err := segment.sign(w.key); err != nil {
		return err
	}
	encoded, err := segment.Encode()
	if err != nil {
		return fmt.Errorf("encode segment %s/%d: %w", w.name, segment.Seq, err)
	}
	for i := range records {
		w.pendingBytes -= records[i].size()
	}
	w.pending = append([]Record(nil), w.pending[n:]...)
	w.sealed = append(w.sealed, sealedSegment{segment: segment, encoded: encoded})
	w.sealedBytes += len(encoded)
	w.seq, w.prevHash = segment.Seq, segment.Hash
	return nil
}

// Unconfirmed returns the encoded segments that the store has not confirmed, oldest first.
func (w *Writer) Unconfirmed() []EncodedSegment {
	w.mu.Lock()
	defer w.mu.Unlock()
	segments := make([]EncodedSegment, 0, len(w.sealed))
	for _, s := range w.sealed {
		segments = append(segments, EncodedSegment{Seq: s.segment.Seq, Segment: s.encoded})
	}
	return segments
}

// Confirm drops the segments up to and including seq. Call it only after they are stored.
func (w *Writer) Confirm(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.sealed) > 0 && w.sealed[0].segment.Seq <= seq {
		w.sealedBytes -= len(w.sealed[0].encoded)
		w.sealed = w.sealed[1:]
	}
}

// Stats describes the records and segments in a writer's memory.
type Stats struct {
	// Pending is the number of unsealed records.
	Pending int
	// Unconfirmed is the number of sealed segments that the store has not confirmed.
	Unconfirmed int
	// Bytes is the memory used by both.
	Bytes int
	// Folded is the number of records merged into totals so far.
	Folded uint64
}

// Stats returns the writer's current counts and memory use.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Stats{Pending: len(w.pending), Unconfirmed: len(w.sealed), Bytes: w.pendingBytes + w.sealedBytes, Folded: w.folded}
}
