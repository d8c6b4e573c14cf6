package peer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// codeAborted is the QUIC stream error code of a closed or aborted request or call.
const codeAborted quic.StreamErrorCode = 1

// Stream carries the messages of one request. Send is safe for concurrent use, Recv is not.
type Stream struct {
	session *Session
	q       *quic.Stream
	reader  *wire.Reader
	counted atomic.Bool

	mu  sync.Mutex
	buf []byte
}

func newStream(s *Session, q *quic.Stream) *Stream {
	return &Stream{session: s, q: q, reader: wire.NewReader(q)}
}

// Open opens a request stream, which counts as in flight until Close or Abort.
// It does not block: at the stream limit it fails with ErrUnreachable.
func (s *Session) Open() (*Stream, error) {
	q, err := s.conn.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("%w: open stream to %s: %w", ErrUnreachable, s.peer.Instance, err)
	}
	st := newStream(s, q)
	st.countInFlight()
	return st, nil
}

func (st *Stream) countInFlight() {
	st.counted.Store(true)
	st.session.beginRequest()
}

// Send writes the messages in order with a single write; it blocks while the peer's flow control window is full.
func (st *Stream) Send(messages ...wire.Message) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	frames := st.buf[:0]
	var err error
	for _, m := range messages {
		if frames, err = wire.Append(frames, m); err != nil {
			return err
		}
	}
	st.buf = frames
	if cap(frames) > streamWindowBytes {
		st.buf = nil // a large body is sent only once; do not retain its buffer for the rest of the stream
	}
	_, err = st.q.Write(frames)
	return err
}

// Recv waits for the next message. io.EOF means that the peer has closed its side of the stream.
func (st *Stream) Recv() (wire.Message, error) {
	m, err := st.reader.Read()
	if err == nil {
		st.session.recordReceived()
		st.session.lastData.Store(st.session.lastReceived.Load())
	}
	return m, err
}

// Close closes the sending side and stops reading.
func (st *Stream) Close() {
	_ = st.q.Close()
	st.q.CancelRead(codeAborted)
	st.uncountInFlight()
}

// Abort resets both directions; undelivered data is discarded.
func (st *Stream) Abort() {
	st.q.CancelWrite(codeAborted)
	st.q.CancelRead(codeAborted)
	st.uncountInFlight()
}

func (st *Stream) uncountInFlight() {
	if st.counted.CompareAndSwap(true, false) {
		st.session.endRequest()
	}
}

// Call implements Client.
func (n *Node) Call(ctx context.Context, instance, method string, payload []byte) ([]byte, error) {
	s := n.Session(instance)
	if s == nil {
		return nil, fmt.Errorf("%w: no session to %s", ErrUnreachable, instance)
	}
	q, err := s.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	st := newStream(s, q)
	stop := context.AfterFunc(ctx, st.Abort)
	defer stop()
	defer st.Close()
	reply, err := st.call(&wire.Call{Method: method, Payload: payload})
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fmt.Errorf("%w: call %s at %s: %w", ErrUnreachable, method, instance, err)
	}
	if reply.Error != "" {
		return nil, &RemoteError{Message: reply.Error}
	}
	return reply.Payload, nil
}

func (st *Stream) call(c *wire.Call) (*wire.Reply, error) {
	if err := st.Send(c); err != nil {
		return nil, err
	}
	m, err := st.Recv()
	if err != nil {
		return nil, err
	}
	reply, ok := m.(*wire.Reply)
	if !ok {
		return nil, fmt.Errorf("message type %d, want reply", m.WireType())
	}
	return reply, nil
}

// serveCall handles one Call. A result above the payload limit is replaced by an error reply.
func (s *Session) serveCall(ctx context.Context, st *Stream, c *wire.Call) {
	reply := &wire.Reply{}
	h := s.node.handler(c.Method)
	if h == nil {
		reply.Error = fmt.Sprintf("method %q does not exist", c.Method)
	} else if payload, err := h(ctx, s.peer, c.Payload); err != nil {
		reply.Error = err.Error()
	} else {
		reply.Payload = payload
	}
	if err := st.Send(reply); err != nil {
		_ = st.Send(&wire.Reply{Error: "answer failed: " + err.Error()})
	}
}
