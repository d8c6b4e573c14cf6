package usage

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// listPageSize is the number of objects read by one List call.
const listPageSize = 100

// Load reads all stored segments.
func Load(ctx context.Context, client store.Client) ([]Segment, error) {
	var segments []Segment
	err := listAll(ctx, client, KindBundle, func(obj store.Object) error {
		bundle, err := decodeBundle(obj.Value)
		if err != nil {
			return fmt.Errorf("usage object %s: %w", obj.Name, err)
		}
		segments = append(segments, bundle...)
		return nil
	})
	return segments, err
}

// LoadKeys reads the registered public keys, keyed by writer.
func LoadKeys(ctx context.Context, client store.Client) (map[string]ed25519.PublicKey, error) {
	keys := make(map[string]ed25519.PublicKey)
	err := listAll(ctx, client, KindKey, func(obj store.Object) error {
		var reg Registration
		if err := json.Unmarshal(obj.Value, &reg); err != nil {
			return fmt.Errorf("usage key %s: %w", obj.Name, err)
		}
		keys[obj.Name] = reg.PublicKey
		return nil
	})
	return keys, err
}

func listAll(ctx context.Context, client store.Client, kind string, visit func(store.Object) error) error {
	after := ""
	for {
		objects, err := client.List(ctx, kind, "", after, listPageSize)
		if err != nil {
			return fmt.Errorf("list %s after %q: %w", kind, after, err)
		}
		for _, obj := range objects {
			if err := visit(obj); err != nil {
				return err
			}
			after = obj.Name
		}
		if len(objects) < listPageSize {
			return nil
		}
	}
}
