package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// pagedStore is a store whose lists have pages of 50 objects.
type pagedStore struct {
	store.Client
	objects int
}

func (s *pagedStore) List(_ context.Context, _, _, after string, _ int) ([]store.Object, error) {
	start := 0
	if after != "" {
		if _, err := fmt.Sscanf(after, "r-%d", &start); err != nil {
			return nil, err
		}
		start++
	}
	var page []store.Object
	for i := start; i < min(s.objects, start+50); i++ {
		page = append(page, store.Object{Name: fmt.Sprintf("r-%d", i)})
	}
	return page, nil
}

// Guards against a long list that is cut without an error: replicas that are missing from it would get no work.
func TestLongListsAreReadWholeOrFail(t *testing.T) {
	for _, n := range []int{0, 49, 50, 7600} {
		all, err := listAll(t.Context(), &pagedStore{objects: n}, "servers", slices.Clone[[]store.Object])
		if err != nil || len(all) != n {
			t.Errorf("%d objects, %v; want %d", len(all), err, n)
		}
	}
	if all, err := listAll(t.Context(), &pagedStore{objects: 1_000_000}, "servers", slices.Clone[[]store.Object]); !errors.Is(err, errListTooLong) {
		t.Errorf("%d objects, %v; want an error for a list that does not end", len(all), err)
	}
}
