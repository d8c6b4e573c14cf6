package usage

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"time"
)

// Bounds of a writer.
const (
	// segmentRecords is the number of records that seals a segment at once; 1,000 records encode to about 150 KB.
	segmentRecords = 1000
	// maxUnconfirmed is the number of sealed segments beyond which records stay unsealed, so that they can be folded.
	maxUnconfirmed = 8
)

// DefaultBufferBytes is the default bound on the memory for records that the store has not confirmed.
const DefaultBufferBytes = 64 << 20

// Writer collects the records of one process. It is safe for concurrent use.
type Writer struct {
	name   string
	side   Side
	key    ed25519.PrivateKey
	buffer int

	mu          sync.Mutex
	pending     []Record
	pendingSize int
	oldest      time.Time
	sealed      []sealedSegment
	sealedSize  int
	seq         uint64
	prev        Hash
	folded      uint64
	final       bool
}

type sealedSegment struct {
	segment Segment
	encoded []byte
}

// NewWriter returns the writer of one process start. bufferBytes bounds its memory; 0 selects DefaultBufferBytes.
func NewWriter(instance string, side Side, key ed25519.PrivateKey, bufferBytes int) *Writer {
	if bufferBytes <= 0 {
		bufferBytes = DefaultBufferBytes
	}
	var start [6]byte
	_, _ = rand.Read(start[:]) // never fails
	return &Writer{name: instance + "." + hex.EncodeToString(start[:]), side: side, key: key, buffer: bufferBytes}
}

// Name returns the writer's name, INSTANCE.RANDOM.
func (w *Writer) Name() string { return w.name }

// Registration returns the public key under the writer's name.
func (w *Writer) Registration() Registration {
	return Registration{Writer: w.name, Side: w.side, PublicKey: w.key.Public().(ed25519.PublicKey)}
}

// Add counts one ended attempt. At the memory bound, unsealed records are folded into totals.
func (w *Writer) Add(r Record, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Side = w.side
	if len(w.pending) == 0 {
		w.oldest = now
	}
	w.pending = append(w.pending, r)
	w.pendingSize += r.size()
	if w.pendingSize+w.sealedSize > w.buffer {
		w.foldPending()
	}
}

func (w *Writer) foldPending() {
	before := len(w.pending)
	w.pending = fold(w.pending)
	w.pendingSize = 0
	for i := range w.pending {
		w.pendingSize += w.pending[i].size()
	}
	w.folded += uint64(before - len(w.pending))
}

// Seal signs pending records into segments once they are maxAge old or a segment is full.
// While maxUnconfirmed segments wait for the store, records stay pending.
func (w *Writer) Seal(now time.Time, maxAge time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) > 0 && len(w.sealed) < maxUnconfirmed {
		if len(w.pending) < segmentRecords && now.Sub(w.oldest) < maxAge {
			return nil
		}
		if err := w.sealOne(false); err != nil {
			return err
		}
	}
	return nil
}

// SealFinal signs everything pending and marks the chain as ended by a graceful shutdown.
func (w *Writer) SealFinal() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.final {
		return nil
	}
	for len(w.pending) > segmentRecords {
		if err := w.sealOne(false); err != nil {
			return err
		}
	}
	w.final = true
	return w.sealOne(true)
}

func (w *Writer) sealOne(final bool) error {
	n := min(len(w.pending), segmentRecords)
	records := append([]Record(nil), w.pending[:n]...)
	segment := Segment{Writer: w.name, Side: w.side, Seq: w.seq + 1, PrevHash: w.prev, Records: records, Final: final}
	if err := segment.sign(w.key); err != nil {
		return err
	}
	encoded, err := segment.Encode()
	if err != nil {
		return fmt.Errorf("encode segment %s/%d: %w", w.name, segment.Seq, err)
	}
	for i := range records {
		w.pendingSize -= records[i].size()
	}
	w.pending = append([]Record(nil), w.pending[n:]...)
	w.sealed = append(w.sealed, sealedSegment{segment: segment, encoded: encoded})
	w.sealedSize += len(encoded)
	w.seq, w.prev = segment.Seq, segment.Hash
	return nil
}

// Unconfirmed returns the encoded segments that the store has not confirmed, oldest first.
func (w *Writer) Unconfirmed() []Offer {
	w.mu.Lock()
	defer w.mu.Unlock()
	offers := make([]Offer, 0, len(w.sealed))
	for _, s := range w.sealed {
		offers = append(offers, Offer{Seq: s.segment.Seq, Segment: s.encoded})
	}
	return offers
}

// Confirm drops the segments up to seq; call it only after the store holds them.
func (w *Writer) Confirm(seq uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.sealed) > 0 && w.sealed[0].segment.Seq <= seq {
		w.sealedSize -= len(w.sealed[0].encoded)
		w.sealed = w.sealed[1:]
	}
}

// Stats describes what a writer holds.
type Stats struct {
	// Pending is the number of unsealed records.
	Pending int
	// Unconfirmed is the number of sealed segments that the store has not confirmed.
	Unconfirmed int
	// Bytes is the memory that both take.
	Bytes int
	// Folded is the number of records merged into totals so far.
	Folded uint64
}

// Stats returns what the writer holds now.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Stats{Pending: len(w.pending), Unconfirmed: len(w.sealed), Bytes: w.pendingSize + w.sealedSize, Folded: w.folded}
}
