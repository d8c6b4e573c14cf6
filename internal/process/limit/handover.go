package limit

import (
	"slices"
	"time"
)

// cedeFor is how long a key that another entry took over stays ceded, if the instance list does not show the change.
const cedeFor = 10 * time.Second

type retired struct {
	ledger *ledger
	until  time.Time
}

// cession records to whom a key was handed over before the instance list shows the change.
type cession struct {
	to    string
	until time.Time
}

func (o *Owner) ownerOf(now time.Time, k Key) string {
	if c, ok := o.ceded[k]; ok && now.Before(c.until) {
		return c.to
	}
	return o.members.owner(k)
}

func (o *Owner) retire(now time.Time, k Key) {
	if l := o.ledgers[k]; l != nil {
		o.retired[k] = retired{ledger: l, until: now.Add(2 * Lifetime)}
		delete(o.ledgers, k)
	}
}

func (o *Owner) pruneRetired(now time.Time) {
	for k, r := range o.retired {
		if now.After(r.until) {
			delete(o.retired, k)
		}
	}
	for k, c := range o.ceded {
		if now.After(c.until) {
			delete(o.ceded, k)
		}
	}
}

// handOver gives up a key to its new owner. It is refused when an entry other than these two may have owned the key
// within the last Lifetime.
func (o *Owner) handOver(now time.Time, to string, k Key) Handover {
	o.prunePast(now)
	sets := []Members{o.members}
	for _, p := range o.past {
		if p.unknown {
			return Handover{}
		}
		sets = append(sets, p.members)
	}
	for _, m := range sets {
		if owner := m.owner(k); owner != o.self && owner != to {
			return Handover{}
		}
	}
	if o.members.owner(k) == o.self {
		o.retire(now, k)
		o.ceded[k] = cession{to: to, until: now.Add(cedeFor)}
	}
	r, ok := o.retired[k]
	if !ok || now.After(r.until) {
		return Handover{Known: true}
	}
	if now.Before(r.ledger.readyAt) {
		return Handover{}
	}
	return o.describe(now, r.ledger)
}

func (o *Owner) describe(now time.Time, l *ledger) Handover {
	l.refill(now, o.rates(now, l))
	h := Handover{Known: true, Lent: true, Limits: l.limits, Requests: l.requests, Tokens: l.tokens}
	for name, held := range l.holdings {
		h.Holdings = append(h.Holdings, Held{
			Instance: name, Requests: held.requests, Tokens: held.tokens, Permits: held.permits, Need: held.need,
			ValidMs: millis(held.expires.Sub(now)),
		})
	}
	return h
}

// handovers returns the calls to live previous owners of the keys that are being taken over.
func (o *Owner) handovers(now time.Time) []Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	var batches []Batch
	index := make(map[string]int)
	for k, l := range o.ledgers {
		if !now.Before(l.readyAt) {
			continue
		}
		previous := o.previousOwner(now, k)
		if previous == "" {
			continue
		}
		i, ok := index[previous]
		if !ok {
			i = len(batches)
			index[previous] = i
			batches = append(batches, Batch{Owner: previous, SentAt: now})
		}
		batches[i].Request.Handover = append(batches[i].Request.Handover, k)
	}
	return batches
}

// previousOwner returns the only other entry that can have lent allowances of the key, if it is live.
func (o *Owner) previousOwner(now time.Time, k Key) string {
	o.prunePast(now)
	previous := ""
	for _, p := range o.past {
		m := p.members
		if p.unknown {
			m = Members{Live: slices.DeleteFunc(slices.Clone(o.members.Live), func(s string) bool { return s == o.self })}
		}
		owner := m.owner(k)
		if owner == o.self {
			continue
		}
		if !o.live[owner] || previous != "" && previous != owner {
			return ""
		}
		previous = owner
	}
	return previous
}

// applyHandover ends the takeover of the keys whose previous owner gave them up.
func (o *Owner) applyHandover(now time.Time, b *Batch, g *AllowanceGrant) {
	if len(g.Handovers) != len(b.Request.Handover) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, k := range b.Request.Handover {
		if l := o.ledgers[k]; l != nil && g.Handovers[i].Known && now.Before(l.readyAt) {
			l.adopt(now, &g.Handovers[i])
		}
	}
}

func (l *ledger) adopt(now time.Time, h *Handover) {
	l.at, l.readyAt = now, now
	switch {
	case h.Lent:
		l.requests, l.tokens = h.Requests, h.Tokens
	case !l.resumed:
		l.requests, l.tokens = l.capacity()
	}
	l.resumed = false
	for _, held := range h.Holdings {
		have := l.holdings[held.Instance]
		if have == nil {
			have = &holding{contact: now}
			l.holdings[held.Instance] = have
		}
		have.requests, have.tokens = max(have.requests, held.Requests), max(have.tokens, held.Tokens)
		have.permits, have.need = max(have.permits, held.Permits), max(have.need, held.Need)
		if until := now.Add(time.Duration(held.ValidMs) * time.Millisecond); until.After(have.expires) {
			have.contact, have.expires = now, until
		}
	}
}
