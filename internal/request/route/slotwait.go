package route

// SlotWait is the Scorer that adds the expected wait for a slot to the DrainTime of upstreams estimated to be full.
// Outstanding tokens alone do not show that wait: a request that generates more tokens than expected has none
// outstanding, so an upstream full of such requests would look idle.
type SlotWait struct {
	DrainTime
}

// Cost implements Scorer.
func (s SlotWait) Cost(c *Candidate, r *Request) float64 {
	cost := s.DrainTime.Cost(c, r)
	if excess := float64(c.InFlight) + c.OthersInFlight + 1 - float64(c.Slots); excess > 0 {
		cost += excess * c.MeanTokens * c.DecodeInterval
	}
	return cost
}
