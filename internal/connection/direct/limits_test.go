package direct_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
	"github.com/dragonflypin/dragonflypin/internal/process/memory"
)

// Guards against response headers that fill the memory of the process together: each is below its own bound.
func TestHeadersStayWithinTheBudget(t *testing.T) {
	var lines strings.Builder
	for n := range 4000 {
		fmt.Fprintf(&lines, "%x:\r\n", n)
	}
	s := serve(t, func(conn net.Conn, r *http.Request, _ int) bool {
		extra := ""
		if r.Header.Get("X-Attempt") == "long" {
			extra = lines.String()
		}
		_, err := io.WriteString(conn, strings.Replace(okResponse(r.Header.Get("X-Attempt"), "ok"), "\r\n\r\n", "\r\n"+extra+"\r\n", 1))
		return err == nil
	})
	p := direct.NewPool()
	p.Memory = memory.NewBudget(2 << 20) // 0.3 of it for heads and bodies
	for range 3 {
		if _, err := do(t, p, newRequest(s, "long")); !errors.Is(err, direct.ErrNoResponse) {
			t.Errorf("got %v, want ErrNoResponse", err)
		}
		if body, err := do(t, p, newRequest(s, "1")); body != "ok" || err != nil {
			t.Errorf("an ordinary response is %q, %v", body, err)
		}
		if used := p.Memory.Used(); used != 0 {
			t.Errorf("%d bytes are used after the responses", used)
		}
	}
	p = direct.NewPool()
	p.Memory = memory.NewBudget(64 << 20)
	if body, err := do(t, p, newRequest(s, "long")); body != "ok" || err != nil {
		t.Errorf("with memory, the response is %q, %v", body, err)
	}
}

// Guards against connections to replicas that use up the descriptors of the process, and against idle ones that keep a request from
// being sent.
func TestConnectionsAreBounded(t *testing.T) {
	ok := func(conn net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(conn, okResponse(r.Header.Get("X-Attempt"), "ok"))
		return err == nil
	}
	servers := []*rawServer{serve(t, ok), serve(t, ok), serve(t, ok)}
	p := direct.NewPool()
	p.MaxConns = 2
	for _, n := range []int{0, 1, 2, 2, 1, 0} { // the third closes that to server 0, the last one that to server 2
		if body, err := do(t, p, newRequest(servers[n], "1")); body != "ok" || err != nil {
			t.Fatalf("server %d: %q, %v", n, body, err)
		}
	}
	for n, want := range []int32{2, 1, 1} {
		if got := servers[n].connections.Load(); got != want {
			t.Errorf("server %d got %d connections, want %d", n, got, want)
		}
	}
	var open []*direct.Response
	for n := range 2 {
		response, err := p.Do(t.Context(), newRequest(servers[n], "1"))
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, response)
	}
	if _, err := do(t, p, newRequest(servers[2], "1")); !errors.Is(err, direct.ErrNotSent) {
		t.Errorf("beside as many requests as connections, got %v, want ErrNotSent", err)
	}
	open[0].Close()
	if body, err := do(t, p, newRequest(servers[2], "1")); body != "ok" || err != nil {
		t.Errorf("after one of them has ended, got %q, %v", body, err)
	}
	open[1].Close()
}
