package limit

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Fault is the failure injected into a Simulate run.
type Fault string

// Faults. Each starts after a third of the run.
const (
	FaultNone Fault = "none"
	// FaultOwnerDies stops the owner permanently; the instance list shows it after ListLag.
	FaultOwnerDies Fault = "owner_dies"
	// FaultOwnerPauses pauses the owner's process for FaultTime; calls to it wait.
	FaultOwnerPauses Fault = "owner_pauses"
	// FaultEntryIsolated fails every call to and from one entry, other than the owner, for FaultTime.
	FaultEntryIsolated Fault = "entry_cut_off"
	// FaultPartition fails the calls between two halves of the entries for FaultTime; the instance list does not show
	// it.
	FaultPartition Fault = "partition"
	// FaultJoin adds an entry that becomes the owner; the instance list shows it after ListLag.
	FaultJoin Fault = "join"
)

// Faults lists every fault.
var Faults = []Fault{FaultNone, FaultOwnerDies, FaultOwnerPauses, FaultEntryIsolated, FaultPartition, FaultJoin}

// Scenario describes a Simulate run of one key.
type Scenario struct {
	Entries int
	Limits  Limits
	// Offered is the offered load as a multiple of the request limit.
	Offered float64
	// Tokens is the reservation of each request, which uses between half of it and all of it.
	Tokens int
	// RequestDuration is how long a request runs.
	RequestDuration time.Duration
	// Delay is the network delay in one direction, ListLag the delay until the instance list shows a change.
	Delay, ListLag time.Duration
	Fault          Fault
	FaultTime      time.Duration
	Duration       time.Duration
	Seed           uint64
	// Skew is the share of the load that goes to the first entry; the rest is spread evenly over all.
	Skew float64
}

// Overshoot is the result of Simulate.
type Overshoot struct {
	// Requests and Tokens are the largest excess in any 10 s over the limit times 10 s plus one burst, as a share of
	// that bound.
	Requests, Tokens float64
	// Concurrency is the largest excess of the requests in flight, as a share of the limit.
	Concurrency float64
	// Utilization is the used share of the most used limit over the whole run.
	Utilization float64
	// Calls is the number of calls between entries per admitted request.
	Calls float64
	// Admitted, Waited and Offered count requests; Waited are those whose first result was Wait.
	Admitted, Waited, Offered int
}

const (
	simStep   = 5 * time.Millisecond
	simWindow = 10 * time.Second
	// simQueueTimeout is how long a simulated request waits for a decision.
	simQueueTimeout = time.Second
	simQueueLength  = 64
)

type simEntry struct {
	name    string
	limiter *Limiter
	owner   *Owner
	joined  bool
	dead    bool
	stopped time.Time
	running []simRun
	waiting []time.Time
	// changed is closed when the waiting requests are to be retried.
	changed <-chan struct{}
}

type simRun struct {
	ends     time.Time
	reserved int
	used     int
}

type simCall struct {
	from, to *simEntry
	batch    Batch
	at       time.Time
	response *AllowanceGrant
	failed   bool
}

type simulation struct {
	sc          Scenario
	key         Key
	rng         *rand.Rand
	now         time.Time
	start       time.Time
	entries     []*simEntry
	ownerIdx    int
	calls       []simCall
	sent        int
	admits      []simAdmit
	peak        int
	inFlightSum float64
	waited      int
	offered     int
}

type simAdmit struct {
	at     time.Time
	tokens int
}

// Simulate runs entries that share one key in virtual time under a fault, and reports by how much they exceeded the
// limits.
func Simulate(sc Scenario) Overshoot {
	s := &simulation{
		sc: sc, key: Key{"class", "workspace"}, rng: rand.New(rand.NewPCG(sc.Seed, 1)),
		start: time.Unix(1_000_000, 0),
	}
	s.now = s.start
	s.setUp()
	for s.now.Sub(s.start) < sc.Duration {
		s.now = s.now.Add(simStep)
		s.applyFaults()
		s.deliver()
		for i, e := range s.entries {
			if e.joined && !s.stopped(e) {
				s.step(i, e)
			}
		}
		s.recordInFlight()
	}
	return s.result()
}

func (s *simulation) setUp() {
	n := s.sc.Entries
	if s.sc.Fault == FaultJoin {
		n++
	}
	for i := range n {
		e := &simEntry{name: "entry-" + strconv.Itoa(i), joined: true}
		e.owner = NewOwner(e.name, func() time.Time { return s.now }, Codec{})
		e.owner.AssumeFresh()
		e.limiter = NewLimiter(LimiterSettings{
			Self: e.name, Limits: func(Key) Limits { return s.sc.Limits }, Owner: e.owner,
			Clock: func() time.Time { return s.now },
		})
		s.entries = append(s.entries, e)
	}
	owner := s.members(nil).owner(s.key)
	for i, e := range s.entries {
		if e.name == owner {
			s.ownerIdx = i
		}
	}
	if s.sc.Fault == FaultJoin {
		joining := s.entries[s.ownerIdx]
		joining.joined = false
		joining.owner = NewOwner(joining.name, func() time.Time { return s.now }, Codec{})
		joining.limiter.settings.Owner = joining.owner
		s.announce(joining)
		return
	}
	s.announce(nil)
}

func (s *simulation) members(without *simEntry) Members {
	var m Members
	for _, e := range s.entries {
		if e != without {
			m.Live = append(m.Live, e.name)
		}
	}
	return m
}

// announce sets the members of every running entry to all entries except without.
func (s *simulation) announce(without *simEntry) {
	m := s.members(without)
	for _, e := range s.entries {
		if e != without && e.joined && !s.stopped(e) {
			e.owner.SetMembers(s.now, m)
			e.limiter.SetMembers(m)
		}
	}
}

// faultTimeReached reports whether the time since the start of the fault reaches d in this step.
func (s *simulation) faultTimeReached(d time.Duration) bool {
	since := s.now.Sub(s.start) - s.sc.Duration/3
	return since >= d && since-simStep < d
}

func (s *simulation) applyFaults() {
	e := s.entries[s.ownerIdx]
	switch s.sc.Fault {
	case FaultOwnerDies:
		if s.faultTimeReached(0) {
			e.dead, e.stopped = true, s.now
		}
		if s.faultTimeReached(s.sc.ListLag) {
			s.announce(e)
		}
	case FaultOwnerPauses:
		if s.faultTimeReached(s.sc.ListLag) && s.sc.ListLag < s.sc.FaultTime {
			s.announce(e)
		}
		if s.faultTimeReached(s.sc.FaultTime + s.sc.ListLag) {
			s.announce(nil)
		}
	case FaultJoin:
		if s.faultTimeReached(0) {
			e.joined = true
			m := s.members(nil)
			e.owner.SetMembers(s.now, m)
			e.limiter.SetMembers(m)
		}
		if s.faultTimeReached(s.sc.ListLag) {
			s.announce(nil)
		}
	}
}

func (s *simulation) faultActive() bool {
	since := s.now.Sub(s.start) - s.sc.Duration/3
	return since >= 0 && since < s.sc.FaultTime
}

func (s *simulation) stopped(e *simEntry) bool {
	return e.dead || s.sc.Fault == FaultOwnerPauses && e == s.entries[s.ownerIdx] && s.faultActive()
}

func (s *simulation) unreachable(a, b *simEntry) bool {
	if a.dead || b.dead || !b.joined {
		return true
	}
	if !s.faultActive() {
		return false
	}
	switch s.sc.Fault {
	case FaultEntryIsolated:
		isolated := s.entries[(s.ownerIdx+1)%len(s.entries)]
		return a == isolated || b == isolated
	case FaultPartition:
		return s.inFirstHalf(a) != s.inFirstHalf(b)
	default:
		return false
	}
}

func (s *simulation) inFirstHalf(e *simEntry) bool {
	for i := range s.entries {
		if s.entries[i] == e {
			return i < len(s.entries)/2
		}
	}
	return false
}

// deliver processes the calls and responses that arrive now. A call to a paused process times out at the sender and is
// processed when the process resumes.
func (s *simulation) deliver() {
	calls := s.calls
	s.calls = nil
	for _, c := range calls {
		if !c.failed && !s.stopped(c.from) && (s.unreachable(c.from, c.to) || s.now.Sub(c.batch.SentAt) > callTimeout) {
			c.failed = true
			c.from.limiter.Fail(s.now, &c.batch)
		}
		switch {
		case c.to.dead, c.failed && c.response != nil, s.unreachable(c.from, c.to):
		case c.at.After(s.now), c.response != nil && s.stopped(c.from), c.response == nil && s.stopped(c.to):
			s.calls = append(s.calls, c)
		case c.response != nil:
			c.from.limiter.Apply(s.now, &c.batch, c.response)
		default:
			g := c.to.owner.Grant(s.now, c.from.name, &c.batch.Request)
			c.response, c.at = &g, s.now.Add(s.sc.Delay)
			s.calls = append(s.calls, c)
		}
	}
}

func (s *simulation) step(i int, e *simEntry) {
	running := e.running[:0]
	for _, r := range e.running {
		if r.ends.After(s.now) {
			running = append(running, r)
			continue
		}
		e.limiter.Settle(s.key, r.reserved, r.used)
	}
	e.running = running
	s.retry(e)
	for range s.arrivals(i) {
		s.offered++
		if !s.admit(e) && len(e.waiting) < simQueueLength {
			s.waited++
			e.waiting = append(e.waiting, s.now)
		}
	}
	s.sendBatches(i, e)
}

func (s *simulation) retry(e *simEntry) {
	select {
	case <-e.changed:
	default:
		if int(s.now.Sub(s.start)/simStep)%int(BatchInterval/simStep) != 0 {
			return
		}
	}
	e.changed = e.limiter.Changed()
	waiting := e.waiting
	e.waiting = nil
	for _, since := range waiting {
		if s.now.Sub(since) < simQueueTimeout && !s.admit(e) {
			e.waiting = append(e.waiting, since)
		}
	}
}

func (s *simulation) arrivals(i int) int {
	share := (1 - s.sc.Skew) / float64(len(s.entries))
	if i == 0 {
		share += s.sc.Skew
	}
	mean := s.sc.Offered * s.sc.Limits.Requests * simStep.Seconds() * share
	n := int(mean)
	if s.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// admit reports whether the request was admitted or refused; otherwise it waits.
func (s *simulation) admit(e *simEntry) bool {
	d := e.limiter.Admit(s.now, s.key, s.sc.Tokens)
	if d.Result == Wait {
		return false
	}
	if d.Result == Admitted {
		used := s.sc.Tokens/2 + s.rng.IntN(s.sc.Tokens/2+1)
		e.running = append(e.running, simRun{ends: s.now.Add(s.sc.RequestDuration), reserved: s.sc.Tokens, used: used})
		s.admits = append(s.admits, simAdmit{at: s.now, tokens: used})
	}
	return true
}

func (s *simulation) sendBatches(i int, e *simEntry) {
	step := int(s.now.Sub(s.start) / simStep)
	send := (step+i)%int(BatchInterval/simStep) == 0
	select {
	case <-e.limiter.sendNow:
		send = true
	default:
	}
	if !send {
		return
	}
	e.owner.Tick(s.now)
	for _, b := range e.limiter.Collect(s.now) {
		s.sent++
		s.calls = append(s.calls, simCall{from: e, to: s.entry(b.Owner), batch: b, at: s.now.Add(s.sc.Delay)})
	}
}

func (s *simulation) entry(name string) *simEntry {
	for _, e := range s.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// recordInFlight records the requests in flight. Those of a stopped entry run until the sidecars have cancelled them.
func (s *simulation) recordInFlight() {
	total := 0
	for _, e := range s.entries {
		if e.dead && s.now.Sub(e.stopped) >= sidecarCancelTime {
			continue
		}
		for _, r := range e.running {
			if r.ends.After(s.now) {
				total++
			}
		}
	}
	s.peak = max(s.peak, total)
	s.inFlightSum += float64(total)
}

func (s *simulation) result() Overshoot {
	o := Overshoot{Admitted: len(s.admits), Waited: s.waited, Offered: s.offered}
	l := s.sc.Limits
	window := simWindow.Seconds() + burstTime.Seconds()
	requests, tokens, usedTokens := 0, 0, 0
	from := 0
	for _, a := range s.admits {
		requests++
		tokens += a.tokens
		usedTokens += a.tokens
		for s.admits[from].at.Add(simWindow).Before(a.at) {
			requests--
			tokens -= s.admits[from].tokens
			from++
		}
		o.Requests = max(o.Requests, excess(float64(requests), l.Requests*window))
		o.Tokens = max(o.Tokens, excess(float64(tokens), l.Tokens*window))
	}
	o.Concurrency = max(0, excess(float64(s.peak), float64(l.Concurrency)))
	total := s.sc.Duration.Seconds()
	if l.Requests > 0 {
		o.Utilization = float64(len(s.admits)) / (l.Requests * total)
	}
	if l.Tokens > 0 {
		o.Utilization = max(o.Utilization, float64(usedTokens)/(l.Tokens*total))
	}
	if l.Concurrency > 0 {
		o.Utilization = max(o.Utilization, s.inFlightSum*simStep.Seconds()/(float64(l.Concurrency)*total))
	}
	o.Calls = float64(s.sent) / float64(max(1, len(s.admits)))
	return o
}

func excess(used, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return used/limit - 1
}
