package route

import (
	"testing"
	"time"
)

func newPicker(n int, settings Settings) (*Picker, []ID) {
	settings.Seed = 1
	p := New(base, settings)
	return p, addUpstreams(p, n)
}

func newRequest() *Request { return &Request{Service: "lm-pool", Tokens: 100} }

// Guards against new requests at an upstream that is leaving, suspect, draining or unhealthy, also when chosen by
// prefix, for a probe, or because there is no other upstream.
func TestFlaggedUpstreamIsNeverChosen(t *testing.T) {
	p, ids := newPicker(24, Settings{Zone: "z1"})
	flags := []Flag{Leaving, Suspect, Draining, Unhealthy}
	flagged := make(map[ID]bool)
	for i, id := range ids {
		if i%3 != 0 {
			p.SetFlag(id, flags[i%4], true)
			flagged[id] = true
			p.RecordPrefix(id, 9)
		}
	}
	slow := ids[1]
	p.upstreams[slow].slow = true
	p.reindex(p.upstreams[slow])
	r := newRequest()
	r.PrefixHash = 9
	for i := range 2000 {
		c := p.Pick(base.Add(time.Duration(i)*time.Second), r)
		if c.First == None || flagged[c.First] || flagged[c.Second] {
			t.Fatalf("choice %+v", c)
		}
	}
	for _, id := range ids {
		p.SetFlag(id, Leaving, true)
	}
	if c := p.Pick(base, r); c.First != None {
		t.Errorf("choice %+v while every upstream is leaving", c)
	}
	p.SetFlag(ids[0], Leaving, false)
	if c := p.Pick(base, r); c.First != ids[0] {
		t.Errorf("choice %+v after the flag was cleared", c)
	}
}

// Guards against choosing an upstream that lacks the model, belongs to another service, or was already tried.
func TestModelServiceAndExclusion(t *testing.T) {
	p, ids := newPicker(4, Settings{})
	for range 100 {
		r := &Request{Service: "lm-pool", Model: "m1", Tokens: 1, Exclude: [MaxExclude]ID{ids[1]}}
		if c := p.Pick(base, r); c.First != ids[3] || c.Second != None {
			t.Fatalf("choice %+v, want only %d", c, ids[3])
		}
	}
	for _, r := range []*Request{{Service: "sachetlm"}, {Service: "lm-pool", Model: "m9"}} {
		if c := p.Pick(base, r); c.First != None {
			t.Errorf("choice %+v for %+v", c, r)
		}
	}
	p.Report(base, ids[0], Report{Slots: 8, Models: []string{"m9"}, Healthy: true})
	if c := p.Pick(base, &Request{Service: "lm-pool", Model: "m9"}); c.First != ids[0] {
		t.Errorf("choice %+v after the model was loaded", c)
	}
}

// runStream records one stream of an upstream, from Begin to End, and returns its end time.
func runStream(p *Picker, now time.Time, id ID, tokens int, gap time.Duration) time.Time {
	f := p.Begin(now, id, tokens)
	for range tokens {
		now = now.Add(gap)
		p.Tokens(now, &f, 1)
	}
	p.End(now, &f, 0)
	return now
}

// Guards against sending a slow upstream its full load, against never probing it, and against flapping between slow and
// fast.
func TestSlowUpstreamIsProbedAndReadmitted(t *testing.T) {
	p := New(base, Settings{Seed: 1})
	ids := make([]ID, 10)
	for i := range ids {
		ids[i] = p.Add(Upstream{Service: "lm-pool", Slots: 8})
	}
	now := base
	gaps := map[ID]time.Duration{ids[0]: 100 * time.Millisecond}
	run := func(until time.Duration) (count map[ID]int, changes int) {
		count = make(map[ID]int)
		was := p.upstreams[ids[0]].slow
		for now.Before(base.Add(until)) {
			c := p.Pick(now, newRequest())
			count[c.First]++
			gap := gaps[c.First]
			if gap == 0 {
				gap = 20 * time.Millisecond
			}
			runStream(p, now, c.First, 20, gap)
			now = now.Add(20 * time.Millisecond)
			if v, _ := p.View(ids[0]); v.Slow != was {
				was = v.Slow
				changes++
			}
		}
		return count, changes
	}
	run(10 * time.Second)
	if v, _ := p.View(ids[0]); !v.Slow {
		t.Fatalf("not marked slow: %+v", v)
	}
	count, changes := run(30 * time.Second)
	// One probe every 4 s at most, against about 100 requests of each other upstream.
	if count[ids[0]] < 2 || count[ids[0]] > 8 || changes != 0 {
		t.Errorf("%d probes and %d changes in 20 s", count[ids[0]], changes)
	}
	gaps[ids[0]] = 33 * time.Millisecond // 0.6 of the median decode speed: between the thresholds
	if _, changes = run(60 * time.Second); changes != 0 {
		t.Errorf("%d changes between the thresholds", changes)
	}
	gaps[ids[0]] = 20 * time.Millisecond
	count, changes = run(90 * time.Second)
	if v, _ := p.View(ids[0]); v.Slow || changes != 1 || count[ids[0]] < 50 {
		t.Errorf("slow %v, %d changes, %d requests after recovery", v.Slow, changes, count[ids[0]])
	}
}

// Guards against refusing requests because every upstream became slow, and against treating upstreams of equally low
// decode speed as slow.
func TestEquallySlowUpstreamsStayEligible(t *testing.T) {
	p, ids := newPicker(9, Settings{})
	now := base
	for range 50 {
		for _, id := range ids {
			runStream(p, now, id, 5, 200*time.Millisecond)
		}
		now = now.Add(time.Second)
	}
	if c := p.Pick(now, newRequest()); c.First == None || c.Reason != ReasonCost {
		t.Errorf("choice %+v", c)
	}
}

// Guards against preferring a stalled upstream: it delivers no tokens, so that no observation lowers its decode speed.
func TestStalledUpstreamCostsMore(t *testing.T) {
	p, ids := newPicker(2, Settings{})
	for _, id := range ids {
		runStream(p, base, id, 50, 20*time.Millisecond)
		p.Report(base.Add(time.Second), id, Report{Slots: 8, Healthy: true})
	}
	now := base.Add(time.Second)
	stalled := p.Begin(now, ids[0], 100)
	p.Tokens(now, &stalled, 1)
	working := p.Begin(now, ids[1], 500)
	now = now.Add(5 * time.Second)
	p.Tokens(now, &working, 1)
	for range 20 {
		if c := p.Pick(now, newRequest()); c.First != ids[1] {
			t.Fatalf("choice %+v, want the working upstream", c)
		}
	}
}

// Guards against ignoring a cached prefix at normal load, and against overloading one upstream with a frequent prefix.
func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	p, ids := newPicker(20, Settings{})
	for _, id := range ids {
		p.Report(base, id, Report{Slots: 8, Running: 2, Healthy: true})
	}
	p.RecordPrefix(ids[7], 42)
	r := &Request{Service: "lm-pool", Tokens: 1000, PrefixHash: 42, PrefixTokens: 800}
	if c := p.Pick(base, r); c.First != ids[7] || c.Reason != ReasonPrefix {
		t.Fatalf("choice %+v, want the upstream with the prefix", c)
	}
	maxInFlight := 0
	for range 200 {
		c := p.Pick(base, r)
		p.Begin(base, c.First, r.Tokens)
		p.RecordPrefix(c.First, 42)
		v, _ := p.View(c.First)
		maxInFlight = max(maxInFlight, v.InFlight)
	}
	if maxInFlight > 30 {
		t.Errorf("%d of 200 requests with one prefix at one of 20 upstreams", maxInFlight)
	}
}

// Guards against cache events overriding the entry's own records, and against unbounded growth of the prefix cache.
func TestCacheEventsAreHints(t *testing.T) {
	cache := newPrefixCache(64)
	cache.put(1, 10)
	cache.putIfUnknown(1, 11)
	if a, b := cache.find(1); a != 10 || b != None {
		t.Errorf("found %d and %d after a late event", a, b)
	}
	cache.remove(1, 11)
	cache.put(1, 12)
	if a, b := cache.find(1); a != 12 || b != 10 {
		t.Errorf("found %d and %d, want the recent one first", a, b)
	}
	cache.remove(1, 12)
	if a, b := cache.find(1); a != 10 || b != None {
		t.Errorf("found %d and %d after the eviction", a, b)
	}
	for i := range uint64(10_000) {
		cache.put(i+2, 1)
	}
	if n := len(cache.sets) * prefixWays; n > 64 {
		t.Errorf("prefix cache of %d entries, want at most 64", n)
	}
}

// Guards against traffic between availability zones at equal load, and against overloading the own zone.
func TestOwnZoneFirstAtEqualLoad(t *testing.T) {
	p := New(base, Settings{Zone: "a", Seed: 1})
	own := make(map[ID]bool)
	for i := range 12 {
		zone := []string{"a", "b", "c"}[i%3]
		id := p.Add(Upstream{Service: "lm-pool", Zone: zone, Slots: 8})
		own[id] = zone == "a"
	}
	for range 100 {
		if c := p.Pick(base, newRequest()); !own[c.First] {
			t.Fatalf("choice %+v in another zone", c)
		}
	}
	inOwn := 0
	for range 96 {
		c := p.Pick(base, newRequest())
		p.Begin(base, c.First, 100)
		if own[c.First] {
			inOwn++
		}
	}
	if inOwn > 48 {
		t.Errorf("%d of 96 requests in the own zone, which has 32 slots of 96", inOwn)
	}
}

// Guards against wrong counts when End is called twice, or an upstream is removed or changes its models with requests
// in flight.
func TestInFlightRequestsAreCountedOnce(t *testing.T) {
	p, ids := newPicker(2, Settings{})
	f := p.Begin(base, ids[0], 10)
	g := p.Begin(base, ids[1], 10)
	p.Tokens(base, &f, 4)
	p.Report(base, ids[0], Report{Slots: 8, Models: []string{"m5"}, Healthy: true})
	p.End(base, &f, 0)
	p.End(base, &f, 0)
	p.Tokens(base, &f, 1)
	if v, _ := p.View(ids[0]); v.InFlight != 0 || v.OutstandingTokens != 0 {
		t.Errorf("after the end: %+v", v)
	}
	p.Remove(ids[1])
	p.End(base, &g, 0)
	for k, grp := range p.groups {
		if grp.ownInFlight != 0 {
			t.Errorf("group %v counts %d", k, grp.ownInFlight)
		}
	}
}

// Guards against heap allocations on the request path.
func TestPickDoesNotAllocate(t *testing.T) {
	p, ids := newPicker(64, Settings{Zone: "z1"})
	r := &Request{Service: "lm-pool", Model: "m0", Tokens: 100, PrefixHash: 5}
	p.RecordPrefix(ids[0], 5)
	now := base
	if n := testing.AllocsPerRun(1000, func() {
		now = now.Add(10 * time.Millisecond)
		f := p.Begin(now, p.Pick(now, r).First, 10)
		p.Tokens(now, &f, 1)
		p.Tokens(now.Add(time.Millisecond), &f, 1)
		p.End(now, &f, 0)
	}); n != 0 {
		t.Errorf("%v allocations per request", n)
	}
}
