package edge

import (
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// Guards against an edge that says it is ready before its placement knows the replicas: it would refuse the first requests.
func TestReadyOnlyOnceReplicasCanBeChosen(t *testing.T) {
	var set settings.Placement
	settings.ApplyDefaults(&set)
	e := &Edge{registry: replicas.NewRegistry(), placer: place.New("z", set, 1)}
	e.routes.Offer((&routes.Version{Number: 1, Services: map[string]routes.Service{"s": {Name: "s"}}}).Compile())
	e.updatePlacer()
	if e.Ready() {
		t.Error("ready with a configuration and no list of replicas")
	}
	e.registry.Replace([]replicas.Change{{ID: "r", Revision: 1, Replica: &replicas.Replica{ID: "r", Service: "s", Address: "127.0.0.1:1"}}}, time.Now())
	if e.Ready() {
		t.Error("ready with a list of replicas that the placement does not know")
	}
	e.updatePlacer()
	if !e.Ready() {
		t.Error("not ready with a configuration and a list of replicas")
	}
	if _, ok := e.placer.Enqueue(&place.Job{Service: "s", Arrived: time.Now(), Target: time.Second}, time.Now()); !ok {
		t.Error("no replica can be chosen by an edge that is ready")
	}
}
