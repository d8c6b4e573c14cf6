package place_test

import (
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/place"
)

// Guards against prompts of medium size in the short pool: their prefill breaks the gap target of the streams there. The
// sizes are those of the three model routes of cornemuse-breizh. Guards also against a classification that depends on the
// size of the first prompt.
func TestOnlyPromptsFarBelowTheLongestAreShort(t *testing.T) {
	sizes := place.NewPromptSizes()
	record := func(route string, tokens int) place.Profile {
		return sizes.Record(&place.Job{Service: "lm", Route: route, Tokens: tokens, Target: time.Second}, epoch)
	}
	record("question", 600) // far below the mean
	for range 10 {
		record("plan", 9190)
		record("question", 2570)
		record("coaching", 715)
	}
	for route, want := range map[string]bool{"plan": false, "question": false, "coaching": true} {
		tokens := map[string]int{"plan": 9190, "question": 2400, "coaching": 715}[route]
		if got := record(route, tokens).Short; got != want {
			t.Errorf("%s is short: %t, want %t", route, got, want)
		}
	}
}
