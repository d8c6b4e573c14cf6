package schedule

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// Policy contains the scheduling values of the table row that a request was admitted under.
type Policy struct {
	// Version is the table version of the row.
	Version uint64
	// Priority is the tier, 1 (highest) to 8.
	Priority uint8
	// Weight is the deficit round robin weight within the tier; 0 counts as 1.
	Weight uint16
	// Protected items are never paused; they may pause unprotected items of lower tiers.
	Protected bool
	// TTFTTarget is the target for the time to first token; 0 means none.
	TTFTTarget time.Duration
	// TokenTarget is the target for the time between tokens; 0 means none.
	TokenTarget time.Duration
	// MaxWait is the wait for a slot that aging aims to stay below, whatever the tier; 0 means Config.DefaultMaxWait.
	MaxWait time.Duration
}

// FromWire converts the policy of an ask.
func FromWire(p *wire.Policy) Policy {
	return Policy{
		Version:     p.TableVersion,
		Priority:    p.Priority,
		Weight:      p.Weight,
		Protected:   p.Protected,
		TTFTTarget:  time.Duration(p.TTFTTargetMs) * time.Millisecond,
		TokenTarget: time.Duration(p.TokenTargetMs) * time.Millisecond,
		MaxWait:     time.Duration(p.MaxWaitMs) * time.Millisecond,
	}
}

// Item is one queued ask.
type Item struct {
	// ID is unique among the items of a Scheduler; the caller assigns it.
	ID     uint64
	Class  string
	Policy Policy
	// Arrived is when the request reached the entry, so that the time queued there counts as waiting.
	Arrived time.Time
	// Deadline is the caller's deadline for the last byte; zero means none.
	Deadline     time.Time
	PromptTokens int
	// MaxTokens bounds the output length; 0 means no bound.
	MaxTokens int
}

// Action is what the caller of Scheduler.Next must do.
type Action uint8

const (
	// ActionNone means that there is nothing to do before the next event or Decision.Wake.
	ActionNone Action = iota
	// ActionStart starts a queued item in a free slot.
	ActionStart
	// ActionResume resumes a paused item in a free slot.
	ActionResume
	// ActionPause pauses a running item and frees its slot; the item is resumed later.
	ActionPause
	// ActionRefuse refuses a queued item that can no longer meet its caller's deadline. It has not run.
	ActionRefuse
)

// Decision is one scheduling step. Its effect on the Scheduler is applied before Next returns.
type Decision struct {
	Action Action
	ID     uint64
	// Wake is set for ActionNone: the time at which Next must be called again if no event comes first; zero means never.
	Wake time.Time
}

// Stats counts the items of a Scheduler by state.
type Stats struct {
	// Slots is the current concurrency limit.
	Slots   int
	Running int
	Paused  int
	Queued  int
}

// Config sets the bounds of a Scheduler. The zero value of a field selects its default.
type Config struct {
	// Slots is the number of items that run at once, or the initial number when MaxSlots is set. Default 16.
	Slots int
	// MaxSlots enables adaptive concurrency between MinSlots and MaxSlots; 0 keeps Slots fixed.
	MaxSlots int
	// MinSlots is the lower bound of adaptive concurrency. Default 1.
	MinSlots int
	// CanPause reports whether the upstream can pause and resume a stream.
	CanPause bool
	// MaxPaused bounds the paused items, because each one's KV cache stays in the engine. Default 2 * Slots.
	MaxPaused int
	// LongTokens is the output length from which a running item counts as long. Default 512 tokens.
	LongTokens int
	// LongShare bounds the share of the slots that long items use while other items wait. Default 0.125.
	LongShare float64
	// AgedShare bounds the share of the slots that aged items of lower tiers use ahead of higher tiers; at least one slot
	// is always available to them. Default 1/16.
	AgedShare float64
	// DefaultMaxWait is the MaxWait of rows without one. Default 60 s.
	DefaultMaxWait time.Duration
}

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = 16
	}
	if c.MinSlots <= 0 {
		c.MinSlots = 1
	}
	if c.MaxPaused <= 0 {
		c.MaxPaused = 2 * c.Slots
	}
	if c.LongTokens <= 0 {
		c.LongTokens = 512
	}
	if c.LongShare <= 0 {
		c.LongShare = 0.125
	}
	if c.AgedShare <= 0 {
		c.AgedShare = 1.0 / 16
	}
	if c.DefaultMaxWait <= 0 {
		c.DefaultMaxWait = time.Minute
	}
	return c
}
