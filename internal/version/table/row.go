// Package table implements the versioned table of request classes that operators edit: its rows, CSV and JSON formats,
// validation, diff and rebase, publication to the store, and distribution among the entries.
package table

import "time"

// Range of a row's priority.
const (
	HighestPriority = 1
	LowestPriority  = 8
)

// MaxWeight is the largest weight of a row.
const MaxWeight = 1000

// Row is the configuration of one request class.
type Row struct {
	// Class is the unique name of the class.
	Class string
	// Owner is the operator who may edit the row.
	Owner string
	// Shared allows owners other than Owner to edit the row.
	Shared bool
	// Priority is the tier, from 1 (highest) to 8 (lowest).
	Priority int
	// Weight is the class's relative share within its tier, from 1 to 1000.
	Weight int
	// Protected classes are never shed or preempted in favour of a lower tier.
	Protected bool
	// TTFTTarget is the target for the time to first token.
	TTFTTarget time.Duration
	// TokenTarget is the target for the time between two tokens; 0 means none.
	TokenTarget time.Duration
	// MaxWait is the time in the queue after which a request is served regardless of its tier; 0 means that the class sets
	// no limit.
	MaxWait time.Duration
	// RequestRate limits the requests per second of each workspace, summed over all entries; 0 means no limit.
	RequestRate float64
	// TokenRate limits the tokens per second of each workspace, summed over all entries; 0 means no limit.
	TokenRate float64
	// Concurrency limits the requests in flight of each workspace, summed over all entries; 0 means no limit.
	Concurrency int
	// Timeout is the longest time from acceptance of a request to the last byte of its response; 0 means the entry's default.
	Timeout time.Duration
	// Hedge allows hedging of short idempotent requests (a second attempt in parallel), within the hedging budget.
	Hedge bool
}

// Version is one accepted version of the whole table.
type Version struct {
	// Number starts at 1 and increases by one with every accepted change.
	Number uint64
	// Author is the owner whose key applied the change.
	Author string
	// Reason is the author's explanation of the change.
	Reason string
	// Time is the time of acceptance in UTC.
	Time time.Time
	// Edit is the unique ID of the accepted edit. A publisher that did not receive the store's response identifies its own
	// write by it.
	Edit string
	// Rows are sorted by class.
	Rows []Row
}

// Find returns the row of a class.
func (v *Version) Find(class string) (Row, bool) {
	for i := range v.Rows {
		if v.Rows[i].Class == class {
			return v.Rows[i], true
		}
	}
	return Row{}, false
}
