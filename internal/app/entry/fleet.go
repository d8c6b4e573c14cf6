package entry

import (
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/peer"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/membership"
	"github.com/dragonflypin/dragonflypin/internal/request/attempt"
	"github.com/dragonflypin/dragonflypin/internal/request/route"
)

const (
	// initialProbeInterval and maxProbeInterval are the first and the longest interval between probes of a slow
	// upstream. They are long because each probe is a request that is served slowly.
	initialProbeInterval, maxProbeInterval = 10 * time.Second, time.Minute
	// zonePenalty multiplies the cost of an upstream in another availability zone.
	zonePenalty = 1.1
)

// maxCommittedBodyBytes limits the body of a committed ask, whose frame also contains the header.
const maxCommittedBodyBytes = 256 << 10

// fleet manages the sidecars that this entry has sessions to, and selects upstreams for requests.
type fleet struct {
	node   *peer.Node
	picker *route.Picker

	mu       sync.RWMutex
	members  map[string]*member
	byID     map[route.ID]*member
	services map[string]*service
	changed  chan struct{}
}

// service is the state of one service.
type service struct {
	name    string
	owner   string
	kind    string
	members int
	// models counts the members that serve each model.
	models map[string]int
}

// member is one sidecar of the subset that this entry connects to.
type member struct {
	fleet *fleet
	name  string
	info  membership.Instance
	state membership.State
	id    route.ID
	link  *peer.Link
	load  atomic.Pointer[wire.Load]
	// models are those of the last load report; guarded by fleet.mu.
	models []string
}

func newFleet(zone, instance string) *fleet {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance))
	return &fleet{
		picker: route.New(time.Now(), route.Settings{
			Zone: zone, Seed: h.Sum64(), InitialProbeInterval: initialProbeInterval, MaxProbeInterval: maxProbeInterval,
			Scorer: route.SlotWait{DrainTime: route.DrainTime{ZonePenalty: zonePenalty}},
		}),
		members: map[string]*member{}, byID: map[route.ID]*member{}, services: map[string]*service{},
		changed: make(chan struct{}),
	}
}

// update connects to the wanted sidecars. Other members get no new requests, and their sessions are closed once they have
// no request in flight. Listed instances that are leaving keep their session, because they may become live again.
func (f *fleet) update(wanted, leaving []membership.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	keep := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		keep[w.Instance.Instance] = true
		f.put(w)
	}
	for _, l := range leaving {
		if f.members[l.Instance.Instance] != nil {
			keep[l.Instance.Instance] = true
			f.put(l)
		}
	}
	for name, m := range f.members {
		if keep[name] {
			continue
		}
		f.picker.SetFlag(m.id, route.Leaving, true)
		m.state = membership.Leaving
		if s := m.link.Session(); s == nil || s.InFlight() == 0 {
			f.remove(name, m)
		}
	}
	f.broadcast()
}

// identity returns the service of a member and the service's owner.
func (f *fleet) identity(name string) (service, owner string) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if m := f.members[name]; m != nil {
		return m.info.Service, m.info.Owner
	}
	return "", ""
}

func (f *fleet) contains(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.members[name] != nil
}

func (f *fleet) put(w membership.Member) {
	name := w.Instance.Instance
	m := f.members[name]
	if m != nil && (m.info.Service != w.Service || m.info.Zone != w.Zone) {
		f.remove(name, m)
		m = nil
	}
	if m == nil {
		m = &member{fleet: f, name: name}
		m.id = f.picker.Add(route.Upstream{Instance: name, Service: w.Service, Zone: w.Zone})
		f.picker.SetFlag(m.id, route.Suspect, true) // until its session is up
		f.members[name], f.byID[m.id] = m, m
		f.service(w.Instance).members++
	}
	m.info, m.state = w.Instance, w.Combined
	m.link = f.node.Connect(peer.Identity{Role: wire.RoleSidecar, Instance: name}, w.Address)
	f.picker.SetFlag(m.id, route.Leaving, w.Combined == membership.Leaving)
}

func (f *fleet) service(i membership.Instance) *service {
	s := f.services[i.Service]
	if s == nil {
		s = &service{name: i.Service, owner: i.Owner, kind: i.Kind, models: map[string]int{}}
		f.services[i.Service] = s
	}
	return s
}

func (f *fleet) remove(name string, m *member) {
	delete(f.members, name)
	delete(f.byID, m.id)
	f.setModels(m, nil)
	f.services[m.info.Service].members--
	f.picker.Remove(m.id)
	f.node.Disconnect(name)
}

// setModels updates the number of members by model. The caller must hold f.mu.
func (f *fleet) setModels(m *member, models []string) {
	s := f.services[m.info.Service]
	for _, model := range m.models {
		if s.models[model]--; s.models[model] == 0 {
			delete(s.models, model)
		}
	}
	m.models = models
	for _, model := range models {
		s.models[model]++
	}
}

// broadcast wakes the requests that wait for a change. The caller must hold f.mu.
func (f *fleet) broadcast() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (f *fleet) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

func (f *fleet) onLoad(from peer.Identity, load *wire.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[from.Instance]
	if m == nil {
		return
	}
	m.load.Store(load)
	if !slices.Equal(m.models, load.Models) {
		f.setModels(m, load.Models)
	}
	f.picker.Report(time.Now(), m.id, route.Report{
		Slots: load.Slots, Running: load.Running, Paused: load.Paused, Queued: load.Queued,
		TokensPerSecond: load.TokensPerSecond, Models: load.Models, Draining: load.Draining, Healthy: load.Healthy,
	})
	f.broadcast()
}

func (f *fleet) onState(of peer.Identity, state peer.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[of.Instance]; m != nil {
		f.picker.SetFlag(m.id, route.Suspect, state != peer.StateUp)
		f.broadcast()
	}
}

// servesModel reports whether any connected engine serves the model.
func (f *fleet) servesModel(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, s := range f.services {
		if s.models[name] > 0 {
			return true
		}
	}
	return false
}

// models returns all served models, each with the alphabetically first owner of the services that serve it.
func (f *fleet) models() map[string]string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := map[string]string{}
	for _, s := range f.services {
		for model := range s.models {
			if owner, known := all[model]; !known || s.owner < owner {
				all[model] = s.owner
			}
		}
	}
	return all
}

// isPlainService reports whether a plain service exists. It may currently have no members.
func (f *fleet) isPlainService(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	s := f.services[name]
	return s != nil && s.kind == membership.KindPlain
}

// Choose implements attempt.Chooser. A call of a plain service names the service. For a model, the services of the
// workspace's owner are preferred if they have a free slot or if no other service has one.
func (f *fleet) Choose(now time.Time, r *attempt.Request, failed []string) attempt.Choice {
	f.mu.RLock()
	defer f.mu.RUnlock()
	query := route.Request{
		Model: r.Ask.Model, PrefixHash: r.Ask.PrefixHash, Tokens: max(1, int(r.Ask.PromptTokens+r.Ask.MaxTokens)),
		PrefixTokens: int(r.Ask.PromptTokens),
		Protected:    r.Ask.Policy.Protected,
	}
	n := 0
	for _, name := range failed {
		if m := f.members[name]; m != nil && n < route.MaxExclude {
			query.Exclude[n] = m.id
			n++
		}
	}
	var best route.Choice
	var service string
	for _, s := range f.candidates(r) {
		query.Service = s
		c := f.picker.Pick(now, &query)
		if c.First != route.None && (best.First == route.None || c.Committed) {
			best, service = c, s
		}
		if best.Committed {
			break
		}
	}
	return f.attemptChoice(r, &query, best, service)
}

// attemptChoice converts the picker's choice to targets. The ask is committed, so that it goes to one target and
// carries the body, if a free slot is likely and the body is small enough. A free slot is likely if the picker expects
// one or if no other request waits, unless a sidecar has already refused a committed ask of this request.
func (f *fleet) attemptChoice(r *attempt.Request, query *route.Request, c route.Choice, service string) attempt.Choice {
	first := f.byID[c.First]
	if first == nil {
		return attempt.Choice{}
	}
	committed := (c.Committed || r.OnlyWaiter) && !r.Saturated && len(r.Body) <= maxCommittedBodyBytes
	choice := attempt.Choice{Reason: c.Reason.String() + " in " + service, Committed: committed}
	choice.Targets = append(choice.Targets, &target{member: first, link: first.link, tokens: query.Tokens, prefix: query.PrefixHash})
	if second := f.byID[c.Second]; second != nil && !choice.Committed {
		choice.Targets = append(choice.Targets, &target{member: second, link: second.link, tokens: query.Tokens, prefix: query.PrefixHash})
	}
	return choice
}

// candidates returns the services that can run the request, those of the workspace's owner first.
func (f *fleet) candidates(r *attempt.Request) []string {
	if r.Service != "" {
		return []string{r.Service}
	}
	var own, others []string
	for _, s := range f.services {
		switch {
		case s.models[r.Ask.Model] == 0:
		case s.owner == r.Ask.Owner:
			own = append(own, s.name)
		default:
			others = append(others, s.name)
		}
	}
	slices.Sort(own)
	slices.Sort(others)
	return append(own, others...)
}

// target is a chosen sidecar. Its streams update the load counts of the picker.
type target struct {
	member *member
	link   *peer.Link
	tokens int
	prefix uint64
}

// Name implements attempt.Upstream.
func (t *target) Name() string { return t.member.name }

// Open implements attempt.Upstream.
func (t *target) Open() (attempt.Stream, error) {
	s := t.link.Session()
	if s == nil {
		return nil, peer.ErrUnreachable
	}
	st, err := s.Open()
	if err != nil {
		return nil, err
	}
	p := t.member.fleet.picker
	return &countedStream{Stream: st, target: t, picker: p, inFlight: p.Begin(time.Now(), t.member.id, t.tokens)}, nil
}

// countedStream reports the start, tokens and end of a request to the picker.
type countedStream struct {
	*peer.Stream
	target   *target
	picker   *route.Picker
	ended    atomic.Bool
	inFlight route.InFlightRequest
	execTime time.Duration
}

// Recv implements attempt.Stream.
func (s *countedStream) Recv() (wire.Message, error) {
	m, err := s.Stream.Recv()
	switch m := m.(type) {
	case *wire.Started:
		s.picker.RecordPrefix(s.target.member.id, s.target.prefix)
	case *wire.Chunk:
		if m.Tokens > 0 {
			s.picker.Tokens(time.Now(), &s.inFlight, int(m.Tokens))
		}
	case *wire.Done:
		if m.Outcome == wire.DoneCompleted && m.CompletionTokens == 0 {
			s.execTime = time.Duration(m.ExecMs) * time.Millisecond
		}
	}
	return m, err
}

// Close implements attempt.Stream.
func (s *countedStream) Close() {
	s.Stream.Close()
	s.end()
}

// Abort implements attempt.Stream.
func (s *countedStream) Abort() {
	s.Stream.Abort()
	s.end()
}

func (s *countedStream) end() {
	if s.ended.CompareAndSwap(false, true) {
		s.picker.End(time.Now(), &s.inFlight, s.execTime)
	}
}

// upstreamStatuses returns the status of the members, sorted by instance name.
func (f *fleet) upstreamStatuses() []UpstreamStatus {
	f.mu.RLock()
	defer f.mu.RUnlock()
	list := make([]UpstreamStatus, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, m.status())
	}
	slices.SortFunc(list, func(a, b UpstreamStatus) int { return strings.Compare(a.Instance, b.Instance) })
	return list
}

func (m *member) status() UpstreamStatus {
	u := UpstreamStatus{
		Instance: m.info.Instance, Service: m.info.Service, Owner: m.info.Owner, Kind: m.info.Kind, Zone: m.info.Zone,
		State: m.state.String(), Session: peer.StateDown.String(),
	}
	if s := m.link.Session(); s != nil {
		u.Session = peer.StateUp.String()
		if s.Suspect() {
			u.Session, u.State = peer.StateSuspect.String(), membership.Suspect.String()
		}
	}
	if v, ok := m.fleet.picker.View(m.id); ok {
		u.Slow, u.InFlight = v.Slow, v.InFlight
	}
	if load := m.load.Load(); load != nil {
		u.Slots, u.Running, u.Paused, u.Queued = load.Slots, load.Running, load.Paused, load.Queued
		u.Models, u.Healthy = load.Models, load.Healthy
		if load.Draining {
			u.State = membership.Leaving.String()
		}
	}
	return u
}
