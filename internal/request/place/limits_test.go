package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

const (
	// limitWindow, limitFactor and limitSlack are the platform's bound: in each window a replica gets at most the factor times what
	// its limit allows, and the slack, from limitContact after it first named the limit.
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitContact = 3 * time.Second

	limitStep    = 2 * time.Millisecond
	limitLatency = 4 * time.Millisecond
	// sendsInterval is the interval at which an edge tells of its sends.
	sendsInterval = 20 * time.Millisecond
	limited       = place.Key(77)
)

// limitSimulation is a fleet of entries that send to one limited replica.
type limitSimulation struct {
	rng     *rand.Rand
	now     time.Time
	loss    float64
	limit   float64
	entries []*limitedEntry
	// sends are the times of all requests at the replica.
	sends []time.Time
	// demand is the number of requests a second for the replica at all entries together.
	demand   float64
	messages []limitMessage
}

type limitedEntry struct {
	limits *place.ReplicaLimits
	name   string
	told   time.Time
	// frozen entries do nothing; cut ones send requests but no messages.
	frozen, cut bool
}

type limitMessage struct {
	at    time.Time
	to    *limitedEntry
	apply func(l *place.ReplicaLimits)
}

func newLimitSimulation(seed uint64, entries int, limit, demand, loss float64) *limitSimulation {
	s := &limitSimulation{rng: rand.New(rand.NewPCG(seed, 9)), now: epoch, loss: loss, limit: limit, demand: demand}
	for range entries {
		s.join()
	}
	return s
}

func (s *limitSimulation) join() {
	name := fmt.Sprintf("10.0.0.%d", len(s.entries))
	s.entries = append(s.entries, &limitedEntry{limits: place.NewReplicaLimits(name), name: name})
}

func (s *limitSimulation) broadcast(from *limitedEntry, apply func(l *place.ReplicaLimits)) {
	for _, to := range s.entries {
		if to != from && !from.cut && !to.cut && s.rng.Float64() >= s.loss {
			s.messages = append(s.messages, limitMessage{s.now.Add(limitLatency), to, apply})
		}
	}
}

// run advances the time, and calls each before every step.
func (s *limitSimulation) run(d time.Duration, each func(at time.Duration)) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(limitStep) {
		each(s.now.Sub(epoch))
		s.messages = slices.DeleteFunc(s.messages, func(m limitMessage) bool {
			if m.at.After(s.now) || m.to.frozen {
				return false
			}
			m.apply(m.to.limits)
			return true
		})
		for _, e := range s.entries {
			if !e.frozen {
				s.step(e)
			}
		}
	}
}

func (s *limitSimulation) step(e *limitedEntry) {
	if s.now.Sub(epoch)%(100*time.Millisecond) == 0 {
		var live []string
		for _, o := range s.entries {
			if o != e && !o.frozen && !o.cut && !e.cut {
				live = append(live, o.name)
			}
		}
		e.limits.SetEntries(live, s.now)
		for _, n := range e.limits.TakeAnnouncements(s.now) {
			s.broadcast(e, func(l *place.ReplicaLimits) { l.Apply(n, s.now); l.Heard(n.Replica, s.now) })
		}
	}
	if s.rng.Float64() < s.demand/float64(len(s.entries))*limitStep.Seconds() && e.limits.Take(limited, s.now) {
		s.sends = append(s.sends, s.now)
		sent := s.now
		n := place.NamedLimit{Replica: limited, PerSecond: s.limit, Withdrawn: s.limit < 0, Sent: sent}
		s.messages = append(s.messages, limitMessage{s.now.Add(100 * time.Millisecond), e, func(l *place.ReplicaLimits) {
			n.At = s.now
			if l.Apply(n, s.now) {
				s.broadcast(e, func(l *place.ReplicaLimits) { l.Apply(n, s.now) })
			}
		}})
	}
	if s.now.Sub(e.told) >= sendsInterval {
		if sends := e.limits.TakeSends(); len(sends) > 0 {
			e.told = s.now
			s.broadcast(e, func(l *place.ReplicaLimits) { l.ApplySends(sends, s.now) })
		}
	}
}

// most returns the most sends in a window between two times.
func (s *limitSimulation) most(from, to time.Duration) int {
	most := 0
	for i, first := range s.sends {
		n := 0
		for _, at := range s.sends[i:] {
			if at.Sub(first) > limitWindow || at.After(epoch.Add(to)) {
				break
			}
			n++
		}
		if first.Sub(epoch) >= from {
			most = max(most, n)
		}
	}
	return most
}

func allowedIn(limit float64) int { return int(limitFactor*limit*limitWindow.Seconds()) + limitSlack }

func nothing(time.Duration) {}

// Guards against a replica that gets more than its limit because each of several entries sees a part of the requests and responses,
// and against a limit of which much is left unused.
func TestEntriesTogetherKeepALimit(t *testing.T) {
	const duration = 12 * time.Second
	for _, c := range []struct {
		entries     int
		limit, loss float64
	}{
		{1, 0, 0}, {1, 3.5, 0}, {5, 0, 0.03}, {5, 0.3, 0}, {5, 1.1, 0.03}, {5, 3.5, 0}, {5, 40, 0.03}, {24, 1.1, 0}, {24, 3.5, 0.03},
		{103, 1.1, 0.03}, {103, 40, 0.03},
	} {
		s := newLimitSimulation(uint64(c.entries), c.entries, c.limit, 20+5*c.limit, c.loss)
		s.run(duration, nothing)
		if n := s.most(limitContact, duration); n > allowedIn(c.limit) {
			t.Errorf("%+v: %d requests in 4 s, allowed %d", c, n, allowedIn(c.limit))
		}
		late := 0
		for _, at := range s.sends {
			if at.Sub(epoch) > limitContact {
				late++
			}
		}
		if used := float64(late) / (c.limit * (duration - limitContact).Seconds()); c.limit >= 1 && used < 0.8 {
			t.Errorf("%+v: %.2f of the limit used, want 0.8", c, used)
		}
	}
}

// Guards against a limit that is exceeded while entries come, go, freeze and are cut off from the others.
func TestLimitWhileEntriesComeAndGo(t *testing.T) {
	for seed := range uint64(4) {
		s := newLimitSimulation(seed, 8, 2, 40, 0.03)
		s.run(30*time.Second, func(at time.Duration) {
			e := s.entries[int(at/time.Second)%len(s.entries)]
			switch at % (3 * time.Second) {
			case 500 * time.Millisecond:
				e.frozen = true
			case 2500 * time.Millisecond:
				for _, o := range s.entries {
					o.frozen = false
				}
			case time.Second:
				if len(s.entries) < 12 {
					s.join()
				}
			}
			s.entries[0].cut = at > 12*time.Second && at < 18*time.Second
		})
		if n := s.most(limitContact, 30*time.Second); n > allowedIn(2) {
			t.Errorf("seed %d: %d requests in 4 s, allowed %d", seed, n, allowedIn(2))
		}
	}
}

// Guards against an entry that keeps an old limit after the replica has lowered, raised or withdrawn it, or has fallen silent.
func TestLimitChanges(t *testing.T) {
	s := newLimitSimulation(3, 5, 6, 60, 0)
	phases := []struct{ limit, least, most float64 }{
		{6, 0.8 * 6 * 4, 6*limitFactor*4 + limitSlack}, {1, 0.7 * 4, 1*limitFactor*4 + limitSlack},
		{8, 0.8 * 8 * 4, 8*limitFactor*4 + limitSlack}, {-1, 0.8 * 60 * 4, 2 * 60 * 4},
	}
	for n, phase := range phases {
		s.limit = phase.limit
		s.run(8*time.Second, nothing)
		from := time.Duration(n)*8*time.Second + limitContact
		if most := float64(s.most(from, from+5*time.Second)); most < phase.least || most > phase.most {
			t.Errorf("phase %d, limit %g: %g requests in 4 s, want %g to %g", n, phase.limit, most, phase.least, phase.most)
		}
	}
	limits := s.entries[0].limits
	limits.Apply(place.NamedLimit{Replica: limited, PerSecond: 0, At: s.now}, s.now)
	for range 100 {
		limits.Take(limited, s.now)
	}
	silent := s.now.Add(time.Minute + time.Second)
	limits.Expire(silent)
	if limits.Active() != 0 {
		t.Error("the limit of a replica that has fallen silent is kept for more than a minute")
	}
}

// Guards against a response that began before the limit was named and ends it.
func TestOlderResponseDoesNotEndALimit(t *testing.T) {
	l := place.NewReplicaLimits("a")
	l.Apply(place.NamedLimit{Replica: limited, PerSecond: 1, At: epoch.Add(time.Second)}, epoch.Add(time.Second))
	if l.Apply(place.NamedLimit{Replica: limited, Withdrawn: true, Sent: epoch.Add(900 * time.Millisecond)}, epoch.Add(2*time.Second)) || l.Active() != 1 {
		t.Error("a request that was sent before the limit was named ends it")
	}
	if !l.Apply(place.NamedLimit{Replica: limited, Withdrawn: true, Sent: epoch.Add(1100 * time.Millisecond)}, epoch.Add(2*time.Second)) || l.Active() != 0 {
		t.Error("a response without a limit does not end it")
	}
	if l.Apply(place.NamedLimit{Replica: limited, PerSecond: 1, At: epoch.Add(time.Second)}, epoch.Add(3*time.Second)) {
		t.Error("an announcement that is older than the end of a limit names it again")
	}
}

// Guards against work that is refused although replicas without a limit have room, and against prompts that are sent to a limited
// replica as a last resort or as a retry.
func TestWorkGoesWhereItMay(t *testing.T) {
	p := newPlacer(t, 4)
	for n := range 3 {
		p.Limits.Apply(place.NamedLimit{Replica: place.KeyOf(fmt.Sprintf("replica-%04d", n)), PerSecond: 0, At: epoch}, epoch)
	}
	for n := range 20 {
		job := prompt(fmt.Sprintf("shared-%d", n))
		job.Retried = n%2 == 0
		c := mustPlace(t, p, job)
		if c.Replica.ID != "replica-0003" {
			t.Errorf("request %d is sent to %s, which takes none", n, c.Replica.ID)
		}
		p.Ended(c, false, epoch)
	}
}

// Guards against requests that are refused at once when all replicas have a limit, although one of them takes another request soon,
// and against urgent ones that wait behind others.
func TestRequestsWaitForALimitInQueueOrder(t *testing.T) {
	p := newPlacer(t, 1)
	only := place.KeyOf("replica-0000")
	p.Limits.Apply(place.NamedLimit{Replica: only, PerSecond: 2, At: epoch}, epoch)
	enqueue := func(priority int) *place.Waiter {
		w, ok := p.Enqueue(&place.Job{Service: "lm", Route: "plain", Target: 4 * time.Second, Arrived: epoch, Repeatable: true, Priority: priority}, epoch)
		if !ok || !w.Unplaced() {
			t.Fatal("the request does not wait for the limit")
		}
		return w
	}
	later, urgent := enqueue(3), enqueue(0)
	p.Tick(epoch.Add(600 * time.Millisecond))
	if len(urgent.Granted) != 1 || len(later.Granted) != 0 {
		t.Errorf("%d urgent and %d other requests granted, want the urgent one", len(urgent.Granted), len(later.Granted))
	}
	if wait := p.RetryAfter(later, epoch.Add(600*time.Millisecond)); wait < 300*time.Millisecond || wait > time.Second {
		t.Errorf("a caller is told to return after %s, want the time until the next request is allowed", wait)
	}
	p.Dequeue(later)
	p.Tick(epoch.Add(3 * time.Second))
	if len(later.Granted) != 0 {
		t.Error("a request that has left the queue is granted")
	}
}
