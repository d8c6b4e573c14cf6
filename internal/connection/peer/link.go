package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// Exponential backoff between dials. Each wait is random, between half of the current backoff and all of it.
const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 5 * time.Second
)

// Link maintains a session to one instance and redials when the session ends.
type Link struct {
	node    *Node
	peer    Identity
	address string
	cancel  context.CancelFunc
	session atomic.Pointer[Session]
	lastErr atomic.Pointer[error]
}

// Connect maintains a session to the instance at the address until Disconnect or Close.
// An existing link to the same instance and address is returned unchanged; a link to another address is replaced.
func (n *Node) Connect(to Identity, address string) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.links[to.Instance]; old != nil {
		if old.address == address && old.peer == to {
			return old
		}
		old.stop()
	}
	ctx, cancel := context.WithCancel(n.ctx)
	l := &Link{node: n, peer: to, address: address, cancel: cancel}
	n.links[to.Instance] = l
	if !n.closed {
		n.wg.Go(func() { l.run(ctx) })
	}
	return l
}

// Disconnect closes the link to an instance and its session.
func (n *Node) Disconnect(instance string) {
	n.mu.Lock()
	l := n.links[instance]
	delete(n.links, instance)
	n.mu.Unlock()
	if l != nil {
		l.stop()
	}
}

// Session returns the current session, or nil.
func (l *Link) Session() *Session { return l.session.Load() }

// Err returns the error of the last dial, or nil if it succeeded.
func (l *Link) Err() error {
	if err := l.lastErr.Load(); err != nil {
		return *err
	}
	return nil
}

func (l *Link) stop() {
	l.cancel()
	if s := l.session.Load(); s != nil {
		go s.close(codeShutdown, "disconnected")
	}
}

func (l *Link) run(ctx context.Context) {
	backoff := minDialBackoff
	for ctx.Err() == nil {
		s, err := l.dial(ctx)
		if err == nil {
			backoff = minDialBackoff
			l.lastErr.Store(nil)
			l.session.Store(s)
			if ctx.Err() != nil {
				s.close(codeShutdown, "disconnected")
			}
			l.node.runSession(s)
			l.session.Store(nil)
		} else {
			l.lastErr.Store(&err)
		}
		wait := backoff/2 + time.Duration(rand.Int64N(int64(backoff/2)))
		backoff = min(2*backoff, maxDialBackoff)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (l *Link) dial(ctx context.Context) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	udp, err := net.ResolveUDPAddr("udp", l.address)
	if err != nil {
		return nil, err
	}
	conn, err := l.node.transport.Dial(ctx, udp, l.node.opts.Credentials.clientTLS(l.peer), quicConfig())
	if err != nil {
		return nil, err
	}
	s, err := l.node.dialHello(ctx, conn)
	if err != nil {
		_ = conn.CloseWithError(codeProtocol, err.Error())
		return nil, err
	}
	return s, nil
}
