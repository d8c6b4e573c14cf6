package entry_test

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/lease"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/standin/engine"
)

// Guards against orders of a former lease holder that reach an engine which ignores fencing numbers, before and after a
// restart of its sidecar.
func TestStaleOrderIsRefusedBySidecar(t *testing.T) {
	f := newFixture(t)
	_, server := f.engine(engine.Options{})
	s := f.sidecar("lm-pool-1", "lm-pool", settings.KindEngine, server.URL, nil)
	r := f.entry("entry-1", nil)
	r.waitReady(t, 1)
	clockOffset := 0 * time.Second
	holder := func(name string) *lease.Lease {
		return lease.New(lease.Settings{
			Store: f.store, Name: "models/lm-pool", Holder: name, Duration: time.Second, Time: time.Now, Term: rand.Text,
			Clock: func() time.Time { return time.Now().Add(clockOffset) },
		})
	}
	first, second := holder("entry-1"), holder("entry-2")
	stale, err := first.Acquire(t.Context())
	must(t, err)
	weights := lease.NewIntervalLimiter(time.Second)
	load := func(l *lease.Lease, model string) lease.Result {
		return lease.LoadModel(t.Context(), func() time.Time { return time.Now().Add(clockOffset) }, l, weights, r.entry, "lm-pool-1", model, "1")
	}
	if got := load(first, "first"); got.Outcome != lease.Loaded {
		t.Fatalf("order of the holder: %+v", got)
	}
	if got := load(first, "throttled"); got.Outcome != lease.Throttled || got.Wait <= 0 || got.Wait > time.Second {
		t.Errorf("second read of the weights within a second: %+v", got)
	}
	if _, err := second.Acquire(t.Context()); !errors.Is(err, lease.ErrHeld) {
		t.Fatalf("second holder: %v", err)
	}
	clockOffset = 2 * time.Second // the first holder is paused until after its lease has expired
	_, err = second.Acquire(t.Context())
	must(t, err)
	if got := load(first, "expired"); got.Outcome != lease.NotHolder {
		t.Errorf("order after the lease expired: %+v", got)
	}
	if got := load(second, "second"); got.Outcome != lease.Loaded {
		t.Fatalf("order of the second holder: %+v", got)
	}
	refused := func(when string) {
		t.Helper()
		// The first holder sends an order that it decided on before its pause.
		if err := r.entry.Order(t.Context(), "lm-pool-1", lease.Order{Model: "stale", Version: "1", Fence: stale}); !errors.Is(err, lease.ErrRefused) {
			t.Errorf("stale order %s: %v, want it refused", when, err)
		}
	}
	refused("before the restart")
	s.shutdown(t)
	f.sidecar("lm-pool-1", "lm-pool", settings.KindEngine, server.URL, nil)
	r.waitReady(t, 1)
	refused("after the restart")
	got := send(newRequest(context.Background(), http.MethodGet, server.URL+"/engine/orders", ""))
	if strings.Contains(got.body, "stale") || strings.Contains(got.body, "expired") || strings.Contains(got.body, "throttled") || !strings.Contains(got.body, "second") {
		t.Errorf("orders at the engine: %s", got.body)
	}
}
