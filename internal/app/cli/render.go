package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
)

// member is one member of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

// render formats a JSON response as text: one line for each member of an object, and a table for each list of objects.
func render(body []byte) string { return renderExcept(body, "") }

// renderExcept is like render but omits one member of the outermost object.
func renderExcept(body []byte, skip string) string {
	var b strings.Builder
	renderValue(&b, "", bytes.TrimSpace(body), skip)
	return b.String()
}

func renderValue(b *strings.Builder, path string, value json.RawMessage, skip string) {
	switch {
	case len(value) == 0:
	case value[0] == '{':
		for _, m := range members(value) {
			if m.name != skip {
				renderValue(b, joinPath(path, m.name), m.value, "")
			}
		}
	case value[0] == '[':
		renderList(b, path, value)
	case path == "":
		b.WriteString(scalar(value) + "\n")
	default:
		b.WriteString(path + ": " + scalar(value) + "\n")
	}
}

func renderList(b *strings.Builder, path string, value json.RawMessage) {
	var items []json.RawMessage
	if json.Unmarshal(value, &items) != nil {
		return
	}
	if len(items) == 0 {
		b.WriteString(strings.TrimLeft(path+": none\n", ": "))
		return
	}
	if items[0][0] != '{' {
		texts := make([]string, len(items))
		for i, item := range items {
			texts[i] = scalar(item)
		}
		b.WriteString(strings.TrimLeft(path+": "+strings.Join(texts, ", "), ": ") + "\n")
		return
	}
	if path != "" {
		b.WriteString(path + ":\n")
	}
	if changes, ok := changedValues(items); ok {
		items = changes
	}
	renderTable(b, items)
}

// tableChange is one changed row of the operators' table.
type tableChange struct {
	Class   string                     `json:"class"`
	Kind    string                     `json:"kind"`
	Columns []string                   `json:"columns"`
	Before  map[string]json.RawMessage `json:"before"`
	After   map[string]json.RawMessage `json:"after"`
}

// changedValue is one changed value, or an added or removed row if the column is empty.
type changedValue struct {
	Class  string          `json:"class"`
	Kind   string          `json:"kind"`
	Column string          `json:"column"`
	Before json.RawMessage `json:"before"`
	After  json.RawMessage `json:"after"`
}

// changedValues converts changes of table rows, which contain the complete rows, to one item for each changed value. It
// returns false if the items are not table changes.
func changedValues(items []json.RawMessage) ([]json.RawMessage, bool) {
	var out []json.RawMessage
	for _, item := range items {
		var c tableChange
		if json.Unmarshal(item, &c) != nil || c.Kind == "" || c.Before == nil && c.After == nil {
			return nil, false
		}
		values := []changedValue{{Class: c.Class, Kind: c.Kind, Before: rowText(c.Before), After: rowText(c.After)}}
		if c.Before != nil && c.After != nil {
			values = nil
			for _, column := range c.Columns {
				values = append(values, changedValue{Class: c.Class, Kind: c.Kind, Column: column, Before: c.Before[column], After: c.After[column]})
			}
		}
		for _, v := range values {
			data, err := json.Marshal(v)
			if err != nil {
				return nil, false
			}
			out = append(out, data)
		}
	}
	return out, true
}

func rowText(row map[string]json.RawMessage) json.RawMessage {
	if row == nil {
		return nil
	}
	data, err := json.Marshal(row)
	if err != nil {
		return nil
	}
	return data
}

func renderTable(b *strings.Builder, items []json.RawMessage) {
	var columns []string
	rows := make([]map[string]string, len(items))
	for i, item := range items {
		rows[i] = make(map[string]string)
		for _, m := range members(item) {
			if !slices.Contains(columns, m.name) {
				columns = append(columns, m.name)
			}
			rows[i][m.name] = scalar(m.value)
		}
	}
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(columns, "\t"))
	for _, row := range rows {
		cells := make([]string, len(columns))
		for i, column := range columns {
			cells[i] = row[column]
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush()
}

// members returns the members of an object in their order in the text.
func members(object json.RawMessage) []member {
	dec := json.NewDecoder(bytes.NewReader(object))
	if _, err := dec.Token(); err != nil {
		return nil
	}
	var list []member
	for dec.More() {
		name, err := dec.Token()
		var m member
		if err != nil || dec.Decode(&m.value) != nil {
			return list
		}
		m.name, _ = name.(string)
		list = append(list, m)
	}
	return list
}

// scalar formats a value on one line; nested objects become NAME=VALUE pairs.
func scalar(value json.RawMessage) string {
	switch {
	case value[0] == '"':
		var text string
		_ = json.Unmarshal(value, &text)
		return oneLine(text)
	case value[0] == '{':
		var parts []string
		for _, m := range members(value) {
			parts = append(parts, m.name+"="+scalar(m.value))
		}
		return strings.Join(parts, " ")
	case value[0] == '[':
		var items []json.RawMessage
		_ = json.Unmarshal(value, &items)
		parts := make([]string, len(items))
		for i, item := range items {
			parts[i] = scalar(item)
		}
		return strings.Join(parts, ", ")
	case string(value) == "null":
		return "-"
	default:
		return string(value)
	}
}

// oneLine replaces control characters, so that text from others cannot inject terminal escape sequences.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
