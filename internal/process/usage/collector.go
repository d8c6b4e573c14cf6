package usage

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Kinds of stored objects.
const (
	// KindBundle is the kind of objects with segments of several writers, named COLLECTOR/NNNNNNNNNN.
	KindBundle = "usage"
	// KindKey is the kind of objects with the registration of a writer's public key, named WRITER.
	// They are created once and never updated.
	KindKey = "usagekey"
)

// maxBundleBytes leaves 64 KiB of the store's value limit for the encoding of a bundle.
const maxBundleBytes = store.MaxValue - 64<<10

// DefaultBundleInterval is the minimum interval between two bundles of a collector. 7,600 sidecars that seal a segment
// every 10 s send 760 segments per second to 360 entries. One write per segment would exceed the store's capacity of
// several hundred writes per second; one bundle per entry every 2 s takes 180 per second.
const DefaultBundleInterval = 2 * time.Second

// EncodedSegment is a sealed segment in its stored form.
type EncodedSegment struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Segment []byte `cbor:"2,keyasint"`
}

// Registration publishes a writer's public key.
type Registration struct {
	Writer    string            `json:"writer" cbor:"1,keyasint"`
	Side      Side              `json:"side" cbor:"2,keyasint"`
	PublicKey ed25519.PublicKey `json:"public_key" cbor:"3,keyasint"`
}

// ErrKeyConflict reports that another public key is registered under the writer's name.
var ErrKeyConflict = errors.New("writer name is registered with another public key")

// Collector writes segments of its own process and of sidecars to the store. It combines many segments in one object,
// because the store's call rate is limited and does not allow 7,600 sidecars to write on their own.
// It is safe for concurrent use.
type Collector struct {
	name  string
	store store.Client

	// interval is the minimum interval between two bundles.
	interval time.Duration
	// writeLock has one element while a caller waits for the interval or writes; requests of other callers that arrive
	// meanwhile go into the same or the next bundle.
	writeLock chan struct{}
	lastWrite time.Time

	mu         sync.Mutex
	queued     []*putRequest
	registered map[string]bool
	seq        uint64
}

type putRequest struct {
	segments [][]byte
	done     chan error
}

// NewCollector returns a collector. name prefixes the names of its bundles and must be unique for each process start.
func NewCollector(name string, client store.Client) *Collector {
	return &Collector{
		name: name, store: client, interval: DefaultBundleInterval, writeLock: make(chan struct{}, 1), registered: make(map[string]bool),
	}
}

// Register publishes a writer's key. It is idempotent; a different key under the same name fails with ErrKeyConflict.
func (c *Collector) Register(ctx context.Context, reg Registration) error {
	c.mu.Lock()
	known := c.registered[reg.Writer]
	c.mu.Unlock()
	if known {
		return nil
	}
	value, err := json.Marshal(reg)
	if err != nil {
		return fmt.Errorf("encode registration of %s: %w", reg.Writer, err)
	}
	_, err = c.store.Create(ctx, KindKey, reg.Writer, value)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) {
		err = c.checkRegistered(ctx, reg)
	}
	if err != nil {
		return fmt.Errorf("register usage key of %s: %w", reg.Writer, err)
	}
	c.mu.Lock()
	c.registered[reg.Writer] = true
	c.mu.Unlock()
	return nil
}

func (c *Collector) checkRegistered(ctx context.Context, reg Registration) error {
	obj, err := c.store.Get(ctx, KindKey, reg.Writer)
	if err != nil {
		return err
	}
	var stored Registration
	if err := json.Unmarshal(obj.Value, &stored); err != nil {
		return fmt.Errorf("decode stored registration: %w", err)
	}
	if !stored.PublicKey.Equal(reg.PublicKey) {
		return ErrKeyConflict
	}
	return nil
}

// Put stores the segments. It returns nil only after the store has confirmed them. After an error they may or may not be
// stored; retry with the same segments, since a segment that is stored twice counts once.
func (c *Collector) Put(ctx context.Context, segments [][]byte) error {
	if len(segments) == 0 {
		return nil
	}
	req := &putRequest{segments: segments, done: make(chan error, 1)}
	c.mu.Lock()
	c.queued = append(c.queued, req)
	c.mu.Unlock()

	select {
	case err := <-req.done: // written by another caller
		return err
	case c.writeLock <- struct{}{}:
	}
	c.waitInterval(ctx)
	// The bundle also contains segments of other callers, so cancelling this call must not cancel the write.
	writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shipTimeout)
	defer cancel()
	c.flush(writeCtx)
	c.lastWrite = time.Now()
	<-c.writeLock
	return <-req.done
}

// waitInterval waits until the interval since the last bundle has passed or ctx ends.
func (c *Collector) waitInterval(ctx context.Context) {
	timer := time.NewTimer(c.interval - time.Since(c.lastWrite))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// flush writes all queued requests, in as few bundles as the value limit allows.
// Requests already flushed by another caller are no longer in the queue.
func (c *Collector) flush(ctx context.Context) {
	c.mu.Lock()
	queued := c.queued
	c.queued = nil
	c.mu.Unlock()
	for len(queued) > 0 {
		n := bundleLength(queued)
		err := c.writeBundle(ctx, queued[:n])
		for _, req := range queued[:n] {
			req.done <- err
		}
		queued = queued[n:]
	}
}

// bundleLength returns how many of the requests fit into one bundle, at least one.
func bundleLength(requests []*putRequest) int {
	size := 0
	for i, req := range requests {
		for _, s := range req.segments {
			size += len(s)
		}
		if size > maxBundleBytes && i > 0 {
			return i
		}
	}
	return len(requests)
}

func (c *Collector) writeBundle(ctx context.Context, requests []*putRequest) error {
	var segments [][]byte
	for _, req := range requests {
		segments = append(segments, req.segments...)
	}
	value, err := encMode.Marshal(segments)
	if err != nil {
		return fmt.Errorf("encode usage bundle: %w", err)
	}
	for {
		name := bundleName(c.name, c.seq+1)
		_, err = c.store.Create(ctx, KindBundle, name, value)
		if errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrConflict) {
			same, readErr := c.isStored(ctx, name, value)
			if readErr != nil {
				return fmt.Errorf("read back usage bundle %s: %w", name, readErr)
			}
			if !same {
				if errors.Is(err, store.ErrConflict) {
					c.seq++ // taken by an earlier write whose response was lost
					continue
				}
				return fmt.Errorf("write usage bundle %s: %w", name, err)
			}
			err = nil
		}
		if err != nil {
			return fmt.Errorf("write usage bundle %s: %w", name, err)
		}
		c.seq++
		return nil
	}
}

// isStored reports whether the bundle exists with exactly this value.
func (c *Collector) isStored(ctx context.Context, name string, value []byte) (bool, error) {
	obj, err := c.store.Get(ctx, KindBundle, name)
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	return bytes.Equal(obj.Value, value), err
}

func bundleName(collector string, seq uint64) string { return fmt.Sprintf("%s/%010d", collector, seq) }

func decodeBundle(value []byte) ([]Segment, error) {
	var encoded [][]byte
	if err := cbor.Unmarshal(value, &encoded); err != nil {
		return nil, fmt.Errorf("decode usage bundle: %w", err)
	}
	segments := make([]Segment, 0, len(encoded))
	for _, data := range encoded {
		s, err := DecodeSegment(data)
		if err != nil {
			return nil, err
		}
		segments = append(segments, s)
	}
	return segments, nil
}
