package storetest

import (
	"context"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Overwriting is a deliberately broken store: Create replaces an existing object. Tests that check histories for
// consistency use it to show that they detect the fault.
type Overwriting struct{ store.Client }

// Create implements store.Client.
func (s Overwriting) Create(ctx context.Context, kind, name string, value []byte) (store.Object, error) {
	if old, err := s.Get(ctx, kind, name); err == nil {
		old.Value = value
		return s.Update(ctx, old)
	}
	return s.Client.Create(ctx, kind, name, value)
}
