package direct

import (
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// exitDuration is how long the system may need to close all connections of a process that ends.
	exitDuration = 30 * time.Millisecond
	// minWitnessAge is the age up to which the end of a connection counts as a failed attempt to open one: a replica resets the connections
	// beyond its bound. From the second such attempt in a row, the next one follows after minWitnessDelay to maxWitnessDelay.
	minWitnessAge   = 50 * time.Millisecond
	minWitnessDelay = 10 * time.Millisecond
	maxWitnessDelay = 250 * time.Millisecond
)

// witnessState is what is known of the process that sends a body, from its other connections.
type witnessState uint8

const (
	// witnessOpening means that a connection is being opened.
	witnessOpening witnessState = iota
	// witnessOpen means that a connection is open.
	witnessOpen
	// witnessMissing means that no connection can be had at the moment, for another reason than the process.
	witnessMissing
	// witnessStopping means that the process accepts no connections and still had that of the body some time later: it is stopping, and
	// ends its last responses.
	witnessStopping
	// witnessGone means that the process has ended its other connections together with that of the body.
	witnessGone
)

// witness watches an idle connection to the process that sends a body which ends with its connection. The system closes the connections of
// a process that was killed in the same way as the process does after a complete response, but all of them at once. So the end of the body
// is a regular one if the idle connection outlives it, or if the process had ended its idle connections before and went on.
type witness struct {
	pool *Pool
	// open returns a connection to the replica.
	open func() (*conn, error)
	// body is the connection of the body.
	body *conn
	// leaving reports whether the replica is known to leave.
	leaving func() bool
	// released is closed when the witness is no longer needed.
	released chan struct{}
	release  func()

	mu    sync.Mutex
	state witnessState
	// changed is closed, and replaced, when state is set.
	changed chan struct{}
	// watched is the open connection.
	watched *conn
}

// newWitness takes an idle connection or opens one, and watches it until release is called, which returns it for reuse.
func newWitness(pool *Pool, body *conn, open func() (*conn, error), leaving func() bool) *witness {
	w := &witness{pool: pool, open: open, body: body, leaving: leaving, released: make(chan struct{}), changed: make(chan struct{})}
	w.release = sync.OnceFunc(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		close(w.released)
		if w.watched != nil {
			_ = w.watched.SetReadDeadline(time.Unix(1, 0)) // ends the read
		}
	})
	go w.run()
	return w
}

// isReleased reports whether the witness is no longer needed.
func (w *witness) isReleased() bool {
	select {
	case <-w.released:
		return true
	default:
		return false
	}
}

// pause waits and reports whether the witness is still needed.
func (w *witness) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.released:
		return false
	case <-timer.C:
		return true
	}
}

func (w *witness) set(state witnessState, watched *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state, w.watched = state, watched
	close(w.changed)
	w.changed = make(chan struct{})
}

// run keeps one connection open for as long as the process has that of the body. A replica may close an idle connection at any time.
func (w *witness) run() {
	watched, delay := false, time.Duration(0)
	for !w.isReleased() {
		w.set(witnessOpening, nil)
		opened := time.Now()
		c, err := w.open()
		if err == nil {
			watched = true
			w.set(witnessOpen, c)
			ended := w.waitForEnd(c)
			if !ended {
				w.pool.put(c, defaultMaxIdleTime)
				return
			}
			w.pool.close(c, CloseDropped)
		}
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			w.set(w.judgeRefusal(watched), nil)
			return
		case !w.body.connected():
			w.set(witnessGone, nil)
			return
		case time.Since(opened) >= minWitnessAge:
			delay = 0
		default:
			w.set(witnessMissing, nil)
			w.pause(delay)
			delay = min(max(2*delay, minWitnessDelay), maxWitnessDelay)
		}
	}
}

// judgeRefusal returns what it means that the replica accepts no connections, watched if it had one during the body.
func (w *witness) judgeRefusal(watched bool) witnessState {
	if w.body.connected() && w.pause(exitDuration) && w.body.connected() {
		return witnessStopping
	}
	if !watched && w.leaving != nil && w.leaving() {
		return witnessStopping // it ended before there could be a witness, as announced
	}
	return witnessGone
}

// waitForEnd waits until the connection ends and returns true, or until the witness is released and the connection can be used again.
func (w *witness) waitForEnd(c *conn) bool {
	if !w.isReleased() { // otherwise release may not have seen the connection
		if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
	}
	w.set(witnessOpen, nil) // release sets no deadline from now on
	return c.SetReadDeadline(time.Time{}) != nil
}

// processOutlives returns what shows that the process has ended the body itself, or an error that says why nothing does. It is called when
// the body has ended, and once.
func (w *witness) processOutlives() (BodyEnd, error) {
	ended := time.Now()
	timer := time.NewTimer(exitDuration)
	defer timer.Stop()
	for settled := false; ; {
		w.mu.Lock()
		state, changed := w.state, w.changed
		w.mu.Unlock()
		switch {
		case state == witnessGone:
			return BodyEndGone, errReplicaGone
		case !settled || state == witnessOpening: // opening ends soon: it has a timeout
		case state == witnessOpen:
			return BodyEndAlive, nil
		case state == witnessMissing:
			return BodyEndUnknown, errNoWitness
		case w.pool.hasCut(w.body.address, ended.Add(-exitDuration)):
			return BodyEndGone, errReplicaGone // it was killed while it stopped
		default:
			return BodyEndStopping, nil
		}
		select {
		case <-changed:
			settled = false
			timer.Reset(exitDuration)
		case <-timer.C:
			settled = true
		}
	}
}

// connected reports whether the peer has not ended the connection, also if there are bytes that have not been read.
func (c *conn) connected() bool {
	state := uint8(0)
	empty := false
	ok := c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
		var peeked [1]byte
		_, _, err := unix.Recvfrom(fd, peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
	})
	if state == 0 { // the system does not tell
		return ok && empty
	}
	return ok && state == unix.BPF_TCP_ESTABLISHED
}
