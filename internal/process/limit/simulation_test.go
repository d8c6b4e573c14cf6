package limit

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Fault is what happens during a Simulate run.
type Fault string

// Faults. Each starts after a third of the run.
const (
	FaultNone Fault = "none"
	// FaultOwnerDies stops the owner for good; the others see it after ListLag.
	FaultOwnerDies Fault = "owner_dies"
	// FaultOwnerPauses stops the owner's process for FaultTime; calls to it wait.
	FaultOwnerPauses Fault = "owner_pauses"
	// FaultEntryCutOff breaks every call of one entry that is not the owner for FaultTime.
	FaultEntryCutOff Fault = "entry_cut_off"
	// FaultPartition breaks the calls between two halves for FaultTime; the instance list does not show it.
	FaultPartition Fault = "partition"
	// FaultJoin adds an entry that becomes the owner; the others see it after ListLag.
	FaultJoin Fault = "join"
)

// Faults lists every fault.
var Faults = []Fault{FaultNone, FaultOwnerDies, FaultOwnerPauses, FaultEntryCutOff, FaultPartition, FaultJoin}

// Scenario describes a Simulate run of one key.
type Scenario struct {
	Entries int
	Limits  Limits
	// Offered is the offered load as a multiple of the request limit.
	Offered float64
	// Tokens is reserved per request; between half of it and all of it is used.
	Tokens int
	// Hold is how long a request runs.
	Hold time.Duration
	// Delay is the time of one call in one direction, ListLag the age of the instance list.
	Delay, ListLag time.Duration
	Fault          Fault
	FaultTime      time.Duration
	Duration       time.Duration
	Seed           uint64
	// Skew sends this share of the load to the first entry; the rest is spread evenly.
	Skew float64
}

// Overshoot is the result of Simulate.
type Overshoot struct {
	// Requests and Tokens are the largest share by which any 10 s exceeded the limit times 10 s plus one burst.
	Requests, Tokens float64
	// Concurrency is the largest share by which the requests in flight exceeded the limit.
	Concurrency float64
	// Utilization is the share of the tightest limit that was used over the whole run.
	Utilization float64
	// Calls is the number of calls between entries per admitted request.
	Calls float64
	// Admitted, Waited and Offered count requests; Waited ones were not decided at once.
	Admitted, Waited, Offered int
}

const (
	simStep   = 5 * time.Millisecond
	simWindow = 10 * time.Second
	// simPatience is how long a simulated request waits for a decision.
	simPatience = time.Second
	simQueue    = 64
)

type simEntry struct {
	name    string
	local   *Local
	owner   *Owner
	joined  bool
	dead    bool
	stopped time.Time
	running []simRun
	waiting []time.Time
	// changed is the channel that signals the next answer to the waiting requests.
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
	answer   *AllowanceGrant
	failed   bool
}

type simulation struct {
	sc       Scenario
	key      Key
	rng      *rand.Rand
	now      time.Time
	start    time.Time
	entries  []*simEntry
	ownerIdx int
	calls    []simCall
	sent     int
	admits   []simAdmit
	peak     int
	busy     float64
	waited   int
	offered  int
}

type simAdmit struct {
	at     time.Time
	tokens int
}

// Simulate runs the entries of one key in virtual time under a fault and reports by how much the limits were exceeded.
func Simulate(sc Scenario) Overshoot {
	s := &simulation{
		sc: sc, key: Key{"class", "workspace"}, rng: rand.New(rand.NewPCG(sc.Seed, 1)),
		start: time.Unix(1_000_000, 0),
	}
	s.now = s.start
	s.setUp()
	for s.now.Sub(s.start) < sc.Duration {
		s.now = s.now.Add(simStep)
		s.faults()
		s.deliver()
		for i, e := range s.entries {
			if e.joined && !s.stopped(e) {
				s.step(i, e)
			}
		}
		s.count()
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
		e.local = NewLocal(LocalSettings{
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
		joining.local.set.Owner = joining.owner
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

// announce sets the members of every running entry.
func (s *simulation) announce(without *simEntry) {
	m := s.members(without)
	for _, e := range s.entries {
		if e != without && e.joined && !s.stopped(e) {
			e.owner.SetMembers(s.now, m)
			e.local.SetMembers(m)
		}
	}
}

// at reports that the time since the start of the fault passes d in this step.
func (s *simulation) at(d time.Duration) bool {
	since := s.now.Sub(s.start) - s.sc.Duration/3
	return since >= d && since-simStep < d
}

func (s *simulation) faults() {
	e := s.entries[s.ownerIdx]
	switch s.sc.Fault {
	case FaultOwnerDies:
		if s.at(0) {
			e.dead, e.stopped = true, s.now
		}
		if s.at(s.sc.ListLag) {
			s.announce(e)
		}
	case FaultOwnerPauses:
		if s.at(s.sc.ListLag) && s.sc.ListLag < s.sc.FaultTime {
			s.announce(e)
		}
		if s.at(s.sc.FaultTime + s.sc.ListLag) {
			s.announce(nil)
		}
	case FaultJoin:
		if s.at(0) {
			e.joined = true
			m := s.members(nil)
			e.owner.SetMembers(s.now, m)
			e.local.SetMembers(m)
		}
		if s.at(s.sc.ListLag) {
			s.announce(nil)
		}
	}
}

func (s *simulation) during() bool {
	since := s.now.Sub(s.start) - s.sc.Duration/3
	return since >= 0 && since < s.sc.FaultTime
}

func (s *simulation) stopped(e *simEntry) bool {
	return e.dead || s.sc.Fault == FaultOwnerPauses && e == s.entries[s.ownerIdx] && s.during()
}

func (s *simulation) broken(a, b *simEntry) bool {
	if a.dead || b.dead || !b.joined {
		return true
	}
	if !s.during() {
		return false
	}
	switch s.sc.Fault {
	case FaultEntryCutOff:
		cut := s.entries[(s.ownerIdx+1)%len(s.entries)]
		return a == cut || b == cut
	case FaultPartition:
		return s.half(a) != s.half(b)
	default:
		return false
	}
}

func (s *simulation) half(e *simEntry) bool {
	for i := range s.entries {
		if s.entries[i] == e {
			return i < len(s.entries)/2
		}
	}
	return false
}

// deliver handles the calls whose message arrives now. A call to a stopped process times out at the caller and is
// still processed when the process resumes.
func (s *simulation) deliver() {
	calls := s.calls
	s.calls = nil
	for _, c := range calls {
		if !c.failed && !s.stopped(c.from) && (s.broken(c.from, c.to) || s.now.Sub(c.batch.SentAt) > callTimeout) {
			c.failed = true
			c.from.local.Fail(s.now, &c.batch)
		}
		switch {
		case c.to.dead, c.failed && c.answer != nil, s.broken(c.from, c.to):
		case c.at.After(s.now), c.answer != nil && s.stopped(c.from), c.answer == nil && s.stopped(c.to):
			s.calls = append(s.calls, c)
		case c.answer != nil:
			c.from.local.Apply(s.now, &c.batch, c.answer)
		default:
			g := c.to.owner.Grant(s.now, c.from.name, &c.batch.Request)
			c.answer, c.at = &g, s.now.Add(s.sc.Delay)
			s.calls = append(s.calls, c)
		}
	}
}

func (s *simulation) step(i int, e *simEntry) {
	kept := e.running[:0]
	for _, r := range e.running {
		if r.ends.After(s.now) {
			kept = append(kept, r)
			continue
		}
		e.local.Settle(s.key, r.reserved, r.used)
	}
	e.running = kept
	s.retry(e)
	for range s.arrivals(i) {
		s.offered++
		if !s.admit(e) && len(e.waiting) < simQueue {
			s.waited++
			e.waiting = append(e.waiting, s.now)
		}
	}
	s.flush(i, e)
}

func (s *simulation) retry(e *simEntry) {
	select {
	case <-e.changed:
	default:
		if int(s.now.Sub(s.start)/simStep)%int(Interval/simStep) != 0 {
			return
		}
	}
	e.changed = e.local.Changed()
	waiting := e.waiting
	e.waiting = nil
	for _, since := range waiting {
		if s.now.Sub(since) < simPatience && !s.admit(e) {
			e.waiting = append(e.waiting, since)
		}
	}
}

func (s *simulation) arrivals(i int) int {
	part := (1 - s.sc.Skew) / float64(len(s.entries))
	if i == 0 {
		part += s.sc.Skew
	}
	mean := s.sc.Offered * s.sc.Limits.Requests * simStep.Seconds() * part
	n := int(mean)
	if s.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// admit reports that the request has been decided.
func (s *simulation) admit(e *simEntry) bool {
	d := e.local.Admit(s.now, s.key, s.sc.Tokens)
	if d.Result == Wait {
		return false
	}
	if d.Result == Admitted {
		used := s.sc.Tokens/2 + s.rng.IntN(s.sc.Tokens/2+1)
		e.running = append(e.running, simRun{ends: s.now.Add(s.sc.Hold), reserved: s.sc.Tokens, used: used})
		s.admits = append(s.admits, simAdmit{at: s.now, tokens: used})
	}
	return true
}

func (s *simulation) flush(i int, e *simEntry) {
	step := int(s.now.Sub(s.start) / simStep)
	due := (step+i)%int(Interval/simStep) == 0
	select {
	case <-e.local.kick:
		due = true
	default:
	}
	if !due {
		return
	}
	e.owner.Tick(s.now)
	for _, b := range e.local.Collect(s.now) {
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

// count records the requests in flight; the work of a dead entry runs until the sidecars have cancelled it.
func (s *simulation) count() {
	total := 0
	for _, e := range s.entries {
		if e.dead && s.now.Sub(e.stopped) >= cancelAfter {
			continue
		}
		for _, r := range e.running {
			if r.ends.After(s.now) {
				total++
			}
		}
	}
	s.peak = max(s.peak, total)
	s.busy += float64(total)
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
		o.Utilization = max(o.Utilization, s.busy*simStep.Seconds()/(float64(l.Concurrency)*total))
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
