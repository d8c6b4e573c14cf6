package edge

import (
	"context"
	"errors"
	stdlog "log"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/metrics"
	"github.com/dragonflypin/dragonflypin/internal/request/forward"
)

// troubleInterval is the time between two lines about the same kind of trouble.
const troubleInterval = time.Second

// observer writes decisions to the log and the metrics, within a bound of lines a second.
type observer struct {
	log     *eventlog.Log
	metrics *metrics.Metrics
	rate    int
	// dropped returns the lines that a slow reader has cost so far.
	dropped func() int64

	mu       sync.Mutex
	tokens   int
	omitted  int
	troubles map[int]time.Time
}

func newObserver(deps *Deps, rate int) *observer {
	dropped := deps.DroppedLines
	if dropped == nil {
		dropped = func() int64 { return 0 }
	}
	return &observer{log: deps.Log, metrics: deps.Metrics, rate: rate, dropped: dropped, tokens: rate, troubles: map[int]time.Time{}}
}

// run renews the allowance of lines each second and tells how many were left out.
func (o *observer) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	told := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.mu.Lock()
			omitted := o.omitted
			o.tokens, o.omitted = o.rate, 0
			o.mu.Unlock()
			dropped := o.dropped()
			omitted += int(dropped - told)
			told = dropped
			if omitted > 0 {
				o.log.Emit(eventlog.LinesOmitted, eventlog.Count(omitted))
			}
		}
	}
}

// allowed takes one line of the second's allowance.
func (o *observer) allowed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tokens <= 0 {
		o.omitted++
		return false
	}
	o.tokens--
	return true
}

// troubled writes a repeated trouble at most once in troubleInterval.
func (o *observer) troubled(e eventlog.Event, err error) {
	now := time.Now()
	o.mu.Lock()
	due := now.Sub(o.troubles[e.Number]) >= troubleInterval
	if due {
		o.troubles[e.Number] = now
	}
	o.mu.Unlock()
	if due {
		o.log.Emit(e, eventlog.Err(err))
	}
}

// Attempted implements forward.Observer.
func (o *observer) Attempted(r *forward.Request, a forward.Attempt) {
	if !o.allowed() {
		return
	}
	o.log.Emit(eventlog.EdgeAttemptFailed,
		eventlog.Request(r.ID), eventlog.Class(r.Route.Name), eventlog.Upstream(a.Choice.Replica.ID), eventlog.Reason(string(a.Choice.Reason)),
		eventlog.Attempts(a.Number), eventlog.Status(a.Status), eventlog.Took(a.Took), eventlog.Err(a.Err))
}

// Ended implements forward.Observer.
func (o *observer) Ended(r *forward.Request, e forward.End) {
	o.metrics.Ended(metrics.Request{
		Class: r.Route.Name, Outcome: outcomeOf(e), Code: string(e.Code), Duration: e.Total, FirstToken: e.First,
	})
	if !o.allowed() {
		return
	}
	gap, _ := e.Choice.Load.Gap()
	fields := []eventlog.Field{
		eventlog.Request(r.ID), eventlog.Class(r.Route.Name), eventlog.Priority(r.Priority), eventlog.Version(r.Version), eventlog.Outcome(e.Outcome), eventlog.Status(e.Status),
		eventlog.InTime(inTime(r, &e)),
		eventlog.Upstream(e.Choice.ReplicaID()), eventlog.Reason(string(e.Choice.Reason)), eventlog.ReadTokens(e.Choice.Prefill),
		eventlog.SeenLoad(e.Choice.Load.Running, e.Choice.Load.Prefill, e.Choice.Load.Waiting), eventlog.SeenGap(gap), eventlog.ReportAge(e.Choice.ReportAge),
		eventlog.RefusedFor(string(e.Code)), eventlog.Attempts(e.Attempts),
		eventlog.Queued(e.Queued), eventlog.First(e.First), eventlog.LongestGap(e.LongestGap), eventlog.Took(e.Total), eventlog.Err(e.Err),
	}
	if e.Choice.Source != nil {
		fields = append(fields, eventlog.FetchedFrom(e.Choice.Source.ID))
	}
	o.log.Emit(eventlog.EdgeRequestEnded, fields...)
}

// inTime reports whether a replica's success reached the caller within the targets of its route.
func inTime(r *forward.Request, e *forward.End) bool {
	return e.Outcome == forward.OutcomeDelivered && e.Status < http.StatusBadRequest && r.Route.InTime(e.First, e.LongestGap, e.Total)
}

// outcomeOf names the outcome as the metrics of the other roles do.
func outcomeOf(e forward.End) string {
	if e.Outcome == forward.OutcomeRefused {
		return "not_run"
	}
	return e.Outcome
}

// denied notes a request that was not forwarded.
func (o *observer) denied(id string, refusal forward.Refusal, version uint64) {
	o.metrics.Ended(metrics.Request{Outcome: "not_run", Code: string(refusal.Code)})
	if !o.allowed() {
		return
	}
	o.log.Emit(eventlog.EdgeRequestDenied, eventlog.Request(id), eventlog.Version(version), eventlog.Status(refusal.Status),
		eventlog.RefusedFor(string(refusal.Code)))
}

// serverLog receives what net/http would print.
func (o *observer) serverLog() *stdlog.Logger { return stdlog.New(serverLog{o}, "", 0) }

type serverLog struct{ o *observer }

// Write implements io.Writer.
func (l serverLog) Write(b []byte) (int, error) {
	l.o.troubled(eventlog.EdgeServerError, errors.New(strings.TrimSpace(string(b))))
	return len(b), nil
}
