package measure

import (
	"bufio"
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
)

var (
	reportFile    = flag.String("report", "", "write the report to this file")
	seedFile      = flag.String("seeds", "tuning", "seed file in testdata, without .seeds")
	onlyScenarios = flag.String("scenarios", "", "comma-separated scenarios; empty means all")
	onlyPolicies  = flag.String("policies", "", "comma-separated policies; empty means all")
)

func readSeeds(t testing.TB, name string) []uint64 {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", name+".seeds"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var seeds []uint64
	for sc := bufio.NewScanner(f); sc.Scan(); {
		line := strings.TrimSpace(sc.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		n, err := strconv.ParseUint(line, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, n)
	}
	return seeds
}

func chosen(list string, all []string) []string {
	if list == "" {
		return all
	}
	return strings.Split(list, ",")
}

// runSpec is one Measure call.
type runSpec struct {
	scenario, policy string
	seeds            []uint64
}

func specs(scenarios, policies []string, seeds []uint64) []runSpec {
	var out []runSpec
	for _, s := range scenarios {
		for _, p := range policies {
			out = append(out, runSpec{s, p, seeds})
		}
	}
	return out
}

// measureAll makes the runs in parallel, each in its own bubble, and returns the lines in a fixed order.
func measureAll(t *testing.T, runs []runSpec) []Line {
	parts := make([][]Line, len(runs))
	t.Run("runs", func(t *testing.T) {
		for i, r := range runs {
			t.Run(r.scenario+"/"+r.policy, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(*testing.T) { parts[i] = Measure(r.scenario, r.policy, r.seeds) })
			})
		}
	})
	var lines []Line
	for _, p := range parts {
		lines = append(lines, p...)
	}
	return lines
}

// TestReport writes the report of scripts/measure.
func TestReport(t *testing.T) {
	if *reportFile == "" {
		t.Skip("no -report")
	}
	lines := measureAll(t, specs(chosen(*onlyScenarios, Scenarios()), chosen(*onlyPolicies, Policies()), readSeeds(t, *seedFile)))
	f, err := os.Create(*reportFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := Write(f, lines); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}
