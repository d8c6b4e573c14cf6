package usage

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MethodOffer is the call by which a sidecar hands segments to an entry.
const MethodOffer = "usage.offer"

// Intervals of a Shipper.
const (
	// DefaultSealAge is the age at which pending records are sealed although a segment is not full.
	DefaultSealAge = 10 * time.Second
	shipInterval   = time.Second
	shipTimeout    = 5 * time.Second
)

// maxOfferBytes bounds the segments of one call; a frame between processes holds 1 MiB.
const maxOfferBytes = 512 << 10

// Sink takes segments; a nil error means that the store holds them.
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

// Shipper seals a writer's records and hands them to a sink until they are confirmed.
type Shipper struct {
	// Writer is the process's writer.
	Writer *Writer
	// Sink takes the segments.
	Sink Sink
	// SealAge is the age that seals a segment; 0 selects DefaultSealAge.
	SealAge time.Duration
	// OnError is told of failures, which are retried; it may be nil.
	OnError func(error)
}

// Run ships until ctx ends. Call Flush afterwards to ship the rest of a graceful shutdown.
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
	offers := s.Writer.Unconfirmed()
	if len(offers) == 0 {
		return nil
	}
	for len(offers) > 0 {
		batch := offers[:offerLength(offers)]
		if err := s.shipBatch(ctx, batch); err != nil {
			return err
		}
		offers = offers[len(batch):]
	}
	return nil
}

func (s *Shipper) shipBatch(ctx context.Context, batch []Offer) error {
	segments := make([][]byte, len(batch))
	for i, o := range batch {
		segments[i] = o.Segment
	}
	ctx, cancel := context.WithTimeout(ctx, shipTimeout)
	defer cancel()
	if err := s.Sink.Ship(ctx, s.Writer.Registration(), segments); err != nil {
		return err
	}
	s.Writer.Confirm(batch[len(batch)-1].Seq)
	return nil
}

// offerLength returns how many offers fit one call; at least one.
func offerLength(offers []Offer) int {
	size := 0
	for i := range offers {
		size += len(offers[i].Segment)
		if size > maxOfferBytes && i > 0 {
			return i
		}
	}
	return len(offers)
}

// Flush seals everything and retries until the store has confirmed it or ctx ends.
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

type offerCall struct {
	Registration Registration `cbor:"1,keyasint"`
	Segments     [][]byte     `cbor:"2,keyasint"`
}

// Caller calls a method of another process; peer sessions implement it.
type Caller interface {
	Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error)
}

// ErrNoEntry reports that a sidecar has no session to an entry, so its segments wait.
var ErrNoEntry = errors.New("no session to an entry")

// Relay is the Sink of a sidecar: it hands segments to entries over the sessions that they opened.
type Relay struct {
	// Caller reaches the entries.
	Caller Caller
	// Entries lists the instances of the entries with a session now.
	Entries func() []string
}

// Ship implements Sink. It tries each entry in turn until one confirms.
func (r *Relay) Ship(ctx context.Context, reg Registration, segments [][]byte) error {
	payload, err := encMode.Marshal(offerCall{Registration: reg, Segments: segments})
	if err != nil {
		return err
	}
	err = ErrNoEntry
	for _, entry := range r.Entries() {
		if _, err = r.Caller.Call(ctx, entry, MethodOffer, payload); err == nil {
			return nil
		}
	}
	return err
}

// ErrForeignWriter reports segments offered by a process that the writer's name does not belong to.
var ErrForeignWriter = errors.New("writer does not belong to the calling instance")

// HandleOffer answers MethodOffer at an entry. instance is the caller's name as its certificate proves it.
func (c *Collector) HandleOffer(ctx context.Context, instance string, payload []byte) ([]byte, error) {
	var call offerCall
	if err := cbor.Unmarshal(payload, &call); err != nil {
		return nil, err
	}
	if !ownsWriter(instance, call.Registration.Writer) {
		return nil, ErrForeignWriter
	}
	return nil, c.Ship(ctx, call.Registration, call.Segments)
}

func ownsWriter(instance, writer string) bool {
	at := strings.LastIndexByte(writer, '.')
	return at >= 0 && writer[:at] == instance
}
