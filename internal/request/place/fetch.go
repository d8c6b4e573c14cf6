package place

import "time"

// sources returns the usable replicas that have read the shared parts of the job's prompt.
func (p *Placer) sources(job *Job, now time.Time) []member {
	l := (*p.layout.Load())[job.Service]
	if l == nil {
		return nil
	}
	var list []member
	for _, key := range p.cached.holding(job.Parts, now) {
		// A replica that is avoided is no source, and asking must not use up its probe.
		if m, ok := l.byKey[key]; ok && p.Health.Usable(job.Service, key, false, now) {
			list = append(list, m)
		}
	}
	return list
}

// readCost returns what the prompt's reading at the chosen replica counts in its wait, in milliseconds. When a fetch from
// a source counts less than reading the shared parts again, the choice gets the source. It answers the pattern of a burst
// that needs more replicas for a prompt's shared parts than have read them: reading 13,300 tokens stalls all that the
// replica runs for 235 ms, fetching them takes 20 ms.
func (p *Placer) readCost(c *Choice, job *Job, sources []member) float64 {
	read := p.set.ReadAgainCost * float64(c.Prefill) / prefillRate
	source, ok := nearest(c, sources)
	if !ok {
		return read
	}
	own := job.Parts[len(job.Parts)-1].Tokens
	fetch := float64(time.Duration(p.set.FetchCost).Milliseconds()) + p.set.ReadAgainCost*float64(own)/prefillRate
	if fetch >= read {
		return read
	}
	c.Source, c.Prefill = source.Replica, own
	return fetch
}

// nearest returns a source in the availability zone of the chosen replica, where the way is shorter, or else any.
func nearest(c *Choice, sources []member) (member, bool) {
	best, found := member{}, false
	for _, m := range sources {
		if m.key == c.Key {
			continue
		}
		if !found || m.Zone == c.Replica.Zone && best.Zone != c.Replica.Zone {
			best, found = m, true
		}
	}
	return best, found
}
