package route

// prefixWays is the associativity of a prefixCache: the entries per set. One prefix can occupy two of them.
const prefixWays = 4

type prefixEntry struct {
	hash uint64
	id   ID
	// used is the clock value of the last put, which orders the entries of a set for eviction.
	used uint32
}

// prefixCache is a set-associative map of bounded size from prefix hash to at most two upstreams.
type prefixCache struct {
	sets  [][prefixWays]prefixEntry
	clock uint32
}

func newPrefixCache(size int) prefixCache {
	n := 1
	for n*prefixWays < size {
		n *= 2
	}
	return prefixCache{sets: make([][prefixWays]prefixEntry, n)}
}

func (p *prefixCache) set(hash uint64) *[prefixWays]prefixEntry {
	return &p.sets[(hash*0x9e3779b97f4a7c15>>32)&uint64(len(p.sets)-1)]
}

// find returns up to two upstreams of the prefix, the more recently used first.
func (p *prefixCache) find(hash uint64) (a, b ID) {
	var ua uint32
	s := p.set(hash)
	for i := range s {
		switch e := &s[i]; {
		case e.hash != hash || e.id == None:
		case a == None:
			a, ua = e.id, e.used
		case e.used > ua:
			a, b = e.id, a
		default:
			b = e.id
		}
	}
	return a, b
}

// put records that the upstream has the prefix. It replaces the older of two upstreams of the prefix, or else the set's
// least recently used entry.
func (p *prefixCache) put(hash uint64, id ID) {
	p.clock++
	s := p.set(hash)
	oldest, oldestSame, same := 0, -1, 0
	for i := range s {
		e := &s[i]
		if e.hash == hash && e.id == id {
			e.used = p.clock
			return
		}
		if e.hash == hash && e.id != None {
			same++
			if oldestSame < 0 || e.used < s[oldestSame].used {
				oldestSame = i
			}
		}
		if e.used < s[oldest].used {
			oldest = i
		}
	}
	if same >= 2 {
		oldest = oldestSame
	}
	s[oldest] = prefixEntry{hash: hash, id: id, used: p.clock}
}

// putIfUnknown records that the upstream has the prefix, unless an upstream of the prefix is known.
func (p *prefixCache) putIfUnknown(hash uint64, id ID) {
	if a, _ := p.find(hash); a == None && hash != 0 {
		p.put(hash, id)
	}
}

func (p *prefixCache) remove(hash uint64, id ID) {
	s := p.set(hash)
	for i := range s {
		if s[i].hash == hash && s[i].id == id {
			s[i] = prefixEntry{}
		}
	}
}
