package table

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// ChangeKind is the kind of change of a row.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is the difference of one row between two tables.
type Change struct {
	Class string     `json:"class"`
	Kind  ChangeKind `json:"kind"`
	// Columns are the names of the changed columns, for Changed only.
	Columns []string `json:"columns,omitempty"`
	// Before is nil for Added.
	Before *Row `json:"before,omitempty"`
	// After is nil for Removed.
	After *Row `json:"after,omitempty"`
}

// Diff returns the changes from a to b, sorted by class.
func Diff(a, b []Row) []Change {
	before, after := indexByClass(a), indexByClass(b)
	var changes []Change
	for class, old := range before {
		now := after[class]
		switch {
		case now == nil:
			changes = append(changes, Change{Class: class, Kind: Removed, Before: old})
		case *now != *old:
			changes = append(changes, Change{Class: class, Kind: Changed, Columns: changedColumns(old, now), Before: old, After: now})
		}
	}
	for class, now := range after {
		if before[class] == nil {
			changes = append(changes, Change{Class: class, Kind: Added, After: now})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return strings.Compare(x.Class, y.Class) })
	return changes
}

func indexByClass(rows []Row) map[string]*Row {
	index := make(map[string]*Row, len(rows))
	for i := range rows {
		index[rows[i].Class] = &rows[i]
	}
	return index
}

func changedColumns(a, b *Row) []string {
	var names []string
	for i := range columns {
		if columns[i].get(a) != columns[i].get(b) {
			names = append(names, columns[i].name)
		}
	}
	return names
}

// Rebase applies the changes to the rows of a later version and returns the new rows. A change conflicts if its row differs
// from the state before the change; if any conflicts, Rebase applies none and returns the classes in conflict.
func Rebase(changes []Change, onto []Row) ([]Row, []string) {
	rows := make(map[string]Row, len(onto)+len(changes))
	for i := range onto {
		rows[onto[i].Class] = onto[i]
	}
	var conflicts []string
	for _, c := range changes {
		now, exists := rows[c.Class]
		switch {
		case c.Before == nil && exists, c.Before != nil && (!exists || now != *c.Before):
			conflicts = append(conflicts, c.Class)
		case c.After == nil:
			delete(rows, c.Class)
		default:
			rows[c.Class] = *c.After
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	merged := make([]Row, 0, len(rows))
	for _, row := range rows {
		merged = append(merged, row)
	}
	sortRows(merged)
	return merged, nil
}

// CheckOwnership verifies that the author is allowed to make the changes. Authors may change their own rows and shared
// rows. The owner of a row is fixed, only the owner may share, unshare or remove a row, and a new row must be owned by its
// author. The error is an *OwnershipError.
func CheckOwnership(author string, changes []Change) error {
	var refused []Refusal
	for _, c := range changes {
		if reason := refusal(author, c); reason != "" {
			refused = append(refused, Refusal{Class: c.Class, Reason: reason})
		}
	}
	if len(refused) > 0 {
		return &OwnershipError{Author: author, Refused: refused}
	}
	return nil
}

func refusal(author string, c Change) string {
	switch {
	case c.Kind == Added && c.After.Owner != author:
		return fmt.Sprintf("owner of a new row must be %q, not %q", author, c.After.Owner)
	case c.Kind == Added:
		return ""
	case c.Before.Owner != author && !c.Before.Shared:
		return fmt.Sprintf("the row belongs to %q and is not shared", c.Before.Owner)
	case c.Kind == Removed && c.Before.Owner != author:
		return fmt.Sprintf("only its owner %q may remove a shared row", c.Before.Owner)
	case c.Kind == Removed:
		return ""
	case c.After.Owner != c.Before.Owner:
		return fmt.Sprintf("owner must stay %q", c.Before.Owner)
	case c.After.Shared != c.Before.Shared && c.Before.Owner != author:
		return fmt.Sprintf("only its owner %q may change shared", c.Before.Owner)
	default:
		return ""
	}
}

// Refusal is a change that the author is not allowed to make.
type Refusal struct {
	Class  string `json:"class"`
	Reason string `json:"reason"`
}

// OwnershipError reports changes that the author is not allowed to make.
type OwnershipError struct {
	Author  string
	Refused []Refusal
}

// Error implements error, with one line per row.
func (e *OwnershipError) Error() string {
	lines := make([]string, len(e.Refused))
	for i, r := range e.Refused {
		lines[i] = fmt.Sprintf("class %q: %q may not make this change: %s", r.Class, e.Author, r.Reason)
	}
	return strings.Join(lines, "\n")
}

// RowConflict describes the accepted change with which an edit of the same row conflicts.
type RowConflict struct {
	Class string `json:"class"`
	// Version, Author, Time and Reason describe the accepted change. Version is 0 if the search did not find it within
	// maxHistory versions or could not read the store.
	Version uint64    `json:"version,omitempty"`
	Author  string    `json:"author,omitempty"`
	Time    time.Time `json:"time,omitzero"`
	Reason  string    `json:"reason,omitempty"`
}

// ConflictError reports that other edits changed rows of this edit after its base version. No change was applied.
type ConflictError struct {
	Base, Current uint64
	Conflicts     []RowConflict
}

// Error implements error, with one line per row.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		lines[i] = fmt.Sprintf("class %q was changed since version %d", c.Class, e.Base)
		if c.Version > 0 {
			lines[i] += fmt.Sprintf(" by %s in version %d at %s (%s)", c.Author, c.Version, c.Time.Format(time.RFC3339), c.Reason)
		}
	}
	return strings.Join(lines, "\n")
}
