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

// Contract checks that a client keeps the contract of store.Client. The store must be empty and healthy.
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

func want(t *testing.T, got, class error) {
	t.Helper()
	if !errors.Is(got, class) {
		t.Fatalf("got error %v, want %v", got, class)
	}
}

func checkCreate(ctx context.Context, t *testing.T, c store.Client) {
	_, err := c.Get(ctx, "create", "a/b c")
	want(t, err, store.ErrNotFound)
	made, err := c.Create(ctx, "create", "a/b c", []byte{0, 1, 0xff})
	want(t, err, nil)
	got, err := c.Get(ctx, "create", "a/b c")
	want(t, err, nil)
	if !bytes.Equal(got.Value, []byte{0, 1, 0xff}) || got.Version != made.Version || got.Revision != made.Revision {
		t.Errorf("read %+v after creating %+v", got, made)
	}
	_, err = c.Create(ctx, "create", "a/b c", []byte("second"))
	want(t, err, store.ErrConflict)
	_, err = c.Create(ctx, "create", "large", make([]byte, store.MaxValue+1))
	want(t, err, store.ErrTooLarge)
	_, err = c.Create(ctx, "create", "largest", make([]byte, store.MaxValue))
	want(t, err, nil)
}

func checkUpdate(ctx context.Context, t *testing.T, c store.Client) {
	_, err := c.Update(ctx, store.Object{Kind: "update", Name: "x", Version: 1})
	want(t, err, store.ErrNotFound)
	first, err := c.Create(ctx, "update", "x", []byte("1"))
	want(t, err, nil)
	next := first
	next.Value = []byte("2")
	second, err := c.Update(ctx, next)
	want(t, err, nil)
	if second.Version == first.Version || second.Revision <= first.Revision {
		t.Errorf("version %d revision %d after version %d revision %d", second.Version, second.Revision, first.Version, first.Revision)
	}
	_, err = c.Update(ctx, next)
	want(t, err, store.ErrConflict)
	got, err := c.Get(ctx, "update", "x")
	want(t, err, nil)
	if string(got.Value) != "2" {
		t.Errorf("value %q after a refused update, want 2", got.Value)
	}
}

func checkDelete(ctx context.Context, t *testing.T, c store.Client) {
	first, err := c.Create(ctx, "delete", "x", []byte("1"))
	want(t, err, nil)
	second, err := c.Update(ctx, first)
	want(t, err, nil)
	want(t, c.Delete(ctx, first), store.ErrConflict)
	want(t, c.Delete(ctx, second), nil)
	want(t, c.Delete(ctx, second), store.ErrNotFound)
	_, err = c.Get(ctx, "delete", "x")
	want(t, err, store.ErrNotFound)
	again, err := c.Create(ctx, "delete", "x", []byte("1"))
	want(t, err, nil)
	if again.Version == first.Version || again.Version == second.Version {
		t.Errorf("version %d is used again after a deletion, so an old condition would hold", again.Version)
	}
}

func checkList(ctx context.Context, t *testing.T, c store.Client) {
	for i := range 5 {
		_, err := c.Create(ctx, "list", fmt.Sprintf("p/%02d", 4-i), []byte{byte(4 - i)})
		want(t, err, nil)
	}
	_, err := c.Create(ctx, "list", "q/00", nil)
	want(t, err, nil)
	objs, err := c.List(ctx, "list", "p/", "p/01", 2)
	want(t, err, nil)
	if len(objs) != 2 || objs[0].Name != "p/02" || objs[1].Name != "p/03" || !bytes.Equal(objs[1].Value, []byte{3}) {
		t.Errorf("list after p/01 limit 2: %+v", objs)
	}
	objs, err = c.List(ctx, "list", "p/", "p/04", 2)
	want(t, err, nil)
	if len(objs) != 0 {
		t.Errorf("list after the last name: %+v", objs)
	}
}

func checkWatch(ctx context.Context, t *testing.T, c store.Client) {
	first, err := c.Create(ctx, "watch", "x", []byte("1"))
	want(t, err, nil)
	time.AfterFunc(50*time.Millisecond, func() {
		first.Value = []byte("2")
		_, _ = c.Create(ctx, "other", "y", nil)
		_, _ = c.Update(ctx, first)
	})
	objs, next, err := c.Watch(ctx, "watch", first.Revision)
	want(t, err, nil)
	if len(objs) != 1 || string(objs[0].Value) != "2" || next < objs[0].Revision {
		t.Fatalf("watch after revision %d: %+v, next %d", first.Revision, objs, next)
	}
	want(t, c.Delete(ctx, objs[0]), nil)
	objs, next, err = c.Watch(ctx, "watch", next)
	want(t, err, nil)
	if len(objs) != 1 || !objs[0].Deleted || objs[0].Name != "x" {
		t.Errorf("watch after a deletion: %+v", objs)
	}
	_, current, err := c.Watch(ctx, "watch", 0)
	want(t, err, nil)
	if current != next {
		t.Errorf("watch after 0 returned revision %d, the last write had %d", current, next)
	}
	// A store that was restored from an older state must not leave its watchers waiting.
	_, _, err = c.Watch(ctx, "watch", next+1000)
	want(t, err, store.ErrGap)
	ended, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, _, err := c.Watch(ended, "watch", next); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("watch that its context ended: %v, want ErrUnavailable", err)
	}
}
