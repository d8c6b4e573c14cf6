// Package forward carries one request from its caller to a replica and the answer back: it chooses replicas, repeats what
// provably has not run or may run twice, goes on with cut streams, and states truthfully what has not run.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
	"github.com/dragonflypin/dragonflypin/internal/request/place"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// Request is one request of a caller, after its route and workspace are known.
type Request struct {
	// ID names this attempt of the caller.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the caller's headers that go on to the replica.
	Header http.Header
	Body   []byte
	// Chunked tells that the caller sent the body in chunks.
	Chunked bool
	Route   *routes.Route
	// Version is the number of the configuration that the route is from.
	Version uint64
	// Service is the target of the route that was drawn for this request.
	Service string
	// Workspace is the name of the key's owner, or empty for anonymous requests.
	Workspace string
	// Priority is 0 for the most urgent requests.
	Priority int
	Arrived  time.Time
	// Deadline is the earlier one of the caller's deadline and the route's timeout.
	Deadline time.Time
	// Parts of the prompt in order, and its size in tokens.
	Parts        []place.Part
	PromptTokens int
	// ResumeAfter is the ID of the last event that the caller has; empty for a stream from its start.
	ResumeAfter string
}

// Verdict is what an answer of a replica says about the request.
type Verdict uint8

// Verdicts.
const (
	// Ran means that the replica worked on the request; its answer is the caller's.
	Ran Verdict = iota + 1
	// NotRun means that the replica refused the request before it began.
	NotRun
	// WrongReplica means that another replica has taken the address; the request was not run.
	WrongReplica
)

// Dialect translates between requests and the headers that replicas understand.
type Dialect interface {
	// Headers returns the headers of a request to a replica. left is the time that the replica may use, and resumeAfter
	// the last event that the caller has.
	Headers(r *Request, c *place.Choice, left time.Duration, resumeAfter string) http.Header
	// Names reports whether an answer belongs to the request.
	Names(r *Request, status int, h http.Header) bool
	// Verdict reads what an answer says.
	Verdict(status int, h http.Header) Verdict
	// Forwarded returns the headers of an answer that the caller gets.
	Forwarded(h http.Header) http.Header
}

// Responder delivers an answer to the caller. Its methods are called by one goroutine.
type Responder interface {
	// Begin sends the head of a replica's answer. length is -1 when it is not known.
	Begin(status int, h http.Header, length int64)
	// Write sends a part of the body at once.
	Write(b []byte) error
	// Abort cuts the answer so that it can't be taken for complete.
	Abort()
	// Refuse sends an answer of the router's own, before Begin.
	Refuse(r Refusal)
}

// Refusal is an answer of the router's own.
type Refusal struct {
	// Status is 503 only when the request has not run and never will.
	Status int
	// Code is the stable reason.
	Code Code
	// RetryAfter is when to come back; 0 sends none.
	RetryAfter time.Duration
}

// Code is the reason of a refusal, in logs and metrics.
type Code string

// Codes.
const (
	CodeNoReplica    Code = "no_replica"
	CodeUnreachable  Code = "unreachable"
	CodeNoRoom       Code = "no_room"
	CodeReplicasFull Code = "replicas_full"
	CodeDeadline     Code = "deadline"
	CodeTimeout      Code = "timeout"
	CodeUnknown      Code = "may_have_run"
	CodeRetryBudget  Code = "retry_budget"
)

// End is the final state of a request, for logs and metrics.
type End struct {
	// Outcome is "delivered", "refused", "failed", "cut" or "abandoned".
	Outcome string
	Code    Code
	Status  int
	// Attempts is the number of replicas that the request was sent to.
	Attempts int
	// Choice is the last choice of a replica, with what it saw.
	Choice place.Choice
	// Queued is the time before the first send.
	Queued time.Duration
	// First is the time from arrival to the first byte for the caller, or 0.
	First time.Duration
	Total time.Duration
	// LongestGap is the longest pause between two parts of the answer.
	LongestGap time.Duration
	Err        error
}

// Outcomes of an End.
const (
	OutcomeDelivered = "delivered"
	OutcomeRefused   = "refused"
	OutcomeFailed    = "failed"
	OutcomeCut       = "cut"
	OutcomeAbandoned = "abandoned"
)

// Attempt is one send to a replica, for logs.
type Attempt struct {
	Choice  place.Choice
	Number  int
	Status  int
	Verdict Verdict
	Err     error
	Took    time.Duration
}

// Observer is told of decisions. It must not block.
type Observer interface {
	// Attempted is called after each send that did not deliver the answer.
	Attempted(r *Request, a Attempt)
	// Ended is called once for each request.
	Ended(r *Request, e End)
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	Placer   *place.Placer
	Pool     *direct.Pool
	Dialect  Dialect
	Budgets  *Budgets
	Observer Observer
}

// Serve answers one request. ctx ends when the caller leaves.
func (f *Forwarder) Serve(ctx context.Context, r *Request, to Responder) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	s := &serving{f: f, r: r, to: to, resumeAfter: r.ResumeAfter}
	f.Budgets.get(r.Service).OnRequest(r.Arrived)
	end := s.run(ctx)
	end.Total = time.Since(r.Arrived)
	end.Attempts, end.Choice = s.sends, s.choice
	end.Queued, end.First, end.LongestGap = s.queued, s.first, s.longestGap
	f.Observer.Ended(r, end)
}
