package quarantine

import "time"

// provenParts remembers when parts were last in a sound answer. It keeps the latest maxProven parts at least, in two
// generations: the older one is dropped when the newer one is full.
type provenParts struct {
	newer, older map[string]time.Time
	// announced is when the entries were last told about a part, and unannounced has the suspect parts of which they should be.
	announced   map[string]time.Time
	unannounced map[string]bool
}

func newProvenParts() provenParts {
	return provenParts{newer: map[string]time.Time{}, announced: map[string]time.Time{}, unannounced: map[string]bool{}}
}

// announceInterval is the time after which the other entries are told again that a suspect part was in a sound answer.
const announceInterval = provenTime / 2

// suspected records that a part is suspect, of which this entry may know more than the others.
func (p *provenParts) suspected(id string, now time.Time) {
	if now.Sub(p.at(id)) < provenTime && now.Sub(p.announced[id]) > announceInterval {
		p.unannounced[id] = true
	}
}

// heard records that all entries know of the part.
func (p *provenParts) heard(id string, now time.Time) {
	if len(p.announced) >= maxSuspects {
		clear(p.announced)
	}
	p.announced[id] = now
	delete(p.unannounced, id)
}

func (p *provenParts) record(id string, begun time.Time) {
	if begun.Before(p.at(id)) {
		return
	}
	if len(p.newer) >= maxProven {
		p.newer, p.older = map[string]time.Time{}, p.newer
	}
	p.newer[id] = begun
}

// at returns the beginning of the last sound answer with the part, or the zero time.
func (p *provenParts) at(id string) time.Time {
	if at, ok := p.newer[id]; ok {
		return at
	}
	return p.older[id]
}
