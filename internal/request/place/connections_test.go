package place_test

import (
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

// Guards against a connection that is opened although an equally good replica has an idle one, and against an idle connection that outweighs
// load. This answers many edges, each of which reaches a replica seldom.
func TestReplicasWithAnIdleConnectionArePreferred(t *testing.T) {
	const connected = "replica-0003"
	order := func(arrived time.Time) *place.Job {
		return &place.Job{Service: "lm", Route: "order", Target: 300 * time.Millisecond, Arrived: arrived}
	}
	cfg := settings.Edge{Placement: settings.Placement{ConnectionCost: settings.Duration(10 * time.Millisecond)}}
	settings.ApplyDefaults(&cfg)
	p := place.New("z", cfg.Placement, 1)
	p.Update(view(8), []string{"lm"})
	for n := range 20 {
		p.Connected = func(address string) bool { return address == connected }
		w, ok := p.Enqueue(order(epoch), epoch)
		if !ok {
			t.Fatal("no replica")
		}
		choice := <-w.Granted
		if choice.Replica.ID != connected {
			t.Fatalf("request %d goes to %s, which has no connection", n, choice.ReplicaID())
		}
		p.Ended(choice, false, epoch)
	}
	p.Loads.Add(place.KeyOf(connected), place.Load{Running: 40})
	w, _ := p.Enqueue(order(epoch), epoch)
	if choice := <-w.Granted; choice.Replica.ID == connected {
		t.Error("40 running requests are outweighed by an idle connection")
	}
}
