package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is what a replica writes to the store.
func entry(service, address, state string, born int64, seq int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "tw-central-a", "version": "v1", "slots": 6, "state": state, "cold_left_ms": 0, "seq": seq, "born": born,
	}
}

// arrival is a request that has reached a replica.
type arrival struct {
	attempt string
	at      time.Time
	parts   string
}

// replica is a replica inside the process of the stand-in. It runs each request that is meant for it.
type replica struct {
	f           *fleet
	id, service string
	address     string
	work        time.Duration
	// answer replaces the ordinary answer; it may be nil.
	answer func(r *replica, w http.ResponseWriter, q *http.Request)

	mu       sync.Mutex
	born     int64
	limit    float64
	namedAt  time.Time
	arrivals []arrival
	listener net.Listener
	server   *http.Server
	up       bool
	draining bool
	conns    map[net.Conn]bool
}

func (f *fleet) newReplica(id, service string, n int, work time.Duration) (*replica, error) {
	r := &replica{f: f, id: id, service: service, address: fmt.Sprintf("%s:8263", f.ip(n)), work: work}
	if err := r.listen(); err != nil {
		return nil, err
	}
	go r.beat()
	return r, nil
}

// listen starts an incarnation of the replica.
func (r *replica) listen() error {
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.up, r.born, r.conns = l, true, time.Now().UnixMilli(), map[net.Conn]bool{}
	r.server = &http.Server{Handler: r, ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(r.conns, c)
		} else {
			r.conns[c] = true
		}
	}}
	server := r.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the incarnation as a crashed process does: nothing listens any more and all connections are reset. It reports false if the
// incarnation has ended already.
func (r *replica) crash() bool {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return false
	}
	r.up = false
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	return true
}

// beat keeps the replica's entry in the store, as replicas do.
func (r *replica) beat() {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		r.mu.Lock()
		up, born, state := r.up, r.born, "ready"
		if r.draining {
			state = "draining"
		}
		r.mu.Unlock()
		if up {
			r.f.store.put("servers", r.id, entry(r.service, r.address, state, born, seq))
		}
		select {
		case <-r.f.stop:
			return
		case <-ticker.C:
		}
	}
}

// drain reports to the store that the replica leaves. It goes on serving.
func (r *replica) drain() {
	r.mu.Lock()
	r.draining = true
	born := r.born
	r.mu.Unlock()
	r.f.store.put("servers", r.id, entry(r.service, r.address, "draining", born, 1000))
}

// setLimit makes the replica name a limit in all answers from now on.
func (r *replica) setLimit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit, r.namedAt = perSecond, time.Now()
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	attempt := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{attempt, time.Now(), q.Header.Get("X-Prompt-Prefix")})
	limit := r.limit
	r.mu.Unlock()
	r.f.record.line("replica %s runs %s", r.id, attempt)
	if limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	w.Header().Set("X-Response-Signature", signature(r.id, attempt))
	w.Header().Set("Content-Type", "text/plain")
	if r.answer != nil {
		r.answer(r, w, q)
		return
	}
	time.Sleep(r.work)
	_, _ = w.Write(wholeBody(attempt))
}

func signature(id, attempt string) string { return "sig." + id + "." + attempt }

// wholeBody is the body of a replica's answer.
func wholeBody(attempt string) []byte {
	return []byte("answer to " + attempt + strings.Repeat(".", 700))
}

// configure writes a configuration to the store. Without tenants, requests need no key.
func (f *fleet) configure(routes, services []map[string]any, tenants ...map[string]any) {
	f.version += 3
	config := map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	}
	if len(tenants) > 0 {
		config["tenants"] = tenants
	}
	f.store.put("config", "main", config)
}
