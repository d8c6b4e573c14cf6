package prompts

import "github.com/dragonflypin/dragonflypin/internal/measure"

// credit is the share of the worth of all requests that was earned.
func credit(classes []Class, tallies map[string]Tally) float64 {
	earned, all := 0.0, 0.0
	for i := range classes {
		c, t := &classes[i], tallies[classes[i].Name]
		earned += c.worth*float64(t.InTime) + c.late*float64(t.Late)
		all += c.worth * float64(t.Asked)
	}
	if all == 0 {
		return 0
	}
	return earned / all
}

// Sum plays the load with every seed and adds the tallies up.
func (l Load) Sum(seeds []uint64) map[string]Tally {
	sum := map[string]Tally{}
	for _, seed := range seeds {
		for name, t := range l.Run(seed) {
			total := sum[name]
			total.Add(t)
			sum[name] = total
		}
	}
	return sum
}

// Measure plays the load under the variant and returns its lines: the credit of all, and for every class the shares of its
// requests that were in time, late, refused and failed.
func Measure(l Load, v Variant, seeds []uint64) []measure.Line {
	tallies := v.Under(l).Sum(seeds)
	lines := []measure.Line{{Scenario: l.Name, Policy: v.Name, Class: measure.All, Metric: "credit", Value: credit(l.Classes, tallies), Unit: "share"}}
	for i := range l.Classes {
		c := &l.Classes[i]
		t := tallies[c.Name]
		for _, m := range []struct {
			metric string
			n      int
		}{{"in_time", t.InTime}, {"late", t.Late}, {"refused", t.Refused}, {"failed", t.Failed}} {
			lines = append(lines, measure.Line{
				Scenario: l.Name, Policy: v.Name, Class: c.Name, Metric: m.metric, Value: float64(m.n) / float64(max(1, t.Asked)), Unit: "share",
			})
		}
	}
	return lines
}
