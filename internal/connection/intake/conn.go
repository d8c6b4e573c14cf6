package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/memory"
)

const (
	// tooLongResponse refuses a head that is too long. The connection is closed.
	tooLongResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// lingerTime and lingerBytes bound how much is still read after that, so that the caller receives the refusal instead of a reset.
	// net/http waits as long.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	set *Set
	// writes is increased before and after each write, so that it is odd during one.
	writes atomic.Uint32

	// The fields below are protected by set.mu.

	phase  Phase
	served bool
	// removed is set once the connection is not in the set any more. It is closed then, or about to be.
	removed bool
	number  uint64
	// since is the sweep at which the phase began.
	since uint64
	// lastRead is the sweep at which bytes last arrived.
	lastRead uint64
	// bytes and lines are those of the current head.
	bytes, lines int
	// charge is for the connection and its head, body for the request body.
	charge, body memory.Charge
	// deadline is when the caller of the request in service gives up.
	deadline time.Time
	// seenWrites is writes at the last sweep, and stalled the number of sweeps since it last changed.
	seenWrites uint32
	stalled    int
}

func (c *Conn) held() int64 { return c.charge.Taken() + c.body.Taken() }

func (c *Conn) standing() standing {
	return standing{phase: c.phase, served: c.served, charge: c.held(), age: c.set.sweeps - c.since, number: c.number}
}

func (c *Conn) enter(p Phase) { c.phase, c.since = p, c.set.sweeps }

// errClosed is what reads of a connection return that was closed for its limits. net/http sends no response to such an error.
func errClosed() error { return &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed} }

// Read implements net.Conn. It charges the bytes of a head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	victims, refusal, ok := c.onBytes(p[:n])
	closeAll(victims)
	if ok {
		return n, err
	}
	if refusal != "" {
		c.refuse(refusal)
	}
	return 0, errClosed()
}

// onBytes counts what has arrived, and reports whether the connection goes on. If not, refusal is the response to send.
func (c *Conn) onBytes(p []byte) (victims []*Conn, refusal string, ok bool) {
	s := c.set
	s.mu.Lock()
	defer s.mu.Unlock()
	c.lastRead = s.sweeps
	switch {
	case c.removed:
		return nil, "", false
	case c.phase == Waiting:
		c.enter(Head)
		c.bytes, c.lines = 0, 0
	case c.phase != Head:
		return nil, "", true
	}
	c.bytes += len(p)
	c.lines += bytes.Count(p, []byte("\n"))
	if c.bytes > s.options.Limits().HeadBytes {
		s.closed[HeadTooLong].Add(1)
		return nil, tooLongResponse, false
	}
	cost := connBytes + max(0, memory.HeadCost(c.bytes, c.lines)-ordinaryHeadBytes)
	victims, ok = s.makeRoom(c, cost, func() bool { return s.grow(c, cost) })
	if !ok {
		s.remove(c)
		s.closed[NoMemory].Add(1)
	}
	return victims, "", ok
}

// refuse sends a response to a head that is not read any more, and reads what the caller is still sending.
func (c *Conn) refuse(response string) {
	if c.SetDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, response); err != nil {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyBuffer(io.Discard, io.LimitReader(struct{ io.Reader }{c.Conn}, lingerBytes), make([]byte, 512)) // the refusal was sent
}

// CloseWrite closes the sending side, as net/http does with a connection whose caller may still send.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(1)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.set.mu.Lock()
	c.set.remove(c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}

// onState follows the states of net/http: a connection is active once a head has been read, and idle after a response.
func (c *Conn) onState(state http.ConnState) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	switch {
	case c.removed:
	case state == http.StateActive:
		c.enter(Body)
	case state == http.StateIdle:
		c.served = c.served || c.phase == Serving
		c.enter(Waiting)
		c.set.charged.Add(connBytes - c.charge.Taken())
		c.charge.Shrink(connBytes)
	}
}

// Long bodies that arrive at the same time use up the memory together before any of them is whole. The one of which most has arrived waits
// for the others to be refused, for maxBodyWait at most; it looks for memory every bodyWaitStep.
const (
	maxBodyWait  = 250 * time.Millisecond
	bodyWaitStep = 2 * time.Millisecond
)

// GrowBody charges a request body of n bytes, and reports false if there is not enough memory. Connections of a lower rank are
// closed for it.
func (c *Conn) GrowBody(n int64) bool {
	for began := time.Now(); ; time.Sleep(bodyWaitStep) {
		ok, waits := c.tryGrowBody(n)
		switch {
		case ok:
			return true
		case !waits || time.Since(began) >= maxBodyWait:
			c.set.options.Budget.CountRefused()
			return false
		}
	}
}

// tryGrowBody is GrowBody without waiting. It returns whether the body may wait for memory.
func (c *Conn) tryGrowBody(n int64) (ok, waits bool) {
	c.set.mu.Lock()
	victims, ok := c.set.makeRoom(c, n, func() bool { return c.removed || c.body.TryGrow(n) })
	ok, waits = ok && !c.removed, n > memory.ShortBytes && !c.removed && c.set.hasMostOfBodies(c)
	c.set.mu.Unlock()
	closeAll(victims)
	return ok, waits
}

// ReleaseBody returns the memory of the request body.
func (c *Conn) ReleaseBody() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.body.Release()
}

// Serve marks the connection as one whose request is served, which its caller waits for until the deadline. It reports false if the
// connection was closed; the request must not be forwarded then.
func (c *Conn) Serve(deadline time.Time) bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.removed {
		return false
	}
	c.enter(Serving)
	c.deadline, c.stalled = deadline, 0
	return true
}

// expired reports whether the connection has to be closed at a sweep, and why.
func (c *Conn) expired(limits Limits, now time.Time) (Reason, bool) {
	age := time.Duration(c.set.sweeps-c.since) * sweepInterval
	switch c.phase {
	case Waiting:
		return Idle, age > limits.IdleTime
	case Head:
		return HeadTooSlow, age > limits.HeadTime
	case Body:
		return BodyStalled, time.Duration(c.set.sweeps-max(c.since, c.lastRead))*sweepInterval > limits.IdleTime
	case Serving:
		if writes := c.writes.Load(); writes != c.seenWrites || writes%2 == 0 {
			c.seenWrites, c.stalled = writes, 0
			return 0, false
		}
		c.stalled++
		return Unread, c.stalled >= stalledSweeps && now.After(c.deadline)
	default:
		return 0, false
	}
}
