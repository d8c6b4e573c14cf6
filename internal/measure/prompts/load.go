package prompts

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// Class is a class of requests with its share of the traffic.
type Class struct {
	Name string
	// PerSecond is the rate of new requests; Burst multiplies it between BurstFrom and BurstTo.
	PerSecond          float64
	Burst              float64
	BurstFrom, BurstTo time.Duration
	// shared and own are the mean lengths of the prompt's parts, in tokens.
	shared, own int
	// Subjects is the number of different shared parts. Hot is the share of the requests that want the first one.
	Subjects int
	Hot      float64
	events   int
	// target is the time to the first event, and gap the longest pause, of a request that is in time.
	target, gap time.Duration
	priority    int
	// abandonAfter is when a caller without an event leaves.
	abandonAfter time.Duration
	// worth is what a request in time earns, and late what a late one does.
	worth, late float64
}

// Classes are those of the sheet of tilemend-tw that need an engine: long, chat and short.
func Classes() []Class {
	return []Class{
		{Name: "long", PerSecond: 24, shared: 13300, own: 3720, Subjects: 190, events: 30, target: 1500 * time.Millisecond,
			gap: 800 * time.Millisecond, priority: 2, abandonAfter: 6400 * time.Millisecond, worth: 1.4, late: 0.43},
		{Name: "chat", PerSecond: 16, shared: 6300, own: 2890, Subjects: 196, events: 13, target: 500 * time.Millisecond,
			gap: 300 * time.Millisecond, priority: 1, abandonAfter: 2400 * time.Millisecond, worth: 2.2, late: 0.65},
		{Name: "short", PerSecond: 25, shared: 350, own: 1110, Subjects: 302, events: 43, target: 300 * time.Millisecond,
			gap: 200 * time.Millisecond, priority: 0, abandonAfter: 2 * time.Second, worth: 2.1, late: 0.18},
	}
}

// Load is one load pattern.
type Load struct {
	Name    string
	Classes []Class
	// Entries that share the load, Replicas that run it, and the time for which requests arrive.
	Entries, Replicas int
	Length            time.Duration
	// Report is the time between load reports; 0 means that entries tell each other nothing.
	Report time.Duration
	// Slow engines take SlowBy times as long.
	Slow   int
	SlowBy float64
	// Lost engines end at LostAt, with what they run.
	Lost   int
	LostAt time.Duration
	// Memory of each engine in tokens.
	Memory int
	// Returns is how often a refused caller comes back after the time that it was told.
	Returns int
	// Quiet leaves out the slow spells.
	Quiet bool
	Set   settings.Placement
	// Oracle replaces the placers by one that knows what every engine has to do, holds and how fast it is.
	Oracle bool
}

// Standard is the load that the patterns change: 18 replicas that have read nothing yet, 4 entries.
func Standard() Load {
	cfg := settings.Edge{}
	settings.ApplyDefaults(&cfg)
	return Load{Name: "standard", Classes: Classes(), Entries: 4, Replicas: 18, Length: 12 * time.Second, Report: 30 * time.Millisecond, Memory: memoryTokens, Set: cfg.Placement}
}

// burst multiplies the rate of a class for a time.
func (l *Load) burst(class int, by float64, from, to time.Duration) {
	c := &l.Classes[class]
	c.Burst, c.BurstFrom, c.BurstTo = by, from, to
}

// Positions in Classes.
const (
	Long = iota
	Chat
	Short
)

// Patterns are the loads that the report compares policies on.
func Patterns() []Load {
	const s = time.Second
	named := func(name string, change func(*Load)) Load {
		l := Standard()
		l.Name = name
		change(&l)
		return l
	}
	return []Load{
		Standard(),
		named("long_burst", func(l *Load) { l.burst(Long, 2.6, 0, 9*s) }),
		named("short_burst", func(l *Load) { l.burst(Short, 4, 3*s, 8*s) }),
		named("hot_part", func(l *Load) { l.Classes[Long].Hot = 0.5; l.burst(Long, 2, 3*s, 9*s) }),
		named("hot_tenant", func(l *Load) { l.Classes[Chat].Subjects = 6; l.burst(Chat, 4, 3*s, 9*s) }),
		named("lost_replicas", func(l *Load) { l.Lost, l.LostAt = 6, 4*s }),
		named("slow_replicas", func(l *Load) { l.Slow, l.SlowBy = 4, 4.6 }),
		named("mix_shift", func(l *Load) { l.burst(Long, 2.2, 0, 5*s); l.burst(Short, 4, 6*s, 11*s) }),
		named("small_memory", func(l *Load) { l.Memory, l.Length = smallMemoryTokens, 24*s; l.burst(Long, 1.6, 3*s, 23*s) }),
		named("all_return", func(l *Load) { l.burst(Long, 6, 2*s, 3500*time.Millisecond); l.Returns = 3 }),
	}
}

// Variant is the policy, the policy with one mechanism taken out, or the oracle.
type Variant struct {
	Name   string
	change func(*Load)
}

// off is a cost that nothing reaches.
const off = settings.Duration(time.Hour)

// Variants lists the policies of the report; the first one is the policy as it is.
func Variants() []Variant {
	return []Variant{
		{"policy", func(*Load) {}},
		{"no_pools", func(l *Load) { l.Set.ShortPoolShare = 0.0001 }},
		{"no_lending", func(l *Load) { l.Set.LendCost = off }},
		{"no_overflow", func(l *Load) { l.Set.OverflowCost = off }},
		{"no_homes", func(l *Load) { l.Set.Homes, l.Set.ReadAgainCost = 8, 0.0001 }},
		{"no_fetch", func(l *Load) { l.Set.FetchCost = off }},
		{"no_patience", func(l *Load) { l.Set.Patience = 100 }},
		{"no_reports", func(l *Load) { l.Report = 0 }},
		{"oracle", func(l *Load) { l.Oracle = true }},
	}
}

// Under returns the load under the variant.
func (v Variant) Under(l Load) Load {
	v.change(&l)
	return l
}
