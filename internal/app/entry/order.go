package entry

import (
	"context"
	"fmt"

	"github.com/dragonflypin/dragonflypin/internal/app/sidecar"
	"github.com/dragonflypin/dragonflypin/internal/connection/upstream"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/lease"
)

// Order implements lease.OrderSender: it sends a load_model order to the sidecar of an upstream that this entry has a
// session to. The error wraps lease.ErrRefused if the order certainly did not run.
func (e *Entry) Order(ctx context.Context, instance string, o lease.Order) error {
	payload, err := wire.Marshal(upstream.Order{Order: "load_model", Model: o.Model, Version: o.Version, Fence: o.Fence})
	if err != nil {
		return err
	}
	if e.node.Session(instance) == nil {
		return fmt.Errorf("%w: no session to %s", lease.ErrRefused, instance)
	}
	reply, err := e.node.Call(ctx, instance, sidecar.MethodOrder, payload)
	if err != nil {
		return err
	}
	var response sidecar.OrderResponse
	if err := wire.Unmarshal(reply, &response); err != nil {
		return err
	}
	switch {
	case response.Refused:
		return fmt.Errorf("%w: %s", lease.ErrRefused, response.Detail)
	case response.Detail != "":
		return fmt.Errorf("order at %s: %s", instance, response.Detail)
	}
	return nil
}

var _ lease.OrderSender = (*Entry)(nil)
