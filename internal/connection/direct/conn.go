package direct

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Buffer sizes of one connection, in bytes. Stream events are much smaller.
const (
	readBufferBytes  = 4096
	writeBufferBytes = 4096
)

// idleTimeoutShare is the share of the idle timeout announced by the upstream during which a connection is reused.
const idleTimeoutShare = 0.7

// defaultMaxIdleTime is how long an idle connection is reused when the upstream announces no idle timeout.
const defaultMaxIdleTime = 5 * time.Second

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// reusableUntil is the time until which the connection may be reused.
	reusableUntil time.Time
	// idleSince is the end of the last response.
	idleSince time.Time
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBufferBytes), writer: bufio.NewWriterSize(c, writeBufferBytes)}
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
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && seconds >= 0 {
			return time.Duration(seconds * idleTimeoutShare * float64(time.Second))
		}
	}
	return defaultMaxIdleTime
}

// errUnmatched reports a response that belongs to another request.
var errUnmatched = errors.New("response belongs to another request")

// discard reads and drops the body of a response that belongs to another request.
func discard(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnmatched // the body ends with the connection, so no other response can follow
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}
