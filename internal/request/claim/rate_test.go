package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// rate is the result of an open-loop run of requests with distinct keys.
type rate struct {
	granted, refused int
	p50, p99         time.Duration
	writesPerSecond  float64
	requestsPerWrite float64
}

// measureRate sends requests in virtual time and measures the steady state after the first retention period, in which each
// appended batch also costs a deletion.
func measureRate(t *testing.T, entries int, writes float64, perSecond, resultBytes int) rate {
	var out rate
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx)
		defer c.wg.Wait()
		defer cancel()
		c.store.SetFaults(storetest.Faults{Delay: 5 * time.Millisecond})
		var es []*entryProcess
		for i := range entries {
			es = append(es, c.start(t, fmt.Sprintf("entry-%d", i), func(o *Options) {
				o.Shards, o.WritesPerSecond, o.Retention, o.RunTimeout = DefaultShards, writes, 30*time.Second, 10*time.Second
			}))
		}
		const warm, measured = 50 * time.Second, 20 * time.Second
		var mu sync.Mutex
		var waits []time.Duration
		var requests sync.WaitGroup
		result := Result{Outcome: outcome.Completed, Status: 201, Body: make([]byte, resultBytes)}
		start := time.Now()
		before := c.store.Counts()
		for n := 0; time.Since(start) < warm+measured; n++ {
			if counting := time.Since(start) >= warm; counting && n == perSecond*int(warm/time.Second) {
				before = c.store.Counts()
			}
			requests.Go(func() {
				counted := time.Since(start) >= warm
				claimedAt, attempt := time.Now(), fmt.Sprint("a", n)
				k := key(fmt.Sprint("k", n))
				state, err := es[n%entries].Claim(ctx, k, body, attempt)
				wait := time.Since(claimedAt)
				if err == nil && state.Status == Granted {
					requests.Go(func() { _ = es[n%entries].Finish(ctx, k, attempt, result) })
				}
				mu.Lock()
				defer mu.Unlock()
				switch {
				case !counted:
				case err != nil:
					out.refused++
				default:
					out.granted++
					waits = append(waits, wait)
				}
			})
			time.Sleep(time.Second / time.Duration(perSecond))
		}
		writes := c.store.Counts().Writes - before.Writes
		requests.Wait()
		slices.Sort(waits)
		if len(waits) > 0 {
			out.p50, out.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
		}
		out.writesPerSecond = float64(writes) / measured.Seconds()
		out.requestsPerWrite = float64(out.granted) / float64(writes)
	})
	return out
}

// Guards against a store write rate that grows with the number of requests, and against claims that wait too long for the
// write budget.
func TestOrdersWithinWriteBudget(t *testing.T) {
	for _, test := range []struct {
		entries     int
		writes      float64
		perSecond   int
		resultBytes int
		limit       time.Duration
	}{
		{3, DefaultWritesPerSecond, 2, 200, time.Second},
		{3, DefaultWritesPerSecond, 100, 200, time.Second},
		{30, DefaultWritesPerSecond, 400, 200, time.Second},
		{3, DefaultWritesPerSecond, 100, MaxResultBodyBytes, time.Second},
		{3, 2, 400, 200, 2 * time.Second},
	} {
		r := measureRate(t, test.entries, test.writes, test.perSecond, test.resultBytes)
		t.Logf("%d entries, %g writes/s a shard, %d requests/s with results of %d bytes: %d granted, %d refused, claim p50 %v p99 %v, %.1f store writes/s, %.1f requests per write",
			test.entries, test.writes, test.perSecond, test.resultBytes, r.granted, r.refused, r.p50.Round(time.Millisecond), r.p99.Round(time.Millisecond),
			r.writesPerSecond, r.requestsPerWrite)
		if r.refused > 0 || r.p99 > test.limit {
			t.Errorf("%d refused, p99 %v; want none and %v or less", r.refused, r.p99, test.limit)
		}
		if budget := test.writes * DefaultShards * 1.05; r.writesPerSecond > budget {
			t.Errorf("%.1f store writes/s, budget %.1f", r.writesPerSecond, budget)
		}
	}
}
