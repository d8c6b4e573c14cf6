package measure

import (
	"bufio"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
)

var (
	reportFile    = flag.String("report", "", "write the report to this file")
	seedFile      = flag.String("seeds", "tuning", "seed file in testdata, without .seeds")
	plotDir       = flag.String("plot", "", "write attainment.svg to this directory")
	columnsFile   = flag.String("columns", "", "write the effect of changed columns to this file")
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

func selected(list string, all []string) []string {
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

// measureAll executes the runs in parallel, each in its own synctest bubble, and returns their lines in the order of
// runs.
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
		t.Skip("-report is not set")
	}
	lines := measureAll(t, specs(selected(*onlyScenarios, Scenarios()), selected(*onlyPolicies, Policies()), readSeeds(t, *seedFile)))
	writeLines(t, *reportFile, lines)
}

// TestPlot writes the plot of scripts/measure --plot.
func TestPlot(t *testing.T) {
	if *plotDir == "" {
		t.Skip("-plot is not set")
	}
	seeds := readSeeds(t, *seedFile)
	loads := PlotLoads()
	lines, baseline := make([][]Line, len(loads)), make([][]Line, len(loads))
	t.Run("runs", func(t *testing.T) {
		for i, load := range loads {
			t.Run(strconv.FormatFloat(load, 'f', 2, 64), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(*testing.T) {
					lines[i] = AttainmentAt(load, Dragonflypin, seeds)
					baseline[i] = AttainmentAt(load, FIFORoundRobin, seeds)
				})
			})
		}
	})
	if err := PlotAttainment(*plotDir, loads, lines, baseline); err != nil {
		t.Fatal(err)
	}
	for i, load := range loads {
		for _, c := range append(slices.Clone(lines[i]), baseline[i]...) {
			if c.Metric == "attainment" {
				t.Logf("load %.2f %s %s %.3f", load, c.Policy, c.Class, c.Value)
			}
		}
	}
}

// TestColumns writes the report of scripts/measure --columns.
func TestColumns(t *testing.T) {
	if *columnsFile == "" {
		t.Skip("-columns is not set")
	}
	seeds := readSeeds(t, *seedFile)
	variations := Variations()
	parts := make([][]Line, len(variations))
	t.Run("runs", func(t *testing.T) {
		for i, v := range variations {
			t.Run(v.Name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(*testing.T) { parts[i] = RunVariation(v, seeds) })
			})
		}
	})
	writeLines(t, *columnsFile, slices.Concat(parts...))
}

func writeLines(t *testing.T, name string, lines []Line) {
	f, err := os.Create(name)
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
