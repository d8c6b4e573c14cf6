package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

// Intervals and timeouts of heartbeats, and limits of the control stream. A session is busy while it has requests in flight.
const (
	busyHeartbeatInterval = time.Second
	idleHeartbeatInterval = 5 * time.Second
	// busyTimeout is the longest time without a packet from the peer while requests are in flight. After it the accepting
	// side closes the session, and the dialling side marks the peer as suspect.
	busyTimeout = 2500 * time.Millisecond
	// busyDialerTimeout closes a busy session on the dialling side. It is longer than busyTimeout, after which the peer is
	// only suspect there, so that a short stall of a sidecar does not interrupt its streams.
	busyDialerTimeout = 4 * time.Second
	// idleSessionTimeout closes an idle session; it tolerates one lost heartbeat.
	idleSessionTimeout = 12500 * time.Millisecond
	busyCheckInterval  = 250 * time.Millisecond
	idleCheckInterval  = time.Second
	sendQueueLength    = 16
	helloTimeout       = 3 * time.Second
)

// QUIC application error codes with which a session is closed.
const (
	codeShutdown quic.ApplicationErrorCode = iota
	codeProtocol
	codeTimedOut
	codeReplaced
)

// Session is one QUIC connection to another process.
type Session struct {
	node    *Node
	conn    *quic.Conn
	control *quic.Stream
	reader  *wire.Reader
	peer    Identity
	hello   *wire.Hello
	dialled bool

	sendQueue     chan wire.Message
	wakeHeartbeat chan struct{}
	wakeCheck     chan struct{}
	inFlight      atomic.Int32
	busySince     atomic.Int64
	lastReceived  atomic.Int64
	// lastData is the time at which the last message of a request or call stream was received.
	lastData atomic.Int64
	// packetsReceived is the number of QUIC packets received up to the last liveness check; only watchLiveness uses it.
	packetsReceived uint64
	// nextHeartbeat and nextCheck are the times at which the timers of writeControl and watchLiveness fire; beginRequest
	// wakes a loop only if its timer would fire too late.
	nextHeartbeat atomic.Int64
	nextCheck     atomic.Int64
	suspect       atomic.Bool
}

func newSession(n *Node, conn *quic.Conn, control *quic.Stream, dialled bool) *Session {
	s := &Session{
		node: n, conn: conn, control: control, reader: wire.NewReader(control), dialled: dialled,
		sendQueue: make(chan wire.Message, sendQueueLength), wakeHeartbeat: make(chan struct{}, 1),
		wakeCheck: make(chan struct{}, 1),
	}
	s.recordReceived()
	return s
}

// acceptHello accepts the control stream, reads the dialling side's Hello and replies with its own.
func (n *Node) acceptHello(conn *quic.Conn) (*Session, error) {
	ctx, cancel := context.WithTimeout(n.ctx, helloTimeout)
	defer cancel()
	control, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, fmt.Errorf("accept control stream: %w", err)
	}
	s := newSession(n, conn, control, false)
	if err := s.readHello(); err != nil {
		return nil, err
	}
	return s, wire.Write(control, n.hello())
}

// dialHello opens the control stream, sends Hello and reads the reply.
func (n *Node) dialHello(ctx context.Context, conn *quic.Conn) (*Session, error) {
	control, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open control stream: %w", err)
	}
	s := newSession(n, conn, control, true)
	if err := wire.Write(control, n.hello()); err != nil {
		return nil, err
	}
	return s, s.readHello()
}

func (s *Session) readHello() error {
	_ = s.control.SetReadDeadline(time.Now().Add(helloTimeout))
	m, err := s.reader.Read()
	if err != nil {
		return fmt.Errorf("read hello: %w", err)
	}
	_ = s.control.SetReadDeadline(time.Time{})
	hello, ok := m.(*wire.Hello)
	if !ok {
		return fmt.Errorf("first message has type %d, want hello", m.WireType())
	}
	certified, err := parseIdentity(s.conn.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName)
	if err != nil {
		return err
	}
	return s.checkHello(hello, certified)
}

// checkHello compares the peer's Hello with its certificate and with the local protocol version.
func (s *Session) checkHello(hello *wire.Hello, certified Identity) error {
	if hello.ProtocolVersion != wire.ProtocolVersion {
		return &VersionError{Remote: hello.ProtocolVersion}
	}
	claimed := Identity{Role: hello.Role, Instance: hello.Instance}
	if claimed != certified {
		return &IdentityError{Want: certified, Got: claimed}
	}
	s.peer, s.hello = certified, hello
	return nil
}

// Peer returns the identity of the peer.
func (s *Session) Peer() Identity { return s.peer }

// Hello returns the Hello received from the peer.
func (s *Session) Hello() wire.Hello { return *s.hello }

// Suspect reports whether nothing was received from the peer for busyTimeout while requests were in flight. It is set only
// on the dialling side; the accepting side closes the session instead.
func (s *Session) Suspect() bool { return s.suspect.Load() }

// Done returns a channel that is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.conn.Context().Done() }

// runSession serves the session until it ends.
func (n *Node) runSession(s *Session) {
	if !n.addSession(s) {
		s.close(codeShutdown, "shutdown")
		return
	}
	defer n.removeSession(s)
	n.reportTableVersion(s.peer, s.hello.TableVersion)
	var wg sync.WaitGroup
	wg.Go(s.readControl)
	wg.Go(s.writeControl)
	wg.Go(s.watchLiveness)
	wg.Go(s.acceptStreams)
	wg.Wait()
}

func (n *Node) reportTableVersion(from Identity, version uint64) {
	if n.opts.OnTableVersion != nil && version > 0 {
		n.opts.OnTableVersion(from, version)
	}
}

func (s *Session) close(code quic.ApplicationErrorCode, reason string) {
	_ = s.conn.CloseWithError(code, reason)
}

func (s *Session) recordReceived() {
	s.lastReceived.Store(time.Now().UnixNano())
	if s.suspect.Load() && s.suspect.CompareAndSwap(true, false) {
		s.node.notifyState(s, StateUp)
	}
}

// post queues a control message. If the queue is full, the message is dropped; a later one replaces it.
func (s *Session) post(m wire.Message) {
	select {
	case s.sendQueue <- m:
	default:
	}
}

func (s *Session) readControl() {
	for {
		m, err := s.reader.Read()
		var unknown *wire.UnknownTypeError
		if errors.As(err, &unknown) {
			continue
		}
		if err != nil {
			s.close(codeProtocol, "control stream: "+err.Error())
			return
		}
		s.recordReceived()
		s.onControl(m)
	}
}

func (s *Session) onControl(m wire.Message) {
	n := s.node
	switch m := m.(type) {
	case *wire.Heartbeat:
		n.reportTableVersion(s.peer, m.TableVersion)
		if !s.dialled {
			s.replyToHeartbeat(m)
		}
	case *wire.Load:
		if n.opts.OnLoad != nil {
			n.opts.OnLoad(s.peer, m)
		}
	case *wire.TableAnnounce:
		n.reportTableVersion(s.peer, m.Version)
	}
}

// replyToHeartbeat sends the load report on a sidecar; an entry returns the heartbeat with its own table version.
func (s *Session) replyToHeartbeat(h *wire.Heartbeat) {
	if s.node.opts.Load == nil {
		s.post(&wire.Heartbeat{Seq: h.Seq, TableVersion: s.node.tableVersion()})
		return
	}
	load := s.node.opts.Load()
	load.Seq = h.Seq
	s.post(load)
}

// writeControl sends queued control messages and, on the dialling side, heartbeats.
func (s *Session) writeControl() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	if !s.dialled {
		timer.Stop()
	}
	var seq uint64
	var last time.Time
	for {
		var m wire.Message
		select {
		case <-s.Done():
			return
		case m = <-s.sendQueue:
		case <-s.wakeHeartbeat:
			s.resetTimer(timer, &s.nextHeartbeat, max(0, busyHeartbeatInterval-time.Since(last)))
			continue
		case <-timer.C:
			if wait := s.heartbeatWait(time.Now()); wait > 0 {
				s.resetTimer(timer, &s.nextHeartbeat, wait)
				continue
			}
			seq++
			last = time.Now()
			m = &wire.Heartbeat{Seq: seq, TableVersion: s.node.tableVersion()}
			s.resetTimer(timer, &s.nextHeartbeat, s.heartbeatInterval())
		}
		if err := wire.Write(s.control, m); err != nil {
			return
		}
	}
}

// heartbeatInterval returns the interval to the next heartbeat. The idle interval is shortened by up to 10% at random,
// so that the sessions of an entry do not send their heartbeats at the same time.
func (s *Session) heartbeatInterval() time.Duration {
	if s.inFlight.Load() > 0 {
		return busyHeartbeatInterval
	}
	return idleHeartbeatInterval - time.Duration(rand.Int64N(int64(idleHeartbeatInterval/10)))
}

// heartbeatWait returns how long the heartbeat of a busy session can be postponed. Data from the peer replaces a heartbeat:
// it shows that the peer is alive, and its QUIC acknowledgements show the peer that this process is alive.
func (s *Session) heartbeatWait(now time.Time) time.Duration {
	if s.inFlight.Load() == 0 {
		return 0
	}
	return busyHeartbeatInterval - time.Duration(now.UnixNano()-s.lastData.Load())
}

// watchLiveness closes the session when nothing was received from the peer within the timeout.
func (s *Session) watchLiveness() {
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	s.nextCheck.Store(time.Now().Add(idleCheckInterval).UnixNano())
	for {
		select {
		case <-s.Done():
			return
		case <-s.wakeCheck:
		case <-timer.C:
		}
		if !s.checkLiveness(time.Now()) {
			s.close(codeTimedOut, "no heartbeat")
			return
		}
		interval := idleCheckInterval
		if s.inFlight.Load() > 0 {
			interval = busyCheckInterval
		}
		s.resetTimer(timer, &s.nextCheck, interval)
	}
}

func (s *Session) resetTimer(timer *time.Timer, next *atomic.Int64, wait time.Duration) {
	next.Store(time.Now().Add(wait).UnixNano())
	timer.Reset(wait)
}

// checkLiveness marks the peer as suspect if necessary and returns false once the session has timed out.
func (s *Session) checkLiveness(now time.Time) bool {
	if n := s.conn.ConnectionStats().PacketsReceived; n != s.packetsReceived {
		s.packetsReceived = n
		s.recordReceived()
	}
	lastReceived := s.lastReceived.Load()
	if s.inFlight.Load() == 0 {
		return now.UnixNano()-lastReceived < int64(idleSessionTimeout)
	}
	sinceReceived := time.Duration(now.UnixNano() - max(lastReceived, s.busySince.Load()))
	if !s.dialled {
		return sinceReceived < busyTimeout
	}
	if sinceReceived >= busyTimeout && s.suspect.CompareAndSwap(false, true) {
		s.node.notifyState(s, StateSuspect)
	}
	return sinceReceived < busyDialerTimeout
}

// beginRequest counts a request in flight. The first one wakes the loops whose timers are set to idle intervals.
func (s *Session) beginRequest() {
	if s.inFlight.Add(1) == 1 {
		now := time.Now().UnixNano()
		s.busySince.Store(now)
		if s.dialled && s.nextHeartbeat.Load()-now > int64(busyHeartbeatInterval) {
			signal(s.wakeHeartbeat)
		}
		if s.nextCheck.Load()-now > int64(busyCheckInterval) {
			signal(s.wakeCheck)
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *Session) endRequest() { s.inFlight.Add(-1) }

// InFlight returns the number of open request streams of the session.
func (s *Session) InFlight() int { return int(s.inFlight.Load()) }

func (s *Session) acceptStreams() {
	ctx := s.conn.Context()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		q, err := s.conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		wg.Go(func() { s.serveStream(ctx, q) })
	}
}

// serveStream reads the first message of a stream opened by the peer and passes it to its handler.
func (s *Session) serveStream(ctx context.Context, q *quic.Stream) {
	st := newStream(s, q)
	defer st.Close()
	m, err := st.Recv()
	if err != nil {
		st.Abort()
		return
	}
	switch m := m.(type) {
	case *wire.Call:
		s.serveCall(ctx, st, m)
	case *wire.Ask:
		if s.node.opts.OnAsk == nil {
			st.Abort()
			return
		}
		st.countInFlight()
		s.node.opts.OnAsk(ctx, s.peer, st, m)
	default:
		st.Abort()
	}
}
