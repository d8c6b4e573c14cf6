package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
	"github.com/dragonflypin/dragonflypin/internal/standin/engine"
)

// Guards against mixed, incomplete or lost responses when there are more concurrent requests than slots.
func TestConcurrentRequestsGetTheirOwnCompleteResponses(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		_, server := f.engine(engine.Options{})
		f.sidecar(fmt.Sprintf("lm-pool-%d", i), "lm-pool", settings.KindEngine, server.URL, nil)
	}
	r := f.entry("entry-1", nil)
	r.waitReady(t, 3)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			content := fmt.Sprintf("letter %d", i)
			class := []string{"chat", "draft"}[i%2]
			checkCompleted(t, r.chat(content, 30, true, "Dragonflypin-Class", class), content)
		})
	}
	wg.Wait()
}

// startStream sends a streamed request and reads its first event.
func (r *runningEntry) startStream(ctx context.Context, t *testing.T, content string, maxTokens int) *openStream {
	t.Helper()
	resp, err := client().Do(newRequest(ctx, http.MethodPost, r.url+"/v1/chat/completions", chatBody(content, maxTokens, true)))
	must(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	body := bufio.NewReader(resp.Body)
	_, err = body.ReadString('\n')
	must(t, err)
	return &openStream{resp: resp, body: body}
}

// openStream is a streamed response of which a part has been read.
type openStream struct {
	resp *http.Response
	body *bufio.Reader
}

// readRest reads the stream to its end.
func (s *openStream) readRest() response {
	var b strings.Builder
	_, err := s.body.WriteTo(&b)
	return response{status: s.resp.StatusCode, header: s.resp.Header, trailer: s.resp.Trailer, body: b.String(), err: err}
}

// Guards against streams that the graceful shutdown of an entry or sidecar interrupts.
func TestDrainCompletesEveryStream(t *testing.T) {
	for _, role := range []string{"entry", "sidecar"} {
		t.Run(role, func(t *testing.T) {
			_, _, s, r := startSingle(t, engine.Options{TokenMs: 3})
			var streams []*openStream
			for i := range 8 {
				streams = append(streams, r.startStream(context.Background(), t, fmt.Sprintf("stream %d", i), 100))
			}
			if role == "entry" {
				r.stop()
				eventually(t, time.Second, "refusal while draining", func() bool {
					resp := r.chat("late", 5, false)
					return resp.status == http.StatusServiceUnavailable && resp.code() == string(outcome.CodeDraining) && resp.header.Get("Retry-After") != ""
				})
				ready := send(newRequest(context.Background(), "GET", "http://"+r.entry.AddrOperator()+"/readyz", ""))
				if ready.status != http.StatusServiceUnavailable {
					t.Errorf("readyz responds with %d while draining", ready.status)
				}
			} else {
				s.stop()
			}
			for i, st := range streams {
				resp := st.readRest()
				if resp.err != nil || resp.outcome() != "completed" || !strings.HasSuffix(strings.TrimSpace(resp.body), "data: [DONE]") {
					t.Errorf("stream %d: outcome %q error %v end %.80q", i, resp.outcome(), resp.err, resp.body[max(0, len(resp.body)-80):])
				}
			}
			r.shutdown(t)
			s.shutdown(t)
		})
	}
}

// Guards against a stream that looks complete, or reports another outcome than interrupted, after the engine closed its
// connection.
func TestEngineFailureMidStreamReportsInterrupted(t *testing.T) {
	f := newFixture(t)
	e := engine.New(engine.Options{TokenMs: 50})
	server := httptest.NewServer(e)
	defer server.Close()
	f.sidecar("lm-pool-1", "lm-pool", settings.KindEngine, server.URL, nil)
	r := f.entry("entry-1", nil)
	r.waitReady(t, 1)
	stream := r.startStream(context.Background(), t, "interrupted", 2000)
	server.CloseClientConnections()
	resp := stream.readRest()
	if resp.err != nil || resp.trailer.Get(outcome.HeaderOutcome) != "interrupted" {
		t.Errorf("trailer %v error %v", resp.trailer, resp.err)
	}
	events := strings.Split(strings.TrimSpace(resp.body), "\n\n")
	last := strings.TrimPrefix(events[len(events)-1], "data: ")
	errorEvent := response{body: last}
	if errorEvent.code() != string(outcome.CodeUpstreamFailed) || strings.Contains(resp.body, "[DONE]") {
		t.Errorf("last event %q", last)
	}
}

// Guards against an engine that continues to generate after its caller has disconnected.
func TestCallerDisconnectCancelsTheEngineRun(t *testing.T) {
	_, e, s, r := startSingle(t, engine.Options{TokenMs: 100})
	ctx, cancel := context.WithCancel(context.Background())
	r.startStream(ctx, t, "leave", 5000)
	cancel()
	eventually(t, time.Second, "engine cancels the run", func() bool { return e.Runs()[0].State == "cancelled" })
	eventually(t, time.Second, "slot is free", func() bool { return s.sidecar.Load().Running == 0 })
}

// udpProxy forwards datagrams between an entry and a sidecar. While it drops them, each side sees the other as killed.
type udpProxy struct {
	entrySide *net.UDPConn
	dropping  atomic.Bool
}

func newUDPProxy(tb testing.TB, to string) *udpProxy {
	tb.Helper()
	entrySide, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(tb, err)
	target, err := net.ResolveUDPAddr("udp", to)
	must(tb, err)
	sidecarSide, err := net.DialUDP("udp", nil, target)
	must(tb, err)
	tb.Cleanup(func() { _ = entrySide.Close(); _ = sidecarSide.Close() })
	p := &udpProxy{entrySide: entrySide}
	var client atomic.Pointer[net.UDPAddr]
	go p.forward(entrySide.ReadFromUDP, func(b []byte, from *net.UDPAddr) { client.Store(from); _, _ = sidecarSide.Write(b) })
	go p.forward(sidecarSide.ReadFromUDP, func(b []byte, _ *net.UDPAddr) { _, _ = entrySide.WriteToUDP(b, client.Load()) })
	return p
}

func (p *udpProxy) forward(read func([]byte) (int, *net.UDPAddr, error), write func([]byte, *net.UDPAddr)) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := read(buf)
		if err != nil {
			return
		}
		if !p.dropping.Load() {
			write(buf[:n], from)
		}
	}
}

// Guards against slots that remain occupied by the requests of a killed entry.
func TestSlotsOfKilledEntryAreFreedWithinThreeSeconds(t *testing.T) {
	f := newFixture(t)
	e, server := f.engine(engine.Options{TokenMs: 100})
	s := f.sidecar("lm-pool-1", "lm-pool", settings.KindEngine, server.URL, nil)
	proxy := newUDPProxy(t, s.sidecar.AddrPeer())
	f.listSidecar("lm-pool-1", "lm-pool", settings.KindEngine, proxy.entrySide.LocalAddr().String(), "live")
	r := f.entry("entry-1", nil)
	r.waitReady(t, 1)
	for i := range 4 {
		r.startStream(context.Background(), t, fmt.Sprint("kill ", i), 30000)
	}
	if n := s.sidecar.Load().Running; n != 4 {
		t.Fatalf("%d slots occupied, want 4", n)
	}
	proxy.dropping.Store(true)
	eventually(t, 3*time.Second, "slots are free", func() bool { return s.sidecar.Load().Running == 0 })
	eventually(t, time.Second, "engine cancels the runs", func() bool {
		for _, run := range e.Runs() {
			if run.State != "cancelled" {
				return false
			}
		}
		return true
	})
}

// Guards against new requests for an upstream that the instance list shows as leaving.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	f := newFixture(t)
	first, one := f.engine(engine.Options{})
	_, two := f.engine(engine.Options{})
	s := f.sidecar("lm-pool-1", "lm-pool", settings.KindEngine, one.URL, nil)
	f.sidecar("lm-pool-2", "lm-pool", settings.KindEngine, two.URL, nil)
	r := f.entry("entry-1", nil)
	r.waitReady(t, 2)
	var wg sync.WaitGroup
	for i := range 24 { // more than one engine's slots
		wg.Go(func() { r.chat(fmt.Sprint("before ", i), 50, false) })
	}
	wg.Wait()
	if len(first.Runs()) == 0 {
		t.Fatal("no request ran on the first engine while it was live")
	}
	f.listSidecar("lm-pool-1", "lm-pool", settings.KindEngine, s.sidecar.AddrPeer(), "leaving")
	time.Sleep(3 * time.Second)
	before := len(first.Runs())
	for i := range 100 {
		if resp := r.chat(fmt.Sprint("after ", i), 2, false); resp.outcome() != "completed" {
			t.Errorf("request %d: %+v", i, resp)
		}
	}
	if n := len(first.Runs()); n != before {
		t.Errorf("%d requests ran on a leaving upstream", n-before)
	}
}

// Guards against a second execution of a call that may have run, by the router or by the HTTP transport.
func TestNonIdempotentCallIsNeverRetried(t *testing.T) {
	f := newFixture(t)
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler) // the call has run, but its response is lost
	}))
	defer server.Close()
	for i := range 2 {
		f.sidecar(fmt.Sprintf("order-svc-%d", i), "order-svc", settings.KindPlain, server.URL, nil)
	}
	r := f.entry("entry-1", nil)
	r.waitReady(t, 2)
	for i := range 20 {
		resp := send(newRequest(context.Background(), "POST", r.url+"/services/order-svc/orders", "{}", "Idempotency-Key", fmt.Sprint("k", i)))
		if resp.outcome() != "unknown" || resp.status != http.StatusBadGateway {
			t.Errorf("call %d: status %d outcome %q", i, resp.status, resp.outcome())
		}
	}
	if n := calls.Load(); n != 20 {
		t.Errorf("20 calls ran %d times", n)
	}
	before := calls.Load()
	if resp := send(newRequest(context.Background(), "GET", r.url+"/services/order-svc/orders", "")); resp.outcome() != "unknown" || calls.Load() == before+1 {
		t.Errorf("an idempotent call ran %d times, outcome %q; want a retry", calls.Load()-before, resp.outcome())
	}
}

// Guards against a deadline that passes without a response, and against a wrong outcome of running and waiting requests.
func TestDeadlines(t *testing.T) {
	f := newFixture(t)
	_, server := f.engine(engine.Options{TokenMs: 20})
	s := f.sidecar("lm-pool-1", "lm-pool", settings.KindEngine, server.URL, func(c *settings.Sidecar) { c.Slots = 1 })
	r := f.entry("entry-1", nil)
	r.waitReady(t, 1)
	resp := r.chat("too long", 500, false, "Dragonflypin-Class", "short-timeout")
	if resp.status != http.StatusGatewayTimeout || resp.code() != string(outcome.CodeTimeout) || resp.outcome() != "interrupted" {
		t.Errorf("running request: status %d code %q outcome %q", resp.status, resp.code(), resp.outcome())
	}
	eventually(t, time.Second, "slot is free", func() bool { return s.sidecar.Load().Running == 0 })
	r.startStream(context.Background(), t, "occupies the slot", 100)
	waiting := r.chat("no slot", 5, false, "Dragonflypin-Class", "short-timeout")
	if waiting.status != http.StatusServiceUnavailable || waiting.code() != string(outcome.CodeDeadline) || waiting.outcome() != "not_run" {
		t.Errorf("waiting request: status %d code %q outcome %q", waiting.status, waiting.code(), waiting.outcome())
	}
}

// Guards against an overload that sheds protected requests, and against unprotected requests that wait in a long queue
// instead of being refused with a Retry-After.
func TestOverloadShedsUnprotectedRequestsOnly(t *testing.T) {
	f := newFixture(t)
	_, server := f.engine(engine.Options{TokenMs: 4})
	f.sidecar("lm-pool-1", "lm-pool", settings.KindEngine, server.URL, func(c *settings.Sidecar) { c.Slots = 2 })
	r := f.entry("entry-1", nil)
	r.waitReady(t, 1)
	var refused atomic.Int64
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			if i%3 == 0 {
				content := fmt.Sprint("protected ", i)
				checkCompleted(t, r.chat(content, 30, true), content)
				return
			}
			resp := r.chat(fmt.Sprint("unprotected ", i), 30, true, "Dragonflypin-Class", "unprotected")
			if resp.outcome() == "completed" {
				return
			}
			refused.Add(1)
			if resp.status != http.StatusServiceUnavailable || resp.code() != string(outcome.CodeSaturated) || resp.outcome() != "not_run" || resp.header.Get("Retry-After") == "" {
				t.Errorf("refusal: status %d code %q outcome %q header %v", resp.status, resp.code(), resp.outcome(), resp.header)
			}
		})
	}
	wg.Wait()
	if refused.Load() == 0 {
		t.Error("60 requests for 2 slots were all admitted")
	}
}
