package limit

import (
	"slices"
	"time"
)

// handoverOverrideTime is how long a handover takes precedence over an instance list that does not show the new owner.
const handoverOverrideTime = 10 * time.Second

// retired is the state of a key that this entry no longer owns.
type retired struct {
	state *ownerState
	until time.Time
}

// ownerOverride is the entry to which a key was handed over before the instance list shows that entry as the owner.
type ownerOverride struct {
	owner string
	until time.Time
}

func (o *Owner) ownerOf(now time.Time, k Key) string {
	if override, ok := o.overrides[k]; ok && now.Before(override.until) {
		return override.owner
	}
	return o.members.owner(k)
}

func (o *Owner) retire(now time.Time, k Key) {
	if s := o.states[k]; s != nil {
		o.retired[k] = retired{state: s, until: now.Add(2 * Lifetime)}
		delete(o.states, k)
	}
}

func (o *Owner) pruneRetired(now time.Time) {
	for k, r := range o.retired {
		if now.After(r.until) {
			delete(o.retired, k)
		}
	}
	for k, override := range o.overrides {
		if now.After(override.until) {
			delete(o.overrides, k)
		}
	}
}

// handOver transfers a key to its new owner. The result is incomplete if an entry other than these two may have owned
// the key within the last Lifetime.
func (o *Owner) handOver(now time.Time, newOwner string, k Key) Handover {
	o.prunePast(now)
	sets := []Members{o.members}
	for _, p := range o.past {
		if p.unknown {
			return Handover{}
		}
		sets = append(sets, p.members)
	}
	for _, m := range sets {
		if owner := m.owner(k); owner != o.self && owner != newOwner {
			return Handover{}
		}
	}
	if o.members.owner(k) == o.self {
		o.retire(now, k)
		o.overrides[k] = ownerOverride{owner: newOwner, until: now.Add(handoverOverrideTime)}
	}
	r, ok := o.retired[k]
	if !ok || now.After(r.until) {
		return Handover{Complete: true}
	}
	if now.Before(r.state.readyAt) {
		return Handover{}
	}
	return o.snapshot(now, r.state)
}

func (o *Owner) snapshot(now time.Time, s *ownerState) Handover {
	s.refill(now, o.refillFraction(now, s))
	h := Handover{Complete: true, Granted: true, Limits: s.limits, Requests: s.requests, Tokens: s.tokens}
	for name, a := range s.allowances {
		h.Allowances = append(h.Allowances, EntryAllowance{
			Instance: name, Requests: a.requests, Tokens: a.tokens, Permits: a.permits, Need: a.need,
			ValidMs: millis(a.expires.Sub(now)),
		})
	}
	return h
}

// handovers returns the calls to the live previous owners of the keys that this entry is taking over.
func (o *Owner) handovers(now time.Time) []Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	var batches []Batch
	index := make(map[string]int)
	for k, s := range o.states {
		if !now.Before(s.readyAt) {
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

// previousOwner returns the other entry that may have granted allowances of the key. It returns "" if there is none, if
// there are several, or if the entry is not live.
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

// applyHandover ends the takeover of the keys whose previous owner transferred their complete state.
func (o *Owner) applyHandover(now time.Time, b *Batch, g *AllowanceGrant) {
	if len(g.Handovers) != len(b.Request.Handover) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, k := range b.Request.Handover {
		if s := o.states[k]; s != nil && g.Handovers[i].Complete && now.Before(s.readyAt) {
			s.restore(now, &g.Handovers[i])
		}
	}
}

// restore continues with the buckets and allowances of the previous owner.
func (s *ownerState) restore(now time.Time, h *Handover) {
	s.refilledAt, s.readyAt = now, now
	switch {
	case h.Granted:
		s.requests, s.tokens = h.Requests, h.Tokens
	case !s.resumedAfterPause:
		s.requests, s.tokens = s.capacity()
	}
	s.resumedAfterPause = false
	for _, a := range h.Allowances {
		current := s.allowances[a.Instance]
		if current == nil {
			current = &allowance{lastReport: now}
			s.allowances[a.Instance] = current
		}
		current.requests, current.tokens = max(current.requests, a.Requests), max(current.tokens, a.Tokens)
		current.permits, current.need = max(current.permits, a.Permits), max(current.need, a.Need)
		if until := now.Add(time.Duration(a.ValidMs) * time.Millisecond); until.After(current.expires) {
			current.lastReport, current.expires = now, until
		}
	}
}
