package route

// meanAlpha is the weight of one observation in the means of a group.
const meanAlpha = 0.02

type groupKey struct{ service, model string }

// group indexes the upstreams of one service that have one model loaded. The group of model "" contains all upstreams
// of the service.
type group struct {
	key groupKey
	// fast lists the eligible upstreams that are not slow; ownZone lists those of them in the entry's own zone.
	fast, ownZone list
	// slow lists the eligible upstreams that are excluded from the sample because of their low decode speed.
	slow list
	// probePosition is the position in slow where the search for an upstream to probe continues.
	probePosition int
	// ownInFlight is the number of this entry's asks and attempts at upstreams whose peerGroup is this group.
	ownInFlight int
	// meanOthersInFlight is a moving average over reports, meanTokens over requests.
	meanOthersInFlight, meanTokens float64
	// meanPrefixTokens is the moving average of Request.PrefixTokens.
	meanPrefixTokens float64
	// meanReportInterval is the moving average of the time between reports of an upstream, in nanoseconds.
	meanReportInterval float64
	// medianInterval is the median decode interval in nanoseconds; 0 means unknown.
	medianInterval float64
	medianAt       int64
	medianKnown    bool
}

// list is a set of upstreams with constant-time random access and removal.
type list struct {
	ids []ID
	pos map[ID]int
}

func (l *list) add(id ID) {
	if l.pos == nil {
		l.pos = make(map[ID]int)
	}
	if _, ok := l.pos[id]; !ok {
		l.pos[id] = len(l.ids)
		l.ids = append(l.ids, id)
	}
}

func (l *list) remove(id ID) {
	i, ok := l.pos[id]
	if !ok {
		return
	}
	last := len(l.ids) - 1
	l.ids[i] = l.ids[last]
	l.pos[l.ids[i]] = i
	l.ids = l.ids[:last]
	delete(l.pos, id)
}

type upstream struct {
	id          ID
	description Upstream
	flags       Flag
	// groups starts with the service's group. peerGroup is the group whose median decode interval the upstream is
	// compared with.
	groups    []*group
	peerGroup *group

	inOwnZone         bool
	slots             int
	ownInFlight       int
	decodingStreams   int
	outstandingTokens int64
	lastTokenAt       int64

	othersInFlight float64
	reportAt       int64
	reported       bool

	decodeState
}

func (p *Picker) group(k groupKey) *group {
	g := p.groups[k]
	if g == nil {
		g = &group{key: k}
		p.groups[k] = g
	}
	return g
}

// addToGroups sets the models of the upstream and adds it to the group of each. The group of its first model becomes
// its peerGroup, or the service's group when it has no model.
func (p *Picker) addToGroups(u *upstream, models []string) {
	u.description.Models = append([]string(nil), models...)
	u.groups = append(u.groups[:0], p.group(groupKey{u.description.Service, ""}))
	for _, m := range models {
		u.groups = append(u.groups, p.group(groupKey{u.description.Service, m}))
	}
	if u.peerGroup != nil {
		u.peerGroup.ownInFlight -= u.ownInFlight
	}
	u.peerGroup = u.groups[min(1, len(u.groups)-1)]
	u.peerGroup.ownInFlight += u.ownInFlight
	p.reindex(u)
}

func (p *Picker) removeFromLists(u *upstream) {
	for _, g := range u.groups {
		g.fast.remove(u.id)
		g.ownZone.remove(u.id)
		g.slow.remove(u.id)
	}
}

func (p *Picker) setModels(u *upstream, models []string) {
	if equal(u.description.Models, models) {
		return
	}
	p.removeFromLists(u)
	u.decodeState = decodeState{}
	p.addToGroups(u, models)
}

// reindex moves the upstream to the lists that match its flags and its slow state.
func (p *Picker) reindex(u *upstream) {
	p.removeFromLists(u)
	if u.flags != 0 {
		return
	}
	for _, g := range u.groups {
		if u.slow {
			g.slow.add(u.id)
			continue
		}
		g.fast.add(u.id)
		if u.inOwnZone {
			g.ownZone.add(u.id)
		}
	}
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
