package table

import "fmt"

// Contradictions returns the values of valid rows that contradict other values of their row. Such a table is valid, but some of its
// values can have no effect.
func Contradictions(rows []Row) []Problem {
	var found problems
	for i := range rows {
		r := &rows[i]
		add := func(column, value, allowed string) {
			found.add(Problem{Class: r.Class, Column: column, Value: value, Allowed: allowed})
		}
		if r.Timeout == 0 { // the entry's default, which the table does not show
			continue
		}
		if r.Timeout < r.TTFTTarget {
			add(ColumnTimeout, r.Timeout.String(), fmt.Sprintf("at least the ttft_target of %s; requests end before they are late", r.TTFTTarget))
		}
		if r.TokenTarget > r.Timeout {
			add(ColumnTokenTarget, r.TokenTarget.String(), fmt.Sprintf("at most the timeout of %s; no pause can be that long", r.Timeout))
		}
		if r.MaxWait >= r.Timeout {
			add(ColumnMaxWait, r.MaxWait.String(), fmt.Sprintf("below the timeout of %s; requests end before they have waited that long", r.Timeout))
		}
	}
	return found.list
}

// Value returns the text of a column of the row, as in the CSV format, or an empty text for an unknown column.
func (r *Row) Value(name string) string {
	if c := columnByName(name); c != nil {
		return c.get(r)
	}
	return ""
}
