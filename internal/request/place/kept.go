package place

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
)

// Bounds of the record of the engines' prefix caches.
const (
	// cacheRetention is how long a part is expected to stay in the cache of a replica of unknown memory after its last use.
	cacheRetention = 30 * time.Second
	// maxRetention is the same for a replica of known memory, in which parts yield to newer ones only. It bounds what is remembered
	// of replicas that are no longer listed.
	maxRetention = 5 * time.Minute
	// ownSpan is the time for which the parts of prompts that are not shared are recorded as one. It bounds them to a few for each
	// replica.
	ownSpan = 5 * time.Second
	// maxKeptParts bounds the recorded parts of all replicas together.
	maxKeptParts = 1 << 16
)

// hintSends is how often a new hint is sent to the other entries, so that losing one datagram does no harm.
const hintSends = 2

// hintResendAge is the age at which a hint is sent again.
const hintResendAge = 8 * time.Second

// CacheHint records that a prompt part was sent to a replica.
type CacheHint struct {
	Replica Key
	// Part is the hash of the part's ID.
	Part   uint64
	Tokens int
}

func (h CacheHint) at() partAt { return partAt{h.Replica, h.Part} }

// partAt identifies a part at a replica.
type partAt struct {
	replica Key
	part    uint64
}

// keptPart is a part in a replica's cache. The parts of prompts that are not shared have no ID: those of
// an ownSpan are one keptPart.
type keptPart struct {
	at     partAt
	shared bool
	tokens int
	// first and last are when the part was first and last sent there since it was not kept.
	first, last time.Time
	// hinted is when an entry last told the others that it sent the part.
	hinted       time.Time
	newer, older *keptPart
}

// keptMemory is the cache of a replica: a list from the most to the least recently used part.
type keptMemory struct {
	newest, oldest *keptPart
	// own is the latest part that is not shared, or nil.
	own *keptPart
	// tokens is the size of all parts, and capacity that of the memory, or 0 if unknown.
	tokens, capacity int
	startUnixMs      int64
	// listed is set while the replica is in the list.
	listed bool
}

func (m *keptMemory) push(p *keptPart) {
	p.newer, p.older = nil, m.newest
	if m.newest != nil {
		m.newest.newer = p
	} else {
		m.oldest = p
	}
	m.newest = p
	m.tokens += p.tokens
}

func (m *keptMemory) unlink(p *keptPart) {
	if p.newer != nil {
		p.newer.older = p.older
	} else {
		m.newest = p.older
	}
	if p.older != nil {
		p.older.newer = p.newer
	} else {
		m.oldest = p.newer
	}
	m.tokens -= p.tokens
}

// retention is the time for which a part is expected to be kept after its last use.
func (m *keptMemory) retention() time.Duration {
	if m.capacity > 0 {
		return maxRetention
	}
	return cacheRetention
}

// keptParts records which prompt parts each replica keeps. It models what the engines do: the least recently used parts yield when
// the memory is full, to parts of other prompts and to what runs. It answers replicas that receive more different parts than they
// have memory for, and ones that have restarted.
type keptParts struct {
	mu    sync.Mutex
	parts map[partAt]*keptPart
	// replicas are the replicas that keep each part.
	replicas map[uint64][]Key
	memories map[Key]*keptMemory
	// pending are the hints still to be sent to the other entries.
	pending map[partAt]pendingHint
}

// pendingHint is the size of a part and the number of sends left.
type pendingHint struct{ tokens, sends int }

func newKeptParts() *keptParts {
	return &keptParts{parts: map[partAt]*keptPart{}, replicas: map[uint64][]Key{}, memories: map[Key]*keptMemory{}, pending: map[partAt]pendingHint{}}
}

func (k *keptParts) memory(replica Key) *keptMemory {
	m := k.memories[replica]
	if m == nil {
		m = &keptMemory{}
		k.memories[replica] = m
	}
	return m
}

// update sets the memory of a replica. One that has started anew keeps nothing.
func (k *keptParts) update(r *replicas.Replica, capacity int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.memory(KeyOf(r.ID))
	if !replicas.SameStart(m.startUnixMs, r.StartUnixMs) {
		for m.oldest != nil {
			k.remove(m, m.oldest)
		}
	}
	m.startUnixMs, m.capacity, m.listed = r.StartUnixMs, capacity, true
	k.yield(m)
}

// unlist marks all replicas as no longer listed, before the listed ones are updated.
func (k *keptParts) unlist() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range k.memories {
		m.listed = false
	}
}

// kept returns the part if the replica keeps it, or nil.
func (k *keptParts) kept(at partAt, now time.Time) *keptPart {
	p := k.parts[at]
	if p == nil || now.Sub(p.last) > k.memories[at.replica].retention() {
		return nil
	}
	return p
}

// record records that the part was sent to the replica, as its most recently used one.
func (k *keptParts) record(hint CacheHint, now time.Time) *keptPart {
	at, m := hint.at(), k.memory(hint.Replica)
	kept := k.kept(at, now) != nil
	p := k.parts[at]
	if p == nil {
		p = &keptPart{at: at, shared: true}
		k.parts[at] = p
		k.replicas[hint.Part] = append(k.replicas[hint.Part], hint.Replica)
	} else {
		m.unlink(p)
	}
	if !kept {
		p.first = now
	}
	p.last, p.tokens = now, hint.Tokens
	m.push(p)
	k.yield(m)
	return p
}

// recordOwn records the part of a prompt that no other one shares. It fills memory until it yields.
func (k *keptParts) recordOwn(replica Key, tokens int, now time.Time) {
	m := k.memory(replica)
	if m.capacity == 0 {
		return
	}
	if m.own != nil && now.Sub(m.own.first) < ownSpan {
		m.own.tokens += tokens
		m.tokens += tokens
	} else {
		m.own = &keptPart{at: partAt{replica: replica}, tokens: tokens, first: now, last: now}
		m.push(m.own)
	}
	k.yield(m)
}

// yield removes the least recently used parts until the rest fits into memory.
func (k *keptParts) yield(m *keptMemory) {
	for m.capacity > 0 && m.tokens > m.capacity && m.oldest != m.newest {
		k.remove(m, m.oldest)
	}
}

func (k *keptParts) remove(m *keptMemory, p *keptPart) {
	m.unlink(p)
	if !p.shared {
		if m.own == p {
			m.own = nil
		}
		return
	}
	delete(k.parts, p.at)
	remaining := slices.DeleteFunc(k.replicas[p.at.part], func(r Key) bool { return r == p.at.replica })
	if len(remaining) == 0 {
		delete(k.replicas, p.at.part)
		return
	}
	k.replicas[p.at.part] = remaining
}

// expectedPrefillTime is the time after which a part that was sent to a replica is expected to be prefilled there. With
// 0.4 s, parts were still queued in a burst, and the fetch gained nothing.
const expectedPrefillTime = time.Second

// replicasHolding appends to list the replicas that are expected to have prefilled the deepest part that other requests share.
func (k *keptParts) replicasHolding(list []Key, parts []Part, now time.Time) []Key {
	if len(parts) < 2 {
		return list
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	part := affinityKey(parts)
	for _, replica := range k.replicas[part] {
		if p := k.kept(partAt{replica, part}, now); p != nil && now.Sub(p.first) >= expectedPrefillTime {
			list = append(list, replica)
		}
	}
	return list
}

// missingTokens returns the tokens of the parts that the replica has to prefill. A kept part is of use only when all
// parts before it are kept too.
func (k *keptParts) missingTokens(replica Key, parts []Part, now time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	tokens, prefixKept := 0, true
	for _, part := range parts {
		prefixKept = prefixKept && k.kept(partAt{replica, xxhash.Sum64String(part.ID)}, now) != nil
		if !prefixKept {
			tokens += part.Tokens
		}
	}
	return tokens
}

// recordSent records that the replica prefills the parts. The last part belongs to this request alone.
func (k *keptParts) recordSent(replica Key, parts []Part, now time.Time) {
	if len(parts) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	shared, own := parts[:len(parts)-1], parts[len(parts)-1]
	for _, part := range shared {
		hint := CacheHint{replica, xxhash.Sum64String(part.ID), part.Tokens}
		p := k.record(hint, now)
		if now.Sub(p.hinted) > hintResendAge {
			p.hinted = now
			k.pending[hint.at()] = pendingHint{part.Tokens, hintSends}
		}
	}
	k.recordOwn(replica, own.Tokens, now)
}

// merge records the hints that another entry sent.
func (k *keptParts) merge(hints []CacheHint, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, hint := range hints {
		k.record(hint, now).hinted = now
	}
}

// mergeOwn records the part of a prompt of another entry that no other prompt shares.
func (k *keptParts) mergeOwn(replica Key, tokens int, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recordOwn(replica, tokens, now)
}

// takePending returns the hints to send to the other entries now.
func (k *keptParts) takePending() []CacheHint {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]CacheHint, 0, len(k.pending))
	for at, hint := range k.pending {
		list = append(list, CacheHint{at.replica, at.part, hint.tokens})
		if hint.sends--; hint.sends == 0 {
			delete(k.pending, at)
			continue
		}
		k.pending[at] = hint
	}
	// The other entries use the parts in the order in which they get them. A fixed order makes replays repeatable.
	slices.SortFunc(list, func(a, b CacheHint) int {
		return cmp.Or(cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Part, b.Part))
	})
	return list
}

// expire removes parts that are no longer expected to be kept, and the least recently used ones of each replica while there are
// too many.
func (k *keptParts) expire(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for replica, m := range k.memories {
		for m.oldest != nil && (now.Sub(m.oldest.last) > m.retention() || len(k.parts) > maxKeptParts) {
			k.remove(m, m.oldest)
		}
		if m.oldest == nil && !m.listed {
			delete(k.memories, replica)
		}
	}
}

// UpdateMemory sets the KV cache of the replicas of each service, in tokens. It applies to the next list of replicas.
func (p *Placer) UpdateMemory(tokens map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memory = tokens
}
