package direct

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxIdle bounds the idle connections to one replica; more are closed when they become idle.
const maxIdle = 24

// sweepInterval is the time between two searches for connections that have been idle for too long.
const sweepInterval = time.Second

// strictIdle is the idle time up to which a connection carries a request that must not run twice. Upstreams may drop idle
// connections without notice, and a request that is sent on such a connection is lost.
const strictIdle = 400 * time.Millisecond

// maxForeign bounds the answers on one connection that belong to other requests.
const maxForeign = 2

// Errors that state what is known about a request.
var (
	// ErrNotSent reports that no connection was made, so that the upstream has not received anything.
	ErrNotSent = errors.New("request not sent")
	// ErrNoAnswer reports that the request was sent, at least in part, and no answer to it arrived.
	ErrNoAnswer = errors.New("no answer from the upstream")
)

// Call is one request to one replica.
type Call struct {
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
	// Strict forbids connections that have been idle for long, for requests that must not run twice.
	Strict bool
	// Mine reports whether an answer's headers name this request. Answers to other requests are skipped.
	Mine func(status int, h http.Header) bool
}

// Answer is the head of an answer with its body. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body, or -1 when it is not known.
	Length int64

	body    io.ReadCloser
	exch    *exchange
	atEnd   bool
	invalid bool
}

// Pool keeps connections to replicas. It is safe for concurrent use.
type Pool struct {
	dialer *net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool

	opened atomic.Int64
}

// NewPool returns a Pool without connections.
func NewPool() *Pool {
	return &Pool{dialer: Dialer(connectTimeout), idle: map[string][]*conn{}}
}

// Opened returns the number of connections that were opened since the start.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Do sends the call and returns the head of its answer. Errors wrap ErrNotSent or ErrNoAnswer. When ctx ends, the
// connection is closed, so that the replica can stop.
func (p *Pool) Do(ctx context.Context, call *Call) (*Answer, error) {
	c, err := p.get(ctx, call)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	go x.write(call)
	answer, err := x.read(call)
	if err != nil {
		x.fail()
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return answer, nil
}

// Run closes connections that have been idle for too long, until ctx ends, and then all idle ones.
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

// sweep closes what may not be reused at now; the zero time stands for all.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.closed || now.IsZero()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.IsZero() || now.After(c.reusable) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func (p *Pool) get(ctx context.Context, call *Call) (*conn, error) {
	for {
		c := p.take(call, time.Now())
		if c == nil {
			return p.dial(ctx, call.Address)
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
}

// take returns the connection that was used last, or nil.
func (p *Pool) take(call *Call, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[call.Address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if call.Strict && now.Sub(c.idleSince) > strictIdle {
		return nil
	}
	p.idle[call.Address] = list[:len(list)-1]
	if now.After(c.reusable) {
		_ = c.Close()
		return nil
	}
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	c, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.opened.Add(1)
	return newConn(c, address), nil
}

func (p *Pool) put(c *conn, keep time.Duration) {
	now := time.Now()
	c.idleSince, c.reusable = now, now.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || keep <= 0 || len(p.idle[c.address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	written chan error
	stop    func() bool
	done    bool
}

func (x *exchange) write(call *Call) {
	x.written <- writeRequest(x.conn.writer, call)
}

func (x *exchange) read(call *Call) (*Answer, error) {
	for foreign := 0; ; {
		//nolint:bodyclose // Answer.Close closes the body, and discard reads what belongs to nobody
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: call.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			continue // an interim answer
		}
		if call.Mine == nil || call.Mine(resp.StatusCode, resp.Header) {
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
				body: resp.Body, exch: x, invalid: resp.Close,
			}, nil
		}
		if foreign++; foreign > maxForeign {
			return nil, errForeign
		}
		if err := discard(resp); err != nil {
			return nil, err
		}
	}
}

// finish gives the connection back when the request was written and the answer ended where it should.
func (x *exchange) finish(reusable bool, keep time.Duration) {
	if x.done {
		return
	}
	x.done = true
	open := x.stop()
	select {
	case err := <-x.written:
		reusable = reusable && err == nil
	default:
		reusable = false // the upstream answered before it had read the body
	}
	if !reusable || !open || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.conn, keep)
}

func (x *exchange) fail() {
	x.done = true
	x.stop()
	_ = x.conn.Close()
}

// Read reads the body. io.EOF means that the body is complete.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	a.atEnd = a.atEnd || errors.Is(err, io.EOF)
	return n, err
}

// Close gives the connection back if the body was read to its end, and closes it otherwise.
func (a *Answer) Close() {
	_ = a.body.Close()
	a.exch.finish(a.atEnd && !a.invalid, keepFor(a.Header))
}

// writeRequest writes a request head and body. The target is written as the caller sent it.
func writeRequest(w *bufio.Writer, call *Call) error {
	head := call.Header.Clone()
	if head == nil {
		head = http.Header{}
	}
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host); err != nil {
		return err
	}
	switch {
	case call.Chunked:
		head.Set("Transfer-Encoding", "chunked")
	case len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch:
		head.Set("Content-Length", fmt.Sprint(len(call.Body)))
	}
	if err := head.Write(w); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if err := writeBody(w, call); err != nil {
		return err
	}
	return w.Flush()
}

func writeBody(w *bufio.Writer, call *Call) error {
	if !call.Chunked {
		_, err := w.Write(call.Body)
		return err
	}
	if len(call.Body) > 0 {
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(call.Body), call.Body); err != nil {
			return err
		}
	}
	_, err := w.WriteString("0\r\n\r\n")
	return err
}
