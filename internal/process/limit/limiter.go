package limit

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// BatchInterval is the time between batches to the owners.
	BatchInterval = 100 * time.Millisecond
	// prefetchTime is the time for which an entry requests allowances ahead of its demand.
	prefetchTime = 2 * BatchInterval
	// renewBefore is the remaining validity at which an entry renews its allowances.
	renewBefore = 1200 * time.Millisecond
	// ownerTimeout is how long a request waits for the owner's response before the entry falls back to its share.
	ownerTimeout = 250 * time.Millisecond
	// callTimeout limits the duration of one call to an owner.
	callTimeout = time.Second
	// maxDemands limits the keys in one call, to stay well below the size limit of a frame.
	maxDemands = 1024
	// demandAlpha is the weight of the latest interval in the moving average of the demand.
	demandAlpha = 0.3
	// isolatedRetryAfter is the Retry-After of a request that exceeds the concurrency share of an isolated entry.
	isolatedRetryAfter = time.Second
)

// PeerClient calls a method of another entry; a peer.Client satisfies it.
type PeerClient interface {
	Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error)
}

// LimiterSettings configures a Limiter. All fields are required.
type LimiterSettings struct {
	// Self is the entry's instance name.
	Self string
	// Limits returns the current limits of a key.
	Limits func(Key) Limits
	// Owner is the entry's own Owner. For the keys that it owns, the Limiter uses it directly, without a call.
	Owner *Owner
	// Client calls the other entries.
	Client PeerClient
	Codec  Codec
	// Clock is time.Now, or virtual in tests.
	Clock func() time.Time
}

// Limiter admits the requests of one entry from granted allowances. It is safe for concurrent use.
type Limiter struct {
	settings LimiterSettings

	mu       sync.Mutex
	members  Members
	states   map[Key]*localState
	inFlight map[string]bool
	seq      uint64
	// lastActive is the time of the last Admit or Collect, resumedAt the end of the last pause of this process.
	lastActive, resumedAt time.Time
	changed               chan struct{}
	sendNow               chan struct{}
}

// localState is the state of one key at this entry.
type localState struct {
	limits Limits
	owner  string

	// requests, tokens and permits are the allowances that are valid until expires. permits includes those in use.
	requests, tokens float64
	permits, inUse   int
	expires          time.Time

	// demandRequests and demandTokens estimate the demand per BatchInterval; interval* is the demand in the current
	// one.
	demandRequests, demandTokens     float64
	intervalRequests, intervalTokens float64
	intervalStart                    time.Time
	// waiting, waitingTokens and needTokens are the number, the sum and the largest reservation of the refused and
	// waiting requests since the last batch.
	waiting                   int
	waitingTokens, needTokens float64
	// return* is to be returned to the owner; if negative, more was used than granted.
	returnRequests, returnTokens float64

	// pendingSince is the time of the first unmet demand or failed call since the owner's last grant, or zero.
	pendingSince time.Time
	respondedAt  time.Time
	sending      bool
	refusal      Decision
	refusedUntil time.Time

	mode mode
	// recorded is set while the owner has a record of this entry for the key.
	recorded bool
	// contended is set while the owner wants unused permits to be returned.
	contended bool
	// share* are the buckets of the entry's share, used in all modes except modeAllowance.
	shareRequests, shareTokens float64
	shareAt                    time.Time
}

// mode selects the allowances and shares from which an entry admits requests of a key.
type mode uint8

const (
	// modeAllowance admits from allowances only.
	modeAllowance mode = iota
	// modeTakeover admits from allowances and the share of the rate limits, but only from existing permits: those of
	// the previous owner are still valid, and the new owner has granted none.
	modeTakeover
	// modeIsolated admits from the share: the owner did not respond before all allowances expired.
	modeIsolated
)

// NewLimiter returns a Limiter without members. Before SetMembers it admits only requests without a limit.
func NewLimiter(settings LimiterSettings) *Limiter {
	return &Limiter{
		settings: settings, states: make(map[Key]*localState), inFlight: make(map[string]bool),
		changed: make(chan struct{}), sendNow: make(chan struct{}, 1),
		// A restarted entry with the same name must use higher numbers than before the restart.
		seq: uint64(settings.Clock().UnixNano()),
	}
}

// SetMembers replaces the live entries.
func (l *Limiter) SetMembers(m Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = m
	for k, s := range l.states {
		s.owner = m.owner(k)
	}
}

// Changed returns a channel that is closed when the next allowance request to an owner completes or fails.
func (l *Limiter) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Admit decides on one request that reserves the given tokens. It does no I/O.
// The caller must call Settle once for an admitted request.
func (l *Limiter) Admit(now time.Time, k Key, tokens int) Decision {
	limits := l.settings.Limits(k)
	if limits.None() {
		return Decision{Result: Admitted}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordActivity(now)
	s := l.state(now, k, limits)
	d := l.admit(now, k, s, tokens)
	if d.Result == Wait && s.owner == l.settings.Self {
		l.requestFromSelf(now, k, s)
		d = l.admit(now, k, s, tokens)
	}
	if d.Result != Wait { // a waiting request is counted when Admit is called again
		s.intervalRequests++
		s.intervalTokens += float64(tokens)
	}
	return d
}

// AdmitWait calls Admit until the result is not Wait. If the context ends first, it returns Wait.
func (l *Limiter) AdmitWait(ctx context.Context, k Key, tokens int) Decision {
	for {
		changed := l.Changed()
		d := l.Admit(l.settings.Clock(), k, tokens)
		if d.Result != Wait {
			return d
		}
		timer := time.NewTimer(BatchInterval)
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

// Settle ends an admitted request that reserved and used the given tokens; used may exceed reserved.
func (l *Limiter) Settle(k Key, reserved, used int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[k]
	if s == nil {
		return
	}
	s.inUse = max(0, s.inUse-1)
	diff := float64(reserved - used)
	switch {
	case s.limits.Tokens <= 0:
	case s.mode == modeIsolated:
		s.shareTokens += diff
	default:
		s.returnTokens += diff
	}
}

func (l *Limiter) state(now time.Time, k Key, limits Limits) *localState {
	s := l.states[k]
	if s == nil {
		s = &localState{owner: l.members.owner(k), intervalStart: now}
		l.states[k] = s
	}
	s.limits = limits
	return s
}

func (l *Limiter) admit(now time.Time, k Key, s *localState, tokens int) Decision {
	s.expire(now)
	if s.mode == modeAllowance && s.owner != l.settings.Self && s.ownerTimedOut(now, l.resumedAt) {
		s.startFallback(now, modeIsolated)
	}
	var share Limits
	if s.mode != modeAllowance {
		share = l.members.share(s.limits, k, l.settings.Self)
		s.refillShare(now, share)
	}
	exceeded := s.exceeded(tokens, share)
	if exceeded == Admitted {
		s.deduct(tokens)
		return Decision{Result: Admitted}
	}
	if s.pendingSince.IsZero() {
		s.pendingSince = now
	}
	if s.mode == modeAllowance && now.Before(s.refusedUntil) {
		return s.refusal
	}
	s.waiting++
	s.waitingTokens += float64(tokens)
	s.needTokens = math.Max(s.needTokens, float64(tokens))
	if s.mode != modeAllowance {
		return s.refuseBeyondShare(exceeded, share)
	}
	l.requestSend()
	return Decision{Result: Wait}
}

// exceeded returns the limit that a request exceeds, or Admitted.
func (s *localState) exceeded(tokens int, share Limits) Result {
	permits := s.permits
	if s.mode == modeIsolated {
		permits = max(permits, share.Concurrency)
	}
	switch {
	case s.limits.Requests > 0 && s.requests < 1 && s.shareRequests < 1:
		return RequestRate
	case s.limits.Tokens > 0 && s.tokens < float64(tokens) && s.shareTokens <= 0:
		return TokenRate
	case s.limits.Concurrency > 0 && s.inUse >= permits:
		return Concurrency
	default:
		return Admitted
	}
}

func (s *localState) deduct(tokens int) {
	s.inUse++
	if s.limits.Requests > 0 {
		if s.requests >= 1 {
			s.requests--
		} else {
			s.shareRequests--
		}
	}
	if s.limits.Tokens > 0 {
		if s.tokens >= float64(tokens) {
			s.tokens -= float64(tokens)
		} else {
			s.shareTokens -= float64(tokens)
		}
	}
}

// startFallback sets a mode that uses the share. The share buckets start empty, because the allowances may have just
// been used.
func (s *localState) startFallback(now time.Time, m mode) {
	if s.mode == modeAllowance {
		s.shareRequests, s.shareTokens, s.shareAt = 0, 0, now
	}
	s.mode = m
}

// endFallback returns to modeAllowance. The owner is charged for tokens used beyond the share.
func (s *localState) endFallback() {
	s.mode = modeAllowance
	s.returnTokens += math.Min(0, s.shareTokens)
	s.shareRequests, s.shareTokens = 0, 0
}

func (s *localState) refillShare(now time.Time, share Limits) {
	elapsed := now.Sub(s.shareAt).Seconds()
	s.shareAt = now
	s.shareRequests = math.Min(math.Max(1, share.Requests), s.shareRequests+elapsed*share.Requests)
	s.shareTokens = math.Min(share.Tokens, s.shareTokens+elapsed*share.Tokens)
}

// refuseBeyondShare refuses a request that exceeds the share. During a takeover, which ends within Lifetime, the
// request waits instead.
func (s *localState) refuseBeyondShare(exceeded Result, share Limits) Decision {
	switch {
	case s.mode == modeTakeover:
		return Decision{Result: Wait}
	case exceeded == RequestRate:
		return Decision{RequestRate, seconds((1 - s.shareRequests) / share.Requests)}
	case exceeded == TokenRate:
		return Decision{TokenRate, seconds((1 - s.shareTokens) / share.Tokens)}
	default:
		return Decision{Concurrency, isolatedRetryAfter}
	}
}

// expire removes expired allowances and returns them to the owner, which may grant them again.
func (s *localState) expire(now time.Time) {
	if s.expires.IsZero() || now.Before(s.expires) {
		return
	}
	s.returnRequests += s.requests
	s.returnTokens += s.tokens
	s.requests, s.tokens, s.permits = 0, 0, 0
	s.expires = time.Time{}
}

// ownerTimedOut reports whether a request has waited for ownerTimeout, the owner has not responded within that time, and
// no allowance is valid. A pause of this process does not count as waiting time.
func (s *localState) ownerTimedOut(now, resumedAt time.Time) bool {
	return !s.pendingSince.IsZero() && now.Sub(s.pendingSince) >= ownerTimeout && now.Sub(resumedAt) >= ownerTimeout &&
		now.Sub(s.respondedAt) >= ownerTimeout && s.expires.IsZero()
}

// recordActivity records that the process runs; a gap longer than pauseThreshold counts as a pause.
func (l *Limiter) recordActivity(now time.Time) {
	if now.Sub(l.lastActive) > pauseThreshold {
		l.resumedAt = now
	}
	l.lastActive = now
}

func (l *Limiter) requestSend() {
	select {
	case l.sendNow <- struct{}{}:
	default:
	}
}

// Batch is one call to make to an owner.
type Batch struct {
	Owner   string
	SentAt  time.Time
	Request AllowanceRequest
}

// Collect returns the calls to make now: those with demands, of which at most one is in flight per owner, and the handover
// requests. Pass each to Apply or Fail.
func (l *Limiter) Collect(now time.Time) []Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordActivity(now)
	var batches []Batch
	index := make(map[string]int)
	for k, s := range l.states {
		s.expire(now)
		s.updateDemand(now)
		if !s.needsCall(now) {
			l.deleteIfIdle(now, k, s)
			continue
		}
		if s.sending || l.inFlight[s.owner] || s.owner == "" {
			continue
		}
		if s.owner == l.settings.Self {
			l.requestFromSelf(now, k, s)
			l.deleteIfIdle(now, k, s)
			continue
		}
		i, ok := index[s.owner]
		if !ok {
			i = len(batches)
			index[s.owner] = i
			l.seq++
			batches = append(batches, Batch{Owner: s.owner, SentAt: now, Request: AllowanceRequest{Seq: l.seq}})
		}
		if len(batches[i].Request.Demands) < maxDemands {
			batches[i].Request.Demands = append(batches[i].Request.Demands, s.demand(now, k))
			s.sending = true
		}
	}
	for _, b := range batches {
		l.inFlight[b.Owner] = true
	}
	return append(batches, l.settings.Owner.handovers(now)...)
}

// Apply processes an owner's response.
func (l *Limiter) Apply(now time.Time, b *Batch, g *AllowanceGrant) {
	if len(b.Request.Handover) > 0 {
		l.settings.Owner.applyHandover(now, b, g)
		return
	}
	if len(g.Grants) != len(b.Request.Demands) {
		l.Fail(now, b)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[b.Owner] = false
	for i := range g.Grants {
		d := &b.Request.Demands[i]
		if s := l.states[d.key()]; s != nil {
			s.sending = false
			s.apply(now, b.SentAt, d, &g.Grants[i])
			l.deleteIfIdle(now, d.key(), s)
		}
	}
	l.notify()
}

// Fail processes a failed call. Returned allowances are not returned again, because the owner may have added them to
// its buckets; tokens used beyond the grant are reported again.
func (l *Limiter) Fail(now time.Time, b *Batch) {
	if len(b.Request.Handover) > 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[b.Owner] = false
	for i := range b.Request.Demands {
		d := &b.Request.Demands[i]
		if s := l.states[d.key()]; s != nil {
			s.sending = false
			s.returnTokens += math.Min(0, d.ReturnTokens)
			if s.pendingSince.IsZero() {
				s.pendingSince = now
			}
		}
	}
	l.notify()
}

func (l *Limiter) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Limiter) requestFromSelf(now time.Time, k Key, s *localState) {
	d := s.demand(now, k)
	g := l.settings.Owner.Grant(now, l.settings.Self, &AllowanceRequest{Demands: []Demand{d}})
	s.apply(now, now, &d, &g.Grants[0])
}

// deleteIfIdle deletes the state of a key without allowances, running requests, pending returns and demand.
func (l *Limiter) deleteIfIdle(now time.Time, k Key, s *localState) {
	// Keep the time of a request that has had no response: its next Admit may start the fallback.
	if !s.pendingSince.IsZero() && now.Sub(s.pendingSince) < 2*Lifetime {
		return
	}
	if s.inUse == 0 && s.permits == 0 && s.requests == 0 && s.tokens == 0 && s.waiting == 0 &&
		s.demandRequests == 0 && s.intervalRequests == 0 && s.returnRequests == 0 && s.returnTokens == 0 && !s.sending && !s.recorded && s.mode == modeAllowance {
		delete(l.states, k)
	}
}

// updateDemand adds the completed intervals to the moving average of the demand.
func (s *localState) updateDemand(now time.Time) {
	if now.Sub(s.intervalStart) < BatchInterval {
		return
	}
	intervals := float64(now.Sub(s.intervalStart)) / float64(BatchInterval)
	s.demandRequests += demandAlpha * (s.intervalRequests/intervals - s.demandRequests)
	s.demandTokens += demandAlpha * (s.intervalTokens/intervals - s.demandTokens)
	if s.demandRequests < 0.001 {
		s.demandRequests, s.demandTokens = 0, 0
	}
	s.intervalRequests, s.intervalTokens, s.intervalStart = 0, 0, now
}

// target returns the allowances that the entry wants to have ahead of its demand. Below one request this is zero: if
// many entries each kept one unused request, they could exhaust a small limit.
func (s *localState) target() (requests, tokens float64, spare int) {
	intervals := float64(prefetchTime / BatchInterval)
	requests = math.Floor(s.demandRequests * intervals)
	if requests < 1 {
		return 0, 0, 0
	}
	return requests, s.demandTokens * intervals, int(requests)
}

// needsCall reports whether the next batch to the owner must include this key.
func (s *localState) needsCall(now time.Time) bool {
	requests, tokens, _ := s.target()
	switch {
	case s.waiting > 0, s.mode != modeAllowance:
		return true
	case s.contended && s.permits > s.inUse:
		return now.Sub(s.respondedAt) >= BatchInterval
	case s.returnRequests != 0 || s.returnTokens != 0:
		return now.Sub(s.respondedAt) >= 5*BatchInterval
	case s.limits.Requests > 0 && s.requests < requests/2, s.limits.Tokens > 0 && s.tokens < tokens/2:
		return true
	case s.limits.Concurrency > 0 && s.inUse > 0 || s.permits > 0 || s.requests > 0 || s.tokens > 0:
		return s.expires.Sub(now) <= renewBefore
	default:
		return s.recorded && s.demandRequests == 0
	}
}

func (s *localState) demand(now time.Time, k Key) Demand {
	s.expire(now)
	requests, tokens, spare := s.target()
	d := Demand{
		Class: k.Class, Workspace: k.Workspace, Limits: s.limits,
		ReturnRequests: s.returnRequests, ReturnTokens: s.returnTokens,
		InUse: s.inUse, Permits: s.permits, Waiting: s.waiting, Spare: spare, NeedTokens: s.needTokens,
	}
	s.returnRequests, s.returnTokens = 0, 0
	if s.limits.Requests > 0 {
		requests = math.Ceil(requests + float64(s.waiting))
		d.UnusedRequests, d.WantRequests, d.ReturnRequests = split(s.requests, requests, d.ReturnRequests)
		s.requests = d.UnusedRequests
	}
	if s.limits.Tokens > 0 {
		d.UnusedTokens, d.WantTokens, d.ReturnTokens = split(s.tokens, tokens+s.waitingTokens, d.ReturnTokens)
		s.tokens = d.UnusedTokens
	}
	if s.limits.Concurrency <= 0 {
		d.InUse, d.Permits, d.Waiting, d.Spare = 0, 0, 0, 0
		d.Once = spare == 0 && d.UnusedRequests == 0 && d.UnusedTokens == 0
	}
	if s.contended {
		d.Spare = 0
	}
	s.permits = min(s.permits, d.InUse+d.Waiting+d.Spare)
	d.Permits = s.permits
	s.waiting, s.waitingTokens, s.needTokens = 0, 0, 0
	return d
}

// split divides an unused allowance into the part to keep, up to the target, and the part to give back. It adds the
// latter to returned, and also returns how much is missing from the target.
func split(unused, target, returned float64) (keep, want, back float64) {
	if unused > target {
		return target, 0, returned + unused - target
	}
	return unused, target - unused, returned
}

func (s *localState) apply(now, sentAt time.Time, d *Demand, g *Grant) {
	if g.Status != StatusGranted && g.Status != StatusTakingOver || !g.valid() {
		s.returnTokens += math.Min(0, d.ReturnTokens)
		if g.Owner != "" {
			s.owner = g.Owner
		}
		return
	}
	s.respondedAt = now
	s.recorded = !d.idle() && !d.Once
	expires := sentAt.Add(Lifetime)
	if now.Before(expires) {
		s.expires = expires
		s.requests += g.Requests
		s.tokens += g.Tokens
		s.permits = g.Permits
	}
	if g.Status == StatusTakingOver {
		s.startFallback(now, modeTakeover)
		return
	}
	if s.mode == modeTakeover && s.expires.Equal(expires) {
		// The new owner's buckets refill only from the end of the takeover; until then the shares did.
		s.requests += s.shareRequests
		s.tokens += math.Max(0, s.shareTokens)
	}
	s.endFallback()
	s.contended = g.Contended
	s.pendingSince = time.Time{}
	s.refusal, s.refusedUntil = refusalFor(now, d, g)
}

// refusalFor returns the decision for requests before the next batch if the owner could not meet the demand, and until
// when it applies.
func refusalFor(now time.Time, d *Demand, g *Grant) (Decision, time.Time) {
	retry := time.Duration(g.RetryMs) * time.Millisecond
	until := now.Add(BatchInterval)
	switch {
	case d.WantRequests > 0 && d.UnusedRequests+g.Requests < 1:
		return Decision{RequestRate, retry}, until
	case d.NeedTokens > 0 && d.UnusedTokens+g.Tokens < d.NeedTokens && d.Limits.Tokens > 0:
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

// Run sends the batches and calls the Owner's Tick until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(BatchInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.sendNow:
		case <-ticker.C:
		}
		now := l.settings.Clock()
		l.settings.Owner.Tick(now)
		for _, b := range l.Collect(now) {
			calls.Go(func() { l.send(ctx, &b) })
		}
	}
}

func (l *Limiter) send(ctx context.Context, b *Batch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	g, err := l.call(ctx, b)
	if err != nil {
		l.Fail(l.settings.Clock(), b)
		return
	}
	l.Apply(l.settings.Clock(), b, g)
}

func (l *Limiter) call(ctx context.Context, b *Batch) (*AllowanceGrant, error) {
	payload, err := l.settings.Codec.Marshal(&b.Request)
	if err != nil {
		return nil, fmt.Errorf("encode allowance request: %w", err)
	}
	response, err := l.settings.Client.Call(ctx, b.Owner, Method, payload)
	if err != nil {
		return nil, fmt.Errorf("request allowance from %s: %w", b.Owner, err)
	}
	var g AllowanceGrant
	if err := l.settings.Codec.Unmarshal(response, &g); err != nil {
		return nil, fmt.Errorf("decode allowance grant of %s: %w", b.Owner, err)
	}
	return &g, nil
}
