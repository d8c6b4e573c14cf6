// Package route chooses the upstream of a request. Time and observations are passed in; the package does no I/O.
//
// The Picker has one record per upstream and one index per (service, model) of the upstreams that may receive requests.
// A decision compares a random sample of bounded size, so that its cost does not grow with the number of upstreams.
package route

import (
	"sync"
	"time"
)

// ID identifies an upstream within one Picker. It is not reused after Remove.
type ID int32

// None is the ID of no upstream.
const None ID = 0

// MaxExclude is the number of upstreams that one request can exclude.
const MaxExclude = 4

// Upstream describes an upstream as known from the instance list and from its sidecar's session.
type Upstream struct {
	Instance string
	Service  string
	Zone     string
	// Models are the loaded models; empty for a plain service.
	Models []string
	// Slots is the number of requests that can run concurrently; 0 means unknown until the first Report.
	Slots int
}

// Flag is a reason why an upstream receives no new requests.
type Flag uint8

// Flags. Several can be set at once.
const (
	// Leaving is set when the instance list shows the instance as leaving.
	Leaving Flag = 1 << iota
	// Suspect is set while the session is not up: it is broken, or has stopped responding with requests in flight.
	Suspect
	// Draining is set while the sidecar reports that it drains.
	Draining
	// Unhealthy is set while the sidecar reports that the upstream does not respond.
	Unhealthy
)

// Request contains the properties of a request that the choice depends on.
type Request struct {
	Service string
	// Model is empty for a plain service.
	Model string
	// PrefixHash identifies the prompt's prefix; 0 means none.
	PrefixHash uint64
	// Tokens is the expected number of tokens, prompt plus completion; 1 for a call of a plain service.
	Tokens int
	// PrefixTokens is the part of Tokens that needs no prefill when the prefix is cached.
	PrefixTokens int
	// Protected requests, and those with a much longer prompt than most, are used as probes of slow upstreams only when no
	// other request arrives for some time.
	Protected bool
	// Exclude lists the upstreams already tried; unused elements are None.
	Exclude [MaxExclude]ID
}

// Reason is why the first upstream was chosen.
type Reason uint8

// Reasons of a Choice.
const (
	ReasonNone Reason = iota
	// ReasonCost means the lowest cost of the sample.
	ReasonCost
	// ReasonPrefix means that the prefix is probably cached there.
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
	// Committed is set when First probably has a free slot, so that a single committed ask is enough.
	Committed bool
	Reason    Reason
}

// Report is a load report of a sidecar. It describes a past state.
type Report struct {
	Slots, Running, Paused, Queued int
	// TokensPerSecond is the decode speed of one stream; 0 means not observed.
	TokensPerSecond float64
	// Models replaces the loaded models; nil leaves them.
	Models            []string
	Draining, Healthy bool
}

// InFlightRequest is one ask or attempt in flight at an upstream. Its owner passes it back with every observation.
type InFlightRequest struct {
	ID ID
	// remainingTokens is the number of expected tokens that have not arrived.
	remainingTokens int64
	lastTokenAt     int64
	decoding        bool
	ended           bool
}

// Settings configures a Picker. Zero fields take the defaults.
type Settings struct {
	// Zone is the entry's own availability zone.
	Zone string
	// Seed initializes the random sequence of the sampling; entries must use different seeds.
	Seed uint64
	// SampleOwnZone and SampleAllZones are the numbers of candidates sampled from the own zone and from all zones when
	// other entries cause nearly all the load. Default 1 and 1: with larger samples of stale reports, entries choose the
	// same upstreams.
	SampleOwnZone, SampleAllZones int
	// SampleOwnLoad is added to SampleAllZones in proportion to the share of the load that the entry itself causes and
	// therefore knows exactly. Default 6.
	SampleOwnLoad int
	// SampleFreshReports is added to SampleAllZones while the mean interval of an upstream's reports is at most
	// maxFreshReportAge. Default 2.
	SampleFreshReports int
	// ZonePenalty multiplies the cost of an upstream in another zone. Default 1.1.
	ZonePenalty float64
	// ReportHalfLife is the age at which a report's difference from the group's mean counts by half. Default 200 ms.
	ReportHalfLife time.Duration
	// SlowThreshold and RecoveryThreshold are fractions of the group's median decode speed: an upstream becomes slow below
	// the first and is readmitted above the second. Default 0.5 and 0.75.
	SlowThreshold, RecoveryThreshold float64
	// InitialProbeInterval is the first interval between probes of a slow upstream. It doubles with every probe, up to
	// MaxProbeInterval. Default 500 ms and 4 s.
	InitialProbeInterval, MaxProbeInterval time.Duration
	// MaxPrefixLoad is the maximum load of an upstream chosen by prefix, relative to the sample's mean. Default 1.25.
	MaxPrefixLoad float64
	// MaxPrefixes is the number of prefix entries, rounded up to a power of two. Default 16384.
	MaxPrefixes int
	// Filter, Scorer and Chooser replace the default policy.
	Filter  Filter
	Scorer  Scorer
	Chooser Chooser
}

func (s Settings) withDefaults() Settings {
	setInt(&s.SampleOwnZone, 1)
	setInt(&s.SampleAllZones, 1)
	setInt(&s.SampleOwnLoad, 6)
	setInt(&s.SampleFreshReports, 2)
	setFloat(&s.ZonePenalty, 1.1)
	setDuration(&s.ReportHalfLife, 200*time.Millisecond)
	setFloat(&s.SlowThreshold, 0.5)
	setFloat(&s.RecoveryThreshold, 0.75)
	setDuration(&s.InitialProbeInterval, 500*time.Millisecond)
	setDuration(&s.MaxProbeInterval, 4*time.Second)
	setFloat(&s.MaxPrefixLoad, 1.25)
	setInt(&s.MaxPrefixes, 16384)
	// Two places of the sample are reserved for upstreams that have the prefix cached.
	s.SampleAllZones = min(s.SampleAllZones, (maxSample-2)/2)
	s.SampleOwnZone = min(s.SampleOwnZone, (maxSample-2)/2)
	if s.Filter == nil {
		s.Filter = NotExcluded{}
	}
	if s.Scorer == nil {
		s.Scorer = DrainTime{ZonePenalty: s.ZonePenalty}
	}
	if s.Chooser == nil {
		s.Chooser = PrefixAffinity{MaxLoad: s.MaxPrefixLoad}
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

// Picker tracks the state of upstreams and chooses among them. It is safe for concurrent use.
type Picker struct {
	settings Settings
	base     time.Time

	mu        sync.Mutex
	rng       uint64
	upstreams []*upstream // by ID; nil after Remove
	groups    map[groupKey]*group
	prefixes  prefixCache
	sample    [maxSample]Candidate
}

// New returns a Picker without upstreams. The base time is the earliest time that will be passed in.
func New(base time.Time, settings Settings) *Picker {
	settings = settings.withDefaults()
	return &Picker{
		settings: settings, base: base, rng: settings.Seed,
		upstreams: make([]*upstream, 1),
		groups:    make(map[groupKey]*group),
		prefixes:  newPrefixCache(settings.MaxPrefixes),
	}
}

// Add registers an upstream, which is then eligible.
func (p *Picker) Add(u Upstream) ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := ID(len(p.upstreams))
	up := &upstream{id: id, description: u, slots: u.Slots, inOwnZone: u.Zone == p.settings.Zone}
	p.upstreams = append(p.upstreams, up)
	p.addToGroups(up, u.Models)
	return id
}

// Remove deletes an upstream. Later observations of its requests in flight are ignored.
func (p *Picker) Remove(id ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.get(id); u != nil {
		p.removeFromLists(u)
		u.peerGroup.ownInFlight -= u.ownInFlight
		p.upstreams[id] = nil
	}
}

// SetFlag sets or clears a reason why the upstream receives no new requests.
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

// Report updates the upstream from a load report received at now.
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
	u.othersInFlight = max(0, float64(r.Running+r.Queued)-float64(u.ownInFlight))
	at := p.nanos(now)
	if u.reported {
		u.peerGroup.meanReportInterval += meanAlpha * (float64(at-u.reportAt) - u.peerGroup.meanReportInterval)
	}
	u.reportAt, u.reported = at, true
	u.peerGroup.meanOthersInFlight += meanAlpha * (u.othersInFlight - u.peerGroup.meanOthersInFlight)
	p.setFlag(u, Draining, r.Draining)
	p.setFlag(u, Unhealthy, !r.Healthy)
	p.applyReportedSpeed(u, r.TokensPerSecond)
	p.postponeProbe(u, at, &r)
}

// Begin records that an ask is sent; tokens is the expected number of tokens of its request.
func (p *Picker) Begin(now time.Time, id ID, tokens int) InFlightRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.get(id)
	if u == nil {
		return InFlightRequest{ended: true}
	}
	u.ownInFlight++
	u.peerGroup.ownInFlight++
	u.outstandingTokens += int64(tokens)
	u.peerGroup.meanTokens += meanAlpha * (float64(tokens) - u.peerGroup.meanTokens)
	return InFlightRequest{ID: id, remainingTokens: int64(tokens), lastTokenAt: p.nanos(now)}
}

// Tokens records that n tokens of the request arrived.
func (p *Picker) Tokens(now time.Time, f *InFlightRequest, n int) {
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
		p.observeInterval(u, at, float64(at-f.lastTokenAt)/float64(n))
	} else {
		f.decoding = true
		u.decodingStreams++
	}
	u.lastTokenAt, f.lastTokenAt = at, at
	done := min(f.remainingTokens, int64(n))
	f.remainingTokens -= done
	u.outstandingTokens -= done
}

// End records that the ask or attempt ended, for whatever reason. A second End does nothing.
// For a completed call without tokens, exec is its execution time; 0 otherwise.
func (p *Picker) End(now time.Time, f *InFlightRequest, exec time.Duration) {
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
	u.ownInFlight--
	u.peerGroup.ownInFlight--
	u.outstandingTokens -= f.remainingTokens
	if f.decoding {
		u.decodingStreams--
	} else if exec > 0 {
		p.observeInterval(u, p.nanos(now), float64(exec))
	}
}

// RecordPrefix records that the prefix is now cached at the upstream. Call it when the attempt starts.
func (p *Picker) RecordPrefix(id ID, prefix uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if prefix != 0 {
		p.prefixes.put(prefix, id)
	}
}

// CacheEvent processes a cache event of the upstream. Events are late and can be lost: an added prefix is recorded only
// if no upstream of it is known, and an eviction deletes the prefix only for this upstream.
func (p *Picker) CacheEvent(id ID, prefix uint64, present bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if present {
		p.prefixes.putIfUnknown(prefix, id)
	} else {
		p.prefixes.remove(prefix, id)
	}
}

// View is a snapshot of an upstream's state.
type View struct {
	Upstream
	Flags             Flag
	Slow              bool
	InFlight          int
	OutstandingTokens int64
	// OthersInFlight is the number of other entries' requests in the last report.
	OthersInFlight float64
	// DecodeSpeed is the decode speed of one stream in tokens per second; 0 means not observed.
	DecodeSpeed float64
}

// View returns a snapshot of an upstream's state, and false for an unknown upstream.
func (p *Picker) View(id ID) (View, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.get(id)
	if u == nil {
		return View{}, false
	}
	v := View{
		Upstream: u.description, Flags: u.flags, Slow: u.slow, InFlight: u.ownInFlight,
		OutstandingTokens: u.outstandingTokens, OthersInFlight: u.othersInFlight,
	}
	if u.decodeInterval > 0 {
		v.DecodeSpeed = float64(time.Second) / u.decodeInterval
	}
	return v, true
}

func (p *Picker) get(id ID) *upstream {
	if id <= None || int(id) >= len(p.upstreams) {
		return nil
	}
	return p.upstreams[id]
}

// nanos returns the time since the base time in nanoseconds.
func (p *Picker) nanos(now time.Time) int64 { return int64(now.Sub(p.base)) }

// random returns the next number of a splitmix64 sequence, scaled to be below n.
func (p *Picker) random(n int) int {
	p.rng += 0x9e3779b97f4a7c15
	z := p.rng
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return int((z >> 32) * uint64(n) >> 32)
}
