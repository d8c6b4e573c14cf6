package lease

import (
	"context"
	"errors"
	"time"
)

// Order is an order to load a model version on an engine.
type Order struct {
	Model   string
	Version string
	// Fence is the fencing number of the lease under which the order is given.
	Fence uint64
}

// Holder tells whether the lease under which an order is given may still be acted on; Lease implements it.
type Holder interface {
	Valid(now time.Time) (fence uint64, ok bool)
}

// Weights is the rate-limited model weight store. Reserve returns 0 when a read may start now, or the time to wait.
type Weights interface {
	Reserve(now time.Time, model, version string) (wait time.Duration)
}

// Sidecar carries an order to the sidecar of an upstream.
type Sidecar interface {
	Order(ctx context.Context, upstream string, o Order) error
}

// ErrRefused reports that an order provably did not run. Sidecars wrap it around every such error.
var ErrRefused = errors.New("order refused")

// Step is the outcome of one step of a LoadModel order.
type Step uint8

// Steps.
const (
	// Loaded means that the engine confirmed the order.
	Loaded Step = iota + 1
	// NotHolder means that the lease may not be acted on; nothing was sent.
	NotHolder
	// Throttled means that the weight store allows no read yet; nothing was sent.
	Throttled
	// Refused means that the sidecar or the engine provably did not run the order.
	Refused
	// Uncertain means that the order may have run; loading is idempotent, so that it can be sent again.
	Uncertain
)

// Result is the outcome of LoadModel.
type Result struct {
	Step Step
	// Wait is set for Throttled.
	Wait time.Duration
	// Err is set for Refused and Uncertain.
	Err error
}

// LoadModel carries one load_model order out: it checks the lease, reserves a read of the weights, checks the lease
// again with the time after the reservation, and sends the order with the fencing number of that check.
func LoadModel(ctx context.Context, clock func() time.Time, h Holder, w Weights, s Sidecar, upstream, model, version string) Result {
	now := clock()
	if _, ok := h.Valid(now); !ok {
		return Result{Step: NotHolder}
	}
	if wait := w.Reserve(now, model, version); wait > 0 {
		return Result{Step: Throttled, Wait: wait}
	}
	fence, ok := h.Valid(clock())
	if !ok {
		return Result{Step: NotHolder}
	}
	err := s.Order(ctx, upstream, Order{Model: model, Version: version, Fence: fence})
	var stale *StaleFenceError
	switch {
	case err == nil:
		return Result{Step: Loaded}
	case errors.As(err, &stale), errors.Is(err, ErrRefused):
		return Result{Step: Refused, Err: err}
	default:
		return Result{Step: Uncertain, Err: err}
	}
}
