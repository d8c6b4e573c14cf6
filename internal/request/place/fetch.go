package place

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/replicas"
)

// readCost returns what the prompt's reading at the chosen replica counts in its wait, in milliseconds. When a fetch from
// a source counts less than reading the shared parts again, the choice gets the source. It answers the pattern of a burst
// that needs more replicas for a prompt's shared parts than have read them: reading 13,300 tokens stalls all that the
// replica runs for 235 ms, fetching them takes 20 ms.
func (p *Placer) readCost(c *Choice, job *Job, now time.Time) float64 {
	read := p.set.ReadAgainCost * float64(c.Prefill) / prefillRate
	own := job.Parts[len(job.Parts)-1].Tokens
	fetch := milliseconds(time.Duration(p.set.FetchCost)) + p.set.ReadAgainCost*float64(own)/prefillRate
	if fetch >= read {
		return read
	}
	source := p.source(c, job, now)
	if source == nil {
		return read
	}
	c.Source, c.Prefill = source, own
	return fetch
}

// source returns a replica that has read the shared parts of the job's prompt, in the availability zone of the chosen one,
// where the way is shorter, or else any; nil when there is none.
func (p *Placer) source(c *Choice, job *Job, now time.Time) *replicas.Replica {
	l := (*p.layout.Load())[job.Service]
	if l == nil {
		return nil
	}
	var best *replicas.Replica
	for _, key := range p.cached.holding(job.Parts, now) {
		m, ok := l.byKey[key]
		// A replica that is avoided is no source, and asking must not use up its probe.
		if !ok || key == c.Key || !p.Health.Usable(job.Service, key, false, now) {
			continue
		}
		if best == nil || m.Zone == c.Replica.Zone && best.Zone != c.Replica.Zone {
			best = m.Replica
		}
	}
	return best
}
