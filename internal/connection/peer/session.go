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

// Heartbeat times, as the design states them.
const (
	busyHeartbeat = time.Second
	idleHeartbeat = 5 * time.Second
	// busySilence is the longest silence of a peer while work is in flight.
	busySilence = 2500 * time.Millisecond
	// dialerSilence ends the session at the dialler. It is later than busySilence, at which the peer is suspect only,
	// so that a short stall of a sidecar cuts no stream.
	dialerSilence = 4 * time.Second
	// idleSilence admits one lost heartbeat.
	idleSilence   = 12500 * time.Millisecond
	silenceCheck  = 250 * time.Millisecond
	idleCheck     = time.Second
	controlQueue  = 16
	helloDeadline = 3 * time.Second
)

// Application error codes of a closed session.
const (
	codeShutdown quic.ApplicationErrorCode = iota
	codeProtocol
	codeSilent
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

	outbox    chan wire.Message
	wake      chan struct{}
	watch     chan struct{}
	busy      atomic.Int32
	busySince atomic.Int64
	lastHeard atomic.Int64
	// lastData is when the last message of a request stream arrived.
	lastData atomic.Int64
	// packets is the number of QUIC packets received at the last check of silence; only watchSilence uses it.
	packets uint64
	// nextBeat and nextCheck are when the timers of the two loops fire, so that begin wakes them only if that is too late.
	nextBeat  atomic.Int64
	nextCheck atomic.Int64
	suspect   atomic.Bool
}

func newSession(n *Node, conn *quic.Conn, control *quic.Stream, dialled bool) *Session {
	s := &Session{
		node: n, conn: conn, control: control, reader: wire.NewReader(control), dialled: dialled,
		outbox: make(chan wire.Message, controlQueue), wake: make(chan struct{}, 1),
		watch: make(chan struct{}, 1),
	}
	s.heard()
	return s
}

// acceptHello answers the dialler's Hello on its control stream.
func (n *Node) acceptHello(conn *quic.Conn) (*Session, error) {
	ctx, cancel := context.WithTimeout(n.ctx, helloDeadline)
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

// dialHello opens the control stream and exchanges Hello.
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
	_ = s.control.SetReadDeadline(time.Now().Add(helloDeadline))
	m, err := s.reader.Read()
	if err != nil {
		return fmt.Errorf("read hello: %w", err)
	}
	_ = s.control.SetReadDeadline(time.Time{})
	hello, ok := m.(*wire.Hello)
	if !ok {
		return fmt.Errorf("first message has type %d, want hello", m.WireType())
	}
	proved, err := parseIdentity(s.conn.ConnectionState().TLS.PeerCertificates[0].Subject.CommonName)
	if err != nil {
		return err
	}
	return s.checkHello(hello, proved)
}

// checkHello compares the peer's first message with its certificate and with this version.
func (s *Session) checkHello(hello *wire.Hello, proved Identity) error {
	if hello.ProtocolVersion != wire.ProtocolVersion {
		return &VersionError{Remote: hello.ProtocolVersion}
	}
	stated := Identity{Role: hello.Role, Instance: hello.Instance}
	if stated != proved {
		return &IdentityError{Want: proved, Got: stated}
	}
	s.peer, s.hello = proved, hello
	return nil
}

// Peer is the other side's identity.
func (s *Session) Peer() Identity { return s.peer }

// Hello is the other side's first message.
func (s *Session) Hello() wire.Hello { return *s.hello }

// Suspect tells whether the peer has been silent for longer than allowed with work in flight.
func (s *Session) Suspect() bool { return s.suspect.Load() }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.conn.Context().Done() }

// run serves the session until it ends.
func (n *Node) run(s *Session) {
	if !n.add(s) {
		s.close(codeShutdown, "shutdown")
		return
	}
	defer n.remove(s)
	n.tableKnown(s.peer, s.hello.TableVersion)
	var wg sync.WaitGroup
	wg.Go(s.readControl)
	wg.Go(s.writeControl)
	wg.Go(s.watchSilence)
	wg.Go(s.acceptStreams)
	wg.Wait()
}

func (n *Node) tableKnown(from Identity, version uint64) {
	if n.opts.OnTable != nil && version > 0 {
		n.opts.OnTable(from, version)
	}
}

func (s *Session) close(code quic.ApplicationErrorCode, reason string) {
	_ = s.conn.CloseWithError(code, reason)
}

func (s *Session) heard() {
	s.lastHeard.Store(time.Now().UnixNano())
	if s.suspect.Load() && s.suspect.CompareAndSwap(true, false) {
		s.node.notify(s, StateUp)
	}
}

// post queues a control message; when the peer reads too slowly, it is dropped, as a later one replaces it.
func (s *Session) post(m wire.Message) {
	select {
	case s.outbox <- m:
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
		s.heard()
		s.onControl(m)
	}
}

func (s *Session) onControl(m wire.Message) {
	n := s.node
	switch m := m.(type) {
	case *wire.Heartbeat:
		n.tableKnown(s.peer, m.TableVersion)
		if !s.dialled {
			s.answerHeartbeat(m)
		}
	case *wire.Load:
		if n.opts.OnLoad != nil {
			n.opts.OnLoad(s.peer, m)
		}
	case *wire.TableAnnounce:
		n.tableKnown(s.peer, m.Version)
	}
}

// answerHeartbeat sends the load of a sidecar; an entry repeats the heartbeat with its own table version.
func (s *Session) answerHeartbeat(h *wire.Heartbeat) {
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
		case m = <-s.outbox:
		case <-s.wake:
			s.arm(timer, &s.nextBeat, max(0, busyHeartbeat-time.Since(last)))
			continue
		case <-timer.C:
			if wait := s.heartbeatWait(time.Now()); wait > 0 {
				s.arm(timer, &s.nextBeat, wait)
				continue
			}
			seq++
			last = time.Now()
			m = &wire.Heartbeat{Seq: seq, TableVersion: s.node.tableVersion()}
			s.arm(timer, &s.nextBeat, s.heartbeatInterval())
		}
		if err := wire.Write(s.control, m); err != nil {
			return
		}
	}
}

// heartbeatInterval varies the idle interval by a tenth, so that the sessions of a fleet do not beat in step.
func (s *Session) heartbeatInterval() time.Duration {
	if s.busy.Load() > 0 {
		return busyHeartbeat
	}
	return idleHeartbeat - time.Duration(rand.Int64N(int64(idleHeartbeat/10)))
}

// heartbeatWait returns how long the heartbeat of a busy session can wait. Data from the peer makes a heartbeat needless:
// it shows that the peer lives, and QUIC's acknowledgements of it show the same to the peer.
func (s *Session) heartbeatWait(now time.Time) time.Duration {
	if s.busy.Load() == 0 {
		return 0
	}
	return busyHeartbeat - time.Duration(now.UnixNano()-s.lastData.Load())
}

// watchSilence ends the session when the peer is silent for too long.
func (s *Session) watchSilence() {
	timer := time.NewTimer(idleCheck)
	defer timer.Stop()
	s.nextCheck.Store(time.Now().Add(idleCheck).UnixNano())
	for {
		select {
		case <-s.Done():
			return
		case <-s.watch:
		case <-timer.C:
		}
		if !s.checkSilence(time.Now()) {
			s.close(codeSilent, "no heartbeat")
			return
		}
		interval := idleCheck
		if s.busy.Load() > 0 {
			interval = silenceCheck
		}
		s.arm(timer, &s.nextCheck, interval)
	}
}

func (s *Session) arm(timer *time.Timer, next *atomic.Int64, wait time.Duration) {
	next.Store(time.Now().Add(wait).UnixNano())
	timer.Reset(wait)
}

func (s *Session) checkSilence(now time.Time) bool {
	if n := s.conn.ConnectionStats().PacketsReceived; n != s.packets {
		s.packets = n
		s.heard()
	}
	heard := s.lastHeard.Load()
	if s.busy.Load() == 0 {
		return now.UnixNano()-heard < int64(idleSilence)
	}
	silence := time.Duration(now.UnixNano() - max(heard, s.busySince.Load()))
	if !s.dialled {
		return silence < busySilence
	}
	if silence >= busySilence && s.suspect.CompareAndSwap(false, true) {
		s.node.notify(s, StateSuspect)
	}
	return silence < dialerSilence
}

func (s *Session) begin() {
	if s.busy.Add(1) == 1 {
		now := time.Now().UnixNano()
		s.busySince.Store(now)
		if s.dialled && s.nextBeat.Load()-now > int64(busyHeartbeat) {
			signal(s.wake)
		}
		if s.nextCheck.Load()-now > int64(silenceCheck) {
			signal(s.watch)
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *Session) end() { s.busy.Add(-1) }

// InFlight is the number of request streams of the session.
func (s *Session) InFlight() int { return int(s.busy.Load()) }

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

// serveStream reads the first message of a stream that the peer opened, and serves it.
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
		st.hold()
		s.node.opts.OnAsk(ctx, s.peer, st, m)
	default:
		st.Abort()
	}
}
