// Package intake bounds what connections hold before their requests are served, below net/http: it counts what arrives, charges what
// it becomes in memory to the budget of the process, and closes the connections of the lowest rank when memory or descriptors run
// low. The phases of a connection come from net/http and the handler; no bytes are parsed a second time.
package intake

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/memory"
)

const (
	// connBytes is the memory of a connection, in bytes: the stack of its goroutine, the buffers of net/http and an ordinary head.
	// 19,237 bytes were measured for an idle one that was served, with the client's side.
	connBytes = 20 << 10
	// ordinaryHeadBytes is the part of connBytes for an ordinary head, which so is not charged by itself.
	ordinaryHeadBytes = 8 << 10
	// sweepInterval is the time between two checks for connections that take too long.
	sweepInterval = 250 * time.Millisecond
	// stalledSweeps is the number of sweeps after which a write that makes no progress is one to a caller that does not read.
	stalledSweeps = 8
)

// Reason is why a connection was closed.
type Reason uint8

// Reasons.
const (
	// NoMemory is for connections closed for the memory of others, or that found none themselves.
	NoMemory Reason = iota
	// NoDescriptors is for connections closed because a new one arrived.
	NoDescriptors
	// HeadTooLong is for heads above the limit, which are refused with 431.
	HeadTooLong
	// HeadTooSlow is for heads that take too long.
	HeadTooSlow
	// BodyStalled is for request bodies of which nothing arrives for too long.
	BodyStalled
	// Idle is for connections without a request for too long.
	Idle
	// Unread is for responses that the caller does not read until its deadline.
	Unread
	reasons
)

// String returns the name of the reason, for logs and metrics.
func (r Reason) String() string {
	return [reasons]string{"no_memory", "no_descriptors", "head_too_long", "head_too_slow", "body_stalled", "idle", "unread"}[r]
}

// Options configure a Set.
type Options struct {
	Budget *memory.Budget
	// MaxConns is the number of connections that may be open; 0 means no limit.
	MaxConns int
	// Limits returns the limits in force.
	Limits func() Limits
}

// Set is the accepted connections of a process, of all its listeners. It is safe for concurrent use.
type Set struct {
	options Options

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// sweeps is the number of sweeps so far. Ages are counted in sweeps, so that the time in which the process did not run does not
	// count.
	sweeps uint64
	// admitted is the number of connections admitted so far.
	admitted uint64

	closed  [reasons]atomic.Int64
	charged atomic.Int64
}

// New returns a Set without connections.
func New(options Options) *Set {
	s := &Set{options: options, conns: map[*Conn]struct{}{}}
	options.Budget.SetReclaim(s.reclaim)
	return s
}

// Charged returns the memory charged for connections and heads, in bytes.
func (s *Set) Charged() int64 { return s.charged.Load() }

// Closed returns how many connections were closed for a reason.
func (s *Set) Closed(r Reason) int64 { return s.closed[r].Load() }

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{NoMemory, NoDescriptors, HeadTooLong, HeadTooSlow, BodyStalled, Idle, Unread}
}

// Count returns the number of connections in each phase.
func (s *Set) Count() map[Phase]int {
	count := map[Phase]int{Waiting: 0, Head: 0, Body: 0, Serving: 0}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		count[c.phase]++
	}
	return count
}

// Serve serves connections of the listener as server.Serve does. They are accepted up to the share of MaxConns that all listeners
// together have open.
func (s *Set) Serve(server *http.Server, l net.Listener, share float64) error {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok {
			conn.onState(state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return server.Serve(listener{Listener: l, set: s, maxConns: int(math.Ceil(share * float64(s.options.MaxConns)))})
}

// Handler returns a handler for requests without a body that matters: they are served once their head has been read, within the time.
func Handler(h http.Handler, within time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Of(r).Serve(time.Now().Add(within)) {
			panic(http.ErrAbortHandler) // the connection is closed
		}
		h.ServeHTTP(w, r)
	})
}

type connKey struct{}

// Of returns the connection of a request that is served by Set.Serve.
func Of(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

type listener struct {
	net.Listener
	set      *Set
	maxConns int
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.set.admit(c, l.maxConns); conn != nil {
			return conn, nil
		}
		_ = c.Close()
	}
}

// admit adds a connection, or returns nil if there is no place for it.
func (s *Set) admit(c net.Conn, maxConns int) *Conn {
	conn := &Conn{Conn: c, set: s, charge: s.options.Budget.Charge(), body: s.options.Budget.Charge()}
	var victims []*Conn
	defer func() { closeAll(victims) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		reason := NoMemory
		switch {
		case maxConns > 0 && len(s.conns) >= maxConns:
			reason = NoDescriptors
		case s.grow(conn, connBytes):
			s.admitted++
			conn.since, conn.number = s.sweeps, s.admitted
			s.conns[conn] = struct{}{}
			return conn
		}
		victim := s.worst(rankIdle)
		if victim == nil {
			s.closed[reason].Add(1)
			return nil
		}
		s.remove(victim)
		s.closed[reason].Add(1)
		victims = append(victims, victim)
	}
}

// closeAll closes connections that were removed. Closing waits for a read in another goroutine to return, so that it must be called
// without the lock.
func closeAll(victims []*Conn) {
	for _, c := range victims {
		_ = c.Conn.Close()
	}
}

// The methods below are called with the lock.

// worst returns the connection to close first, of those that have a rank up to the given one, or nil.
func (s *Set) worst(upTo int) *Conn {
	var worst *Conn
	var least standing
	for c := range s.conns {
		if at := c.standing(); at.rank() <= upTo && (worst == nil || at.before(least)) {
			worst, least = c, at
		}
	}
	return worst
}

func (s *Set) grow(c *Conn, n int64) bool {
	before := c.charge.Taken()
	if !c.charge.TryGrow(n) {
		return false
	}
	s.charged.Add(c.charge.Taken() - before)
	return true
}

// remove takes a connection out of the set and returns its memory, which is garbage once its goroutine has ended.
func (s *Set) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	delete(s.conns, c)
	s.charged.Add(-c.charge.Taken())
	c.charge.Release()
	c.body.Release()
}

// makeRoom removes connections until grow succeeds for the connection c, which grows to so many bytes, and returns them. It reports
// false if c is itself the one to close first, or if nothing else may be closed. Nothing is closed for what is long: long bodies would
// close each other's connections instead of being refused.
func (s *Set) makeRoom(c *Conn, bytes int64, grow func() bool) (victims []*Conn, ok bool) {
	for !grow() {
		if bytes > memory.ShortBytes {
			return victims, false
		}
		victim := s.worst(rankReading)
		if victim == nil || victim == c {
			return victims, false
		}
		s.remove(victim)
		s.closed[NoMemory].Add(1)
		victims = append(victims, victim)
	}
	return victims, true
}

// hasMostOfBodies reports whether no other connection has read more of a body that it is still reading; of equal ones the first counts.
func (s *Set) hasMostOfBodies(c *Conn) bool {
	for other := range s.conns {
		more := other.body.Taken() - c.body.Taken()
		if other != c && other.phase == Body && (more > 0 || more == 0 && other.number < c.number) {
			return false
		}
	}
	return true
}

// reclaim closes connections that hold heads or bodies until it has returned so many bytes, and reports whether there were any.
func (s *Set) reclaim(bytes int64) bool {
	var victims []*Conn
	defer func() { closeAll(victims) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	for bytes > 0 {
		victim := s.worst(rankReading)
		if victim == nil {
			break
		}
		bytes -= victim.held()
		s.remove(victim)
		s.closed[NoMemory].Add(1)
		victims = append(victims, victim)
	}
	return len(victims) > 0
}

// Run closes connections that take too long, until ctx ends.
func (s *Set) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.sweep(now)
		}
	}
}

func (s *Set) sweep(now time.Time) {
	limits := s.options.Limits()
	var victims []*Conn
	defer func() { closeAll(victims) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweeps++
	for c := range s.conns {
		if reason, expired := c.expired(limits, now); expired {
			s.remove(c)
			s.closed[reason].Add(1)
			victims = append(victims, c)
		}
	}
}
