// Package memory bounds what a process reads ahead, of all bodies together. A bound on each of them is not enough: many peers in
// trouble at the same time send as many bodies without an end.
package memory

import "sync/atomic"

const (
	// ShortBytes is the size up to which a body is short. Bodies in the published deployment specifications have up to 100 kB as
	// requests and 5 kB as responses.
	ShortBytes = 128 << 10
	// DefaultBytes is the size of a Budget without a memory limit of the process.
	DefaultBytes = 64 << 20
	// limitShare is the share of the process's memory limit that may be read ahead. The rest is for the runtime, the program's own
	// state and garbage.
	limitShare = 0.3
	// longShare is the share of the budget that bodies above ShortBytes may use, so that short ones go on when there are many
	// long ones.
	longShare = 0.5
)

// Budget is the memory for bodies that are read ahead. It is safe for concurrent use.
type Budget struct {
	total, longTotal int64
	used             atomic.Int64
	refused          atomic.Int64
}

// NewBudget returns the Budget of a process with the memory limit in bytes; 0 means none.
func NewBudget(limit int64) *Budget {
	total := int64(limitShare * float64(limit))
	if limit <= 0 {
		total = DefaultBytes
	}
	return &Budget{total: total, longTotal: int64(longShare * float64(total))}
}

// Used returns the bytes in use, and Refused how often there was not enough.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how often there was not enough memory.
func (b *Budget) Refused() int64 { return b.refused.Load() }

func (b *Budget) take(n, total int64) bool {
	if b.used.Add(n) <= total {
		return true
	}
	b.used.Add(-n)
	b.refused.Add(1)
	return false
}

// Charge is what one request uses of a Budget. The zero value has no Budget and is not limited. It is not safe for concurrent use.
type Charge struct {
	budget *Budget
	taken  int64
}

// Charge returns a Charge of nothing.
func (b *Budget) Charge() Charge { return Charge{budget: b} }

// Grow takes memory until n bytes are taken. It reports false if there is not enough; what was taken before stays.
func (c *Charge) Grow(n int64) bool {
	if c.budget == nil || n <= c.taken {
		return true
	}
	total := c.budget.total
	if n > ShortBytes {
		total = c.budget.longTotal
	}
	if !c.budget.take(n-c.taken, total) {
		return false
	}
	c.taken = n
	return true
}

// Release returns all memory.
func (c *Charge) Release() {
	if c.taken > 0 {
		c.budget.used.Add(-c.taken)
		c.taken = 0
	}
}
