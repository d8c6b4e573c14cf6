// Package attempt implements the entry's side of an attempt: it asks sidecars for a slot, starts the request at the
// first sidecar that grants one, and relays the response. It always knows whether the request may have started.
package attempt

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/upstream"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/request/retry"
)

// Stream is one request stream to a sidecar.
type Stream interface {
	Send(messages ...wire.Message) error
	Recv() (wire.Message, error)
	// Close ends the stream, Abort resets it.
	Close()
	Abort()
}

// Upstream is an upstream reached through its sidecar.
type Upstream interface {
	// Name is the sidecar's instance name.
	Name() string
	// Open opens a request stream without blocking.
	Open() (Stream, error)
}

// Choice is the routing decision for one round of asks.
type Choice struct {
	// Targets are the sidecars to ask concurrently, at most two.
	Targets []Upstream
	// Committed sends the single target a committed ask, which carries the body and starts without a separate grant.
	Committed bool
	// Reason explains the choice to operators.
	Reason string
}

// Sink receives the response. Its methods block while the caller reads slowly.
type Sink interface {
	// Started is called when a sidecar reports the start of an attempt.
	Started(upstream string)
	// Head starts a response. It is called again when a retry replaces an attempt of which nothing was sent to the caller.
	Head(h *wire.Head) error
	// Chunk takes the next part of the body.
	Chunk(c *wire.Chunk) error
	// Sent reports whether any part of the response has been sent to the caller.
	Sent() bool
}

// Request is one request of a caller, with the state that its attempts share.
type Request struct {
	// Ask is the template of every ask; RequestID, Attempt, times, Committed and Body are set per ask.
	Ask  wire.Ask
	Body []byte
	// Service is the plain service to call; empty for a model request.
	Service string
	// Idempotent allows a retry after an attempt that may have run.
	Idempotent bool
	// Accepted is when the entry accepted the request, Deadline when its response must be complete.
	Accepted time.Time
	Deadline time.Time
	// MayStart is called before an ask or a start is sent and reports whether the request may still start; nil always
	// allows it. It keeps a process that was paused until its claim expired from starting the request.
	MayStart func() bool
	// OnlyWaiter is set when no other request waits for the same service at this entry, so a free slot is likely.
	OnlyWaiter bool
	// Saturated is set when a sidecar had no free slot for a committed ask.
	Saturated bool
}

// End states how an attempt ended.
type End uint8

// Ends of an attempt.
const (
	// EndRefused means that every sidecar refused or could not be reached; nothing started.
	EndRefused End = iota + 1
	// EndNotRun means that the sidecar started the attempt and could not reach its upstream.
	EndNotRun
	// EndCompleted means that the whole response reached the sink.
	EndCompleted
	// EndInterrupted means that the upstream started and the response is incomplete.
	EndInterrupted
	// EndUnknown means that the upstream may have run the request.
	EndUnknown
	// EndCancelled means that the context ended, or that the claim expired, before anything started.
	EndCancelled
)

// String returns the end's name.
func (e End) String() string {
	names := [...]string{"", "refused", "not_run", "completed", "interrupted", "unknown", "cancelled"}
	return names[e]
}

// Result is the outcome of one round of asks.
type Result struct {
	End      End
	Upstream string
	// Number is the number of the attempt that started, 0 when none did.
	Number uint32
	// Started is when the sidecar's report of the start arrived; zero if none did.
	Started time.Time
	// FirstByte is when the first chunk arrived.
	FirstByte time.Time
	// Refusals lists the sidecars that refused or could not be reached.
	Refusals []Refusal
	// Tokens counts the streamed completion tokens that arrived; Usage is the usage object that the stream carried.
	Tokens uint32
	Usage  upstream.Usage
	// Done is the sidecar's final message.
	Done wire.Done
	// Detail describes the end of the attempt in a few words.
	Detail string
	// Verdict is the decision about a retry, 0 when none was needed.
	Verdict retry.Verdict
}

// Refusal is a refusal by one sidecar, or a failure to reach it.
type Refusal struct {
	Upstream   string
	Reason     wire.RefuseReason
	RetryAfter time.Duration
	// Unreachable is set instead of Reason when no stream could be opened or the stream failed.
	Unreachable bool
}
