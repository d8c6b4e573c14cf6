package route

// FreeSlot is the Scorer that adds the expected wait for a slot to the DrainTime of upstreams that are believed full.
// Outstanding tokens alone do not show it: long requests outlive their expected tokens, so an upstream full of them
// looks idle.
type FreeSlot struct {
	DrainTime
}

// Cost implements Scorer.
func (f FreeSlot) Cost(c *Candidate, r *Request) float64 {
	cost := f.DrainTime.Cost(c, r)
	if over := float64(c.InFlight) + c.Others + 1 - float64(c.Slots); over > 0 {
		cost += over * c.MeanTokens * c.PerToken
	}
	return cost
}
