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

// cachedParts remembers which parts of prompts were sent to which replica.
type cachedParts struct {
	mu    sync.Mutex
	parts map[cachedKey]time.Time
}

type cachedKey struct {
	replica Key
	part    uint64
}

func newCachedParts() *cachedParts { return &cachedParts{parts: map[cachedKey]time.Time{}} }

// missing returns the tokens of the parts that the replica has to read. A part is of use only when all parts before it
// are cached too.
func (c *cachedParts) missing(replica Key, parts []Part, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens, whole := 0, true
	for _, part := range parts {
		used, ok := c.parts[cachedKey{replica, xxhash.Sum64String(part.ID)}]
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
		c.parts[cachedKey{replica, xxhash.Sum64String(part.ID)}] = now
	}
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
