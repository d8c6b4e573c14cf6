package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/request/admit"
	"github.com/dragonflypin/dragonflypin/internal/request/admit/overload"
	"github.com/dragonflypin/dragonflypin/internal/request/attempt"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
	"github.com/dragonflypin/dragonflypin/internal/version/directory"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// Paths of the caller API.
const (
	pathChat     = "/v1/chat/completions"
	pathText     = "/v1/completions"
	pathModels   = "/v1/models"
	pathServices = "/services/"
)

const (
	// modelQueuePrefix is the prefix of a model's queue name. The slash keeps it distinct from the names of plain services.
	modelQueuePrefix = "model/"
	// retryAfter is the Retry-After of refusals whose cause usually passes within seconds.
	retryAfter = time.Second
	// maxTimeout keeps the remaining milliseconds of a request within 32 bits.
	maxTimeout = 30 * 24 * time.Hour
)

// exchange is one request of a caller and its response.
type exchange struct {
	entry       *Entry
	w           http.ResponseWriter
	r           *http.Request
	explanation *Explanation // filled in during the request
	workspace   *directory.Workspace
	row         table.Row
	trace       attempt.Trace
	sink        *sink
}

func (e *Entry) newRequestID() string { return fmt.Sprintf("%s.%016x", e.cfg.Instance, rand.Uint64()) }

// serveCaller handles one request of the caller API.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	x := &exchange{entry: e, w: w, r: r, explanation: &Explanation{RequestID: e.newRequestID(), Entry: e.cfg.Instance, Accepted: time.Now(), Method: r.Method}}
	w.Header().Set(outcome.HeaderRequestID, x.explanation.RequestID)
	abort := x.finish(x.serve())
	if abort {
		panic(http.ErrAbortHandler) // closes the connection, so that the caller cannot mistake the response for a complete one
	}
}

func (e *exchange) serve() *outcome.Error {
	if e.entry.draining.Load() {
		e.w.Header().Set("Connection", "close")
		return unavailable(outcome.CodeDraining, "This entry is draining.")
	}
	path := e.r.URL.Path
	switch {
	case path == pathChat:
		return e.completion(admit.ParseChat)
	case path == pathText:
		return e.completion(admit.ParseText)
	case path == pathModels:
		return e.listModels()
	case strings.HasPrefix(path, pathServices):
		return e.callService()
	default:
		return notFound(outcome.CodeInvalidRequest, fmt.Sprintf("The path %q does not exist.", path))
	}
}

// identify authenticates the caller and sets its workspace and table row.
func (e *exchange) identify() *outcome.Error {
	ws, oerr := admit.Authenticate(e.entry.control.directory.Current(), e.r.Header)
	if oerr != nil {
		return oerr
	}
	e.workspace, e.explanation.Workspace, e.explanation.Owner = ws, ws.Name, ws.Owner
	version := e.entry.control.table.Number()
	row, oerr := admit.Row(ws, e.r.Header, e.entry.row)
	if oerr != nil {
		return oerr
	}
	e.row, e.explanation.Class, e.explanation.TableVersion = row, row.Class, version
	return nil
}

func (e *exchange) completion(parse func([]byte, int) (admit.Completion, *outcome.Error)) *outcome.Error {
	if e.r.Method != http.MethodPost {
		return methodNotAllowed(e.w, http.MethodPost)
	}
	if oerr := e.identify(); oerr != nil {
		return oerr
	}
	body, oerr := e.readBody()
	if oerr != nil {
		return oerr
	}
	c, oerr := parse(body, e.entry.cfg.Limits.MaxTokens)
	if oerr != nil {
		return oerr
	}
	e.explanation.Model = c.Model
	if !e.entry.fleet.servesModel(c.Model) {
		return notFound(outcome.CodeModelNotFound, fmt.Sprintf("No upstream serves the model %q.", c.Model))
	}
	req := e.newRequest(body)
	req.Idempotent = true
	req.Ask.Kind, req.Ask.Method, req.Ask.Path = wire.KindEngine, http.MethodPost, e.r.URL.Path
	req.Ask.Model, req.Ask.Stream, req.Ask.PrefixHash = c.Model, c.Stream, c.PrefixHash
	req.Ask.PromptTokens, req.Ask.MaxTokens = uint32(c.PromptTokens), uint32(c.MaxTokens)
	req.Ask.Header = []wire.HeaderField{{Name: "Content-Type", Value: "application/json"}}
	return e.run(req)
}

func (e *exchange) listModels() *outcome.Error {
	if e.r.Method != http.MethodGet {
		return methodNotAllowed(e.w, http.MethodGet)
	}
	if oerr := e.identify(); oerr != nil {
		return oerr
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for id, owner := range e.entry.fleet.models() {
		list = append(list, model{ID: id, Object: "model", OwnedBy: owner})
	}
	slices.SortFunc(list, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	body, err := json.Marshal(struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
	if err != nil {
		return internalError(err)
	}
	e.explanation.Status, e.explanation.Outcome = http.StatusOK, outcome.Completed
	e.w.Header().Set("Content-Type", "application/json")
	e.w.Header().Set(outcome.HeaderOutcome, string(outcome.Completed))
	_, _ = e.w.Write(body)
	return nil
}

// readBody reads the body within its size and time limits.
func (e *exchange) readBody() ([]byte, *outcome.Error) {
	limit := int64(e.entry.cfg.Limits.BodyBytes)
	if e.r.ContentLength > limit {
		e.w.Header().Set("Connection", "close") // because the body is not read
		return nil, tooLarge(limit)
	}
	rc := http.NewResponseController(e.w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // only response writers of tests do not support it
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	var body []byte
	var err error
	reader := http.MaxBytesReader(e.w, e.r.Body, limit)
	if e.r.ContentLength > 0 {
		body = make([]byte, e.r.ContentLength)
		_, err = io.ReadFull(reader, body)
	} else {
		body, err = io.ReadAll(reader)
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, tooLarge(limit)
	case err != nil:
		return nil, admit.Invalid("The body did not arrive completely.")
	}
	return body, nil
}

// newRequest creates a request with the row's policy and deadline.
func (e *exchange) newRequest(body []byte) *attempt.Request {
	timeout := min(admit.Timeout(&e.row, time.Duration(e.entry.cfg.Limits.Timeout)), maxTimeout)
	return &attempt.Request{
		Body: body, Accepted: e.explanation.Accepted, Deadline: e.explanation.Accepted.Add(timeout),
		Ask: wire.Ask{
			RequestID: e.explanation.RequestID, Workspace: e.workspace.Name, Owner: e.workspace.Owner, Class: e.row.Class,
			Policy: wire.Policy{
				TableVersion: e.explanation.TableVersion, Priority: uint8(e.row.Priority), Weight: uint16(e.row.Weight),
				Protected: e.row.Protected, TTFTTargetMs: uint32(e.row.TTFTTarget / time.Millisecond),
				MaxWaitMs: uint32(e.row.MaxWait / time.Millisecond), TokenTargetMs: uint32(e.row.TokenTarget / time.Millisecond),
			},
		},
	}
}

// run queues and runs the request, and completes the response.
func (e *exchange) run(req *attempt.Request) *outcome.Error {
	ctx, cancel := context.WithCancelCause(e.r.Context())
	defer cancel(nil)
	service := req.Service
	if service == "" {
		service = modelQueuePrefix + req.Ask.Model
	}
	waiter, verdict := e.entry.queue.Enqueue(time.Now(), service, &e.row, req.Deadline, cancel)
	if !verdict.Admitted() {
		return saturated(&verdict)
	}
	defer func() { waiter.Dequeue(time.Now()) }()
	req.OnlyWaiter = waiter.OnlyWaiter
	ctx, stop := context.WithDeadline(ctx, req.Deadline)
	defer stop()
	settle, oerr := e.enforceLimits(ctx, req)
	if oerr != nil {
		return oerr
	}
	e.sink = newSink(e, req, waiter)
	e.entry.deps.Metrics.Enqueued(e.row.Class)
	result := e.entry.runner.Run(ctx, req, e.sink, &e.trace)
	e.explanation.CallerGone = e.r.Context().Err() != nil
	e.sink.recordWait()
	settle(e.recordUsage(ctx, req))
	e.explanation.PromptTokens, e.explanation.CompletionTokens = result.Done.PromptTokens, result.Done.CompletionTokens
	return e.conclude(ctx, &result)
}

// conclude completes the response or returns the error for the result.
func (e *exchange) conclude(ctx context.Context, result *attempt.Result) *outcome.Error {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch result.End {
	case attempt.EndCompleted:
		if e.sink.engineFailed() {
			return upstreamFailed(outcome.Interrupted, "The upstream reported a failure.")
		}
		e.sink.complete()
		return nil
	case attempt.EndInterrupted:
		return startedError(expired, outcome.Interrupted, "The upstream's answer was cut.")
	case attempt.EndUnknown:
		return startedError(expired, outcome.Unknown, "The upstream may have run the request, but its answer was lost.")
	case attempt.EndNotRun:
		return unavailable(outcome.CodeNoUpstream, "No upstream could be reached.")
	}
	var shed *admit.ShedError
	switch {
	case errors.As(context.Cause(ctx), &shed):
		oerr := unavailable(outcome.CodeSaturated, "The expected wait has grown beyond what the class allows.")
		oerr.RetryAfter = max(oerr.RetryAfter, shed.RetryAfter)
		return oerr
	case result.End == 0:
		return unavailable(outcome.CodeNoUpstream, "No upstream of the service is available.")
	default:
		return unavailable(outcome.CodeDeadline, "No slot became free before the deadline.")
	}
}

// finish records the request and writes the error, if any. It reports whether the connection must be closed abruptly.
func (e *exchange) finish(oerr *outcome.Error) bool {
	e.explanation.addAttempts(&e.trace)
	e.explanation.TotalMs = e.explanation.sinceAccepted(time.Now())
	if e.explanation.QueueMs == 0 && e.sink != nil {
		e.explanation.QueueMs = e.explanation.TotalMs
	}
	if oerr == nil {
		e.explanation.Outcome = outcome.Completed
		if e.sink != nil {
			e.explanation.Status = e.sink.status()
		}
		e.entry.ring.add(e.explanation)
		e.recordMetrics()
		return false
	}
	e.entry.refusals.add(oerr.Code)
	e.explanation.Outcome, e.explanation.Code, e.explanation.Status = oerr.Outcome, oerr.Code, oerr.Status
	e.entry.ring.add(e.explanation)
	e.recordMetrics()
	e.logFailure(oerr)
	if e.sink != nil && e.sink.Sent() {
		return e.sink.fail(oerr)
	}
	oerr.Write(e.w)
	return false
}

// logFailure logs the failures that an operator may have to investigate.
func (e *exchange) logFailure(oerr *outcome.Error) {
	fields := []eventlog.Field{eventlog.Request(e.explanation.RequestID), eventlog.Class(e.explanation.Class), eventlog.Upstream(e.explanation.Upstream)}
	switch {
	case oerr.Code == outcome.CodeInternal:
		e.entry.log.Emit(eventlog.InternalError, append(fields, eventlog.Err(oerr))...)
	case oerr.Outcome == outcome.Interrupted && !e.explanation.CallerGone:
		e.entry.log.Emit(eventlog.StreamInterrupted, fields...)
	case oerr.Outcome == outcome.Unknown:
		e.entry.log.Emit(eventlog.CallUnknown, fields...)
	}
}

func unavailable(code outcome.Code, message string) *outcome.Error {
	return &outcome.Error{
		Status: http.StatusServiceUnavailable, Code: code, Message: message, Outcome: outcome.NotRun, RetryAfter: retryAfter,
	}
}

// saturated returns the error for a request that was not admitted to the queue.
func saturated(v *overload.Verdict) *outcome.Error {
	oerr := unavailable(outcome.CodeSaturated, "The expected wait exceeds what the class allows.")
	if v.Reason == overload.ReasonDeadline {
		oerr = unavailable(outcome.CodeDeadline, "No slot is expected to become free before the deadline.")
	}
	oerr.RetryAfter = max(oerr.RetryAfter, v.RetryAfter)
	return oerr
}

func notFound(code outcome.Code, message string) *outcome.Error {
	return &outcome.Error{Status: http.StatusNotFound, Code: code, Message: message, Outcome: outcome.NotRun}
}

func tooLarge(limit int64) *outcome.Error {
	return &outcome.Error{
		Status: http.StatusRequestEntityTooLarge, Code: outcome.CodeBodyTooLarge, Outcome: outcome.NotRun,
		Message: fmt.Sprintf("The body is larger than %d bytes.", limit),
	}
}

func methodNotAllowed(w http.ResponseWriter, allow string) *outcome.Error {
	w.Header().Set("Allow", allow)
	return &outcome.Error{
		Status: http.StatusMethodNotAllowed, Code: outcome.CodeInvalidRequest, Outcome: outcome.NotRun,
		Message: fmt.Sprintf("Only %s is allowed on this path.", allow),
	}
}

func internalError(err error) *outcome.Error {
	return &outcome.Error{Status: http.StatusInternalServerError, Code: outcome.CodeInternal, Outcome: outcome.NotRun, Message: err.Error()}
}

func upstreamFailed(o outcome.Outcome, message string) *outcome.Error {
	return &outcome.Error{Status: http.StatusBadGateway, Code: outcome.CodeUpstreamFailed, Outcome: o, Message: message}
}

// startedError returns the error for a request that started and did not complete.
func startedError(expired bool, o outcome.Outcome, message string) *outcome.Error {
	if expired {
		return &outcome.Error{
			Status: http.StatusGatewayTimeout, Code: outcome.CodeTimeout, Outcome: o, Message: "The request did not complete before its deadline.",
		}
	}
	return upstreamFailed(o, message)
}
