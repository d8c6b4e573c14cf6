package place

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the record of the engines' prefix caches.
const (
	// cacheRetention is how long a part is expected to stay in a replica's cache after its last use. Engines evict the
	// least recently used parts; at the published sizes their memory holds the shared parts of far more than this time.
	cacheRetention = 30 * time.Second
	// maxCachedParts bounds the recorded parts of all replicas together.
	maxCachedParts = 1 << 16
)

// hintSends is how often a new hint is sent to the other entries, so that losing one datagram does no harm.
const hintSends = 2

// hintResendAge is the age at which a hint is sent again.
const hintResendAge = 8 * time.Second

// CacheHint records that a prompt part was sent to a replica.
type CacheHint struct {
	Replica Key
	// Part is the hash of the part's ID.
	Part uint64
}

// sentTimes are the times at which a part was first and last sent to a replica, without a gap of cacheRetention in
// between.
type sentTimes struct{ first, last time.Time }

func (s sentTimes) cached(now time.Time) bool { return now.Sub(s.last) <= cacheRetention }

// cachedParts records which prompt parts were sent to which replica.
type cachedParts struct {
	mu    sync.Mutex
	parts map[CacheHint]sentTimes
	// replicas are the replicas that each part was sent to.
	replicas map[uint64][]Key
	// pending are the hints still to be sent to the other entries, with the number of sends left.
	pending map[CacheHint]int
}

func newCachedParts() *cachedParts {
	return &cachedParts{parts: map[CacheHint]sentTimes{}, replicas: map[uint64][]Key{}, pending: map[CacheHint]int{}}
}

func (c *cachedParts) record(hint CacheHint, now time.Time) {
	s, known := c.parts[hint]
	if !known {
		c.replicas[hint.Part] = append(c.replicas[hint.Part], hint.Replica)
	}
	if !s.cached(now) {
		s.first = now
	}
	s.last = now
	c.parts[hint] = s
}

func (c *cachedParts) remove(hint CacheHint) {
	delete(c.parts, hint)
	remaining := slices.DeleteFunc(c.replicas[hint.Part], func(k Key) bool { return k == hint.Replica })
	if len(remaining) == 0 {
		delete(c.replicas, hint.Part)
		return
	}
	c.replicas[hint.Part] = remaining
}

// expectedPrefillTime is the time after which a part that was sent to a replica is expected to be prefilled there. With
// 0.4 s, parts were still queued in a burst, and the fetch gained nothing.
const expectedPrefillTime = time.Second

// replicasHolding returns the replicas that are expected to have prefilled the deepest part that other requests share.
func (c *cachedParts) replicasHolding(parts []Part, now time.Time) []Key {
	if len(parts) < 2 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	part := affinityKey(parts)
	var list []Key
	for _, replica := range c.replicas[part] {
		if s := c.parts[CacheHint{replica, part}]; s.cached(now) && now.Sub(s.first) >= expectedPrefillTime {
			list = append(list, replica)
		}
	}
	return list
}

// missingTokens returns the tokens of the parts that the replica has to prefill. A cached part is of use only when all
// parts before it are cached too.
func (c *cachedParts) missingTokens(replica Key, parts []Part, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens, prefixCached := 0, true
	for _, part := range parts {
		prefixCached = prefixCached && c.parts[CacheHint{replica, xxhash.Sum64String(part.ID)}].cached(now)
		if !prefixCached {
			tokens += part.Tokens
		}
	}
	return tokens
}

// recordSent records that the replica prefills the parts. The last part belongs to this request alone and is left out.
func (c *cachedParts) recordSent(replica Key, parts []Part, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range parts[:max(0, len(parts)-1)] {
		hint := CacheHint{replica, xxhash.Sum64String(part.ID)}
		if now.Sub(c.parts[hint].last) > hintResendAge {
			c.pending[hint] = hintSends
		}
		c.record(hint, now)
	}
}

// merge records the hints that another entry sent.
func (c *cachedParts) merge(hints []CacheHint, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hint := range hints {
		c.record(hint, now)
	}
}

// takePending returns the hints to send to the other entries now.
func (c *cachedParts) takePending() []CacheHint {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]CacheHint, 0, len(c.pending))
	for hint, sends := range c.pending {
		list = append(list, hint)
		if sends--; sends == 0 {
			delete(c.pending, hint)
			continue
		}
		c.pending[hint] = sends
	}
	return list
}

func (c *cachedParts) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for hint, s := range c.parts {
		if !s.cached(now) || len(c.parts) > maxCachedParts {
			c.remove(hint)
		}
	}
}
