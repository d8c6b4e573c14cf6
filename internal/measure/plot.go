package measure

import (
	"fmt"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// PlotLoads are the loads of the plot, as fractions of capacity.
func PlotLoads() []float64 { return []float64{0.4, 0.7, 0.9, 1, 1.1, 1.25, 1.5, 2, 2.5, 3} }

// plotHoldTime is the time for which the plotted load is held. It is short because the plot shows brief overload.
const plotHoldTime = 20 * time.Second

// AttainmentAt returns the lines of a run whose load rises from 0.4 of capacity to the given load for plotHoldTime,
// four times.
func AttainmentAt(load float64, policyName string, seeds []uint64) []Line {
	s := scenario{name: fmt.Sprintf("load_%.2f", load), load: 0.4}
	for at := time.Duration(0); at < horizon; at += 30 * time.Second {
		s.rateChanges = append(s.rateChanges, rateChange{at, at + plotHoldTime, "", load / s.load})
	}
	return measure(s, policyName, seeds)
}

// PlotAttainment writes attainment.svg to dir: attainment against load for every class. lines and baseline are the
// results of AttainmentAt for each load.
func PlotAttainment(dir string, loads []float64, lines [][]Line, baseline [][]Line) error {
	p := plot.New()
	p.Title.Text = "Share of requests with the first token within ttft_target"
	p.X.Label.Text = "demand at the crest / capacity"
	p.Y.Label.Text = "attainment"
	p.Y.Min, p.Y.Max = 0, 1.02
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	classes := workloadClasses()
	for i := range classes {
		c := &classes[i]
		name := fmt.Sprintf("%s (tier %d)", c.Class, c.Priority)
		if err := addSeries(p, i, name, loads, lines, Dragonflypin, c.Class); err != nil {
			return err
		}
	}
	if err := addSeries(p, len(classes), "all, "+FIFORoundRobin, loads, baseline, FIFORoundRobin, AllClasses); err != nil {
		return err
	}
	return p.Save(22*vg.Centimeter, 14*vg.Centimeter, filepath.Join(dir, "attainment.svg"))
}

func addSeries(p *plot.Plot, i int, name string, loads []float64, lines [][]Line, policyName, class string) error {
	var points plotter.XYs
	for k, load := range loads {
		if v, ok := Value(lines[k], fmt.Sprintf("load_%.2f", load), policyName, class, "attainment"); ok {
			points = append(points, plotter.XY{X: load, Y: v})
		}
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("series %s: %w", name, err)
	}
	line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
	line.Dashes, dots.Shape = plotutil.Dashes(i/7), plotutil.Shape(i)
	p.Add(line, dots)
	p.Legend.Add(name, line, dots)
	return nil
}
