package prompts

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

// Sheet has the parameters of an engine from a published deployment specification.
type Sheet struct {
	// stepMs is the time of a decode step without requests, and stepPerRequestMs what each running request adds, in
	// milliseconds.
	stepMs, stepPerRequestMs float64
	// chunkTokens is the largest number of prompt tokens that one step prefills, and prefillTokensPerMs the prefill speed.
	chunkTokens        int
	prefillTokensPerMs float64
	// eventTokens is the number of tokens in a stream event.
	eventTokens int
	// memoryTokens is the KV cache of an engine, shared by running requests and cached parts.
	memoryTokens int
}

// The engines of tilemend-tw, cornemuse-breizh-grown, kitami-bazaar-grown and mesalista-lima-grown.
var (
	tilemendSheet  = Sheet{stepMs: 3.79, stepPerRequestMs: 0.0893, chunkTokens: 2048, prefillTokensPerMs: 56.6, eventTokens: 4, memoryTokens: 659_492}
	cornemuseSheet = Sheet{stepMs: 4.34, stepPerRequestMs: 0.151, chunkTokens: 1024, prefillTokensPerMs: 36.7, eventTokens: 5, memoryTokens: 237_302}
	kitamiSheet    = Sheet{stepMs: 6.55, stepPerRequestMs: 0.165, chunkTokens: 2048, prefillTokensPerMs: 62.4, eventTokens: 3, memoryTokens: 553_909}
	limaSheet      = Sheet{stepMs: 3.7, stepPerRequestMs: 0.0193, chunkTokens: 1024, prefillTokensPerMs: 63.9, eventTokens: 5, memoryTokens: 642_815}
)

// Parameters of all engines.
const (
	maxRunning = 64
	// smallMemoryTokens makes the parts of one replica's requests compete for the KV cache, as on the large deployments,
	// where each replica receives more different parts. With 200,000 tokens, the values of AffinityReplicas ranked as they do
	// with the memory of the sheet, so the limit had no effect on the ranking.
	smallMemoryTokens = 120_000
	// A KV cache fetch takes 8 ms and more: 18,432 bytes a token over 180 Gbit/s.
	fetchSetupMs = 8
	fetchedPerMs = 1220
	// Noisy neighbours slow an engine down for periods, as specified for the service.
	noiseShare  = 0.15
	noiseFactor = 2.5
	noisePeriod = 600 * time.Millisecond
)

// request is one request and its progress.
type request struct {
	class      *Class
	job        *place.Job
	edge       int
	waiter     *place.Waiter
	choice     place.Choice
	firstEvent time.Time
	lastEvent  time.Time
	longestGap time.Duration
	// prefill is the number of prompt tokens still to be prefilled, tokens the number of output tokens still to be
	// generated.
	prefill, tokens int
	// fetchedAt is when the fetch of the shared parts from another engine completes.
	fetchedAt time.Time
	// retries counts the retries of the caller, and retryAt is the time of the next one.
	retries int
	retryAt time.Time
}

// engine prefills prompts in chunks between the decode steps of other requests. Prefilled shared parts stay in its KV
// cache until other requests need the memory; when running requests need all of it, the newest is preempted and prefilled
// again.
type engine struct {
	Sheet
	id         string
	slowFactor float64
	lost       bool
	// cached lists the cached parts, the least recently used first, and size the tokens of each.
	cached  []string
	size    map[string]int
	running []*request
	queue   []*request
	next    time.Time
	// noisy is set when the engine is slowed down until noiseUntil.
	noisy      bool
	noiseUntil time.Time
}

func newEngine(id string, sheet Sheet) *engine {
	return &engine{Sheet: sheet, id: id, slowFactor: 1, size: map[string]int{}}
}

// hasCached reports whether the part is in the KV cache.
func (e *engine) hasCached(part string) bool { _, ok := e.size[part]; return ok }

// touch marks a cached part as the most recently used.
func (e *engine) touch(part string) {
	if i := slices.Index(e.cached, part); i >= 0 {
		e.cached = append(slices.Delete(e.cached, i, i+1), part)
	}
}

func (e *engine) addCached(part place.Part) {
	if !e.hasCached(part.ID) {
		e.cached = append(e.cached, part.ID)
		e.size[part.ID] = part.Tokens
	}
	e.touch(part.ID)
}

// pendingPrefill is the number of tokens still to be prefilled.
func (e *engine) pendingPrefill() int {
	total := 0
	for _, list := range [][]*request{e.running, e.queue} {
		for _, r := range list {
			total += r.prefill
		}
	}
	return total
}

// evict removes the least recently used cached parts, and then preempts the newest requests, until the rest fits into
// memory.
func (e *engine) evict() {
	used := 0
	for _, r := range e.running {
		used += r.job.Parts[1].Tokens + r.class.events*e.eventTokens - r.tokens
	}
	for _, tokens := range e.size {
		used += tokens
	}
	inUse := func(part string) bool {
		return slices.ContainsFunc(e.running, func(r *request) bool { return r.job.Parts[0].ID == part })
	}
	for i := 0; used > e.memoryTokens && i < len(e.cached); {
		part := e.cached[i]
		if inUse(part) {
			i++
			continue
		}
		used -= e.size[part]
		delete(e.size, part)
		e.cached = slices.Delete(e.cached, i, i+1)
	}
	for used > e.memoryTokens && len(e.running) > 1 {
		newest := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		used -= newest.job.Parts[1].Tokens
		newest.prefill = newest.job.Parts[1].Tokens
		e.queue = append([]*request{newest}, e.queue...)
	}
}

// enqueue accepts a request. Its shared parts are prefilled unless they are cached or fetched from the source.
func (e *engine) enqueue(r *request, source *engine, now time.Time) {
	shared := r.job.Parts[0]
	r.prefill = r.job.Parts[1].Tokens
	switch {
	case e.hasCached(shared.ID):
		e.touch(shared.ID)
	case source != nil && source.hasCached(shared.ID):
		r.fetchedAt = now.Add(milliseconds(fetchSetupMs + float64(shared.Tokens)/fetchedPerMs))
	default:
		r.prefill += shared.Tokens
	}
	if len(e.running) == 0 && len(e.queue) == 0 {
		e.next = now.Add(milliseconds(e.stepMs * e.slowFactor))
	}
	e.queue = append(e.queue, r)
}

// step ends one step: one token for each request in decode, and one chunk of prefill in the order of arrival. It returns
// the requests that have an event, and schedules the next step.
func (e *engine) step(now time.Time, noise *rand.Rand, noNoise bool) (events []*request) {
	for len(e.queue) > 0 && len(e.running) < maxRunning {
		e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
	}
	e.evict()
	budget := e.chunkTokens
	for _, r := range e.running {
		if r.fetchedAt.After(now) {
			continue
		}
		if r.prefill > 0 {
			chunk := min(budget, r.prefill)
			r.prefill -= chunk
			budget -= chunk
			continue
		}
		e.addCached(r.job.Parts[0])
		r.tokens--
		if r.tokens%e.eventTokens == 0 {
			events = append(events, r)
		}
	}
	if !now.Before(e.noiseUntil) {
		e.noisy, e.noiseUntil = !noNoise && noise.Float64() < noiseShare, now.Add(noisePeriod)
	}
	ms := (e.stepMs + e.stepPerRequestMs*float64(len(e.running)) + float64(e.chunkTokens-budget)/e.prefillTokensPerMs) * e.slowFactor
	if e.noisy {
		ms *= noiseFactor
	}
	e.next = now.Add(milliseconds(ms))
	return events
}

func (e *engine) remove(r *request) {
	same := func(o *request) bool { return o == r }
	e.running, e.queue = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.queue, same)
}

func (e *engine) idle() bool { return len(e.running) == 0 && len(e.queue) == 0 }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
