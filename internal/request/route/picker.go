// Package route chooses the upstream of a request. Time and observations are handed in; nothing here does I/O.
//
// The Picker keeps one record per upstream and one index per (service, model) of those that may receive work.
// A decision compares a bounded random sample, so that its cost does not grow with the fleet.
package route

import (
	"sync"
	"time"
)

// ID names an upstream within one Picker. It is not used again after Remove.
type ID int32

// None is the ID of no upstream.
const None ID = 0

// MaxExclude bounds the upstreams that one request can exclude.
const MaxExclude = 4

// Upstream describes an upstream as the instance list and the session present it.
type Upstream struct {
	Instance string
	Service  string
	Zone     string
	// Models are the loaded models; empty for a plain service.
	Models []string
	// Slots is the number of requests that run at once; 0 means unknown until the first Report.
	Slots int
}

// Flag is a reason why an upstream receives no new work.
type Flag uint8

// Flags. Several can be set at once.
const (
	// Leaving is set when the instance list shows the instance as leaving.
	Leaving Flag = 1 << iota
	// Suspect is set while the session is silent with work in flight, or broken.
	Suspect
	// Draining is set once the sidecar announced it.
	Draining
	// Unhealthy is set while the sidecar reports that the upstream does not answer.
	Unhealthy
)

// Request is what the choice depends on.
type Request struct {
	Service string
	// Model is empty for a plain service.
	Model string
	// PrefixHash identifies the prompt's prefix; 0 means none.
	PrefixHash uint64
	// Tokens is the expected work, prompt plus completion; 1 for a plain call.
	Tokens int
	// PrefixTokens is the part of Tokens that a cached prefix saves.
	PrefixTokens int
	// Protected requests, and those with a much longer prompt than most, are used as probes of slow upstreams only when no
	// others come.
	Protected bool
	// Exclude lists upstreams already tried.
	Exclude [MaxExclude]ID
}

// Reason tells why the first upstream was chosen.
type Reason uint8

// Reasons of a Choice.
const (
	ReasonNone Reason = iota
	// ReasonCost means the lowest cost of the sample.
	ReasonCost
	// ReasonPrefix means that the prefix was sent there before.
	ReasonPrefix
	// ReasonProbe means a probe of a slow upstream.
	ReasonProbe
	// ReasonOnlySlow means that every eligible upstream is slow.
	ReasonOnlySlow
)

// String returns the reason as used in explain.
func (r Reason) String() string {
	switch r {
	case ReasonCost:
		return "lowest_cost"
	case ReasonPrefix:
		return "prefix"
	case ReasonProbe:
		return "probe"
	case ReasonOnlySlow:
		return "only_slow"
	default:
		return "none"
	}
}

// Choice is the result of Pick. First is None when no upstream is eligible.
type Choice struct {
	First ID
	// Second is a different upstream for the second ask, or None.
	Second ID
	// Committed is set when First is believed to have a free slot, so that one ask with the body is enough.
	Committed bool
	Reason    Reason
}

// Report is a lagging load report of a sidecar.
type Report struct {
	Slots, Running, Paused, Queued int
	// TokensPerSecond is the pace of one stream; 0 means not observed.
	TokensPerSecond float64
	// Models replaces the loaded models; nil leaves them.
	Models            []string
	Draining, Healthy bool
}

// Flight is one ask or attempt at an upstream. Its holder passes it back with every observation.
type Flight struct {
	ID ID
	// remaining is the part of the expected tokens that has not been observed.
	remaining int64
	last      int64
	decoding  bool
	ended     bool
}

// Settings of a Picker. Zero fields take the defaults.
type Settings struct {
	// Zone is the entry's own availability zone.
	Zone string
	// Seed starts the sampling sequence; entries must use different seeds.
	Seed uint64
	// SampleZone and SampleAny are the numbers of candidates drawn from the own zone and from all zones when other
	// entries cause nearly all the load. Default 1 and 1: larger samples of lagging reports made entries choose the
	// same upstreams.
	SampleZone, SampleAny int
	// SampleOwn is added in proportion to the part of the load that is the entry's own and therefore known exactly.
	// Default 6.
	SampleOwn int
	// SampleFresh is added while reports of an upstream follow each other within freshReport. Default 2.
	SampleFresh int
	// ZonePenalty multiplies the cost of an upstream in another zone. Default 1.1.
	ZonePenalty float64
	// ReportHalfLife is the age at which half of a report's difference from the mean is believed. Default 200 ms.
	ReportHalfLife time.Duration
	// SlowBelow and FastAbove are fractions of the peers' median pace: an upstream becomes slow below the first
	// and is readmitted above the second. Default 0.5 and 0.75.
	SlowBelow, FastAbove float64
	// ProbeEvery is the first interval between probes of a slow upstream; it doubles up to ProbeMax. Default 500 ms and 4 s.
	ProbeEvery, ProbeMax time.Duration
	// PrefixLoad bounds the load of an upstream chosen by prefix, relative to the sample's mean. Default 1.25.
	PrefixLoad float64
	// Prefixes is the number of remembered prefixes. Default 16384.
	Prefixes int
	// Filter, Scorer and Chooser replace the default policy.
	Filter  Filter
	Scorer  Scorer
	Chooser Chooser
}

func (s Settings) withDefaults() Settings {
	setInt(&s.SampleZone, 1)
	setInt(&s.SampleAny, 1)
	setInt(&s.SampleOwn, 6)
	setInt(&s.SampleFresh, 2)
	setFloat(&s.ZonePenalty, 1.1)
	setDuration(&s.ReportHalfLife, 200*time.Millisecond)
	setFloat(&s.SlowBelow, 0.5)
	setFloat(&s.FastAbove, 0.75)
	setDuration(&s.ProbeEvery, 500*time.Millisecond)
	setDuration(&s.ProbeMax, 4*time.Second)
	setFloat(&s.PrefixLoad, 1.25)
	setInt(&s.Prefixes, 16384)
	// Two places of the sample are for upstreams that hold the prefix.
	s.SampleAny = min(s.SampleAny, (maxSample-2)/2)
	s.SampleZone = min(s.SampleZone, (maxSample-2)/2)
	if s.Filter == nil {
		s.Filter = NotExcluded{}
	}
	if s.Scorer == nil {
		s.Scorer = DrainTime{ZonePenalty: s.ZonePenalty}
	}
	if s.Chooser == nil {
		s.Chooser = CheapestWithPrefix{MaxLoad: s.PrefixLoad}
	}
	return s
}

func setInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func setFloat(v *float64, d float64) {
	if *v == 0 {
		*v = d
	}
}

func setDuration(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}

// Picker chooses upstreams and keeps what is known about them. It is safe for concurrent use.
type Picker struct {
	set  Settings
	base time.Time

	mu     sync.Mutex
	rng    uint64
	ups    []*upstream // by ID; nil after Remove
	groups map[groupKey]*group
	prefix prefixes
	sample [maxSample]Candidate
}

// New returns an empty Picker. The base time is the earliest time that will be handed in.
func New(base time.Time, set Settings) *Picker {
	set = set.withDefaults()
	return &Picker{
		set: set, base: base, rng: set.Seed,
		ups:    make([]*upstream, 1),
		groups: make(map[groupKey]*group),
		prefix: newPrefixes(set.Prefixes),
	}
}

// Add makes an upstream known and eligible.
func (p *Picker) Add(u Upstream) ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := ID(len(p.ups))
	up := &upstream{id: id, info: u, slots: u.Slots, zoneIsOwn: u.Zone == p.set.Zone}
	p.ups = append(p.ups, up)
	p.join(up, u.Models)
	return id
}

// Remove forgets an upstream. Later observations of its flights are ignored.
func (p *Picker) Remove(id ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.get(id); u != nil {
		p.leave(u)
		u.home.inflight -= u.inflight
		p.ups[id] = nil
	}
}

// SetFlag sets or clears a reason why the upstream receives no new work.
func (p *Picker) SetFlag(id ID, f Flag, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.get(id); u != nil {
		p.setFlag(u, f, on)
	}
}

func (p *Picker) setFlag(u *upstream, f Flag, on bool) {
	before := u.flags
	if on {
		u.flags |= f
	} else {
		u.flags &^= f
	}
	if u.flags != before {
		p.reindex(u)
	}
}

// Report takes in a load report received at now.
func (p *Picker) Report(now time.Time, id ID, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.get(id)
	if u == nil {
		return
	}
	if r.Slots > 0 {
		u.slots = r.Slots
	}
	if r.Models != nil {
		p.setModels(u, r.Models)
	}
	u.others = max(0, float64(r.Running+r.Queued)-float64(u.inflight))
	at := p.nanos(now)
	if u.reported {
		u.home.reportGap += meanAlpha * (float64(at-u.reportAt) - u.home.reportGap)
	}
	u.reportAt, u.reported = at, true
	u.home.meanOthers += meanAlpha * (u.others - u.home.meanOthers)
	p.setFlag(u, Draining, r.Draining)
	p.setFlag(u, Unhealthy, !r.Healthy)
	p.reportedPace(u, r.TokensPerSecond)
	p.stillSlow(u, at, &r)
}

// Begin records that an ask is sent; tokens is its expected work.
func (p *Picker) Begin(now time.Time, id ID, tokens int) Flight {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.get(id)
	if u == nil {
		return Flight{ended: true}
	}
	u.inflight++
	u.home.inflight++
	u.outstanding += int64(tokens)
	u.home.meanTokens += meanAlpha * (float64(tokens) - u.home.meanTokens)
	return Flight{ID: id, remaining: int64(tokens), last: p.nanos(now)}
}

// Tokens records that n tokens of the flight arrived.
func (p *Picker) Tokens(now time.Time, f *Flight, n int) {
	if n <= 0 || f.ended {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.get(f.ID)
	if u == nil {
		return
	}
	at := p.nanos(now)
	if f.decoding {
		p.observe(u, at, float64(at-f.last)/float64(n))
	} else {
		f.decoding = true
		u.decoding++
	}
	u.lastToken, f.last = at, at
	done := min(f.remaining, int64(n))
	f.remaining -= done
	u.outstanding -= done
}

// End records that the ask or attempt ended, for whatever reason. A second End of a flight does nothing.
// For a completed call without tokens, exec is its execution time; 0 otherwise.
func (p *Picker) End(now time.Time, f *Flight, exec time.Duration) {
	if f.ended {
		return
	}
	f.ended = true
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.get(f.ID)
	if u == nil {
		return
	}
	u.inflight--
	u.home.inflight--
	u.outstanding -= f.remaining
	if f.decoding {
		u.decoding--
	} else if exec > 0 {
		p.observe(u, p.nanos(now), float64(exec))
	}
}

// Sent remembers that the prefix is now cached at the upstream. Call it when the attempt starts.
func (p *Picker) Sent(id ID, prefix uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if prefix != 0 {
		p.prefix.put(prefix, id)
	}
}

// CacheHint takes in a cache event. Events are late and have gaps: an added prefix is remembered only if nothing is
// known about it, and an evicted one only forgets this upstream.
func (p *Picker) CacheHint(id ID, prefix uint64, present bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if present {
		p.prefix.hint(prefix, id)
	} else {
		p.prefix.drop(prefix, id)
	}
}

// View is a copy of what is known about an upstream.
type View struct {
	Upstream
	Flags             Flag
	Slow              bool
	InFlight          int
	OutstandingTokens int64
	// OthersInFlight is the last reported load that is not this entry's own.
	OthersInFlight float64
	// Pace is in tokens/s of one stream; 0 means not observed.
	Pace float64
}

// View returns a copy of what is known about an upstream.
func (p *Picker) View(id ID) (View, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.get(id)
	if u == nil {
		return View{}, false
	}
	v := View{
		Upstream: u.info, Flags: u.flags, Slow: u.slow, InFlight: u.inflight,
		OutstandingTokens: u.outstanding, OthersInFlight: u.others,
	}
	if u.perToken > 0 {
		v.Pace = float64(time.Second) / u.perToken
	}
	return v, true
}

func (p *Picker) get(id ID) *upstream {
	if id <= None || int(id) >= len(p.ups) {
		return nil
	}
	return p.ups[id]
}

func (p *Picker) nanos(now time.Time) int64 { return int64(now.Sub(p.base)) }

// random returns the next number of a splitmix64 sequence, below n.
func (p *Picker) random(n int) int {
	p.rng += 0x9e3779b97f4a7c15
	z := p.rng
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return int((z >> 32) * uint64(n) >> 32)
}
