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
	// streamWindow is the flow control window of one stream, in bytes: what a slow reader can hold back.
	streamWindow = 64 << 10
	// maxStreams bounds the concurrent streams that a peer may open on one session.
	maxStreams = 4096
	// sessionWindow admits every stream's full window, so that stalled streams never block the others of a session.
	sessionWindow = streamWindow * maxStreams
	// idleTimeout is QUIC's own limit; the heartbeats detect silence earlier.
	idleTimeout      = 15 * time.Second
	handshakeTimeout = 3 * time.Second
)

// Options configure a Node. Callbacks are called concurrently and must not block.
type Options struct {
	// Credentials prove the identity that Hello states.
	Credentials *Credentials
	// Zone and Service are sent in Hello.
	Zone, Service string
	// TableVersion returns the highest table version known here; nil means 0.
	TableVersion func() uint64
	// Load answers heartbeats; nil on entries.
	Load func() *wire.Load
	// OnLoad receives the load reports of sidecars.
	OnLoad func(from Identity, load *wire.Load)
	// OnTable receives the table version that a peer knows.
	OnTable func(from Identity, version uint64)
	// OnState receives changes of a session's state.
	OnState func(of Identity, state State)
	// OnAsk serves one request stream; the stream ends when it returns. The context ends with the session.
	OnAsk func(ctx context.Context, from Identity, stream *Stream, ask *wire.Ask)
}

// State is what heartbeats say about a session.
type State uint8

// States of a session.
const (
	// StateDown means that no session exists.
	StateDown State = iota
	// StateUp means that the peer answers.
	StateUp
	// StateSuspect means that the peer has been silent for longer than allowed.
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

// Node is the end of all sessions of one process, on one UDP socket.
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
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: sessionWindow,
		MaxConnectionReceiveWindow:     sessionWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
	}
}

// Addr is the bound UDP address.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Handle registers the handler of a method. It is called before peers connect.
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

// Post sends a control message to one instance, if there is a session. It does not wait, and the message may be lost.
func (n *Node) Post(instance string, m wire.Message) {
	if s := n.Session(instance); s != nil {
		s.post(m)
	}
}

// Instances lists the instances of a role that have a session.
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

// Broadcast sends a control message on every session. A session that takes no message at once is skipped.
func (n *Node) Broadcast(m wire.Message) {
	for _, s := range n.all() {
		s.post(m)
	}
}

func (n *Node) all() []*Session {
	n.mu.RLock()
	defer n.mu.RUnlock()
	list := make([]*Session, 0, len(n.sessions))
	for _, s := range n.sessions {
		list = append(list, s)
	}
	return list
}

// Close ends all sessions and the listener.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	for _, s := range n.all() {
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

// serveConn runs an accepted session.
func (n *Node) serveConn(conn *quic.Conn) {
	s, err := n.acceptHello(conn)
	if err != nil {
		_ = conn.CloseWithError(codeProtocol, err.Error())
		return
	}
	n.run(s)
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

// add makes s the instance's session; an older one is closed, since the peer has evidently restarted.
func (n *Node) add(s *Session) bool {
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
	n.notify(s, StateUp)
	return true
}

func (n *Node) remove(s *Session) {
	n.mu.Lock()
	current := n.sessions[s.peer.Instance] == s
	if current {
		delete(n.sessions, s.peer.Instance)
	}
	n.mu.Unlock()
	if current {
		n.notify(s, StateDown)
	}
}

func (n *Node) notify(s *Session, state State) {
	if n.opts.OnState != nil {
		n.opts.OnState(s.peer, state)
	}
}
