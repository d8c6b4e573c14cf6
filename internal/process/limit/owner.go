package limit

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// burstTime is the capacity of a rate bucket, as a time at the limit's rate.
	burstTime = time.Second
	// pauseThreshold is the longest gap between ticks of a running process. After a longer one, the process counts as
	// paused and another entry may have replaced it as owner.
	pauseThreshold = time.Second
	// sidecarCancelTime is the time after an entry stops responding within which the sidecars cancel its requests.
	sidecarCancelTime = 3 * time.Second
	// permitRetryAfter is the Retry-After of a request that exceeds the concurrency limit.
	permitRetryAfter = 250 * time.Millisecond
	// idleExpiry is the idle time after which the state of a key is deleted: every bucket is full, as in a new state.
	idleExpiry = time.Minute
)

// Owner grants the allowances of the keys that this entry owns. It is safe for concurrent use.
type Owner struct {
	self  string
	clock func() time.Time
	codec Codec

	mu      sync.Mutex
	members Members
	live    map[string]bool
	past    []pastMembers
	// started is set by AssumeFresh or the first SetMembers.
	started bool
	states  map[Key]*ownerState
	// retired is the state of keys that another entry owns now and may request.
	retired map[Key]retired
	// overrides are the keys handed over to an entry before this entry's members showed that entry as the owner.
	overrides map[Key]ownerOverride
	// lastSeq is the Seq of the last batch processed, by entry.
	lastSeq  map[string]uint64
	lastTick time.Time
	// lastSweep is when Tick last deleted the state of idle keys.
	lastSweep time.Time
}

// pastMembers is an earlier membership whose owners' allowances may still be valid.
type pastMembers struct {
	members Members
	// unknown is set when the members are not known, after a start or a pause of this process.
	unknown bool
	until   time.Time
}

// ownerState is the owner's state of one key.
type ownerState struct {
	limits           Limits
	requests, tokens float64
	refilledAt       time.Time
	// readyAt is when all allowances of earlier owners have expired.
	readyAt time.Time
	// resumedAfterPause is set when this process owned the key before it was paused.
	resumedAfterPause bool
	allowances        map[string]*allowance
}

// allowance is the allowance that one entry has.
type allowance struct {
	requests, tokens    float64
	permits, need       int
	lastReport, expires time.Time
}

// NewOwner returns the Owner of the entry named self. The clock is time.Now, or virtual in tests.
func NewOwner(self string, clock func() time.Time, codec Codec) *Owner {
	return &Owner{
		self: self, clock: clock, codec: codec,
		live: make(map[string]bool), states: make(map[Key]*ownerState), retired: make(map[Key]retired),
		overrides: make(map[Key]ownerOverride), lastSeq: make(map[string]uint64),
	}
}

// AssumeFresh declares that no entry ran within the last Lifetime, so that keys of the first members need no takeover.
// Call it before SetMembers, and only where all entries start at the same time.
func (o *Owner) AssumeFresh() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started = true
}

// SetMembers replaces the live entries and retires the keys that this entry no longer owns.
func (o *Owner) SetMembers(now time.Time, m Members) {
	o.mu.Lock()
	defer o.mu.Unlock()
	onlySelf := len(m.Live) == 1 && m.Live[0] == o.self
	if len(o.members.Live) > 0 || !o.started && !onlySelf {
		o.past = append(o.past, pastMembers{members: o.members, unknown: !o.started, until: now.Add(Lifetime)})
	}
	o.started, o.members = true, m
	o.live = make(map[string]bool, len(m.Live))
	for _, name := range m.Live {
		o.live[name] = true
	}
	o.prunePast(now)
	for k := range o.states {
		if m.owner(k) != o.self {
			o.retire(now, k)
		}
	}
	for k := range o.overrides {
		if m.owner(k) != o.self {
			delete(o.overrides, k)
		}
	}
}

func (o *Owner) prunePast(now time.Time) {
	stillValid := o.past[:0]
	for _, p := range o.past {
		if now.Before(p.until) {
			stillValid = append(stillValid, p)
		}
	}
	o.past = stillValid
}

// Tick detects a pause of the process and deletes the state of idle keys. Call it every 100 ms.
func (o *Owner) Tick(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.detectPause(now)
	o.lastTick = now
	if now.Sub(o.lastSweep) < idleExpiry {
		return
	}
	o.lastSweep = now
	for k, s := range o.states {
		o.prune(now, s)
		if len(s.allowances) == 0 && now.Sub(s.refilledAt) > idleExpiry {
			delete(o.states, k)
		}
	}
	o.pruneRetired(now)
	for name := range o.lastSeq {
		if !o.live[name] {
			delete(o.lastSeq, name)
		}
	}
}

// detectPause starts a takeover of every key after a pause, because another entry may have owned the key meanwhile.
func (o *Owner) detectPause(now time.Time) {
	if o.lastTick.IsZero() || now.Sub(o.lastTick) <= pauseThreshold {
		return
	}
	o.lastTick = now
	o.past = append(o.past, pastMembers{unknown: true, until: now.Add(Lifetime)})
	for _, s := range o.states {
		s.takeOver(now.Add(Lifetime))
		s.resumedAfterPause = true
	}
}

// Handle is the handler of Method; from is the instance name in the sender's verified certificate.
func (o *Owner) Handle(_ context.Context, from string, payload []byte) ([]byte, error) {
	var r AllowanceRequest
	if err := o.codec.Unmarshal(payload, &r); err != nil {
		return nil, fmt.Errorf("decode allowance request of %s: %w", from, err)
	}
	g := o.Grant(o.clock(), from, &r)
	return o.codec.Marshal(&g)
}

// Grant processes one batch of demands and handover requests.
func (o *Owner) Grant(now time.Time, from string, r *AllowanceRequest) AllowanceGrant {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.detectPause(now)
	var g AllowanceGrant
	stale := r.Seq != 0 && r.Seq <= o.lastSeq[from]
	if r.Seq != 0 && !stale {
		o.lastSeq[from] = r.Seq
	}
	for i := range r.Demands {
		if stale {
			g.Grants = append(g.Grants, Grant{Status: StatusStale})
			continue
		}
		g.Grants = append(g.Grants, o.grant(now, from, &r.Demands[i]))
	}
	for _, k := range r.Handover {
		g.Handovers = append(g.Handovers, o.handOver(now, from, k))
	}
	return g
}

func (o *Owner) grant(now time.Time, from string, d *Demand) Grant {
	if !d.valid() {
		return Grant{Status: StatusNotOwner}
	}
	if owner := o.ownerOf(now, d.key()); owner != o.self {
		return Grant{Status: StatusNotOwner, Owner: owner}
	}
	s := o.state(now, d)
	o.prune(now, s)
	s.refill(now, o.refillFraction(now, s))
	s.credit(d)
	takingOver := now.Before(s.readyAt)
	if d.idle() {
		delete(s.allowances, from)
		if takingOver {
			return Grant{Status: StatusTakingOver}
		}
		return Grant{Status: StatusGranted}
	}
	a := s.recordReport(now, from, d)
	if takingOver {
		return Grant{Status: StatusTakingOver, Permits: d.Permits, RetryMs: millis(s.readyAt.Sub(now))}
	}
	g := Grant{Status: StatusGranted}
	s.grantRequests(now, a, d, &g)
	s.grantTokens(now, a, d, &g)
	o.grantPermits(now, s, a, d, &g)
	if d.Once {
		delete(s.allowances, from)
	}
	return g
}

// valid reports whether a Limiter can have sent the values; a faulty entry must not corrupt a bucket.
func (d *Demand) valid() bool {
	for _, v := range []float64{d.Limits.Requests, d.Limits.Tokens, d.UnusedRequests, d.UnusedTokens, d.WantRequests, d.WantTokens, d.NeedTokens} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	for _, v := range []float64{d.ReturnRequests, d.ReturnTokens} {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return d.InUse >= 0 && d.Permits >= 0 && d.Waiting >= 0 && d.Spare >= 0 && d.Limits.Concurrency >= 0
}

func (o *Owner) state(now time.Time, d *Demand) *ownerState {
	k := d.key()
	s := o.states[k]
	if s == nil {
		s = &ownerState{limits: d.Limits, refilledAt: now, allowances: make(map[string]*allowance)}
		s.requests, s.tokens = s.capacity()
		if ready := o.readyAt(now, k); ready.After(now) {
			s.takeOver(ready)
		}
		o.states[k] = s
	}
	if d.Limits.Version > s.limits.Version {
		s.limits = d.Limits
	}
	return s
}

// readyAt returns when the allowances of every earlier owner of the key have expired.
func (o *Owner) readyAt(now time.Time, k Key) time.Time {
	ready := now
	o.prunePast(now)
	for _, p := range o.past {
		if (p.unknown || p.members.owner(k) != o.self) && p.until.After(ready) {
			ready = p.until
		}
	}
	return ready
}

// takeOver empties the buckets until ready: allowances of the earlier owner count as used.
func (s *ownerState) takeOver(ready time.Time) {
	s.requests, s.tokens = math.Min(s.requests, 0), math.Min(s.tokens, 0)
	s.refilledAt, s.readyAt = ready, ready
}

// prune deletes the allowances of entries that are no longer live and whose requests the sidecars have cancelled.
func (o *Owner) prune(now time.Time, s *ownerState) {
	for name, a := range s.allowances {
		if !o.live[name] && now.After(a.expires) && now.After(a.lastReport.Add(sidecarCancelTime)) {
			delete(s.allowances, name)
		}
	}
}

func (s *ownerState) capacity() (requests, tokens float64) {
	return math.Max(1, s.limits.Requests*burstTime.Seconds()), s.limits.Tokens * burstTime.Seconds()
}

// refillFraction is the fraction of the rate limits that this owner may grant. It excludes the shares of live entries
// whose allowances expired without a report, because they fall back to their share, and the shares of entries on the
// other side of a partition.
func (o *Owner) refillFraction(now time.Time, s *ownerState) float64 {
	n := o.members.entryCount()
	unreachable := n - len(o.members.Live)
	for name, a := range s.allowances {
		if now.After(a.expires) && o.live[name] {
			unreachable++
		}
	}
	return math.Max(0, 1-float64(unreachable)/float64(n))
}

func (s *ownerState) refill(now time.Time, fraction float64) {
	seconds := now.Sub(s.refilledAt).Seconds()
	if seconds <= 0 {
		return
	}
	s.refilledAt = now
	maxRequests, maxTokens := s.capacity()
	s.requests = math.Min(maxRequests, s.requests+fraction*s.limits.Requests*seconds)
	s.tokens = math.Min(maxTokens, s.tokens+fraction*s.limits.Tokens*seconds)
}

// credit adds returned allowances to the buckets, up to their capacity.
func (s *ownerState) credit(d *Demand) {
	maxRequests, maxTokens := s.capacity()
	s.requests = math.Min(maxRequests, s.requests+d.ReturnRequests)
	s.tokens = math.Min(maxTokens, s.tokens+d.ReturnTokens)
}

// recordReport replaces the recorded allowance of an entry by the one that it reports.
func (s *ownerState) recordReport(now time.Time, from string, d *Demand) *allowance {
	a := s.allowances[from]
	if a == nil {
		a = &allowance{}
		s.allowances[from] = a
	}
	a.requests, a.tokens, a.permits = d.UnusedRequests, d.UnusedTokens, max(d.Permits, d.InUse)
	a.need = d.InUse + d.Waiting
	a.lastReport, a.expires = now, now.Add(Lifetime)
	return a
}

// outstanding is the sum of the valid unused allowances.
func (s *ownerState) outstanding(now time.Time) (requests, tokens float64) {
	for _, a := range s.allowances {
		if now.Before(a.expires) {
			requests += a.requests
			tokens += a.tokens
		}
	}
	return requests, tokens
}

// grantRequests grants whole requests. All unused allowances together stay within the bucket's capacity.
func (s *ownerState) grantRequests(now time.Time, a *allowance, d *Demand, g *Grant) {
	if s.limits.Requests <= 0 {
		return
	}
	capacity, _ := s.capacity()
	outstanding, _ := s.outstanding(now)
	g.Requests = math.Max(0, math.Floor(min(math.Ceil(d.WantRequests), s.requests, capacity-outstanding)))
	s.requests -= g.Requests
	a.requests += g.Requests
	if g.Requests < d.WantRequests {
		g.RetryMs = max(g.RetryMs, millis(seconds((1-s.requests)/s.limits.Requests)))
	}
}

// grantTokens grants the largest waiting reservation whenever the bucket is not empty, and lets the bucket become
// negative: otherwise a reservation above the capacity would wait forever.
func (s *ownerState) grantTokens(now time.Time, a *allowance, d *Demand, g *Grant) {
	if s.limits.Tokens <= 0 {
		return
	}
	_, capacity := s.capacity()
	_, outstanding := s.outstanding(now)
	g.Tokens = math.Max(0, min(d.WantTokens, s.tokens, capacity-outstanding))
	if need := d.NeedTokens - d.UnusedTokens; s.tokens > 0 && need > g.Tokens {
		g.Tokens = need
	}
	s.tokens -= g.Tokens
	a.tokens += g.Tokens
	if g.Tokens < d.WantTokens {
		g.RetryMs = max(g.RetryMs, millis(seconds((1-s.tokens)/s.limits.Tokens)))
	}
}

// grantPermits grants permits up to the concurrency limit. Each entry can have its fair share; permits that others need
// to reach theirs are reserved for them. An entry with fewer permits than running requests admits no request.
func (o *Owner) grantPermits(now time.Time, s *ownerState, a *allowance, d *Demand, g *Grant) {
	if s.limits.Concurrency <= 0 {
		return
	}
	limit := max(min(1, s.limits.Concurrency), s.limits.Concurrency*len(o.members.Live)/o.members.entryCount())
	others := o.permitsOfOthers(now, s, a, limit)
	want := a.need + d.Spare
	g.Permits = max(0, min(want, max(others.fairShare, limit-others.granted-others.missing), limit-others.granted))
	g.Contended = others.missing > 0 || g.Permits < a.need
	if g.Permits < a.need {
		g.RetryMs = max(g.RetryMs, millis(permitRetryAfter))
	}
	// Until its next report the entry may use the permits that it had when it sent the demand.
	a.permits = max(g.Permits, d.Permits, d.InUse)
}

// otherPermits sums up the permits of a key at all entries except the requesting one.
type otherPermits struct {
	// granted permits are not available; missing is how many permits the entries need to reach their fair shares;
	// fairShare is that of one entry.
	granted, missing, fairShare int
}

// permitsOfOthers adds up the permits of other entries. A live entry whose allowance expired without a report falls
// back to its share and continues its running requests; the sidecars cancel the requests of an entry that is not live.
func (o *Owner) permitsOfOthers(now time.Time, s *ownerState, own *allowance, limit int) otherPermits {
	users := 1
	for _, a := range s.allowances {
		if a != own && a.need > 0 && now.Before(a.expires) {
			users++
		}
	}
	p := otherPermits{fairShare: (limit + users - 1) / users}
	share := (s.limits.Concurrency + o.members.entryCount() - 1) / o.members.entryCount()
	for name, a := range s.allowances {
		switch {
		case a == own:
		case now.Before(a.expires):
			p.granted += a.permits
			p.missing += max(0, min(a.need, p.fairShare)-a.permits)
		case o.live[name]:
			p.granted += max(a.permits, share)
		default:
			p.granted += a.permits
		}
	}
	return p
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(d time.Duration) uint32 {
	return uint32(min(max(1, d.Milliseconds()), math.MaxUint32))
}
