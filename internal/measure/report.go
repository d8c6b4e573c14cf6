package measure

import (
	"fmt"
	"io"
	"math"
	"time"
)

// Line is one line of the report.
type Line struct {
	Scenario, Policy, Class, Metric string
	Value                           float64
	Unit                            string
}

// Write writes the lines, separated by tabs.
func Write(out io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%.4f\t%s\n", l.Scenario, l.Policy, l.Class, l.Metric, l.Value, l.Unit); err != nil {
			return err
		}
	}
	return nil
}

// Value returns the value of the line with these names, and whether there is one.
func Value(lines []Line, scenario, policy, class, metric string) (float64, bool) {
	for _, l := range lines {
		if l.Scenario == scenario && l.Policy == policy && l.Class == class && l.Metric == metric {
			return l.Value, true
		}
	}
	return 0, false
}

// AllClasses is the class name of the lines that cover all classes.
const AllClasses = "all"

// classStats aggregates the requests of a class over the seeds of a file. A completed request counts for attainment if
// its first token came within the row's ttft_target, for token_attainment if its mean time between tokens, including
// pauses, was within token_target, and for full_attainment and crest_goodput if both were met.
type classStats struct {
	offered, attained, shed, deadline, interrupted, pausedForLower int
	retries, retriesInTime                                         int
	tokensAttained, fullAttained, completed, started               int
	ttft, shortWait, wait                                          []float64
	tokens, wasted, overloadTokens                                 float64
}

func (s *classStats) add(c *class, r *request) {
	s.offered++
	if r.retried {
		s.retries++
	}
	if r.retryInTime {
		s.retriesInTime++
	}
	s.tokens += float64(r.tokens)
	if r.pausedForLower {
		s.pausedForLower++
	}
	switch r.outcome {
	case outcomeShed, outcomeLimited:
		s.shed++
	case outcomeDeadline:
		s.deadline++
	case outcomeInterrupted:
		s.interrupted++
	}
	if r.hasStarted {
		s.started++
		wait := (r.started - r.arrived).Seconds()
		s.wait = append(s.wait, wait)
		if !r.long {
			s.shortWait = append(s.shortWait, wait)
		}
	}
	if r.hasFirst {
		s.ttft = append(s.ttft, (r.first - r.arrived).Seconds())
	}
	if r.outcome != outcomeCompleted {
		s.wasted += float64(r.tokens)
		return
	}
	s.completed++
	firstInTime := r.first-r.arrived <= c.TTFTTarget
	// Pauses count as time between tokens. Progress is reported once per progressInterval, which is allowed for.
	tokensInTime := float64(r.done-r.first) <= float64(max(0, r.output-1))*float64(c.TokenTarget)+float64(progressInterval)
	if firstInTime {
		s.attained++
	}
	if tokensInTime {
		s.tokensAttained++
	}
	if firstInTime && tokensInTime {
		s.fullAttained++
		s.overloadTokens += float64(r.overloadTokens)
	}
}

// Measure runs one scenario under one policy for every seed and returns its lines.
func Measure(scenarioName, policyName string, seeds []uint64) []Line {
	var s scenario
	for _, c := range scenarios() {
		if c.name == scenarioName {
			s = c
		}
	}
	return measure(s, policyName, seeds)
}

func measure(s scenario, policyName string, seeds []uint64) []Line {
	classes := s.rows()
	shares := make([]float64, len(classes))
	shareError := make([]float64, len(classes))
	overshoot := make([]float64, len(classes))
	stats := make([]classStats, len(classes))
	for _, seed := range seeds {
		sim := run(s, policyName, seed)
		for _, r := range sim.requests {
			if r.arrived < s.warmUp() {
				continue
			}
			stats[r.class].add(&classes[r.class], r)
		}
		for i := range classes {
			if classes[i].RequestRate > 0 {
				overshoot[i] = max(overshoot[i], sim.overshoot(i))
			}
		}
		addShareErrors(shareError, sim)
		addShares(shares, sim, float64(len(seeds)))
	}
	var total classStats
	var lines []Line
	for i := range classes {
		lines = append(lines, classLines(&s, policyName, &classes[i], &stats[i], len(seeds))...)
		if classes[i].RequestRate > 0 && (policyName == Dragonflypin || policyName == EarlyBinding) {
			lines = append(lines, Line{s.name, policyName, classes[i].Class, "limit_overshoot", overshoot[i], "share"})
		}
		if s.name == WeightedBacklogScenario {
			lines = append(lines, Line{s.name, policyName, classes[i].Class, "share_error", shareError[i], "share"},
				Line{s.name, policyName, classes[i].Class, "share_of_weight", shares[i], "ratio"})
		}
		total.merge(&stats[i])
	}
	return append(lines, totalLines(&s, policyName, &total, len(seeds))...)
}

// addShareErrors raises each class's error to the largest relative difference, in any window, between its share of the
// tokens and its share of the weights.
func addShareErrors(errs []float64, sim *simulation) {
	weights := 0.0
	for i := range sim.classes {
		weights += float64(sim.classes[i].Weight)
	}
	for k := range horizon / shareWindow {
		all := 0.0
		for i := range sim.classes {
			if sim.windowTokens[i] != nil {
				all += sim.windowTokens[i][k]
			}
		}
		for i := range sim.classes {
			if all > 0 && sim.windowTokens[i] != nil {
				want := float64(sim.classes[i].Weight) / weights
				errs[i] = max(errs[i], math.Abs(sim.windowTokens[i][k]/all/want-1))
			}
		}
	}
}

// addShares adds one of n runs to the averages of each class's share of the tokens, relative to its share of the
// weights.
func addShares(shares []float64, sim *simulation, n float64) {
	weights, all := 0.0, 0.0
	sums := make([]float64, len(sim.classes))
	for i := range sim.classes {
		weights += float64(sim.classes[i].Weight)
		for _, v := range sim.windowTokens[i] {
			sums[i] += v
		}
		all += sums[i]
	}
	for i := range sim.classes {
		shares[i] += share(sums[i], all) / (float64(sim.classes[i].Weight) / weights) / n
	}
}

func (s *classStats) merge(o *classStats) {
	s.offered += o.offered
	s.attained += o.attained
	s.fullAttained += o.fullAttained
	s.shed += o.shed
	s.tokens += o.tokens
	s.wasted += o.wasted
	s.overloadTokens += o.overloadTokens
	s.shortWait = append(s.shortWait, o.shortWait...)
	s.ttft = append(s.ttft, o.ttft...)
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func classLines(s *scenario, policyName string, c *class, m *classStats, seeds int) []Line {
	var lines []Line
	add := func(metric string, value float64, unit string) {
		lines = append(lines, Line{s.name, policyName, c.Class, metric, value, unit})
	}
	n := float64(m.offered)
	add("attainment", share(float64(m.attained), n), "share")
	add("token_attainment", share(float64(m.tokensAttained), n), "share")
	add("full_attainment", share(float64(m.fullAttained), n), "share")
	add("ttft_p99", percentile(m.ttft, 0.99), "s")
	add("short_wait_p99", percentile(m.shortWait, 0.99), "s")
	add("wasted_tokens", share(m.wasted, m.tokens), "share")
	add("max_wait", percentile(m.wait, 1), "s")
	add("served", share(float64(m.started), n), "share")
	add("shed", share(float64(m.shed), n), "share")
	add("interrupted", share(float64(m.interrupted), n), "share")
	add("deadline_refused", share(float64(m.deadline), n), "share")
	if m.retries > 0 {
		add("retry_after_kept", share(float64(m.retriesInTime), float64(m.retries)), "share")
	}
	if c.Protected {
		add("paused_for_lower", float64(m.pausedForLower), "requests")
	}
	if capacity := overloadCapacity(s, capacityOf(c.service)); capacity > 0 {
		add("crest_goodput", share(m.overloadTokens, capacity*float64(seeds)), "share")
	}
	return lines
}

func totalLines(s *scenario, policyName string, m *classStats, seeds int) []Line {
	lines := []Line{
		{s.name, policyName, AllClasses, "attainment", share(float64(m.attained), float64(m.offered)), "share"},
		{s.name, policyName, AllClasses, "full_attainment", share(float64(m.fullAttained), float64(m.offered)), "share"},
		{s.name, policyName, AllClasses, "ttft_p99", percentile(m.ttft, 0.99), "s"},
		{s.name, policyName, AllClasses, "short_wait_p99", percentile(m.shortWait, 0.99), "s"},
		{s.name, policyName, AllClasses, "wasted_tokens", share(m.wasted, m.tokens), "share"},
		{s.name, policyName, AllClasses, "shed", share(float64(m.shed), float64(m.offered)), "share"},
	}
	if capacity := overloadCapacity(s, capacityOf(lmPool)+capacityOf(sachetLM)); capacity > 0 {
		lines = append(lines, Line{s.name, policyName, AllClasses, "crest_goodput", share(m.overloadTokens, capacity*float64(seeds)), "share"})
	}
	return lines
}

// overloadCapacity is the number of tokens that the given token rate generates in the scenario's overload periods.
func overloadCapacity(s *scenario, rate float64) float64 {
	var d time.Duration
	for _, c := range s.overload {
		d += c.to - c.from
	}
	return rate * d.Seconds()
}
