package attempt

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/upstream"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// drainTime is how long a cancelled attempt's final counts are waited for.
const drainTime = time.Second

// relay carries the answer of a started ask to the sink.
func (a *ask) relay(ctx context.Context, sink Sink, result *Result) {
	defer a.end()
	stop := context.AfterFunc(ctx, func() { a.cancelStarted(errors.Is(ctx.Err(), context.DeadlineExceeded)) })
	defer stop()
	var seq uint64
	discard := false
	for {
		m, err := a.st.Recv()
		if err != nil {
			a.cut(result, "session lost: "+err.Error())
			return
		}
		switch m := m.(type) {
		case *wire.Head:
			err = sink.Head(m)
		case *wire.Chunk:
			if seq++; m.Seq != seq {
				a.cut(result, fmt.Sprintf("chunk %d arrived in place of %d", m.Seq, seq))
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
			// The caller has gone; the remaining messages are read for the sidecar's final counts only.
			discard = true
			result.Detail = err.Error()
			a.cancelStarted(false)
		}
	}
}

// cancelStarted asks the sidecar to stop, and resets the stream if it does not confirm in time.
func (a *ask) cancelStarted(router bool) {
	_ = a.st.Send(&wire.Cancel{Router: router}) // on a broken stream the relay sees the error
	time.AfterFunc(drainTime, a.st.Abort)
}

func (a *ask) cut(result *Result, detail string) {
	result.End, result.Detail = EndInterrupted, detail
}

// count keeps the entry's own count of tokens.
func (r *Result) count(c *wire.Chunk) {
	r.Tokens += c.Tokens
	if usage, ok := upstream.StreamUsage(c.Data); ok {
		r.Usage = usage
	}
}

// finish applies the sidecar's statement. An answer with fewer chunks than it names is cut.
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
