// Package memory bounds what a process holds for its peers, of all heads, bodies and connections together. A bound on each of them is
// not enough: many peers in trouble at the same time send as many heads or bodies without an end.
package memory

import "sync/atomic"

const (
	// ShortBytes is the size up to which a body, or what is held of a head, is short. Bodies in the published deployment specifications have up to 100 kB as
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

// reclaimAttempts bounds how often memory is taken from others for one Grow: others may take what was returned.
const reclaimAttempts = 4

// Costs of a head in memory, above which it stays until its request has ended: net/http parses it into a map, which is copied for the
// request to a replica and sorted there.
const (
	// headByteCost is the cost of a byte: a long line is held twice while its buffer grows, and once as a string.
	headByteCost = 3
	// headLineCost is the cost of a line, in bytes. A line with its own name took 85 bytes in a map and 82 in each of two copies; the rest is for
	// the list that is sorted.
	headLineCost = 320
)

// HeadCost returns the memory that a head of so many bytes and lines takes, in bytes.
func HeadCost(bytes, lines int) int64 {
	return int64(bytes)*headByteCost + int64(lines)*headLineCost
}

// Budget is the memory for what peers send. It is safe for concurrent use.
type Budget struct {
	total, longTotal int64
	used             atomic.Int64
	refused          atomic.Int64
	// reclaim returns memory of others, of at least so many bytes if it can, and reports whether there was any. It may be nil.
	reclaim func(bytes int64) bool
}

// SetReclaim sets what Grow calls when there is not enough memory for a short body. It must be called before the Budget is used.
func (b *Budget) SetReclaim(reclaim func(bytes int64) bool) { b.reclaim = reclaim }

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

// take never exceeds the total, not even for a moment: others would be refused, or closed to make room, without need.
func (b *Budget) take(n, total int64) bool {
	for {
		used := b.used.Load()
		if used+n > total {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Charge is what one request uses of a Budget. The zero value has no Budget and is not limited. It is not safe for concurrent use.
type Charge struct {
	budget *Budget
	taken  int64
}

// Charge returns a Charge of nothing. Those of a nil Budget are not limited.
func (b *Budget) Charge() Charge { return Charge{budget: b} }

// Grow takes memory until n bytes are taken. It reports false if there is not enough; what was taken before stays.
func (c *Charge) Grow(n int64) bool {
	if c.TryGrow(n) {
		return true
	}
	b := c.budget
	if n <= ShortBytes && b.reclaim != nil {
		for range reclaimAttempts {
			if !b.reclaim(n - c.taken) {
				break
			}
			if c.TryGrow(n) {
				return true
			}
		}
	}
	b.CountRefused()
	return false
}

// CountRefused counts that there was not enough memory.
func (b *Budget) CountRefused() { b.refused.Add(1) }

// TryGrow is Grow without taking memory from others. It does not count as refused.
func (c *Charge) TryGrow(n int64) bool {
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

// Taken returns the memory that is taken, in bytes.
func (c *Charge) Taken() int64 { return c.taken }

// Shrink returns memory until n bytes are taken.
func (c *Charge) Shrink(n int64) {
	if n < c.taken {
		c.budget.used.Add(n - c.taken)
		c.taken = n
	}
}

// Release returns all memory.
func (c *Charge) Release() { c.Shrink(0) }
