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

// reportSeeds are the loads that the report sums up.
var reportSeeds = []uint64{1, 2, 3, 4}

// TestReport writes the report of scripts/measure --prompts.
func TestReport(t *testing.T) {
	if *promptsFile == "" {
		t.Skip("no -prompts")
	}
	patterns, variants := Patterns(), Variants()
	parts := make([][]measure.Line, len(patterns)*len(variants))
	t.Run("runs", func(t *testing.T) {
		for i, l := range patterns {
			for k, v := range variants {
				t.Run(l.Name+"/"+v.Name, func(t *testing.T) {
					t.Parallel()
					parts[i*len(variants)+k] = Measure(l, v, reportSeeds)
				})
			}
		}
	})
	f, err := os.Create(*promptsFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, lines := range parts {
		if err := measure.Write(f, lines); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

// named returns the element of the list with the name.
func named[T any](t *testing.T, list []T, name string, nameOf func(T) string) T {
	t.Helper()
	i := slices.IndexFunc(list, func(e T) bool { return nameOf(e) == name })
	if i < 0 {
		t.Fatalf("%q is not in the list", name)
	}
	return list[i]
}

func pattern(t *testing.T, name string) Load {
	t.Helper()
	return named(t, Patterns(), name, func(l Load) string { return l.Name })
}

func variant(t *testing.T, name string) Variant {
	t.Helper()
	return named(t, Variants(), name, func(v Variant) string { return v.Name })
}

// Guards against a report that differs between runs of one seed, and against requests that are never accounted for.
func TestRunIsRepeatableAndComplete(t *testing.T) {
	for _, l := range Patterns() {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			for _, v := range []Variant{variant(t, "policy"), variant(t, "oracle")} {
				under := v.Under(l)
				a, b := under.Run(7), under.Run(7)
				if !maps.Equal(a, b) {
					t.Errorf("%s: %v, then %v", v.Name, a, b)
				}
				for name, c := range a {
					if c.Asked == 0 || c.InTime+c.Late+c.Refused+c.Failed != c.Asked {
						t.Errorf("%s %s: %+v does not add up", v.Name, name, c)
					}
				}
			}
		})
	}
}

// Guards against a mechanism that no longer pays on the pattern that it answers, by the worth of the classes together.
func TestMechanismsPayOnTheirPatterns(t *testing.T) {
	for _, c := range []struct{ pattern, without string }{
		{"long_burst", "no_pools"},
		{"long_burst", "no_lending"},
		{"long_burst", "no_patience"},
		{"long_burst", "no_reports"},
		{"short_burst", "no_overflow"},
		{"mix_shift", "no_overflow"},
		{"hot_part", "no_fetch"},
		{"hot_tenant", "no_fetch"},
		{"all_return", "no_homes"},
		{"lost_replicas", "no_homes"},
		{"slow_replicas", "no_reports"},
	} {
		t.Run(c.pattern+"/"+c.without, func(t *testing.T) {
			t.Parallel()
			l := pattern(t, c.pattern)
			policy := Measure(l, variant(t, "policy"), reportSeeds)[0].Value
			without := Measure(l, variant(t, c.without), reportSeeds)[0].Value
			if policy <= without {
				t.Errorf("credit %.4f under the policy, %.4f with %s", policy, without, c.without)
			}
		})
	}
}

// Guards against more homes for a prompt than memory allows: on the large deployments 3 and 8 homes read more shared parts
// again than 2, and served fewer requests in time.
func TestFewHomesWhereMemoryIsSmall(t *testing.T) {
	t.Parallel()
	l := pattern(t, "small_memory")
	many := l
	many.Set.Homes = 8
	few, more := credit(l.Classes, l.Sum(reportSeeds)), credit(l.Classes, many.Sum(reportSeeds))
	if few <= more {
		t.Errorf("credit %.3f with %d homes, %.3f with 8", few, l.Set.Homes, more)
	}
}

func promptOf(id string, shared, own int) *request {
	return &request{class: &Class{events: 1}, tokens: eventTokens, job: &place.Job{Parts: []place.Part{{ID: id, Tokens: shared}, {ID: id + "-own", Tokens: own}}}}
}

// drain steps the engine until it has nothing to do and returns how long that took.
func drain(t *testing.T, e *engine, now time.Time) time.Duration {
	t.Helper()
	start := now
	noise := rand.New(rand.NewPCG(1, 1))
	for !e.idle() {
		now = e.next
		for _, r := range e.step(now, noise, true) {
			if r.tokens == 0 {
				e.drop(r)
			}
		}
		if now.Sub(start) > time.Minute {
			t.Fatal("the engine does not end its work")
		}
	}
	return now.Sub(start)
}

// Guards against an engine that reads what it holds, and against one that reads what it was told to fetch.
func TestEngineReadsWhatIsMissing(t *testing.T) {
	now := time.Unix(1000, 0)
	e, other := newEngine("e"), newEngine("o")
	e.begin(promptOf("a", 13300, 3720), nil, now)
	cold := drain(t, e, now)
	e.begin(promptOf("a", 13300, 3720), nil, now)
	warm := drain(t, e, now)
	other.begin(promptOf("a", 13300, 3720), e, now)
	fetched := drain(t, other, now)
	if cold < 300*time.Millisecond || warm > cold/2 || fetched > warm+40*time.Millisecond {
		t.Errorf("cold %s, warm %s, fetched %s; want 13,300 tokens (235 ms) less when they are held or fetched", cold, warm, fetched)
	}
}

// Guards against a memory without bounds: parts that were used least recently go first, and the newest requests are put
// back when the running ones need more than there is.
func TestEngineMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEngine("e")
	for n := range 60 {
		e.begin(promptOf(fmt.Sprint("part", n), 13300, 100), nil, now)
		drain(t, e, now)
	}
	held := 0
	for _, tokens := range e.size {
		held += tokens
	}
	if held > memoryTokens || e.holds("part0") || !e.holds("part59") {
		t.Errorf("%d tokens held, the oldest %t, the newest %t", held, e.holds("part0"), e.holds("part59"))
	}
	for n := range 4 {
		e.begin(promptOf(fmt.Sprint("large", n), 1, 250_000), nil, now)
	}
	e.step(now, rand.New(rand.NewPCG(1, 1)), true)
	if len(e.running) != 2 || len(e.queue) != 2 {
		t.Errorf("%d running, %d put back; want 2 of each", len(e.running), len(e.queue))
	}
}
