package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/quarantine"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	simulationStep = 10 * time.Millisecond
	messageDelay   = 10 * time.Millisecond
	// tickInterval and evidence sends are those of an edge.
	tickInterval     = 100 * time.Millisecond
	evidenceSends    = 3
	evidenceInterval = 150 * time.Millisecond
	reportInterval   = 400 * time.Millisecond
	// firstEventTime is the time from a send to the first event, crashTime the time from there to the crash under a bad part,
	// and answerTime the length of an answer.
	firstEventTime = 120 * time.Millisecond
	crashTime      = 80 * time.Millisecond
	answerTime     = 900 * time.Millisecond
	// restartTime is how long a crashed replica is away.
	restartTime = 3 * time.Second
	// maxRefusedShare is how many in 100 sound requests may be refused while lost messages mislead an entry.
	maxRefusedShare = 5
	// contactTime is the platform's bound for what the entries must learn from each other.
	contactTime = 3 * time.Second
)

// simulation is a fleet of entries in virtual time with replicas that crash on bad parts.
type simulation struct {
	rng  *rand.Rand
	now  time.Time
	loss float64

	entries  []*entry
	replicas []*replica
	events   []event
	bad      map[string]bool

	// crashes under bad parts, and the sends of requests with one.
	crashes  []time.Time
	badSends []time.Time
	// refused and sent count sound requests.
	refused, sent int
}

type entry struct {
	tracker *quarantine.Tracker
	down    bool
}

type replica struct {
	id       uint32
	down     bool
	requests []*running
}

type running struct {
	entry *entry
	parts []string
	sent  time.Time
	begun time.Time
	retry bool
}

type event struct {
	at  time.Time
	run func()
}

func newSimulation(seed uint64, entries, replicas int, loss float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, loss: loss, bad: map[string]bool{}}
	for range entries {
		s.entries = append(s.entries, s.newEntry())
	}
	for n := range replicas {
		s.replicas = append(s.replicas, &replica{id: uint32(n + 1)})
	}
	return s
}

func (s *simulation) newEntry() *entry {
	e := &entry{}
	e.tracker = quarantine.New(quarantine.Options{MayTry: func() bool { return s.entries[0] == e }})
	return e
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events = append(s.events, event{s.now.Add(d), run})
}

// run advances the time, and calls each before every step.
func (s *simulation) run(d time.Duration, each func(at time.Duration)) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simulationStep) {
		each(s.now.Sub(epoch))
		due := s.events
		s.events = nil
		for _, e := range due {
			if e.at.After(s.now) {
				s.events = append(s.events, e)
				continue
			}
			e.run()
		}
		if s.now.Sub(epoch)%tickInterval == 0 {
			for _, e := range s.entries {
				e.tracker.Tick(s.now)
				if proven := e.tracker.TakeProven(s.now); len(proven) > 0 {
					s.broadcast(e, func(t *quarantine.Tracker) { t.ApplySound(proven, s.now) })
				}
			}
		}
		if s.now.Sub(epoch)%reportInterval == 0 {
			s.exchange()
		}
	}
}

// exchange sends the entries' digests around, and copies of the quarantine where they differ.
func (s *simulation) exchange() {
	for _, from := range s.entries {
		if from.down {
			continue
		}
		list := from.tracker.Entries()
		for _, to := range s.entries {
			if to != from && to.tracker.Digest() != from.tracker.Digest() {
				s.deliver(to, func() { to.tracker.Merge(list, s.now) })
			}
		}
	}
}

func (s *simulation) deliver(to *entry, apply func()) {
	if s.rng.Float64() < s.loss {
		return
	}
	s.after(messageDelay, func() {
		if !to.down {
			apply()
		}
	})
}

// broadcast sends evidence as often as an edge does.
func (s *simulation) broadcast(from *entry, apply func(*quarantine.Tracker)) {
	for n := range evidenceSends {
		s.after(time.Duration(n)*evidenceInterval, func() {
			if from.down {
				return
			}
			for _, to := range s.entries {
				if to != from {
					s.deliver(to, func() { apply(to.tracker) })
				}
			}
		})
	}
}

// request sends a request from a random entry to a random replica that is up.
func (s *simulation) request(parts ...string) {
	s.send(s.entries[s.rng.IntN(len(s.entries))], parts, false)
}

func (s *simulation) isBad(parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return s.bad[part] })
}

func (s *simulation) send(e *entry, parts []string, retry bool) {
	bad := s.isBad(parts)
	// A request is checked when it arrives and when it is sent.
	allowed := e.tracker.Admit(parts, false, s.now).Allowed && e.tracker.Admit(parts, true, s.now).Allowed
	if !bad {
		s.sent++
		if !allowed {
			s.refused++
		}
	}
	up := slices.DeleteFunc(slices.Clone(s.replicas), func(r *replica) bool { return r.down })
	if !allowed || len(up) == 0 {
		return
	}
	if bad {
		s.badSends = append(s.badSends, s.now)
	}
	r := up[s.rng.IntN(len(up))]
	q := &running{entry: e, parts: parts, sent: s.now, retry: retry}
	r.requests = append(r.requests, q)
	active := func(then func()) func() {
		return func() {
			if slices.Contains(r.requests, q) {
				then()
			}
		}
	}
	s.after(firstEventTime, active(func() { q.begun = s.now }))
	if bad {
		s.after(firstEventTime+crashTime, active(func() {
			s.crashes = append(s.crashes, s.now)
			s.crash(r)
		}))
	}
	s.after(firstEventTime+quarantine.StartPeriod, active(func() { s.answered(q) }))
	s.after(firstEventTime+answerTime, active(func() { r.requests = slices.DeleteFunc(r.requests, func(o *running) bool { return o == q }) }))
}

func (s *simulation) answered(q *running) {
	if cleared := q.entry.tracker.RecordSound(q.parts, q.begun, s.now); len(cleared) > 0 {
		s.broadcast(q.entry, func(t *quarantine.Tracker) { t.ApplySound(cleared, s.now) })
	}
}

// crash ends a replica. Each entry reports what it had beginning there, and repeats what it may.
func (s *simulation) crash(r *replica) {
	requests := r.requests
	r.requests, r.down = nil, true
	s.after(restartTime, func() {
		r.id += 1000
		r.down = false
	})
	at := s.now
	for _, e := range s.entries {
		found, seen := quarantine.Crash{Replica: r.id, At: at}, false
		for _, q := range requests {
			if q.entry == e {
				seen = true
			}
			if q.entry != e || !q.begun.IsZero() && at.Sub(q.begun) >= quarantine.StartPeriod {
				continue
			}
			for depth, part := range q.parts {
				found.Suspects = append(found.Suspects, quarantine.Suspect{Part: part, Depth: depth, Sent: q.sent})
			}
		}
		if !seen {
			continue
		}
		e.tracker.RecordCrash(found, s.now)
		s.broadcast(e, func(t *quarantine.Tracker) { t.RecordCrash(found, s.now) })
	}
	for _, q := range requests {
		if !q.retry && q.entry.tracker.MayRepeat(q.parts, s.now) {
			s.send(q.entry, q.parts, true)
		}
	}
}

// heldParts returns the parts that an entry holds back.
func heldParts(t *quarantine.Tracker) []string {
	var list []string
	for _, e := range t.Entries() {
		if e.Held {
			list = append(list, e.Part)
		}
	}
	slices.Sort(list)
	return list
}

// lateBadSends returns the number of requests with a bad part that were sent after all entries had to know it.
func (s *simulation) lateBadSends() int {
	if len(s.crashes) < 5 {
		return 0
	}
	known, n := s.crashes[4].Add(contactTime), 0
	for _, at := range s.badSends {
		if at.After(known) {
			n++
		}
	}
	return n
}

// soundTraffic sends sound requests of a few routes: their first part is shared by a quarter of the requests, their second one by a
// subject.
func (s *simulation) soundTraffic(perSecond float64) {
	if s.rng.Float64() < perSecond*simulationStep.Seconds() {
		s.request(fmt.Sprintf("root%d", s.rng.IntN(4)), fmt.Sprintf("subject%d", s.rng.IntN(60)))
	}
}

// Guards against requests with a bad part that reach replicas again and again when each of many entries sees few of them and
// messages are lost, and against sound requests that are held back with them because they share all other parts.
func TestBadPartIsHeldBackByAllEntries(t *testing.T) {
	for _, c := range []struct {
		entries, replicas int
		loss, badPerS     float64
	}{{1, 12, 0, 3}, {5, 12, 0, 8}, {5, 12, 0.3, 8}, {24, 44, 0.1, 10}, {103, 180, 0.1, 20}, {103, 180, 0, 1}} {
		for seed := range uint64(6) {
			s := newSimulation(seed, c.entries, c.replicas, c.loss)
			s.bad["bad"] = true
			s.run(25*time.Second, func(at time.Duration) {
				s.soundTraffic(40)
				if at >= 3*time.Second && s.rng.Float64() < c.badPerS*simulationStep.Seconds() {
					s.request("root0", fmt.Sprintf("subject%d", s.rng.IntN(60)), "bad")
				}
			})
			if n := s.lateBadSends(); n > 3 {
				t.Errorf("%+v, seed %d: %d bad requests after all entries had to know, want at most 3", c, seed, n)
			}
			for n, e := range s.entries {
				if held := heldParts(e.tracker); !slices.Equal(held, []string{"bad"}) {
					t.Errorf("%+v, seed %d: entry %d holds back %v, want [bad]", c, seed, n, held)
				}
			}
			if s.refused > maxRefusedShare*s.sent/100 {
				t.Errorf("%+v, seed %d: %d of %d sound requests refused, want at most %d in 100", c, seed, s.refused, s.sent, maxRefusedShare)
			}
			t.Logf("%+v, seed %d: %d crashes, %d of %d sound requests refused", c, seed, len(s.crashes), s.refused, s.sent)
		}
	}
}

// Guards against sound prompts that are held back because replicas crash for another reason: one after the other, at the same
// moment, or a zone at a time.
func TestOrdinaryCrashesHoldNothingBack(t *testing.T) {
	patterns := map[string]func(s *simulation, at time.Duration){
		"one after the other": func(s *simulation, at time.Duration) {
			if at%(400*time.Millisecond) == 0 {
				s.crashRandom(1)
			}
		},
		"half of them at once": func(s *simulation, at time.Duration) {
			if at%(4*time.Second) == 2*time.Second {
				s.crashRandom(6)
			}
		},
		"waves of a zone": func(s *simulation, at time.Duration) {
			if at%(1200*time.Millisecond) == 0 {
				s.crashRandom(4)
			}
		},
		"all again and again": func(s *simulation, at time.Duration) {
			if at%(3500*time.Millisecond) == 0 {
				s.crashRandom(12)
			}
		},
	}
	for name, pattern := range patterns {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				s := newSimulation(seed, 5, 12, 0.05)
				s.run(30*time.Second, func(at time.Duration) {
					s.soundTraffic(60)
					pattern(s, at)
				})
				if s.refused > 0 {
					t.Errorf("seed %d: %d of %d sound requests refused; held: %v", seed, s.refused, s.sent, heldParts(s.entries[0].tracker))
				}
			}
		})
	}
}

func (s *simulation) crashRandom(n int) {
	for _, i := range s.rng.Perm(len(s.replicas))[:n] {
		if !s.replicas[i].down {
			s.crash(s.replicas[i])
		}
	}
}

// Guards against entries that were cut off, killed or started later and don't learn what the others know.
func TestEntriesThatWereAwayLearnTheQuarantine(t *testing.T) {
	s := newSimulation(7, 5, 12, 0.2)
	s.bad["bad"] = true
	s.entries[4].down = true
	s.run(10*time.Second, func(at time.Duration) {
		s.soundTraffic(40)
		if at%(200*time.Millisecond) == 0 {
			s.send(s.entries[s.rng.IntN(4)], []string{"root0", "bad"}, false)
		}
	})
	s.entries[4].down = false
	s.entries[1] = s.newEntry()
	s.entries = append(s.entries, s.newEntry())
	s.run(contactTime, func(time.Duration) { s.soundTraffic(40) })
	for n, e := range s.entries {
		if held := heldParts(e.tracker); !slices.Equal(held, []string{"bad"}) {
			t.Errorf("entry %d holds back %v, want [bad]", n, held)
		}
	}
}

// Guards against a part that stays quarantined although it has become sound, and against trials that crash replica after replica
// while it has not.
func TestPartThatIsSoundAgainIsTriedRarely(t *testing.T) {
	s := newSimulation(3, 5, 12, 0)
	s.bad["bad"] = true
	traffic := func(at time.Duration) {
		if at%(100*time.Millisecond) == 0 {
			s.request("root0", "bad")
		}
		if at%(50*time.Millisecond) == 0 {
			s.request("root0", "subject")
		}
	}
	s.run(10*time.Second, traffic)
	known := len(s.badSends)
	s.run(5*time.Minute, traffic)
	if n := len(s.badSends) - known; n < 1 || n > 3 {
		t.Errorf("%d trials of a bad part in five minutes, want 1 to 3", n)
	}
	s.bad["bad"] = false
	s.run(30*time.Minute, traffic)
	for n, e := range s.entries {
		if held := heldParts(e.tracker); len(held) > 0 {
			t.Errorf("entry %d still holds back %v, which is sound again", n, held)
		}
	}
}
