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

// Sizes of the buffers of one connection, in bytes. Events of a stream are far smaller.
const (
	readBuffer  = 4096
	writeBuffer = 4096
)

// idleShare is the share of the upstream's announced idle timeout for which a connection is reused.
const idleShare = 0.7

// defaultIdle is the time for which a connection is reused when the upstream announces no timeout.
const defaultIdle = 5 * time.Second

// conn is one connection. It serves one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// reusable is the time until which the connection may be used again.
	reusable time.Time
	// idleSince is the end of the last answer.
	idleSince time.Time
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBuffer), writer: bufio.NewWriterSize(c, writeBuffer)}
}

// quiet reports whether an idle connection is still open and holds no bytes that belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// keepFor reads from the answer's headers for how long the connection may be reused.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && s >= 0 {
			return time.Duration(s * idleShare * float64(time.Second))
		}
	}
	return defaultIdle
}

// errForeign reports answers that belong to another request.
var errForeign = errors.New("answer belongs to another request")

// discard reads the rest of an answer that belongs to no request.
func discard(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errForeign // it ends with the connection, so nothing can follow
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}
