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
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
)

// rawServer is a server that responds to the n-th request of each connection with raw bytes.
type rawServer struct {
	net.Listener
	connections, requests atomic.Int32
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
		Matches: func(_ int, h http.Header) bool { return h.Get("X-Attempt") == id },
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
		s := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, raw)
			return false
		})
		if body, err := do(t, direct.NewPool(), newRequest(s, "1")); err == nil {
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

// Guards against sending non-idempotent requests on idle connections that the replica may have dropped without notice.
func TestNonIdempotentRequestsAvoidIdleConnections(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(conn, okResponse(r.Header.Get("X-Attempt"), "ok"))
		return err == nil
	})
	p := direct.NewPool()
	for _, c := range []struct {
		nonIdempotent bool
		after         time.Duration
		want          int64
	}{{true, 0, 1}, {true, 0, 1}, {false, 600 * time.Millisecond, 1}, {true, 600 * time.Millisecond, 2}} {
		time.Sleep(c.after)
		request := newRequest(s, "1")
		request.NonIdempotent = c.nonIdempotent
		if _, err := do(t, p, request); err != nil {
			t.Fatal(err)
		}
		if p.Opened() != c.want {
			t.Errorf("non-idempotent %t after %s: %d connections, want %d", c.nonIdempotent, c.after, p.Opened(), c.want)
		}
	}
}
