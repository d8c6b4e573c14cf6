package measure

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// Engine model: continuous batching, where every further stream slows all streams of the engine a little.
const (
	engineSlots = 16
	// baseInterval is the time between tokens of a lone stream; streamInterval is added by every stream of the batch.
	baseInterval   = 24 * time.Millisecond
	streamInterval = time.Millisecond
	// fullInterval is the time between tokens with all slots in use.
	fullInterval = baseInterval + engineSlots*streamInterval
	// prefillRate is the pace of reading a prompt, in tokens/s; a cached prefix leaves prefixMiss of the time.
	prefillRate = 10_000
	prefixMiss  = 0.3
	// cachedPrefixes is the number of prefixes in an engine's limited memory.
	cachedPrefixes = 24
)

const (
	// horizon is the measured time during which requests arrive; a run ends when all of them have ended.
	horizon = 120 * time.Second
	// lead is the time before it, which fills the engines; longLead is for scenarios with long jobs, which run for minutes.
	lead, longLead = 20 * time.Second, 300 * time.Second
	// maxOutput is the max_tokens of every request. A longer output would not fit into the rows' timeout.
	maxOutput = 8192
)

// Services of the workload.
const (
	lmPool = iota
	sachetLM
	services
)

var serviceNames = [services]string{"lm-pool", "sachetlm"}

// serviceEngines is the number of replicas of each service, as in section 1 of the design page.
var serviceEngines = [services]int{20, 10}

// class is one row with the shape of its traffic.
type class struct {
	table.Row
	service int
	// share is the part of the service's load.
	share float64
	// prompt and output are mean lengths in tokens; outputs are log-normal with the given sigma.
	prompt, output float64
	sigma          float64
	prefixes       int
}

func workloadClasses() []class {
	row := func(name, owner string, priority, weight int, protected bool, ttft, maxWait time.Duration) table.Row {
		return table.Row{
			Class: name, Owner: owner, Priority: priority, Weight: weight, Protected: protected,
			TTFTTarget: ttft, TokenTarget: 52 * time.Millisecond, MaxWait: maxWait, Timeout: 10 * time.Minute,
		}
	}
	const ms, s = time.Millisecond, time.Second
	return []class{
		{row("suggest", "jadestone", 1, 10, true, 600*ms, 5*s), lmPool, 0.20, 900, 80, 0.6, 60},
		{row("chat", "jadestone", 2, 30, false, 1*s, 10*s), lmPool, 0.30, 400, 150, 0.7, 200},
		{row("draft", "jadestone", 2, 10, false, 2*s, 15*s), lmPool, 0.20, 300, 250, 0.7, 40},
		{row("catalogue", "jadestone", 4, 10, false, 5*s, 20*s), lmPool, 0.20, 4000, 250, 0.5, 30},
		{row("reindex", "jadestone", 8, 1, false, 20*s, 30*s), lmPool, 0.10, 2000, 300, 0.5, 10},
		{row("certificate", "furano", 1, 10, true, 2*s, 10*s), sachetLM, 0.20, 1500, 200, 0.4, 20},
		{row("buyer", "furano", 2, 10, false, 1*s, 10*s), sachetLM, 0.40, 500, 150, 0.7, 80},
		{row("packing", "furano", 4, 10, false, 5*s, 20*s), sachetLM, 0.25, 600, 200, 0.5, 30},
		{row("archive", "furano", 8, 1, false, 20*s, 30*s), sachetLM, 0.15, 2500, 300, 0.5, 10},
	}
}

// backloggedClasses are classes of one tier with different weights and lengths, each with more demand than its share.
func backloggedClasses() []class {
	row := func(name string, weight int) table.Row {
		return table.Row{
			Class: name, Owner: "jadestone", Priority: 3, Weight: weight, TTFTTarget: 2 * time.Second,
			TokenTarget: 52 * time.Millisecond, MaxWait: 20 * time.Second, Timeout: 10 * time.Minute,
		}
	}
	return []class{
		{row("weight_10", 10), lmPool, 0.25, 400, 100, 0.6, 50},
		{row("weight_20", 20), lmPool, 0.35, 400, 200, 0.6, 50},
		{row("weight_50", 50), lmPool, 0.80, 400, 150, 0.6, 50},
	}
}

// Long jobs: one request in longOneIn runs longFactor times longer.
const (
	longOneIn  = 50
	longFactor = 40
)

// swing multiplies the arrival rate of a class, or of all classes when class is empty, for a while.
type swing struct {
	from, to time.Duration
	class    string
	factor   float64
}

// span is a time during which some engines are affected by a fault: every engine whose number has the remainder rest
// when divided by of.
type span struct {
	from, to time.Duration
	of, rest int
}

func (s span) affects(engine int) bool { return engine%s.of == s.rest }

// scenario is one load and fault pattern. Its times count from the end of the lead.
type scenario struct {
	name string
	// load is the base load as a part of capacity.
	load   float64
	swings []swing
	// crest lists the windows over which crest_goodput is taken.
	crest       []swing
	long        bool
	slow, lost  []span
	slowFactor  float64
	reportDelay time.Duration
	// classes replaces the workload's classes.
	classes []class
}

// crestSwings raises the load of all classes to factor times the base load, with ramps of one second.
func crestSwings(factor float64) []swing {
	var out []swing
	for at := 10 * time.Second; at < horizon-10*time.Second; at += 18 * time.Second {
		out = append(out,
			swing{at, at + time.Second, "", (1 + factor) / 2},
			swing{at + time.Second, at + 6*time.Second, "", factor},
			swing{at + 6*time.Second, at + 7*time.Second, "", (1 + factor) / 2})
	}
	return out
}

func crestWindows(all []swing, factor float64) []swing {
	var out []swing
	for _, s := range all {
		if s.class == "" && s.factor == factor {
			out = append(out, s)
		}
	}
	return out
}

func scenarios() []scenario {
	const s = time.Second
	crest := crestSwings(6)
	var bursts []swing
	for at := 10 * s; at < horizon; at += 20 * s {
		bursts = append(bursts, swing{at, at + 4*s, "chat", 8}, swing{at + 10*s, at + 14*s, "certificate", 5})
	}
	slow := []span{{10 * s, 60 * s, 5, 0}, {60 * s, 110 * s, 5, 2}}
	lost := []span{{40 * s, 80 * s, 10, 3}}
	return []scenario{
		{name: "steady", load: 0.7},
		{name: "crest", load: 0.5, swings: crest, crest: crestWindows(crest, 6)},
		{name: "long_jobs", load: 0.9, long: true},
		{name: "slow_upstreams", load: 0.7, slow: slow, slowFactor: 5, reportDelay: 5 * s},
		{name: "one_class_bursts", load: 0.6, swings: bursts},
		{name: "upstream_lost", load: 0.7, lost: lost},
		{
			name: "mixed", load: 0.5, swings: append(append([]swing{}, crest...), bursts...),
			crest: crestWindows(crest, 6), long: true, slow: slow, slowFactor: 5, reportDelay: 5 * s, lost: lost,
		},
		{name: Limits, load: 0.5, swings: bursts, classes: limitedClasses()},
		{name: WeightedBacklog, load: 2, classes: backloggedClasses()},
	}
}

// WeightedBacklog is the scenario in which all classes of one tier are backlogged.
const WeightedBacklog = "weighted_backlog"

// Limits is the scenario in which one class exceeds the limits of its row.
const Limits = "limits"

// limitedClasses are the workload's classes with limits for chat that its bursts exceed.
func limitedClasses() []class {
	classes := workloadClasses()
	for i := range classes {
		if classes[i].Class == "chat" {
			classes[i].RequestRate, classes[i].Concurrency = 20, 200
		}
	}
	return classes
}

// request is one request of the workload and what became of it.
type request struct {
	id             uint64
	class          int
	service, entry int
	arrived        time.Duration
	prompt, output int
	long           bool
	prefix         uint64

	started, first, done time.Duration
	hasStarted, hasFirst bool
	end                  end
	tokens, crestTokens  int
	// pausedForLower is set when protected work was paused.
	paused         int
	pausedForLower bool
	retryAfter     time.Duration
	// retried and retryKept tell whether Retry-After was followed and true.
	retried, retryKept bool
	// reserved is the reservation against the token limit; limited is set while it must be settled.
	reserved int
	limited  bool
	policy   any
}

// end is how a request ended.
type end uint8

const (
	endNone end = iota
	endCompleted
	endShed
	endDeadline
	endInterrupted
	endLimited
)

// entries is the number of entry instances that share the load.
const entries = 3

func (c *class) meanSlotTime(long bool) float64 {
	output := c.output
	if long {
		output *= 1 + float64(longFactor-1)/longOneIn
	}
	return c.prompt/prefillRate + output*fullInterval.Seconds()
}

// rows returns the scenario's classes.
func (s *scenario) rows() []class {
	if s.classes != nil {
		return s.classes
	}
	return workloadClasses()
}

// lead is the time before the measured part.
func (s *scenario) lead() time.Duration {
	if s.long {
		return longLead
	}
	return lead
}

func (s *scenario) factor(c *class, at time.Duration) float64 {
	f := 1.0
	for _, w := range s.swings {
		if at >= w.from && at < w.to && (w.class == "" || w.class == c.Class) {
			f = max(f, w.factor)
		}
	}
	return f
}

// generate returns the requests of a scenario in order of arrival: Poisson arrivals, thinned where the load is lower.
func (s *scenario) generate(classes []class, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 0x64726167))
	var out []*request
	for ci := range classes {
		c := &classes[ci]
		peak := 1.0
		for _, w := range s.swings {
			if w.class == "" || w.class == c.Class {
				peak = max(peak, w.factor)
			}
		}
		slots := float64(serviceEngines[c.service] * engineSlots)
		base := s.load * c.share * slots / c.meanSlotTime(s.long)
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() / (base * peak) * float64(time.Second))
			if at >= s.lead()+horizon {
				break
			}
			if rng.Float64()*peak > s.factor(c, at-s.lead()) {
				continue
			}
			out = append(out, s.request(rng, classes, ci, at))
		}
	}
	sort.SliceStable(out, func(i, k int) bool { return out[i].arrived < out[k].arrived })
	for i, r := range out {
		r.id = uint64(i + 1)
	}
	return out
}

func (s *scenario) request(rng *rand.Rand, classes []class, ci int, at time.Duration) *request {
	c := &classes[ci]
	r := &request{class: ci, service: c.service, entry: rng.IntN(entries), arrived: at}
	r.prompt = int(c.prompt * (0.5 + rng.Float64()))
	r.output = max(1, int(c.output*math.Exp(c.sigma*rng.NormFloat64()-c.sigma*c.sigma/2)))
	if rng.IntN(longOneIn) == 0 && s.long {
		r.output, r.long = r.output*longFactor, true
	}
	r.output = min(r.output, maxOutput)
	// Few prefixes are used often: the square skews the choice towards the first.
	u := rng.Float64()
	r.prefix = uint64(ci+1)<<32 | uint64(u*u*float64(c.prefixes)) + 1
	return r
}
