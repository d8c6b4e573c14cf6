package prompts

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

// Figures of the published engine sheet (tilemend-tw).
const (
	stepMs      = 3.79
	stepPerSlot = 0.0893
	chunkTokens = 2048
	tokensPerMs = 56.6
	eventTokens = 4
	slots       = 64
	// memoryTokens is shared by running requests and cached parts.
	memoryTokens = 659_492
	// smallMemoryTokens makes the parts of one replica's requests compete, as on the large deployments, where each replica
	// sees more different parts. With 200,000 the ranking of homes was that of full memory.
	smallMemoryTokens = 120_000
	// A fetch takes 8 ms and more: 18,432 bytes a token over 180 Gbit/s.
	fetchSetupMs = 8
	fetchedPerMs = 1220
	// Neighbours slow an engine down for spells, as the sheet of the service says.
	noiseShare = 0.15
	noiseBy    = 2.5
	noiseSpell = 600 * time.Millisecond
)

// request is one request and what became of it.
type request struct {
	class   *Class
	job     *place.Job
	entry   int
	ticket  *place.Ticket
	choice  place.Choice
	first   time.Time
	last    time.Time
	longest time.Duration
	// prefill is the rest of the prompt that the engine still reads, tokens the rest of the output.
	prefill, tokens int
	// fetched is when the shared parts have come from another engine.
	fetched time.Time
	// returns counts how often the caller came back, and back is when it comes next.
	returns int
	back    time.Time
}

// engine reads prompts in chunks between the tokens of other requests. What it has read stays in its memory until other
// requests need the room; when running requests need it all, the newest is put back and read again.
type engine struct {
	id     string
	slow   float64
	lost   bool
	memory int
	// cached holds the parts that were read, the least recently used first, and size the tokens of each.
	cached  []string
	size    map[string]int
	running []*request
	queue   []*request
	next    time.Time
	// noisy is whether the spell that ends at spellEnd is a slow one.
	noisy    bool
	spellEnd time.Time
}

func newEngine(id string) *engine {
	return &engine{id: id, slow: 1, memory: memoryTokens, size: map[string]int{}}
}

// holds reports whether the part is in memory.
func (e *engine) holds(part string) bool { _, ok := e.size[part]; return ok }

// use makes a part that is in memory the last one to be dropped.
func (e *engine) use(part string) {
	if i := slices.Index(e.cached, part); i >= 0 {
		e.cached = append(slices.Delete(e.cached, i, i+1), part)
	}
}

func (e *engine) keep(part place.Part) {
	if !e.holds(part.ID) {
		e.cached = append(e.cached, part.ID)
		e.size[part.ID] = part.Tokens
	}
	e.use(part.ID)
}

// work is the number of tokens that are still to be read.
func (e *engine) work() int {
	total := 0
	for _, list := range [][]*request{e.running, e.queue} {
		for _, r := range list {
			total += r.prefill
		}
	}
	return total
}

// fit drops cached parts, and puts back the newest requests, until the memory holds what is left.
func (e *engine) fit() {
	used := 0
	for _, r := range e.running {
		used += r.job.Parts[1].Tokens + r.class.events*eventTokens - r.tokens
	}
	for _, tokens := range e.size {
		used += tokens
	}
	inUse := func(part string) bool {
		return slices.ContainsFunc(e.running, func(r *request) bool { return r.job.Parts[0].ID == part })
	}
	for i := 0; used > e.memory && i < len(e.cached); {
		part := e.cached[i]
		if inUse(part) {
			i++
			continue
		}
		used -= e.size[part]
		delete(e.size, part)
		e.cached = slices.Delete(e.cached, i, i+1)
	}
	for used > e.memory && len(e.running) > 1 {
		newest := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		used -= newest.job.Parts[1].Tokens
		newest.prefill = newest.job.Parts[1].Tokens
		e.queue = append([]*request{newest}, e.queue...)
	}
}

// begin takes a request. Its shared parts are read unless they are in memory or come from the source.
func (e *engine) begin(r *request, source *engine, now time.Time) {
	shared := r.job.Parts[0]
	r.prefill = r.job.Parts[1].Tokens
	switch {
	case e.holds(shared.ID):
		e.use(shared.ID)
	case source != nil && source.holds(shared.ID):
		r.fetched = now.Add(milliseconds(fetchSetupMs + float64(shared.Tokens)/fetchedPerMs))
	default:
		r.prefill += shared.Tokens
	}
	if len(e.running) == 0 && len(e.queue) == 0 {
		e.next = now.Add(milliseconds(stepMs * e.slow))
	}
	e.queue = append(e.queue, r)
}

// step ends one step: tokens of all that generate, and one chunk of prompts in the order of their arrival. It returns the
// requests that have an event, and plans the next step.
func (e *engine) step(now time.Time, noise *rand.Rand, quiet bool) (events []*request) {
	for len(e.queue) > 0 && len(e.running) < slots {
		e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
	}
	e.fit()
	budget := chunkTokens
	for _, r := range e.running {
		if r.fetched.After(now) {
			continue
		}
		if r.prefill > 0 {
			part := min(budget, r.prefill)
			r.prefill -= part
			budget -= part
			continue
		}
		e.keep(r.job.Parts[0])
		r.tokens--
		if r.tokens%eventTokens == 0 {
			events = append(events, r)
		}
	}
	if !now.Before(e.spellEnd) {
		e.noisy, e.spellEnd = !quiet && noise.Float64() < noiseShare, now.Add(noiseSpell)
	}
	ms := (stepMs + stepPerSlot*float64(len(e.running)) + float64(chunkTokens-budget)/tokensPerMs) * e.slow
	if e.noisy {
		ms *= noiseBy
	}
	e.next = now.Add(milliseconds(ms))
	return events
}

func (e *engine) drop(r *request) {
	same := func(o *request) bool { return o == r }
	e.running, e.queue = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.queue, same)
}

func (e *engine) idle() bool { return len(e.running) == 0 && len(e.queue) == 0 }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
