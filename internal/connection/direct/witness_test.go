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

const healthTarget = "/health"

func healthy(conn net.Conn) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func otherProcess(conn net.Conn) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// busy does not answer for longer than anyone waits.
func busy(conn net.Conn) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

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
		// health answers health checks, and reports whether the connection stays open.
		health func(conn net.Conn) bool
		// forgets leaves an idle connection from before the head, which the replica has dropped without notice.
		forgets bool
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
		"has dropped the idle connection":          {forgets: true, health: healthy, whole: true, verdict: "alive"},
		"has dropped it, is killed":                {forgets: true, health: healthy, after: (*rawServer).stopListening, verdict: "gone"},
		"has dropped it, stops, as announced":      {forgets: true, health: healthy, leaving: true, after: (*rawServer).stopListening, whole: true, verdict: "stopping"},
		"has dropped it, another process is there": {forgets: true, health: otherProcess, verdict: "gone"},
		"answers the health check":                 {health: healthy, whole: true, verdict: "alive"},
		"does not answer the health check":         {health: busy, whole: true, verdict: "alive"},
		"another process answers the health check": {health: otherProcess, verdict: "gone"},
		"leaves and is killed":                     {during: func(*rawServer, net.Conn) { time.Sleep(goesOn) }, leaving: true, after: (*rawServer).kill, verdict: "gone"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			framedBegun, arrived, dropped := make(chan struct{}), make(chan struct{}), make(chan struct{})
			var s *rawServer
			s = serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
				if r.URL.Path == healthTarget {
					return c.health(conn)
				}
				if r.Header.Get("X-Attempt") == "framed" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt: framed\r\nContent-Length: 100\r\n\r\npart")
					close(framedBegun)
					_, _ = io.Copy(io.Discard, conn) // until the replica is killed
					return false
				}
				if r.Header.Get("X-Attempt") == "first" {
					_, _ = io.WriteString(conn, okResponse("first", "ok"))
					_, _ = conn.Read(make([]byte, 1)) // whatever is sent next is reset
					_ = conn.(*net.TCPConn).SetLinger(0)
					return false
				}
				if c.forgets {
					close(arrived)
					<-dropped
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
			if c.health != nil {
				request.Health = &direct.HealthCheck{Target: healthTarget, Host: "h", MisdirectedStatus: http.StatusMisdirectedRequest}
			}
			if c.forgets {
				go func() {
					<-arrived
					_, _ = do(t, p, newRequest(s, "first"))
					close(dropped)
				}()
			}
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
