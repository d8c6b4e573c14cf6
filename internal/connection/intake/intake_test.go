package intake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/memory"
	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

const waitTimeout = 10 * time.Second

func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("not within %s: %s", waitTimeout, condition)
}

// served is a server whose connections are in a Set.
type served struct {
	*Set
	t       *testing.T
	budget  *memory.Budget
	address string
	// hold makes the handler wait while it serves.
	hold chan struct{}
	runs atomic.Int64
	// limits are those in force.
	limits Limits
}

func serve(t *testing.T, memoryLimit int64, maxConns int) *served {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &served{t: t, budget: memory.NewBudget(memoryLimit), address: l.Addr().String(), hold: make(chan struct{}), limits: LimitsOf(nil)}
	s.Set = New(Options{Budget: s.budget, MaxConns: maxConns, Limits: func() Limits { return s.limits }})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := Of(r)
		if r.URL.Path == "/body" {
			defer conn.ReleaseBody()
			if !charge(conn, r.Body) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		if !conn.Serve(time.Now()) {
			panic(http.ErrAbortHandler)
		}
		s.runs.Add(1)
		switch r.URL.Path {
		case "/hold":
			<-s.hold
		case "/endless":
			for {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		}
	})
	server := &http.Server{Handler: handler}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(server, l, 1) // returns after Close
	}()
	t.Cleanup(func() {
		close(s.hold)
		_ = server.Close()
		<-done
	})
	return s
}

// charge reads a body and reports whether it was read to its end, with memory for all of it.
func charge(conn *Conn, body io.Reader) bool {
	block := make([]byte, 64<<10)
	for size := int64(0); ; {
		n, err := body.Read(block)
		size += int64(n)
		if !conn.GrowBody(size) {
			return false
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

func (s *served) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout)) // fails on a closed connection, on which the next call fails too
	return c
}

func (s *served) send(c net.Conn, text string) {
	s.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
}

// request sends a request and returns the status of its response, or 0 without one.
func (s *served) request(c net.Conn, path string) int {
	s.t.Helper()
	s.send(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
	return status(c)
}

// status reads a response and returns its status, or 0 without one.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// closed reports whether the connection was closed without a byte.
func closed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	n, err := c.Read(make([]byte, 1))
	return n == 0 && err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func (s *served) waitFor(phase Phase, n int) {
	s.t.Helper()
	eventually(s.t, fmt.Sprintf("%d connections are %s", n, phase), func() bool { return s.Count()[phase] == n })
}

// Guards against closing a caller that has earned more before one that has earned less.
func TestOrderOfClosing(t *testing.T) {
	order := []standing{
		{phase: Head, charge: 4 << 20, age: 9, number: 7},
		{phase: Body, charge: 100 << 10, age: 20, number: 8},
		{phase: Waiting, charge: connBytes, age: 40, number: 1},
		{phase: Waiting, charge: connBytes, age: 0, number: 5},
		{phase: Head, charge: connBytes, age: 0, number: 9},
		{phase: Head, served: true, charge: 4 << 20, number: 2},
		{phase: Waiting, served: true, charge: connBytes, age: 90, number: 3},
		{phase: Head, served: true, charge: connBytes, number: 4},
		{phase: Serving, charge: 8 << 20, age: 1000, number: 6},
	}
	for i := range order {
		for j := range order {
			if got, want := order[i].before(order[j]), i < j; got != want {
				t.Errorf("%+v before %+v is %t, want %t", order[i], order[j], got, want)
			}
		}
	}
}

// Guards against limits that refuse what the configuration allows, and against ones that don't follow it.
func TestLimitsHaveRoom(t *testing.T) {
	none := LimitsOf(nil)
	if LimitsOf(&routes.Version{}) != none {
		t.Error("a configuration without limits differs from none")
	}
	configured := routes.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	got := LimitsOf(&routes.Version{Limits: configured})
	const bufferOfNetHTTP = 4096
	if got.HeadBytes < configured.HeaderBytes+bufferOfNetHTTP || got.HeadTime <= configured.HeaderTimeout || got.IdleTime <= configured.IdleTimeout {
		t.Errorf("limits %+v have no room for %+v", got, configured)
	}
	if got.HeadBytes >= none.HeadBytes || got.HeadTime >= none.HeadTime || got.IdleTime >= none.IdleTime {
		t.Errorf("limits %+v don't follow the configuration", got)
	}
	for _, n := range []int{900 << 10, http.DefaultMaxHeaderBytes} {
		if got := LimitsOf(&routes.Version{Limits: routes.Limits{HeaderBytes: n}}); got.HeadBytes < n+bufferOfNetHTTP {
			t.Errorf("a limit of %d bytes has no room for heads of %d", got.HeadBytes, n)
		}
	}
}

// Guards against connections that leave no descriptors for those to replicas.
func TestMaxConns(t *testing.T) {
	for descriptors, want := range map[int]int{0: 0, 100: 1, 512: 140, 3075: 1293} {
		if got := MaxConns(descriptors); got != want {
			t.Errorf("%d descriptors: %d connections, want %d", descriptors, got, want)
		}
	}
}

// Guards against a connection that is closed while its request is served, and against a caller that finds no place beside connections
// that have earned less.
func TestNewConnectionTakesThePlaceOfTheLeastServed(t *testing.T) {
	s := serve(t, 0, 4)
	holding := s.dial()
	s.send(holding, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
	s.waitFor(Serving, 1)
	sound := s.dial()
	if got := s.request(sound, "/"); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	var silent []net.Conn
	for range 2 {
		silent = append(silent, s.dial())
	}
	s.waitFor(Waiting, 3)
	if got := s.request(s.dial(), "/"); got != http.StatusOK {
		t.Errorf("a new caller got %d", got)
	}
	if !closed(silent[0]) {
		t.Error("the oldest connection without a request is open")
	}
	if got := s.request(sound, "/"); got != http.StatusOK {
		t.Errorf("a caller that was served before got %d", got)
	}
	s.hold <- struct{}{}
	if got := status(holding); got != http.StatusOK {
		t.Errorf("the request in service got %d", got)
	}
	if s.Closed(NoDescriptors) != 1 {
		t.Errorf("%d closed", s.Closed(NoDescriptors))
	}
}

// Guards against many requests in service that are cut, and against new connections beside it that are neither served nor closed.
func TestConnectionsInServiceAreNotClosed(t *testing.T) {
	s := serve(t, 0, 2)
	holding := []net.Conn{s.dial(), s.dial()}
	for _, c := range holding {
		s.send(c, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	s.waitFor(Serving, 2)
	if !closed(s.dial()) {
		t.Error("a connection without a place is open")
	}
	for range holding {
		s.hold <- struct{}{}
	}
	for _, c := range holding {
		if got := status(c); got != http.StatusOK {
			t.Errorf("the request in service got %d", got)
		}
	}
}

// Guards against heads that take more memory than the budget has, at the cost of callers that were served before, and against memory
// that is not returned.
func TestHeadsStayWithinTheBudget(t *testing.T) {
	const memoryLimit = 8 << 20 // the budget is 0.3 of it
	s := serve(t, memoryLimit, 0)
	sound := s.dial()
	if got := s.request(sound, "/"); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	lines := strings.Repeat("a:\r\n", 200)
	var heads []net.Conn
	for range 60 {
		c := s.dial()
		heads = append(heads, c)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n"+lines) // the connection may be closed already
	}
	eventually(t, "heads were closed", func() bool { return s.Closed(NoMemory) > 0 })
	if used := s.budget.Used(); used > memoryLimit*3/10 {
		t.Errorf("%d bytes are used", used)
	}
	if got := s.request(sound, "/"); got != http.StatusOK {
		t.Errorf("a caller that was served before got %d", got)
	}
	if got := s.request(s.dial(), "/"); got != http.StatusOK {
		t.Errorf("a new caller got %d", got)
	}
	for _, c := range heads {
		_ = c.Close()
	}
	eventually(t, "memory is returned", func() bool { return s.budget.Used() <= 2*connBytes && s.Charged() == s.budget.Used() })
}

// Guards against a response that finds no memory because connections hold heads.
func TestOthersReclaimMemoryOfHeads(t *testing.T) {
	const memoryLimit = 8 << 20
	s := serve(t, memoryLimit, 0)
	const clients = 60
	for range clients {
		_, _ = io.WriteString(s.dial(), "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 200)) // the connection may be closed already
	}
	eventually(t, "all heads were read or closed", func() bool { return s.Count()[Head]+int(s.Closed(NoMemory)) == clients })
	if s.Closed(NoMemory) == 0 {
		t.Error("the load was too small to use up the budget")
	}
	charges := make([]memory.Charge, 8)
	for n := range charges {
		charges[n] = s.budget.Charge()
		if !charges[n].Grow(memory.ShortBytes) {
			t.Fatalf("short body %d found no memory", n)
		}
	}
}

// Guards against a head above the limit that is read on, and against one that gets no answer.
func TestHeadAboveTheLimitIsRefused(t *testing.T) {
	s := serve(t, 0, 0)
	c := s.dial()
	go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nb: "+strings.Repeat("x", 256<<10)) }() // the connection is closed meanwhile
	if got := status(c); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d", got)
	}
	eventually(t, "the connection is closed", func() bool { return s.Count()[Head]+s.Count()[Body] == 0 })
	if s.Closed(HeadTooLong) != 1 || s.runs.Load() != 0 {
		t.Errorf("%d refused, %d run", s.Closed(HeadTooLong), s.runs.Load())
	}
}

// Guards against heads and idle connections that stay forever, and against closing one early.
func TestSweepClosesWhatTakesTooLong(t *testing.T) {
	s := serve(t, 0, 0)
	head, idle, holding := s.dial(), s.dial(), s.dial()
	s.send(head, "GET / HTTP/1.1\r\n")
	s.send(holding, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
	s.waitFor(Head, 1)
	s.waitFor(Serving, 1)
	s.waitFor(Waiting, 1)
	s.limits = Limits{HeadBytes: 1 << 20, HeadTime: 10 * sweepInterval, IdleTime: 20 * sweepInterval}
	sweep := func(n int) {
		for range n {
			s.sweep(time.Now())
		}
	}
	sweep(10)
	if n := s.Count(); n[Head] != 1 || n[Waiting] != 1 {
		t.Errorf("closed early: %v", n)
	}
	sweep(1)
	if !closed(head) || s.Closed(HeadTooSlow) != 1 {
		t.Error("the head stays")
	}
	sweep(9)
	if n := s.Count(); n[Waiting] != 1 {
		t.Errorf("closed early: %v", n)
	}
	sweep(100)
	if !closed(idle) || s.Closed(Idle) != 1 {
		t.Error("the idle connection stays")
	}
	if s.Count()[Serving] != 1 {
		t.Error("the connection in service was closed")
	}
}

// Guards against bodies that stop before their end and stay forever, and against closing one that goes on slowly.
func TestStalledBodyIsClosed(t *testing.T) {
	s := serve(t, 0, 0)
	s.limits = Limits{HeadBytes: 1 << 20, HeadTime: time.Hour, IdleTime: 10 * sweepInterval}
	c := s.dial()
	s.send(c, "POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n")
	s.waitFor(Body, 1)
	sweep := func(n int) {
		for range n {
			s.sweep(time.Now())
		}
	}
	lastRead := func() (n uint64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			n = c.lastRead
		}
		return n
	}
	sweep(8)
	s.send(c, "1")
	eventually(t, "the byte is read", func() bool { return lastRead() == 8 })
	sweep(10)
	if s.Count()[Body] != 1 {
		t.Error("closed early")
	}
	sweep(1)
	if !closed(c) || s.Closed(BodyStalled) != 1 || s.runs.Load() != 0 {
		t.Error("the body stays, or its request was served")
	}
}

// Guards against responses that a caller never reads, which hold a connection and its replica forever.
func TestUnreadResponseEndsAfterItsDeadline(t *testing.T) {
	s := serve(t, 0, 0)
	c := s.dial()
	s.send(c, "GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
	s.waitFor(Serving, 1)
	eventually(t, "the connection is closed", func() bool {
		s.sweep(time.Now())
		time.Sleep(20 * time.Millisecond) // the writes until the buffers of the system are full take some sweeps
		return s.Count()[Serving] == 0
	})
	if s.Closed(Unread) != 1 {
		t.Errorf("%d closed", s.Closed(Unread))
	}
}

// Guards against a request that is forwarded although its connection was closed, which the caller would not learn.
func TestClosedConnectionIsNotServed(t *testing.T) {
	s := serve(t, 0, 1)
	c := s.dial()
	s.send(c, "POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345")
	s.waitFor(Body, 1)
	if got := s.request(s.dial(), "/"); got != http.StatusOK {
		t.Errorf("a new caller got %d", got)
	}
	if !closed(c) || s.runs.Load() != 1 {
		t.Errorf("%d requests were served, want one", s.runs.Load())
	}
}

// Guards against long bodies that end each other, so that none of them is served.
func TestLongBodiesDoNotEndEachOther(t *testing.T) {
	s := serve(t, 64<<20, 0)
	var conns []net.Conn
	body := strings.Repeat("x", 8<<20) // the budget has room for one long body
	statuses := make(chan int, 8)
	for range cap(statuses) {
		c := s.dial()
		conns = append(conns, c)
		go func() {
			_, _ = io.WriteString(c, fmt.Sprintf("POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)) // read by the response
			statuses <- status(c)
		}()
	}
	var got []int
	for range conns {
		got = append(got, <-statuses)
	}
	if !slices.Contains(got, http.StatusOK) || s.Closed(NoMemory) != 0 {
		t.Errorf("statuses %v, %d closed", got, s.Closed(NoMemory))
	}
}

// Guards against a Set that does not stop.
func TestRunEnds(t *testing.T) {
	s := serve(t, 0, 0)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	cancel()
	<-done
}

// BenchmarkRequest compares requests on kept connections, with and without a Set.
func BenchmarkRequest(b *testing.B) {
	request := []byte("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Request: attempt-0001\r\nX-Limit-In-Ms: 4000\r\nX-Model: m\r\n" +
		"X-Token-Count: 1460,80\r\nX-Prompt-Shared: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Any-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: 5\r\n\r\nhello")
	plain := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	charged := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := Of(r)
		defer conn.ReleaseBody()
		plain(w, r)
		if !conn.GrowBody(r.ContentLength) || !conn.Serve(time.Now()) {
			b.Error("the connection was closed")
		}
	})
	run := func(serve func(l net.Listener) error) func(b *testing.B) {
		return func(b *testing.B) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() { _ = serve(l) }() // returns once the listener is closed
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			buffer := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(buffer); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	b.Run("plain", run(func(l net.Listener) error {
		return (&http.Server{Handler: plain, ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 3 * time.Minute}).Serve(l)
	}))
	b.Run("intake", run(func(l net.Listener) error {
		s := New(Options{Budget: memory.NewBudget(0), MaxConns: 1000, Limits: func() Limits { return LimitsOf(nil) }})
		return s.Serve(&http.Server{Handler: charged}, l, 1)
	}))
}
