package place

import (
	"testing"
	"time"
)

// paceOf feeds the samples of a service with replicas 1 to 8, of which the first takes factor times as long, and returns the
// tracker. Each replica has a sample in each 200 ms.
func paceOf(t *testing.T, p *paces, factor float64, from, duration time.Duration) time.Time {
	t.Helper()
	start := time.Unix(1000, 0).Add(from)
	now := start
	for ; now.Before(start.Add(duration)); now = now.Add(200 * time.Millisecond) {
		for n := range 8 {
			tokens, slowdown := 3000+2000*n, 1.0
			if n == 0 {
				tokens, slowdown = 3000+2000*int(now.UnixMilli()/200%8), factor
			}
			took := 100 + slowdown*float64(tokens)/40
			p.record("lm", PaceSample{Replica: Key(n + 1), Tokens: tokens, Took: time.Duration(took * float64(time.Millisecond))}, false, now)
		}
	}
	return now
}

// Guards against a replica that keeps its share of the work for more than two seconds after it has turned slow, or goes without work
// for longer after it has recovered.
func TestSlowReplicaIsFoundAndRecovers(t *testing.T) {
	p := newPaces()
	now := paceOf(t, p, 1, 0, 10*time.Second)
	if s := p.slowdown(1, now); s < 0.8 || s > 1.2 {
		t.Errorf("slowdown %.2f of a replica like the others", s)
	}
	now = paceOf(t, p, 5, 10*time.Second, 2*time.Second)
	if s := p.slowdown(1, now); s < 2.5 {
		t.Errorf("slowdown %.2f after 2 s at a fifth of the pace", s)
	}
	now = paceOf(t, p, 1, 12*time.Second, 4*time.Second)
	if s := p.slowdown(1, now); s > 1.8 {
		t.Errorf("slowdown %.2f 4 s after the recovery", s)
	}
	if s := p.slowdown(2, now); s < 0.7 || s > 1.3 {
		t.Errorf("slowdown %.2f of another replica", s)
	}
}

// Guards against pools that change with short slow periods and single waits: each change moves prompts to other replicas.
func TestOnlyLastingDifferencesMakeAFastReplica(t *testing.T) {
	p := newPaces()
	now := paceOf(t, p, 0.45, 0, 10*time.Second)
	if !p.updateFast(now) || !p.isFast(1) || p.isFast(2) {
		t.Fatal("a replica at twice the pace of the others is not a fast one")
	}
	now = paceOf(t, p, 1.1, 10*time.Second, 600*time.Millisecond)
	if p.updateFast(now.Add(updateFastInterval)) {
		t.Error("a slow period of 600 ms changes the fast replicas")
	}
	now = paceOf(t, p, 1, 11*time.Second, 20*time.Second)
	if !p.updateFast(now) || p.isFast(1) {
		t.Error("a replica that is as slow as the others for 20 s remains a fast one")
	}
}

// Guards against replicas of equal pace that change places by chance, and against a single sample that makes a replica infinitely
// fast.
func TestPaceOfFewSamples(t *testing.T) {
	p := newPaces()
	now := time.Unix(1000, 0)
	p.record("lm", PaceSample{Replica: 1, Tokens: 17000}, false, now)
	if s := p.slowdown(1, now); s < 0.4 {
		t.Errorf("slowdown %.2f after one sample without time", s)
	}
	if p.updateFast(now); p.isFast(1) {
		t.Error("one sample makes a fast replica")
	}
	if s := p.slowdown(2, now); s != 1 {
		t.Errorf("slowdown %.2f of an unknown replica", s)
	}
}
