package edge

import (
	"context"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/intake"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
)

// observeMemory makes the metrics show what is held for peers.
func (e *Edge) observeMemory() error {
	// The two values are read one after the other, so that the difference may be off for a moment.
	readAhead := func() int64 { return max(0, e.memory.Used()-e.intake.Charged()) }
	if err := e.deps.Metrics.ReadAhead(readAhead, e.memory.Refused); err != nil {
		return err
	}
	count := func() map[string]int64 {
		byPhase := map[string]int64{}
		for phase, n := range e.intake.Count() {
			byPhase[phase.String()] = int64(n)
		}
		return byPhase
	}
	closed := func() map[string]int64 {
		byReason := map[string]int64{}
		for _, reason := range intake.Reasons() {
			byReason[reason.String()] = e.intake.Closed(reason)
		}
		return byReason
	}
	return e.deps.Metrics.AcceptedConnections(e.intake.Charged, count, closed)
}

// logClosed logs how many connections were closed for their limits or for others, with at most one line for each reason a second.
// Idle ones are not logged: callers leave them in ordinary operation.
func (e *Edge) logClosed(ctx context.Context) {
	ticker := time.NewTicker(errorLogInterval)
	defer ticker.Stop()
	logged := map[intake.Reason]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, reason := range intake.Reasons() {
			n := e.intake.Closed(reason)
			if n > logged[reason] && reason != intake.Idle {
				e.deps.Log.Emit(eventlog.EdgeConnectionsClosed, eventlog.Reason(reason.String()), eventlog.Count(int(n-logged[reason])))
			}
			logged[reason] = n
		}
	}
}
