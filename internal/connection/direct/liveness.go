package direct

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A replica may have dropped an idle connection without notice, so that a request sent on it is lost. The first byte of a request
// shows whether it has: a peer that no longer has the connection resets it, one that has it acknowledges the byte, and no
// replica runs a request of which it has one byte.
const (
	// probeBytes is how much of a request goes ahead.
	probeBytes = 1
	// minProbeTime and maxProbeTime bound the wait for the peer. In a longer time a new connection is established.
	minProbeTime = 5 * time.Millisecond
	maxProbeTime = 25 * time.Millisecond
	// probeRoundTrips is the wait in times of the connection's first round trip: one may take longer than another.
	probeRoundTrips = 3
	// probeStep is the time between two looks at what is acknowledged.
	probeStep = time.Millisecond
	// maxAckAge is the age of the last acknowledgement up to which a connection without a reset counts as alive: systems delay the
	// acknowledgement of single bytes by up to 40 ms, but answer keep-alive probes at once, of which there is one a second.
	maxAckAge = keepAliveIdle + 500*time.Millisecond
)

// liveness is what is known of an idle connection.
type liveness uint8

const (
	// unproven means that the peer has not acknowledged anything in time.
	unproven liveness = iota
	// alive means that the peer has the connection.
	alive
	// gone means that the connection was closed or reset, or that bytes arrived that belong to no request.
	gone
)

// probeTime returns how long a probe waits for the peer.
func (c *conn) probeTime() time.Duration {
	return min(max(minProbeTime, probeRoundTrips*c.established), maxProbeTime)
}

// probe sends the first byte of a request and finds out within the time whether the peer still has the connection.
func (c *conn) probe(request *Request, wait time.Duration) liveness {
	if _, err := io.WriteString(c.Conn, request.Method[:probeBytes]); err != nil {
		return gone
	}
	c.ahead = probeBytes
	for end := time.Now().Add(wait); time.Now().Before(end); {
		if c.SetReadDeadline(time.Now().Add(probeStep)) != nil {
			return gone
		}
		_, err := c.reader.Peek(1)
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded), c.SetReadDeadline(time.Time{}) != nil:
			return gone
		case c.acknowledged():
			return alive
		}
	}
	if age, ok := c.ackAge(); ok && age <= maxAckAge {
		return alive
	}
	return unproven
}

// acknowledged reports whether the peer has acknowledged all bytes that were sent to it.
func (c *conn) acknowledged() bool {
	queued, err := 1, error(nil)
	ok := c.control(func(fd int) { queued, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return ok && err == nil && queued == 0
}

// ackAge returns the time since the last acknowledgement of any kind. It is not known where the system does not tell it.
func (c *conn) ackAge() (time.Duration, bool) {
	var info *unix.TCPInfo
	var err error
	ok := c.control(func(fd int) { info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) })
	if !ok || err != nil || info.Last_ack_recv == 0 {
		return 0, false
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond, true
}

// control calls f with the connection's descriptor, if it has one.
func (c *conn) control(f func(fd int)) bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
