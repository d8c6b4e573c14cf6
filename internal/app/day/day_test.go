package day_test

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/app/day"
)

const second = time.Second

// ended returns the log line of a request that ended at the given offset in milliseconds.
func ended(ms int, fields string) string {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	return fmt.Sprintf(`{"event":"edge_request_ended","time":%q,%s}`, at.Format(time.RFC3339Nano), fields) + "\n"
}

func sample(t *testing.T) *day.Dataset {
	t.Helper()
	one := ended(0, `"class":"long","outcome":"delivered","in_time":true,"upstream":"a","reason":"home"`) +
		ended(100, `"class":"long","outcome":"delivered","in_time":false,"upstream":"b","reason":"second_home","fetched_from":"a"`) +
		`{"event":"edge_started","time":"2026-01-01T00:00:00Z"}` + "\n" + "panic: no event\n" + "{broken\n"
	two := "  3.1 edge-2 " + ended(2500, `"class":"long","outcome":"refused","refused_for":"no_room","in_time":false,"upstream":"a","reason":"home"`) +
		"  0.2 edge-2 " + ended(200, `"class":"short","outcome":"delivered","in_time":true,"upstream":"c","reason":"least_loaded"`) +
		"  0.3 edge-2 " + ended(300, `"class":"short","outcome":"cut","in_time":false,"upstream":"c","reason":"least_loaded"`)
	d, err := day.Read(strings.NewReader(one), strings.NewReader(two))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against series that don't match the log lines, among them lines with a prefix, other events and broken JSON.
func TestSeries(t *testing.T) {
	d := sample(t)
	if len(d.Requests) != 5 || d.Unreadable != 1 || d.Bins(second) != 3 {
		t.Fatalf("%d requests, %d unreadable lines, %d bins; want 5, 1, 3", len(d.Requests), d.Unreadable, d.Bins(second))
	}
	for name, c := range map[string]struct {
		got  day.Series
		want map[string][]float64
	}{
		"attainment": {d.Attainment(second), map[string][]float64{"long": {0.5, 0.5, 0}, "short": {0.5, 0.5, 0.5}}},
		"refusals":   {d.Refusals(second), map[string][]float64{"no_room": {0, 0, 1}}},
		"choices": {d.PlacementReasons(second), map[string][]float64{
			"home": {1, 0, 0}, "second_home": {1, 0, 0}, "least_loaded": {2, 0, 0}, "fetched": {1, 0, 0},
		}},
		"replicas": {d.Replicas(second), map[string][]float64{"home": {1, 0, 0}, "second_home": {1, 0, 0}, "least_loaded": {1, 0, 0}}},
	} {
		if len(c.got) != len(c.want) {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
		for series, want := range c.want {
			if !slices.Equal(c.got[series], want) {
				t.Errorf("%s of %s: %v, want %v", name, series, c.got[series], want)
			}
		}
	}
}

// Guards against a page whose plots are missing or not well-formed XML, and against a page without requests.
func TestWrite(t *testing.T) {
	dir := t.TempDir()
	files, err := sample(t).Write(dir, second)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, "index.html"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<td>long</td><td>3</td><td>1</td><td>1</td><td>1</td>", "1 lines could not be parsed", `src="attainment.svg"`} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	for _, name := range files {
		if filepath.Ext(name) == ".svg" {
			checkWellFormed(t, filepath.Join(dir, name))
		}
	}
	if len(files) != 5 {
		t.Errorf("files %v, want 4 plots and the page", files)
	}
	if _, err := (&day.Dataset{}).Write(dir, second); err == nil {
		t.Error("a page without requests was written")
	}
}

func checkWellFormed(t *testing.T, path string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	for x := xml.NewDecoder(f); ; {
		_, err := x.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
	}
}

// Guards against a panic on lines that are not from an edge, and against series of the wrong length.
func FuzzRead(f *testing.F) {
	f.Add(ended(5, `"class":"long"`))
	f.Add("{}")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := day.Read(strings.NewReader(text))
		if err != nil {
			return
		}
		for _, s := range []day.Series{d.Attainment(second), d.Refusals(second), d.PlacementReasons(second), d.Replicas(second)} {
			for _, name := range s.Names() {
				if len(s[name]) != d.Bins(second) {
					t.Fatalf("%q has %d bins, want %d", name, len(s[name]), d.Bins(second))
				}
			}
		}
	})
}
