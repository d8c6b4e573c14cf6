package storetest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

const contractTimeout = 10 * time.Second

// Contract checks that a client fulfils the contract of store.Client. The store must be empty and without faults.
func Contract(t *testing.T, c store.Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), contractTimeout)
	defer cancel()
	t.Run("create", func(t *testing.T) { checkCreate(ctx, t, c) })
	t.Run("update", func(t *testing.T) { checkUpdate(ctx, t, c) })
	t.Run("delete", func(t *testing.T) { checkDelete(ctx, t, c) })
	t.Run("list", func(t *testing.T) { checkList(ctx, t, c) })
	t.Run("watch", func(t *testing.T) { checkWatch(ctx, t, c) })
}

func wantError(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("got error %v, want %v", got, want)
	}
}

func checkCreate(ctx context.Context, t *testing.T, c store.Client) {
	_, err := c.Get(ctx, "create", "a/b c")
	wantError(t, err, store.ErrNotFound)
	created, err := c.Create(ctx, "create", "a/b c", []byte{0, 1, 0xff})
	wantError(t, err, nil)
	got, err := c.Get(ctx, "create", "a/b c")
	wantError(t, err, nil)
	if !bytes.Equal(got.Value, []byte{0, 1, 0xff}) || got.Version != created.Version || got.Revision != created.Revision {
		t.Errorf("read %+v after creating %+v", got, created)
	}
	_, err = c.Create(ctx, "create", "a/b c", []byte("second"))
	wantError(t, err, store.ErrConflict)
	_, err = c.Create(ctx, "create", "large", make([]byte, store.MaxValue+1))
	wantError(t, err, store.ErrTooLarge)
	_, err = c.Create(ctx, "create", "largest", make([]byte, store.MaxValue))
	wantError(t, err, nil)
}

func checkUpdate(ctx context.Context, t *testing.T, c store.Client) {
	_, err := c.Update(ctx, store.Object{Kind: "update", Name: "x", Version: 1})
	wantError(t, err, store.ErrNotFound)
	first, err := c.Create(ctx, "update", "x", []byte("1"))
	wantError(t, err, nil)
	next := first
	next.Value = []byte("2")
	second, err := c.Update(ctx, next)
	wantError(t, err, nil)
	if second.Version == first.Version || second.Revision <= first.Revision {
		t.Errorf("version %d revision %d after version %d revision %d", second.Version, second.Revision, first.Version, first.Revision)
	}
	_, err = c.Update(ctx, next)
	wantError(t, err, store.ErrConflict)
	got, err := c.Get(ctx, "update", "x")
	wantError(t, err, nil)
	if string(got.Value) != "2" {
		t.Errorf("value %q after a refused update, want 2", got.Value)
	}
}

func checkDelete(ctx context.Context, t *testing.T, c store.Client) {
	first, err := c.Create(ctx, "delete", "x", []byte("1"))
	wantError(t, err, nil)
	second, err := c.Update(ctx, first)
	wantError(t, err, nil)
	wantError(t, c.Delete(ctx, first), store.ErrConflict)
	wantError(t, c.Delete(ctx, second), nil)
	wantError(t, c.Delete(ctx, second), store.ErrNotFound)
	_, err = c.Get(ctx, "delete", "x")
	wantError(t, err, store.ErrNotFound)
	recreated, err := c.Create(ctx, "delete", "x", []byte("1"))
	wantError(t, err, nil)
	if recreated.Version == first.Version || recreated.Version == second.Version {
		t.Errorf("version %d is reused after a deletion, so a stale condition would succeed", recreated.Version)
	}
}

func checkList(ctx context.Context, t *testing.T, c store.Client) {
	for i := range 5 {
		_, err := c.Create(ctx, "list", fmt.Sprintf("p/%02d", 4-i), []byte{byte(4 - i)})
		wantError(t, err, nil)
	}
	_, err := c.Create(ctx, "list", "q/00", nil)
	wantError(t, err, nil)
	objs, err := c.List(ctx, "list", "p/", "p/01", 2)
	wantError(t, err, nil)
	if len(objs) != 2 || objs[0].Name != "p/02" || objs[1].Name != "p/03" || !bytes.Equal(objs[1].Value, []byte{3}) {
		t.Errorf("list after p/01 limit 2: %+v", objs)
	}
	objs, err = c.List(ctx, "list", "p/", "p/04", 2)
	wantError(t, err, nil)
	if len(objs) != 0 {
		t.Errorf("list after the last name: %+v", objs)
	}
}

func checkWatch(ctx context.Context, t *testing.T, c store.Client) {
	first, err := c.Create(ctx, "watch", "x", []byte("1"))
	wantError(t, err, nil)
	time.AfterFunc(50*time.Millisecond, func() {
		first.Value = []byte("2")
		_, _ = c.Create(ctx, "other", "y", nil)
		_, _ = c.Update(ctx, first)
	})
	objs, next, err := c.Watch(ctx, "watch", first.Position())
	wantError(t, err, nil)
	if len(objs) != 1 || string(objs[0].Value) != "2" || next.Before(objs[0].Position()) {
		t.Fatalf("watch after revision %d: %+v, next %d", first.Revision, objs, next)
	}
	wantError(t, c.Delete(ctx, objs[0]), nil)
	objs, next, err = c.Watch(ctx, "watch", next)
	wantError(t, err, nil)
	if len(objs) != 1 || !objs[0].Deleted || objs[0].Name != "x" {
		t.Errorf("watch after a deletion: %+v", objs)
	}
	_, current, err := c.Watch(ctx, "watch", store.Position{})
	wantError(t, err, nil)
	if current != next {
		t.Errorf("watch after 0 returned revision %d, the last write had %d", current, next)
	}
	// After a store was restored from an older state, watches from a newer revision must fail, not wait.
	_, _, err = c.Watch(ctx, "watch", store.Position{Era: next.Era, Revision: next.Revision + 1000})
	wantError(t, err, store.ErrGap)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, _, err := c.Watch(short, "watch", next); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("watch with an expired context: %v, want ErrUnavailable", err)
	}
}
