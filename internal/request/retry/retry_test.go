package retry

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against running work twice, against retries after a part of a response was sent, and against attempts that
// cannot end before the deadline. The expected safety is written out here independently of the code.
func TestNothingUnsafeIsRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Failure{
			Known:      rapid.SampledFrom([]Known{0, NotRun, Redirected, MayHaveRun, 9}).Draw(t, "known"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Sent:       rapid.Bool().Draw(t, "sent"),
			Attempts:   rapid.IntRange(1, 4).Draw(t, "attempts"),
			Need:       time.Duration(rapid.IntRange(0, 1000).Draw(t, "need ms")) * time.Millisecond,
		}
		left := time.Duration(rapid.IntRange(-10, 1000).Draw(t, "left ms")) * time.Millisecond
		f.Deadline = start.Add(left)
		v := NewBudget(Settings{}).Decide(start, f)
		notRun := f.Known == NotRun || f.Known == Redirected
		safe := !f.Sent && (notRun || f.Known == MayHaveRun && f.Idempotent)
		if want := safe && f.Attempts < 3 && f.Need <= left; (v == Again) != want {
			t.Fatalf("verdict %v for %+v with %v left", v, f, left)
		}
	})
}

// storm sends requests for 60 s to ten upstreams of which some refuse work from 20 s to 40 s, and returns the attempts
// at the refusing ones per request during that time, and the share of requests of the last 10 s that succeeded.
func storm(perSecond int, lost int, decide func(now time.Time, f Failure) Verdict, onRequest func(time.Time)) (amplification, after float64) {
	rng := rand.New(rand.NewPCG(1, 1))
	requests, attempts, ok, last := 0, 0, 0, 0
	for i := range 60 * perSecond {
		at := time.Duration(i) * time.Second / time.Duration(perSecond)
		now := start.Add(at)
		outage := at >= 20*time.Second && at < 40*time.Second
		onRequest(now)
		if outage {
			requests++
		}
		done := false
		for n := 1; !done; n++ {
			if outage {
				attempts++
			}
			done = !outage || rng.IntN(10) >= lost
			if !done && decide(now, Failure{Known: NotRun, Attempts: n}) != Again {
				break
			}
		}
		if at >= 50*time.Second {
			last++
			if done {
				ok++
			}
		}
	}
	return float64(attempts) / float64(requests), float64(ok) / float64(last)
}

// Guards against a retry storm: a lost upstream must not raise the load on the others by more than the budget, even
// when every upstream refuses.
func TestNoRetryStormAfterLoss(t *testing.T) {
	for _, lost := range []int{1, 5, 10} {
		b := NewBudget(Settings{})
		got, after := storm(200, lost, b.Decide, b.OnRequest)
		unlimited := func(_ time.Time, f Failure) Verdict {
			if f.Attempts < 3 {
				return Again
			}
			return TooMany
		}
		without, _ := storm(200, lost, unlimited, func(time.Time) {})
		t.Logf("%d of 10 upstreams lost: %.3f attempts per request, %.3f without a budget", lost, got, without)
		// 10% of 4,000 requests, the bucket of 10 s of traffic, and the reserve refilled twice.
		if most := 1 + (0.1*4000+0.1*2000+3+6)/4000; got > most {
			t.Errorf("%d lost: %.3f attempts per request, want at most %.3f", lost, got, most)
		}
		if after < 1 {
			t.Errorf("%d lost: %.3f of the requests succeed after the recovery", lost, after)
		}
	}
}

// Guards against an idle entry that can never retry, and against a budget saved up over hours.
func TestReserveAndCapacity(t *testing.T) {
	b := NewBudget(Settings{})
	again := func(now time.Time) (n int) {
		for b.Decide(now, Failure{Known: NotRun, Attempts: 1}) == Again {
			n++
		}
		return n
	}
	if n := again(start); n != 3 {
		t.Errorf("%d retries of an idle entry, want the reserve of 3", n)
	}
	now := start
	for range 100_000 {
		now = now.Add(10 * time.Millisecond)
		b.OnRequest(now)
	}
	if n := again(now); n < 95 || n > 104 {
		t.Errorf("%d retries after long traffic of 100/s, want about a tenth of 10 s", n)
	}
	for range 1000 {
		b.OnRequest(now)
	}
	if n := again(now.Add(time.Hour)); n > 3 {
		t.Errorf("%d retries an hour after the traffic ended", n)
	}
	if v := b.Decide(now.Add(time.Hour), Failure{Known: Redirected, Attempts: 1}); v != Again {
		t.Errorf("redirect by a draining sidecar: %v, want it without budget", v)
	}
}

// Guards against hedges that waste more than 1% of the useful tokens, even when each one loses all its work.
func TestHedgesStayWithinWasteBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHedger(HedgeSettings{})
		now, useful, wasted := start, 0, 0
		var running []int
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, 2000).Draw(t, "tokens")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				h.OnUseful(now, n)
				useful += n
			case 1:
				if h.Allow(now, Hedge{Allowed: true, Idempotent: true, Tokens: n}) {
					running = append(running, n)
				}
			case 2:
				if len(running) > 0 {
					h.Settle(now, running[0], running[0])
					wasted += running[0]
					running = running[1:]
				}
			}
			risk := wasted
			for _, r := range running {
				risk += r
			}
			// Useful and wasted tokens decay alike within the 20 s of this run; 1.4 covers the largest difference.
			if float64(risk) > 1.4*0.01*float64(useful) {
				t.Fatalf("%d wasted or at risk of %d useful tokens", risk, useful)
			}
		}
	})
}

// Guards against hedging work that may not run twice, is long, is not late, or cannot end in time.
func TestOnlyShortIdempotentLateWorkIsHedged(t *testing.T) {
	good := Hedge{
		Allowed: true, Idempotent: true, Tokens: 100, Waited: 2 * time.Second, After: time.Second,
		Deadline: start.Add(time.Second), Need: time.Second,
	}
	for name, change := range map[string]func(*Hedge){
		"none":            func(*Hedge) {},
		"row forbids":     func(q *Hedge) { q.Allowed = false },
		"not idempotent":  func(q *Hedge) { q.Idempotent = false },
		"response sent":   func(q *Hedge) { q.Sent = true },
		"long":            func(q *Hedge) { q.Tokens = 513 },
		"not late":        func(q *Hedge) { q.Waited = time.Millisecond },
		"past deadline":   func(q *Hedge) { q.Need = 2 * time.Second },
		"unknown, no cap": func(q *Hedge) { q.Tokens = 0 },
	} {
		h := NewHedger(HedgeSettings{})
		h.OnUseful(start, 1_000_000)
		q := good
		change(&q)
		if got := h.Allow(start, q); got != (name == "none") {
			t.Errorf("%s: allowed %v", name, got)
		}
	}
}
