// Package scale decides how many replicas a service should have in each availability zone. It is pure code: the caller passes in the
// time and what it observes, and sends the orders.
package scale

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the planner.
const (
	// targetUse is the share of its capacity at which a replica still starts what arrives at once. The rest absorbs variation
	// within the time that a new replica needs to start.
	targetUse = 0.6
	// maxTrendFactor bounds the demand that is expected after the start of a new replica, in multiples of the current one, so that a
	// burst of a second does not order a fleet.
	maxTrendFactor = 2
	// minHold is the shortest time for which a peak of the demand is remembered. Demand that comes in waves of some ten seconds would
	// otherwise be followed down and up, at the cost of a start each time.
	minHold = time.Minute
	// holdBoots is the same in multiples of the time that a replica needs to start.
	holdBoots = 3
	// shrinkInterval is the time between two reductions of a service by one replica.
	shrinkInterval = 10 * time.Second
	// overdueBoots is the number of start times after which an ordered replica that has not come is taken as failed.
	overdueBoots = 3
)

// Service describes a service whose replicas are ordered.
type Service struct {
	Name string
	// Min and Max bound the replicas in each zone.
	Min, Max int
	// Boot is the time from an order until a new replica serves.
	Boot time.Duration
	// Slots is the number of requests that a replica runs at once.
	Slots int
}

// Zone is what is observed of a service in an availability zone.
type Zone struct {
	Name string
	// Ready is the number of replicas that get new requests.
	Ready int
	// Running is the number of requests that run there, and Waiting those that wait for capacity there.
	Running, Waiting int
	// Backlog is the time that the zone's replicas together need to prefill the prompts that were sent or wait, at the observed pace.
	Backlog time.Duration
}

// Observation is what is observed of a service at one moment.
type Observation struct {
	Service Service
	// Target is the tightest time to the first event or response among the service's routes.
	Target time.Duration
	Zones  []Zone
}

// Order asks for a number of replicas in a zone.
type Order struct {
	Service, Zone string
	Replicas      int
}

// Planner derives orders from observations. The zero value is ready to use. It is not safe for concurrent use.
type Planner struct {
	services map[string]*serviceState
}

// serviceState is what the planner remembers of a service.
type serviceState struct {
	// since is the time of the first observation.
	since   time.Time
	demand  demandHistory
	zones   map[string]*zoneState
	lowered time.Time
}

// zoneState is what the planner remembers of a zone.
type zoneState struct {
	// ordered is the number in force, or the one that was ordered last.
	ordered int
	// raised is when the number was last raised.
	raised time.Time
	// confirmed is set once the platform has accepted the order.
	confirmed bool
}

// Plan returns the orders for a service: those that change a number, and those whose outcome is unknown (see Confirm).
func (p *Planner) Plan(now time.Time, o Observation) []Order {
	if len(o.Zones) == 0 || o.Service.Max <= 0 || o.Service.Slots <= 0 {
		return nil
	}
	if p.services == nil {
		p.services = map[string]*serviceState{}
	}
	s := p.services[o.Service.Name]
	if s == nil {
		s = &serviceState{since: now, zones: map[string]*zoneState{}}
		p.services[o.Service.Name] = s
	}
	s.demand.record(now, replicasNeeded(&o), hold(&o.Service))
	zones := slices.SortedFunc(slices.Values(o.Zones), func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	s.follow(now, &o.Service, zones, int(math.Ceil(s.demand.expected(now, o.Service.Boot))))
	var orders []Order
	for _, zone := range zones {
		if z := s.zones[zone.Name]; !z.confirmed {
			orders = append(orders, Order{o.Service.Name, zone.Name, z.ordered})
		}
	}
	return orders
}

// Confirm records that the platform has accepted an order. Until then Plan returns it again.
func (p *Planner) Confirm(order Order) {
	if s := p.services[order.Service]; s != nil {
		if z := s.zones[order.Zone]; z != nil && z.ordered == order.Replicas {
			z.confirmed = true
		}
	}
}

// follow moves the ordered numbers towards the needed sum: up at once, down one replica at a time. Zones that already have enough
// together keep their division, because requests can go to other zones and each move costs a start.
func (s *serviceState) follow(now time.Time, service *Service, zones []Zone, needed int) {
	total := 0
	for _, zone := range zones {
		if s.zones[zone.Name] == nil {
			// The number in force can't be read back. The replicas that are ready stand for it.
			s.zones[zone.Name] = &zoneState{ordered: zone.Ready, confirmed: true}
		}
		z := s.zones[zone.Name]
		if bounded := min(service.Max, max(service.Min, z.ordered)); bounded != z.ordered {
			z.ordered, z.confirmed = bounded, false
		}
		total += s.expectedReady(zone, service, now)
	}
	for ; total < needed; total++ {
		zone, ok := mostWork(zones, func(zone Zone) (int, bool) {
			z := s.zones[zone.Name]
			return z.ordered, z.ordered < service.Max && !z.overdue(zone, service, now)
		})
		if !ok {
			return
		}
		z := s.zones[zone.Name]
		z.ordered, z.raised, z.confirmed = z.ordered+1, now, false
	}
	if total > needed && now.Sub(s.since) >= hold(service) && now.Sub(s.lowered) >= shrinkInterval {
		if zone, ok := leastWork(zones, func(zone Zone) (int, bool) {
			z := s.zones[zone.Name]
			return z.ordered, z.ordered > service.Min && now.Sub(z.raised) >= hold(service)
		}); ok {
			z := s.zones[zone.Name]
			z.ordered, s.lowered, z.confirmed = z.ordered-1, now, false
		}
	}
}

// expectedReady returns the replicas that a zone has or soon will have.
func (s *serviceState) expectedReady(zone Zone, service *Service, now time.Time) int {
	z := s.zones[zone.Name]
	if z.overdue(zone, service, now) {
		return zone.Ready
	}
	return z.ordered
}

// overdue reports whether ordered replicas should have come long ago: the zone was lost, or starts fail there. The other zones make up for
// it, and the order stays in force for the case that the zone returns.
func (z *zoneState) overdue(zone Zone, service *Service, now time.Time) bool {
	return z.ordered > zone.Ready && now.Sub(z.raised) >= overdueBoots*service.Boot
}

// mostWork returns the zone with the most work for each replica, counting one more, among those that the function accepts. It returns the
// replicas that a zone will have.
func mostWork(zones []Zone, replicas func(Zone) (int, bool)) (best Zone, found bool) {
	most := 0.0
	for _, zone := range zones {
		if n, ok := replicas(zone); ok {
			if work := workPerReplica(zone, n+1); !found || work > most {
				best, most, found = zone, work, true
			}
		}
	}
	return best, found
}

// leastWork returns the zone with the least work for each replica if it had one fewer.
func leastWork(zones []Zone, replicas func(Zone) (int, bool)) (best Zone, found bool) {
	least := 0.0
	for _, zone := range zones {
		if n, ok := replicas(zone); ok {
			if work := workPerReplica(zone, n-1); !found || work < least {
				best, least, found = zone, work, true
			}
		}
	}
	return best, found
}

// workPerReplica is the work that each of a zone's replicas would get. The one request more spreads replicas over zones without work.
func workPerReplica(z Zone, replicas int) float64 {
	return float64(z.Running+z.Waiting+1) / float64(max(1, replicas))
}

// hold returns how long a peak is remembered.
func hold(s *Service) time.Duration { return max(minHold, holdBoots*s.Boot) }

// replicasNeeded returns the replicas that the work of this moment needs, at any number in place.
func replicasNeeded(o *Observation) float64 {
	requests, backlog := 0, time.Duration(0)
	for _, z := range o.Zones {
		requests += z.Running + z.Waiting
		backlog += z.Backlog
	}
	needed := float64(requests) / float64(o.Service.Slots)
	if o.Target > 0 {
		// A prompt that arrives finds this backlog ahead of it. It must be over within half of the target: the other half is for the
		// prompt itself.
		needed = max(needed, backlog.Seconds()/(o.Target.Seconds()/2))
	}
	return needed / targetUse
}

// demandHistory has the demand of the recent past.
type demandHistory struct {
	samples []demandSample
}

type demandSample struct {
	at       time.Time
	replicas float64
}

// sampleInterval bounds the number of samples. The largest demand of an interval stands for it.
const sampleInterval = 500 * time.Millisecond

// record adds the demand of now and drops what is older than the time.
func (h *demandHistory) record(now time.Time, replicas float64, keep time.Duration) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < sampleInterval {
		h.samples[n-1].replicas = max(h.samples[n-1].replicas, replicas)
	} else {
		h.samples = append(h.samples, demandSample{now, replicas})
	}
	old := 0
	for old < len(h.samples) && now.Sub(h.samples[old].at) > keep {
		old++
	}
	h.samples = slices.Delete(h.samples, 0, old)
}

// expected returns the demand to provide for: the largest remembered one, or what the current trend leads to by the time at which a new
// replica would serve.
func (h *demandHistory) expected(now time.Time, boot time.Duration) float64 {
	n := len(h.samples)
	current := h.samples[n-1].replicas
	peak, before := current, h.samples[n-1]
	for _, s := range h.samples {
		peak = max(peak, s.replicas)
	}
	for i := n - 1; i >= 0 && now.Sub(h.samples[i].at) <= max(boot, 2*sampleInterval); i-- {
		before = h.samples[i]
	}
	trend := current
	if span := now.Sub(before.at); span >= 2*sampleInterval && current > before.replicas {
		trend = min(maxTrendFactor*current, current+(current-before.replicas)*boot.Seconds()/span.Seconds())
	}
	return max(peak, trend)
}
