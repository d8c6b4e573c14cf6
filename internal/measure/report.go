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

// Value returns the value of a line, and whether it exists.
func Value(lines []Line, scenario, policy, class, metric string) (float64, bool) {
	for _, l := range lines {
		if l.Scenario == scenario && l.Policy == policy && l.Class == class && l.Metric == metric {
			return l.Value, true
		}
	}
	return 0, false
}

// All is the class of lines over all classes.
const All = "all"

// sample collects the requests of a class over the seeds of a file. A complete response counts for attainment when its
// first token came within the row's ttft_target, for token_attainment when its mean time between tokens, pauses
// included, is within token_target, and for full_attainment and crest_goodput when both hold.
type sample struct {
	offered, attained, shed, deadline, interrupted, pausedForLower int
	retries, kept                                                  int
	steady, full, completed, started                               int
	ttft, shortWait, wait                                          []float64
	tokens, wasted, crestTokens                                    float64
}

func (s *sample) add(c *class, r *request) {
	s.offered++
	if r.retried {
		s.retries++
	}
	if r.retryKept {
		s.kept++
	}
	s.tokens += float64(r.tokens)
	if r.pausedForLower {
		s.pausedForLower++
	}
	switch r.end {
	case endShed, endLimited:
		s.shed++
	case endDeadline:
		s.deadline++
	case endInterrupted:
		s.interrupted++
	}
	if r.hasStarted {
		s.started++
		w := (r.started - r.arrived).Seconds()
		s.wait = append(s.wait, w)
		if !r.long {
			s.shortWait = append(s.shortWait, w)
		}
	}
	if r.hasFirst {
		s.ttft = append(s.ttft, (r.first - r.arrived).Seconds())
	}
	if r.end != endCompleted {
		s.wasted += float64(r.tokens)
		return
	}
	s.completed++
	prompt := r.first-r.arrived <= c.TTFTTarget
	// A pause counts as time between tokens.
	steady := float64(r.done-r.first) <= float64(max(0, r.output-1))*float64(c.TokenTarget)+float64(tickInterval)
	if prompt {
		s.attained++
	}
	if steady {
		s.steady++
	}
	if prompt && steady {
		s.full++
		s.crestTokens += float64(r.crestTokens)
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
	per := make([]sample, len(classes))
	for _, seed := range seeds {
		w := run(s, policyName, seed)
		for _, r := range w.requests {
			if r.arrived < s.lead() {
				continue
			}
			per[r.class].add(&classes[r.class], r)
		}
		for i := range classes {
			if classes[i].RequestRate > 0 {
				overshoot[i] = max(overshoot[i], w.overshoot(i))
			}
		}
		addShareErrors(shareError, w)
		addShares(shares, w, float64(len(seeds)))
	}
	var total sample
	var lines []Line
	for i := range classes {
		lines = append(lines, classLines(&s, policyName, &classes[i], &per[i], len(seeds))...)
		if classes[i].RequestRate > 0 && (policyName == Dragonflypin || policyName == EarlyBinding) {
			lines = append(lines, Line{s.name, policyName, classes[i].Class, "limit_overshoot", overshoot[i], "share"})
		}
		if s.name == WeightedBacklog {
			lines = append(lines, Line{s.name, policyName, classes[i].Class, "share_error", shareError[i], "share"},
				Line{s.name, policyName, classes[i].Class, "share_of_weight", shares[i], "ratio"})
		}
		total.merge(&per[i])
	}
	return append(lines, totalLines(&s, policyName, &total, len(seeds))...)
}

// addShareErrors raises the errors to the largest relative difference of a class's share of tokens from its weight in
// any window.
func addShareErrors(errs []float64, w *world) {
	weights := 0.0
	for i := range w.classes {
		weights += float64(w.classes[i].Weight)
	}
	for k := range horizon / shareWindow {
		all := 0.0
		for i := range w.classes {
			if w.windows[i] != nil {
				all += w.windows[i][k]
			}
		}
		for i := range w.classes {
			if all > 0 && w.windows[i] != nil {
				want := float64(w.classes[i].Weight) / weights
				errs[i] = max(errs[i], math.Abs(w.windows[i][k]/all/want-1))
			}
		}
	}
}

// addShares adds each class's share of the tokens, relative to its weight, averaged over n runs.
func addShares(shares []float64, w *world, n float64) {
	weights, all := 0.0, 0.0
	sums := make([]float64, len(w.classes))
	for i := range w.classes {
		weights += float64(w.classes[i].Weight)
		for _, v := range w.windows[i] {
			sums[i] += v
		}
		all += sums[i]
	}
	for i := range w.classes {
		shares[i] += share(sums[i], all) / (float64(w.classes[i].Weight) / weights) / n
	}
}

func (s *sample) merge(o *sample) {
	s.offered += o.offered
	s.attained += o.attained
	s.full += o.full
	s.shed += o.shed
	s.tokens += o.tokens
	s.wasted += o.wasted
	s.crestTokens += o.crestTokens
	s.shortWait = append(s.shortWait, o.shortWait...)
	s.ttft = append(s.ttft, o.ttft...)
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func classLines(s *scenario, policyName string, c *class, m *sample, seeds int) []Line {
	var lines []Line
	add := func(metric string, value float64, unit string) {
		lines = append(lines, Line{s.name, policyName, c.Class, metric, value, unit})
	}
	n := float64(m.offered)
	add("attainment", share(float64(m.attained), n), "share")
	add("token_attainment", share(float64(m.steady), n), "share")
	add("full_attainment", share(float64(m.full), n), "share")
	add("ttft_p99", percentile(m.ttft, 0.99), "s")
	add("short_wait_p99", percentile(m.shortWait, 0.99), "s")
	add("wasted_tokens", share(m.wasted, m.tokens), "share")
	add("max_wait", percentile(m.wait, 1), "s")
	add("served", share(float64(m.started), n), "share")
	add("shed", share(float64(m.shed), n), "share")
	add("interrupted", share(float64(m.interrupted), n), "share")
	add("deadline_refused", share(float64(m.deadline), n), "share")
	if m.retries > 0 {
		add("retry_after_kept", share(float64(m.kept), float64(m.retries)), "share")
	}
	if c.Protected {
		add("paused_for_lower", float64(m.pausedForLower), "requests")
	}
	if capacity := crestCapacity(s, capacityOf(c.service)); capacity > 0 {
		add("crest_goodput", share(m.crestTokens, capacity*float64(seeds)), "share")
	}
	return lines
}

func totalLines(s *scenario, policyName string, m *sample, seeds int) []Line {
	lines := []Line{
		{s.name, policyName, All, "attainment", share(float64(m.attained), float64(m.offered)), "share"},
		{s.name, policyName, All, "full_attainment", share(float64(m.full), float64(m.offered)), "share"},
		{s.name, policyName, All, "ttft_p99", percentile(m.ttft, 0.99), "s"},
		{s.name, policyName, All, "short_wait_p99", percentile(m.shortWait, 0.99), "s"},
		{s.name, policyName, All, "wasted_tokens", share(m.wasted, m.tokens), "share"},
		{s.name, policyName, All, "shed", share(float64(m.shed), float64(m.offered)), "share"},
	}
	if capacity := crestCapacity(s, capacityOf(lmPool)+capacityOf(sachetLM)); capacity > 0 {
		lines = append(lines, Line{s.name, policyName, All, "crest_goodput", share(m.crestTokens, capacity*float64(seeds)), "share"})
	}
	return lines
}

// crestCapacity is the number of tokens that the nominal rate generates in the crest windows.
func crestCapacity(s *scenario, rate float64) float64 {
	var d time.Duration
	for _, c := range s.crest {
		d += c.to - c.from
	}
	return rate * d.Seconds()
}
