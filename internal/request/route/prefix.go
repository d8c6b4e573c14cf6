package route

// prefixWays is the number of entries per set; one prefix can occupy two of them.
const prefixWays = 4

type prefixEntry struct {
	hash uint64
	id   ID
	// used orders the entries of a set by last use.
	used uint32
}

// prefixes is a set-associative map of bounded size from prefix hash to at most two upstreams.
type prefixes struct {
	sets  [][prefixWays]prefixEntry
	clock uint32
}

func newPrefixes(size int) prefixes {
	n := 1
	for n*prefixWays < size {
		n *= 2
	}
	return prefixes{sets: make([][prefixWays]prefixEntry, n)}
}

func (p *prefixes) set(hash uint64) *[prefixWays]prefixEntry {
	return &p.sets[(hash*0x9e3779b97f4a7c15>>32)&uint64(len(p.sets)-1)]
}

// find returns up to two upstreams, the more recently used first.
func (p *prefixes) find(hash uint64) (a, b ID) {
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

// put remembers the pair, in place of an older upstream of the prefix or the set's least recently used entry.
func (p *prefixes) put(hash uint64, id ID) {
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

func (p *prefixes) hint(hash uint64, id ID) {
	if a, _ := p.find(hash); a == None && hash != 0 {
		p.put(hash, id)
	}
}

func (p *prefixes) drop(hash uint64, id ID) {
	s := p.set(hash)
	for i := range s {
		if s[i].hash == hash && s[i].id == id {
			s[i] = prefixEntry{}
		}
	}
}
