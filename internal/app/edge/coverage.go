package edge

import (
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/gossip"
)

// coverage is what this edge has read of the list of replicas and tells the others. Nearly all writes to the list renew an
// entry and change nothing: one edge that reads them spares the others the call, and one that finds a change makes the
// others ask at once. Time is handed in.
type coverage struct {
	mu sync.Mutex
	// changed is set when the call in progress changed the list.
	changed bool
	// listed is the number of calls, the one in progress included, that cover nothing because the whole list was read.
	listed int
	told   gossip.Coverage
	began  time.Time
}

// onChange notes that the call in progress brought a change.
func (c *coverage) onChange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed = true
}

// callsOfList is the number of calls that cover nothing when the list is read: it can hold writes after the revision from
// which it is followed, and the first watch brings them once more without a change.
const callsOfList = 2

// onList notes that the call in progress read the whole list. What the first list of a process holds is no news to others.
func (c *coverage) onList(changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = callsOfList
	c.changed = changed && c.told.To > 0
}

// onRead notes the end of a call that began at the given time and tells all up to the revision.
func (c *coverage) onRead(revision uint64, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed {
		c.told.Found = revision
	}
	if c.changed || c.listed > 0 {
		c.told.From = revision
	}
	c.told.To, c.began = revision, began
	c.changed, c.listed = false, max(0, c.listed-1)
}

// tell returns what the others hear.
func (c *coverage) tell(now time.Time) gossip.Coverage {
	c.mu.Lock()
	defer c.mu.Unlock()
	told := c.told
	told.AgeMs = uint32(min(now.Sub(c.began).Milliseconds(), 1<<31))
	return told
}

const (
	// turnLimit bounds how much longer than the pace an edge waits for others to ask, as a share of the bound on work at
	// replicas that leave. With the pace (700 ms of 2 s) and the time of a call it stays well below the bound.
	turnLimit = 0.25
	// turnCall is the time of a call to the store that the next edge allows for; calls take about 10 ms on the sheets.
	turnCall = 40 * time.Millisecond
)

// turn returns how much longer than the pace an edge waits whose rank among the edges is given. The edge of rank 0 asks;
// when it does not, the next one does after it should have been heard.
func turn(rank int, step, bound time.Duration) time.Duration {
	return min(time.Duration(rank)*step, time.Duration(turnLimit*float64(bound)))
}

// turnStep is the time after which the edge of the next rank takes the turn: until then the one before it would have been
// heard, with the given time between two reports.
func turnStep(interval time.Duration) time.Duration { return interval + turnCall }
