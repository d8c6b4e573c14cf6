package scale

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

var report = flag.String("report", "", "write the cost and attainment of replica orders to this file (see scripts/measure --scaling)")

// loads are the requests that run at once, by the time since the start. Each answers a load of docs/design/duties.md.
var loads = map[string]func(time.Duration) int{
	"peak": func(at time.Duration) int { return 20 + max(0, 100-int((at-60*time.Second).Abs().Seconds())*5) },
	"waves": func(at time.Duration) int {
		if int(at.Seconds())/8%2 == 0 {
			return 90
		}
		return 15
	},
	"drop": func(at time.Duration) int {
		if at < 60*time.Second {
			return 150
		}
		return 10
	},
	"zone_lost": func(time.Duration) int { return 70 },
}

// measure plays a load for five minutes and returns the share of the requests that found a slot, and the replicas that were ready on average.
func measure(load func(time.Duration) int, perZone int, orders, lose bool) (attainment, replicas float64) {
	f := newFleet(perZone)
	if !orders {
		f.service.Max = 0 // the planner orders nothing
	}
	served, asked, ready := 0, 0, 0
	steps := int(5 * time.Minute / tick)
	for n := range steps {
		at := time.Duration(n) * tick
		if lose && at == 30*time.Second {
			f.lost["b"], f.ready["b"] = true, 0
		}
		requests := load(at)
		f.step(requests)
		asked += requests
		served += min(requests, f.capacity())
		ready += f.capacity() / f.service.Slots
	}
	return float64(served) / float64(asked), float64(ready) / float64(steps)
}

// Writes the report if its flag is set, and guards against orders that serve less than the fixed number of replicas with which a load starts.
func TestOrdersServeMoreThanAFixedNumber(t *testing.T) {
	var lines strings.Builder
	for name, load := range loads {
		lose := name == "zone_lost"
		attained := map[string]float64{}
		for policy, p := range map[string]struct {
			perZone int
			orders  bool
		}{"orders": {3, true}, "fixed_3": {3, false}, "fixed_12": {12, false}} {
			attainment, replicas := measure(load, p.perZone, p.orders, lose)
			attained[policy] = attainment
			fmt.Fprintf(&lines, "%s\t%s\tall\tattainment\t%.3f\tshare\n%s\t%s\tall\treplicas\t%.1f\tmean\n", name, policy, attainment, name, policy, replicas)
		}
		if attained["orders"] < attained["fixed_3"] {
			t.Errorf("%s: %.3f of the requests find a slot with orders, %.3f without", name, attained["orders"], attained["fixed_3"])
		}
	}
	if *report != "" {
		if err := os.WriteFile(*report, []byte(lines.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
