package engine

import (
	"container/list"
	"hash/fnv"
	"sync"
	"time"
)

// blockTokens is the unit of the prefix cache, in tokens.
const blockTokens = 16

// maxEvents bounds the cache events kept; older ones are lost, as with a real engine's ring.
const maxEvents = 4096

// CacheEvent reports a change of the prefix cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Type is "stored" or "removed".
	Type string `json:"type"`
	// Block is the hash of the block and everything before it.
	Block uint64 `json:"block"`
	at    time.Time
}

// cache holds prompt prefixes as chained blocks and evicts the least recently used one.
type cache struct {
	mu     sync.Mutex
	limit  int
	gap    int
	seq    uint64
	recent *list.List
	blocks map[uint64]*list.Element
	events []CacheEvent
}

func newCache(tokens, gap int) *cache {
	return &cache{limit: tokens / blockTokens, gap: gap, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

// store adds the prompt's blocks and returns the number of leading tokens that were cached already.
func (c *cache) store(words []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, prefix := 0, true
	hash := fnv.New64a()
	for start := 0; start+blockTokens <= len(words); start += blockTokens {
		for _, word := range words[start : start+blockTokens] {
			_, _ = hash.Write([]byte(word))
			_, _ = hash.Write([]byte{0})
		}
		key := hash.Sum64()
		if element, ok := c.blocks[key]; ok {
			c.recent.MoveToFront(element)
			if prefix {
				cached += blockTokens
			}
			continue
		}
		prefix = false
		c.insert(key)
	}
	return cached
}

func (c *cache) insert(key uint64) {
	if c.limit <= 0 {
		return
	}
	for len(c.blocks) >= c.limit {
		oldest := c.recent.Back()
		old := c.recent.Remove(oldest).(uint64)
		delete(c.blocks, old)
		c.event("removed", old)
	}
	c.blocks[key] = c.recent.PushFront(key)
	c.event("stored", key)
}

func (c *cache) event(kind string, block uint64) {
	c.seq++
	if c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	if len(c.events) == maxEvents {
		c.events = append(c.events[:0], c.events[1:]...)
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Type: kind, Block: block, at: time.Now()})
}

// after returns the events with a higher number that are older than lag.
func (c *cache) after(seq uint64, lag time.Duration) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := time.Now().Add(-lag)
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(visible) {
			out = append(out, e)
		}
	}
	return out
}

func (c *cache) used() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.blocks) * blockTokens
}
