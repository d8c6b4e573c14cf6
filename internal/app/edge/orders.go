package edge

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/duty"
	"github.com/dragonflypin/dragonflypin/internal/process/scale"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

const (
	// planInterval is the time between two plans of the replicas of all services.
	planInterval = 500 * time.Millisecond
	// orderRetry is the time after which an order without a confirmation is sent again.
	orderRetry = time.Second
)

// replicaOrders orders replicas of the services whose configuration asks for it, while this edge holds the duties. It implements
// duty.Orders.
type replicaOrders struct {
	// configuration returns the version in force, and loads the load of a service by availability zone.
	configuration func() *routes.Version
	loads         func(service string, now time.Time) []place.ZoneLoad

	planner  scale.Planner
	planned  time.Time
	pending  []scale.Order
	attempts map[scale.Order]time.Time
}

var _ duty.Orders = (*replicaOrders)(nil)

func (e *Edge) newReplicaOrders() *replicaOrders {
	return &replicaOrders{configuration: e.routes.Current, loads: e.placer.ZoneLoads}
}

// Begin implements duty.Orders.
func (o *replicaOrders) Begin() {
	o.planner, o.pending, o.planned, o.attempts = scale.Planner{}, nil, time.Time{}, map[scale.Order]time.Time{}
}

// Next implements duty.Orders.
func (o *replicaOrders) Next(now time.Time) (duty.Order, bool) {
	if now.Sub(o.planned) >= planInterval {
		o.planned = now
		o.plan(now)
	}
	for _, order := range o.pending {
		if sent, ok := o.attempts[order]; !ok || now.Sub(sent) >= orderRetry {
			return duty.Order(order), true
		}
	}
	return duty.Order{}, false
}

// plan collects the orders that are due for all services.
func (o *replicaOrders) plan(now time.Time) {
	o.pending = nil
	v := o.configuration()
	if v == nil {
		return
	}
	for name, service := range v.Services {
		if service.Scaling == nil {
			continue
		}
		observed := scale.Observation{
			Service: scale.Service{Name: name, Min: service.Scaling.Min, Max: service.Scaling.Max, Boot: service.Scaling.Boot},
			Target:  tightestTarget(v, name),
		}
		// The load tracker measures its ages on the monotonic clock, and the lease's clock is another one.
		for _, z := range o.loads(name, time.Now()) {
			observed.Service.Slots = max(observed.Service.Slots, z.Slots)
			observed.Zones = append(observed.Zones, scale.Zone{Name: z.Zone, Ready: z.Replicas, Running: z.Running, Backlog: z.Backlog})
		}
		o.pending = append(o.pending, o.planner.Plan(now, observed)...)
	}
	for order, sent := range o.attempts {
		if now.Sub(sent) >= orderRetry {
			delete(o.attempts, order)
		}
	}
}

// tightestTarget returns the tightest latency target among the routes to the service; 0 without one.
func tightestTarget(v *routes.Version, service string) time.Duration {
	tightest := time.Duration(0)
	for i := range v.Routes {
		for _, t := range v.Routes[i].Targets {
			if target := v.Routes[i].LatencyTarget; t.Service == service && target > 0 && (tightest == 0 || target < tightest) {
				tightest = target
			}
		}
	}
	return tightest
}

// Sent implements duty.Orders.
func (o *replicaOrders) Sent(order duty.Order, err error, now time.Time) {
	sent := scale.Order(order)
	o.attempts[sent] = now
	if err != nil {
		return
	}
	o.planner.Confirm(sent)
	for i, p := range o.pending {
		if p == sent {
			o.pending = append(o.pending[:i], o.pending[i+1:]...)
			return
		}
	}
}
