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

// Kinds of store objects.
const (
	// KindBundle holds segments of several writers, named COLLECTOR/NNNNNNNNNN.
	KindBundle = "usage"
	// KindKey holds the registration of a writer's public key, named WRITER. It is created once and never updated.
	KindKey = "usagekey"
)

// maxBundleBytes keeps a bundle with its encoding below the store's value limit.
const maxBundleBytes = store.MaxValue - 64<<10

// DefaultBundleInterval is the shortest time between two bundles of a collector. 7,600 sidecars that seal a segment every
// 10 s hand 760 segments a second to 360 entries; written one by one they would take more than the store's several hundred
// writes a second, gathered for 2 s they take 180.
const DefaultBundleInterval = 2 * time.Second

// Offer is one sealed segment on its way to the store.
type Offer struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Segment []byte `cbor:"2,keyasint"`
}

// Registration publishes a writer's public key.
type Registration struct {
	Writer    string            `json:"writer" cbor:"1,keyasint"`
	Side      Side              `json:"side" cbor:"2,keyasint"`
	PublicKey ed25519.PublicKey `json:"public_key" cbor:"3,keyasint"`
}

// ErrForeignKey reports that another public key is registered under the writer's name.
var ErrForeignKey = errors.New("writer name is registered with another public key")

// Collector writes segments of its own process and of sidecars to the store, many segments to an object,
// because the store counts calls and 7,600 sidecars cannot each call it. It is safe for concurrent use.
type Collector struct {
	name  string
	store store.Client

	// interval is the shortest time between two bundles.
	interval time.Duration
	// writing has one element while a caller gathers or writes; callers that arrive meanwhile share the next bundle.
	writing chan struct{}
	written time.Time

	mu         sync.Mutex
	waiting    []*putRequest
	registered map[string]bool
	seq        uint64
}

type putRequest struct {
	segments [][]byte
	done     chan error
}

// NewCollector returns a collector whose bundles are named after name, which must be unique for each process start.
func NewCollector(name string, client store.Client) *Collector {
	return &Collector{
		name: name, store: client, interval: DefaultBundleInterval, writing: make(chan struct{}, 1), registered: make(map[string]bool),
	}
}

// Register publishes a writer's key. It is idempotent; a different key under the same name fails with ErrForeignKey.
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
		return ErrForeignKey
	}
	return nil
}

// Put returns nil only after the store holds the segments. After an error they may be stored or not; offer them again,
// since a segment that is stored twice counts once.
func (c *Collector) Put(ctx context.Context, segments [][]byte) error {
	if len(segments) == 0 {
		return nil
	}
	req := &putRequest{segments: segments, done: make(chan error, 1)}
	c.mu.Lock()
	c.waiting = append(c.waiting, req)
	c.mu.Unlock()

	select {
	case err := <-req.done: // another caller has written it
		return err
	case c.writing <- struct{}{}:
	}
	c.gather(ctx)
	// The bundle carries the segments of others too, so it does not end with this caller.
	shared, cancel := context.WithTimeout(context.WithoutCancel(ctx), shipTimeout)
	defer cancel()
	c.flush(shared)
	c.written = time.Now()
	<-c.writing
	return <-req.done
}

// gather waits until the interval since the last bundle has passed, or ctx ends.
func (c *Collector) gather(ctx context.Context) {
	timer := time.NewTimer(c.interval - time.Since(c.written))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// flush writes everything that waits, in as few bundles as the value limit allows.
// Requests that another caller has flushed already are no longer in waiting.
func (c *Collector) flush(ctx context.Context) {
	c.mu.Lock()
	waiting := c.waiting
	c.waiting = nil
	c.mu.Unlock()
	for len(waiting) > 0 {
		n := bundleLength(waiting)
		err := c.writeBundle(ctx, waiting[:n])
		for _, req := range waiting[:n] {
			req.done <- err
		}
		waiting = waiting[n:]
	}
}

func bundleLength(waiting []*putRequest) int {
	size := 0
	for i, req := range waiting {
		for _, s := range req.segments {
			size += len(s)
		}
		if size > maxBundleBytes && i > 0 {
			return i
		}
	}
	return len(waiting)
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
			same, readErr := c.holds(ctx, name, value)
			if readErr != nil {
				return fmt.Errorf("read back usage bundle %s: %w", name, readErr)
			}
			if !same {
				if errors.Is(err, store.ErrConflict) {
					c.seq++ // an earlier write with a lost answer took this number
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

func (c *Collector) holds(ctx context.Context, name string, value []byte) (bool, error) {
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
