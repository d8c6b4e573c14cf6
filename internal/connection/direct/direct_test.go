package direct_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
)

// rawServer is a server that responds to the n-th request of each connection with raw bytes.
type rawServer struct {
	net.Listener
	connections, requests atomic.Int32

	mu    sync.Mutex
	conns []net.Conn
}

// kill closes the listener and all connections, as the system does when a process ends.
func (s *rawServer) kill() {
	_ = s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// stopListening closes the listener. Connections that were dropped don't notice it.
func (s *rawServer) stopListening() { _ = s.Close() }

// closeOthers closes all connections but one.
func (s *rawServer) closeOthers(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c != conn {
			_ = c.Close()
		}
	}
}

// serve starts a rawServer. A connection is closed when respond returns false.
func serve(t *testing.T, respond func(conn net.Conn, request *http.Request, n int) (keepOpen bool)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			go s.serveConn(conn, respond)
		}
	}()
	return s
}

func (s *rawServer) serveConn(conn net.Conn, respond func(net.Conn, *http.Request, int) bool) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if !respond(conn, request, n) {
			return
		}
	}
}

// okResponse returns a complete response to the attempt with the ID.
func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newRequest returns a request whose response must have the attempt ID.
func newRequest(s *rawServer, id string) *direct.Request {
	return &direct.Request{
		Address: s.Addr().String(), Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"X-Attempt": {id}},
		Match: func(_ int, h http.Header) direct.Match {
			if h.Get("X-Attempt") != id {
				return direct.MatchOther
			}
			return direct.MatchNamed
		},
	}
}

// do sends a request and returns the response body.
func do(t *testing.T, p *direct.Pool, request *direct.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	response, err := p.Do(ctx, request)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// doRaw sends a request to a server that responds with the raw bytes and closes the connection, and returns the response body.
func doRaw(t *testing.T, raw string) (string, error) {
	t.Helper()
	s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, raw)
		return false
	})
	return do(t, direct.NewPool(), newRequest(s, "1"))
}

// Guards against a retry by the pool: a server that closes a reused connection at the next request may already have run
// that request.
func TestPoolDoesNotRetry(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, n int) bool {
		if n > 1 {
			return false // the second request on a connection is read, but gets no response
		}
		_, err := io.WriteString(conn, okResponse(r.Header.Get("X-Attempt"), "ok"))
		return err == nil
	})
	p := direct.NewPool()
	if body, err := do(t, p, newRequest(s, "1")); body != "ok" || err != nil {
		t.Fatalf("got %q, %v", body, err)
	}
	if _, err := do(t, p, newRequest(s, "2")); !errors.Is(err, direct.ErrNoResponse) {
		t.Errorf("got %v, want ErrNoResponse", err)
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("the server got %d requests, want 2", n)
	}
}

// Guards against a refused connection being reported as a request that may have run.
func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	s := serve(t, func(net.Conn, *http.Request, int) bool { return false })
	_ = s.Close()
	if _, err := do(t, direct.NewPool(), newRequest(s, "1")); !errors.Is(err, direct.ErrNotSent) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
}

// Guards against bytes after a response being read as the response to the next request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		id := r.Header.Get("X-Attempt")
		_, err := io.WriteString(conn, okResponse(id, "own")+okResponse("1", "extra"))
		return err == nil
	})
	p := direct.NewPool()
	for n := 1; n <= 3; n++ {
		if body, err := do(t, p, newRequest(s, "1")); body != "own" || err != nil {
			t.Errorf("request %d got %q, %v", n, body, err)
		}
	}
	if n := s.connections.Load(); n != 3 {
		t.Errorf("%d connections for 3 requests with extra responses, want 3", n)
	}
}

// Guards against a late extra response being returned as the response to the next request.
func TestUnmatchedResponseIsSkipped(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(conn, okResponse("somebody", "theirs")+okResponse(r.Header.Get("X-Attempt"), "own"))
		return err == nil
	})
	if body, err := do(t, direct.NewPool(), newRequest(s, "1")); body != "own" || err != nil {
		t.Errorf("got %q, %v", body, err)
	}
}

// Guards against truncated responses being returned as complete, for each way to delimit a body.
func TestTruncatedResponsesAreErrors(t *testing.T) {
	for name, raw := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nContent-Length: 10\r\n\r\n12345",
		"chunked":     "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"header":      "HTTP/1.1 200 OK\r\nX-Att",
		"no response": "",
		"other text":  "this is no answer\r\n\r\n",
	} {
		if body, err := doRaw(t, raw); err == nil {
			t.Errorf("%s: the truncated response %q was returned as complete", name, body)
		}
	}
}

// Guards against a connection reset being taken as the end of a body without a length.
func TestResetIsNotEndOfBody(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\n12345")
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	if body, err := do(t, direct.NewPool(), newRequest(s, "1")); err == nil {
		t.Errorf("the response %q was returned as complete after a reset", body)
	}
}

// Guards against reusing a connection on which the replica responded before it read the whole request body: the rest of the
// body would precede the next request.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	connections := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections <- conn
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, okResponse("1", "early"))
			}
		}
	}()
	p := direct.NewPool()
	request := &direct.Request{
		Address: l.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{},
		Body: []byte(strings.Repeat("x", 16<<20)),
	}
	for range 2 {
		if body, err := do(t, p, request); body != "early" || err != nil {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if p.Opened() != 2 {
		t.Errorf("%d connections for 2 requests whose bodies were not read, want 2", p.Opened())
	}
}

// Guards against responses without an end: memory, time and the connection must be bounded, and nothing may look complete.
func TestEndlessResponsesAreCut(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n"
	for name, c := range map[string]struct{ head, repeated string }{
		"status line":                {"HTTP/1.1 200 ", "O"},
		"no response":                {"", "bytes"},
		"header line":                {ok + "X-Long: ", "x"},
		"headers":                    {ok, "X-Many: 1\r\n"},
		"interim":                    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunk extension":            {ok + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
		"chunk size":                 {ok + "Transfer-Encoding: chunked\r\n\r\n", "5"},
		"chunk without its line end": {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok", "x"},
		"short headers":              {ok, "a:\r\n"},
		"folded header":              {ok + "X-Long: 1\r\n", " x\r\n"},
		"interim headers":            {"HTTP/1.1 103 Early Hints\r\n", "X-Many: 1\r\n"},
		"trailer line":               {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Long: ", "x"},
		"other response in chunks":   {"HTTP/1.1 200 OK\r\nX-Attempt: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"other responses":            {"", "HTTP/1.1 200 OK\r\nX-Attempt: other\r\nContent-Length: 0\r\n\r\n"},
		"trailer":                    {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-T: 1\r\n"},
		"other response":             {"HTTP/1.1 200 OK\r\nX-Attempt: other\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"switch":                     {"HTTP/1.1 101 Switching Protocols\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, c.head)
				block := strings.Repeat(c.repeated, 1+4096/len(c.repeated))
				for sent.Load() < 64<<20 {
					n, err := io.WriteString(conn, block)
					sent.Add(int64(n))
					if err != nil {
						break // the client has closed the connection
					}
				}
				return false
			})
			if body, err := do(t, direct.NewPool(), newRequest(s, "1")); err == nil {
				t.Errorf("a response without an end was returned as complete, with a body of %d bytes", len(body))
			}
			// The sockets' buffers take some megabytes before the server notices that the connection is closed.
			time.Sleep(100 * time.Millisecond)
			if n := sent.Load(); n >= 64<<20 {
				t.Errorf("the server sent %d bytes without the connection being closed", n)
			}
		})
	}
}

// Guards against a second copy of a response, sent late on a connection in use again, being returned to the next caller:
// whole, in pieces, and after an interim response.
func TestLateSecondResponseIsNotReturned(t *testing.T) {
	for name, pieces := range map[string]func(late, own string) []string{
		"whole":   func(late, own string) []string { return []string{late + own} },
		"pieces":  func(late, own string) []string { return []string{late[:10], late[10:40], late[40:] + own[:5], own[5:]} },
		"interim": func(late, own string) []string { return []string{"HTTP/1.1 103 Early Hints\r\n\r\n", late, own} },
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, r *http.Request, n int) bool {
				id := r.Header.Get("X-Attempt")
				list := []string{okResponse(id, "own "+id)}
				if n > 1 {
					list = pieces(okResponse("1", "own 1"), list[0])
				}
				for _, piece := range list {
					if _, err := io.WriteString(conn, piece); err != nil {
						return false
					}
					time.Sleep(5 * time.Millisecond)
				}
				return true
			})
			p := direct.NewPool()
			for _, id := range []string{"1", "2", "3"} {
				if body, err := do(t, p, newRequest(s, id)); err == nil && body != "own "+id {
					t.Errorf("request %s got the response %q", id, body)
				}
			}
		})
	}
}

// Guards against bytes without an end after a whole response: the response counts, and the connection is closed.
func TestEndlessBytesAfterAResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n"
	for name, response := range map[string]string{
		"length": ok + "Content-Length: 2\r\n\r\nok", "chunks": ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				defer close(closed)
				_, err := io.WriteString(conn, response+"x")
				for err == nil {
					_, err = io.WriteString(conn, strings.Repeat("x", 4096))
				}
				return false
			})
			p := direct.NewPool()
			if body, err := do(t, p, newRequest(s, "1")); body != "ok" || err != nil {
				t.Errorf("got %q, %v", body, err)
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Error("the connection was not closed")
			}
			if p.HasIdle(s.Addr().String()) {
				t.Error("the connection would be used again")
			}
		})
	}
}

// Guards against a response that never ends because a byte of it comes now and then: the deadline ends it and its connection.
func TestTrickledResponsesEndAtTheDeadline(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n"
	for name, c := range map[string]struct{ head, repeated string }{
		"status line":     {"HTTP/1.1 200 ", "O"},
		"header line":     {ok + "X-Long: ", "x"},
		"headers":         {ok, "a:\r\n"},
		"interim":         {"HTTP/1.1 103 Early Hints\r\n", "a:\r\n"},
		"body":            {ok + "Content-Length: 1000\r\n\r\n", "x"},
		"chunk extension": {ok + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
		"trailer":         {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "a:\r\n"},
		"other response":  {"HTTP/1.1 200 OK\r\nX-Attempt: other\r\nContent-Length: 1000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const timeout = 300 * time.Millisecond
			closed := make(chan struct{})
			s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				defer close(closed)
				_, err := io.WriteString(conn, c.head)
				for err == nil {
					time.Sleep(10 * time.Millisecond)
					_, err = io.WriteString(conn, c.repeated)
				}
				return false
			})
			p := direct.NewPool()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			response, err := p.Do(ctx, newRequest(s, "1"))
			if err == nil {
				_, err = io.ReadAll(response)
				response.Close()
			}
			if err == nil {
				t.Error("a response without an end was returned as complete")
			}
			select {
			case <-closed:
			case <-time.After(timeout + 2*time.Second):
				t.Error("the connection was not closed")
			}
			if p.HasIdle(s.Addr().String()) {
				t.Error("the connection would be used again")
			}
		})
	}
}

// Guards against a late second response that is returned to the next caller when it is split at any byte: the first part arrives while the
// connection is idle or after the next request was sent.
func TestLateResponseSplitAtEachByte(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nX-Attempt: 1\r\n\r\n"
	for name, late := range map[string]string{
		"length": okResponse("1", "own 1"), "interim": interim + okResponse("1", "own 1"), "two": okResponse("1", "own 1") + okResponse("1", "own 1"),
		"chunks": "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nown 1\r\n0\r\n\r\n",
		"no end": "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\nown 1",
	} {
		for _, idle := range []bool{true, false} {
			for _, nonIdempotent := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, idle %t, non-idempotent %t", name, idle, nonIdempotent), func(t *testing.T) {
					t.Parallel()
					for split := 1; split < len(late); split++ {
						checkLateResponse(t, late[:split], late[split:], idle, nonIdempotent)
					}
				})
			}
		}
	}
}

// checkLateResponse sends two requests to a replica that sends a late response between theirs, in two parts.
func checkLateResponse(t *testing.T, first, rest string, idle, nonIdempotent bool) {
	t.Helper()
	sent := make(chan struct{})
	s := serve(t, func(conn net.Conn, r *http.Request, n int) bool {
		id := r.Header.Get("X-Attempt")
		own := okResponse(id, "own "+id)
		switch {
		case id == "1":
			_, _ = io.WriteString(conn, own)
			if idle {
				time.Sleep(2 * time.Millisecond) // the connection is idle when the late bytes come
				_, _ = io.WriteString(conn, first)
			}
			close(sent)
			return true
		case n > 1: // on the connection of the first request
			if !idle {
				_, _ = io.WriteString(conn, first)
				time.Sleep(time.Millisecond)
			}
			_, _ = io.WriteString(conn, rest)
		}
		_, err := io.WriteString(conn, own)
		return err == nil
	})
	p := direct.NewPool()
	for _, id := range []string{"1", "2"} {
		request := newRequest(s, id)
		request.NonIdempotent = nonIdempotent
		if body, err := do(t, p, request); err == nil && body != "own "+id {
			t.Errorf("%q, then %q: request %s got the response %q", first, rest, id, body)
		}
		<-sent
	}
	if !idle && p.Opened() != 1 {
		t.Errorf("%d connections, want the late bytes on the one in use again", p.Opened())
	}
}

// Guards against a connection that is closed although it could be reused, because the response arrived before the end of the
// request's write was reported.
func TestConnectionIsReusedAfterALargeRequest(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(conn, okResponse(r.Header.Get("X-Attempt"), "ok"))
		return err == nil
	})
	p := direct.NewPool()
	for range 50 {
		request := newRequest(s, "1")
		request.Method, request.Body = http.MethodPost, []byte(strings.Repeat("x", 20_000))
		if _, err := do(t, p, request); err != nil {
			t.Fatal(err)
		}
	}
	if p.Opened() != 1 {
		t.Errorf("%d connections for 50 requests in a row, want 1", p.Opened())
	}
}

// Guards against a body that looks complete although its replica was killed, which closes all connections of the process, also when
// another process listens at its address by then.
func TestBodyOfKilledReplicaIsNotComplete(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nX-Attempt: a\r\n\r\n", "first part"
	for name, c := range map[string]struct{ killed, restarted bool }{"alive": {}, "killed": {killed: true}, "restarted": {true, true}} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, head)
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(conn, body)
				return false
			})
			p := direct.NewPool()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			response, err := p.Do(ctx, newRequest(s, "a"))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			if _, err := io.ReadFull(response, make([]byte, len(body))); err != nil {
				t.Fatal(err)
			}
			if c.killed {
				s.kill()
			}
			if c.restarted {
				other, err := net.Listen("tcp4", s.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = other.Close() }()
			}
			if _, err := response.Read(make([]byte, 1)); errors.Is(err, io.EOF) == c.killed {
				t.Errorf("the body ends with %v", err)
			}
			if p.Opened() != 2 {
				t.Errorf("%d connections, want one for the request and one to see whether the replica lives", p.Opened())
			}
		})
	}
}

// Guards against idle connections of many callers that use up the connections which a replica accepts, and against a caller that keeps none.
func TestIdleConnectionsAreBounded(t *testing.T) {
	for _, c := range []struct{ maxConnections, callers, want int }{
		{450, 22, 10}, {190, 22, 4}, {940, 103, 4}, {10, 103, 1}, {100, 0, 50}, {0, 22, 24},
	} {
		if got := direct.IdleBound(c.maxConnections, c.callers); got != c.want {
			t.Errorf("%d connections, %d callers: %d, want %d", c.maxConnections, c.callers, got, c.want)
		}
	}
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(conn, okResponse(r.Header.Get("X-Attempt"), "ok"))
		return err == nil
	})
	p := direct.NewPool()
	for range 2 {
		var open []*direct.Response
		for range 4 {
			request := newRequest(s, "1")
			request.MaxIdle = 3
			response, err := p.Do(t.Context(), request)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(response); err != nil {
				t.Fatal(err)
			}
			open = append(open, response)
		}
		if p.HasIdle(s.Addr().String()) {
			t.Error("a connection that carries a request counts as idle")
		}
		for _, response := range open {
			response.Close()
		}
		if !p.HasIdle(s.Addr().String()) || p.HasIdle("127.0.0.1:1") {
			t.Error("idle connections are not told by their address")
		}
	}
	if got := counted(p.ClosedBy)["excess"]; got != 2 || p.Opened() != 5 {
		t.Errorf("%d connections, %d closed as excess, want 5 and 2", p.Opened(), got)
	}
}

func BenchmarkDo(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		in := make([]byte, 4096)
		response := []byte(okResponse("1", "ok"))
		for {
			if _, err := conn.Read(in); err != nil {
				return
			}
			if _, err := conn.Write(response); err != nil {
				return
			}
		}
	}()
	p := direct.NewPool()
	request := &direct.Request{Address: l.Addr().String(), Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}
	b.ReportAllocs()
	for b.Loop() {
		response, err := p.Do(b.Context(), request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response); err != nil {
			b.Fatal(err)
		}
		response.Close()
	}
}

// uploadServer responds to each request before it has read the body, of which it reads nothing, and ends the connection.
func uploadServer(t *testing.T, response string, end func(conn *net.TCPConn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, response)
				time.Sleep(50 * time.Millisecond)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return l
}

// Guards against a part of a body without a length that looks complete because its connection was reset during a long upload: the write
// of the request takes the error of the reset, after which a read reports the end of the body.
func TestResetDuringAnUploadIsNotEndOfBody(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\na part of the body"
	for name, c := range map[string]struct {
		chunked bool
		end     func(conn *net.TCPConn)
	}{
		"reset":               {false, func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }},
		"reset, chunked":      {true, func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }},
		"close, unread bytes": {false, func(conn *net.TCPConn) { _ = conn.Close() }},
		"half closed, reset": {false, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 20 {
				l := uploadServer(t, part, c.end)
				request := &direct.Request{
					Address: l.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Chunked: c.chunked,
					Body: []byte(strings.Repeat("x", 16<<20)),
				}
				if body, err := do(t, direct.NewPool(), request); err == nil {
					t.Fatalf("%q was returned as a complete body", body)
				}
			}
		})
	}
}

// Guards against a status outside of 100 to 599 that is passed on, or taken for an interim response, so that its body would be read as
// the response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	smuggled := okResponse("1", "body")
	for _, status := range []string{"000", "001", "099", "600", "999", "-01", "+20", "20", "2000"} {
		raw := fmt.Sprintf("HTTP/1.1 %s Status\r\nX-Attempt: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(smuggled), smuggled)
		if body, err := doRaw(t, raw); err == nil {
			t.Errorf("status %s: %q was returned as a response", status, body)
		}
	}
}

// Guards against a response that was cut within its head, or within the framing of its body, and is returned with an empty or short body.
func TestResponseCutAtEachByte(t *testing.T) {
	for name, response := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Attempt: 1\r\n\r\ntwelve bytes",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Attempt: 1\r\n\r\n5\r\n12345\r\n0\r\n\r\n",
		"trailer":   "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\nX-T: 1\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nContent-Type: text/plain\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := 1; cut < len(response); cut++ {
				if body, err := doRaw(t, response[:cut]); err == nil {
					t.Errorf("%q was returned as a response with the body %q", response[:cut], body)
				}
			}
		})
	}
}
