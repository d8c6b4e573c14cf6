package overload

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.Unix(1_000_000, 0)

func request(id uint64, class string, priority uint8) *Request {
	return &Request{ID: id, Class: class, Priority: priority, Weight: 1, TTFTTarget: time.Second, MaxWait: 10 * time.Second}
}

// simulation starts the queued requests of a Controller at a fixed rate, highest tier first, as sidecars do.
type simulation struct {
	c     *Controller
	now   time.Time
	next  uint64
	queue [maxPriority + 1][]uint64
	shed  map[uint64]bool
	class map[uint64]uint8
}

func newSimulation(cfg Config) *simulation {
	return &simulation{c: New(cfg), now: epoch, shed: map[uint64]bool{}, class: map[uint64]uint8{}}
}

func (s *simulation) offer(class string, priority uint8, protected bool) Verdict {
	s.next++
	r := request(s.next, class, priority)
	r.Protected = protected
	v := s.c.Offer(s.now, r)
	if v.Admitted() {
		s.queue[priority] = append(s.queue[priority], r.ID)
		s.class[r.ID] = priority
	}
	s.shedWaiters()
	return v
}

func (s *simulation) shedWaiters() {
	for x, ok := s.c.Next(s.now); ok; x, ok = s.c.Next(s.now) {
		s.shed[x.ID] = true
	}
}

func (s *simulation) start() {
	for p := range s.queue {
		for len(s.queue[p]) > 0 {
			id := s.queue[p][0]
			s.queue[p] = s.queue[p][1:]
			if !s.shed[id] {
				s.c.Started(s.now, id)
				return
			}
		}
	}
}

// run simulates d in steps of 100 ms. Each step offers n requests and starts up to m.
func (s *simulation) run(d time.Duration, n, m int, offer func(i int)) {
	for end := s.now.Add(d); s.now.Before(end); {
		for i := range n {
			offer(i)
		}
		for range m {
			s.start()
		}
		s.now = s.now.Add(100 * time.Millisecond)
		s.shedWaiters()
	}
}

// Guards against refusing requests while there is no backlog.
func TestWithoutBacklogAllAreAdmitted(t *testing.T) {
	s := newSimulation(Config{})
	s.run(5*time.Second, 10, 10, func(int) {
		if v := s.offer("a", 3, false); !v.Admitted() {
			t.Fatalf("refused without a backlog: %+v", v)
		}
	})
}

// Guards against shedding a higher tier while a lower one is admitted, and against an expected wait of more than
// twice the latency target.
func TestOverloadShedsLowestTierFirst(t *testing.T) {
	s := newSimulation(Config{})
	var refused [maxPriority + 1]int
	s.run(10*time.Second, 10, 6, func(i int) {
		p := uint8(2)
		if i >= 5 {
			p = 6
		}
		if !s.offer(string(rune('a'+p)), p, false).Admitted() {
			refused[p]++
		}
	})
	for id := range s.shed {
		refused[s.class[id]]++
	}
	// The demand of tier 2 is 50 requests/s, below the drain rate of 60 requests/s; tier 6 gets the rest.
	if refused[2] != 0 || refused[6] < 300 {
		t.Fatalf("refused %d of tier 2 and %d of tier 6, want 0 and at least 300 of 500", refused[2], refused[6])
	}
	if wait := s.c.ExpectedWait(s.now, request(0, "g", 6)); wait > 2*time.Second {
		t.Fatalf("expected wait %v exceeds twice the target", wait)
	}
}

// Guards against a Retry-After so short that the retry is refused again.
func TestRetryAfterSufficesForAdmission(t *testing.T) {
	s := newSimulation(Config{TargetShare: 1, ShedRatio: 100})
	var last Verdict
	s.run(4*time.Second, 20, 5, func(int) { last = s.offer("a", 2, false) })
	if last.Admitted() {
		t.Fatal("admitted at four times the drain rate")
	}
	s.run(last.RetryAfter, 0, 5, nil)
	if v := s.offer("a", 2, false); !v.Admitted() {
		t.Fatalf("refused again after waiting %v: %+v", last.RetryAfter, v)
	}
}

// Guards against shedding protected requests (invariant 1) under any mix of load and drain rate.
func TestProtectedIsNeverShed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(Config{MaxQueue: 200})
		drain := rapid.IntRange(0, 10).Draw(t, "drain")
		protected := rapid.IntRange(1, 3).Draw(t, "protected")
		tier := uint8(rapid.IntRange(1, 8).Draw(t, "tier"))
		others := rapid.IntRange(0, 15).Draw(t, "others")
		protectedIDs := map[uint64]bool{}
		s.run(5*time.Second, protected+others, drain, func(i int) {
			if i < protected {
				v := s.offer("p", tier, true)
				protectedIDs[s.next] = true
				if v.Reason == ReasonSaturated {
					t.Fatalf("protected request refused: %+v", v)
				}
				return
			}
			s.offer("o", uint8(1+i%8), false)
		})
		for id := range s.shed {
			if protectedIDs[id] {
				t.Fatalf("protected request %d shed", id)
			}
		}
	})
}

// Guards against a full queue that refuses a request while it contains an unprotected one of a lower tier.
func TestFullQueueShedsLowestTier(t *testing.T) {
	s := newSimulation(Config{MaxQueue: 2})
	s.offer("low", 8, false)
	s.offer("mid", 5, false)
	if v := s.offer("high", 1, false); !v.Admitted() || !s.shed[1] || s.shed[2] {
		t.Fatalf("verdict %+v, shed %v, want request 1 shed", v, s.shed)
	}
	if v := s.offer("low", 8, false); v.Reason != ReasonFull {
		t.Fatalf("verdict %+v, want full", v)
	}
}

// Guards against refusing a protected request for its deadline because one request of a lower tier is blocked.
func TestBlockedRequestKeepsProtectedAdmitted(t *testing.T) {
	s := newSimulation(Config{})
	s.offer("low", 8, true)
	s.run(time.Second, 0, 0, nil)
	r := request(1000, "p", 1)
	r.Protected, r.Deadline = true, s.now.Add(10*time.Second)
	if v := s.c.Offer(s.now, r); !v.Admitted() {
		t.Fatalf("verdict %+v, want admitted", v)
	}
}

// Guards against queueing a request whose deadline is expected to pass before it gets a slot.
func TestUnreachableDeadlineIsRefused(t *testing.T) {
	s := newSimulation(Config{TargetShare: 10})
	s.run(3*time.Second, 20, 2, func(int) { s.offer("a", 2, true) })
	r := request(1_000_000, "a", 2)
	r.Protected, r.Deadline = true, s.now.Add(time.Second)
	if v := s.c.Offer(s.now, r); v.Reason != ReasonDeadline {
		t.Fatalf("verdict %+v, want deadline", v)
	}
}
