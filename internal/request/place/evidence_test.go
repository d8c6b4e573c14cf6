package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

// Guards against each entry of a large fleet finding out by itself, with a request of a caller, that a replica has crashed or
// that another one has its address: a replica without load is chosen first.
func TestEvidenceOfAnotherEntryCounts(t *testing.T) {
	const crashed, replaced, sound = place.Key(1), place.Key(2), place.Key(3)
	h := place.NewHealth()
	usable := func(k place.Key, after time.Duration) bool { return h.Usable("lm", k, true, epoch.Add(after)) }
	if !h.Apply(place.Evidence{Replica: crashed}, epoch) || !h.Apply(place.Evidence{Replica: replaced, Gone: true}, epoch) {
		t.Error("new evidence is not shared")
	}
	if h.Apply(place.Evidence{Replica: crashed}, epoch.Add(10*time.Millisecond)) {
		t.Error("evidence that is already known is shared again")
	}
	for _, c := range []struct {
		replica place.Key
		after   time.Duration
		want    bool
	}{
		{crashed, 200 * time.Millisecond, false}, {crashed, 300 * time.Millisecond, true},
		{replaced, 4 * time.Second, false}, {replaced, 6 * time.Second, true}, {sound, 0, true},
	} {
		if got := usable(c.replica, c.after); got != c.want {
			t.Errorf("replica %d is usable %s after the evidence: %t, want %t", c.replica, c.after, got, c.want)
		}
	}
	// A replica that still refuses connections gets no work for longer and longer.
	h.Apply(place.Evidence{Replica: crashed}, epoch.Add(time.Second))
	if usable(crashed, 1400*time.Millisecond) {
		t.Error("a replica that refuses connections again is used again after the shortest time")
	}
	h.RecordOutcome("lm", crashed, false, epoch.Add(2*time.Second))
	h.Apply(place.Evidence{Replica: crashed}, epoch.Add(10*time.Second))
	if !usable(crashed, 10*time.Second+300*time.Millisecond) {
		t.Error("a replica that has served since its last failure is treated as one that fails repeatedly")
	}
}

// Guards against a replica whose process is down while its machine resets connections: each entry of a fleet would send it several requests
// that must not run twice before its own outcomes eject it.
func TestResetsAtSeveralEntriesStopWork(t *testing.T) {
	const down = place.Key(1)
	h := place.NewHealth()
	usable := func(after time.Duration) bool { return h.Usable("orders", down, false, epoch.Add(after)) }
	for n := range 3 {
		if !usable(time.Duration(n) * 40 * time.Millisecond) {
			t.Fatalf("the replica gets no work after %d resets", n)
		}
		if !h.Apply(place.Evidence{Replica: down, Reset: true}, epoch.Add(time.Duration(n)*40*time.Millisecond)) {
			t.Error("a reset is not shared")
		}
	}
	if usable(90 * time.Millisecond) {
		t.Error("the replica gets work after three resets within 80 ms")
	}
	if !usable(400 * time.Millisecond) {
		t.Error("the replica gets no work after its backoff")
	}
	h.Apply(place.Evidence{Replica: down, Reset: true}, epoch.Add(400*time.Millisecond))
	if usable(700 * time.Millisecond) {
		t.Error("one reset right after the backoff does not stop work for longer")
	}
	h.RecordOutcome("orders", down, false, epoch.Add(time.Second))
	h.Apply(place.Evidence{Replica: down, Reset: true}, epoch.Add(1100*time.Millisecond))
	if !usable(1200 * time.Millisecond) {
		t.Error("one reset after a success stops work")
	}
}

// Guards against a replica that loses single responses, or drops idle connections now and then, and loses its work for that.
func TestSingleResetsDoNotStopWork(t *testing.T) {
	const lossy = place.Key(1)
	h := place.NewHealth()
	for n := range 50 {
		at := epoch.Add(time.Duration(n) * 200 * time.Millisecond)
		h.Apply(place.Evidence{Replica: lossy, Reset: true}, at)
		if !h.Usable("orders", lossy, false, at.Add(time.Millisecond)) {
			t.Fatalf("the replica gets no work after %d resets, five a second", n+1)
		}
	}
}

// Guards against a backoff that starts anew each time, because the record of a replica without responses is deleted at the end
// of its backoff.
func TestBackoffOutlivesPeriodicWork(t *testing.T) {
	const crashed = place.Key(1)
	h := place.NewHealth()
	h.RecordUnreachable(crashed, epoch)
	h.Expire(epoch.Add(300 * time.Millisecond))
	h.RecordUnreachable(crashed, epoch.Add(400*time.Millisecond))
	if h.Usable("lm", crashed, true, epoch.Add(800*time.Millisecond)) {
		t.Error("the second backoff is as short as the first one")
	}
}

// Guards against many entries that decide by the same reports and all choose the replica with the least load in them: until
// the next report it gets the work of all of them.
func TestManyEntriesDoNotChooseTheSameReplica(t *testing.T) {
	const entries = 100
	short := &place.Job{
		Service: "lm", Route: "short", Tokens: 700, Target: 300 * time.Millisecond, Arrived: epoch,
		Parts: []place.Part{{ID: "a", Tokens: 200}, {ID: "own", Tokens: 500}},
	}
	newEntry := func(seed uint64, loads map[place.Key]place.Load) *place.Placer {
		p := newPlacerWithSeed(t, 180, seed)
		for n := range entries - 1 {
			p.Loads.Report(fmt.Sprint(n), nil, epoch)
		}
		p.Loads.Report("0", loads, epoch)
		mustPlace(t, p, prompt("subject")) // makes the other route a short one
		return p
	}
	idle := mustPlace(t, newEntry(1, nil), short)
	loads := map[place.Key]place.Load{}
	for _, r := range view(180).Service("lm") {
		if k := place.KeyOf(r.ID); k != idle.Key {
			loads[k] = place.Load{Running: 5}
		}
	}
	chosen := 0
	for seed := range uint64(entries) {
		if mustPlace(t, newEntry(seed, loads), short).Key == idle.Key {
			chosen++
		}
	}
	if chosen == 0 || chosen > entries/4 {
		t.Errorf("%d of %d entries chose the idle replica, want some but at most %d", chosen, entries, entries/4)
	}
}
