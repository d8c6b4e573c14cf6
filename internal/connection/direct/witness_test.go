package direct_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nX-Attempt: a\r\n\r\n"
	unframedBody = "the whole body"
	// goesOn is how long a replica sends a body after an event that its other connections do not survive.
	goesOn = 150 * time.Millisecond
)

// Guards against whole bodies without a length that count as cut because their replica has closed its idle connections before, at a planned
// stop or as too long idle, and against cut ones that count as whole because such a replica was killed after that.
func TestBodyOutlivesTheIdleConnectionsOfItsReplica(t *testing.T) {
	for name, c := range map[string]struct {
		// before happens before the head, and during between the head and the body.
		before, during func(s *rawServer, conn net.Conn)
		// after happens with the end of the body.
		after func(s *rawServer)
		// framed sends another request, whose response is cut when the replica ends.
		framed bool
		// atOnce sends the head with the body.
		atOnce  bool
		leaving bool
		whole   bool
		verdict string
	}{
		"stops":                                         {during: func(s *rawServer, conn net.Conn) { _ = s.Close(); s.closeOthers(conn); time.Sleep(goesOn) }, whole: true, verdict: "stopping"},
		"stops before the head":                         {before: func(s *rawServer, _ net.Conn) { _ = s.Close() }, during: func(*rawServer, net.Conn) { time.Sleep(goesOn) }, whole: true, verdict: "stopping"},
		"stops, sends all at once, leaves":              {before: func(s *rawServer, _ net.Conn) { _ = s.Close() }, atOnce: true, leaving: true, whole: true, verdict: "stopping"},
		"accepts nothing, sends all at once":            {before: func(s *rawServer, _ net.Conn) { _ = s.Close() }, atOnce: true, verdict: "gone"},
		"stops, then is killed beside another response": {during: func(s *rawServer, _ net.Conn) { _ = s.Close(); time.Sleep(goesOn) }, framed: true, after: (*rawServer).kill, verdict: "gone"},
		"closes idle connections": {during: func(s *rawServer, conn net.Conn) {
			for range 5 {
				time.Sleep(goesOn)
				s.closeOthers(conn)
			}
			time.Sleep(goesOn)
		}, whole: true, verdict: "alive"},
		"resets other connections": {during: func(s *rawServer, conn net.Conn) {
			for range 2 * goesOn / time.Millisecond {
				s.closeOthers(conn)
				time.Sleep(time.Millisecond)
			}
		}, after: func(s *rawServer) { _ = s.Close() }, verdict: "unknown"},
		"leaves and is killed": {during: func(*rawServer, net.Conn) { time.Sleep(goesOn) }, leaving: true, after: (*rawServer).kill, verdict: "gone"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			framedBegun := make(chan struct{})
			var s *rawServer
			s = serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
				if r.Header.Get("X-Attempt") == "framed" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt: framed\r\nContent-Length: 100\r\n\r\npart")
					close(framedBegun)
					_, _ = io.Copy(io.Discard, conn) // until the replica is killed
					return false
				}
				if c.before != nil {
					c.before(s, conn)
				}
				if c.atOnce {
					_, _ = io.WriteString(conn, unframedHead+unframedBody)
					return false
				}
				_, _ = io.WriteString(conn, unframedHead)
				time.Sleep(20 * time.Millisecond) // the caller may open another connection
				if c.during != nil {
					c.during(s, conn)
				}
				_, _ = io.WriteString(conn, unframedBody)
				if c.after != nil {
					c.after(s)
				}
				return false
			})
			p := direct.NewPool()
			if c.framed {
				go func() { _, _ = do(t, p, newRequest(s, "framed")) }()
				<-framedBegun
			}
			request := newRequest(s, "a")
			request.Leaving = func() bool { return c.leaving }
			body, err := do(t, p, request)
			if whole := err == nil && body == unframedBody; whole != c.whole {
				t.Errorf("got %q, %v, want a whole body: %t", body, err, c.whole)
			}
			if got := counted(p.BodiesBy); got[c.verdict] != 1 {
				t.Errorf("the end counts as %v, want %s", got, c.verdict)
			}
		})
	}
}
