package route

import "time"

// maxSample bounds the candidates of one decision.
const maxSample = 12

// defaultPerToken is the time per token assumed while nothing is known, in nanoseconds.
const defaultPerToken = float64(20 * time.Millisecond)

// Candidate is what a policy sees of one upstream.
type Candidate struct {
	ID ID
	// InFlight is the entry's own count of asks and attempts, Outstanding their tokens.
	InFlight    int
	Outstanding int64
	// Others is the estimate of other entries' work, in requests.
	Others float64
	Slots  int
	// MeanTokens is the group's mean work per request.
	MeanTokens float64
	// PerToken is the time per token of one stream, in nanoseconds.
	PerToken float64
	OwnZone  bool
	// Prefix is set when the request's prefix was sent there before.
	Prefix bool
	// Cost is the Scorer's result; lower is better.
	Cost float64
	// fresh is set when Others is known to be zero or the report is recent.
	fresh bool
}

// Load is the number of requests per slot.
func (c *Candidate) Load() float64 { return (float64(c.InFlight) + c.Others) / float64(c.Slots) }

// Filter decides which sampled candidates are compared. State, service and model are filtered by the index.
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

// DrainTime is the Scorer that estimates when the upstream has worked off its own and the new tokens, in nanoseconds.
type DrainTime struct {
	// ZonePenalty multiplies the cost in another zone.
	ZonePenalty float64
}

// Cost implements Scorer.
func (d DrainTime) Cost(c *Candidate, r *Request) float64 {
	work := float64(c.Outstanding) + c.Others*c.MeanTokens + float64(r.Tokens)
	if c.Prefix {
		work -= float64(min(r.PrefixTokens, r.Tokens))
	}
	cost := work * c.PerToken / float64(c.Slots)
	if !c.OwnZone {
		cost *= d.ZonePenalty
	}
	return cost
}

// CheapestWithPrefix is the Chooser that takes the lowest cost, except that an upstream with the prefix is taken
// while its load is within MaxLoad times the sample's mean.
type CheapestWithPrefix struct {
	MaxLoad float64
}

// Choose implements Chooser.
func (k CheapestWithPrefix) Choose(cs []Candidate) (first, second int, reason Reason) {
	first, reason = cheapest(cs, -1), ReasonCost
	if i := k.withPrefix(cs); i >= 0 {
		first, reason = i, ReasonPrefix
	}
	return first, cheapest(cs, first), reason
}

func (k CheapestWithPrefix) withPrefix(cs []Candidate) int {
	var sum float64
	best := -1
	for i := range cs {
		sum += cs[i].Load()
		if cs[i].Prefix && (best < 0 || cs[i].Cost < cs[best].Cost) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	c := &cs[best]
	// One request is always allowed, so that an idle upstream among idle ones keeps its prefixes.
	if bound := k.MaxLoad*sum/float64(len(cs)) + 1/float64(c.Slots); c.Load() > bound {
		return -1
	}
	return best
}

func cheapest(cs []Candidate, except int) int {
	best := -1
	for i := range cs {
		if i != except && (best < 0 || cs[i].Cost < cs[best].Cost) {
			best = i
		}
	}
	return best
}
