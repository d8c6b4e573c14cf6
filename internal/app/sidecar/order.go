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

// MethodOrder is the call with which an entry sends a fenced order to the engine.
const MethodOrder = "OrderRequest"

// orderLoadModel is the order that loads a model into the engine.
const orderLoadModel = "load_model"

// OrderResponse is the response to MethodOrder.
type OrderResponse struct {
	// Refused reports that the order certainly did not run. Without it, a Detail means that the order failed but may
	// have run.
	Refused bool   `cbor:"1,keyasint,omitempty"`
	Detail  string `cbor:"2,keyasint,omitempty"`
}

// order runs an order unless its fencing number is lower than one accepted before.
func (s *Sidecar) order(ctx context.Context, from peer.Identity, payload []byte) ([]byte, error) {
	if from.Role != wire.RoleEntry {
		return nil, fmt.Errorf("role %q may not give orders", from.Role)
	}
	var o upstream.Order
	if err := wire.Unmarshal(payload, &o); err != nil {
		return nil, err
	}
	sent := false
	err := s.fences.Run(ctx, o.Fence, func(ctx context.Context) error {
		sent = true
		return s.client.Order(ctx, o)
	})
	response := OrderResponse{}
	var stale *lease.StaleFenceError
	var status *upstream.StatusError
	switch {
	case err == nil && o.Order == orderLoadModel:
		s.executor.AddModel(o.Model)
	case errors.As(err, &stale):
		s.log.Emit(eventlog.OrderFenced, eventlog.Fence(o.Fence))
		response = OrderResponse{Refused: true, Detail: err.Error()}
	case err != nil:
		response = OrderResponse{Refused: !sent || errors.As(err, &status) && status.Status < 500, Detail: err.Error()}
	}
	return wire.Marshal(response)
}
