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

// startTwoSlots starts an engine with two slots that can pause streams, its sidecar and an entry.
func startTwoSlots(t *testing.T) (*fixture, *runningEntry) {
	t.Helper()
	f := newFixture(t)
	_, server := f.engine(engine.Options{TokenMs: 2, Slots: 2})
	f.sidecar("lm-pool-1", "lm-pool", settings.KindEngine, server.URL, func(c *settings.Sidecar) { c.Slots, c.CanPause = 2, true })
	r := f.entry("entry-1", nil)
	r.waitReady(t, 1)
	return f, r
}

// Guards invariant 1 against protected requests that are refused, or that wait for requests of lower priority that can be
// paused.
func TestInvariantProtectedIsNeverShed(t *testing.T) {
	_, r := startTwoSlots(t)
	var lower, protected sync.WaitGroup
	for i := range 6 {
		lower.Go(func() {
			content := fmt.Sprintf("draft %d", i)
			resp := r.chat(content, 400, true, "Dragonflypin-Class", "draft")
			if resp.status == http.StatusServiceUnavailable && resp.outcome() == string(outcome.NotRun) {
				return // lower tiers may be shed
			}
			checkCompleted(t, resp, content) // a stream that was paused must still be complete
		})
	}
	eventually(t, 5*time.Second, "both slots are occupied", func() bool { return r.entry.Status().InFlight >= 2 })
	for i := range 12 {
		protected.Go(func() {
			content := fmt.Sprintf("suggestion %d", i)
			checkCompleted(t, r.chat(content, 20, true), content)
		})
	}
	protected.Wait()
	lower.Wait()
}

// Guards invariant 2 against starvation of the lowest tier under constant load of a higher one.
func TestInvariantEveryClassIsServed(t *testing.T) {
	const maxWait = 2 * time.Second
	f, r := startTwoSlots(t)
	lowest := table.Row{Class: "absent", Owner: "jadestone", Priority: table.LowestPriority, Weight: 1, TTFTTarget: 20 * time.Second, MaxWait: maxWait}
	f.publish(t, r, "jadestone", lowest)
	ctx, stop := context.WithCancel(context.Background())
	var higher sync.WaitGroup
	defer higher.Wait()
	defer stop()
	for i := range 6 {
		higher.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				_ = send(newRequest(ctx, http.MethodPost, r.url+"/v1/chat/completions", chatBody(fmt.Sprintf("%d %d", i, n), 40, true)))
			}
		})
	}
	eventually(t, 5*time.Second, "requests of the higher tier are waiting", func() bool { return r.entry.Status().Waiting["chat"] > 0 })
	accepted := time.Now()
	resp, err := client().Do(newRequest(context.Background(), http.MethodPost, r.url+"/v1/chat/completions",
		chatBody("lowest", 5, true), "Dragonflypin-Class", "absent"))
	must(t, err)
	defer resp.Body.Close()
	if waited := time.Since(accepted); waited > maxWait {
		t.Errorf("the lowest class was served after %s, bound %s", waited, maxWait)
	}
	body, err := io.ReadAll(resp.Body)
	checkCompleted(t, response{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(body), err: err}, "lowest")
}

// publish publishes a table version with one changed row and offers it to the entry.
func (f *fixture) publish(t *testing.T, r *runningEntry, author string, row table.Row) *table.Version {
	t.Helper()
	base := r.entry.Table().Current().Version()
	rows := []table.Row{row}
	for _, old := range base.Rows {
		if old.Class != row.Class {
			rows = append(rows, old)
		}
	}
	publisher := table.NewPublisher(f.store, r.entry.Table().Current, r.entry.Table().Offer)
	v, err := publisher.Apply(t.Context(), table.Edit{Author: author, Reason: "test", Base: base.Number, Rows: rows})
	must(t, err)
	return v
}

// sendOrders sends one order per key to each entry and returns the responses by key.
func sendOrders(entries []*runningEntry, keys []string) map[string][]response {
	var mu sync.Mutex
	responses := make(map[string][]response)
	var wg sync.WaitGroup
	for _, key := range keys {
		for _, r := range entries {
			wg.Go(func() {
				body := fmt.Sprintf(`{"item":%q}`, key)
				resp := send(newRequest(context.Background(), http.MethodPost, r.url+"/services/order-svc/orders", body, "Idempotency-Key", key))
				mu.Lock()
				defer mu.Unlock()
				responses[key] = append(responses[key], resp)
			})
		}
	}
	wg.Wait()
	return responses
}

// executions returns how often the order of each key ran.
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

// startOrderServices starts two replicas of the order service with their sidecars, and two entries.
func startOrderServices(t *testing.T) (*fixture, []*service.Service, []*runningSidecar, []*runningEntry) {
	t.Helper()
	f := newFixture(t)
	var services []*service.Service
	var sidecars []*runningSidecar
	for i := range 2 {
		s, server := f.service()
		services = append(services, s)
		sidecars = append(sidecars, f.sidecar(fmt.Sprintf("order-svc-%d", i), "order-svc", settings.KindPlain, server.URL, nil))
	}
	entries := []*runningEntry{f.entry("entry-1", nil), f.entry("entry-2", nil)}
	for _, r := range entries {
		r.waitReady(t, 2)
	}
	return f, services, sidecars, entries
}

// Guards invariant 4 against an order that is reported as not run although it ran.
func TestInvariantNotRunDidNotRun(t *testing.T) {
	f, services, sidecars, entries := startOrderServices(t)
	refused := 0
	check := func(step string, responses map[string][]response) {
		t.Helper()
		runs := executions(services)
		for key, list := range responses {
			completed := 0
			for _, resp := range list {
				if resp.outcome() == string(outcome.Completed) {
					completed++
				}
			}
			for _, resp := range list {
				if resp.outcome() != string(outcome.NotRun) {
					continue
				}
				refused++
				// The other entry may have run the same key; then its response says so.
				if runs[key] > 0 && len(list) == 1 {
					t.Errorf("%s: order %s is reported as not run (%s) and ran %d times", step, key, resp.code(), runs[key])
				}
			}
			if completed > 0 && runs[key] != 1 {
				t.Errorf("%s: order %s completed and ran %d times", step, key, runs[key])
			}
		}
	}
	one := entries[:1]
	check("healthy", sendOrders(one, keyNames("healthy", 8)))
	f.store.SetFaults(storetest.Faults{Outage: true})
	check("store outage", sendOrders(one, keyNames("outage", 8)))
	f.store.SetFaults(storetest.Faults{LoseResponses: true})
	check("lost responses", sendOrders(one, keyNames("lost", 8)))
	f.store.SetFaults(storetest.Faults{LoseRequests: true})
	check("lost requests", sendOrders(one, keyNames("vanished", 8)))
	f.store.SetFaults(storetest.Faults{})
	for _, s := range sidecars {
		s.shutdown(t)
	}
	check("no upstream", sendOrders(one, keyNames("gone", 8)))
	if refused == 0 {
		t.Fatal("no request was refused, so the test has checked nothing")
	}
}

// Guards invariant 5 against an order that runs twice when both entries receive it and the store loses responses.
func TestInvariantOrderRunsAtMostOnce(t *testing.T) {
	f, services, _, entries := startOrderServices(t)
	faults := []storetest.Faults{{}, {LoseResponses: true}, {Delay: 100 * time.Millisecond}, {LoseRequests: true}, {Outage: true}, {}}
	keys := keyNames("order", 10)
	for round, fault := range faults {
		f.store.SetFaults(fault)
		// Every key is sent to both entries in every round, as callers with short timeouts do.
		responses := sendOrders(entries, keys)
		for key, n := range executions(services) {
			if n > 1 {
				t.Errorf("round %d: order %s ran %d times", round, key, n)
			}
		}
		for key, list := range responses {
			for _, resp := range list {
				// During a store outage a repeated key returns the outcome of the first call without its response.
				lost := fault.Outage && resp.body == ""
				if resp.outcome() == string(outcome.Completed) && !lost && !strings.Contains(resp.body, key) {
					t.Errorf("round %d: order %s got the response %.80q", round, key, resp.body)
				}
			}
		}
	}
	if runs := executions(services); len(runs) != len(keys) {
		t.Errorf("%d of %d orders ran", len(runs), len(keys))
	}
}

// inForceLimit is the bound of invariant 8.
const inForceLimit = 10 * time.Second

// Guards invariant 8 against a table version that takes effect too late while the store is slow, that is replaced by an
// older one, or that is missing at an entry which starts during a store outage.
func TestInvariantTableIsInForceAndNeverReverts(t *testing.T) {
	f := newFixture(t)
	entries := []*runningEntry{f.entry("entry-1", nil), f.entry("entry-2", nil)}
	f.store.SetFaults(storetest.Faults{Outage: true})
	entries = append(entries, f.entry("entry-3", nil))
	f.store.SetFaults(storetest.Faults{Delay: 500 * time.Millisecond})

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
		v := f.publish(t, r, "jadestone", row)
		accepted := time.Now()
		for _, other := range entries {
			eventually(t, inForceLimit-time.Since(accepted), "table in force", func() bool { return other.entry.Status().TableVersion >= v.Number })
		}
		t.Logf("version %d in force at every entry %s after acceptance", v.Number, time.Since(accepted).Round(time.Millisecond))
	}
	stop()
	observers.Wait()
}
