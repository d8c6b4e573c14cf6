package cli

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/dragonflypin/dragonflypin/internal/version/routes"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
	"github.com/dragonflypin/dragonflypin/platform"
)

// Kinds of configurations.
const (
	kindPlatform = "platform"
	kindTable    = "table"
)

// severities are in the order of the report.
var severities = []routes.Severity{routes.Error, routes.Warning, routes.Note}

type configCheckCommand struct {
	env     environment
	Against string `long:"against" value-name:"SERVER|FILE" description:"compare with the configuration in force: base URL of an edge's (for a table: an entry's) operator API, or a file"`
	Key     string `long:"key" value-name:"KEY" env:"DRAGONFLYPIN_KEY" default-mask:"-" description:"operator key, for --against SERVER"`
	JSON    bool   `long:"json" description:"print the report as JSON"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"configuration of the platform (JSON) or operators' table (CSV or JSON)"`
	} `positional-args:"yes" required:"yes"`
}

// configReport is the result of a check.
type configReport struct {
	File string `json:"file"`
	Kind string `json:"kind"`
	// Sound is set if there are no errors and warnings.
	Sound    bool               `json:"sound"`
	Findings []platform.Finding `json:"findings"`
	Against  string             `json:"against,omitempty"`
	// Differences is null if nothing was compared.
	Differences []platform.Difference `json:"differences"`
}

// Execute implements flags.Commander.
func (c *configCheckCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	data, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	report := configReport{File: c.Args.File, Kind: configurationKind(c.Args.File, data), Against: c.Against, Findings: []platform.Finding{}}
	check := c.checkPlatform
	if report.Kind == kindTable {
		check = c.checkTable
	}
	if err := check(data, &report); err != nil {
		return err
	}
	slices.SortStableFunc(report.Findings, func(a, b platform.Finding) int {
		return cmp.Compare(slices.Index(severities, a.Severity), slices.Index(severities, b.Severity))
	})
	count := map[routes.Severity]int{}
	for _, f := range report.Findings {
		count[f.Severity]++
	}
	report.Sound = count[routes.Error]+count[routes.Warning] == 0
	if err := c.print(&report); err != nil {
		return err
	}
	if !report.Sound {
		return fmt.Errorf("%s: errors: %d, warnings: %d", c.Args.File, count[routes.Error], count[routes.Warning])
	}
	return nil
}

func readConfiguration(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, newUsageError(fmt.Sprintf("configuration file: %v", err))
	}
	return data, nil
}

// configurationKind tells a table, which is CSV or an object with the field rows, from a configuration of the platform.
func configurationKind(name string, data []byte) string {
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) && filepath.Ext(name) != ".json" {
		return kindTable
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) == nil && fields["rows"] != nil && fields["routes"] == nil {
		return kindTable
	}
	return kindPlatform
}

// inForce returns the configuration to compare with: a file, or the response of a server to the call.
func (c *configCheckCommand) inForce(call operatorCall) (data []byte, fromServer bool, err error) {
	if !strings.HasPrefix(c.Against, "http://") && !strings.HasPrefix(c.Against, "https://") {
		data, err = readConfiguration(c.Against)
		return data, false, err
	}
	o := operatorOptions{env: c.env, Server: c.Against, Key: c.Key}
	data, err = o.call(call)
	return data, true, err
}

// checkPlatform checks a configuration of the platform.
func (c *configCheckCommand) checkPlatform(data []byte, report *configReport) error {
	report.Findings = append(report.Findings, platform.CheckConfiguration(data)...)
	if c.Against == "" {
		return nil
	}
	before, fromServer, err := c.inForce(operatorCall{method: http.MethodGet, path: "/configuration"})
	if err != nil {
		return err
	}
	var answer struct {
		Configuration json.RawMessage `json:"configuration"`
		Replicas      map[string]int  `json:"replicas"`
	}
	if fromServer {
		if err := json.Unmarshal(before, &answer); err != nil || answer.Configuration == nil {
			return fmt.Errorf("the response of %s is not a configuration; --against must be an edge for a configuration of the platform", c.Against)
		}
		before = answer.Configuration
	} else if configurationKind(c.Against, before) != kindPlatform {
		return newUsageError(fmt.Sprintf("--against %s is a table, %s is not", c.Against, c.Args.File))
	}
	differences, findings, err := platform.CompareConfigurations(before, data)
	switch {
	case errors.Is(err, platform.ErrNewConfiguration): // the findings say why
		return nil
	case err != nil:
		return newUsageError(fmt.Sprintf("--against %s: %v", c.Against, err))
	}
	report.Findings = append(append(report.Findings, findings...), platform.CheckReplicas(data, answer.Replicas)...)
	report.Differences = differences
	return nil
}

// checkTable checks an operators' table.
func (c *configCheckCommand) checkTable(data []byte, report *configReport) error {
	rows, err := parseTable(data)
	if err != nil {
		report.Findings = append(report.Findings, tableFindings(err)...)
	}
	for _, p := range table.Contradictions(rows) {
		report.Findings = append(report.Findings, tableFinding(routes.Warning, "contradiction", p))
	}
	if c.Against == "" {
		return nil
	}
	before, fromServer, callErr := c.inForce(operatorCall{method: http.MethodGet, path: "/table", query: url.Values{"format": {kindJSON}}})
	if callErr != nil {
		return callErr
	}
	if !fromServer && configurationKind(c.Against, before) != kindTable {
		return newUsageError(fmt.Sprintf("--against %s is not a table, %s is one", c.Against, c.Args.File))
	}
	old, oldErr := parseTable(before)
	if oldErr != nil {
		return newUsageError(fmt.Sprintf("--against %s: %v", c.Against, oldErr))
	}
	if err == nil {
		report.Differences = tableDifferences(table.Diff(old, rows))
	}
	return nil
}

// kindJSON selects the JSON format of a table.
const kindJSON = "json"

func parseTable(data []byte) ([]table.Row, error) {
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return table.ParseCSV(data)
	}
	v, err := table.ParseJSON(data)
	if err != nil {
		return nil, err
	}
	return v.Rows, nil
}

func tableFindings(err error) []platform.Finding {
	var invalid *table.ValidationError
	if !errors.As(err, &invalid) {
		return []platform.Finding{{Severity: routes.Error, Code: "refused", Value: err.Error(), Allowed: "what an entry can read"}}
	}
	var list []platform.Finding
	for _, p := range invalid.Problems {
		list = append(list, tableFinding(routes.Error, "invalid", p))
	}
	return list
}

func tableFinding(severity routes.Severity, code string, p table.Problem) platform.Finding {
	f := platform.Finding{Severity: severity, Code: code, Path: p.Column, Name: p.Class, Value: p.Value, Allowed: p.Allowed}
	if p.Line > 0 {
		f.Path = strings.TrimSpace("line " + strconv.Itoa(p.Line) + " " + p.Column)
	}
	return f
}

// Effects of changes of a table: an entry keeps the row with which it accepted a request.
const (
	effectRowChanged = "requests under way keep the former value; later ones get the new one"
	effectRowAdded   = "later requests of the class are accepted"
	effectRowRemoved = "requests under way complete; later ones of the class are refused"
)

func tableDifferences(changes []table.Change) []platform.Difference {
	list := []platform.Difference{}
	for _, change := range changes {
		switch change.Kind {
		case table.Added:
			list = append(list, platform.Difference{Code: "row_added", Path: "rows", Name: change.Class, After: change.Class, Effect: effectRowAdded})
		case table.Removed:
			list = append(list, platform.Difference{Code: "row_removed", Path: "rows", Name: change.Class, Before: change.Class, Effect: effectRowRemoved})
		case table.Changed:
			for _, column := range change.Columns {
				list = append(list, platform.Difference{Code: "row_changed", Path: column, Name: change.Class,
					Before: change.Before.Value(column), After: change.After.Value(column), Effect: effectRowChanged})
			}
		}
	}
	return list
}

func (c *configCheckCommand) print(report *configReport) error {
	if c.JSON {
		enc := json.NewEncoder(c.env.out)
		enc.SetEscapeHTML(false)
		enc.SetIndent("", "  ")
		return enc.Encode(report)
	}
	var b strings.Builder
	for _, f := range report.Findings {
		_, _ = fmt.Fprintf(&b, "%s %s: ", f.Severity, f.Code)
		writePlace(&b, f.Path, f.Name)
		if f.Value != "" {
			_, _ = fmt.Fprintf(&b, "value %s; ", printable(f.Value))
		}
		_, _ = fmt.Fprintf(&b, "allowed: %s\n", printable(f.Allowed))
	}
	for _, d := range report.Differences {
		_, _ = fmt.Fprintf(&b, "differs %s: ", d.Code)
		writePlace(&b, d.Path, d.Name)
		_, _ = fmt.Fprintf(&b, "%s -> %s; %s\n", absent(d.Before), absent(d.After), d.Effect)
	}
	if report.Differences != nil && len(report.Differences) == 0 {
		b.WriteString("no differences\n")
	}
	if report.Sound {
		_, _ = fmt.Fprintf(&b, "sound: %s (%s)\n", printable(report.File), report.Kind)
	}
	_, err := c.env.out.Write([]byte(b.String()))
	return err
}

func writePlace(b *strings.Builder, path, name string) {
	if name != "" {
		path = strings.TrimSpace(path + " (" + name + ")")
	}
	if path != "" {
		b.WriteString(printable(path) + ": ")
	}
}

func absent(value string) string {
	if value == "" {
		return "none"
	}
	return printable(value)
}

// printable quotes text from a file that would not stay on one line or would control a terminal.
func printable(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}
