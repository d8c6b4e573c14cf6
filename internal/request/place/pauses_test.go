package place_test

import (
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

// Guards against jobs that wait for a replica and are sent there in its pause, and against jobs that wait although others are free.
func TestWaitingJobsLeaveAPausedReplica(t *testing.T) {
	p, now := newPlacer(t, 2), epoch
	waiters := map[place.Key][]*place.Waiter{}
	var waiting *place.Waiter
	for n := 0; waiting == nil && n < 200; n++ {
		w, ok := p.Enqueue(prompt("shared"), now)
		if !ok {
			t.Fatal("no replica")
		}
		select {
		case c := <-w.Granted:
			waiters[c.Key] = append(waiters[c.Key], w)
		default:
			waiting = w
		}
	}
	if waiting == nil {
		t.Fatal("no job waits")
	}
	paused := p.PendingChoice(waiting, now)
	p.Pauses.Apply(paused.Replica, time.Second, now)
	for range waiters[paused.Key] {
		p.Ended(paused, false, now)
	}
	select {
	case c := <-waiting.Granted:
		if c.Key == paused.Key {
			t.Error("the job was sent to the replica that pauses")
		}
	default:
	}
	now = now.Add(100 * time.Millisecond)
	p.Tick(now)
	if c := p.PendingChoice(waiting, now); c.Key == paused.Key {
		t.Error("the job still waits for the replica that pauses")
	}
}

// Guards against a pause that outlives the start of the replica which asked for it, or that a later refusal shortens.
func TestPauseIsThatOfOneStart(t *testing.T) {
	p, now := place.NewPauses(), epoch
	first := &replicas.Replica{ID: "a", StartUnixMs: 1}
	if !p.Apply(first, 2*time.Second, now) || p.Apply(first, time.Second, now) || p.Active() != 1 {
		t.Error("the longest pause counts")
	}
	if second := (&replicas.Replica{ID: "a", StartUnixMs: 2}); !p.Apply(second, time.Second, now) {
		t.Error("the pause of another start counts")
	}
	p.Expire(now.Add(time.Second))
	if p.Active() != 0 {
		t.Error("a pause is kept beyond its end")
	}
	p.Apply(first, 24*time.Hour, now)
	p.Expire(now.Add(place.MaxPause))
	if p.Active() != 0 {
		t.Error("a pause has no bound")
	}
}

// Guards against a pause that is forgotten because the list tells the replica's start only later.
func TestPauseHoldsForAnUnknownStart(t *testing.T) {
	p, now := place.NewPauses(), epoch
	p.Apply(&replicas.Replica{ID: "a"}, 2*time.Second, now)
	if p.Apply(&replicas.Replica{ID: "a", StartUnixMs: 3}, time.Second, now) {
		t.Error("a shorter pause of the same start counts")
	}
}
