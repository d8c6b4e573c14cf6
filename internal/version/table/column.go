package table

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Limits of a table and its values.
const (
	// MaxRows ensures that a table fits into one store object and one message between processes.
	MaxRows = 2000
	// MaxInputBytes limits the CSV or JSON text of a table, in bytes.
	MaxInputBytes = 1 << 20
	// MaxDuration limits every duration of a row.
	MaxDuration = 24 * time.Hour
	// MaxRate limits request_rate and token_rate, per second.
	MaxRate = 1e9
	// MaxConcurrency limits concurrency.
	MaxConcurrency = 1_000_000
)

// Column names, in the order of the CSV format.
const (
	ColumnClass       = "class"
	ColumnOwner       = "owner"
	ColumnShared      = "shared"
	ColumnPriority    = "priority"
	ColumnWeight      = "weight"
	ColumnProtected   = "protected"
	ColumnTTFTTarget  = "ttft_target"
	ColumnTokenTarget = "token_target"
	ColumnMaxWait     = "max_wait"
	ColumnRequestRate = "request_rate"
	ColumnTokenRate   = "token_rate"
	ColumnConcurrency = "concurrency"
	ColumnTimeout     = "timeout"
	ColumnHedge       = "hedge"
)

// valueKind is the JSON type of a column's values.
type valueKind int

const (
	kindText valueKind = iota
	kindNumber
	kindBool
)

// column converts one field of a row to and from text.
type column struct {
	name    string
	kind    valueKind
	allowed string
	get     func(r *Row) string
	// set returns false if the text is not an allowed value.
	set func(r *Row, text string) bool
}

const (
	allowedName     = "1 to 63 lower-case letters, digits, '-', '_' or '.', starting with a letter or digit"
	allowedBool     = "true or false"
	allowedTarget   = "a duration from 1ms to 24h with a unit, such as 600ms"
	allowedDuration = "0s or a duration from 1ms to 24h with a unit, such as 600ms"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

var columns = []column{
	nameColumn(ColumnClass, func(r *Row) *string { return &r.Class }),
	nameColumn(ColumnOwner, func(r *Row) *string { return &r.Owner }),
	boolColumn(ColumnShared, func(r *Row) *bool { return &r.Shared }),
	intColumn(ColumnPriority, HighestPriority, LowestPriority, func(r *Row) *int { return &r.Priority }),
	intColumn(ColumnWeight, 1, MaxWeight, func(r *Row) *int { return &r.Weight }),
	boolColumn(ColumnProtected, func(r *Row) *bool { return &r.Protected }),
	durationColumn(ColumnTTFTTarget, time.Millisecond, func(r *Row) *time.Duration { return &r.TTFTTarget }),
	durationColumn(ColumnTokenTarget, 0, func(r *Row) *time.Duration { return &r.TokenTarget }),
	durationColumn(ColumnMaxWait, 0, func(r *Row) *time.Duration { return &r.MaxWait }),
	rateColumn(ColumnRequestRate, func(r *Row) *float64 { return &r.RequestRate }),
	rateColumn(ColumnTokenRate, func(r *Row) *float64 { return &r.TokenRate }),
	intColumn(ColumnConcurrency, 0, MaxConcurrency, func(r *Row) *int { return &r.Concurrency }),
	durationColumn(ColumnTimeout, 0, func(r *Row) *time.Duration { return &r.Timeout }),
	boolColumn(ColumnHedge, func(r *Row) *bool { return &r.Hedge }),
}

// Columns returns the column names in order.
func Columns() []string {
	names := make([]string, len(columns))
	for i := range columns {
		names[i] = columns[i].name
	}
	return names
}

func columnByName(name string) *column {
	for i := range columns {
		if columns[i].name == name {
			return &columns[i]
		}
	}
	return nil
}

func nameColumn(name string, field func(*Row) *string) column {
	return column{
		name: name, kind: kindText, allowed: allowedName,
		get: func(r *Row) string { return *field(r) },
		set: func(r *Row, text string) bool {
			*field(r) = text
			return namePattern.MatchString(text)
		},
	}
}

func boolColumn(name string, field func(*Row) *bool) column {
	return column{
		name: name, kind: kindBool, allowed: allowedBool,
		get: func(r *Row) string { return strconv.FormatBool(*field(r)) },
		set: func(r *Row, text string) bool {
			// Spreadsheets write booleans in upper case.
			text = strings.ToLower(text)
			*field(r) = text == "true"
			return text == "true" || text == "false"
		},
	}
}

func intColumn(name string, low, high int, field func(*Row) *int) column {
	return column{
		name: name, kind: kindNumber, allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		get: func(r *Row) string { return strconv.Itoa(*field(r)) },
		set: func(r *Row, text string) bool {
			n, err := strconv.Atoi(text)
			*field(r) = n
			return err == nil && n >= low && n <= high
		},
	}
}

func rateColumn(name string, field func(*Row) *float64) column {
	return column{
		name: name, kind: kindNumber, allowed: fmt.Sprintf("a number from 0 (no limit) to %.0f", MaxRate),
		get: func(r *Row) string { return strconv.FormatFloat(*field(r), 'f', -1, 64) },
		set: func(r *Row, text string) bool {
			n, err := strconv.ParseFloat(text, 64)
			if err != nil || math.IsNaN(n) || n < 0 || n > MaxRate {
				return false
			}
			*field(r) = n + 0 // converts -0 to 0
			return true
		},
	}
}

func durationColumn(name string, low time.Duration, field func(*Row) *time.Duration) column {
	allowed := allowedDuration
	if low > 0 {
		allowed = allowedTarget
	}
	return column{
		name: name, kind: kindText, allowed: allowed,
		get: func(r *Row) string { return field(r).String() },
		set: func(r *Row, text string) bool {
			d, err := time.ParseDuration(text)
			*field(r) = d
			// Durations are sent to sidecars as whole milliseconds.
			return err == nil && d >= low && d <= MaxDuration && d%time.Millisecond == 0
		},
	}
}
