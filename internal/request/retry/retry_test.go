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

// Guards against executing a request twice, against retries after a part of a response was sent, and against attempts
// that cannot end before the deadline. The expected verdict is computed independently of the code under test.
func TestUnsafeAttemptsAreNotRetried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Failure{
			Execution:       rapid.SampledFrom([]Execution{0, NotRun, Redirected, MayHaveRun, 9}).Draw(t, "execution"),
			Idempotent:      rapid.Bool().Draw(t, "idempotent"),
			ResponseStarted: rapid.Bool().Draw(t, "response started"),
			Attempts:        rapid.IntRange(1, 4).Draw(t, "attempts"),
			MinAttemptTime:  time.Duration(rapid.IntRange(0, 1000).Draw(t, "min attempt time ms")) * time.Millisecond,
		}
		remaining := time.Duration(rapid.IntRange(-10, 1000).Draw(t, "remaining ms")) * time.Millisecond
		f.Deadline = start.Add(remaining)
		v := NewBudget(Settings{}).Decide(start, f)
		notRun := f.Execution == NotRun || f.Execution == Redirected
		safe := !f.ResponseStarted && (notRun || f.Execution == MayHaveRun && f.Idempotent)
		if want := safe && f.Attempts < 3 && f.MinAttemptTime <= remaining; (v == Retry) != want {
			t.Fatalf("verdict %v for %+v with %v to the deadline", v, f, remaining)
		}
	})
}

// simulateOutage sends requests for 60 s to ten upstreams, of which some fail from 20 s to 40 s. It returns the number
// of attempts per request during the outage, and the share of the requests of the last 10 s that succeeded.
func simulateOutage(
	perSecond int, failing int, decide func(now time.Time, f Failure) Verdict, onRequest func(time.Time),
) (amplification, recovered float64) {
	rng := rand.New(rand.NewPCG(1, 1))
	requests, attempts, succeeded, last := 0, 0, 0, 0
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
			done = !outage || rng.IntN(10) >= failing
			if !done && decide(now, Failure{Execution: NotRun, Attempts: n}) != Retry {
				break
			}
		}
		if at >= 50*time.Second {
			last++
			if done {
				succeeded++
			}
		}
	}
	return float64(attempts) / float64(requests), float64(succeeded) / float64(last)
}

// Guards against a retry storm: failing upstreams must not increase the load on the others by more than the budget,
// even when every upstream fails.
func TestNoRetryStormAfterUpstreamLoss(t *testing.T) {
	for _, lost := range []int{1, 5, 10} {
		b := NewBudget(Settings{})
		got, recovered := simulateOutage(200, lost, b.Decide, b.OnRequest)
		unlimited := func(_ time.Time, f Failure) Verdict {
			if f.Attempts < 3 {
				return Retry
			}
			return TooManyAttempts
		}
		withoutBudget, _ := simulateOutage(200, lost, unlimited, func(time.Time) {})
		t.Logf("%d of 10 upstreams lost: %.3f attempts per request, %.3f without a budget", lost, got, withoutBudget)
		// 10% of 4,000 requests, the bucket of 10 s of traffic, the reserve, and its restoration twice in 20 s.
		if limit := 1 + (0.1*4000+0.1*2000+3+6)/4000; got > limit {
			t.Errorf("%d lost: %.3f attempts per request, want at most %.3f", lost, got, limit)
		}
		if recovered < 1 {
			t.Errorf("%d lost: %.3f of the requests succeed after the recovery", lost, recovered)
		}
	}
}

// Guards against an idle entry that cannot retry, and against a budget that accumulates over hours.
func TestReserveAndCapacity(t *testing.T) {
	b := NewBudget(Settings{})
	countRetries := func(now time.Time) (n int) {
		for b.Decide(now, Failure{Execution: NotRun, Attempts: 1}) == Retry {
			n++
		}
		return n
	}
	if n := countRetries(start); n != 3 {
		t.Errorf("%d retries of an idle entry, want the reserve of 3", n)
	}
	now := start
	for range 100_000 {
		now = now.Add(10 * time.Millisecond)
		b.OnRequest(now)
	}
	if n := countRetries(now); n < 95 || n > 104 {
		t.Errorf("%d retries after long traffic of 100 requests/s, want about a tenth of 10 s of it", n)
	}
	for range 1000 {
		b.OnRequest(now)
	}
	if n := countRetries(now.Add(time.Hour)); n > 3 {
		t.Errorf("%d retries an hour after the traffic ended", n)
	}
	if v := b.Decide(now.Add(time.Hour), Failure{Execution: Redirected, Attempts: 1}); v != Retry {
		t.Errorf("redirect by a draining sidecar: %v, want a retry although the budget is empty", v)
	}
}

// Guards against hedges that waste more than 1% of the useful tokens, even when all tokens of each hedge are wasted.
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
				h.OnUsefulTokens(now, n)
				useful += n
			case 1:
				if h.Allow(now, HedgeRequest{Allowed: true, Idempotent: true, Tokens: n}) {
					running = append(running, n)
				}
			case 2:
				if len(running) > 0 {
					h.Settle(now, running[0], running[0])
					wasted += running[0]
					running = running[1:]
				}
			}
			atRisk := wasted
			for _, r := range running {
				atRisk += r
			}
			// Useful and wasted tokens decay at the same rate within the 20 s of this run; 1.4 covers the largest difference.
			if float64(atRisk) > 1.4*0.01*float64(useful) {
				t.Fatalf("%d wasted or at risk of %d useful tokens", atRisk, useful)
			}
		}
	})
}

// Guards against hedging a request that is not idempotent, is long, is not delayed, or cannot end before its deadline.
func TestOnlyShortIdempotentDelayedRequestsAreHedged(t *testing.T) {
	allowed := HedgeRequest{
		Allowed: true, Idempotent: true, Tokens: 100, Waited: 2 * time.Second, HedgeDelay: time.Second,
		Deadline: start.Add(time.Second), CompletionTime: time.Second,
	}
	for name, change := range map[string]func(*HedgeRequest){
		"unchanged":        func(*HedgeRequest) {},
		"row forbids":      func(q *HedgeRequest) { q.Allowed = false },
		"not idempotent":   func(q *HedgeRequest) { q.Idempotent = false },
		"response started": func(q *HedgeRequest) { q.ResponseStarted = true },
		"too many tokens":  func(q *HedgeRequest) { q.Tokens = 513 },
		"not delayed":      func(q *HedgeRequest) { q.Waited = time.Millisecond },
		"past deadline":    func(q *HedgeRequest) { q.CompletionTime = 2 * time.Second },
		"unknown tokens":   func(q *HedgeRequest) { q.Tokens = 0 },
	} {
		h := NewHedger(HedgeSettings{})
		h.OnUsefulTokens(start, 1_000_000)
		q := allowed
		change(&q)
		if got := h.Allow(start, q); got != (name == "unchanged") {
			t.Errorf("%s: allowed %v", name, got)
		}
	}
}
