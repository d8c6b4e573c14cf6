package route

import "time"

// maxSample bounds the number of candidates of one decision.
const maxSample = 12

// defaultDecodeInterval is the decode interval assumed while the median is unknown, in nanoseconds.
const defaultDecodeInterval = float64(20 * time.Millisecond)

// Candidate describes one sampled upstream to a Filter, Scorer or Chooser.
type Candidate struct {
	ID ID
	// InFlight is the number of this entry's asks and attempts, OutstandingTokens their expected tokens not yet received.
	InFlight          int
	OutstandingTokens int64
	// OthersInFlight is the estimated number of other entries' requests.
	OthersInFlight float64
	Slots          int
	// MeanTokens is the group's mean of the expected tokens per request.
	MeanTokens float64
	// DecodeInterval is the time per token of one stream, or per call of a service without tokens, in nanoseconds.
	DecodeInterval float64
	OwnZone        bool
	// HasPrefix is set when the request's prefix is probably cached at the upstream.
	HasPrefix bool
	// Cost is the Scorer's result; lower is better.
	Cost float64
	// freshLoad is set when the last report shows no requests of other entries, or is recent.
	freshLoad bool
}

// Load is the number of requests per slot.
func (c *Candidate) Load() float64 {
	return (float64(c.InFlight) + c.OthersInFlight) / float64(c.Slots)
}

// Filter decides which sampled candidates are compared. The index has already filtered by state, service and model.
type Filter interface {
	Allow(c *Candidate, r *Request) bool
}

// Scorer computes the cost of a candidate; lower is better.
type Scorer interface {
	Cost(c *Candidate, r *Request) float64
}

// Chooser selects the positions of the first and second upstream in a non-empty sample; second is -1 for none.
type Chooser interface {
	Choose(cs []Candidate) (first, second int, reason Reason)
}

// NotExcluded is the Filter that rejects the request's excluded upstreams.
type NotExcluded struct{}

// Allow implements Filter.
func (NotExcluded) Allow(c *Candidate, r *Request) bool { return !excluded(c.ID, r) }

func excluded(id ID, r *Request) bool {
	for _, x := range r.Exclude {
		if x == id {
			return true
		}
	}
	return false
}

// DrainTime is the Scorer that estimates the time until the upstream has completed its current requests and the new
// one, in nanoseconds.
type DrainTime struct {
	// ZonePenalty multiplies the cost in another zone.
	ZonePenalty float64
}

// Cost implements Scorer.
func (d DrainTime) Cost(c *Candidate, r *Request) float64 {
	tokens := float64(c.OutstandingTokens) + c.OthersInFlight*c.MeanTokens + float64(r.Tokens)
	if c.HasPrefix {
		tokens -= float64(min(r.PrefixTokens, r.Tokens))
	}
	cost := tokens * c.DecodeInterval / float64(c.Slots)
	if !c.OwnZone {
		cost *= d.ZonePenalty
	}
	return cost
}

// PrefixAffinity is the Chooser that selects the lowest cost, except that it prefers an upstream with the prefix while
// that upstream's load is within MaxLoad times the sample's mean.
type PrefixAffinity struct {
	MaxLoad float64
}

// Choose implements Chooser.
func (a PrefixAffinity) Choose(cs []Candidate) (first, second int, reason Reason) {
	first, reason = lowestCost(cs, -1), ReasonCost
	if i := a.bestWithPrefix(cs); i >= 0 {
		first, reason = i, ReasonPrefix
	}
	return first, lowestCost(cs, first), reason
}

func (a PrefixAffinity) bestWithPrefix(cs []Candidate) int {
	var sum float64
	best := -1
	for i := range cs {
		sum += cs[i].Load()
		if cs[i].HasPrefix && (best < 0 || cs[i].Cost < cs[best].Cost) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	c := &cs[best]
	// One request above the bound is always allowed, so that an idle upstream among idle ones still gets its prefixes.
	if bound := a.MaxLoad*sum/float64(len(cs)) + 1/float64(c.Slots); c.Load() > bound {
		return -1
	}
	return best
}

func lowestCost(cs []Candidate, except int) int {
	best := -1
	for i := range cs {
		if i != except && (best < 0 || cs[i].Cost < cs[best].Cost) {
			best = i
		}
	}
	return best
}
