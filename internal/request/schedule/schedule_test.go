package schedule

import (
	"flag"
	"math/rand/v2"
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

// Guards against protected work waiting behind lower-tier work that can be paused, and against losing the paused work.
func TestProtectedPausesLowerTierAndItResumes(t *testing.T) {
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

// Guards against pausing protected work for any other work.
func TestProtectedIsNeverPaused(t *testing.T) {
	s := New(Config{Slots: 1, CanPause: true})
	low := protectedItem(1)
	low.Policy.Priority = 4
	s.Enqueue(epoch, low)
	expect(t, s, epoch, ActionStart, 1)
	s.Enqueue(epoch, protectedItem(2))
	expect(t, s, epoch, ActionNone, 0)
}

// Guards against running work whose caller can no longer use the result.
func TestUnreachableDeadlineIsRefusedBeforeItRuns(t *testing.T) {
	s := New(Config{Slots: 1})
	s.Enqueue(epoch, item(1, "a", 1))
	expect(t, s, epoch, ActionStart, 1)
	late := item(2, "a", 1)
	late.Deadline = epoch.Add(time.Second)
	s.Enqueue(epoch, late)
	d := s.Next(epoch)
	if d.Action != ActionNone || d.Wake.IsZero() {
		t.Fatalf("got %+v, want to be called again at the deadline", d)
	}
	expect(t, s, epoch.Add(2*time.Second), ActionRefuse, 2)
}

// Guards against long jobs that hold every slot while short work waits.
func TestLongJobsHoldABoundedShare(t *testing.T) {
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
	expect(t, s, epoch, ActionNone, 0) // the last long job keeps its share
	s.OnDone(5, epoch)
	expect(t, s, epoch, ActionStart, 8)
	s.OnDone(1, epoch)
	expect(t, s, epoch, ActionResume, 4) // paused first
}

// Guards against starvation of the lowest tier under a permanent backlog of the highest.
func TestFloorServesLowestTier(t *testing.T) {
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

// Guards against a class of a backlogged tier that receives more or less than its weight.
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
