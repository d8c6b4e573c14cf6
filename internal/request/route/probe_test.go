package route

import (
	"testing"
	"time"
)

// probeFixture is a group with one slow upstream, whose first probe is scheduled after InitialProbeInterval with
// jitter.
type probeFixture struct {
	p    *Picker
	ids  []ID
	slow *upstream
	now  time.Time
}

func newProbeFixture(settings Settings) *probeFixture {
	settings.InitialProbeInterval, settings.MaxProbeInterval = 10*time.Second, time.Minute
	p, ids := newPicker(6, settings)
	x := &probeFixture{p: p, ids: ids, slow: p.upstreams[ids[0]], now: base}
	for _, id := range ids {
		p.Report(base, id, Report{Slots: 4, Healthy: true})
		x.now = runStream(p, x.now, id, 20, 20*time.Millisecond)
	}
	for !x.slow.slow {
		x.now = runStream(p, x.now, ids[0], 20, 200*time.Millisecond)
	}
	return x
}

// timeToProbe calls Pick for the request every 100 ms and returns the time until the slow upstream is chosen, at most
// limit.
func (x *probeFixture) timeToProbe(r *Request, limit time.Duration) time.Duration {
	start := x.now
	for x.now.Sub(start) < limit {
		if c := x.p.Pick(x.now, r); c.First == x.ids[0] {
			break
		}
		x.now = x.now.Add(100 * time.Millisecond)
	}
	return x.now.Sub(start)
}

func requestWithPrompt(tokens int) *Request {
	return &Request{Service: "lm-pool", Tokens: 100, PrefixTokens: tokens}
}

// Guards against probing a slow upstream with a long prompt while requests with short prompts arrive: in scenario
// slow_upstreams, the classes with the longest prompts served as all probes, and their p99 time to the first token was
// 4.6 times that of steady.
func TestLongPromptIsNotUsedAsProbe(t *testing.T) {
	x := newProbeFixture(Settings{})
	short, long := requestWithPrompt(400), requestWithPrompt(4000)
	for range 600 {
		if c := x.p.Pick(x.now, long); c.Reason == ReasonProbe {
			t.Fatalf("a prompt of %d tokens is used as a probe %v after the start", long.PrefixTokens, x.now.Sub(base))
		}
		for range 9 {
			x.p.Pick(x.now, short)
		}
		x.now = x.now.Add(100 * time.Millisecond)
	}
	if x.slow.probeInterval == int64(x.p.settings.InitialProbeInterval) {
		t.Error("no short prompt is used as a probe either")
	}
}

// Guards against classifying all of a set of equally long prompts as long, so that a slow upstream is not probed.
func TestPromptsOfEqualLengthAreUsedAsProbes(t *testing.T) {
	x := newProbeFixture(Settings{})
	if took := x.timeToProbe(requestWithPrompt(400), time.Minute); took > 35*time.Second {
		t.Errorf("the first probe took %v", took)
	}
}

// Guards against every entry sending its own probes to a slow upstream: a report with running streams that decode
// slowly postpones the probe, and a report without running streams does not.
func TestReportedSlowDecodingPostponesProbe(t *testing.T) {
	for _, running := range []int{0, 1} {
		x := newProbeFixture(Settings{})
		probed := false
		for range 60 {
			x.p.Report(x.now, x.ids[0], Report{Slots: 4, Running: running, TokensPerSecond: 5, Healthy: true})
			probed = probed || x.timeToProbe(requestWithPrompt(400), time.Second) < time.Second
		}
		if probed != (running == 0) {
			t.Errorf("with %d running streams in the reports: probed %v", running, probed)
		}
	}
}

// Guards against waiting for the scheduled probe while the fast upstreams are full: at a load of 0.7, recovered
// upstreams remained unused for 15 s while requests were queued.
func TestProbeIsEarlierWhileFastUpstreamsAreFull(t *testing.T) {
	idle, busy := newProbeFixture(Settings{}), newProbeFixture(Settings{})
	for _, id := range busy.ids[1:] {
		for range 4 {
			busy.p.Begin(busy.now, id, 100)
		}
	}
	r := requestWithPrompt(400)
	r.PrefixHash = 7
	for _, x := range []*probeFixture{idle, busy} {
		x.slow.nextProbeAt = x.slow.slowSeenAt + int64(20*time.Second)
		x.p.RecordPrefix(x.ids[0], 7)
	}
	if took := busy.timeToProbe(r, time.Minute); took > 6*time.Second {
		t.Errorf("the probe took %v while all others were full", took)
	}
	if took := idle.timeToProbe(r, time.Minute); took < 15*time.Second {
		t.Errorf("the probe took only %v while others were free", took)
	}
}

// Guards against probing a slow upstream with a request that needs a full prefill there, although a request whose
// prefix is cached there arrives soon.
func TestRequestWithCachedPrefixProbesFirst(t *testing.T) {
	x := newProbeFixture(Settings{})
	x.p.RecordPrefix(x.ids[0], 7)
	cached, other := requestWithPrompt(400), requestWithPrompt(400)
	cached.PrefixHash, other.PrefixHash = 7, 8
	for range 1000 {
		if c := x.p.Pick(x.now, other); c.First == x.ids[0] {
			t.Fatal("a request without a cached prefix is the first probe")
		}
		if c := x.p.Pick(x.now, cached); c.First == x.ids[0] {
			return
		}
		x.now = x.now.Add(100 * time.Millisecond)
	}
	t.Error("no probe in 100 s")
}
