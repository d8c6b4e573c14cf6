package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the play of answers with one wrong byte.
const (
	garbleShare   = 0.02 // of the answers of two of four replicas
	garbleClients = 24
	garblePause   = 60 * time.Millisecond
	garbleTime    = 40 * time.Second
	idleTimeout   = time.Second
	garbleWork    = 30 * time.Millisecond
)

// garbling is a replica that answers in chunks, keeps connections for idleTimeout, and spoils one byte in the head of some answers.
type garbling struct {
	f       *fleet
	id      string
	address string
	share   float64
	spoilt  *spoilt
}

// spoilt are the attempts whose answers were spoiled.
type spoilt struct {
	sync.Mutex
	attempts map[string]bool
}

func (g *garbling) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go g.serveConn(c)
	}
}

func (g *garbling) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := r.Peek(1); err != nil {
			return // idle for too long, or closed by the caller
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if _, err := c.Write(g.answer(q)); err != nil {
			return
		}
	}
}

// answer returns the bytes of the answer to a request.
func (g *garbling) answer(q *http.Request) []byte {
	attempt := q.Header.Get("X-Attempt-Id")
	keep := fmt.Sprintf("Keep-Alive: timeout=%d\r\n", int(idleTimeout.Seconds()))
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != g.id {
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n%s\r\n", attempt, g.id, keep)
	}
	if q.URL.Path == "/healthz" {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n%s\r\n", g.id, keep)
	}
	g.f.record.line("replica %s runs %s", g.id, attempt)
	time.Sleep(garbleWork)
	body := wholeBody(attempt)
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Type: text/plain\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", attempt, signature(g.id, attempt), keep, len(body), body)
	if rand.Float64() < g.share {
		g.f.record.line("replica %s spoils one byte of the answer to %s", g.id, attempt)
		g.spoilt.Lock()
		g.spoilt.attempts[attempt] = true
		g.spoilt.Unlock()
		answer[bytes.Index(answer, []byte("Transfer-Encoding"))+len("Transfer-Encodin")] = 'f'
	}
	return answer
}

// playGarble lets two of four replicas hand out wrong bytes.
func playGarble(f *fleet, trouble bool) (bool, error) {
	s := &spoilt{attempts: map[string]bool{}}
	born := time.Now().UnixMilli()
	for n := range 4 {
		g := &garbling{f: f, id: fmt.Sprintf("i-order%d", n+1), address: fmt.Sprintf("%s:8263", f.ip(100+n)), spoilt: s}
		if trouble && n < 2 {
			g.share = garbleShare
		}
		l, err := net.Listen("tcp4", g.address)
		if err != nil {
			return false, err
		}
		defer func() { _ = l.Close() }()
		go g.serve(l)
		go func() {
			for seq := 1; ; seq++ {
				f.store.put("servers", g.id, entry("order-svc", g.address, "ready", born, seq))
				select {
				case <-f.stop:
					return
				case <-time.After(1200 * time.Millisecond):
				}
			}
		}()
	}
	f.configure([]map[string]any{{
		"name": "stock-lookup", "hostname": limitHost, "path_prefix": "/stock/", "service": "order-svc", "kind": "idempotent", "timeout_ms": 1200,
		"target_latency_ms": 150, "max_attempts": 2, "priority": 2,
	}}, []map[string]any{{"name": "order-svc", "health_path": "/healthz", "max_conns": 100}})
	edges := []*edgeProcess{f.newEdge("edge-tw-central-a-1"), f.newEdge("edge-tw-central-a-2")}
	for _, e := range edges {
		if err := f.start(e, edges...); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(10*time.Second, edges...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	served, wrong := 0, 0
	end := time.Now().Add(garbleTime)
	for n := range garbleClients {
		clients.Go(func() {
			c, e := newClient(), edges[n%len(edges)]
			for time.Now().Before(end) {
				attempt := newAttempt()
				a := c.send(e, http.MethodGet, limitHost, "/stock/7", attempt, 2500*time.Millisecond, nil, nil)
				f.record.line("%s answers %s: %d, %d bytes (%v)", e.name, attempt, a.status, len(a.body), a.err)
				mu.Lock()
				if a.status == http.StatusOK && a.complete && a.header.Get("X-Response-Signature") != "" {
					served++
					if !bytes.Equal(a.body, wholeBody(attempt)) {
						wrong++
						f.record.line("the body of %s is wrong: %q ... %q", attempt, a.body[:min(8, len(a.body))], a.body[max(0, len(a.body)-8):])
					}
				}
				mu.Unlock()
				time.Sleep(garblePause)
			}
		})
	}
	clients.Wait()
	f.record.line("%d successes, %d answers spoiled, %d successes with a wrong body", served, len(s.attempts), wrong)
	if served < 100 {
		return false, fmt.Errorf("%w: %d successes", errNotRun, served)
	}
	return wrong > 0, nil
}
