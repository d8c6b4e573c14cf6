package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

const (
	// streamWindowBytes is the flow control window of one stream; it bounds the data buffered for a slow reader.
	streamWindowBytes = 64 << 10
	// maxStreams limits the concurrent streams that a peer may open on one session.
	maxStreams = 4096
	// sessionWindowBytes is the sum of all stream windows, so that stalled streams never block other streams of the session.
	sessionWindowBytes = streamWindowBytes * maxStreams
	// quicIdleTimeout is the idle timeout of the QUIC connection; heartbeats detect an unresponsive peer earlier.
	quicIdleTimeout  = 15 * time.Second
	handshakeTimeout = 3 * time.Second
)

// Options configures a Node. Callbacks are called concurrently and must not block.
type Options struct {
	// Credentials prove the identity that is sent in Hello.
	Credentials *Credentials
	// Zone and Service are sent in Hello.
	Zone, Service string
	// TableVersion returns the highest table version known to this process; nil means 0.
	TableVersion func() uint64
	// Load returns the load report that is sent in reply to a heartbeat; nil on entries.
	Load func() *wire.Load
	// OnLoad receives the load reports of sidecars.
	OnLoad func(from Identity, load *wire.Load)
	// OnTableVersion receives the highest table version known to a peer.
	OnTableVersion func(from Identity, version uint64)
	// OnState receives the state changes of sessions.
	OnState func(of Identity, state State)
	// OnAsk serves one request stream; the stream is closed when OnAsk returns. The context is cancelled when the session ends.
	OnAsk func(ctx context.Context, from Identity, stream *Stream, ask *wire.Ask)
}

// State is the state of a session, as detected by heartbeats.
type State uint8

// States of a session.
const (
	// StateDown means that no session exists.
	StateDown State = iota
	// StateUp means that the peer responds.
	StateUp
	// StateSuspect means that nothing was received from the peer for busyTimeout while requests were in flight. It occurs
	// only on the dialling side; the accepting side closes the session instead.
	StateSuspect
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case StateUp:
		return "up"
	case StateSuspect:
		return "suspect"
	default:
		return "down"
	}
}

// Node is the local endpoint of all sessions of one process, on one UDP socket.
type Node struct {
	opts      Options
	self      Identity
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu       sync.RWMutex
	sessions map[string]*Session
	links    map[string]*Link
	handlers map[string]CallHandler
	closed   bool
}

// Listen binds the UDP address and serves sessions until Close.
func Listen(address string, opts Options) (*Node, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("peer address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		opts: opts, self: opts.Credentials.Identity, ctx: ctx, cancel: cancel,
		transport: &quic.Transport{Conn: conn},
		sessions:  map[string]*Session{}, links: map[string]*Link{}, handlers: map[string]CallHandler{},
	}
	n.listener, err = n.transport.Listen(opts.Credentials.serverTLS(), quicConfig())
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	n.wg.Go(n.acceptSessions)
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 quicIdleTimeout,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         streamWindowBytes,
		InitialConnectionReceiveWindow: sessionWindowBytes,
		MaxConnectionReceiveWindow:     sessionWindowBytes,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
	}
}

// Addr returns the bound UDP address.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Handle registers the handler of a method. It must be called before peers connect.
func (n *Node) Handle(method string, h CallHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

func (n *Node) handler(method string) CallHandler {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.handlers[method]
}

// Session returns the current session to an instance, or nil.
func (n *Node) Session(instance string) *Session {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.sessions[instance]
}

// Post queues a control message for one instance if there is a session. It does not block, and the message may be lost.
func (n *Node) Post(instance string, m wire.Message) {
	if s := n.Session(instance); s != nil {
		s.post(m)
	}
}

// Instances returns the names of the instances of a role that have a session.
func (n *Node) Instances(role wire.Role) []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var names []string
	for name, s := range n.sessions {
		if s.peer.Role == role {
			names = append(names, name)
		}
	}
	return names
}

// Broadcast queues a control message on every session. A session whose send queue is full is skipped.
func (n *Node) Broadcast(m wire.Message) {
	for _, s := range n.allSessions() {
		s.post(m)
	}
}

func (n *Node) allSessions() []*Session {
	n.mu.RLock()
	defer n.mu.RUnlock()
	list := make([]*Session, 0, len(n.sessions))
	for _, s := range n.sessions {
		list = append(list, s)
	}
	return list
}

// Close closes all sessions and the listener.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	for _, s := range n.allSessions() {
		s.close(codeShutdown, "shutdown")
	}
	_ = n.listener.Close()
	err := n.transport.Close()
	if cerr := n.transport.Conn.Close(); err == nil {
		err = cerr
	}
	n.wg.Wait()
	return err
}

func (n *Node) acceptSessions() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.wg.Go(func() { n.serveConn(conn) })
	}
}

// serveConn performs the handshake on an accepted connection and serves its session.
func (n *Node) serveConn(conn *quic.Conn) {
	s, err := n.acceptHello(conn)
	if err != nil {
		_ = conn.CloseWithError(codeProtocol, err.Error())
		return
	}
	n.runSession(s)
}

func (n *Node) hello() *wire.Hello {
	return &wire.Hello{
		ProtocolVersion: wire.ProtocolVersion, Role: n.self.Role, Instance: n.self.Instance,
		Zone: n.opts.Zone, Service: n.opts.Service, TableVersion: n.tableVersion(),
	}
}

func (n *Node) tableVersion() uint64 {
	if n.opts.TableVersion == nil {
		return 0
	}
	return n.opts.TableVersion()
}

// addSession makes s the session of its instance and closes an existing one, since a new session means that the peer has
// restarted. It returns false if the node is closed.
func (n *Node) addSession(s *Session) bool {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return false
	}
	old := n.sessions[s.peer.Instance]
	n.sessions[s.peer.Instance] = s
	n.mu.Unlock()
	if old != nil {
		old.close(codeReplaced, "replaced by a newer session")
	}
	n.notifyState(s, StateUp)
	return true
}

func (n *Node) removeSession(s *Session) {
	n.mu.Lock()
	current := n.sessions[s.peer.Instance] == s
	if current {
		delete(n.sessions, s.peer.Instance)
	}
	n.mu.Unlock()
	if current {
		n.notifyState(s, StateDown)
	}
}

func (n *Node) notifyState(s *Session, state State) {
	if n.opts.OnState != nil {
		n.opts.OnState(s.peer, state)
	}
}
