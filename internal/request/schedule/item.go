package schedule

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// Policy holds the scheduling values of the table row that a request was admitted under.
type Policy struct {
	// Version is the table version of the row.
	Version uint64
	// Priority is the tier, 1 (highest) to 8.
	Priority uint8
	// Weight is the share inside the tier; 0 counts as 1.
	Weight uint16
	// Protected work is never paused for a lower tier.
	Protected bool
	// TTFTTarget is the target for the time to the first token; 0 means none.
	TTFTTarget time.Duration
	// TokenTarget is the target for the time between tokens; 0 means none.
	TokenTarget time.Duration
	// MaxWait bounds the wait for a slot in every tier; 0 means Config.DefaultMaxWait.
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
	// Arrived is when the request reached the entry, so that time spent there counts as waiting.
	Arrived time.Time
	// Deadline is the caller's deadline for the last byte; zero means none.
	Deadline     time.Time
	PromptTokens int
	// MaxTokens bounds the output; 0 means no bound.
	MaxTokens int
}

// Action is what the caller of Next must do.
type Action uint8

// Actions of a Decision.
const (
	// ActionNone means that nothing can be done before the next event or Decision.Wake.
	ActionNone Action = iota
	// ActionStart gives a slot to a queued item.
	ActionStart
	// ActionResume gives a slot to a paused item.
	ActionResume
	// ActionPause takes the slot of a running item; it stays known and is resumed later.
	ActionPause
	// ActionRefuse drops a queued item that can no longer meet its caller's deadline. It did not run.
	ActionRefuse
)

// Decision is one step of the scheduler. The scheduler has already recorded it when Next returns.
type Decision struct {
	Action Action
	ID     uint64
	// Wake is, for ActionNone, the time at which Next must be called again if no event comes first; zero means never.
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
	// CanPause tells whether the upstream can pause and resume a stream.
	CanPause bool
	// MaxPaused bounds the paused items, because each keeps its KV cache in the engine. Default 2 * Slots.
	MaxPaused int
	// LongTokens is the output length from which a running item counts as long. Default 512 tokens.
	LongTokens int
	// LongShare bounds the share of the slots that long items hold while other work waits. Default 0.125.
	LongShare float64
	// FloorShare bounds the share of the slots that MaxWait gives to lower tiers ahead of higher ones; at least one
	// slot is always available to them. Default 1/16.
	FloorShare float64
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
	if c.FloorShare <= 0 {
		c.FloorShare = 1.0 / 16
	}
	if c.DefaultMaxWait <= 0 {
		c.DefaultMaxWait = time.Minute
	}
	return c
}
