// Package table holds the operators' table: rows, versions, CSV and JSON forms, validation, difference and rebase.
package table

import "time"

// Priorities of a row.
const (
	HighestPriority = 1
	LowestPriority  = 8
)

// MaxWeight bounds a row's weight.
const MaxWeight = 1000

// Row is one class of requests.
type Row struct {
	// Class is the unique name of the class.
	Class string
	// Owner is the operator who may edit the row.
	Owner string
	// Shared lets both owners edit the row.
	Shared bool
	// Priority is the tier, 1 (highest) to 8 (lowest).
	Priority int
	// Weight is the share inside the tier, 1 to 1000.
	Weight int
	// Protected classes are never shed or preempted to make room for a lower tier.
	Protected bool
	// TTFTTarget is the target for the time to the first token.
	TTFTTarget time.Duration
	// TokenTarget is the target for the time between tokens; 0 means none.
	TokenTarget time.Duration
	// MaxWait bounds the time until a waiting request is served, whatever its tier; 0 means no bound of its own.
	MaxWait time.Duration
	// RequestRate limits requests a second over all entries, per workspace; 0 means no limit.
	RequestRate float64
	// TokenRate limits tokens a second over all entries, per workspace; 0 means no limit.
	TokenRate float64
	// Concurrency limits requests in flight over all entries, per workspace; 0 means no limit.
	Concurrency int
	// Timeout is the longest time from acceptance to the last byte; 0 means the entry's default.
	Timeout time.Duration
	// Hedge allows a second attempt for idempotent short work, within the hedging budget.
	Hedge bool
}

// Version is one accepted state of the table.
type Version struct {
	// Number starts at 1 and grows by one with every accepted change.
	Number uint64
	// Author is the owner whose key applied the change.
	Author string
	// Reason is the author's text.
	Reason string
	// Time is when the change was accepted, UTC.
	Time time.Time
	// Edit is the unique ID of the accepted edit; a publisher that lost the store's answer recognizes its own write by it.
	Edit string
	// Rows are ordered by class.
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
