package limit

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// Interval is the time between batches to the owners.
	Interval = 100 * time.Millisecond
	// horizon is the demand, in time, that an entry borrows ahead.
	horizon = 2 * Interval
	// renewBefore is the remaining validity at which held allowances are renewed.
	renewBefore = 1200 * time.Millisecond
	// patience is how long a request waits for a silent owner before the entry falls back to its share.
	patience = 250 * time.Millisecond
	// callTimeout bounds one call to an owner.
	callTimeout = time.Second
	// maxDemands bounds the keys in one call, so that it stays well below the frame limit.
	maxDemands = 1024
	// demandAlpha is the weight of one interval in the estimated demand.
	demandAlpha = 0.3
	// cutOffRetry is the Retry-After of a refusal for concurrency without an owner.
	cutOffRetry = time.Second
)

// Caller reaches another entry; peer.Caller satisfies it.
type Caller interface {
	Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error)
}

// LocalSettings configure a Local. All fields are required.
type LocalSettings struct {
	// Self is the entry's instance name.
	Self string
	// Limits returns the limits in force for a key.
	Limits func(Key) Limits
	// Owner is the entry's own Owner, used without a call for the keys that it owns.
	Owner  *Owner
	Caller Caller
	Codec  Codec
	// Clock is time.Now, or virtual in tests.
	Clock func() time.Time
}

// Local admits requests of one entry from borrowed allowances. It is safe for concurrent use.
type Local struct {
	set LocalSettings

	mu       sync.Mutex
	members  Members
	accounts map[Key]*account
	busy     map[string]bool
	seq      uint64
	// awakeAt is the last call, resumedAt the end of the last pause of this process.
	awakeAt, resumedAt time.Time
	changed            chan struct{}
	kick               chan struct{}
}

// account is the state of one key at this entry.
type account struct {
	limits Limits
	owner  string

	requests, tokens float64
	permits, inUse   int
	expires          time.Time

	// rateRequests and rateTokens estimate the demand per Interval; seen* count the current one.
	rateRequests, rateTokens float64
	seenRequests, seenTokens float64
	seenAt                   time.Time
	// waiting, waitTokens and needTokens describe refused and waiting requests since the last batch.
	waiting                int
	waitTokens, needTokens float64
	// give* are to be returned to the owner, or owed when negative.
	giveRequests, giveTokens float64

	askedAt  time.Time
	answered time.Time
	sending  bool
	denied   Decision
	deniedTo time.Time

	mode mode
	// known is set while the owner keeps a record of this entry for the key.
	known bool
	// scarce is set while the owner wants unused permits back.
	scarce bool
	// share* are the buckets of the entry's share, used in the modes other than modeLent.
	shareRequests, shareTokens float64
	shareAt                    time.Time
}

// mode tells what an account admits from.
type mode uint8

const (
	// modeLent admits from allowances only.
	modeLent mode = iota
	// modeTakeover admits from allowances and the share of the rates, and from held permits only: the previous owner's
	// permits are still out, and the new owner has not lent any.
	modeTakeover
	// modeCutOff admits from the share: the owner has been silent until all allowances expired.
	modeCutOff
)

// NewLocal returns a Local without members; it admits nothing limited before SetMembers.
func NewLocal(set LocalSettings) *Local {
	return &Local{
		set: set, accounts: make(map[Key]*account), busy: make(map[string]bool),
		changed: make(chan struct{}), kick: make(chan struct{}, 1),
		// A restarted entry of the same name must continue above its predecessor's numbers.
		seq: uint64(set.Clock().UnixNano()),
	}
}

// SetMembers replaces the live entries.
func (l *Local) SetMembers(m Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = m
	for k, a := range l.accounts {
		a.owner = m.owner(k)
	}
}

// Changed returns a channel that is closed when the next answer of an owner has arrived.
func (l *Local) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Admit decides about one request that reserves the given tokens. It does no I/O.
// An admitted request must be passed to Settle once.
func (l *Local) Admit(now time.Time, k Key, tokens int) Decision {
	limits := l.set.Limits(k)
	if limits.None() {
		return Decision{Result: Admitted}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awake(now)
	a := l.account(now, k, limits)
	d := l.admit(now, k, a, tokens)
	if d.Result == Wait && a.owner == l.set.Self {
		l.askSelf(now, k, a)
		d = l.admit(now, k, a, tokens)
	}
	if d.Result != Wait { // a waiting request comes again
		a.seenRequests++
		a.seenTokens += float64(tokens)
	}
	return d
}

// AdmitWait calls Admit until the answer is not Wait or the context ends, which refuses nothing and returns Wait.
func (l *Local) AdmitWait(ctx context.Context, k Key, tokens int) Decision {
	for {
		changed := l.Changed()
		d := l.Admit(l.set.Clock(), k, tokens)
		if d.Result != Wait {
			return d
		}
		timer := time.NewTimer(Interval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return d
		}
		timer.Stop()
	}
}

// Settle ends an admitted request: used is what it consumed of the reserved tokens, or more.
func (l *Local) Settle(k Key, reserved, used int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[k]
	if a == nil {
		return
	}
	a.inUse = max(0, a.inUse-1)
	diff := float64(reserved - used)
	switch {
	case a.limits.Tokens <= 0:
	case a.mode == modeCutOff:
		a.shareTokens += diff
	default:
		a.giveTokens += diff
	}
}

func (l *Local) account(now time.Time, k Key, limits Limits) *account {
	a := l.accounts[k]
	if a == nil {
		a = &account{owner: l.members.owner(k), seenAt: now}
		l.accounts[k] = a
	}
	a.limits = limits
	return a
}

func (l *Local) admit(now time.Time, k Key, a *account, tokens int) Decision {
	a.expire(now)
	if a.mode == modeLent && a.owner != l.set.Self && a.ownerSilent(now, l.resumedAt) {
		a.enter(now, modeCutOff)
	}
	var share Limits
	if a.mode != modeLent {
		share = l.members.share(a.limits, k, l.set.Self)
		a.refillShare(now, share)
	}
	lacking := a.lacking(tokens, share)
	if lacking == Admitted {
		a.take(tokens)
		return Decision{Result: Admitted}
	}
	if a.askedAt.IsZero() {
		a.askedAt = now
	}
	if a.mode == modeLent && now.Before(a.deniedTo) {
		return a.denied
	}
	a.waiting++
	a.waitTokens += float64(tokens)
	a.needTokens = math.Max(a.needTokens, float64(tokens))
	if a.mode != modeLent {
		return a.refuseShare(lacking, share)
	}
	l.wake()
	return Decision{Result: Wait}
}

// lacking names what a request lacks, or returns Admitted.
func (a *account) lacking(tokens int, share Limits) Result {
	permits := a.permits
	if a.mode == modeCutOff {
		permits = max(permits, share.Concurrency)
	}
	switch {
	case a.limits.Requests > 0 && a.requests < 1 && a.shareRequests < 1:
		return RequestRate
	case a.limits.Tokens > 0 && a.tokens < float64(tokens) && a.shareTokens <= 0:
		return TokenRate
	case a.limits.Concurrency > 0 && a.inUse >= permits:
		return Concurrency
	default:
		return Admitted
	}
}

func (a *account) take(tokens int) {
	a.inUse++
	if a.limits.Requests > 0 {
		if a.requests >= 1 {
			a.requests--
		} else {
			a.shareRequests--
		}
	}
	if a.limits.Tokens > 0 {
		if a.tokens >= float64(tokens) {
			a.tokens -= float64(tokens)
		} else {
			a.shareTokens -= float64(tokens)
		}
	}
}

// enter starts a mode with empty share buckets, because allowances may have been used up a moment ago.
func (a *account) enter(now time.Time, m mode) {
	if a.mode == modeLent {
		a.shareRequests, a.shareTokens, a.shareAt = 0, 0, now
	}
	a.mode = m
}

func (a *account) leave() {
	a.mode = modeLent
	a.giveTokens += math.Min(0, a.shareTokens)
	a.shareRequests, a.shareTokens = 0, 0
}

func (a *account) refillShare(now time.Time, share Limits) {
	s := now.Sub(a.shareAt).Seconds()
	a.shareAt = now
	a.shareRequests = math.Min(math.Max(1, share.Requests), a.shareRequests+s*share.Requests)
	a.shareTokens = math.Min(share.Tokens, a.shareTokens+s*share.Tokens)
}

// refuseShare refuses what exceeds the share. During a takeover, which ends within Lifetime, the request waits instead.
func (a *account) refuseShare(lacking Result, share Limits) Decision {
	switch {
	case a.mode == modeTakeover:
		return Decision{Result: Wait}
	case lacking == RequestRate:
		return Decision{RequestRate, seconds((1 - a.shareRequests) / share.Requests)}
	case lacking == TokenRate:
		return Decision{TokenRate, seconds((1 - a.shareTokens) / share.Tokens)}
	default:
		return Decision{Concurrency, cutOffRetry}
	}
}

// expire drops allowances whose time is over. They are returned: the owner may lend them again, and this entry cannot
// use them any more.
func (a *account) expire(now time.Time) {
	if a.expires.IsZero() || now.Before(a.expires) {
		return
	}
	a.giveRequests += a.requests
	a.giveTokens += a.tokens
	a.requests, a.tokens, a.permits = 0, 0, 0
	a.expires = time.Time{}
}

// ownerSilent reports that a request has waited for the owner and no allowance is valid. A pause of this process does
// not count as silence of the owner.
func (a *account) ownerSilent(now, resumedAt time.Time) bool {
	return !a.askedAt.IsZero() && now.Sub(a.askedAt) >= patience && now.Sub(resumedAt) >= patience &&
		now.Sub(a.answered) >= patience && a.expires.IsZero()
}

// awake notes that the process runs; a gap means that it was paused.
func (l *Local) awake(now time.Time) {
	if now.Sub(l.awakeAt) > pauseAfter {
		l.resumedAt = now
	}
	l.awakeAt = now
}

func (l *Local) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Batch is one call that is to be made to an owner.
type Batch struct {
	Owner   string
	SentAt  time.Time
	Request AllowanceRequest
}

// Collect returns the calls that are due, at most one at a time per owner. Pass each to Apply or Fail.
func (l *Local) Collect(now time.Time) []Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awake(now)
	var batches []Batch
	index := make(map[string]int)
	for k, a := range l.accounts {
		a.expire(now)
		a.estimate(now)
		if !a.due(now) {
			l.forget(now, k, a)
			continue
		}
		if a.sending || l.busy[a.owner] || a.owner == "" {
			continue
		}
		if a.owner == l.set.Self {
			l.askSelf(now, k, a)
			l.forget(now, k, a)
			continue
		}
		i, ok := index[a.owner]
		if !ok {
			i = len(batches)
			index[a.owner] = i
			l.seq++
			batches = append(batches, Batch{Owner: a.owner, SentAt: now, Request: AllowanceRequest{Seq: l.seq}})
		}
		if len(batches[i].Request.Demands) < maxDemands {
			batches[i].Request.Demands = append(batches[i].Request.Demands, a.demand(now, k))
			a.sending = true
		}
	}
	for _, b := range batches {
		l.busy[b.Owner] = true
	}
	return append(batches, l.set.Owner.handovers(now)...)
}

// Apply takes in an owner's answer.
func (l *Local) Apply(now time.Time, b *Batch, g *AllowanceGrant) {
	if len(b.Request.Handover) > 0 {
		l.set.Owner.applyHandover(now, b, g)
		return
	}
	if len(g.Grants) != len(b.Request.Demands) {
		l.Fail(now, b)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy[b.Owner] = false
	for i := range g.Grants {
		d := &b.Request.Demands[i]
		if a := l.accounts[d.key()]; a != nil {
			a.sending = false
			a.apply(now, b.SentAt, d, &g.Grants[i])
			l.forget(now, d.key(), a)
		}
	}
	l.notify()
}

// Fail takes in that a call failed. Returned allowances are lost with it, because the owner may have taken them in;
// owed tokens are owed again.
func (l *Local) Fail(now time.Time, b *Batch) {
	if len(b.Request.Handover) > 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy[b.Owner] = false
	for i := range b.Request.Demands {
		d := &b.Request.Demands[i]
		if a := l.accounts[d.key()]; a != nil {
			a.sending = false
			a.giveTokens += math.Min(0, d.ReturnTokens)
			if a.askedAt.IsZero() {
				a.askedAt = now
			}
		}
	}
	l.notify()
}

func (l *Local) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Local) askSelf(now time.Time, k Key, a *account) {
	d := a.demand(now, k)
	g := l.set.Owner.Grant(now, l.set.Self, &AllowanceRequest{Demands: []Demand{d}})
	a.apply(now, now, &d, &g.Grants[0])
}

// forget drops an account that holds, runs and owes nothing and sees no demand.
func (l *Local) forget(now time.Time, k Key, a *account) {
	// A request that has not been answered starts the fallback when it is asked again.
	if !a.askedAt.IsZero() && now.Sub(a.askedAt) < 2*Lifetime {
		return
	}
	if a.inUse == 0 && a.permits == 0 && a.requests == 0 && a.tokens == 0 && a.waiting == 0 &&
		a.rateRequests == 0 && a.seenRequests == 0 && a.giveRequests == 0 && a.giveTokens == 0 && !a.sending && !a.known && a.mode == modeLent {
		delete(l.accounts, k)
	}
}

func (a *account) estimate(now time.Time) {
	if now.Sub(a.seenAt) < Interval {
		return
	}
	intervals := float64(now.Sub(a.seenAt)) / float64(Interval)
	a.rateRequests += demandAlpha * (a.seenRequests/intervals - a.rateRequests)
	a.rateTokens += demandAlpha * (a.seenTokens/intervals - a.rateTokens)
	if a.rateRequests < 0.001 {
		a.rateRequests, a.rateTokens = 0, 0
	}
	a.seenRequests, a.seenTokens, a.seenAt = 0, 0, now
}

// target is what the entry wants to hold ahead of its demand. Below one request it holds nothing: many entries that
// each keep one unused request would hold back a small limit from the others.
func (a *account) target() (requests, tokens float64, spare int) {
	f := float64(horizon / Interval)
	requests = math.Floor(a.rateRequests * f)
	if requests < 1 {
		return 0, 0, 0
	}
	return requests, a.rateTokens * f, int(requests)
}

func (a *account) due(now time.Time) bool {
	requests, tokens, _ := a.target()
	switch {
	case a.waiting > 0, a.mode != modeLent:
		return true
	case a.scarce && a.permits > a.inUse:
		return now.Sub(a.answered) >= Interval
	case a.giveRequests != 0 || a.giveTokens != 0:
		return now.Sub(a.answered) >= 5*Interval
	case a.limits.Requests > 0 && a.requests < requests/2, a.limits.Tokens > 0 && a.tokens < tokens/2:
		return true
	case a.limits.Concurrency > 0 && a.inUse > 0 || a.permits > 0 || a.requests > 0 || a.tokens > 0:
		return a.expires.Sub(now) <= renewBefore
	default:
		return a.known && a.rateRequests == 0
	}
}

func (a *account) demand(now time.Time, k Key) Demand {
	a.expire(now)
	requests, tokens, spare := a.target()
	d := Demand{
		Class: k.Class, Workspace: k.Workspace, Limits: a.limits,
		ReturnRequests: a.giveRequests, ReturnTokens: a.giveTokens,
		InUse: a.inUse, Permits: a.permits, Waiting: a.waiting, Spare: spare, NeedTokens: a.needTokens,
	}
	a.giveRequests, a.giveTokens = 0, 0
	if a.limits.Requests > 0 {
		requests = math.Ceil(requests + float64(a.waiting))
		d.HeldRequests, d.WantRequests, d.ReturnRequests = split(a.requests, requests, d.ReturnRequests)
		a.requests = d.HeldRequests
	}
	if a.limits.Tokens > 0 {
		d.HeldTokens, d.WantTokens, d.ReturnTokens = split(a.tokens, tokens+a.waitTokens, d.ReturnTokens)
		a.tokens = d.HeldTokens
	}
	if a.limits.Concurrency <= 0 {
		d.InUse, d.Permits, d.Waiting, d.Spare = 0, 0, 0, 0
		d.Once = spare == 0 && d.HeldRequests == 0 && d.HeldTokens == 0
	}
	if a.scarce {
		d.Spare = 0
	}
	a.permits = min(a.permits, d.InUse+d.Waiting+d.Spare)
	d.Permits = a.permits
	a.waiting, a.waitTokens, a.needTokens = 0, 0, 0
	return d
}

// split keeps what is held up to the target, returns the rest and asks for what is missing.
func split(held, target, give float64) (keep, want, back float64) {
	if held > target {
		return target, 0, give + held - target
	}
	return held, target - held, give
}

func (a *account) apply(now, sentAt time.Time, d *Demand, g *Grant) {
	if g.Status != StatusLent && g.Status != StatusTakingOver || !g.valid() {
		a.giveTokens += math.Min(0, d.ReturnTokens)
		if g.Owner != "" {
			a.owner = g.Owner
		}
		return
	}
	a.answered = now
	a.known = !d.idle() && !d.Once
	expires := sentAt.Add(Lifetime)
	if now.Before(expires) {
		a.expires = expires
		a.requests += g.Requests
		a.tokens += g.Tokens
		a.permits = g.Permits
	}
	if g.Status == StatusTakingOver {
		a.enter(now, modeTakeover)
		return
	}
	if a.mode == modeTakeover && a.expires.Equal(expires) {
		// The new owner's buckets fill from the end of the takeover on; until then the shares did.
		a.requests += a.shareRequests
		a.tokens += math.Max(0, a.shareTokens)
	}
	a.leave()
	a.scarce = g.Scarce
	a.askedAt = time.Time{}
	a.denied, a.deniedTo = denial(now, d, g)
}

// denial is the answer to requests that come before the next batch, if the owner could not meet the demand.
func denial(now time.Time, d *Demand, g *Grant) (Decision, time.Time) {
	retry := time.Duration(g.RetryMs) * time.Millisecond
	until := now.Add(Interval)
	switch {
	case d.WantRequests > 0 && d.HeldRequests+g.Requests < 1:
		return Decision{RequestRate, retry}, until
	case d.NeedTokens > 0 && d.HeldTokens+g.Tokens < d.NeedTokens && d.Limits.Tokens > 0:
		return Decision{TokenRate, retry}, until
	case d.Waiting > 0 && g.Permits <= d.InUse && d.Limits.Concurrency > 0:
		return Decision{Concurrency, retry}, until
	default:
		return Decision{}, time.Time{}
	}
}

func (g *Grant) valid() bool {
	return g.Requests >= 0 && g.Tokens >= 0 && g.Permits >= 0 && !math.IsInf(g.Requests, 0) && !math.IsInf(g.Tokens, 0)
}

// Run sends the batches and drives the Owner's clock until the context ends.
func (l *Local) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.kick:
		case <-ticker.C:
		}
		now := l.set.Clock()
		l.set.Owner.Tick(now)
		for _, b := range l.Collect(now) {
			calls.Go(func() { l.send(ctx, &b) })
		}
	}
}

func (l *Local) send(ctx context.Context, b *Batch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	g, err := l.call(ctx, b)
	if err != nil {
		l.Fail(l.set.Clock(), b)
		return
	}
	l.Apply(l.set.Clock(), b, g)
}

func (l *Local) call(ctx context.Context, b *Batch) (*AllowanceGrant, error) {
	payload, err := l.set.Codec.Marshal(&b.Request)
	if err != nil {
		return nil, fmt.Errorf("encode allowance request: %w", err)
	}
	answer, err := l.set.Caller.Call(ctx, b.Owner, Method, payload)
	if err != nil {
		return nil, fmt.Errorf("allowance of %s: %w", b.Owner, err)
	}
	var g AllowanceGrant
	if err := l.set.Codec.Unmarshal(answer, &g); err != nil {
		return nil, fmt.Errorf("decode allowance of %s: %w", b.Owner, err)
	}
	return &g, nil
}
