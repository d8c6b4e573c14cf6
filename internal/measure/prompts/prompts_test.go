package prompts

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/measure"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

var promptsFile = flag.String("prompts", "", "write the report of the placement policies to this file")

// reportSeeds are the seeds that the report sums up.
var reportSeeds = []uint64{1, 2, 3, 4}

// TestReport writes the report of scripts/measure --prompts.
func TestReport(t *testing.T) {
	if *promptsFile == "" {
		t.Skip("no -prompts")
	}
	workloads, variants := Workloads(), Variants()
	results := make([][]measure.Line, len(workloads)*len(variants))
	t.Run("runs", func(t *testing.T) {
		for i, w := range workloads {
			for k, v := range variants {
				t.Run(w.Name+"/"+v.Name, func(t *testing.T) {
					t.Parallel()
					results[i*len(variants)+k] = Measure(w, v, reportSeeds)
				})
			}
		}
	})
	f, err := os.Create(*promptsFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, lines := range results {
		if err := measure.Write(f, lines); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

// named returns the element of the list that has the name.
func named[T any](t *testing.T, list []T, name string, nameOf func(T) string) T {
	t.Helper()
	i := slices.IndexFunc(list, func(e T) bool { return nameOf(e) == name })
	if i < 0 {
		t.Fatalf("%q is not in the list", name)
	}
	return list[i]
}

func workload(t *testing.T, name string) Workload {
	t.Helper()
	return named(t, Workloads(), name, func(w Workload) string { return w.Name })
}

func variant(t *testing.T, name string) Variant {
	t.Helper()
	return named(t, Variants(), name, func(v Variant) string { return v.Name })
}

// Guards against results that differ between runs of one seed, and against requests without an outcome.
func TestReplayIsDeterministicAndComplete(t *testing.T) {
	for _, w := range Workloads() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			for _, v := range []Variant{variant(t, "policy"), variant(t, "oracle")} {
				changed := v.Apply(w)
				a, b := changed.Run(7), changed.Run(7)
				if !maps.Equal(a, b) {
					t.Errorf("%s: %v, then %v", v.Name, a, b)
				}
				for name, c := range a {
					if c.Requests == 0 || c.InTime+c.Late+c.Refused+c.Failed != c.Requests {
						t.Errorf("%s %s: %+v does not add up", v.Name, name, c)
					}
				}
			}
		})
	}
}

// Guards against a mechanism that no longer earns credit on the workload that it is for, summed over all classes.
func TestMechanismsImproveTheirWorkloads(t *testing.T) {
	for _, c := range []struct{ workload, without string }{
		{"long_burst", "no_pools"},
		{"long_burst", "no_lending"},
		{"long_burst", "no_patience"},
		{"long_burst", "no_reports"},
		{"short_burst", "fixed_pool"},
		{"stream_burst", "fixed_pool"},
		{"stream_burst", "no_pools"},
		{"mix_shift", "no_overflow"},
		{"hot_part", "no_fetch"},
		{"hot_tenant", "no_fetch"},
		{"all_return", "no_homes"},
		{"lost_replicas", "no_homes"},
		{"slow_replicas", "no_reports"},
		{"shop", "no_pace"},
		{"contested_memory", "no_memory"},
		{"hot_tenant", "no_kept"},
		{"mix_shift", "no_kept"},
		{"small_memory", "no_memory"},
	} {
		t.Run(c.workload+"/"+c.without, func(t *testing.T) {
			t.Parallel()
			w := workload(t, c.workload)
			policy := Measure(w, variant(t, "policy"), reportSeeds)[0].Value
			without := Measure(w, variant(t, c.without), reportSeeds)[0].Value
			if policy <= without {
				t.Errorf("credit %.4f under the policy, %.4f with %s", policy, without, c.without)
			}
		})
	}
}

// Guards against more affinity replicas per prompt than the KV cache allows: on the large deployments 3 and 8 of them
// caused more repeated prefills of shared parts than 2, and fewer requests were in time.
func TestFewAffinityReplicasWithSmallMemory(t *testing.T) {
	t.Parallel()
	w := workload(t, "small_memory")
	many := w
	many.Placement.AffinityReplicas = 8
	few, more := creditShare(w.Classes, w.Sum(reportSeeds)), creditShare(w.Classes, many.Sum(reportSeeds))
	if few <= more {
		t.Errorf("credit %.3f with %d affinity replicas, %.3f with 8", few, w.Placement.AffinityReplicas, more)
	}
}

func promptOf(id string, shared, own int) *request {
	return &request{class: &Class{events: 1}, tokens: tilemendSheet.eventTokens, job: &place.Job{Parts: []place.Part{{ID: id, Tokens: shared}, {ID: id + "-own", Tokens: own}}}}
}

// drain steps the engine until it is idle and returns how long that took.
func drain(t *testing.T, e *engine, now time.Time) time.Duration {
	t.Helper()
	start := now
	noise := rand.New(rand.NewPCG(1, 1))
	for !e.idle() {
		now = e.next
		for _, r := range e.step(now, noise, true) {
			if r.tokens == 0 {
				e.remove(r)
			}
		}
		if now.Sub(start) > time.Minute {
			t.Fatal("the engine does not become idle")
		}
	}
	return now.Sub(start)
}

// Guards against an engine that prefills parts which it has cached or fetches from another engine.
func TestEnginePrefillsMissingParts(t *testing.T) {
	now := time.Unix(1000, 0)
	e, other := newEngine("e", tilemendSheet), newEngine("o", tilemendSheet)
	e.enqueue(promptOf("a", 13300, 3720), nil, now)
	cold := drain(t, e, now)
	e.enqueue(promptOf("a", 13300, 3720), nil, now)
	warm := drain(t, e, now)
	other.enqueue(promptOf("a", 13300, 3720), e, now)
	fetched := drain(t, other, now)
	if cold < 300*time.Millisecond || warm > cold/2 || fetched > warm+40*time.Millisecond {
		t.Errorf("cold %s, warm %s, fetched %s; want 13,300 tokens (235 ms) less when they are cached or fetched", cold, warm, fetched)
	}
}

// Guards against a KV cache without a bound: the least recently used parts must be evicted first, and the newest requests
// preempted when the running ones need more than there is.
func TestEngineMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEngine("e", tilemendSheet)
	for n := range 60 {
		e.enqueue(promptOf(fmt.Sprint("part", n), 13300, 100), nil, now)
		drain(t, e, now)
	}
	cachedTokens := 0
	for _, tokens := range e.size {
		cachedTokens += tokens
	}
	if cachedTokens > e.memoryTokens || e.hasCached("part0") || !e.hasCached("part59") {
		t.Errorf("%d tokens cached, the oldest %t, the newest %t", cachedTokens, e.hasCached("part0"), e.hasCached("part59"))
	}
	for n := range 4 {
		e.enqueue(promptOf(fmt.Sprint("large", n), 1, 250_000), nil, now)
	}
	e.step(now, rand.New(rand.NewPCG(1, 1)), true)
	if len(e.running) != 2 || len(e.queue) != 2 {
		t.Errorf("%d running, %d preempted; want 2 of each", len(e.running), len(e.queue))
	}
}
