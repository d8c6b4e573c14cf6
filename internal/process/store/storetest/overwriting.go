package storetest

import (
	"context"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Overwriting is a store that is broken on purpose: Create replaces what another writer has created. History checks must
// reject it.
type Overwriting struct{ store.Client }

// Create implements store.Client.
func (s Overwriting) Create(ctx context.Context, kind, name string, value []byte) (store.Object, error) {
	if old, err := s.Get(ctx, kind, name); err == nil {
		old.Value = value
		return s.Update(ctx, old)
	}
	return s.Client.Create(ctx, kind, name, value)
}
