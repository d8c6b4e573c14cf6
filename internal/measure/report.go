package measure

import (
	"fmt"
	"io"
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

// sample collects the requests of a class over the seeds of a file.
type sample struct {
	offered, attained, shed, deadline, pausedForLower int
	paced, completed, started                         int
	ttft, shortWait, wait                             []float64
	tokens, wasted, crestTokens                       float64
}

func (s *sample) add(c *class, r *request) {
	s.offered++
	s.tokens += float64(r.tokens)
	if r.pausedForLower {
		s.pausedForLower++
	}
	switch r.end {
	case endShed, endLimited:
		s.shed++
	case endDeadline:
		s.deadline++
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
	if r.first-r.arrived <= c.TTFTTarget {
		s.attained++
		s.crestTokens += float64(r.crestTokens)
	}
	if float64(r.done-r.first) <= float64(max(0, r.output-1))*float64(c.TokenTarget)+float64(tickInterval) {
		s.paced++
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
	classes := workloadClasses()
	per := make([]sample, len(classes))
	for _, seed := range seeds {
		w := run(s, policyName, seed)
		for _, r := range w.requests {
			if r.arrived < s.lead() {
				continue
			}
			per[r.class].add(&classes[r.class], r)
		}
	}
	var total sample
	var lines []Line
	for i := range classes {
		lines = append(lines, classLines(&s, policyName, &classes[i], &per[i], len(seeds))...)
		total.merge(&per[i])
	}
	return append(lines, totalLines(&s, policyName, &total, len(seeds))...)
}

func (s *sample) merge(o *sample) {
	s.offered += o.offered
	s.attained += o.attained
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
	add("token_attainment", share(float64(m.paced), float64(m.completed)), "share")
	add("ttft_p99", percentile(m.ttft, 0.99), "s")
	add("short_wait_p99", percentile(m.shortWait, 0.99), "s")
	add("wasted_tokens", share(m.wasted, m.tokens), "share")
	add("max_wait", percentile(m.wait, 1), "s")
	add("served", share(float64(m.started), n), "share")
	add("shed", share(float64(m.shed), n), "share")
	add("deadline_refused", share(float64(m.deadline), n), "share")
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
