package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// herdSimulation simulates, in steps of 10 ms, entries that receive the same load reports, up to a second old.
type herdSimulation struct {
	entries, upstreams int
	load               float64
	slots              int
	service            time.Duration
	reportEvery        time.Duration
	length             time.Duration
	// pick chooses the upstream instead of a Picker when set.
	pick func(rng *rand.Rand, reported []int) int
}

type herdJob struct {
	arrived time.Duration
	entry   int
	flight  InFlightRequest
}

type herdResult struct{ p99Wait, longestQueue float64 }

// run returns the 99th percentile of the queue wait in seconds, and the mean over time of the longest queue relative to
// the slots.
func (h herdSimulation) run() herdResult {
	rng := rand.New(rand.NewPCG(1, 2))
	var pickers []*Picker
	if h.pick == nil {
		pickers = make([]*Picker, h.entries)
	}
	ids := make([]ID, h.upstreams)
	for e := range pickers {
		pickers[e] = New(base, Settings{Zone: fmt.Sprint(e % 3), Seed: uint64(e) + 1})
		for u := range ids {
			ids[u] = pickers[e].Add(Upstream{Service: "lm", Zone: fmt.Sprint(u % 3), Slots: h.slots})
		}
	}
	const step = 10 * time.Millisecond
	queue := make([][]herdJob, h.upstreams)
	type running struct {
		ends time.Duration
		job  herdJob
	}
	busy := make([][]running, h.upstreams)
	reported := make([]int, h.upstreams)
	var waits []float64
	longestQueue := 0.0
	perStep := h.load * float64(h.upstreams*h.slots) / h.service.Seconds() * step.Seconds()
	steps := 0
	for t := time.Duration(0); t < h.length; t += step {
		now := base.Add(t)
		steps++
		peak := 0
		for u := range queue {
			busy[u] = slices.DeleteFunc(busy[u], func(r running) bool {
				if r.ends <= t && h.pick == nil {
					pickers[r.job.entry].End(now, &r.job.flight, 0)
				}
				return r.ends <= t
			})
			for len(busy[u]) < h.slots && len(queue[u]) > 0 {
				j := queue[u][0]
				queue[u] = queue[u][1:]
				waits = append(waits, (t - j.arrived).Seconds())
				busy[u] = append(busy[u], running{t + time.Duration((0.5+rng.Float64())*float64(h.service)), j})
			}
			peak = max(peak, len(queue[u]))
		}
		longestQueue += float64(peak) / float64(h.slots)
		if t%h.reportEvery == 0 {
			for u := range queue {
				reported[u] = len(busy[u]) + len(queue[u])
				for _, p := range pickers {
					p.Report(now, ids[u], Report{Slots: h.slots, Running: len(busy[u]), Queued: len(queue[u]), Healthy: true})
				}
			}
		}
		n := int(perStep)
		if rng.Float64() < perStep-float64(n) {
			n++
		}
		for range n {
			j := herdJob{arrived: t, entry: rng.IntN(h.entries)}
			u := 0
			if h.pick != nil {
				u = h.pick(rng, reported)
			} else {
				p := pickers[j.entry]
				c := p.Pick(now, &Request{Service: "lm", Tokens: 100})
				u = slices.Index(ids, c.First)
				j.flight = p.Begin(now, c.First, 100)
			}
			queue[u] = append(queue[u], j)
		}
	}
	slices.Sort(waits)
	return herdResult{waits[len(waits)*99/100], longestQueue / float64(steps)}
}

func shortestReportedQueue(_ *rand.Rand, reported []int) int {
	best := 0
	for u := range reported {
		if reported[u] < reported[best] {
			best = u
		}
	}
	return best
}

// Guards against herding: entries that receive the same stale report must not all choose the same upstream. The
// policies compared with are the shortest reported queue, which herds, and a random choice, which does not.
func TestEntriesDoNotHerdOnLaggingReports(t *testing.T) {
	for _, c := range []struct {
		entries int
		every   time.Duration
		// maxRelativeWait is the maximum p99 wait relative to that of a random choice.
		maxRelativeWait float64
	}{
		{2, time.Second, 0.1}, {72, time.Second, 0.6}, {360, time.Second, 0.6},
		{2, 100 * time.Millisecond, 0.1}, {72, 100 * time.Millisecond, 0.25}, {360, 100 * time.Millisecond, 0.25},
	} {
		h := herdSimulation{
			entries: c.entries, upstreams: 48, load: 0.8, slots: 8, service: 2 * time.Second,
			reportEvery: c.every, length: 4*time.Second + 18*c.every,
		}
		got := h.run()
		// The queues of a random choice take longer to reach their steady state.
		h.length = 40 * time.Second
		h.pick = shortestReportedQueue
		herding := h.run()
		h.pick = func(rng *rand.Rand, reported []int) int { return rng.IntN(len(reported)) }
		random := h.run()
		t.Logf("entries %d, reports every %v: p99 wait %.2f s, longest queue %.2f times the slots; shortest reported queue %.2f s, %.2f; random %.2f s, %.2f",
			c.entries, c.every, got.p99Wait, got.longestQueue, herding.p99Wait, herding.longestQueue, random.p99Wait, random.longestQueue)
		if got.p99Wait > c.maxRelativeWait*random.p99Wait {
			t.Errorf("entries %d: p99 wait %.2f s, want at most %.2f of the %.2f s of a random choice", c.entries, got.p99Wait, c.maxRelativeWait, random.p99Wait)
		}
	}
}
