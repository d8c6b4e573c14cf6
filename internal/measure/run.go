// Package measure runs the production decision code against simulated engines in virtual time. It reports how well the
// targets of docs/design.md, section 5, are met, compared with simpler policies and an upper bound.
//
// A run is deterministic for its seed. Measure, AttainmentAt and RunVariation must be called inside a testing/synctest
// bubble.
package measure

import (
	"slices"
	"time"
)

// Policy names of the report.
const (
	FIFORoundRobin   = "fifo_round_robin"
	LeastOutstanding = "least_outstanding"
	PriorityOnly     = "priority_only"
	Dragonflypin     = "dragonflypin"
	// EarlyBinding is Dragonflypin with requests queued at one sidecar instead of at the entry.
	EarlyBinding = "dragonflypin_early"
	Oracle       = "oracle"
)

// Policies lists the policies in the order of the report.
func Policies() []string {
	return []string{FIFORoundRobin, LeastOutstanding, PriorityOnly, Dragonflypin, EarlyBinding, Oracle}
}

// Scenarios lists the scenario names in the order of the report.
func Scenarios() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

func newPolicy(sim *simulation, name string) policy {
	switch name {
	case FIFORoundRobin:
		return newBaseline(sim, false, false)
	case LeastOutstanding:
		return newBaseline(sim, true, false)
	case PriorityOnly:
		return newBaseline(sim, true, true)
	case EarlyBinding:
		return newProduction(sim, earlyBinding)
	case Oracle:
		return newOracle(sim)
	default:
		return newProduction(sim, lateBinding)
	}
}

// run simulates one scenario under one policy, until every request has an outcome.
func run(s scenario, policyName string, seed uint64) *simulation {
	sim := &simulation{start: time.Now(), scenario: &s, classes: s.rows()}
	for service, n := range serviceEngines {
		for i := range n {
			sim.engines = append(sim.engines, &engine{sim: sim, id: len(sim.engines), service: service, zone: i % len(zones), slowFactor: 1, lastAdvance: sim.start})
		}
	}
	sim.requests = s.generate(sim.classes, seed)
	sim.pending = len(sim.requests)
	p := newPolicy(sim, policyName)
	for _, e := range sim.engines {
		e.client = p
	}
	sim.scheduleFaults()
	sim.scheduleArrivals(p)
	sim.loop()
	return sim
}

func (sim *simulation) scheduleArrivals(p policy) {
	for _, r := range sim.requests {
		sim.after(sim.start, r.arrived, func(now time.Time) {
			p.arrive(now, r)
			if r.outcome != outcomeNone {
				return
			}
			sim.after(now, sim.classes[r.class].Timeout, func(now time.Time) {
				if r.outcome == outcomeNone {
					p.expire(now, r)
				}
			})
		})
	}
}

func (sim *simulation) scheduleFaults() {
	s := sim.scenario
	for _, e := range sim.engines {
		for _, f := range s.slow {
			if f.affects(e.id) {
				sim.after(sim.start, s.warmUp()+f.from, func(now time.Time) { e.setSlow(now, s.slowFactor) })
				sim.after(sim.start, s.warmUp()+f.to, func(now time.Time) { e.setSlow(now, 1) })
			}
		}
		for _, f := range s.crashes {
			if f.affects(e.id) {
				sim.after(sim.start, s.warmUp()+f.from, e.crash)
				sim.after(sim.start, s.warmUp()+f.to, e.restart)
			}
		}
	}
}

// capacityOf is the token rate of a service, in tokens/s, with all slots in use.
func capacityOf(service int) float64 {
	return float64(serviceEngines[service]*engineSlots) / fullInterval.Seconds()
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(p*float64(len(values))))]
}
