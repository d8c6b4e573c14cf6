package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// FenceKind is the store kind of the highest fencing number that an upstream accepted.
const FenceKind = "fence"

// StaleFenceError reports an order with a fencing number below one that was accepted before.
type StaleFenceError struct {
	// Fence is the order's number, Accepted the highest accepted one.
	Fence, Accepted uint64
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("fencing number %d is older than the accepted %d", e.Fence, e.Accepted)
}

type fenceRecord struct {
	Fence uint64 `json:"fence"`
}

// Gate is a sidecar's check of fencing numbers. The highest accepted number is in the store before an order is let
// through, so that it survives a restart of the sidecar. It is safe for concurrent use.
type Gate struct {
	store    store.Client
	upstream string

	turn   turn
	loaded bool
	obj    store.Object
	high   uint64
}

// NewGate returns the Gate of an upstream; it reads the store at the first order.
func NewGate(c store.Client, upstream string) *Gate {
	return &Gate{store: c, upstream: upstream, turn: newTurn()}
}

// turn is a lock that is held during store calls; waiting for it ends with the context.
type turn chan struct{}

func newTurn() turn { return make(turn, 1) }

func (t turn) take(ctx context.Context) error {
	select {
	case t <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t turn) release() { <-t }

// Pass runs act if the fencing number is not older than any accepted one. Orders run one at a time, so that no order
// with a newer number can finish between the check and the action. While the store cannot be read or written, an order
// with a new number is refused: nothing was run.
func (g *Gate) Pass(ctx context.Context, fence uint64, act func(context.Context) error) error {
	if err := g.turn.take(ctx); err != nil {
		return err
	}
	defer g.turn.release()
	if err := g.accept(ctx, fence); err != nil {
		return err
	}
	return act(ctx)
}

func (g *Gate) accept(ctx context.Context, fence uint64) error {
	if !g.loaded {
		if err := g.load(ctx); err != nil {
			return err
		}
	}
	if fence > g.high {
		if err := g.raise(ctx, fence); err != nil {
			return err
		}
	}
	if fence < g.high {
		return &StaleFenceError{Fence: fence, Accepted: g.high}
	}
	return nil
}

func (g *Gate) load(ctx context.Context) error {
	obj, err := g.store.Get(ctx, FenceKind, g.upstream)
	if errors.Is(err, store.ErrNotFound) {
		g.loaded, g.obj = true, store.Object{Kind: FenceKind, Name: g.upstream}
		return nil
	}
	if err != nil {
		return fmt.Errorf("read fence of %s: %w", g.upstream, err)
	}
	var rec fenceRecord
	if err := json.Unmarshal(obj.Value, &rec); err != nil {
		return fmt.Errorf("fence of %s has an invalid value: %w", g.upstream, err)
	}
	g.loaded, g.obj, g.high = true, obj, max(g.high, rec.Fence)
	return nil
}

// raise stores the number. After a conflict or a lost response it reads the stored number, which decides.
func (g *Gate) raise(ctx context.Context, fence uint64) error {
	value, err := json.Marshal(fenceRecord{Fence: fence})
	if err != nil {
		return fmt.Errorf("encode fence of %s: %w", g.upstream, err)
	}
	obj := g.obj
	obj.Value = value
	var written store.Object
	if obj.Version == 0 {
		written, err = g.store.Create(ctx, obj.Kind, obj.Name, value)
	} else {
		written, err = g.store.Update(ctx, obj)
	}
	if err == nil {
		g.obj, g.high = written, fence
		return nil
	}
	g.loaded = false
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return fmt.Errorf("write fence of %s: %w", g.upstream, err)
	}
	if loadErr := g.load(ctx); loadErr != nil {
		return loadErr
	}
	if g.high < fence {
		return fmt.Errorf("write fence of %s: %w", g.upstream, err)
	}
	return nil
}
