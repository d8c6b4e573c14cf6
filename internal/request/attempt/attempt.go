// Package attempt is the entry's side of an attempt: it asks sidecars for a slot, starts the request at the first that
// grants one, and relays the answer. It knows at each moment whether the request may have started.
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
	// Close finishes the stream, Abort resets it.
	Close()
	Abort()
}

// Upstream is a sidecar with its upstream.
type Upstream interface {
	// Name is the sidecar's instance name.
	Name() string
	// Open opens a request stream without waiting.
	Open() (Stream, error)
}

// Choice is what the route decision proposes for one round of asks.
type Choice struct {
	// Targets are asked at the same time; at most two.
	Targets []Upstream
	// Committed asks the single target to start as soon as it has a slot.
	Committed bool
	// Reason explains the choice.
	Reason string
}

// Sink takes the answer. Its methods block while the caller reads slowly.
type Sink interface {
	// Started is called when a sidecar reports the start of an attempt.
	Started(upstream string)
	// Head starts an answer. It is called again when a further attempt replaces one of which nothing was sent.
	Head(h *wire.Head) error
	// Chunk takes the next piece.
	Chunk(c *wire.Chunk) error
	// Sent tells whether any part of the answer has left for the caller.
	Sent() bool
}

// Request is what is to be run.
type Request struct {
	// Ask is the template of every ask; RequestID, Attempt, times, Committed and Body are set per ask.
	Ask  wire.Ask
	Body []byte
	// Service is the plain service to call; empty for a model.
	Service string
	// Idempotent allows another attempt after one that may have run.
	Idempotent bool
	// Accepted is when the entry accepted the request, Deadline when its answer must be complete.
	Accepted time.Time
	Deadline time.Time
	// MayStart is asked before the request is handed to a sidecar; nil allows it always. It stops a process that was
	// paused for longer than its claim is valid.
	MayStart func() bool
	// Alone is set when no other request waits for the same service in this entry, so that a free slot is likely.
	Alone bool
	// Saturated is set when a sidecar had no free slot for a committed ask.
	Saturated bool
}

// End is how an attempt ended.
type End uint8

// Ends of an attempt.
const (
	// EndRefused means that every asked sidecar refused or could not be reached; nothing started.
	EndRefused End = iota + 1
	// EndNotRun means that the sidecar started the attempt and could not reach its upstream.
	EndNotRun
	// EndCompleted means that the whole answer reached the sink.
	EndCompleted
	// EndInterrupted means that the upstream started and the answer was cut.
	EndInterrupted
	// EndUnknown means that the upstream may have run the request.
	EndUnknown
	// EndCancelled means that the request's context ended before anything started.
	EndCancelled
)

// String returns the end's name.
func (e End) String() string {
	names := [...]string{"", "refused", "not_run", "completed", "interrupted", "unknown", "cancelled"}
	return names[e]
}

// Result is what one round of asks led to.
type Result struct {
	End      End
	Upstream string
	// Number is the attempt number that started, 0 when none did.
	Number uint32
	// Started is when the sidecar reported the start; zero when it did not.
	Started time.Time
	// FirstByte is when the first chunk arrived.
	FirstByte time.Time
	// Refusals by sidecar.
	Refusals []Refusal
	// Tokens is the entry's own count of the streamed completion tokens that arrived, Usage what the stream stated.
	Tokens uint32
	Usage  upstream.Usage
	// Done is the sidecar's final statement.
	Done wire.Done
	// Detail explains an end that Done does not.
	Detail string
	// Verdict is the decision about a repetition, 0 when none was needed.
	Verdict retry.Verdict
}

// Refusal is one sidecar's refusal.
type Refusal struct {
	Upstream   string
	Reason     wire.RefuseReason
	RetryAfter time.Duration
	// Unreachable is set instead of Reason when the session broke.
	Unreachable bool
}
