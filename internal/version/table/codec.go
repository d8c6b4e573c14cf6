package table

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// byteOrderMark is the UTF-8 byte order mark with which some spreadsheets begin CSV files.
var byteOrderMark = []byte("\xef\xbb\xbf")

// ParseCSV parses a whole table. The header line must name every column, in any order. The error is a *ValidationError.
func ParseCSV(data []byte) ([]Row, error) {
	var found problems
	if len(data) > MaxInputBytes {
		found.add(inputTooLong(len(data)))
		return nil, found.err()
	}
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, byteOrderMark)))
	r.FieldsPerRecord = -1
	header, err := r.Read()
	if err != nil {
		found.add(csvProblem(err))
		return nil, found.err()
	}
	order := headerColumns(header, &found)
	if err := found.err(); err != nil {
		return nil, err
	}
	p := rowParser{found: &found}
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			found.add(csvProblem(err))
			break
		}
		line, _ := r.FieldPos(0)
		p.record(line, order, record)
	}
	return p.done()
}

func inputTooLong(size int) Problem {
	return Problem{Allowed: fmt.Sprintf("the table has %d bytes; allowed: up to %d", size, MaxInputBytes)}
}

func csvProblem(err error) Problem {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		return Problem{Line: parse.Line, Allowed: parse.Err.Error()}
	}
	if errors.Is(err, io.EOF) {
		return Problem{Line: 1, Allowed: "the header line with the column names is missing"}
	}
	return Problem{Allowed: err.Error()}
}

func headerColumns(header []string, found *problems) []*column {
	order := make([]*column, len(header))
	for i, name := range header {
		order[i] = columnByName(strings.TrimSpace(name))
		if order[i] == nil {
			found.add(Problem{Line: 1, Allowed: fmt.Sprintf("unknown column %q; allowed: %s", name, strings.Join(Columns(), ", "))})
		} else if slices.Contains(order[:i], order[i]) {
			found.add(Problem{Line: 1, Allowed: fmt.Sprintf("column %q occurs twice", name)})
		}
	}
	for i := range columns {
		// Accepting a table without a column would reset that column in every row.
		if !slices.Contains(order, &columns[i]) {
			found.add(Problem{Line: 1, Allowed: fmt.Sprintf("column %q is missing", columns[i].name)})
		}
	}
	return order
}

// rowParser converts records to rows, and checks that classes are unique and the number of rows is within its limit.
type rowParser struct {
	found *problems
	rows  []Row
	lines map[string]int
}

func (p *rowParser) record(line int, order []*column, record []string) {
	if len(record) != len(order) {
		p.found.add(Problem{Line: line, Allowed: fmt.Sprintf("%d values; allowed: %d, one for each column", len(record), len(order))})
		return
	}
	var row Row
	for i, c := range order {
		p.value(line, &row, c, strings.TrimSpace(record[i]))
	}
	p.add(line, row)
}

func (p *rowParser) value(line int, row *Row, c *column, text string) {
	if !c.set(row, text) {
		p.found.add(Problem{Line: line, Column: c.name, Value: text, Allowed: c.allowed})
	}
}

func (p *rowParser) add(line int, row Row) {
	if p.lines == nil {
		p.lines = map[string]int{}
	}
	if first, ok := p.lines[row.Class]; ok && row.Class != "" {
		p.found.add(Problem{Line: line, Column: ColumnClass, Value: row.Class, Allowed: fmt.Sprintf("each class once; it is on line %d already", first)})
	} else {
		p.lines[row.Class] = line
	}
	p.rows = append(p.rows, row)
	if len(p.rows) == MaxRows+1 {
		p.found.add(Problem{Line: line, Allowed: fmt.Sprintf("more than %d rows", MaxRows)})
	}
}

func (p *rowParser) done() ([]Row, error) {
	if err := p.found.err(); err != nil {
		return nil, err
	}
	sortRows(p.rows)
	return p.rows, nil
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Class, b.Class) })
}

// FormatCSV encodes the rows as CSV with a header line.
func FormatCSV(rows []Row) []byte {
	var buf bytes.Buffer
	w := csv.NewWriter(&buf)
	_ = w.Write(Columns()) // writing to a bytes.Buffer does not fail
	record := make([]string, len(columns))
	for i := range rows {
		for j := range columns {
			record[j] = columns[j].get(&rows[i])
		}
		_ = w.Write(record)
	}
	w.Flush()
	return buf.Bytes()
}

// rowJSON is the JSON format of a row.
type rowJSON struct {
	Class       string  `json:"class"`
	Owner       string  `json:"owner"`
	Shared      bool    `json:"shared"`
	Priority    int     `json:"priority"`
	Weight      int     `json:"weight"`
	Protected   bool    `json:"protected"`
	TTFTTarget  string  `json:"ttft_target"`
	TokenTarget string  `json:"token_target"`
	MaxWait     string  `json:"max_wait"`
	RequestRate float64 `json:"request_rate"`
	TokenRate   float64 `json:"token_rate"`
	Concurrency int     `json:"concurrency"`
	Timeout     string  `json:"timeout"`
	Hedge       bool    `json:"hedge"`
}

// MarshalJSON implements json.Marshaler, with the column names of the CSV format.
func (r Row) MarshalJSON() ([]byte, error) {
	return json.Marshal(rowJSON{
		Class: r.Class, Owner: r.Owner, Shared: r.Shared, Priority: r.Priority, Weight: r.Weight, Protected: r.Protected,
		TTFTTarget: r.TTFTTarget.String(), TokenTarget: r.TokenTarget.String(), MaxWait: r.MaxWait.String(),
		RequestRate: r.RequestRate, TokenRate: r.TokenRate, Concurrency: r.Concurrency, Timeout: r.Timeout.String(), Hedge: r.Hedge,
	})
}

// versionJSON is the JSON format of a version, used by the operator API and as the value of the store object.
type versionJSON struct {
	Version uint64          `json:"version"`
	Author  string          `json:"author,omitempty"`
	Reason  string          `json:"reason,omitempty"`
	Time    time.Time       `json:"time,omitzero"`
	Edit    string          `json:"edit,omitempty"`
	Rows    json.RawMessage `json:"rows"`
}

// FormatJSON encodes the version as a JSON object with the fields version, author, reason, time, edit and rows.
func FormatJSON(v *Version) ([]byte, error) {
	rows := v.Rows
	if rows == nil {
		rows = []Row{}
	}
	raw, err := json.Marshal(rows)
	if err != nil {
		return nil, err
	}
	return json.Marshal(versionJSON{Version: v.Number, Author: v.Author, Reason: v.Reason, Time: v.Time, Edit: v.Edit, Rows: raw})
}

// ParseJSON parses a whole table in the format of FormatJSON; only the field rows is required. The error is a
// *ValidationError.
func ParseJSON(data []byte) (*Version, error) {
	var found problems
	if len(data) > MaxInputBytes {
		found.add(inputTooLong(len(data)))
		return nil, found.err()
	}
	var form versionJSON
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&form); err != nil {
		found.add(Problem{Line: jsonLine(data, err, dec.InputOffset()), Allowed: err.Error()})
		return nil, found.err()
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		found.add(Problem{Line: lineAt(data, dec.InputOffset()), Allowed: "text after the end of the JSON object"})
		return nil, found.err()
	}
	rows, err := parseRows(data, form.Rows)
	if err != nil {
		return nil, err
	}
	return &Version{Number: form.Version, Author: form.Author, Reason: form.Reason, Time: form.Time, Edit: form.Edit, Rows: rows}, nil
}

// parseRows decodes the rows one by one, so that each problem reports the line of its row.
func parseRows(data []byte, raw json.RawMessage) ([]Row, error) {
	var found problems
	p := rowParser{found: &found}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if open, err := dec.Token(); err != nil || open != json.Delim('[') {
		found.add(Problem{Allowed: "rows must be a list of rows"})
		return nil, found.err()
	}
	start := max(0, bytes.LastIndex(data, raw))
	for dec.More() {
		var fields map[string]any
		err := dec.Decode(&fields)
		line := lineAt(data, int64(start)+dec.InputOffset())
		if err != nil {
			found.add(Problem{Line: line, Allowed: "a row must be an object"})
			break
		}
		p.fields(line, fields)
	}
	return p.done()
}

func (p *rowParser) fields(line int, fields map[string]any) {
	var row Row
	for i := range columns {
		c := &columns[i]
		value, ok := fields[c.name]
		if !ok {
			p.found.add(Problem{Line: line, Allowed: fmt.Sprintf("field %q is missing", c.name)})
			continue
		}
		delete(fields, c.name)
		text, ok := jsonText(c.kind, value)
		if !ok {
			p.found.add(Problem{Line: line, Column: c.name, Value: fmt.Sprint(value), Allowed: c.allowed})
			continue
		}
		p.value(line, &row, c, text)
	}
	unknown := make([]string, 0, len(fields))
	for name := range fields {
		unknown = append(unknown, name)
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		p.found.add(Problem{Line: line, Allowed: fmt.Sprintf("unknown field %q; allowed: %s", name, strings.Join(Columns(), ", "))})
	}
	p.add(line, row)
}

// jsonText returns the value as text if it has the JSON type of the column.
func jsonText(kind valueKind, value any) (string, bool) {
	switch v := value.(type) {
	case string:
		return v, kind == kindText
	case json.Number:
		return v.String(), kind == kindNumber
	case bool:
		return fmt.Sprint(v), kind == kindBool
	default:
		return "", false
	}
}

func jsonLine(data []byte, err error, offset int64) int {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return lineAt(data, syntax.Offset)
	case errors.As(err, &kind):
		return lineAt(data, kind.Offset)
	default:
		return lineAt(data, offset)
	}
}

func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}

// Validate checks rows that were not parsed from text. The error is a *ValidationError.
func Validate(rows []Row) error {
	var found problems
	p := rowParser{found: &found}
	for i := range rows {
		for j := range columns {
			c, row := &columns[j], rows[i]
			if text := c.get(&row); !c.set(&row, text) {
				found.add(Problem{Class: rows[i].Class, Column: c.name, Value: text, Allowed: c.allowed})
			}
		}
		p.add(0, rows[i])
	}
	return found.err()
}
