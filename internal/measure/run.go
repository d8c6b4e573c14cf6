// Package measure runs the production decision code against fake engines in virtual time and reports how well the
// outcomes of the design page's section 5 are met, next to simpler policies and an upper bound.
//
// A run is deterministic for its seed. It must be called inside a testing/synctest bubble.
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
	// EarlyBinding is dragonflypin with requests that wait at one sidecar instead of at the entry.
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

func newPolicy(w *world, name string) policy {
	switch name {
	case FIFORoundRobin:
		return newBaseline(w, false, false)
	case LeastOutstanding:
		return newBaseline(w, true, false)
	case PriorityOnly:
		return newBaseline(w, true, true)
	case EarlyBinding:
		return newProduction(w, earlyBinding)
	case Oracle:
		return newOracle(w)
	default:
		return newProduction(w, lateBinding)
	}
}

// run simulates one scenario under one policy and returns the world with the ended requests.
func run(s scenario, policyName string, seed uint64) *world {
	w := &world{start: time.Now(), scenario: &s, classes: s.rows()}
	for service, n := range serviceEngines {
		for i := range n {
			w.engines = append(w.engines, &engine{w: w, id: len(w.engines), service: service, zone: i % len(zones), slow: 1, last: w.start})
		}
	}
	w.requests = s.generate(w.classes, seed)
	w.open = len(w.requests)
	p := newPolicy(w, policyName)
	for _, e := range w.engines {
		e.client = p
	}
	w.scheduleFaults()
	w.scheduleArrivals(p)
	w.loop()
	return w
}

func (w *world) scheduleArrivals(p policy) {
	for _, r := range w.requests {
		w.after(w.start, r.arrived, func(now time.Time) {
			p.arrive(now, r)
			if r.end != endNone {
				return
			}
			w.after(now, w.classes[r.class].Timeout, func(now time.Time) {
				if r.end == endNone {
					p.expire(now, r)
				}
			})
		})
	}
}

func (w *world) scheduleFaults() {
	s := w.scenario
	for _, e := range w.engines {
		for _, f := range s.slow {
			if f.affects(e.id) {
				w.after(w.start, s.lead()+f.from, func(now time.Time) { e.setSlow(now, s.slowFactor) })
				w.after(w.start, s.lead()+f.to, func(now time.Time) { e.setSlow(now, 1) })
			}
		}
		for _, f := range s.lost {
			if f.affects(e.id) {
				w.after(w.start, s.lead()+f.from, e.crash)
				w.after(w.start, s.lead()+f.to, e.restart)
			}
		}
	}
}

// capacityOf is the nominal token rate of a service.
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
