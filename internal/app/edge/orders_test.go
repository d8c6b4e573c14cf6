package edge

import (
	"errors"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/duty"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// Guards against orders for services that don't ask for them, orders that are given up after a failure or repeated after they were accepted,
// and a new holder that repeats the orders of an earlier term.
func TestReplicaOrders(t *testing.T) {
	v := (&routes.Version{
		Services: map[string]routes.Service{
			"scaled": {Name: "scaled", Scaling: &routes.Scaling{Min: 1, Max: 8, Boot: 4 * time.Second}}, "fixed": {Name: "fixed"},
		},
		Routes: []routes.Route{{Name: "r", Host: "h", Prefix: "/", LatencyTarget: time.Second, Targets: []routes.Target{{Service: "scaled", Weight: 1}}}},
	}).Compile()
	running := 30
	o := &replicaOrders{
		configuration: func() *routes.Version { return v },
		loads: func(string, time.Time) []place.ZoneLoad {
			return []place.ZoneLoad{{Zone: "a", Replicas: 2, Slots: 10, Running: running}}
		},
	}
	now := time.Unix(1000, 0)
	o.Begin()
	want := duty.Order{Service: "scaled", Zone: "a", Replicas: 5}
	if got, ok := o.Next(now); !ok || got != want {
		t.Fatalf("order %+v %t, want %+v", got, ok, want)
	}
	o.Sent(want, errors.New("timeout"), now)
	if got, ok := o.Next(now.Add(orderRetry / 2)); ok {
		t.Errorf("order %+v is repeated at once", got)
	}
	now = now.Add(2 * orderRetry)
	if got, ok := o.Next(now); !ok || got != want {
		t.Errorf("order %+v %t after a failure, want %+v", got, ok, want)
	}
	o.Sent(want, nil, now)
	for range 20 {
		now = now.Add(planInterval)
		if got, ok := o.Next(now); ok {
			t.Errorf("order %+v follows the accepted one without a change of the load", got)
		}
	}
	o.Begin()
	running = 10
	if got, ok := o.Next(now.Add(planInterval)); ok {
		t.Errorf("a new holder orders %+v although the replicas suffice", got)
	}
}
