package day

import (
	"bytes"
	"fmt"
	"html/template"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// minPlottedShare is the share of requests below which a class is listed in the table but not plotted, because its
	// curve would jump between 0 and 1.
	minPlottedShare = 0.01
)

// chart is one plot of the page.
type chart struct {
	Name, Title, axis string
	// share is set if the values are between 0 and 1.
	share  bool
	series Series
}

// classRow is a row of the page's table.
type classRow struct {
	Class                  string
	Requests, InTime       int
	Refused, OtherFailures int
}

// Write writes index.html and one SVG file for each plot to the directory, with bins of the given length. It returns the
// names of the files.
func (d *Dataset) Write(dir string, length time.Duration) ([]string, error) {
	if len(d.Requests) == 0 {
		return nil, fmt.Errorf("the logs contain no ended request")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create %s: %w", dir, err)
	}
	charts := []chart{
		{"attainment.svg", "Share of requests in time, by class", "share", true, d.frequent(d.Attainment(length))},
		{"refusals.svg", "Requests refused without being run, by code", "requests", false, d.Refusals(length)},
		{"choices.svg", "Requests by placement reason", "requests", false, d.PlacementReasons(length)},
		{"replicas.svg", "Replicas in use, by placement reason", "replicas", false, d.Replicas(length)},
	}
	var files []string
	for _, c := range charts {
		if err := c.save(filepath.Join(dir, c.Name), length); err != nil {
			return nil, err
		}
		files = append(files, c.Name)
	}
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, map[string]any{"Charts": charts, "Rows": d.rows(), "Bin": length, "Unreadable": d.Unreadable}); err != nil {
		return nil, fmt.Errorf("write page: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "index.html"), page.Bytes(), 0o600); err != nil {
		return nil, fmt.Errorf("write page: %w", err)
	}
	return append(files, "index.html"), nil
}

func (c *chart) save(path string, length time.Duration) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, "seconds", c.axis
	p.Y.Min, p.Legend.Top = 0, true
	if c.share {
		p.Y.Max, p.Legend.Top = 1.02, false
	}
	p.Add(plotter.NewGrid())
	for i, name := range c.series.Names() {
		points := make(plotter.XYs, len(c.series[name]))
		for bin, v := range c.series[name] {
			points[bin] = plotter.XY{X: float64(bin) * length.Seconds(), Y: v}
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot %s of %s: %w", name, path, err)
		}
		curve.Color, curve.Dashes = plotutil.Color(i), plotutil.Dashes(i/len(plotutil.DefaultColors))
		p.Add(curve)
		p.Legend.Add(name, curve)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save %s: %w", path, err)
	}
	return nil
}

// frequent returns the series of the classes with at least minPlottedShare of the requests.
func (d *Dataset) frequent(s Series) Series {
	plotted := Series{}
	for _, row := range d.rows() {
		if float64(row.Requests) >= minPlottedShare*float64(len(d.Requests)) {
			plotted[row.Class] = s[row.Class]
		}
	}
	return plotted
}

func (d *Dataset) rows() []classRow {
	byClass := map[string]*classRow{}
	for i := range d.Requests {
		r := &d.Requests[i]
		row := byClass[r.Class]
		if row == nil {
			row = &classRow{Class: r.Class}
			byClass[r.Class] = row
		}
		row.Requests++
		switch {
		case r.InTime:
			row.InTime++
		case r.Refused != "":
			row.Refused++
		default:
			row.OtherFailures++
		}
	}
	rows := make([]classRow, 0, len(byClass))
	for _, name := range slices.Sorted(maps.Keys(byClass)) {
		rows = append(rows, *byClass[name])
	}
	return rows
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>dragonflypin: requests over time</title></head>
<body>
<h1>Requests over time</h1>
<table>
<tr><th>class</th><th>requests</th><th>in time</th><th>refused as not run</th><th>late, failed or left</th></tr>
{{- range .Rows}}
<tr><td>{{.Class}}</td><td>{{.Requests}}</td><td>{{.InTime}}</td><td>{{.Refused}}</td><td>{{.OtherFailures}}</td></tr>
{{- end}}
</table>
<p>Bins of {{.Bin}}.{{if .Unreadable}} {{.Unreadable}} lines could not be parsed.{{end}}</p>
{{- range .Charts}}
<h2>{{.Title}}</h2>
<img src="{{.Name}}" alt="{{.Title}}">
{{- end}}
</body>
</html>
`))
