package load

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// Report is the result of a run.
type Report struct {
	Seed int `json:"seed"`
	// Seconds is the time from the start of the run to the end of the last response.
	Seconds float64 `json:"seconds"`
	// LateP99Ms is the 99th percentile of the delay between a request's scheduled and actual send time. More than a few
	// milliseconds means that the load generator itself was overloaded.
	LateP99Ms float64       `json:"late_p99_ms"`
	Classes   []ClassReport `json:"classes"`
}

// ClassReport is the result of one class. Times are in milliseconds; a gap is the time between two tokens of a response.
type ClassReport struct {
	Class    string `json:"class"`
	Requests int    `json:"requests"`
	// Attainment is the share of requests that completed with time to first token and mean gap within the targets.
	Attainment float64 `json:"attainment"`
	TTFTP50    float64 `json:"ttft_p50_ms"`
	TTFTP95    float64 `json:"ttft_p95_ms"`
	TTFTP99    float64 `json:"ttft_p99_ms"`
	GapP50     float64 `json:"gap_p50_ms"`
	GapP95     float64 `json:"gap_p95_ms"`
	GapP99     float64 `json:"gap_p99_ms"`
	// Goodput is the number of tokens per second in responses that met the targets.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// WastedTokens is the number of tokens received in responses that did not complete.
	WastedTokens int `json:"wasted_tokens"`
	// Wrong is the number of completed responses with incorrect content.
	Wrong int `json:"wrong"`
	// FirstWrong describes the first such response.
	FirstWrong string `json:"first_wrong,omitempty"`
	// Outcomes counts the requests by outcome and error code, such as "not_run saturated".
	Outcomes map[string]int `json:"outcomes"`
}

// Wrong returns the number of completed responses with incorrect content.
func (r *Report) Wrong() int {
	n := 0
	for _, c := range r.Classes {
		n += c.Wrong
	}
	return n
}

// Completed returns the number of completed requests.
func (r *Report) Completed() int {
	n := 0
	for _, c := range r.Classes {
		n += c.Outcomes[string(outcome.Completed)]
	}
	return n
}

func newReport(w *Workload, results []result, elapsed time.Duration) Report {
	report := Report{Seed: w.Seed, Seconds: elapsed.Seconds()}
	var late []time.Duration
	for _, res := range results {
		late = append(late, res.late)
	}
	report.LateP99Ms = percentile(late, 0.99)
	for i := range w.Classes {
		report.Classes = append(report.Classes, classReport(&w.Classes[i], i, results, elapsed))
	}
	return report
}

func classReport(c *Class, index int, results []result, elapsed time.Duration) ClassReport {
	report := ClassReport{Class: c.Class, Outcomes: make(map[string]int)}
	var first, gaps []time.Duration
	onTarget, onTargetTokens := 0, 0
	for i := range results {
		res := &results[i]
		if res.classIndex != index {
			continue
		}
		report.Requests++
		report.Outcomes[strings.TrimSpace(res.outcome+" "+res.code)]++
		gaps = append(gaps, res.gaps...)
		if res.first > 0 {
			first = append(first, res.first)
		}
		if res.outcome != string(outcome.Completed) {
			report.WastedTokens += res.tokens
			continue
		}
		if res.wrong != "" {
			if report.Wrong == 0 {
				report.FirstWrong = res.wrong
			}
			report.Wrong++
			continue
		}
		if res.meetsTargets(c) {
			onTarget++
			onTargetTokens += res.tokens
		}
	}
	report.Attainment = float64(onTarget) / float64(max(report.Requests, 1))
	report.TTFTP50, report.TTFTP95, report.TTFTP99 = percentile(first, 0.5), percentile(first, 0.95), percentile(first, 0.99)
	report.GapP50, report.GapP95, report.GapP99 = percentile(gaps, 0.5), percentile(gaps, 0.95), percentile(gaps, 0.99)
	report.Goodput = float64(onTargetTokens) / elapsed.Seconds()
	return report
}

func (res *result) meetsTargets(c *Class) bool {
	if res.first > time.Duration(c.TTFTTarget) {
		return false
	}
	if c.TokenTarget == 0 || len(res.gaps) == 0 {
		return true
	}
	return (res.last-res.first)/time.Duration(len(res.gaps)) <= time.Duration(c.TokenTarget)
}

// percentile returns the nearest-rank percentile in milliseconds, or 0 for an empty list. It sorts the list in place.
func percentile(list []time.Duration, share float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	rank := max(int(math.Ceil(share*float64(len(list)))), 1)
	return float64(list[rank-1]) / float64(time.Millisecond)
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "class\trequests\tattained\tTTFT ms p50\tp95\tp99\tgap ms p50\tp95\tp99\tgood tokens/s\twasted tokens\twrong\t")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.3f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.0f\t%d\t%d\t\n", c.Class, c.Requests, c.Attainment,
			c.TTFTP50, c.TTFTP95, c.TTFTP99, c.GapP50, c.GapP95, c.GapP99, c.Goodput, c.WastedTokens, c.Wrong)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.Classes {
		keys := make([]string, 0, len(c.Outcomes))
		for key := range c.Outcomes {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			_, _ = fmt.Fprintf(w, "%s: %s %d\n", c.Class, key, c.Outcomes[key])
		}
		if c.FirstWrong != "" {
			_, _ = fmt.Fprintf(w, "%s: first wrong response: %s\n", c.Class, c.FirstWrong)
		}
	}
	_, err := fmt.Fprintf(w, "seed %d, %.1f s, requests sent late by %.1f ms (p99)\n", r.Seed, r.Seconds, r.LateP99Ms)
	return err
}
