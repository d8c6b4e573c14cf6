package place

import (
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// Guards against a new prompt that starts before a more urgent one, which is queued behind a less urgent one.
func TestNewPromptDoesNotOvertakeMoreUrgentOnes(t *testing.T) {
	cfg := settings.Edge{}
	settings.ApplyDefaults(&cfg)
	p := New("z", cfg.Placement, 1)
	now := time.Unix(1000, 0)
	waiter := func(priority int) *Waiter {
		return &Waiter{job: &Job{Priority: priority, Arrived: now, Target: time.Second}, profile: Profile{TightestTarget: time.Second}, choice: Choice{Key: 7}}
	}
	p.queues.byKey[7] = []*Waiter{waiter(5), waiter(1)}
	if p.mayStart(waiter(3), now) {
		t.Error("a prompt of priority 3 starts before a queued one of priority 1")
	}
	if !p.mayStart(waiter(0), now) {
		t.Error("a prompt of priority 0 waits behind less urgent ones although there is capacity")
	}
}
