package lease

import (
	"context"
	"errors"
	"time"
)

// Order is an instruction to an engine to load a model version.
type Order struct {
	Model   string
	Version string
	// Fence is the fencing number of the lease under which the order is sent.
	Fence uint64
}

// Holder reports whether the process may still send orders under a lease; Lease implements it.
type Holder interface {
	Valid(now time.Time) (fence uint64, ok bool)
}

// WeightReadLimiter limits the rate of reads of the model weight store. Reserve returns 0 if a read may start now, or
// the time to wait.
type WeightReadLimiter interface {
	Reserve(now time.Time, model, version string) (wait time.Duration)
}

// OrderSender sends an order to the sidecar of an upstream.
type OrderSender interface {
	Order(ctx context.Context, upstream string, o Order) error
}

// ErrRefused reports that an order certainly did not run. Implementations of OrderSender wrap it in every such error.
var ErrRefused = errors.New("order refused")

// Outcome is the outcome of a load order.
type Outcome uint8

// Outcomes of LoadModel.
const (
	// Loaded means that the engine confirmed the order.
	Loaded Outcome = iota + 1
	// NotHolder means that this process may not act under the lease; nothing was sent.
	NotHolder
	// Throttled means that the rate limit of the weight store allows no read yet; nothing was sent.
	Throttled
	// Refused means that the order certainly did not run.
	Refused
	// Uncertain means that the order may have run. Loading is idempotent, so the order can be sent again.
	Uncertain
)

// Result is the result of LoadModel.
type Result struct {
	Outcome Outcome
	// Wait is set for Throttled.
	Wait time.Duration
	// Err is set for Refused and Uncertain.
	Err error
}

// LoadModel sends one load_model order: it checks the lease, reserves a read of the weights, checks the lease again at
// the time after the reservation, and sends the order with the fencing number of the second check.
func LoadModel(ctx context.Context, clock func() time.Time, h Holder, w WeightReadLimiter, s OrderSender, upstream, model, version string) Result {
	now := clock()
	if _, ok := h.Valid(now); !ok {
		return Result{Outcome: NotHolder}
	}
	if wait := w.Reserve(now, model, version); wait > 0 {
		return Result{Outcome: Throttled, Wait: wait}
	}
	fence, ok := h.Valid(clock())
	if !ok {
		return Result{Outcome: NotHolder}
	}
	err := s.Order(ctx, upstream, Order{Model: model, Version: version, Fence: fence})
	var stale *StaleFenceError
	switch {
	case err == nil:
		return Result{Outcome: Loaded}
	case errors.As(err, &stale), errors.Is(err, ErrRefused):
		return Result{Outcome: Refused, Err: err}
	default:
		return Result{Outcome: Uncertain, Err: err}
	}
}
