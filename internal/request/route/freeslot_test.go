package route

import (
	"testing"
	"time"
)

// Guards against preferring an upstream full of long requests, whose expected tokens are used up, to one with a slot.
func TestFreeSlotAvoidsFullUpstream(t *testing.T) {
	s := FreeSlot{DrainTime{ZonePenalty: 1}}
	full := Candidate{InFlight: 16, Slots: 16, Outstanding: 0, MeanTokens: 200, PerToken: float64(36 * time.Millisecond)}
	free := full
	free.InFlight, free.Outstanding = 10, 2000
	r := &Request{Tokens: 200}
	if s.Cost(&full, r) <= s.Cost(&free, r) {
		t.Fatalf("full costs %.0f, free %.0f", s.Cost(&full, r), s.Cost(&free, r))
	}
	if s.DrainTime.Cost(&full, r) > s.DrainTime.Cost(&free, r) {
		t.Fatal("the case does not show the fault: DrainTime prefers the free upstream already")
	}
}
