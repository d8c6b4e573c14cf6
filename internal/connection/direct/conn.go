package direct

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/memory"
)

// Buffer sizes of one connection, in bytes. Stream events are much smaller.
const (
	readBufferBytes  = 4096
	writeBufferBytes = 4096
)

// A connection is reused until idleMargin before the idle timeout that the upstream announces, so that a request does not cross its end,
// and for at least minIdleShare of a short timeout.
const (
	idleMargin   = time.Second
	minIdleShare = 0.7
)

// maxKeepAliveSeconds bounds an announced idle timeout, in seconds. Connections of replicas that are rarely used need not stay longer.
const maxKeepAliveSeconds = 300

// defaultMaxIdleTime is how long an idle connection is reused when the upstream announces no idle timeout.
const defaultMaxIdleTime = 5 * time.Second

// Bounds of what one response may send outside of its body. An upstream in trouble may send bytes without end.
const (
	// maxHeadBytes bounds a status line with its headers, in bytes. It is four times the bound on callers' headers in the
	// published deployment specifications.
	maxHeadBytes = 64 << 10
	// maxStatus is the highest status that HTTP defines a class for.
	maxStatus = 599
	// maxInterim bounds the interim (1xx) responses before a response.
	maxInterim = 8
	// maxDiscardedBytes bounds the body of a response to another request that is read to reach the next response, in bytes.
	maxDiscardedBytes = 1 << 20
)

// Errors of responses that exceed these bounds or are not allowed.
var (
	errHeadTooLong    = errors.New("response header is too long")
	errHeadMemory     = errors.New("no memory is left for the response header")
	errTooManyInterim = errors.New("too many interim responses")
	errUpgraded       = errors.New("the upstream switched protocols")
	errInvalidStatus  = errors.New("the status of the response is not defined")
)

// headReader reads from a connection and fails when a response header exceeds its bound, or the memory of the process.
type headReader struct {
	io.Reader
	// limited is set while a header is read, of which remaining more bytes may arrive.
	limited   bool
	remaining int
	// lines is the number of lines of the header so far, and charge what it takes in memory.
	lines  int
	charge memory.Charge
}

// Read implements io.Reader.
func (r *headReader) Read(b []byte) (int, error) {
	if r.limited && r.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.Reader.Read(b)
	r.remaining -= n
	if r.limited {
		r.lines += bytes.Count(b[:n], []byte("\n"))
		if !r.charge.Grow(memory.HeadCost(maxHeadBytes-r.remaining, r.lines)) {
			return 0, errHeadMemory
		}
	}
	return n, err
}

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	address string
	// source is what reader reads from.
	source *headReader
	reader *bufio.Reader
	writer *bufio.Writer
	// reusableUntil is the time until which the connection may be reused.
	reusableUntil time.Time
	// idleSince is the end of the last response.
	idleSince time.Time
	// responses is the number of final responses that have arrived.
	responses int
	// mayAnnounceClose is set unless the latest head is known not to say that the connection closes.
	mayAnnounceClose bool
	// maxIdle is how many idle connections to the address may be kept with this one.
	maxIdle int
	// established is how long it took to open the connection, at least one round trip.
	established time.Duration
	// ahead is how many bytes of the next request were sent ahead (see probe).
	ahead int
	// pool counts the connection until it is closed.
	pool   *Pool
	closed atomic.Bool
}

func newConn(c net.Conn, address string, pool *Pool) *conn {
	source := &headReader{Reader: c, charge: pool.Memory.Charge()}
	return &conn{Conn: c, pool: pool, address: address, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), writer: bufio.NewWriterSize(c, writeBufferBytes)}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.pool.open.Add(-1)
	}
	return c.Conn.Close()
}

// setMaxIdle sets how many idle connections to the address may be kept with this one; 0 stands for maxIdlePerReplica.
func (c *conn) setMaxIdle(n int) {
	if c.maxIdle = n; n <= 0 {
		c.maxIdle = maxIdlePerReplica
	}
}

// readHead reads the status line and the headers of the next final response.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.source.limited, c.source.remaining, c.source.lines = true, maxHeadBytes, 0
	defer func() { c.source.limited = false }()
	for range maxInterim + 1 {
		if _, err := c.reader.Peek(1); errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
		c.mayAnnounceClose = c.nextMayAnnounceClose()
		//nolint:bodyclose // the caller closes the body
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus:
			return nil, errInvalidStatus
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUpgraded // no request asks for it, and no response can follow
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, errTooManyInterim
}

// nextMayAnnounceClose reports whether the next head has "Connection: close", which http.ReadResponse removes, or has not arrived whole.
func (c *conn) nextMayAnnounceClose() bool {
	arrived, err := c.reader.Peek(c.reader.Buffered())
	head, _, whole := bytes.Cut(arrived, []byte("\r\n\r\n"))
	if err != nil || !whole {
		return true
	}
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Connection")) && bytes.Contains(bytes.ToLower(value), []byte("close")) {
			return true
		}
	}
	return false
}

// healthy reports whether an idle connection is still open and has no unread bytes.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && healthy
}

// maxIdleTime returns how long the connection may stay idle before reuse, according to the response's Keep-Alive header.
func maxIdleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && seconds >= 0 {
			timeout := time.Duration(min(seconds, maxKeepAliveSeconds) * float64(time.Second))
			return max(timeout-idleMargin, time.Duration(minIdleShare*float64(timeout)))
		}
	}
	return defaultMaxIdleTime
}

// Errors of responses that are not shown to belong to the request.
var (
	errUnmatched = errors.New("response belongs to another request")
	errUnnamed   = errors.New("response names no request and is not the first one on its connection")
	errForeign   = errors.New("response names no request and does not say that it was not run")
)

// discard reads and drops the body of a response that belongs to another request.
func discard(resp *http.Response) error {
	if framingOf(resp) == FramedByConnection {
		return errUnmatched // no other response can follow
	}
	n, err := io.CopyN(io.Discard, resp.Body, maxDiscardedBytes)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil && n == maxDiscardedBytes:
		return errUnmatched
	default:
		return err
	}
}
