package usage

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MethodOffer is the method by which a sidecar sends segments to an entry.
const MethodOffer = "usage.offer"

// Intervals and timeouts of a Shipper.
const (
	// DefaultSealAge is the age at which pending records are sealed even if the segment is not full.
	DefaultSealAge = 10 * time.Second
	shipInterval   = time.Second
	shipTimeout    = 5 * time.Second
)

// maxOfferBytes limits the total size of the segments in one call; a frame between processes is limited to 1 MiB.
const maxOfferBytes = 512 << 10

// Sink accepts segments; a nil error means that they are stored.
type Sink interface {
	// Ship stores the segments of one registered writer.
	Ship(ctx context.Context, reg Registration, segments [][]byte) error
}

// Ship implements Sink.
func (c *Collector) Ship(ctx context.Context, reg Registration, segments [][]byte) error {
	if err := c.Register(ctx, reg); err != nil {
		return err
	}
	return c.Put(ctx, segments)
}

// Shipper seals a writer's records and sends the segments to a sink until they are confirmed.
type Shipper struct {
	// Writer is the writer of this process.
	Writer *Writer
	// Sink receives the segments.
	Sink Sink
	// SealAge is the age at which pending records are sealed; 0 selects DefaultSealAge.
	SealAge time.Duration
	// OnError is called with each failure; failures are retried. It may be nil.
	OnError func(error)
}

// Run seals and sends segments until ctx ends. For a graceful shutdown, call Flush afterwards to send the remaining records.
func (s *Shipper) Run(ctx context.Context) {
	ticker := time.NewTicker(shipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.report(s.step(ctx, now))
		}
	}
}

func (s *Shipper) step(ctx context.Context, now time.Time) error {
	age := s.SealAge
	if age <= 0 {
		age = DefaultSealAge
	}
	if err := s.Writer.Seal(now, age); err != nil {
		return err
	}
	return s.ship(ctx)
}

func (s *Shipper) ship(ctx context.Context) error {
	unconfirmed := s.Writer.Unconfirmed()
	if len(unconfirmed) == 0 {
		return nil
	}
	for len(unconfirmed) > 0 {
		batch := unconfirmed[:batchLength(unconfirmed)]
		if err := s.shipBatch(ctx, batch); err != nil {
			return err
		}
		unconfirmed = unconfirmed[len(batch):]
	}
	return nil
}

func (s *Shipper) shipBatch(ctx context.Context, batch []EncodedSegment) error {
	segments := make([][]byte, len(batch))
	for i, encoded := range batch {
		segments[i] = encoded.Segment
	}
	ctx, cancel := context.WithTimeout(ctx, shipTimeout)
	defer cancel()
	if err := s.Sink.Ship(ctx, s.Writer.Registration(), segments); err != nil {
		return err
	}
	s.Writer.Confirm(batch[len(batch)-1].Seq)
	return nil
}

// batchLength returns how many of the segments fit into one call, at least one.
func batchLength(segments []EncodedSegment) int {
	size := 0
	for i := range segments {
		size += len(segments[i].Segment)
		if size > maxOfferBytes && i > 0 {
			return i
		}
	}
	return len(segments)
}

// Flush seals all pending records and sends the segments, with retries, until the store has confirmed them or ctx ends.
func (s *Shipper) Flush(ctx context.Context) error {
	if err := s.Writer.SealFinal(); err != nil {
		return err
	}
	for {
		err := s.ship(ctx)
		if err == nil {
			return nil
		}
		s.report(err)
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(shipInterval):
		}
	}
}

func (s *Shipper) report(err error) {
	if err != nil && s.OnError != nil {
		s.OnError(err)
	}
}

type offerRequest struct {
	Registration Registration `cbor:"1,keyasint"`
	Segments     [][]byte     `cbor:"2,keyasint"`
}

// PeerClient calls methods of other processes; peer sessions implement it.
type PeerClient interface {
	Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error)
}

// ErrNoEntry reports that a sidecar has no session with an entry; its segments stay unconfirmed and are sent again later.
var ErrNoEntry = errors.New("no session with an entry")

// Relay is the Sink of a sidecar: it forwards segments to an entry over a session that the entry opened.
type Relay struct {
	// Client sends the calls to the entries.
	Client PeerClient
	// Entries returns the instances of the entries that currently have a session.
	Entries func() []string
}

// Ship implements Sink. It tries the entries one after the other until one confirms.
func (r *Relay) Ship(ctx context.Context, reg Registration, segments [][]byte) error {
	payload, err := encMode.Marshal(offerRequest{Registration: reg, Segments: segments})
	if err != nil {
		return err
	}
	err = ErrNoEntry
	for _, entry := range r.Entries() {
		if _, err = r.Client.Call(ctx, entry, MethodOffer, payload); err == nil {
			return nil
		}
	}
	return err
}

// ErrWriterMismatch reports that the writer of the segments does not belong to the calling instance.
var ErrWriterMismatch = errors.New("writer does not belong to the calling instance")

// HandleOffer handles MethodOffer at an entry. instance is the name in the calling process's certificate.
func (c *Collector) HandleOffer(ctx context.Context, instance string, payload []byte) ([]byte, error) {
	var request offerRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	if !ownsWriter(instance, request.Registration.Writer) {
		return nil, ErrWriterMismatch
	}
	return nil, c.Ship(ctx, request.Registration, request.Segments)
}

func ownsWriter(instance, writer string) bool {
	at := strings.LastIndexByte(writer, '.')
	return at >= 0 && writer[:at] == instance
}
