package prompts

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

// foresee places a request where its first event comes soonest, by what the engines really have to do, hold and how fast
// they are, and refuses it at once when it can't be in time anywhere. It looks at one request at a time, so it bounds what
// better knowledge brings, not what better order would.
func (x *run) foresee(r *request) {
	var best, source *engine
	var bestWait time.Duration
	shared := r.job.Parts[0]
	for _, e := range x.engines {
		if e.lost {
			continue
		}
		from := x.holder(shared, e)
		if wait := x.foreseen(e, from, r.job); best == nil || wait < bestWait {
			best, source, bestWait = e, from, wait
		}
	}
	if best == nil || x.now.Add(bestWait).Sub(r.job.Arrived) > r.class.target {
		x.refuse(r, bestWait)
		return
	}
	best.begin(r, source, x.now)
}

// holder returns another engine that holds the part, or nil.
func (x *run) holder(part place.Part, except *engine) *engine {
	for _, e := range x.engines {
		if e != except && !e.lost && e.holds(part.ID) {
			return e
		}
	}
	return nil
}

// foreseen is the time until the first event of the job at the engine.
func (x *run) foreseen(e, source *engine, job *place.Job) time.Duration {
	shared := job.Parts[0]
	tokens, ms := e.work()+job.Parts[1].Tokens, 0.0
	switch {
	case e.holds(shared.ID):
	case source != nil:
		ms += fetchSetupMs + float64(shared.Tokens)/fetchedPerMs
	default:
		tokens += shared.Tokens
	}
	steps := float64(tokens)/chunkTokens + eventTokens
	ms += (float64(tokens)/tokensPerMs + steps*(stepMs+stepPerSlot*float64(len(e.running)))) * e.slow
	if e.noisy && x.now.Before(e.spellEnd) {
		ms *= noiseBy
	}
	return milliseconds(ms)
}
