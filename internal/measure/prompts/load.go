package prompts

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// Class is a class of requests with its rate and its prompts.
type Class struct {
	Name string
	// RequestsPerSecond is the rate of new requests; BurstFactor multiplies it between BurstFrom and BurstTo.
	RequestsPerSecond  float64
	BurstFactor        float64
	BurstFrom, BurstTo time.Duration
	// shared and own are the mean lengths of the prompt's parts, in tokens.
	shared, own int
	// SharedParts is the number of different shared parts. HotShare is the share of the requests that use the first one.
	SharedParts int
	HotShare    float64
	// events is the number of stream events of a response.
	events int
	// target is the time to the first event, and maxGap the longest gap between events, of a request that is in time.
	target, maxGap time.Duration
	priority       int
	// abandonAfter is the time after which a caller without an event disconnects.
	abandonAfter time.Duration
	// credit is what a request in time earns, and lateCredit what a late one earns.
	credit, lateCredit float64
}

// Classes returns the classes in the published specification of tilemend-tw that need an engine: long, chat and short.
func Classes() []Class {
	return []Class{
		{Name: "long", RequestsPerSecond: 24, shared: 13300, own: 3720, SharedParts: 190, events: 30, target: 1500 * time.Millisecond,
			maxGap: 800 * time.Millisecond, priority: 2, abandonAfter: 6400 * time.Millisecond, credit: 1.4, lateCredit: 0.43},
		{Name: "chat", RequestsPerSecond: 16, shared: 6300, own: 2890, SharedParts: 196, events: 13, target: 500 * time.Millisecond,
			maxGap: 300 * time.Millisecond, priority: 1, abandonAfter: 2400 * time.Millisecond, credit: 2.2, lateCredit: 0.65},
		{Name: "short", RequestsPerSecond: 25, shared: 350, own: 1110, SharedParts: 302, events: 43, target: 300 * time.Millisecond,
			maxGap: 200 * time.Millisecond, priority: 0, abandonAfter: 2 * time.Second, credit: 2.1, lateCredit: 0.18},
	}
}

// TutoringClasses returns the classes in the published specification of cornemuse-breizh-grown that need an engine, at half
// of their rates: plan, question and coaching. Coaching has short prompts, long responses and the shortest gap target; a
// question's prompt is three times as long.
func TutoringClasses() []Class {
	return []Class{
		{Name: "plan", RequestsPerSecond: 42, shared: 6300, own: 2890, SharedParts: 175, events: 10, target: 2 * time.Second,
			maxGap: time.Second, priority: 2, abandonAfter: 8 * time.Second, credit: 1.4, lateCredit: 0.41},
		{Name: "question", RequestsPerSecond: 20, shared: 568, own: 1800, SharedParts: 110, events: 5, target: 600 * time.Millisecond,
			maxGap: 400 * time.Millisecond, priority: 1, abandonAfter: 3200 * time.Millisecond, credit: 1.1, lateCredit: 0.31},
		{Name: "coaching", RequestsPerSecond: 16, shared: 172, own: 543, SharedParts: 195, events: 56, target: 300 * time.Millisecond,
			maxGap: 250 * time.Millisecond, priority: 0, abandonAfter: 2 * time.Second, credit: 4.8, lateCredit: 0.45},
	}
}

// Indexes in TutoringClasses.
const (
	Plan = iota
	Question
	Coaching
)

// TutoringWorkload is half of the workload of cornemuse-breizh-grown without bursts: 20 replicas with empty caches, 8 edges.
func TutoringWorkload() Workload {
	w := StandardWorkload()
	w.Name, w.Classes, w.Sheet = "tutoring", TutoringClasses(), cornemuseSheet
	w.Edges, w.Replicas, w.ReportInterval = 8, 20, 90*time.Millisecond
	return w
}

// StreamBurstWorkload is TutoringWorkload with a burst of short prompts with long responses.
func StreamBurstWorkload() Workload {
	w := TutoringWorkload()
	w.Name = "stream_burst"
	w.burst(Coaching, 6, 3*time.Second, 8*time.Second)
	return w
}

// ShopClasses returns the classes in the published specification of kitami-bazaar-grown that need an engine, at half of their
// rates: digest, advice and chat. Chat has short prompts and the tightest gap target.
func ShopClasses() []Class {
	return []Class{
		{Name: "digest", RequestsPerSecond: 24, shared: 13300, own: 3720, SharedParts: 100, events: 40, target: 2500 * time.Millisecond,
			maxGap: 800 * time.Millisecond, priority: 2, abandonAfter: 10 * time.Second, credit: 1.2, lateCredit: 0.62},
		{Name: "advice", RequestsPerSecond: 15, shared: 6300, own: 2890, SharedParts: 122, events: 17, target: 800 * time.Millisecond,
			maxGap: 300 * time.Millisecond, priority: 1, abandonAfter: 3200 * time.Millisecond, credit: 1.8, lateCredit: 0.9},
		{Name: "chat", RequestsPerSecond: 20, shared: 350, own: 1110, SharedParts: 163, events: 57, target: 500 * time.Millisecond,
			maxGap: 200 * time.Millisecond, priority: 0, abandonAfter: 2 * time.Second, credit: 2.6, lateCredit: 0.39},
	}
}

// RestaurantClasses returns the classes in the published specification of mesalista-lima-grown that need an engine, at half of
// their rates: digest, brief and chat.
func RestaurantClasses() []Class {
	return []Class{
		{Name: "digest", RequestsPerSecond: 23, shared: 13300, own: 3720, SharedParts: 255, events: 24, target: 1500 * time.Millisecond,
			maxGap: 600 * time.Millisecond, priority: 2, abandonAfter: 6 * time.Second, credit: 1.7, lateCredit: 0.5},
		{Name: "brief", RequestsPerSecond: 24, shared: 6300, own: 2890, SharedParts: 202, events: 10, target: 500 * time.Millisecond,
			maxGap: 250 * time.Millisecond, priority: 1, abandonAfter: 2 * time.Second, credit: 2.6, lateCredit: 0.78},
		{Name: "chat", RequestsPerSecond: 30, shared: 350, own: 1110, SharedParts: 296, events: 34, target: 300 * time.Millisecond,
			maxGap: 150 * time.Millisecond, priority: 0, abandonAfter: 2 * time.Second, credit: 1.4, lateCredit: 0.12},
	}
}

// ShopWorkload is half of the workload of kitami-bazaar-grown: 20 replicas with empty caches, a quarter of which takes 0.55 times
// the time of the sheet and the others 1.2 times, and 11 edges. Bursts of digests and of chat follow each other.
func ShopWorkload() Workload {
	w := StandardWorkload()
	w.Name, w.Classes, w.Sheet = "shop", ShopClasses(), kitamiSheet
	w.Edges, w.Replicas, w.ReportInterval, w.Duration = 11, 20, 84*time.Millisecond, 24*time.Second
	w.Paces = []float64{0.55, 1.2, 1.2, 1.2}
	w.burst(Long, 1.7, 500*time.Millisecond, 9500*time.Millisecond)
	w.burst(Short, 2.7, 11*time.Second, 16*time.Second)
	return w
}

// RestaurantWorkload is half of the workload of mesalista-lima-grown: 20 replicas with empty caches, a third of which takes 1.3
// times the time of the sheet, and 10 edges. The digests come in a burst.
func RestaurantWorkload() Workload {
	w := StandardWorkload()
	w.Name, w.Classes, w.Sheet = "restaurant", RestaurantClasses(), limaSheet
	w.Edges, w.Replicas, w.ReportInterval, w.Duration = 10, 20, 80*time.Millisecond, 24*time.Second
	w.Paces, w.NoNoise = []float64{1, 1, 1.3}, true
	w.burst(Long, 1.7, 500*time.Millisecond, 9500*time.Millisecond)
	return w
}

// ContestedMemoryWorkload is RestaurantWorkload with less memory: each replica receives more different parts than it can keep.
func ContestedMemoryWorkload() Workload {
	w := RestaurantWorkload()
	w.Name, w.Sheet.memoryTokens = "contested_memory", smallMemoryTokens
	w.Duration = 36 * time.Second
	return w
}

// Workload defines the request rates, the engines and their faults, and the placement settings.
type Workload struct {
	Name    string
	Classes []Class
	// Edges is the number of edges that share the requests, and Replicas the number of replicas of the service; each
	// replica is one engine. Duration is the time for which requests arrive.
	Edges, Replicas int
	Duration        time.Duration
	// ReportInterval is the time between load reports. If it is 0, no reports are exchanged.
	ReportInterval time.Duration
	// SlowEngines is the number of engines that take SlowFactor times as long.
	SlowEngines int
	SlowFactor  float64
	// Paces are the factors of the time that the engines take, in turn; empty for 1.
	Paces []float64
	// LostEngines is the number of engines that fail at LostAt, with the requests they run.
	LostEngines int
	LostAt      time.Duration
	// Sheet has the parameters of the engines.
	Sheet Sheet
	// UnknownMemory hides the engines' memory from the placers.
	UnknownMemory bool
	// Retries is how often a refused caller retries, each time after the Retry-After time.
	Retries int
	// NoNoise disables the slow periods.
	NoNoise   bool
	Placement settings.Placement
	// Oracle replaces the placers with placement that knows the backlog, the cache and the speed of every engine.
	Oracle bool
}

// StandardWorkload is the workload that the others are variations of: 18 replicas with empty caches, 4 edges.
func StandardWorkload() Workload {
	cfg := settings.Edge{}
	settings.ApplyDefaults(&cfg)
	return Workload{Name: "standard", Classes: Classes(), Edges: 4, Replicas: 18, Duration: 12 * time.Second, ReportInterval: 30 * time.Millisecond, Sheet: tilemendSheet, Placement: cfg.Placement}
}

// burst multiplies the rate of a class for a period.
func (w *Workload) burst(class int, factor float64, from, to time.Duration) {
	c := &w.Classes[class]
	c.BurstFactor, c.BurstFrom, c.BurstTo = factor, from, to
}

// Indexes in Classes.
const (
	Long = iota
	Chat
	Short
)

// Workloads returns the workloads on which the report compares policies.
func Workloads() []Workload {
	const s = time.Second
	named := func(name string, change func(*Workload)) Workload {
		w := StandardWorkload()
		w.Name = name
		change(&w)
		return w
	}
	return []Workload{
		StandardWorkload(),
		named("long_burst", func(w *Workload) { w.burst(Long, 2.6, 0, 9*s) }),
		named("short_burst", func(w *Workload) { w.burst(Short, 4, 3*s, 8*s) }),
		named("hot_part", func(w *Workload) { w.Classes[Long].HotShare = 0.5; w.burst(Long, 2, 3*s, 9*s) }),
		named("hot_tenant", func(w *Workload) { w.Classes[Chat].SharedParts = 6; w.burst(Chat, 4, 3*s, 9*s) }),
		named("lost_replicas", func(w *Workload) { w.LostEngines, w.LostAt = 6, 4*s }),
		named("slow_replicas", func(w *Workload) { w.SlowEngines, w.SlowFactor = 4, 4.6 }),
		named("mix_shift", func(w *Workload) { w.burst(Long, 2.2, 0, 5*s); w.burst(Short, 4, 6*s, 11*s) }),
		named("small_memory", func(w *Workload) {
			w.Sheet.memoryTokens, w.Duration = smallMemoryTokens, 24*s
			w.burst(Long, 1.6, 3*s, 23*s)
		}),
		named("all_return", func(w *Workload) { w.burst(Long, 6, 2*s, 3500*time.Millisecond); w.Retries = 3 }),
		TutoringWorkload(),
		StreamBurstWorkload(),
		ShopWorkload(),
		RestaurantWorkload(),
		ContestedMemoryWorkload(),
	}
}

// Variant is the policy, the policy without one of its mechanisms, or the oracle.
type Variant struct {
	Name   string
	change func(*Workload)
}

// disablingCost is above any wait, so that it disables a mechanism.
const disablingCost = settings.Duration(time.Hour)

// Variants lists the policies of the report; the first one is the unchanged policy.
func Variants() []Variant {
	return []Variant{
		{"policy", func(*Workload) {}},
		{"no_pools", func(w *Workload) { w.Placement.ShortPoolShare, w.Placement.MaxShortPoolShare = 0.0001, 0 }},
		{"fixed_pool", func(w *Workload) { w.Placement.MaxShortPoolShare = 0 }},
		{"no_lending", func(w *Workload) { w.Placement.LongBorrowCost = disablingCost }},
		{"no_overflow", func(w *Workload) { w.Placement.OverflowCost = disablingCost }},
		{"no_homes", func(w *Workload) { w.Placement.AffinityReplicas, w.Placement.PrefillCost = 8, 0.0001 }},
		{"no_fetch", func(w *Workload) { w.Placement.FetchCost = disablingCost }},
		{"no_patience", func(w *Workload) { w.Placement.QueueTimeoutTargets = 100 }},
		{"no_kept", func(w *Workload) { w.Placement.KeptCost = disablingCost }},
		{"no_memory", func(w *Workload) { w.UnknownMemory = true }},
		{"no_pace", func(w *Workload) { w.Placement.MaxSlowdown = 1 }},
		{"no_reports", func(w *Workload) { w.ReportInterval = 0 }},
		{"oracle", func(w *Workload) { w.Oracle = true }},
	}
}

// Apply returns the workload with the change of the variant.
func (v Variant) Apply(w Workload) Workload {
	v.change(&w)
	return w
}
