package schedule

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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

func item(id uint64, class string, priority uint8) Item {
	return Item{ID: id, Class: class, Policy: Policy{Priority: priority, Weight: 1, MaxWait: time.Minute}, Arrived: epoch}
}

func protectedItem(id uint64) Item {
	it := item(id, "protected", 1)
	it.Policy.Protected = true
	return it
}

func expect(t *testing.T, s *Scheduler, now time.Time, action Action, id uint64) {
	t.Helper()
	if d := s.Next(now); d.Action != action || d.ID != id {
		t.Fatalf("decision %+v, want action %d of %d", d, action, id)
	}
}

// Guards against a protected item that waits although an item of a lower tier could be paused, and against a paused item
// that is never resumed.
func TestProtectedPausesLowerTierThatResumes(t *testing.T) {
	s := New(Config{Slots: 1, CanPause: true})
	s.Enqueue(epoch, item(1, "bulk", 5))
	expect(t, s, epoch, ActionStart, 1)
	s.Enqueue(epoch, protectedItem(2))
	expect(t, s, epoch, ActionPause, 1)
	expect(t, s, epoch, ActionStart, 2)
	expect(t, s, epoch, ActionNone, 0)
	s.OnTokens(2, 10, epoch)
	s.OnDone(2, epoch)
	expect(t, s, epoch, ActionResume, 1)
}

// Guards against pausing a protected item, even for a protected item of a higher tier.
func TestProtectedIsNeverPaused(t *testing.T) {
	s := New(Config{Slots: 1, CanPause: true})
	low := protectedItem(1)
	low.Policy.Priority = 4
	s.Enqueue(epoch, low)
	expect(t, s, epoch, ActionStart, 1)
	s.Enqueue(epoch, protectedItem(2))
	expect(t, s, epoch, ActionNone, 0)
}

// Guards against starting an item after its caller's deadline has become unreachable.
func TestUnreachableDeadlineIsRefusedBeforeItRuns(t *testing.T) {
	s := New(Config{Slots: 1})
	s.Enqueue(epoch, item(1, "a", 1))
	expect(t, s, epoch, ActionStart, 1)
	late := item(2, "a", 1)
	late.Deadline = epoch.Add(time.Second)
	s.Enqueue(epoch, late)
	d := s.Next(epoch)
	if d.Action != ActionNone || d.Wake.IsZero() {
		t.Fatalf("got %+v, want ActionNone with a wake-up time", d)
	}
	expect(t, s, epoch.Add(2*time.Second), ActionRefuse, 2)
}

// Guards against long jobs that occupy every slot while short ones wait.
func TestLongJobsUseBoundedShare(t *testing.T) {
	s := New(Config{Slots: 4, CanPause: true, LongTokens: 100, LongShare: 0.25})
	for id := uint64(1); id <= 4; id++ {
		s.Enqueue(epoch, item(id, "a", 2))
		expect(t, s, epoch, ActionStart, id)
		s.OnTokens(id, 100+int(id), epoch)
	}
	expect(t, s, epoch, ActionNone, 0)
	s.Enqueue(epoch, item(5, "a", 2))
	expect(t, s, epoch, ActionPause, 4)
	expect(t, s, epoch, ActionStart, 5)
	s.Enqueue(epoch, item(6, "a", 2))
	s.Enqueue(epoch, item(7, "a", 2))
	for _, id := range []uint64{3, 2} {
		expect(t, s, epoch, ActionPause, id)
		if d := s.Next(epoch); d.Action != ActionStart {
			t.Fatalf("got %+v, want a start", d)
		}
	}
	s.Enqueue(epoch, item(8, "a", 2))
	expect(t, s, epoch, ActionNone, 0) // one slot is the share of long jobs
	s.OnDone(5, epoch)
	expect(t, s, epoch, ActionStart, 8)
	s.OnDone(1, epoch)
	expect(t, s, epoch, ActionResume, 4) // the first one paused
}

// Guards against starvation of the lowest tier by a permanent backlog of the highest.
func TestAgingServesLowestTier(t *testing.T) {
	s := New(Config{Slots: 1})
	low := item(1, "low", 8)
	low.Policy.MaxWait = 10 * time.Second
	s.Enqueue(epoch, low)
	now, id := epoch, uint64(2)
	for i := 0; i < 3; i++ {
		s.Enqueue(now, item(id, "high", 1))
		id++
	}
	for now.Before(epoch.Add(10 * time.Second)) {
		d := s.Next(now)
		if d.Action == ActionStart && d.ID == 1 {
			return
		}
		if d.Action == ActionNone {
			now = now.Add(time.Second)
			s.OnDone(s.running[0].ID, now)
			s.Enqueue(now, item(id, "high", 1))
			id++
		}
	}
	t.Fatal("the lowest tier was not served within its max_wait")
}

// Guards against a backlogged class whose share of the tokens differs from its weight.
func TestBackloggedSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{Slots: 8, MaxPaused: 1})
		n := rapid.IntRange(2, 5).Draw(t, "classes")
		weights := make([]int, n)
		lengths := make([]int, n)
		total := 0
		for c := range weights {
			weights[c] = rapid.IntRange(1, 8).Draw(t, "weight")
			lengths[c] = rapid.IntRange(50, 150).Draw(t, "length")
			total += weights[c]
		}
		served := make([]int, n)
		class := map[uint64]int{}
		id := uint64(0)
		add := func(c int, now time.Time) {
			id++
			class[id] = c
			it := item(id, string(rune('a'+c)), 3)
			it.Policy.Weight = uint16(weights[c])
			it.Arrived = now
			s.Enqueue(now, it)
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := epoch
		for c := range weights {
			for range 20 {
				add(c, now)
			}
		}
		all := 0
		for all < 200_000 {
			for d := s.Next(now); d.Action != ActionNone; d = s.Next(now) {
				add(class[d.ID], now)
			}
			now = now.Add(time.Second)
			j := s.running[0]
			c := class[j.ID]
			length := max(1, lengths[c]/2+rng.IntN(lengths[c]+1))
			served[c] += length
			all += length
			s.OnTokens(j.ID, length, now)
			s.OnDone(j.ID, now)
		}
		for c := range weights {
			want := float64(weights[c]) / float64(total)
			got := float64(served[c]) / float64(all)
			if got < 0.95*want || got > 1.05*want {
				t.Fatalf("class %d of weight %d/%d got share %.4f, want %.4f", c, weights[c], total, got, want)
			}
		}
	})
}

// Guards against memory and scan time that grow with every class that the table has ever contained.
func TestIdleQueuesExpire(t *testing.T) {
	s := New(Config{})
	now := epoch
	for id := uint64(1); id <= 100; id++ {
		now = now.Add(time.Hour)
		s.Enqueue(now, item(id, fmt.Sprint(id), 3))
		expect(t, s, now, ActionStart, id)
		s.OnDone(id, now)
	}
	if len(s.queues) > 2 || len(s.byKey) > 2 {
		t.Fatalf("%d queues and %d keys remain, want at most 2", len(s.queues), len(s.byKey))
	}
}

// machine is a rapid state machine: it drives a Scheduler with random items and tracks the state of the upstream.
type machine struct {
	t       *rapid.T
	s       *Scheduler
	now     time.Time
	next    uint64
	items   map[uint64]Item
	running map[uint64]bool
	started map[uint64]bool
	tokens  map[uint64]int
}

func (m *machine) enqueue() {
	m.next++
	t := m.t
	it := Item{
		ID: m.next, Arrived: m.now, PromptTokens: rapid.IntRange(0, 2000).Draw(t, "prompt"),
		Policy: Policy{
			Priority: uint8(rapid.IntRange(1, 8).Draw(t, "tier")), Weight: uint16(rapid.IntRange(1, 9).Draw(t, "weight")),
			TTFTTarget: time.Duration(rapid.IntRange(0, 3).Draw(t, "target")) * time.Second, MaxWait: 20 * time.Second,
		},
	}
	it.Policy.Protected = it.Policy.Priority <= 2
	it.Class = string(rune('a' + it.Policy.Priority))
	if rapid.IntRange(0, 9).Draw(t, "bounded") == 0 {
		it.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "deadline")) * time.Second)
	}
	m.items[it.ID] = it
	m.s.Enqueue(m.now, it)
}

func (m *machine) sampleRunning() (uint64, bool) {
	ids := slices.Sorted(maps.Keys(m.running))
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(m.t, "running"), true
}

func (m *machine) applyDecisions() {
	t := m.t
	for steps := 0; ; steps++ {
		if steps > 1000 {
			t.Fatal("no ActionNone after 1000 decisions")
		}
		d := m.s.Next(m.now)
		it := m.items[d.ID]
		switch d.Action {
		case ActionNone:
			m.checkInvariants()
			return
		case ActionStart, ActionResume:
			if (d.Action == ActionResume) != m.started[d.ID] || m.running[d.ID] {
				t.Fatalf("%d was started twice or resumed without a start", d.ID)
			}
			m.running[d.ID], m.started[d.ID] = true, true
		case ActionPause:
			if it.Policy.Protected || !m.running[d.ID] {
				t.Fatalf("paused %+v, protected or not running", it)
			}
			delete(m.running, d.ID)
		case ActionRefuse:
			if m.started[d.ID] || it.Deadline.IsZero() {
				t.Fatalf("refused %+v, which ran or has no deadline", it)
			}
			delete(m.items, d.ID)
		}
		if len(m.running) > m.s.Slots() {
			t.Fatalf("%d running in %d slots", len(m.running), m.s.Slots())
		}
	}
}

// checkInvariants fails if a protected item waits while a lower tier has pausable items, or if items wait for free slots.
func (m *machine) checkInvariants() {
	st := m.s.Stats()
	waiting := st.Queued + st.Paused
	if waiting > 0 && st.Running < st.Slots {
		m.t.Fatalf("%d wait although %d of %d slots are free", waiting, st.Slots-st.Running, st.Slots)
	}
	for id, it := range m.items {
		if m.started[id] || !it.Policy.Protected || st.Paused >= m.s.cfg.MaxPaused {
			continue
		}
		for r := range m.running {
			j := m.s.jobs[r]
			if !j.Policy.Protected && j.Policy.Priority > it.Policy.Priority && j.tokens >= j.quantumEnd {
				m.t.Fatalf("protected %+v waits behind %+v", it, j.Item)
			}
		}
	}
}

// Guards against breaking invariants 1 and 2 at a sidecar: a protected item is never paused and never waits for a pausable
// item of a lower tier, no item starts twice, slots are neither exceeded nor left unused, and every item that is not
// refused completes.
func TestSchedulerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			t: t, now: epoch, items: map[uint64]Item{}, running: map[uint64]bool{}, started: map[uint64]bool{}, tokens: map[uint64]int{},
			s: New(Config{Slots: rapid.IntRange(1, 6).Draw(t, "slots"), MaxPaused: 50, CanPause: true, LongTokens: 200}),
		}
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(*rapid.T) { m.enqueue(); m.applyDecisions() },
			"tokens": func(t *rapid.T) {
				if id, ok := m.sampleRunning(); ok {
					m.s.OnTokens(id, rapid.IntRange(1, 300).Draw(t, "n"), m.now)
					m.applyDecisions()
				}
			},
			"done": func(*rapid.T) {
				if id, ok := m.sampleRunning(); ok {
					m.complete(id)
				}
			},
			"remove": func(t *rapid.T) {
				if len(m.items) > 0 {
					id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.items))).Draw(t, "id")
					m.s.Remove(id)
					delete(m.items, id)
					delete(m.running, id)
					m.applyDecisions()
				}
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				m.applyDecisions()
			},
		})
		for range 10_000 {
			id, ok := m.sampleRunning()
			if !ok {
				break
			}
			m.complete(id)
		}
		if len(m.items) > 0 || len(m.s.jobs) > 0 {
			t.Fatalf("%d items never completed", len(m.items))
		}
	})
}

func (m *machine) complete(id uint64) {
	m.s.OnTokens(id, 10, m.now)
	m.s.OnDone(id, m.now)
	delete(m.items, id)
	delete(m.running, id)
	m.applyDecisions()
}

// Guards against a limit that misses the token targets of the rows, or that leaves the engine underused.
func TestConcurrencyConvergesToCapacity(t *testing.T) {
	// The token interval is 20 ms plus 2 ms per stream, so 16 streams meet the target of 52 ms.
	c := NewConcurrencyLimiter(4, 1, 64)
	now := epoch
	for range 120 {
		n := c.Limit()
		now = now.Add(time.Second)
		c.Observe(now, 10*n, 20*time.Millisecond+time.Duration(2*n)*time.Millisecond, 52*time.Millisecond, true)
	}
	if n := c.Limit(); n < 12 || n > 17 {
		t.Fatalf("limit %d, want 12 to 17", n)
	}
}
