package table

import (
	"fmt"
	"strings"
)

// maxProblems limits the number of problems that one validation reports.
const maxProblems = 100

// Problem is one validation error of a table.
type Problem struct {
	// Line is the line of the input that contains the value; 0 if the table was not parsed from text.
	Line int `json:"line,omitempty"`
	// Class is the row's class, if known.
	Class string `json:"class,omitempty"`
	// Column is the column's name, if the problem concerns a single value.
	Column string `json:"column,omitempty"`
	// Value is the rejected value.
	Value string `json:"value,omitempty"`
	// Allowed describes the allowed values, or the error if it does not concern a single value.
	Allowed string `json:"allowed"`
}

// String formats the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		_, _ = fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Class != "" {
		_, _ = fmt.Fprintf(&b, "class %q: ", p.Class)
	}
	if p.Column == "" {
		return b.String() + p.Allowed
	}
	_, _ = fmt.Fprintf(&b, "column %s: value %q is not allowed; allowed: %s", p.Column, p.Value, p.Allowed)
	return b.String()
}

// ValidationError reports that a table is not valid.
type ValidationError struct {
	Problems []Problem
}

// Error implements error, with one line per problem.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// problems collects up to maxProblems problems.
type problems struct {
	list []Problem
}

func (p *problems) add(problem Problem) {
	const maxShown = 80
	if len(problem.Value) > maxShown {
		problem.Value = strings.ToValidUTF8(problem.Value[:maxShown], "") + "..."
	}
	if len(p.list) < maxProblems {
		p.list = append(p.list, problem)
	}
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return &ValidationError{Problems: p.list}
}
