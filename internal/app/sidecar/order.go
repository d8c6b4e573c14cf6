package sidecar

import (
	"context"
	"errors"
	"fmt"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/upstream"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/lease"
)

// MethodOrder is the call by which an entry gives a fenced order to the engine.
const MethodOrder = "OrderRequest"

// orderLoadModel loads a model into the engine.
const orderLoadModel = "load_model"

// OrderAnswer answers MethodOrder.
type OrderAnswer struct {
	// Refused tells that the order provably did not run; otherwise a Detail means that it may have.
	Refused bool   `cbor:"1,keyasint,omitempty"`
	Detail  string `cbor:"2,keyasint,omitempty"`
}

// order carries out an order whose fencing number is not older than any accepted one.
func (t *T) order(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	if from.Role != wire.RoleEntry {
		return nil, fmt.Errorf("role %q may not give orders", from.Role)
	}
	var o upstream.Order
	if err := wire.Unmarshal(payload, &o); err != nil {
		return nil, err
	}
	sent := false
	err := t.gate.Run(ctx, o.Fence, func(ctx context.Context) error {
		sent = true
		return t.client.Order(ctx, o)
	})
	answer := OrderAnswer{}
	var stale *lease.StaleFenceError
	var status *upstream.StatusError
	switch {
	case err == nil && o.Order == orderLoadModel:
		t.executor.AddModel(o.Model)
	case errors.As(err, &stale):
		t.log.Emit(eventlog.OrderFenced, eventlog.Fence(o.Fence))
		answer = OrderAnswer{Refused: true, Detail: err.Error()}
	case err != nil:
		answer = OrderAnswer{Refused: !sent || errors.As(err, &status) && status.Status < 500, Detail: err.Error()}
	}
	return wire.Marshal(answer)
}
