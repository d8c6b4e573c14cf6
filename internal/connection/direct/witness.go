package direct

import (
	"context"
	"errors"
	"net/http"
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

// HealthCheck is a request that any replica of a service answers without running work.
type HealthCheck struct {
	// Target is its path.
	Target string
	Host   string
	// Header names the process that is meant. Another one answers with MisdirectedStatus.
	Header            http.Header
	MisdirectedStatus int
}

// witness watches an idle connection to the process that sends a body which ends with its connection. The system closes the connections of
// a process that was killed in the same way as the process does after a complete response, but all of them at once. So the end of the body
// is a regular one if the process answers on a connection from before it, or if the process had ended its idle connections before and went on.
type witness struct {
	pool *Pool
	// request is the one whose response has the body, and body its connection.
	request *Request
	body    *conn
	// open returns a connection to the replica, and dial a new one.
	open, dial func() (*conn, error)

	// released is closed when the witness is no longer needed, and ended at the end of the body.
	released, ended chan struct{}
	release, end    func()
	// verdict receives what the end of the body is.
	verdict chan BodyEnd

	mu sync.Mutex
	// watched is the connection on which a read waits.
	watched *conn
}

// newWitness takes an idle connection or opens one, and watches it until release is called, which returns it for reuse. ctx is that of the
// request.
func newWitness(ctx context.Context, pool *Pool, body *conn, request *Request) *witness {
	w := &witness{
		pool: pool, request: request, body: body, released: make(chan struct{}), ended: make(chan struct{}), verdict: make(chan BodyEnd, 1),
		open: func() (*conn, error) {
			return pool.get(ctx, &Request{Address: request.Address, MaxIdle: request.MaxIdle})
		},
		dial: func() (*conn, error) {
			c, err := pool.dial(ctx, request.Address, OpenDropped)
			if err == nil {
				c.setMaxIdle(request.MaxIdle)
			}
			return c, err
		},
	}
	w.release = sync.OnceFunc(func() { w.interrupt(w.released) })
	w.end = sync.OnceFunc(func() { w.interrupt(w.ended) })
	go func() { w.verdict <- w.watch() }()
	return w
}

// interrupt closes the channel and ends the read of the watched connection.
func (w *witness) interrupt(done chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(done)
	if w.watched != nil {
		_ = w.watched.SetReadDeadline(time.Unix(1, 0))
	}
}

// setWatched sets the connection whose read interrupt ends.
func (w *witness) setWatched(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched = c
}

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// pause waits and returns false if the body ends or the witness is released meanwhile.
func (w *witness) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.released:
		return false
	case <-w.ended:
		return false
	case <-timer.C:
		return true
	}
}

// watch keeps one connection open for as long as the process has that of the body, and returns what the end of the body is. A replica may
// close an idle connection at any time.
func (w *witness) watch() BodyEnd {
	watched, delay := false, time.Duration(0)
	for !isClosed(w.released) {
		opened := time.Now()
		c, err := w.open()
		if err == nil {
			watched = true
			if !w.waitForEnd(c) {
				return w.judge(c)
			}
			w.pool.close(c, CloseDropped)
		}
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return w.judgeRefusal(watched)
		case !w.body.connected():
			return BodyEndGone // a process that ends loses all connections at once
		case time.Since(opened) >= minWitnessAge:
			delay = 0
		default:
			if delay > 0 && !w.pause(delay) {
				return BodyEndUnknown
			}
			delay = min(max(2*delay, minWitnessDelay), maxWitnessDelay)
		}
	}
	return BodyEndUnknown
}

// waitForEnd waits until the connection ends and returns true, or until the body ends or the witness is released and the connection can be
// used again.
func (w *witness) waitForEnd(c *conn) bool {
	w.setWatched(c)
	if !isClosed(w.released) && !isClosed(w.ended) { // otherwise the read would not be interrupted
		if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
	}
	w.setWatched(nil)
	return c.SetReadDeadline(time.Time{}) != nil
}

// judgeRefusal returns what the end of the body is if the replica accepts no connections, watched if it had one during the body. It returns
// when the body has ended.
func (w *witness) judgeRefusal(watched bool) BodyEnd {
	stopping := w.body.connected() && w.pause(exitDuration) && w.body.connected()
	select {
	case <-w.released:
		return BodyEndUnknown
	case <-w.ended:
	}
	if stopping || !watched && w.isLeaving() {
		return w.judgeStopping()
	}
	return BodyEndGone
}

func (w *witness) isLeaving() bool { return w.request.Leaving != nil && w.request.Leaving() }

// judgeStopping returns what the end of a body of a process is that is stopping: it may have been killed after it began to stop.
func (w *witness) judgeStopping() BodyEnd {
	since := time.Now().Add(-exitDuration)
	time.Sleep(exitDuration)
	if w.pool.hasCut(w.body.address, since) {
		return BodyEndGone
	}
	return BodyEndStopping
}

// judge returns what the end of the body is by a connection that was open before it.
func (w *witness) judge(c *conn) BodyEnd {
	if isClosed(w.released) && !isClosed(w.ended) {
		w.pool.put(c, defaultMaxIdleTime)
		return BodyEndUnknown
	}
	if !c.connected() {
		w.pool.close(c, CloseDropped)
		return BodyEndGone
	}
	switch w.ask(c) {
	case alive:
		return BodyEndAlive
	case gone:
		return BodyEndGone
	}
	// The replica had dropped the connection without notice, or is gone: a connection from after the end of the body has to tell.
	c, err := w.dial()
	switch {
	case err != nil && w.isLeaving():
		return w.judgeStopping()
	case err != nil:
		return BodyEndGone
	case w.ask(c) == alive:
		return BodyEndAlive
	default:
		return BodyEndGone
	}
}

// ask finds out whether the process still has the connection: alive if it answers, or does nothing for exitDuration, gone if it has ended the
// connection or another process answers, and unproven if it had dropped the connection, which what is sent on it resets. The connection is
// returned to the pool, or closed.
func (w *witness) ask(c *conn) liveness {
	check := w.request.Health
	_ = c.SetDeadline(time.Now().Add(exitDuration))
	if check == nil {
		_, err := c.reader.Peek(1)
		silent := errors.Is(err, os.ErrDeadlineExceeded)
		w.giveBack(c, silent, defaultMaxIdleTime)
		if silent || err == nil { // bytes that nobody asked for also come from a running process
			return alive
		}
		return gone
	}
	//nolint:bodyclose // exchange has read the body, or the connection is closed
	response, err := c.exchange(&Request{Method: http.MethodGet, Target: check.Target, Host: check.Host, Header: check.Header})
	if err != nil {
		w.giveBack(c, false, 0)
	} else {
		w.giveBack(c, c.reader.Buffered() == 0 && !response.Close, maxIdleTime(response.Header))
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return alive
	case errors.Is(err, syscall.ECONNRESET):
		return unproven
	case err != nil || response.StatusCode == check.MisdirectedStatus:
		return gone
	default:
		return alive
	}
}

// giveBack returns a connection to the pool if it can be used again, and closes it otherwise.
func (w *witness) giveBack(c *conn, reusable bool, maxIdle time.Duration) {
	if reusable && c.SetDeadline(time.Time{}) == nil {
		w.pool.put(c, maxIdle)
	} else {
		w.pool.close(c, CloseAsked)
	}
}

// exchange sends a request and reads its response to the end. The response says that the connection closes if that could not be read.
func (c *conn) exchange(request *Request) (*http.Response, error) {
	if err := writeRequest(c.writer, request, 0); err != nil {
		return nil, err
	}
	response, err := c.readHead(request.Method)
	c.source.charge.Release()
	if err != nil {
		return nil, err
	}
	c.responses++
	response.Close = response.Close || discard(response) != nil
	return response, nil
}

// processOutlives returns what shows that the process has ended the body itself, or an error that says why nothing does. It is called when
// the body has ended, and once.
func (w *witness) processOutlives() (BodyEnd, error) {
	w.end()
	switch end := <-w.verdict; end {
	case BodyEndGone:
		return end, errReplicaGone
	case BodyEndUnknown:
		return end, errNoWitness
	default:
		return end, nil
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
