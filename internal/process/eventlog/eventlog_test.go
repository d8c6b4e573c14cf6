package eventlog_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
)

// Guards against a table in docs/events.md that lacks an event or differs from the catalogue.
func TestEventsPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	for _, e := range eventlog.Catalogue() {
		fmt.Fprintf(&want, "| %s | `%s` | %s | %s |\n", e.Code(), e.Name, e.Level, e.Meaning)
	}
	_, rows, _ := strings.Cut(string(page), "|---|---|---|---|\n")
	if rows != want.String() {
		t.Errorf("docs/events.md must end with these rows:\n%s", want.String())
	}
}

// Guards against two events with the same number or name, and against numbers that do not have four digits.
func TestCatalogueIsUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, e := range eventlog.Catalogue() {
		if seen[e.Code()] || seen[e.Name] || e.Number < 1000 || e.Number > 9999 {
			t.Errorf("%s %s is repeated or out of range", e.Code(), e.Name)
		}
		seen[e.Code()], seen[e.Name] = true, true
	}
}

// Guards against lines that are not valid JSON, that lack the event or the instance, or that repeat a long error text in full.
func TestEmit(t *testing.T) {
	var out bytes.Buffer
	log := eventlog.New(&out, "warn", "entry", "entry-1")
	log.Emit(eventlog.EntryStarted)
	log.Emit(eventlog.StoreUnavailable, eventlog.Err(errors.New(strings.Repeat("x", 5000))), eventlog.Count(3))
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("not one JSON line: %v: %s", err, out.String())
	}
	if line["code"] != "DP1301" || line["event"] != "store_unavailable" || line["instance"] != "entry-1" || line["count"] != 3.0 {
		t.Fatalf("line %v", line)
	}
	if len(out.String()) > 1000 {
		t.Fatalf("line of %d bytes", out.Len())
	}
	eventlog.Discard().Emit(eventlog.EntryStarted)
}

// Guards against events that are documented but that no code emits.
func TestEveryEventIsEmitted(t *testing.T) {
	source, err := os.ReadFile("catalogue.go")
	if err != nil {
		t.Fatal(err)
	}
	var nonTestSource strings.Builder
	err = filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		nonTestSource.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, match := range regexp.MustCompile(`(?m)^\t([A-Z]\w*) += define\(`).FindAllSubmatch(source, -1) {
		if name := string(match[1]); !regexp.MustCompile(`eventlog\.` + name + `\b`).MatchString(nonTestSource.String()) {
			t.Errorf("event %s is in the catalogue and never emitted", name)
		}
	}
}
