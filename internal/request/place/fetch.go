package place

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
)

// prefillCost returns the weighted cost of the prompt's prefill at the chosen replica, in milliseconds of wait. When a KV
// cache fetch from a source replica costs less than prefilling the shared parts again, it sets the source in the choice.
// This handles a burst that needs more replicas for a prompt's shared parts than have prefilled them: prefilling 13,300
// tokens stalls everything that the replica runs for 235 ms, fetching them takes 20 ms.
func (p *Placer) prefillCost(c *Choice, job *Job, now time.Time) float64 {
	prefill := p.set.PrefillCost * p.prefillMs(c.Key, c.Prefill, now)
	ownTokens := job.Parts[len(job.Parts)-1].Tokens
	fetch := milliseconds(time.Duration(p.set.FetchCost)) + p.set.PrefillCost*p.prefillMs(c.Key, ownTokens, now)
	if fetch >= prefill {
		return prefill
	}
	source := p.sourceReplica(c, job, now)
	if source == nil {
		return prefill
	}
	c.Source, c.Prefill = source, ownTokens
	return fetch
}

// maxSources is the number of sources that are compared without an allocation.
const maxSources = 16

// sourceReplica returns a replica that has prefilled the shared parts of the job's prompt, preferably in the availability
// zone of the chosen one, where the network path is shorter; nil when there is none.
func (p *Placer) sourceReplica(c *Choice, job *Job, now time.Time) *replicas.Replica {
	l := (*p.layout.Load())[job.Service]
	if l == nil {
		return nil
	}
	var best *replicas.Replica
	var holding [maxSources]Key
	for _, key := range p.kept.replicasHolding(holding[:0], job.Parts, now) {
		m, ok := l.byKey[key]
		// An ejected replica is no source, and this check must not use up its probe.
		if !ok || key == c.Key || !p.Health.Usable(job.Service, key, false, now) {
			continue
		}
		if best == nil || m.Zone == c.Replica.Zone && best.Zone != c.Replica.Zone {
			best = m.Replica
		}
	}
	return best
}
