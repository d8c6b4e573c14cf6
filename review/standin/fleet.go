package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Names of the deployment, which a process learns from the configuration and the settings.
const (
	routeHost = "ficu95.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	tenant    = "hule930"
)

// class is a kind of request of the sheet of furano-sachet.
type class struct {
	name, path, kind string
	service          string
	perSecond        float64
	deadline         time.Duration
	timeout          time.Duration
	target, gap      time.Duration
	attempts         int
	resumable        bool
	events           int
	bodyBytes        int
	shared, own, out int
}

var classes = []class{
	{name: "lotcert", path: "/lohu930/", kind: "streaming", service: "sachetlm", perSecond: 14.4, deadline: 8 * time.Second, timeout: 8 * time.Second, target: 1500 * time.Millisecond, gap: time.Second, attempts: 2, resumable: true, events: 24, bodyBytes: 17000, shared: 13300, own: 3720, out: 120},
	{name: "blendask", path: "/beni204/", kind: "streaming", service: "sachetlm", perSecond: 9.87, deadline: 5 * time.Second, timeout: 5 * time.Second, target: 600 * time.Millisecond, gap: 400 * time.Millisecond, attempts: 1, events: 10, bodyBytes: 9200, shared: 6300, own: 2890, out: 50},
	{name: "packnote", path: "/pato118/", kind: "streaming", service: "sachetlm", perSecond: 15.2, deadline: 10 * time.Second, timeout: 10 * time.Second, target: 300 * time.Millisecond, gap: 250 * time.Millisecond, attempts: 2, resumable: true, events: 34, bodyBytes: 1500, shared: 350, own: 1110, out: 170},
	{name: "budbook", path: "/puxa403/", kind: "non_idempotent", service: "allotdesk", perSecond: 9.87, deadline: 2500 * time.Millisecond, timeout: 1200 * time.Millisecond, target: 150 * time.Millisecond, attempts: 1, bodyBytes: 600},
	{name: "stockpeek", path: "/cufi504/", kind: "idempotent", service: "allotdesk", perSecond: 5.64, deadline: 2500 * time.Millisecond, timeout: 1200 * time.Millisecond, target: 150 * time.Millisecond, attempts: 2},
}

func eventsOf(path string) (int, bool) {
	for _, c := range classes {
		if c.events > 0 && strings.HasPrefix(path, c.path) {
			return c.events, true
		}
	}
	return 0, false
}

func configuration(version int) map[string]any {
	var routes []any
	for i, c := range classes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "hostname": routeHost, "path_prefix": c.path, "service": c.service, "kind": c.kind,
			"timeout_ms": c.timeout.Milliseconds(), "target_latency_ms": c.target.Milliseconds(), "target_gap_ms": c.gap.Milliseconds(),
			"max_attempts": c.attempts, "priority": min(i, 2), "resumable": c.resumable, "anonymous": false, "session_affinity": c.events > 0,
		})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "sachetlm", "health_path": "/healthz", "max_conns": 370, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 457128}},
			map[string]any{"name": "allotdesk", "health_path": "/healthz", "max_conns": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 10000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}}},
	}
}

// Fleet is a small deployment on loopback.
type Fleet struct {
	rec   *Record
	dir   string
	store *Store
	proxy *Proxy // between the edges and the store
	edges []*Edge

	mu       sync.Mutex
	replicas []*Replica
}

// freeNet returns a prefix of loopback addresses at which the fixed ports are free.
func freeNet(edges int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for n := 1; n <= edges && free; n++ {
			for _, port := range []int{portFront, portReady, portControl, portPeers, 9180} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", prefix, n, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func newFleet(rec *Record, edges, lm, desk, memoryMB int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{rec: rec, dir: dir}
	if f.store, err = newStore("127.0.0.1:0"); err != nil {
		return f, err
	}
	if f.proxy, err = newProxy(f.store.address); err != nil {
		return f, err
	}
	f.store.Put("config", "main", configuration(1))
	for n := range lm + desk {
		service := "sachetlm"
		if n >= lm {
			service = "allotdesk"
		}
		r, err := newReplica(rec, f.store, "127.0.0.1:0", fmt.Sprintf("i-%02d%08x", n, rand.Uint32()), service, "furano-1")
		if err != nil {
			return f, err
		}
		f.replicas = append(f.replicas, r)
	}
	prefix, err := freeNet(edges)
	if err != nil {
		return f, err
	}
	var seeds []string
	for n := range min(3, edges) {
		seeds = append(seeds, fmt.Sprintf("%s%d", prefix, n+1))
	}
	for n := range edges {
		e, err := newEdge(rec, dir, fmt.Sprintf("edge-%d", n+1), fmt.Sprintf("%s%d", prefix, n+1), f.proxy.address(), seeds, memoryMB)
		if err != nil {
			return f, err
		}
		if err := e.start(); err != nil {
			return f, err
		}
		go e.supervise()
		f.edges = append(f.edges, e)
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range f.edges {
			if e.ready() {
				ready++
			}
		}
		if ready == edges {
			rec.line("all edges are ready")
			return f, nil
		}
		if time.Now().After(end) {
			return f, errors.New("the edges do not become ready")
		}
	}
}

func (f *Fleet) close() {
	for _, e := range f.edges {
		e.stop()
	}
	for _, r := range f.replicas {
		r.close()
	}
	if f.store != nil {
		_ = f.store.server.Close()
	}
	_ = os.RemoveAll(f.dir)
}

func (f *Fleet) addReplicas(list ...*Replica) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas = append(f.replicas, list...)
}

// runsOf returns the runs of an attempt at all replicas.
func (f *Fleet) runsOf(attempt string) []*Run {
	var all []*Run
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		r.mu.Lock()
		all = append(all, r.runs[attempt]...)
		r.mu.Unlock()
	}
	return all
}

// user is one client of the sheet: it is always forwarded to the same edge, and keeps its connections.
type user struct {
	edge *Edge
	mu   sync.Mutex
	idle []*Client
}

func (u *user) take() *Client {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := len(u.idle); n > 0 {
		c := u.idle[n-1]
		u.idle = u.idle[:n-1]
		return c
	}
	return &Client{edge: u.edge}
}

func (u *user) put(c *Client) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idle = append(u.idle, c)
}

// wavePeriod and waveSwing are those of the site file: the rate is its mean times 1 + swing * sin.
const (
	wavePeriod = 13 * time.Second
	waveSwing  = 0.55
)

func wave(at time.Duration) float64 {
	return 1 + waveSwing*math.Sin(2*math.Pi*at.Seconds()/wavePeriod.Seconds())
}

func (c *class) request() *Request {
	q := &Request{id: newID(), path: c.path + "2f", method: http.MethodPost, deadline: c.deadline, body: strings.Repeat("b", c.bodyBytes), header: map[string]string{}}
	if c.kind == "idempotent" {
		q.method = http.MethodGet
	}
	if c.events > 0 {
		q.header["X-Model"] = "m"
		q.header["X-Token-Usage"] = fmt.Sprintf("%d,%d", c.shared+c.own, c.out)
		q.header["X-Prompt-Prefix"] = fmt.Sprintf("5c1e%04x:%d,%08x:%d", rand.IntN(190), c.shared, rand.Uint32(), c.own)
	}
	return q
}
