package place

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of the work that a replica holds.
const (
	// sweepPause is the shortest time between two looks at all lines.
	sweepPause = 10 * time.Millisecond
	// movePause is the shortest time between two looks for better places for waiting jobs. A first event takes at least
	// this long, so that less is known sooner.
	movePause = 50 * time.Millisecond
)

// Ticket is a job that waits for room at a replica, or has got it.
type Ticket struct {
	job     *Job
	profile Profile
	choice  Choice
	// Granted receives the choice once. The load is counted from then on, until Ended.
	Granted chan Choice
	// Patience ends the wait for room: the first event could then come only long after the job's target.
	Patience time.Time
	waiting  bool
}

// lines holds the waiting jobs of each replica.
type lines struct {
	mu    sync.Mutex
	byKey map[Key][]*Ticket
	swept time.Time
	moved time.Time
}

func newLines() lines { return lines{byKey: map[Key][]*Ticket{}} }

// keys returns the replicas with lines in a fixed order, so that the same load gives the same decisions.
func (l *lines) keys() []Key { return slices.Sorted(maps.Keys(l.byKey)) }

// Enter asks for a place for the job. Its choice is on Granted at once when there is room. It answers the pattern of a
// burst of long prompts: an engine works on all it has at once, so what waits here instead can still be ordered, and go
// elsewhere. The result is false when the service has no replica that was not tried yet.
func (p *Placer) Enter(job *Job, now time.Time) (*Ticket, bool) {
	profile := Profile{}
	if len(job.Parts) > 0 {
		profile = p.mix.Note(job, now)
	}
	choice, ok := p.pick(job, profile, now)
	if !ok {
		return nil, false
	}
	t := &Ticket{
		job: job, profile: profile, choice: choice, Granted: make(chan Choice, 1),
		Patience: job.Arrived.Add(time.Duration(p.set.Patience * float64(job.Target))),
	}
	p.lines.mu.Lock()
	defer p.lines.mu.Unlock()
	if !p.gated(t) || p.open(t, now) {
		p.grant(t, now)
		return t, true
	}
	if p.hopeless(t, now) {
		t.Patience = now
		return t, true
	}
	p.wait(t)
	return t, true
}

// Insist places a job whose patience ended anywhere, and reports whether it did. Only urgent jobs may insist: they would
// otherwise get nothing while larger and less urgent ones begin elsewhere. It answers homes that are blocked by a few very
// long prompts.
func (p *Placer) Insist(t *Ticket, now time.Time) bool {
	if !t.urgent() {
		return false
	}
	l := (*p.layout.Load())[t.job.Service]
	if l == nil {
		return false
	}
	p.lines.mu.Lock()
	defer p.lines.mu.Unlock()
	if t.waiting || len(t.Granted) > 0 {
		return len(t.Granted) > 0
	}
	choice, ok := p.least(t.job, l.long, l.lent, ReasonInsisted, now)
	if !ok {
		return false
	}
	choice.Reason = ReasonInsisted // least names its second pool an overflow
	t.choice = choice
	p.grant(t, now)
	return true
}

// hopeless reports whether the job would wait longer than its patience for what is ahead of it, so that it is better told
// at once.
func (p *Placer) hopeless(t *Ticket, now time.Time) bool {
	load := p.Board.Total(t.choice.Key, now)
	ahead := load.Waiting
	if t.urgent() {
		ahead = load.Urgent
	}
	wait := time.Duration(p.set.HopelessShare * float64(readingTime(ahead)))
	return now.Add(wait).After(t.Patience)
}

// Leave gives up a ticket that may still wait. A choice that was granted must be ended by the caller.
func (p *Placer) Leave(t *Ticket) {
	p.lines.mu.Lock()
	defer p.lines.mu.Unlock()
	if !t.waiting {
		return
	}
	line := p.lines.byKey[t.choice.Key]
	if i := slices.Index(line, t); i >= 0 {
		p.lines.byKey[t.choice.Key] = slices.Delete(line, i, i+1)
	}
	p.unwait(t)
}

// Considered returns the choice that the ticket waits for, with the load that is seen now, for logs.
func (p *Placer) Considered(t *Ticket, now time.Time) Choice {
	c := t.choice
	c.Load, c.ReportAge = p.Board.Total(c.Key, now), p.Board.ReportAge(now)
	return c
}

// ReturnAfter returns when a job that was refused for lack of room should come back: when what waits now has been read.
func (p *Placer) ReturnAfter(t *Ticket, now time.Time) time.Duration {
	ahead := p.Board.Total(t.choice.Key, now)
	return readingTime(ahead.Prefill + ahead.Waiting)
}

// gated reports whether the job has to wait for room. Short prompts don't: they are what the room is kept for. Repeated ones
// don't either.
func (p *Placer) gated(t *Ticket) bool {
	return len(t.job.Parts) > 0 && !t.profile.Short && !t.job.Repeated && t.choice.Reason != ReasonLastResort
}

// open reports whether the replica has room for the ticket and nobody of the same rank is ahead of it.
func (p *Placer) open(t *Ticket, now time.Time) bool {
	if line := p.lines.byKey[t.choice.Key]; len(line) > 0 && !before(t, line[0], now) {
		return false
	}
	return p.hasRoom(t, now)
}

// hasRoom reports whether the replica may get the ticket's prompt. Urgent prompts that wait at any entry go first.
func (p *Placer) hasRoom(t *Ticket, now time.Time) bool {
	load := p.Board.Total(t.choice.Key, now)
	if load.Urgent > 0 && !t.urgent() {
		return false
	}
	return float64(load.Prefill)/prefillRate <= p.window(t)
}

func (t *Ticket) urgent() bool { return t.profile.urgent(t.job) }

// window is the work, in milliseconds, that may be ahead of the ticket's prompt at its replica. The most urgent prompts find
// at most the window of the others before them.
func (p *Placer) window(t *Ticket) float64 {
	share := p.set.WindowShare
	if t.urgent() {
		share = p.set.UrgentWindowShare
	}
	return share * milliseconds(t.profile.Tightest)
}

// before orders a line: the more urgent first; then those that can still be in time; then the oldest.
func before(a, b *Ticket, now time.Time) bool {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority < b.job.Priority
	}
	if inTimeA, inTimeB := a.inTime(now), b.inTime(now); inTimeA != inTimeB {
		return inTimeA
	}
	return a.job.Arrived.Before(b.job.Arrived)
}

// inTime reports whether the job's first event can come within its target if the job is sent now.
func (t *Ticket) inTime(now time.Time) bool {
	return now.Add(readingTime(t.choice.Prefill)).Before(t.job.Arrived.Add(t.job.Target))
}

func (p *Placer) wait(t *Ticket) {
	t.waiting = true
	p.Board.Add(t.choice.Key, t.queued(1))
	p.lines.byKey[t.choice.Key] = append(p.lines.byKey[t.choice.Key], t)
}

func (p *Placer) unwait(t *Ticket) {
	t.waiting = false
	p.Board.Add(t.choice.Key, t.queued(-1))
}

// queued is the load of the waiting ticket, times sign.
func (t *Ticket) queued(sign int) Load {
	l := Load{Waiting: sign * t.choice.Prefill}
	if t.urgent() {
		l.Urgent = l.Waiting
	}
	return l
}

// grant counts the job at its replica. The tokens to read and their source are looked up again, because an earlier job of
// the same parts may have been sent while this one waited.
func (p *Placer) grant(t *Ticket, now time.Time) {
	if len(t.job.Parts) > 0 {
		t.choice.Source, t.choice.Prefill = nil, p.cached.missing(t.choice.Key, t.job.Parts, now)
		p.readCost(&t.choice, t.job, now)
	}
	t.choice.Load, t.choice.ReportAge = p.Board.Total(t.choice.Key, now), p.Board.ReportAge(now)
	p.cached.note(t.choice.Key, t.job.Parts, now)
	t.choice.Short = t.profile.Short
	p.Board.Add(t.choice.Key, t.choice.running(1).plus(Load{Prefill: t.choice.Prefill}))
	t.Granted <- t.choice
}

// room grants what fits at a replica.
func (p *Placer) room(replica Key, now time.Time) {
	p.lines.mu.Lock()
	defer p.lines.mu.Unlock()
	p.serveLine(replica, now)
}

// rooms looks at all lines, after reports of other entries.
func (p *Placer) rooms(now time.Time) {
	p.lines.mu.Lock()
	defer p.lines.mu.Unlock()
	if now.Sub(p.lines.swept) < sweepPause {
		return
	}
	p.lines.swept = now
	for _, replica := range p.lines.keys() {
		p.serveLine(replica, now)
	}
	p.moveOn(now)
}

// moveOn sends waiting jobs to other replicas where that has become better. It answers replicas that fall silent or slow
// down with a line before them.
func (p *Placer) moveOn(now time.Time) {
	if now.Sub(p.lines.moved) < movePause {
		return
	}
	p.lines.moved = now
	for _, replica := range p.lines.keys() {
		for _, t := range slices.Clone(p.lines.byKey[replica]) {
			p.move(t, now)
		}
	}
}

// move gives the ticket a new choice. Its own tokens don't count against the replica where it waits.
func (p *Placer) move(t *Ticket, now time.Time) {
	old := t.choice
	p.Board.Add(old.Key, t.queued(-1))
	choice, ok := p.pick(t.job, t.profile, now)
	p.Board.Add(old.Key, t.queued(1))
	if !ok || choice.Key == old.Key {
		return
	}
	line := p.lines.byKey[old.Key]
	if i := slices.Index(line, t); i >= 0 {
		p.lines.byKey[old.Key] = slices.Delete(line, i, i+1)
	}
	p.unwait(t)
	t.choice = choice
	if p.open(t, now) {
		p.grant(t, now)
		return
	}
	p.wait(t)
}

func (p *Placer) serveLine(replica Key, now time.Time) {
	line := p.lines.byKey[replica]
	for len(line) > 0 {
		first := 0
		for i := 1; i < len(line); i++ {
			if before(line[i], line[first], now) {
				first = i
			}
		}
		t := line[first]
		if !p.hasRoom(t, now) {
			break
		}
		line = slices.Delete(line, first, first+1)
		p.unwait(t)
		p.grant(t, now)
	}
	if len(line) == 0 {
		delete(p.lines.byKey, replica)
		return
	}
	p.lines.byKey[replica] = line
}
