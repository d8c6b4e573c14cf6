package direct_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
)

// counted returns the reasons that each calls its argument with and whose number is not 0.
func counted(each func(func(string, int64))) map[string]int64 {
	counts := map[string]int64{}
	each(func(reason string, n int64) {
		if n != 0 {
			counts[reason] = n
		}
	})
	return counts
}

// Guards against a cause of new connections that operators can't see, or that is reported as another one.
func TestConnectionsAreCountedByReason(t *testing.T) {
	const shortIdle = 50 * time.Millisecond
	for name, c := range map[string]struct {
		// response is what the first connection gets; keepOpen is whether the replica leaves it open.
		response string
		keepOpen bool
		pause    time.Duration
		opened   string
		closed   string
	}{
		"expired":        {"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nKeep-Alive: timeout=0.01\r\nContent-Length: 0\r\n\r\n", true, shortIdle, "expired", "expired"},
		"dropped":        {okResponse("1", "ok"), false, shortIdle, "dropped", "dropped"},
		"asked to close": {"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true, 0, "not_reusable", "asked"},
		"cut":            {"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\nContent-Length: 10\r\n\r\n12", false, 0, "cut", "cut"},
		"extra bytes":    {okResponse("1", "ok") + "more", true, 0, "not_reusable", "extra_bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
				if r.Header.Get("X-Attempt") == "2" {
					_, err := io.WriteString(conn, okResponse("2", "ok"))
					return err == nil
				}
				_, err := io.WriteString(conn, c.response)
				return err == nil && c.keepOpen
			})
			p := direct.NewPool()
			_, _ = do(t, p, newRequest(s, "1"))
			time.Sleep(c.pause)
			if _, err := do(t, p, newRequest(s, "2")); err != nil {
				t.Fatal(err)
			}
			if got, want := counted(p.OpenedBy), map[string]int64{"first": 1, c.opened: 1}; !maps.Equal(got, want) {
				t.Errorf("opened %v, want %v", got, want)
			}
			if got, want := counted(p.ClosedBy), map[string]int64{c.closed: 1}; !maps.Equal(got, want) {
				t.Errorf("closed %v, want %v", got, want)
			}
		})
	}
}

// Guards against a connection that is not closed when the caller of its request has left, so that the replica goes on with it.
func TestConnectionOfCanceledRequestIsClosed(t *testing.T) {
	closed := make(chan error, 1)
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", r.Header.Get("X-Attempt"))
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err := conn.Read(make([]byte, 1))
		closed <- err
		return false
	})
	p := direct.NewPool()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	response, err := p.Do(ctx, newRequest(s, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(response, make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-closed; err == nil || isTimeout(err) {
		t.Errorf("the replica's connection: %v, want closed", err)
	}
	response.Close()
	if got, want := counted(p.ClosedBy), map[string]int64{"canceled": 1}; !maps.Equal(got, want) {
		t.Errorf("closed %v, want %v", got, want)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Guards against requests at the same time whose connections are reported as anything but in use.
func TestConnectionInUseIsCounted(t *testing.T) {
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(conn, okResponse(r.Header.Get("X-Attempt"), "ok"))
		return err == nil
	})
	p := direct.NewPool()
	first, err := p.Do(t.Context(), newRequest(s, "1"))
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	if _, err := do(t, p, newRequest(s, "2")); err != nil {
		t.Fatal(err)
	}
	if got, want := counted(p.OpenedBy), map[string]int64{"first": 1, "in_use": 1}; !maps.Equal(got, want) {
		t.Errorf("opened %v, want %v", got, want)
	}
}
