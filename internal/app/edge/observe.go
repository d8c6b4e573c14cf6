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
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// errorLogInterval is the minimum time between two log lines of the same error event.
const errorLogInterval = time.Second

// observer records routing decisions and errors in the log and the metrics. It limits the log lines of requests per second,
// and the lines of each error event to one per errorLogInterval.
type observer struct {
	log     *eventlog.Log
	metrics *metrics.Metrics
	// linesPerSecond is the limit of log lines of requests.
	linesPerSecond int
	// dropped returns the number of log lines dropped so far because of a slow reader.
	dropped func() int64

	mu sync.Mutex
	// linesLeft is the number of lines still allowed in this second.
	linesLeft int
	omitted   int
	// lastLogged is the time of the last line of each error event, by the number of the event.
	lastLogged map[int]time.Time
}

func newObserver(deps *Deps, linesPerSecond int) *observer {
	dropped := deps.DroppedLines
	if dropped == nil {
		dropped = func() int64 { return 0 }
	}
	return &observer{
		log: deps.Log, metrics: deps.Metrics, linesPerSecond: linesPerSecond, dropped: dropped, linesLeft: linesPerSecond,
		lastLogged: map[int]time.Time{},
	}
}

// run resets the line limit each second and logs how many lines were omitted.
func (o *observer) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.mu.Lock()
			omitted := o.omitted
			o.linesLeft, o.omitted = o.linesPerSecond, 0
			o.mu.Unlock()
			dropped := o.dropped()
			omitted += int(dropped - reported)
			reported = dropped
			if omitted > 0 {
				o.log.Emit(eventlog.LinesOmitted, eventlog.Count(omitted))
			}
		}
	}
}

// allowLine consumes one line of the current second's limit and reports whether there was one left.
func (o *observer) allowLine() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.linesLeft <= 0 {
		o.omitted++
		return false
	}
	o.linesLeft--
	return true
}

// logError logs a recurring error at most once per errorLogInterval.
func (o *observer) logError(e eventlog.Event, err error) {
	now := time.Now()
	o.mu.Lock()
	allowed := now.Sub(o.lastLogged[e.Number]) >= errorLogInterval
	if allowed {
		o.lastLogged[e.Number] = now
	}
	o.mu.Unlock()
	if allowed {
		o.log.Emit(e, eventlog.Err(err))
	}
}

// Attempted implements forward.Observer.
func (o *observer) Attempted(r *forward.Request, a forward.Attempt) {
	if !o.allowLine() {
		return
	}
	fields := []eventlog.Field{
		eventlog.Request(r.ID), eventlog.Class(r.Route.Name), eventlog.Upstream(a.Choice.Replica.ID), eventlog.Reason(string(a.Choice.Reason)),
		eventlog.Attempts(a.Number), eventlog.Status(a.Status), eventlog.Took(a.Took), eventlog.Answering(a.Answering), eventlog.PromptParts(r.SharedParts()), eventlog.Err(a.Err),
	}
	o.log.Emit(eventlog.EdgeAttemptFailed, append(fields, streamFields(r, a.Stream)...)...)
}

// streamFields describes the part of a stream that one replica has sent.
func streamFields(r *forward.Request, part forward.StreamPart) []eventlog.Field {
	if r.Route.Kind != routes.Streaming {
		return nil
	}
	return []eventlog.Field{eventlog.ResumedAfter(part.ResumedAfter), eventlog.LastEvent(part.LastEvent), eventlog.Framing(string(part.Framing))}
}

// Ended implements forward.Observer.
func (o *observer) Ended(r *forward.Request, e forward.End) {
	o.metrics.Ended(metrics.Request{
		Class: r.Route.Name, Outcome: outcomeOf(e), Code: string(e.Code), Duration: e.Total, FirstToken: e.FirstByte,
	})
	if !o.allowLine() {
		return
	}
	gap, _ := e.Choice.Load.MeanGap()
	fields := []eventlog.Field{
		eventlog.Request(r.ID), eventlog.Class(r.Route.Name), eventlog.Priority(r.Priority), eventlog.Version(r.Version), eventlog.Outcome(e.Outcome), eventlog.Status(e.Status),
		eventlog.InTime(inTime(r, &e)),
		eventlog.Upstream(e.Choice.ReplicaID()), eventlog.Reason(string(e.Choice.Reason)), eventlog.PrefillTokens(e.Choice.Prefill),
		eventlog.SeenLoad(e.Choice.Load.Running, e.Choice.Load.Prefill, e.Choice.Load.Waiting), eventlog.SeenGap(gap), eventlog.ReportAge(e.Choice.ReportAge),
		eventlog.RefusedFor(string(e.Code)), eventlog.Attempts(e.Attempts),
		eventlog.Queued(e.Queued), eventlog.FirstByte(e.FirstByte), eventlog.LongestGap(e.LongestGap), eventlog.Took(e.Total), eventlog.PromptParts(r.SharedParts()), eventlog.Err(e.Err),
	}
	if e.Choice.Source != nil {
		fields = append(fields, eventlog.FetchedFrom(e.Choice.Source.ID))
	}
	o.log.Emit(eventlog.EdgeRequestEnded, append(fields, streamFields(r, e.Stream)...)...)
}

// paused records that a replica has asked this edge for a pause.
func (o *observer) paused(replicaID string, duration time.Duration) {
	if o.allowLine() {
		o.log.Emit(eventlog.EdgeReplicaPaused, eventlog.Upstream(replicaID), eventlog.Pause(duration))
	}
}

// inTime reports whether a successful response reached the caller within the latency targets of its route.
func inTime(r *forward.Request, e *forward.End) bool {
	return e.Outcome == forward.OutcomeDelivered && e.Status < http.StatusBadRequest && r.Route.MeetsTargets(e.FirstByte, e.LongestGap, e.Total)
}

// outcomeOf returns the outcome under the name that the metrics of the other roles use.
func outcomeOf(e forward.End) string {
	if e.Outcome == forward.OutcomeRefused {
		return "not_run"
	}
	return e.Outcome
}

// denied records a request that was not forwarded.
func (o *observer) denied(id string, refusal forward.Refusal, version uint64) {
	o.metrics.Ended(metrics.Request{Outcome: "not_run", Code: string(refusal.Code)})
	if !o.allowLine() {
		return
	}
	o.log.Emit(eventlog.EdgeRequestDenied, eventlog.Request(id), eventlog.Version(version), eventlog.Status(refusal.Status),
		eventlog.RefusedFor(string(refusal.Code)))
}

// serverLog returns a logger that records errors of net/http servers as log events.
func (o *observer) serverLog() *stdlog.Logger { return stdlog.New(serverLog{o}, "", 0) }

// serverLog writes errors of net/http servers to the observer.
type serverLog struct{ o *observer }

// Write implements io.Writer.
func (l serverLog) Write(b []byte) (int, error) {
	l.o.logError(eventlog.EdgeServerError, errors.New(strings.TrimSpace(string(b))))
	return len(b), nil
}
