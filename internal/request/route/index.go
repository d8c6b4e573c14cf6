package route

// meanAlpha is the weight of one observation in the means of a group.
const meanAlpha = 0.02

type groupKey struct{ service, model string }

// group indexes the upstreams of one service that hold one model. The group of model "" holds the whole service.
type group struct {
	key groupKey
	// fast and own hold eligible upstreams: all of them, and those of the entry's own zone.
	fast, own list
	// slow holds eligible upstreams that are excluded from the sample because of their pace.
	slow list
	// probeNext is the position in slow where the search for a due probe continues.
	probeNext int
	// inflight is the entry's own work at upstreams whose home is this group.
	inflight int
	// meanOthers and meanTokens are running means over the group's upstreams and requests.
	meanOthers, meanTokens float64
	// meanPrefix is the running mean of Request.PrefixTokens.
	meanPrefix float64
	// reportGap is a running mean of the time between reports of an upstream, in nanoseconds.
	reportGap float64
	// perToken is the median time per token in nanoseconds; 0 means unknown.
	perToken   float64
	medianAt   int64
	medianSeen bool
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
	id    ID
	info  Upstream
	flags Flag
	// groups holds the service's group first; home is the group whose pace the upstream is compared with.
	groups []*group
	home   *group

	zoneIsOwn   bool
	slots       int
	inflight    int
	decoding    int
	outstanding int64
	lastToken   int64

	others   float64
	reportAt int64
	reported bool

	paceState
}

func (p *Picker) group(k groupKey) *group {
	g := p.groups[k]
	if g == nil {
		g = &group{key: k}
		p.groups[k] = g
	}
	return g
}

func (p *Picker) join(u *upstream, models []string) {
	u.info.Models = append([]string(nil), models...)
	u.groups = append(u.groups[:0], p.group(groupKey{u.info.Service, ""}))
	for _, m := range models {
		u.groups = append(u.groups, p.group(groupKey{u.info.Service, m}))
	}
	if u.home != nil {
		u.home.inflight -= u.inflight
	}
	u.home = u.groups[min(1, len(u.groups)-1)]
	u.home.inflight += u.inflight
	p.reindex(u)
}

func (p *Picker) leave(u *upstream) {
	for _, g := range u.groups {
		g.fast.remove(u.id)
		g.own.remove(u.id)
		g.slow.remove(u.id)
	}
}

func (p *Picker) setModels(u *upstream, models []string) {
	if equal(u.info.Models, models) {
		return
	}
	p.leave(u)
	u.paceState = paceState{}
	p.join(u, models)
}

// reindex moves the upstream to the lists that its flags and pace call for.
func (p *Picker) reindex(u *upstream) {
	p.leave(u)
	if u.flags != 0 {
		return
	}
	for _, g := range u.groups {
		if u.slow {
			g.slow.add(u.id)
			continue
		}
		g.fast.add(u.id)
		if u.zoneIsOwn {
			g.own.add(u.id)
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
