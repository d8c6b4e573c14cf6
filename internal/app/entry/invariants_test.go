package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
	"github.com/dragonflypin/dragonflypin/internal/standin/engine"
	"github.com/dragonflypin/dragonflypin/internal/standin/service"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// narrow starts an engine of two slots that can pause streams, its sidecar and an entry.
func narrow(t *testing.T) (*world, *runningEntry) {
	t.Helper()
	w := newWorld(t)
	_, server := w.engine(engine.Options{TokenMs: 2, Slots: 2})
	w.sidecar("lm-pool-1", "lm-pool", settings.KindEngine, server.URL, func(c *settings.Sidecar) { c.Slots, c.CanPause = 2, true })
	r := w.entry("entry-1", nil)
	r.ready(t, 1)
	return w, r
}

// Guards invariant 1: protected work that is refused, or waits behind lower work that can be paused.
func TestInvariantProtectedIsNeverShed(t *testing.T) {
	_, r := narrow(t)
	var lower, protected sync.WaitGroup
	for i := range 6 {
		lower.Go(func() {
			content := fmt.Sprintf("draft %d", i)
			a := r.chat(content, 400, true, "Dragonflypin-Class", "draft")
			if a.status == http.StatusServiceUnavailable && a.outcome() == string(outcome.NotRun) {
				return // lower tiers may be shed
			}
			checkWhole(t, a, content) // a stream that was paused must still be whole
		})
	}
	eventually(t, 5*time.Second, "both slots are taken", func() bool { return r.entry.Status().InFlight >= 2 })
	for i := range 12 {
		protected.Go(func() {
			content := fmt.Sprintf("suggestion %d", i)
			checkWhole(t, r.chat(content, 20, true), content)
		})
	}
	protected.Wait()
	lower.Wait()
}

// Guards invariant 2: a lowest tier that starves while higher work never ends.
func TestInvariantEveryClassIsServed(t *testing.T) {
	const maxWait = 2 * time.Second
	w, r := narrow(t)
	lowest := table.Row{Class: "absent", Owner: "jadestone", Priority: table.LowestPriority, Weight: 1, TTFTTarget: 20 * time.Second, MaxWait: maxWait}
	w.publish(t, r, "jadestone", lowest)
	ctx, stop := context.WithCancel(context.Background())
	var flood sync.WaitGroup
	defer flood.Wait()
	defer stop()
	for i := range 6 {
		flood.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				_ = send(newRequest(ctx, http.MethodPost, r.url+"/v1/chat/completions", chatBody(fmt.Sprintf("%d %d", i, n), 40, true)))
			}
		})
	}
	eventually(t, 5*time.Second, "higher work is waiting", func() bool { return r.entry.Status().Waiting["chat"] > 0 })
	accepted := time.Now()
	resp, err := client().Do(newRequest(context.Background(), http.MethodPost, r.url+"/v1/chat/completions",
		chatBody("lowest", 5, true), "Dragonflypin-Class", "absent"))
	must(t, err)
	defer resp.Body.Close()
	if waited := time.Since(accepted); waited > maxWait {
		t.Errorf("the lowest class was served after %s, bound %s", waited, maxWait)
	}
	body, err := io.ReadAll(resp.Body)
	checkWhole(t, answer{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(body), err: err}, "lowest")
}

// publish changes one row and waits until the entry has the new version in force.
func (w *world) publish(t *testing.T, r *runningEntry, author string, row table.Row) *table.Version {
	t.Helper()
	base := r.entry.Follower().Current().Version()
	rows := []table.Row{row}
	for _, old := range base.Rows {
		if old.Class != row.Class {
			rows = append(rows, old)
		}
	}
	publisher := table.NewPublisher(w.store, r.entry.Follower().Current, r.entry.Follower().Offer)
	v, err := publisher.Apply(t.Context(), table.Edit{Author: author, Reason: "test", Base: base.Number, Rows: rows})
	must(t, err)
	return v
}

// orders sends one order a key and returns the answers by key.
func orders(entries []*runningEntry, keys []string) map[string][]answer {
	var mu sync.Mutex
	answers := make(map[string][]answer)
	var wg sync.WaitGroup
	for _, key := range keys {
		for _, r := range entries {
			wg.Go(func() {
				body := fmt.Sprintf(`{"item":%q}`, key)
				a := send(newRequest(context.Background(), http.MethodPost, r.url+"/services/order-svc/orders", body, "Idempotency-Key", key))
				mu.Lock()
				defer mu.Unlock()
				answers[key] = append(answers[key], a)
			})
		}
	}
	wg.Wait()
	return answers
}

func executions(services []*service.Service) map[string]int {
	runs := make(map[string]int)
	for _, s := range services {
		for _, o := range s.Orders() {
			runs[o.IdempotencyKey]++
		}
	}
	return runs
}

func keyNames(prefix string, n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return keys
}

// orderWorld has two replicas of the order service and two entries.
func orderWorld(t *testing.T) (*world, []*service.Service, []*runningSidecar, []*runningEntry) {
	t.Helper()
	w := newWorld(t)
	var services []*service.Service
	var sidecars []*runningSidecar
	for i := range 2 {
		s, server := w.service()
		services = append(services, s)
		sidecars = append(sidecars, w.sidecar(fmt.Sprintf("order-svc-%d", i), "order-svc", settings.KindPlain, server.URL, nil))
	}
	entries := []*runningEntry{w.entry("entry-1", nil), w.entry("entry-2", nil)}
	for _, r := range entries {
		r.ready(t, 2)
	}
	return w, services, sidecars, entries
}

// Guards invariant 4: an order that is reported as not run and did run.
func TestInvariantNotRunDidNotRun(t *testing.T) {
	w, services, sidecars, entries := orderWorld(t)
	refused := 0
	check := func(step string, answers map[string][]answer) {
		t.Helper()
		runs := executions(services)
		for key, list := range answers {
			completed := 0
			for _, a := range list {
				if a.outcome() == string(outcome.Completed) {
					completed++
				}
			}
			for _, a := range list {
				if a.outcome() != string(outcome.NotRun) {
					continue
				}
				refused++
				// The other entry may have run the same key; then that entry's answer says so.
				if runs[key] > 0 && len(list) == 1 {
					t.Errorf("%s: order %s is reported as not run (%s) and ran %d times", step, key, a.code(), runs[key])
				}
			}
			if completed > 0 && runs[key] != 1 {
				t.Errorf("%s: order %s completed and ran %d times", step, key, runs[key])
			}
		}
	}
	one := entries[:1]
	check("healthy", orders(one, keyNames("healthy", 8)))
	w.store.SetFaults(storetest.Faults{Outage: true})
	check("store outage", orders(one, keyNames("outage", 8)))
	w.store.SetFaults(storetest.Faults{LoseResponses: true})
	check("lost answers", orders(one, keyNames("lost", 8)))
	w.store.SetFaults(storetest.Faults{LoseRequests: true})
	check("lost requests", orders(one, keyNames("vanished", 8)))
	w.store.SetFaults(storetest.Faults{})
	for _, s := range sidecars {
		s.end(t)
	}
	check("no upstream", orders(one, keyNames("gone", 8)))
	if refused == 0 {
		t.Fatal("no request was refused, so the test has checked nothing")
	}
}

// Guards invariant 5: an order that runs twice although both entries receive it and the store loses answers.
func TestInvariantOrderRunsAtMostOnce(t *testing.T) {
	w, services, _, entries := orderWorld(t)
	faults := []storetest.Faults{{}, {LoseResponses: true}, {Delay: 100 * time.Millisecond}, {LoseRequests: true}, {Outage: true}, {}}
	keys := keyNames("order", 10)
	for round, f := range faults {
		w.store.SetFaults(f)
		// Every key is sent through both entries in every round, as impatient callers do.
		answers := orders(entries, keys)
		for key, n := range executions(services) {
			if n > 1 {
				t.Errorf("round %d: order %s ran %d times", round, key, n)
			}
		}
		for key, list := range answers {
			for _, a := range list {
				// Without the store a repeated key returns the outcome of the first call, not its answer.
				lost := f.Outage && a.body == ""
				if a.outcome() == string(outcome.Completed) && !lost && !strings.Contains(a.body, key) {
					t.Errorf("round %d: order %s was answered with %.80q", round, key, a.body)
				}
			}
		}
	}
	if runs := executions(services); len(runs) != len(keys) {
		t.Errorf("%d of %d orders ran", len(runs), len(keys))
	}
}

// inForceLimit is invariant 8's bound.
const inForceLimit = 10 * time.Second

// Guards invariant 8: a table that takes too long while the store is slow, steps back, or is unknown to an entry that
// starts while the store is down.
func TestInvariantTableIsInForceAndNeverReverts(t *testing.T) {
	w := newWorld(t)
	entries := []*runningEntry{w.entry("entry-1", nil), w.entry("entry-2", nil)}
	w.store.SetFaults(storetest.Faults{Outage: true})
	entries = append(entries, w.entry("entry-3", nil))
	w.store.SetFaults(storetest.Faults{Delay: 500 * time.Millisecond})

	ctx, stop := context.WithCancel(context.Background())
	var observers sync.WaitGroup
	for _, r := range entries {
		observers.Go(func() {
			for last := uint64(0); ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
				n := r.entry.Status().TableVersion
				if n < last {
					t.Errorf("table version went from %d to %d", last, n)
				}
				last = n
			}
		})
	}
	for i, r := range entries {
		row := table.Row{Class: "draft", Owner: "jadestone", Priority: 5, Weight: 10 + i, TTFTTarget: time.Second}
		v := w.publish(t, r, "jadestone", row)
		accepted := time.Now()
		for _, other := range entries {
			eventually(t, inForceLimit-time.Since(accepted), "table in force", func() bool { return other.entry.Status().TableVersion >= v.Number })
		}
		t.Logf("version %d in force at every entry %s after acceptance", v.Number, time.Since(accepted).Round(time.Millisecond))
	}
	stop()
	observers.Wait()
}
