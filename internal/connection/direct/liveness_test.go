package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// patientProbe is longer than a busy machine needs to schedule a stand-in.
const patientProbe = 2 * time.Second

// droppingServer serves one request on a connection. It resets the connection at the next byte if drops is set, as a peer does that has
// dropped it without notice.
type droppingServer struct {
	net.Listener
	drops bool
	// runs is the number of whole requests.
	runs atomic.Int32
}

func newDroppingServer(t *testing.T, drops bool) *droppingServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &droppingServer{Listener: l, drops: drops}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *droppingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.runs.Add(1)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(r.Method)+len(body), r.Method, body); err != nil {
			return
		}
		if s.drops {
			_, _ = in.Peek(1)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func send(t *testing.T, p *Pool, request *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := p.Do(ctx, request)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// Guards against requests that must not run twice and are lost on an idle connection that the replica has dropped without notice, against
// such a request that is sent in part or runs twice, and against connections that are opened although the replica has the idle one.
func TestNonIdempotentRequestsProbeIdleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		drops         bool
		nonIdempotent bool
		idle          time.Duration
		body          string
		// opened is the number of connections for two requests.
		opened int64
	}{
		"kept":                     {false, true, maxUnprobedIdleTime + 200*time.Millisecond, "x", 1},
		"kept, large body":         {false, true, maxUnprobedIdleTime + 200*time.Millisecond, strings.Repeat("x", 20_000), 1},
		"kept, short idle time":    {false, true, 0, "x", 1},
		"kept, repeatable":         {false, false, maxUnprobedIdleTime + 200*time.Millisecond, "x", 1},
		"kept, longer than probes": {false, true, 2500 * time.Millisecond, "x", 1},
		"dropped":                  {true, true, maxUnprobedIdleTime + 200*time.Millisecond, "x", 2},
		"dropped, large body":      {true, true, maxUnprobedIdleTime + 200*time.Millisecond, strings.Repeat("x", 20_000), 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newDroppingServer(t, c.drops)
			p := NewPool()
			if c.drops {
				p.minProbeTime = patientProbe // the reset comes when the stand-in is scheduled
			}
			request := &Request{Address: s.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte(c.body), NonIdempotent: c.nonIdempotent}
			for range 2 {
				body, err := send(t, p, request)
				if err != nil || body != http.MethodPost+c.body {
					t.Fatalf("got %d bytes, %v", len(body), err)
				}
				time.Sleep(c.idle)
			}
			if s.runs.Load() != 2 || p.Opened() != c.opened {
				t.Errorf("%d runs on %d connections, want 2 on %d", s.runs.Load(), p.Opened(), c.opened)
			}
		})
	}
}

// Guards against a connection that counts as alive although nothing is known of its peer.
func TestConnectionWithoutASignIsUnproven(t *testing.T) {
	near, far := net.Pipe() // has no acknowledgements
	defer func() { _, _ = near.Close(), far.Close() }()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	if got := newConn(near, "", NewPool()).probe(&Request{Method: http.MethodPost}, minProbeTime); got != unproven {
		t.Errorf("liveness %d, want unproven", got)
	}
}

// Guards against bytes that count as acknowledged although the peer has not received them.
func TestUnacknowledgedBytesAreSeen(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := NewPool()
	c, err := p.dial(t.Context(), l.Addr().String(), OpenFirst)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	// Nobody reads, so that the receive buffer gets full and the probe stays in the send buffer.
	_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := c.Write(make([]byte, 64<<20)); err == nil {
		t.Fatalf("%d bytes were written to a peer that does not read", n)
	}
	_ = c.SetWriteDeadline(time.Time{})
	if c.acknowledged() {
		t.Error("bytes count as acknowledged that the peer has not received")
	}
}

// Guards against bytes of an earlier response, and an end of the connection, that are taken for a sign of life.
func TestProbeFindsLateBytesAndEnds(t *testing.T) {
	for name, late := range map[string]string{"late response": "HTTP/1.1 200 OK\r\n\r\n", "end": ""} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, probeBytes))
			_, _ = io.WriteString(c, late)
			_ = c.(*net.TCPConn).CloseWrite()
		}()
		c, err := NewPool().dial(t.Context(), l.Addr().String(), OpenFirst)
		if err != nil {
			t.Fatal(err)
		}
		// An acknowledgement may come first, as from a peer that drops the connection after it.
		got := alive
		for end := time.Now().Add(patientProbe); got == alive && time.Now().Before(end); {
			got = c.probe(&Request{Method: http.MethodPost}, minProbeTime)
		}
		if got != gone {
			t.Errorf("%s: liveness %d, want gone", name, got)
		}
		_ = c.Close()
		_ = l.Close()
	}
}

// Guards against requests that cross the end of an idle connection, against connections that are given up long before it, and against
// announcements that make them stay for ever.
func TestIdleTimeFollowsKeepAlive(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                     defaultMaxIdleTime,
		"timeout=10":           9 * time.Second,
		"max=100, Timeout = 5": 4 * time.Second,
		"timeout=2":            1400 * time.Millisecond,
		"timeout=0":            0,
		"timeout=-1":           defaultMaxIdleTime,
		"timeout=soon":         defaultMaxIdleTime,
		"timeout=NaN":          defaultMaxIdleTime,
		"timeout=1e300":        maxKeepAliveSeconds*time.Second - idleMargin,
		"timeout=Inf":          maxKeepAliveSeconds*time.Second - idleMargin,
		"max=3":                defaultMaxIdleTime,
	} {
		if got := maxIdleTime(http.Header{"Keep-Alive": {header}}); got != want {
			t.Errorf("%q: %s, want %s", header, got, want)
		}
	}
}
