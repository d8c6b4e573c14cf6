package measure

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// Engine model: continuous batching, where each additional stream slows all streams of the engine.
const (
	engineSlots = 16
	// The time between tokens is baseInterval plus streamInterval for every stream of the batch.
	baseInterval   = 24 * time.Millisecond
	streamInterval = time.Millisecond
	// fullInterval is the time between tokens with all slots in use.
	fullInterval = baseInterval + engineSlots*streamInterval
	// prefillTokensPerSecond is the prefill speed of one stream.
	prefillTokensPerSecond = 10_000
	// cachedPrefillFactor multiplies the prefill time of a prompt whose prefix is cached.
	cachedPrefillFactor = 0.3
	// cachedPrefixes is the number of prefixes that an engine caches.
	cachedPrefixes = 24
)

const (
	// horizon is the length of the measured time. Arrivals end with it; a run ends when all requests have an outcome.
	horizon = 120 * time.Second
	// warmUp is the time before the measured time, in which the engines fill up. longWarmUp is used with long jobs, which
	// run for minutes.
	warmUp, longWarmUp = 20 * time.Second, 300 * time.Second
	// maxOutput is the max_tokens of every request. Longer outputs would exceed the timeout of the rows.
	maxOutput = 8192
)

// Services of the workload.
const (
	lmPool = iota
	sachetLM
	services
)

var serviceNames = [services]string{"lm-pool", "sachetlm"}

// serviceEngines is the number of replicas of each service, as in docs/design.md, section 1.
var serviceEngines = [services]int{20, 10}

// class is one row of the class table and the distribution of its traffic.
type class struct {
	table.Row
	service int
	// share is the class's fraction of its service's load.
	share float64
	// prompt and output are mean lengths in tokens. Prompt lengths are uniformly distributed, output lengths log-normally
	// with sigma.
	prompt, output float64
	sigma          float64
	// prefixes is the number of different prompt prefixes.
	prefixes int
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

// backloggedClasses are classes of one tier with different weights and output lengths. The demand of each exceeds the
// share that its weight gives it.
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

// Long jobs: on average one request in requestsPerLongJob has longFactor times the output.
const (
	requestsPerLongJob = 50
	longFactor         = 40
)

// rateChange multiplies the arrival rate of a class, or of all classes if class is empty, from one time to another.
type rateChange struct {
	from, to time.Duration
	class    string
	factor   float64
}

// engineFault is the period of a fault that affects the engines whose number modulo modulus is remainder.
type engineFault struct {
	from, to           time.Duration
	modulus, remainder int
}

func (f engineFault) affects(engine int) bool { return engine%f.modulus == f.remainder }

// scenario is one pattern of load and faults. Its times are relative to the end of the warm-up.
type scenario struct {
	name string
	// load is the base load as a fraction of capacity.
	load        float64
	rateChanges []rateChange
	// overload lists the periods over which crest_goodput is measured.
	overload []rateChange
	// long adds long jobs.
	long          bool
	slow, crashes []engineFault
	// slowFactor is the slowdown of the engines affected by slow.
	slowFactor float64
	// reportDelay is added to the delay of load reports.
	reportDelay time.Duration
	// classes replaces the classes of the workload if set.
	classes []class
}

// overloadRateChanges raises the load of all classes to factor times the base load for 5 s, every 18 s, with a step at
// half of the increase for one second before and after.
func overloadRateChanges(factor float64) []rateChange {
	var out []rateChange
	for at := 10 * time.Second; at < horizon-10*time.Second; at += 18 * time.Second {
		out = append(out,
			rateChange{at, at + time.Second, "", (1 + factor) / 2},
			rateChange{at + time.Second, at + 6*time.Second, "", factor},
			rateChange{at + 6*time.Second, at + 7*time.Second, "", (1 + factor) / 2})
	}
	return out
}

// overloadPeriods returns the rate changes that multiply the arrival rate of all classes by factor.
func overloadPeriods(all []rateChange, factor float64) []rateChange {
	var out []rateChange
	for _, s := range all {
		if s.class == "" && s.factor == factor {
			out = append(out, s)
		}
	}
	return out
}

func scenarios() []scenario {
	const s = time.Second
	overload := overloadRateChanges(6)
	var bursts []rateChange
	for at := 10 * s; at < horizon; at += 20 * s {
		bursts = append(bursts, rateChange{at, at + 4*s, "chat", 8}, rateChange{at + 10*s, at + 14*s, "certificate", 5})
	}
	slow := []engineFault{{10 * s, 60 * s, 5, 0}, {60 * s, 110 * s, 5, 2}}
	crashes := []engineFault{{40 * s, 80 * s, 10, 3}}
	return []scenario{
		{name: "steady", load: 0.7},
		{name: "crest", load: 0.5, rateChanges: overload, overload: overloadPeriods(overload, 6)},
		{name: "long_jobs", load: 0.9, long: true},
		{name: "slow_upstreams", load: 0.7, slow: slow, slowFactor: 5, reportDelay: 5 * s},
		{name: "one_class_bursts", load: 0.6, rateChanges: bursts},
		{name: "upstream_lost", load: 0.7, crashes: crashes},
		{
			name: "mixed", load: 0.5, rateChanges: append(append([]rateChange{}, overload...), bursts...),
			overload: overloadPeriods(overload, 6), long: true, slow: slow, slowFactor: 5, reportDelay: 5 * s, crashes: crashes,
		},
		{name: LimitsScenario, load: 0.5, rateChanges: bursts, classes: limitedClasses()},
		{name: WeightedBacklogScenario, load: 2, classes: backloggedClasses()},
	}
}

// WeightedBacklogScenario is the scenario in which all classes of one tier are backlogged.
const WeightedBacklogScenario = "weighted_backlog"

// LimitsScenario is the scenario in which one class exceeds the limits of its row.
const LimitsScenario = "limits"

// limitedClasses are the classes of the workload with limits for chat, which its bursts exceed.
func limitedClasses() []class {
	classes := workloadClasses()
	for i := range classes {
		if classes[i].Class == "chat" {
			classes[i].RequestRate, classes[i].Concurrency = 20, 200
		}
	}
	return classes
}

// request is one request of the workload and the record of its processing.
type request struct {
	id             uint64
	class          int
	service, entry int
	arrived        time.Duration
	prompt, output int
	long           bool
	prefix         uint64

	started, first, done   time.Duration
	hasStarted, hasFirst   bool
	outcome                outcome
	tokens, overloadTokens int
	// paused counts the pauses; pausedForLower is set if the request is protected and was paused.
	paused         int
	pausedForLower bool
	retryAfter     time.Duration
	// retried is set when Retry-After has passed, retryInTime if the expected wait was then within the ttft_target.
	retried, retryInTime bool
	// reserved is the number of tokens reserved against the token limit; unsettled is set until the reservation is
	// settled.
	reserved  int
	unsettled bool
	// policyState is the policy's own state of the request.
	policyState any
}

// outcome is how a request ended.
type outcome uint8

const (
	outcomeNone outcome = iota
	outcomeCompleted
	outcomeShed
	outcomeDeadline
	outcomeInterrupted
	outcomeLimited
)

// entries is the number of entry instances that share the load.
const entries = 3

// meanSlotTime is the mean time in seconds that a request of the class occupies a slot of a full engine.
func (c *class) meanSlotTime(long bool) float64 {
	output := c.output
	if long {
		output *= 1 + float64(longFactor-1)/requestsPerLongJob
	}
	return c.prompt/prefillTokensPerSecond + output*fullInterval.Seconds()
}

// rows returns the classes of the scenario.
func (s *scenario) rows() []class {
	if s.classes != nil {
		return s.classes
	}
	return workloadClasses()
}

// warmUp is the time before the measured time.
func (s *scenario) warmUp() time.Duration {
	if s.long {
		return longWarmUp
	}
	return warmUp
}

// factor is the largest multiplier of the class's arrival rate at the given time.
func (s *scenario) factor(c *class, at time.Duration) float64 {
	f := 1.0
	for _, change := range s.rateChanges {
		if at >= change.from && at < change.to && (change.class == "" || change.class == c.Class) {
			f = max(f, change.factor)
		}
	}
	return f
}

// generate returns the requests of the scenario in order of arrival. Arrivals are a Poisson process at the peak rate,
// thinned to the rate of each moment.
func (s *scenario) generate(classes []class, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 0x64726167))
	var out []*request
	for ci := range classes {
		c := &classes[ci]
		peak := 1.0
		for _, change := range s.rateChanges {
			if change.class == "" || change.class == c.Class {
				peak = max(peak, change.factor)
			}
		}
		slots := float64(serviceEngines[c.service] * engineSlots)
		base := s.load * c.share * slots / c.meanSlotTime(s.long)
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() / (base * peak) * float64(time.Second))
			if at >= s.warmUp()+horizon {
				break
			}
			if rng.Float64()*peak > s.factor(c, at-s.warmUp()) {
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
	if rng.IntN(requestsPerLongJob) == 0 && s.long {
		r.output, r.long = r.output*longFactor, true
	}
	r.output = min(r.output, maxOutput)
	// The square skews the choice towards the first prefixes, so that a few are used often.
	u := rng.Float64()
	r.prefix = uint64(ci+1)<<32 | uint64(u*u*float64(c.prefixes)) + 1
	return r
}
