package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// FenceKind is the store kind of the objects with the highest fencing number accepted for each upstream.
const FenceKind = "fence"

// StaleFenceError reports an order whose fencing number is lower than one accepted before.
type StaleFenceError struct {
	// Fence is the order's fencing number, Accepted the highest accepted one.
	Fence, Accepted uint64
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("fencing number %d is older than the accepted %d", e.Fence, e.Accepted)
}

type fenceRecord struct {
	Fence uint64 `json:"fence"`
}

// FenceChecker checks the fencing numbers of orders at a sidecar. It writes the highest accepted number to the store
// before it runs an order, so that the number survives a restart of the sidecar. It is safe for concurrent use.
type FenceChecker struct {
	store    store.Client
	upstream string

	mu      contextMutex
	loaded  bool
	obj     store.Object
	highest uint64
}

// NewFenceChecker returns the FenceChecker of an upstream. It reads the store when it checks the first order.
func NewFenceChecker(client store.Client, upstream string) *FenceChecker {
	return &FenceChecker{store: client, upstream: upstream, mu: newContextMutex()}
}

// contextMutex is a mutex that stays locked during store calls. A context can cancel the wait for it.
type contextMutex chan struct{}

func newContextMutex() contextMutex { return make(contextMutex, 1) }

func (m contextMutex) lock(ctx context.Context) error {
	select {
	case m <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m contextMutex) unlock() { <-m }

// Run calls run if the fencing number is not lower than any accepted one. Orders run one at a time, so that no order
// with a higher number can finish between the check and the call of run. While the stored number has to be read and cannot
// be, every order fails without being run; while it cannot be written, every order with a higher number does.
func (c *FenceChecker) Run(ctx context.Context, fence uint64, run func(context.Context) error) error {
	if err := c.mu.lock(ctx); err != nil {
		return err
	}
	defer c.mu.unlock()
	if err := c.accept(ctx, fence); err != nil {
		return err
	}
	return run(ctx)
}

func (c *FenceChecker) accept(ctx context.Context, fence uint64) error {
	if !c.loaded {
		if err := c.load(ctx); err != nil {
			return err
		}
	}
	if fence > c.highest {
		if err := c.storeHighest(ctx, fence); err != nil {
			return err
		}
	}
	if fence < c.highest {
		return &StaleFenceError{Fence: fence, Accepted: c.highest}
	}
	return nil
}

func (c *FenceChecker) load(ctx context.Context) error {
	obj, err := c.store.Get(ctx, FenceKind, c.upstream)
	if errors.Is(err, store.ErrNotFound) {
		c.loaded, c.obj = true, store.Object{Kind: FenceKind, Name: c.upstream}
		return nil
	}
	if err != nil {
		return fmt.Errorf("read fence of %s: %w", c.upstream, err)
	}
	var rec fenceRecord
	if err := json.Unmarshal(obj.Value, &rec); err != nil {
		return fmt.Errorf("fence of %s has an invalid value: %w", c.upstream, err)
	}
	c.loaded, c.obj, c.highest = true, obj, max(c.highest, rec.Fence)
	return nil
}

// storeHighest stores the number. After a conflict or a lost response it reads the stored number and uses that one.
func (c *FenceChecker) storeHighest(ctx context.Context, fence uint64) error {
	value, err := json.Marshal(fenceRecord{Fence: fence})
	if err != nil {
		return fmt.Errorf("encode fence of %s: %w", c.upstream, err)
	}
	obj := c.obj
	obj.Value = value
	var written store.Object
	if obj.Version == 0 {
		written, err = c.store.Create(ctx, obj.Kind, obj.Name, value)
	} else {
		written, err = c.store.Update(ctx, obj)
	}
	if err == nil {
		c.obj, c.highest = written, fence
		return nil
	}
	c.loaded = false
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return fmt.Errorf("write fence of %s: %w", c.upstream, err)
	}
	if loadErr := c.load(ctx); loadErr != nil {
		return loadErr
	}
	if c.highest < fence {
		return fmt.Errorf("write fence of %s: %w", c.upstream, err)
	}
	return nil
}
