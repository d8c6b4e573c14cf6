package limit

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// burstTime is the time over which a rate limit may be used at once.
	burstTime = time.Second
	// pauseAfter is the gap between ticks after which the process was paused and may have been replaced as owner.
	pauseAfter = time.Second
	// cancelAfter is when sidecars have cancelled the work of a silent entry.
	cancelAfter = 3 * time.Second
	// permitRetry is the Retry-After of a refusal for concurrency.
	permitRetry = 250 * time.Millisecond
	// forgetAfter is the idle time after which a key's state equals the initial one: every bucket is full.
	forgetAfter = time.Minute
)

// Owner lends the allowances of the keys that this entry owns. It is safe for concurrent use.
type Owner struct {
	self  string
	clock func() time.Time
	codec Codec

	mu      sync.Mutex
	members Members
	live    map[string]bool
	past    []pastMembers
	started bool
	ledgers map[Key]*ledger
	// retired are ledgers of keys that another entry owns now; it can ask for them.
	retired map[Key]retired
	// ceded are keys that another entry took over before this entry saw the change of members.
	ceded map[Key]cession
	// seqs are the last batches by entry.
	seqs     map[string]uint64
	lastTick time.Time
	swept    time.Time
}

// pastMembers are replaced members whose owners' allowances can still be valid.
type pastMembers struct {
	members Members
	unknown bool
	until   time.Time
}

// ledger is the state of one owned key.
type ledger struct {
	limits           Limits
	requests, tokens float64
	at               time.Time
	// readyAt is when allowances of earlier owners have expired.
	readyAt time.Time
	// resumed is set when the process itself was the earlier owner and was paused.
	resumed  bool
	holdings map[string]*holding
}

// holding is what one entry was lent.
type holding struct {
	requests, tokens float64
	permits, need    int
	contact, expires time.Time
}

// NewOwner returns the Owner of the entry named self. The clock is time.Now, or virtual in tests.
func NewOwner(self string, clock func() time.Time, codec Codec) *Owner {
	return &Owner{
		self: self, clock: clock, codec: codec,
		live: make(map[string]bool), ledgers: make(map[Key]*ledger), retired: make(map[Key]retired),
		ceded: make(map[Key]cession), seqs: make(map[string]uint64),
	}
}

// AssumeFresh declares that no entry ran within the last Lifetime, so that the first members need no takeover.
// Call it before SetMembers, and only where the whole fleet is started at once.
func (o *Owner) AssumeFresh() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started = true
}

// SetMembers replaces the live entries. Keys that this entry no longer owns are forgotten.
func (o *Owner) SetMembers(now time.Time, m Members) {
	o.mu.Lock()
	defer o.mu.Unlock()
	alone := len(m.Live) == 1 && m.Live[0] == o.self
	if len(o.members.Live) > 0 || !o.started && !alone {
		o.past = append(o.past, pastMembers{members: o.members, unknown: !o.started, until: now.Add(Lifetime)})
	}
	o.started, o.members = true, m
	o.live = make(map[string]bool, len(m.Live))
	for _, name := range m.Live {
		o.live[name] = true
	}
	o.prunePast(now)
	for k := range o.ledgers {
		if m.owner(k) != o.self {
			o.retire(now, k)
		}
	}
	for k := range o.ceded {
		if m.owner(k) != o.self {
			delete(o.ceded, k)
		}
	}
}

func (o *Owner) prunePast(now time.Time) {
	kept := o.past[:0]
	for _, p := range o.past {
		if now.Before(p.until) {
			kept = append(kept, p)
		}
	}
	o.past = kept
}

// Tick detects a pause of the process and forgets idle keys. Call it every 100 ms.
func (o *Owner) Tick(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.detectPause(now)
	o.lastTick = now
	if now.Sub(o.swept) < forgetAfter {
		return
	}
	o.swept = now
	for k, l := range o.ledgers {
		o.prune(now, l)
		if len(l.holdings) == 0 && now.Sub(l.at) > forgetAfter {
			delete(o.ledgers, k)
		}
	}
	o.pruneRetired(now)
	for name := range o.seqs {
		if !o.live[name] {
			delete(o.seqs, name)
		}
	}
}

// detectPause makes every key wait as after a change of owner, because another entry may have taken over meanwhile.
func (o *Owner) detectPause(now time.Time) {
	if o.lastTick.IsZero() || now.Sub(o.lastTick) <= pauseAfter {
		return
	}
	o.lastTick = now
	o.past = append(o.past, pastMembers{unknown: true, until: now.Add(Lifetime)})
	for _, l := range o.ledgers {
		l.takeOver(now.Add(Lifetime))
		l.resumed = true
	}
}

// Handle is the handler of Method; from is the instance name that the caller's certificate proves.
func (o *Owner) Handle(_ context.Context, from string, payload []byte) ([]byte, error) {
	var r AllowanceRequest
	if err := o.codec.Unmarshal(payload, &r); err != nil {
		return nil, fmt.Errorf("decode allowance request of %s: %w", from, err)
	}
	g := o.Grant(o.clock(), from, &r)
	return o.codec.Marshal(&g)
}

// Grant answers one batch of demands.
func (o *Owner) Grant(now time.Time, from string, r *AllowanceRequest) AllowanceGrant {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.detectPause(now)
	var g AllowanceGrant
	stale := r.Seq != 0 && r.Seq <= o.seqs[from]
	if r.Seq != 0 && !stale {
		o.seqs[from] = r.Seq
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
	l := o.ledger(now, d)
	o.prune(now, l)
	l.refill(now, o.rates(now, l))
	l.credit(d)
	takingOver := now.Before(l.readyAt)
	if d.idle() {
		delete(l.holdings, from)
		if takingOver {
			return Grant{Status: StatusTakingOver}
		}
		return Grant{Status: StatusLent}
	}
	h := l.holding(now, from, d)
	if takingOver {
		return Grant{Status: StatusTakingOver, Permits: d.Permits, RetryMs: millis(l.readyAt.Sub(now))}
	}
	g := Grant{Status: StatusLent}
	l.lendRequests(now, h, d, &g)
	l.lendTokens(now, h, d, &g)
	o.lendPermits(now, l, h, d, &g)
	if d.Once {
		delete(l.holdings, from)
	}
	return g
}

// valid rejects values that no Local sends, so that a faulty entry cannot corrupt a bucket.
func (d *Demand) valid() bool {
	for _, v := range []float64{d.Limits.Requests, d.Limits.Tokens, d.HeldRequests, d.HeldTokens, d.WantRequests, d.WantTokens, d.NeedTokens} {
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

func (o *Owner) ledger(now time.Time, d *Demand) *ledger {
	k := d.key()
	l := o.ledgers[k]
	if l == nil {
		l = &ledger{limits: d.Limits, at: now, holdings: make(map[string]*holding)}
		l.requests, l.tokens = l.capacity()
		if ready := o.readyAt(now, k); ready.After(now) {
			l.takeOver(ready)
		}
		o.ledgers[k] = l
	}
	if d.Limits.Version > l.limits.Version {
		l.limits = d.Limits
	}
	return l
}

// readyAt is when the allowances of every earlier owner of the key have expired.
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

// takeOver starts with empty buckets: what the earlier owner lent counts as used.
func (l *ledger) takeOver(ready time.Time) {
	l.requests, l.tokens = math.Min(l.requests, 0), math.Min(l.tokens, 0)
	l.at, l.readyAt = ready, ready
}

// prune forgets entries that are gone and whose work the sidecars have cancelled.
func (o *Owner) prune(now time.Time, l *ledger) {
	for name, h := range l.holdings {
		if !o.live[name] && now.After(h.expires) && now.After(h.contact.Add(cancelAfter)) {
			delete(l.holdings, name)
		}
	}
}

func (l *ledger) capacity() (requests, tokens float64) {
	return math.Max(1, l.limits.Requests*burstTime.Seconds()), l.limits.Tokens * burstTime.Seconds()
}

// rates are the limits less the shares of entries that are live, silent and known to use the key: they fall back to
// their share. Below the last known number of entries, the other side of a partition keeps its part.
func (o *Owner) rates(now time.Time, l *ledger) float64 {
	n := o.members.divisor()
	silent := n - len(o.members.Live)
	for name, h := range l.holdings {
		if now.After(h.expires) && o.live[name] {
			silent++
		}
	}
	return math.Max(0, 1-float64(silent)/float64(n))
}

func (l *ledger) refill(now time.Time, part float64) {
	seconds := now.Sub(l.at).Seconds()
	if seconds <= 0 {
		return
	}
	l.at = now
	maxRequests, maxTokens := l.capacity()
	l.requests = math.Min(maxRequests, l.requests+part*l.limits.Requests*seconds)
	l.tokens = math.Min(maxTokens, l.tokens+part*l.limits.Tokens*seconds)
}

// credit takes back what was not used; the buckets never rise above their capacity.
func (l *ledger) credit(d *Demand) {
	maxRequests, maxTokens := l.capacity()
	l.requests = math.Min(maxRequests, l.requests+d.ReturnRequests)
	l.tokens = math.Min(maxTokens, l.tokens+d.ReturnTokens)
}

func (l *ledger) holding(now time.Time, from string, d *Demand) *holding {
	h := l.holdings[from]
	if h == nil {
		h = &holding{}
		l.holdings[from] = h
	}
	h.requests, h.tokens, h.permits = d.HeldRequests, d.HeldTokens, max(d.Permits, d.InUse)
	h.need = d.InUse + d.Waiting
	h.contact, h.expires = now, now.Add(Lifetime)
	return h
}

// lent is the sum of unused allowances that are valid.
func (l *ledger) lent(now time.Time) (requests, tokens float64) {
	for _, h := range l.holdings {
		if now.Before(h.expires) {
			requests += h.requests
			tokens += h.tokens
		}
	}
	return requests, tokens
}

// lendRequests lends whole requests. All unused allowances together stay within the bucket's capacity.
func (l *ledger) lendRequests(now time.Time, h *holding, d *Demand, g *Grant) {
	if l.limits.Requests <= 0 {
		return
	}
	capacity, _ := l.capacity()
	out, _ := l.lent(now)
	g.Requests = math.Max(0, math.Floor(min(math.Ceil(d.WantRequests), l.requests, capacity-out)))
	l.requests -= g.Requests
	h.requests += g.Requests
	if g.Requests < d.WantRequests {
		g.RetryMs = max(g.RetryMs, millis(seconds((1-l.requests)/l.limits.Requests)))
	}
}

// lendTokens lends the largest waiting reservation whenever the bucket is not empty, and then owes the rest: otherwise
// a reservation above the capacity would wait for ever.
func (l *ledger) lendTokens(now time.Time, h *holding, d *Demand, g *Grant) {
	if l.limits.Tokens <= 0 {
		return
	}
	_, capacity := l.capacity()
	_, out := l.lent(now)
	g.Tokens = math.Max(0, min(d.WantTokens, l.tokens, capacity-out))
	if need := d.NeedTokens - d.HeldTokens; l.tokens > 0 && need > g.Tokens {
		g.Tokens = need
	}
	l.tokens -= g.Tokens
	h.tokens += g.Tokens
	if g.Tokens < d.WantTokens {
		g.RetryMs = max(g.RetryMs, millis(seconds((1-l.tokens)/l.limits.Tokens)))
	}
}

// lendPermits lends concurrency up to the limit. Each entry can have its fair share of it; what others need up to
// their fair share and do not have is kept for them. An entry with fewer permits than running requests admits nothing.
func (o *Owner) lendPermits(now time.Time, l *ledger, h *holding, d *Demand, g *Grant) {
	if l.limits.Concurrency <= 0 {
		return
	}
	limit := max(min(1, l.limits.Concurrency), l.limits.Concurrency*len(o.members.Live)/o.members.divisor())
	others := o.permitsOfOthers(now, l, h, limit)
	want := h.need + d.Spare
	g.Permits = max(0, min(want, max(others.fair, limit-others.lent-others.lacking), limit-others.lent))
	g.Scarce = others.lacking > 0 || g.Permits < h.need
	if g.Permits < h.need {
		g.RetryMs = max(g.RetryMs, millis(permitRetry))
	}
	// Until its next report the entry may use what it held when it sent the demand.
	h.permits = max(g.Permits, d.Permits, d.InUse)
}

// permits sums up what the entries other than the asking one have of a key.
type permits struct {
	// lent cannot be lent again; lacking is missing from their fair shares; fair is the fair share of one entry.
	lent, lacking, fair int
}

// permitsOfOthers adds up the permits of other entries. A silent entry that is still live falls back to its share and
// keeps what was running; one that is gone is cancelled by the sidecars.
func (o *Owner) permitsOfOthers(now time.Time, l *ledger, own *holding, limit int) permits {
	users := 1
	for _, h := range l.holdings {
		if h != own && h.need > 0 && now.Before(h.expires) {
			users++
		}
	}
	p := permits{fair: (limit + users - 1) / users}
	share := (l.limits.Concurrency + o.members.divisor() - 1) / o.members.divisor()
	for name, h := range l.holdings {
		switch {
		case h == own:
		case now.Before(h.expires):
			p.lent += h.permits
			p.lacking += max(0, min(h.need, p.fair)-h.permits)
		case o.live[name]:
			p.lent += max(h.permits, share)
		default:
			p.lent += h.permits
		}
	}
	return p
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(d time.Duration) uint32 {
	return uint32(min(max(1, d.Milliseconds()), math.MaxUint32))
}
