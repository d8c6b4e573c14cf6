package prompts

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

// placeByOracle places a request where its first event comes soonest, by the real backlog, cache and speed of the
// engines, and refuses it at once when no engine can meet its target. It considers one request at a time, so it bounds
// the gain from better knowledge, not from a better order.
func (x *replay) placeByOracle(r *request) {
	var best, source *engine
	var bestWait time.Duration
	shared := r.job.Parts[0]
	for _, e := range x.engines {
		if e.lost {
			continue
		}
		from := x.engineWith(shared, e)
		if wait := x.predictFirstEvent(e, from, r.job); best == nil || wait < bestWait {
			best, source, bestWait = e, from, wait
		}
	}
	if best == nil || x.now.Add(bestWait).Sub(r.job.Arrived) > r.class.target {
		x.refuse(r, bestWait)
		return
	}
	best.enqueue(r, source, x.now)
}

// engineWith returns another engine that has the part in its cache, or nil.
func (x *replay) engineWith(part place.Part, except *engine) *engine {
	for _, e := range x.engines {
		if e != except && !e.lost && e.hasCached(part.ID) {
			return e
		}
	}
	return nil
}

// predictFirstEvent returns the time until the first event of the job at the engine.
func (x *replay) predictFirstEvent(e, source *engine, job *place.Job) time.Duration {
	shared := job.Parts[0]
	tokens, ms := e.pendingPrefill()+job.Parts[1].Tokens, 0.0
	switch {
	case e.hasCached(shared.ID):
	case source != nil:
		ms += fetchSetupMs + float64(shared.Tokens)/fetchedPerMs
	default:
		tokens += shared.Tokens
	}
	steps := float64(tokens)/float64(e.chunkTokens) + float64(e.eventTokens)
	ms += (float64(tokens)/e.prefillTokensPerMs + steps*(e.stepMs+e.stepPerRequestMs*float64(len(e.running)))) * e.slowFactor
	if e.noisy && x.now.Before(e.noiseUntil) {
		ms *= noiseFactor
	}
	return milliseconds(ms)
}
