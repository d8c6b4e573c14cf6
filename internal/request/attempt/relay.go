package attempt

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/upstream"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// cancelTimeout is how long the entry waits for the final token counts of a cancelled attempt.
const cancelTimeout = time.Second

// relay copies the response of a started ask to the sink.
func (a *ask) relay(ctx context.Context, sink Sink, result *Result) {
	defer a.end()
	stop := context.AfterFunc(ctx, func() { a.cancelStarted(errors.Is(ctx.Err(), context.DeadlineExceeded)) })
	defer stop()
	var seq uint64
	discard := false
	for {
		m, err := a.st.Recv()
		if err != nil {
			a.interrupted(result, "session lost: "+err.Error())
			return
		}
		switch m := m.(type) {
		case *wire.Head:
			err = sink.Head(m)
		case *wire.Chunk:
			if seq++; m.Seq != seq {
				a.interrupted(result, fmt.Sprintf("chunk %d arrived in place of %d", m.Seq, seq))
				a.st.Abort()
				return
			}
			if result.FirstByte.IsZero() {
				result.FirstByte = time.Now()
			}
			result.count(m)
			if !discard {
				err = sink.Chunk(m)
			}
		case *wire.Done:
			result.finish(m, seq)
			return
		default:
			err = fmt.Errorf("message type %d after the start", m.WireType())
		}
		if err != nil && !discard {
			// The caller has disconnected; the remaining messages are read only for the sidecar's final counts.
			discard = true
			result.Detail = err.Error()
			a.cancelStarted(false)
		}
	}
}

// cancelStarted requests the sidecar to stop, and resets the stream if the sidecar does not end it in time. byRouter is
// set when the router ends the attempt, not the caller.
func (a *ask) cancelStarted(byRouter bool) {
	_ = a.st.Send(&wire.Cancel{ByRouter: byRouter}) // if the stream is broken, relay receives the error
	time.AfterFunc(cancelTimeout, a.st.Abort)
}

func (a *ask) interrupted(result *Result, detail string) {
	result.End, result.Detail = EndInterrupted, detail
}

// count adds a chunk's tokens to the entry's own count.
func (r *Result) count(c *wire.Chunk) {
	r.Tokens += c.Tokens
	if usage, ok := upstream.StreamUsage(c.Data); ok {
		r.Usage = usage
	}
}

// finish applies the sidecar's final message. A response with fewer chunks than it states is interrupted.
func (r *Result) finish(done *wire.Done, seq uint64) {
	r.Done = *done
	switch {
	case done.Outcome == wire.DoneCompleted && done.Chunks == seq:
		r.End = EndCompleted
	case done.Outcome == wire.DoneNotRun:
		r.End = EndNotRun
	case done.Outcome == wire.DoneUnknown:
		r.End = EndUnknown
	default:
		r.End = EndInterrupted
	}
	if r.Detail == "" {
		r.Detail = done.Detail
	}
}
