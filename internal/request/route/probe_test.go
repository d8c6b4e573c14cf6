package route

import (
	"testing"
	"time"
)

// probes is a group with one slow upstream whose probe is due some time after its last sign of being slow.
type probes struct {
	p    *Picker
	ids  []ID
	slow *upstream
	now  time.Time
}

func newProbes(set Settings) *probes {
	set.ProbeEvery, set.ProbeMax = 10*time.Second, time.Minute
	p, ids := newPicker(6, set)
	x := &probes{p: p, ids: ids, slow: p.ups[ids[0]], now: base}
	for _, id := range ids {
		p.Report(base, id, Report{Slots: 4, Healthy: true})
		x.now = stream(p, x.now, id, 20, 20*time.Millisecond)
	}
	for !x.slow.slow {
		x.now = stream(p, x.now, ids[0], 20, 200*time.Millisecond)
	}
	return x
}

// until picks for the request every 100 ms and returns how long it took until the slow upstream was chosen.
func (x *probes) until(r *Request, limit time.Duration) time.Duration {
	start := x.now
	for x.now.Sub(start) < limit {
		if c := x.p.Pick(x.now, r); c.First == x.ids[0] {
			break
		}
		x.now = x.now.Add(100 * time.Millisecond)
	}
	return x.now.Sub(start)
}

func prompt(tokens int) *Request {
	return &Request{Service: "lm-pool", Tokens: 100, PrefixTokens: tokens}
}

// Guards against a long prompt as the probe of a slow upstream while requests with short prompts come: in slow_upstreams
// the classes with the longest prompts carried all probes, and their p99 to the first token was 4.6 times steady's.
func TestLongPromptIsNoProbe(t *testing.T) {
	x := newProbes(Settings{})
	short, long := prompt(400), prompt(4000)
	for range 600 {
		if c := x.p.Pick(x.now, long); c.Reason == ReasonProbe {
			t.Fatalf("a prompt of %d tokens probes %v after the start", long.PrefixTokens, x.now.Sub(base))
		}
		for range 9 {
			x.p.Pick(x.now, short)
		}
		x.now = x.now.Add(100 * time.Millisecond)
	}
	if x.slow.probeGap == int64(x.p.set.ProbeEvery) {
		t.Error("no short prompt probed either")
	}
}

// Guards against requests of one length all counting as long, which would leave a slow upstream unprobed.
func TestEqualPromptsProbe(t *testing.T) {
	x := newProbes(Settings{})
	if took := x.until(prompt(400), time.Minute); took > 35*time.Second {
		t.Errorf("the first probe took %v", took)
	}
}

// Guards against every entry probing a slow upstream by itself: a report that shows streams at its slow pace postpones
// the probe, and one that shows none does not.
func TestReportedSlowPaceReplacesTheProbe(t *testing.T) {
	for _, running := range []int{0, 1} {
		x := newProbes(Settings{})
		probed := false
		for range 60 {
			x.p.Report(x.now, x.ids[0], Report{Slots: 4, Running: running, TokensPerSecond: 5, Healthy: true})
			probed = probed || x.until(prompt(400), time.Second) < time.Second
		}
		if probed != (running == 0) {
			t.Errorf("with %d running streams reported: probed is %v", running, probed)
		}
	}
}

// Guards against waiting for the regular probe while the fast upstreams are full: at a load of 0.7, slow upstreams that
// had recovered stayed unused for 15 s while requests waited.
func TestFullFastUpstreamsBringTheProbeForward(t *testing.T) {
	idle, busy := newProbes(Settings{}), newProbes(Settings{})
	for _, id := range busy.ids[1:] {
		for range 4 {
			busy.p.Begin(busy.now, id, 100)
		}
	}
	r := prompt(400)
	r.PrefixHash = 7
	for _, x := range []*probes{idle, busy} {
		x.slow.nextProbe = x.slow.slowSeen + int64(20*time.Second)
		x.p.Sent(x.ids[0], 7)
	}
	if took := busy.until(r, time.Minute); took > 6*time.Second {
		t.Errorf("the probe took %v while all others were full", took)
	}
	if took := idle.until(r, time.Minute); took < 15*time.Second {
		t.Errorf("the probe took only %v while others were free", took)
	}
}

// Guards against a probe that reads its whole prompt at a slow upstream although a request comes soon whose prefix is
// cached there.
func TestCachedPrefixProbesFirst(t *testing.T) {
	x := newProbes(Settings{})
	x.p.Sent(x.ids[0], 7)
	cached, other := prompt(400), prompt(400)
	cached.PrefixHash, other.PrefixHash = 7, 8
	for range 1000 {
		if c := x.p.Pick(x.now, other); c.First == x.ids[0] {
			t.Fatal("a request without a cached prefix probed first")
		}
		if c := x.p.Pick(x.now, cached); c.First == x.ids[0] {
			return
		}
		x.now = x.now.Add(100 * time.Millisecond)
	}
	t.Error("no probe in 100 s")
}
