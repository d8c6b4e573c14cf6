package direct

import (
	"errors"
	"os"
	"time"
)

const (
	// witnessMaxAge is the age at which a witness is replaced, so that the replica does not close it as idle. It is below the
	// shortest idle timeouts that servers use.
	witnessMaxAge = 2 * time.Second
	// exitDuration is how long the system may need to close all connections of a process that ends.
	exitDuration = 30 * time.Millisecond
)

// witness is an idle connection that shows whether the process which sends a response still runs when the response ends with its
// connection: the system closes the connections of a process that was killed in the same way as the process does after a complete
// response, but all of them.
type witness struct {
	pool *Pool
	// open returns a connection to the replica.
	open   func() (*conn, error)
	opened time.Time
	// conn receives the connection, or nil without one.
	conn chan *conn
}

// newWitness takes an idle connection or opens one in the background.
func newWitness(pool *Pool, open func() (*conn, error)) *witness {
	w := &witness{pool: pool, open: open, opened: time.Now(), conn: make(chan *conn, 1)}
	go func() {
		c, err := open()
		if err != nil {
			c = nil
		}
		w.conn <- c
	}()
	return w
}

// release returns the connection for reuse, as soon as there is one.
func (w *witness) release() {
	go func() {
		if c := <-w.conn; c != nil {
			w.pool.put(c, defaultMaxIdleTime)
		}
	}()
}

// processRuns reports whether the process still runs some time after it has closed another connection.
func (w *witness) processRuns() bool {
	c := <-w.conn
	w.conn <- nil
	if c == nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(exitDuration))
	_, err := c.reader.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.SetReadDeadline(time.Time{}) != nil {
		w.pool.close(c, CloseDropped)
		return err == nil // bytes that nobody asked for also come from a running process
	}
	w.pool.put(c, defaultMaxIdleTime)
	return true
}
