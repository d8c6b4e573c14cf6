package store_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
	"github.com/dragonflypin/dragonflypin/internal/standin/fault"
	standin "github.com/dragonflypin/dragonflypin/internal/standin/store"
)

func newClient(t *testing.T, h http.Handler, o store.Options) *store.HTTP {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	o.BaseURL = server.URL
	if o.CallsPerSecond == 0 {
		o.CallsPerSecond = 1000
	}
	c, err := store.NewHTTP(o)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against an HTTP client or a stand-in that behaves differently from the in-memory store that other tests use.
func TestHTTPContract(t *testing.T) {
	storetest.Contract(t, newClient(t, standin.New(standin.Options{}), store.Options{}))
}

// Guards against reporting a write as not applied when it was: the connection breaks after the store applied the write.
func TestWriteWithLostResponseIsUnknown(t *testing.T) {
	s := standin.New(standin.Options{})
	c := newClient(t, s, store.Options{})
	s.Faults().Put(fault.Set{LoseResponses: 1})
	if _, err := c.Create(context.Background(), "k", "n", []byte("v")); !errors.Is(err, store.ErrUnknown) {
		t.Fatalf("create with a lost response: %v, want ErrUnknown", err)
	}
	if got, err := c.Get(context.Background(), "k", "n"); err != nil || string(got.Value) != "v" {
		t.Fatalf("read back: %q, %v", got.Value, err)
	}
}

// Guards against retrying a write whose outcome is unknown, and against not retrying one that was certainly not applied.
func TestWritesAreRetriedOnlyIfNotApplied(t *testing.T) {
	for _, test := range []struct {
		status   int
		want     error
		attempts int32
	}{
		{http.StatusServiceUnavailable, store.ErrUnavailable, 3},
		{http.StatusInternalServerError, store.ErrUnknown, 1},
		{http.StatusGatewayTimeout, store.ErrUnknown, 1},
		{http.StatusTooManyRequests, store.ErrThrottled, 1},
		{http.StatusPreconditionFailed, store.ErrConflict, 1},
	} {
		var calls atomic.Int32
		c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			w.WriteHeader(test.status)
		}), store.Options{})
		_, err := c.Create(context.Background(), "k", "n", nil)
		if !errors.Is(err, test.want) || calls.Load() != test.attempts {
			t.Errorf("status %d: %v after %d attempts, want %v after %d", test.status, err, calls.Load(), test.want, test.attempts)
		}
	}
}

// Guards against treating a refused connection as an unknown outcome although no request was sent.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	c, err := store.NewHTTP(store.Options{BaseURL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Create(context.Background(), "k", "n", nil); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

type observer struct{ calls, refused atomic.Int32 }

func (o *observer) StoreCall(store.Op, time.Duration, error) { o.calls.Add(1) }
func (o *observer) StoreRefused(store.Op)                    { o.refused.Add(1) }

// Guards against a process that exceeds its call budget, and against calls that are not counted.
func TestBudgetBoundsCalls(t *testing.T) {
	var seen observer
	c := newClient(t, standin.New(standin.Options{}), store.Options{CallsPerSecond: 1, Burst: 3, Observer: &seen})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	for range 10 {
		_, err := c.Get(ctx, "k", "n")
		if !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrThrottled) {
			t.Fatal(err)
		}
	}
	if seen.calls.Load() != 3 || seen.refused.Load() != 7 || c.Calls() != 3 {
		t.Errorf("%d calls sent, %d refused, %d counted; want 3, 7, 3", seen.calls.Load(), seen.refused.Load(), c.Calls())
	}
}

// Guards against a feed that misses writes made while the store was unavailable, or before the store dropped its history.
func TestFeedResumesAfterOutageAndGap(t *testing.T) {
	m := storetest.New()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := m.Create(ctx, "k", "0", nil); err != nil {
		t.Fatal(err)
	}
	seen, failed := make(chan string, 100), make(chan struct{}, 100)
	onGap := func(ctx context.Context) error {
		objs, err := m.List(ctx, "k", "", "", 0)
		for _, o := range objs {
			seen <- o.Name
		}
		return err
	}
	feed := store.Feed{Client: m, Kind: "k", OnGap: onGap, OnObjects: func(objs []store.Object) {
		for _, o := range objs {
			seen <- o.Name
		}
	}, OnError: func(error) { failed <- struct{}{} }}
	go feed.Run(ctx)
	waitFor := func(name string) {
		t.Helper()
		for {
			select {
			case got := <-seen:
				if got == name {
					return
				}
			case <-ctx.Done():
				t.Fatalf("write of %q was not delivered", name)
			}
		}
	}
	create := func(name string) {
		if _, err := m.Create(ctx, "k", name, nil); err != nil {
			t.Fatal(err)
		}
	}
	waitFor("0")
	create("1")
	waitFor("1")
	m.SetFaults(storetest.Faults{Outage: true})
	_, _ = m.Create(ctx, "k", "wake", nil) // fails; the pending watch ends with the next write
	m.SetFaults(storetest.Faults{})
	create("2")
	waitFor("2")
	m.SetHook(func(op store.Op, _, _ string) error {
		if op == store.OpWatch {
			return store.ErrUnavailable
		}
		return nil
	})
	create("3") // ends the pending watch, and the next one fails
	<-failed
	create("4")
	m.CompactHistory()
	m.SetHook(nil)
	waitFor("4")
}
