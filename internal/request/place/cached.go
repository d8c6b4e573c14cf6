package place

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of what is remembered about the engines' caches.
const (
	// cacheMemory is how long a part is expected to stay at a replica after its last use. Engines drop the parts that were
	// used least recently; on the sites their memory holds the shared parts of far more than this time.
	cacheMemory = 30 * time.Second
	// maxCached bounds the parts that are remembered, for all replicas together.
	maxCached = 1 << 16
)

// freshNotes is how often a new note is told to the other entries, so that a lost datagram does no harm.
const freshNotes = 2

// renewNote is the age from which a note is told again.
const renewNote = 8 * time.Second

// Note tells that a part of a prompt was sent to a replica.
type Note struct {
	Replica Key
	// Part is the hash of the part's ID.
	Part uint64
}

// cachedParts remembers which parts of prompts were sent to which replica.
type cachedParts struct {
	mu    sync.Mutex
	parts map[Note]time.Time
	// fresh are notes that the other entries have to hear, with the number of times that are left.
	fresh map[Note]int
}

func newCachedParts() *cachedParts {
	return &cachedParts{parts: map[Note]time.Time{}, fresh: map[Note]int{}}
}

// missing returns the tokens of the parts that the replica has to read. A part is of use only when all parts before it
// are cached too.
func (c *cachedParts) missing(replica Key, parts []Part, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens, whole := 0, true
	for _, part := range parts {
		used, ok := c.parts[Note{replica, xxhash.Sum64String(part.ID)}]
		whole = whole && ok && now.Sub(used) <= cacheMemory
		if !whole {
			tokens += part.Tokens
		}
	}
	return tokens
}

// note remembers that the replica reads the parts. The last part belongs to the request alone and is left out.
func (c *cachedParts) note(replica Key, parts []Part, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range parts[:max(0, len(parts)-1)] {
		n := Note{replica, xxhash.Sum64String(part.ID)}
		if now.Sub(c.parts[n]) > renewNote {
			c.fresh[n] = freshNotes
		}
		c.parts[n] = now
	}
}

// told remembers what other entries sent.
func (c *cachedParts) told(notes []Note, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range notes {
		c.parts[n] = now
	}
}

// takeFresh returns the notes that the other entries have to hear now.
func (c *cachedParts) takeFresh() []Note {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Note, 0, len(c.fresh))
	for n, left := range c.fresh {
		list = append(list, n)
		if left--; left == 0 {
			delete(c.fresh, n)
			continue
		}
		c.fresh[n] = left
	}
	return list
}

func (c *cachedParts) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, used := range c.parts {
		if now.Sub(used) > cacheMemory || len(c.parts) > maxCached {
			delete(c.parts, k)
		}
	}
}
