package direct

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/memory"
)

// maxIdlePerReplica bounds the idle connections to one replica whose bound for all callers is not known.
const maxIdlePerReplica = 24

// idleShare is the share of a replica's connections that may be idle ones, the rest is for requests.
const idleShare = 0.5

// IdleBound returns how many idle connections one of several callers may keep to a replica that accepts maxConnections from all of
// them; 0 stands for an unknown number.
func IdleBound(maxConnections, callers int) int {
	if maxConnections <= 0 {
		return maxIdlePerReplica
	}
	return max(1, int(idleShare*float64(maxConnections)/float64(max(1, callers))))
}

// sweepInterval is the time between two scans for connections that have been idle for too long.
const sweepInterval = time.Second

// maxUnprobedIdleTime is the idle time up to which a connection is reused without a probe for a request that must not run twice.
const maxUnprobedIdleTime = 400 * time.Millisecond

// maxInlineBody is the largest request body that is written before the response is read, in bytes. The send buffer of a
// connection without an outstanding request holds several times as much, so that the write does not block. A larger body is
// written while the response is read, because the upstream may respond before it has read the body.
const maxInlineBody = 2 << 10

// maxUnmatched bounds the skipped responses to other requests while waiting for one response.
const maxUnmatched = 2

// Errors of Pool.Do, by what is known about the request.
var (
	// ErrNotSent reports that no connection was established, so that the upstream has not received anything.
	ErrNotSent = errors.New("request not sent")
	// ErrNoResponse reports that the request may have been sent, at least in part, and that no valid response to it arrived.
	ErrNoResponse = errors.New("no response from the upstream")
)

// Request is one request to one replica.
type Request struct {
	// Address is the replica's IP:PORT.
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked sends the body in chunks, as the caller did.
	Chunked bool
	// NonIdempotent marks a request that must not run twice. It is sent on a connection that has been idle for longer than
	// maxUnprobedIdleTime only if a probe shows that the replica still has it.
	NonIdempotent bool
	// MaxIdle is the number of idle connections to the address that the pool keeps, with that of the request; 0 stands for
	// maxIdlePerReplica. Excess ones are closed.
	MaxIdle int
	// Leaving reports whether the replica is known to leave; it may be nil.
	Leaving func() bool
	// Health is a request that shows whether the replica still runs; without it, a connection that it does not end is taken for that.
	Health *HealthCheck
	// Match reports whether a response belongs to this request. If it is nil, every response does.
	Match func(status int, h http.Header) Match
}

// Match is what a response's head says about the request that it belongs to.
type Match uint8

// Matches.
const (
	// MatchNamed means that the response names this request.
	MatchNamed Match = iota
	// MatchOther means that the response names another request, or can't belong to this one. It is skipped.
	MatchOther
	// MatchUnnamed means that the response names no request. It can be a late copy unless it is the first one of its connection.
	MatchUnnamed
	// MatchForeign means that the response is none of a replica. Nothing else is expected on its connection.
	MatchForeign
)

// Response is the response to a request. Its body is read with Read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Framing says what ends the body.
	Framing Framing

	body     io.ReadCloser
	exchange *exchange
	// complete is set once the body was read to its end.
	complete bool
	// connectionClose is set if the connection must not be reused after the response.
	connectionClose bool
}

// Framing is what ends the body of a response.
type Framing string

// Framings.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection"
)

func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0:
		return FramedByLength
	default:
		return FramedByConnection
	}
}

// KeepsConnection reports whether the head of a response says that its connection stays open, so that no body can end with it.
func (r *Response) KeepsConnection() bool {
	if r.exchange.conn.mayAnnounceClose {
		return false
	}
	for option := range strings.SplitSeq(strings.Join(r.Header.Values("Connection"), ","), ",") {
		if strings.EqualFold(strings.TrimSpace(option), "keep-alive") {
			return true
		}
	}
	return r.Header.Get("Keep-Alive") != ""
}

// Pool is a pool of connections to replicas. It is safe for concurrent use.
type Pool struct {
	// Memory is charged for the headers of responses; nil does not limit them. MaxConns is the number of connections that may be open;
	// 0 means no limit. Both must be set before the first request.
	Memory   *memory.Budget
	MaxConns int

	dialer *net.Dialer

	mu sync.Mutex
	// peers has an entry for each address with open connections and those that had some lately.
	peers  map[string]*peer
	closed bool

	counts counts
	// open is the number of connections that are open or being opened.
	open atomic.Int64

	// minProbeTime lengthens the probes in tests.
	minProbeTime time.Duration
}

// peer is what the pool knows about one address.
type peer struct {
	// idle has the idle connections, the last used one last.
	idle []*conn
	// open is the number of connections, also of those that carry a request.
	open int
	// lastClosed is why the latest one to be closed was, closedAt the time, and opened is set once one was open.
	lastClosed CloseReason
	closedAt   time.Time
	opened     bool
	// cutAt is when the connection of the latest response ended that was not complete by then.
	cutAt time.Time
}

// peerMemory is how long the pool remembers an address without connections, so that metrics can tell why the next one is opened.
const peerMemory = 2 * time.Minute

// NewPool returns a Pool without connections.
func NewPool() *Pool {
	return &Pool{dialer: Dialer(connectTimeout), peers: map[string]*peer{}}
}

// peer returns the entry of an address. p.mu must be locked.
func (p *Pool) peer(address string) *peer {
	known, ok := p.peers[address]
	if !ok {
		known = &peer{}
		p.peers[address] = known
	}
	return known
}

// close closes a connection and counts the reason.
func (p *Pool) close(c *conn, reason CloseReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c, reason, time.Now())
}

func (p *Pool) closeLocked(c *conn, reason CloseReason, now time.Time) {
	_ = c.Close()
	known := p.peer(c.address)
	known.open--
	known.lastClosed, known.closedAt = reason, now
	p.counts.closed[reason].Add(1)
}

// recordCut records that a connection has ended before its response was complete.
func (p *Pool) recordCut(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peer(address).cutAt = time.Now()
}

// hasCut reports whether a connection to the address has ended since the time, before its response was complete.
func (p *Pool) hasCut(address string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[address]
	return ok && known.cutAt.After(since)
}

// HasIdle reports whether there is an idle connection to the address. It is cheap enough for the choice of a replica.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[address]
	return ok && len(known.idle) > 0
}

// Do sends a request and returns its response once the headers were read. Errors wrap ErrNotSent or ErrNoResponse. When ctx
// ends, the connection is closed, so that the replica can cancel the request.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	c, err := p.get(ctx, request)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if len(request.Body) <= maxInlineBody {
		x.write(request)
	} else {
		go x.write(request)
	}
	response, err := x.read(ctx, request)
	if err != nil {
		x.fail(ctx, err)
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return response, nil
}

// Run closes connections that have been idle for too long. When ctx ends, it closes all idle connections and returns.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(time.Time{})
			return
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

// sweep closes the idle connections that must not be reused at now. With the zero time it closes all of them and the pool.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.closed || now.IsZero()
	for address, known := range p.peers {
		reusable := known.idle[:0]
		for _, c := range known.idle {
			switch {
			case now.IsZero():
				p.closeLocked(c, CloseStopped, time.Now())
			case now.After(c.reusableUntil):
				p.closeLocked(c, CloseExpired, now)
			default:
				reusable = append(reusable, c)
			}
		}
		clear(known.idle[len(reusable):])
		known.idle = reusable
		if known.open == 0 && now.Sub(known.closedAt) > peerMemory {
			delete(p.peers, address)
		}
	}
}

// get returns a healthy idle connection or a new one.
func (p *Pool) get(ctx context.Context, request *Request) (*conn, error) {
	c, err := p.find(ctx, request)
	if err != nil {
		return nil, err
	}
	c.setMaxIdle(request.MaxIdle)
	return c, nil
}

func (p *Pool) find(ctx context.Context, request *Request) (*conn, error) {
	for {
		c, reason := p.takeIdle(request.Address, time.Now())
		if c == nil {
			return p.dial(ctx, request.Address, reason)
		}
		if !c.healthy() {
			p.close(c, CloseDropped)
			continue
		}
		if !request.NonIdempotent || time.Since(c.idleSince) <= maxUnprobedIdleTime {
			return c, nil
		}
		switch c.probe(request, max(p.minProbeTime, c.probeTime())) {
		case alive:
			return c, nil
		case gone:
			p.close(c, CloseDropped)
			return p.dial(ctx, request.Address, OpenDropped) // the others may be gone as well, and each probe takes time
		default:
			p.close(c, CloseUnproven)
			return p.dial(ctx, request.Address, OpenUnproven)
		}
	}
}

// takeIdle removes the last used idle connection from the pool and returns it. If there is none, or it has expired and is closed, it
// returns nil and why a connection has to be opened.
func (p *Pool) takeIdle(address string, now time.Time) (*conn, OpenReason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.peer(address)
	last := len(known.idle) - 1
	switch {
	case last < 0 && known.open > 0:
		return nil, OpenInUse
	case last < 0 && !known.opened:
		return nil, OpenFirst
	case last < 0:
		return nil, nextOpen[known.lastClosed]
	}
	c := known.idle[last]
	known.idle[last], known.idle = nil, known.idle[:last]
	if now.After(c.reusableUntil) {
		p.closeLocked(c, CloseExpired, now)
		return nil, OpenExpired
	}
	return c, 0
}

// errTooManyConns reports that no other connection may be opened.
var errTooManyConns = errors.New("the connections to replicas have used up their descriptors")

func (p *Pool) dial(ctx context.Context, address string, reason OpenReason) (*conn, error) {
	if n := p.open.Add(1); p.MaxConns > 0 && n > int64(p.MaxConns) && !p.closeOldestIdle() {
		p.open.Add(-1)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, errTooManyConns)
	}
	began := time.Now()
	opened, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		p.open.Add(-1)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := newConn(opened, address, p)
	c.established = time.Since(began)
	p.counts.opened[reason].Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.peer(address)
	known.open++
	known.opened = true
	return c, nil
}

// closeOldestIdle closes the connection that has been idle for the longest time, and reports whether there was one.
func (p *Pool) closeOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *peer
	for _, known := range p.peers {
		// The last used one is the last.
		if len(known.idle) > 0 && (oldest == nil || known.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = known
		}
	}
	if oldest == nil {
		return false
	}
	c := oldest.idle[0]
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	p.closeLocked(c, CloseExcess, time.Now())
	return true
}

// put returns a connection to the pool for reuse within maxIdle, or closes it.
func (p *Pool) put(c *conn, maxIdle time.Duration) {
	now := time.Now()
	c.idleSince, c.reusableUntil = now, now.Add(maxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.peer(c.address)
	switch {
	case p.closed:
		p.closeLocked(c, CloseStopped, now)
	case maxIdle <= 0:
		p.closeLocked(c, CloseAsked, now)
	case len(known.idle) >= c.maxIdle:
		p.closeLocked(c, CloseExcess, now)
	default:
		known.idle = append(known.idle, c)
	}
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool *Pool
	conn *conn
	// written receives the result of writing the request, and keeps it.
	written chan error
	// witness is set while the response is one that ends with its connection.
	witness *witness
	// stop cancels the closing of the connection at the end of the context.
	stop func() bool
	done bool
}

func (x *exchange) write(request *Request) {
	ahead := x.conn.ahead
	x.conn.ahead = 0
	x.written <- writeRequest(x.conn.writer, request, ahead)
}

func (x *exchange) read(ctx context.Context, request *Request) (*Response, error) {
	for unmatched := 0; ; {
		//nolint:bodyclose // Response.Close closes the body; discard reads the body of a response to another request
		resp, err := x.conn.readHead(request.Method)
		if err != nil {
			return nil, err
		}
		match := MatchNamed
		if request.Match != nil {
			match = request.Match(resp.StatusCode, resp.Header)
		}
		switch {
		case match == MatchForeign:
			return nil, errForeign
		case match == MatchUnnamed && x.conn.responses > 0:
			return nil, errUnnamed
		}
		x.conn.responses++
		if match != MatchOther {
			framing := framingOf(resp)
			if framing == FramedByConnection {
				x.witness = newWitness(ctx, x.pool, x.conn, request)
			}
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: framing,
				body: resp.Body, exchange: x, connectionClose: resp.Close,
			}, nil
		}
		if unmatched++; unmatched > maxUnmatched {
			return nil, errUnmatched
		}
		if err := discard(resp); err != nil {
			return nil, err
		}
	}
}

// finish returns the connection to the pool if the response was read to its end, the request was written completely and no bytes
// follow the response, and closes it otherwise.
func (x *exchange) finish(r *Response) {
	if x.done {
		return
	}
	x.done = true
	open := x.stop()
	x.conn.source.charge.Release()
	switch {
	case !open:
		x.pool.close(x.conn, CloseCanceled)
	case !r.complete:
		x.pool.close(x.conn, CloseCut)
	case r.connectionClose:
		x.pool.close(x.conn, CloseAsked)
	case !x.writtenWhole():
		x.pool.close(x.conn, CloseUnwritten)
	case x.conn.reader.Buffered() > 0:
		x.pool.close(x.conn, CloseExtraBytes)
	default:
		x.pool.put(x.conn, maxIdleTime(r.Header))
	}
}

// maxWriteDelay is how long the goroutine that writes a request may need to report the end of its last write, after the
// response was read. It only has to be scheduled.
const maxWriteDelay = 30 * time.Millisecond

// writtenWhole reports whether the request was written completely. It is false if the upstream responded before it had read
// the whole request body.
func (x *exchange) writtenWhole() bool {
	var err error
	select {
	case err = <-x.written:
	default:
		timer := time.NewTimer(maxWriteDelay)
		defer timer.Stop()
		select {
		case err = <-x.written:
		case <-timer.C:
			return false
		}
	}
	x.written <- err // for the next call
	return err == nil
}

// fail closes the connection.
func (x *exchange) fail(ctx context.Context, err error) {
	x.done = true
	x.stop()
	x.conn.source.charge.Release()
	if ctx.Err() != nil {
		x.pool.close(x.conn, CloseCanceled)
		return
	}
	x.recordCut(err)
	x.pool.close(x.conn, CloseCut)
}

// ConnectionEnded reports whether a response was cut by the end of its connection, as opposed to one that is of no use.
func ConnectionEnded(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// recordCut records the error that ended a response before it was complete.
func (x *exchange) recordCut(err error) {
	if ConnectionEnded(err) {
		x.pool.recordCut(x.conn.address)
	}
}

// Errors of bodies that ended with their connections and may not be complete.
var (
	// errReplicaGone reports that the replica's other connections ended at the same time.
	errReplicaGone = errors.New("the connection ended because the replica is gone")
	// errNoWitness reports that there was no other connection to the replica.
	errNoWitness = errors.New("the connection ended, and nothing shows whether the replica is gone")
)

// errEndInRequest reports a body that ended with its connection before the request was written. A reset is reported to the write of the
// request, and the end of the body then looks like a regular one.
var errEndInRequest = errors.New("the connection ended before the request was written")

// Read reads the body. io.EOF means that the body is complete.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	x := r.exchange
	switch {
	case err == nil || r.complete:
		return n, err
	case !errors.Is(err, io.EOF):
		x.recordCut(err)
		return n, err
	case x.witness != nil && !x.writtenWhole():
		return n, errEndInRequest
	case x.witness != nil:
		if gone := x.checkEnd(); gone != nil {
			return n, gone
		}
	}
	r.complete = true
	return n, io.EOF
}

// checkEnd returns an error unless the replica has ended the body itself, which ended with its connection.
func (x *exchange) checkEnd() error {
	end, err := x.witness.processOutlives()
	x.pool.counts.bodies[end].Add(1)
	return err
}

// Complete reports whether Read has returned io.EOF.
func (r *Response) Complete() bool { return r.complete }

// Close returns the connection to the pool if the body was read to its end, and closes it otherwise.
func (r *Response) Close() {
	if r.exchange.witness != nil {
		r.exchange.witness.release()
	}
	if r.complete {
		_ = r.body.Close()
	} // otherwise closing the body would read it to its end, which an upstream in trouble may never send
	r.exchange.finish(r)
}

// writeRequest writes the request line, headers and body, without the bytes that were sent ahead. The target is written as the
// caller sent it.
func writeRequest(w *bufio.Writer, request *Request, ahead int) error {
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method[ahead:], request.Target, request.Host); err != nil {
		return err
	}
	switch {
	case request.Chunked:
		header.Set("Transfer-Encoding", "chunked")
	case len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch:
		header.Set("Content-Length", fmt.Sprint(len(request.Body)))
	}
	if err := header.Write(w); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if err := writeBody(w, request); err != nil {
		return err
	}
	return w.Flush()
}

func writeBody(w *bufio.Writer, request *Request) error {
	if !request.Chunked {
		_, err := w.Write(request.Body)
		return err
	}
	if len(request.Body) > 0 {
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(request.Body), request.Body); err != nil {
			return err
		}
	}
	_, err := w.WriteString("0\r\n\r\n")
	return err
}
