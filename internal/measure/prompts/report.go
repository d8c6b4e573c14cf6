package prompts

import "github.com/dragonflypin/dragonflypin/internal/measure"

// creditShare returns the credit that was earned, as a share of the credit if all requests were in time.
func creditShare(classes []Class, tallies map[string]Tally) float64 {
	earned, all := 0.0, 0.0
	for i := range classes {
		c, t := &classes[i], tallies[classes[i].Name]
		earned += c.credit*float64(t.InTime) + c.lateCredit*float64(t.Late)
		all += c.credit * float64(t.Requests)
	}
	if all == 0 {
		return 0
	}
	return earned / all
}

// Sum replays the workload with every seed and adds the tallies up.
func (w Workload) Sum(seeds []uint64) map[string]Tally {
	sum := map[string]Tally{}
	for _, seed := range seeds {
		for name, t := range w.Run(seed) {
			total := sum[name]
			total.Add(t)
			sum[name] = total
		}
	}
	return sum
}

// Measure replays the workload under the variant and returns its report lines: the credit of all requests, and for every
// class the shares of its requests that were in time, late, refused and failed.
func Measure(w Workload, v Variant, seeds []uint64) []measure.Line {
	tallies := v.Apply(w).Sum(seeds)
	lines := []measure.Line{{Scenario: w.Name, Policy: v.Name, Class: measure.AllClasses, Metric: "credit", Value: creditShare(w.Classes, tallies), Unit: "share"}}
	for i := range w.Classes {
		c := &w.Classes[i]
		t := tallies[c.Name]
		for _, m := range []struct {
			metric string
			n      int
		}{{"in_time", t.InTime}, {"late", t.Late}, {"refused", t.Refused}, {"failed", t.Failed}} {
			lines = append(lines, measure.Line{
				Scenario: w.Name, Policy: v.Name, Class: c.Name, Metric: m.metric, Value: float64(m.n) / float64(max(1, t.Requests)), Unit: "share",
			})
		}
	}
	return lines
}
