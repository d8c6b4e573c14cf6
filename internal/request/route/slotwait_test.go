package route

import (
	"testing"
	"time"
)

// Guards against preferring an upstream full of requests that exceeded their expected tokens to one with a free slot.
func TestSlotWaitAvoidsFullUpstream(t *testing.T) {
	s := SlotWait{DrainTime{ZonePenalty: 1}}
	full := Candidate{
		InFlight: 16, Slots: 16, OutstandingTokens: 0, MeanTokens: 200, DecodeInterval: float64(36 * time.Millisecond),
	}
	free := full
	free.InFlight, free.OutstandingTokens = 10, 2000
	r := &Request{Tokens: 200}
	if s.Cost(&full, r) <= s.Cost(&free, r) {
		t.Fatalf("full costs %.0f, free %.0f", s.Cost(&full, r), s.Cost(&free, r))
	}
	if s.DrainTime.Cost(&full, r) > s.DrainTime.Cost(&free, r) {
		t.Fatal("invalid test case: DrainTime alone already prefers the free upstream")
	}
}
