package engine

import (
	"container/list"
	"hash/fnv"
	"sync"
	"time"
)

// blockTokens is the block size of the prefix cache, in tokens.
const blockTokens = 16

// maxEvents bounds the stored cache events; older ones are dropped, as in the ring buffer of a real engine.
const maxEvents = 4096

// CacheEvent reports a change of the prefix cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Type is "stored" or "removed".
	Type string `json:"type"`
	// Block is the hash of the block and of all blocks before it in the prompt.
	Block uint64 `json:"block"`
	at    time.Time
}

// cache stores prompt prefixes as blocks that are keyed by the hash of the prompt up to their end. It evicts the least recently
// used block.
type cache struct {
	mu        sync.Mutex
	maxBlocks int
	// dropEvery drops every dropEvery-th event; 0 or less drops none.
	dropEvery int
	seq       uint64
	// lru has the most recently used block at its front.
	lru    *list.List
	blocks map[uint64]*list.Element
	events []CacheEvent
}

func newCache(tokens, dropEvery int) *cache {
	return &cache{maxBlocks: tokens / blockTokens, dropEvery: dropEvery, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// store adds the full blocks of a prompt and returns the number of leading tokens that were in the cache before.
func (c *cache) store(words []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, inPrefix := 0, true
	hash := fnv.New64a()
	for start := 0; start+blockTokens <= len(words); start += blockTokens {
		for _, word := range words[start : start+blockTokens] {
			_, _ = hash.Write([]byte(word))
			_, _ = hash.Write([]byte{0})
		}
		key := hash.Sum64()
		if element, ok := c.blocks[key]; ok {
			c.lru.MoveToFront(element)
			if inPrefix {
				cached += blockTokens
			}
			continue
		}
		inPrefix = false
		c.insert(key)
	}
	return cached
}

func (c *cache) insert(key uint64) {
	if c.maxBlocks <= 0 {
		return
	}
	for len(c.blocks) >= c.maxBlocks {
		oldest := c.lru.Back()
		evicted := c.lru.Remove(oldest).(uint64)
		delete(c.blocks, evicted)
		c.addEvent("removed", evicted)
	}
	c.blocks[key] = c.lru.PushFront(key)
	c.addEvent("stored", key)
}

func (c *cache) addEvent(kind string, block uint64) {
	c.seq++
	if c.dropEvery > 0 && c.seq%uint64(c.dropEvery) == 0 {
		return
	}
	if len(c.events) == maxEvents {
		c.events = append(c.events[:0], c.events[1:]...)
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Type: kind, Block: block, at: time.Now()})
}

// eventsAfter returns the events with a sequence number above seq that are at least lag old.
func (c *cache) eventsAfter(seq uint64, lag time.Duration) []CacheEvent {
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

func (c *cache) usedTokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.blocks) * blockTokens
}
