package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// forgottenConnection: replicas drop idle connections without notice, and one of them crashes while it sends an answer without a length.
func forgottenConnection(f *fleet, trouble bool) int {
	const (
		replicas, edges = 7, 1
		// orders are the requests that run when the replica crashes.
		orders  = 14
		pieces  = 10
		gap     = "100ms"
		forget  = 300 * time.Millisecond // x of idle_race
		service = "order-svc"
	)
	var proxies []*proxy
	for i := range replicas {
		r, err := f.addReplica(fmt.Sprintf("i-%08x", 0x71c0+i), service, "-unframed", "-pieces", fmt.Sprint(pieces), "-gap", gap, "-work", "150ms")
		if err != nil {
			return f.failed(err)
		}
		rest := time.Duration(0)
		if trouble && i < replicas/2 { // share 0.5
			rest = forget
		}
		p, err := startProxy(r.address, rest)
		if err != nil {
			return f.failed(err)
		}
		proxies = append(proxies, p)
		r.register(p.address)
	}
	f.configure(7, route("order", "non_idempotent", service, map[string]any{"timeout_ms": 5000}),
		route("parts", "non_idempotent", service, map[string]any{"timeout_ms": 5000}))
	if err := f.addEdges(edges, nil); err != nil {
		return f.failed(err)
	}
	if !f.waitReady(15 * time.Second) {
		return f.failed(fmt.Errorf("edges are not ready"))
	}
	front := f.edges[0].front
	wrong, checked := 0, 0
	var mu sync.Mutex
	send := func(path string, judge bool) {
		c, err := dial(front)
		if err != nil {
			f.note("client can't connect: %v", err)
			return
		}
		defer c.close()
		attempt := newAttempt()
		f.note("client sends %s %s", path, attempt)
		got := c.send("POST", path, attempt, 5*time.Second)
		f.note("client gets %d for %s, signature %q, %d bytes, complete %t: %v", got.status, attempt, got.signature, len(got.body), got.complete, got.err)
		if !judge {
			return
		}
		whole := ""
		for n := range pieces {
			whole += partOf(attempt, n)
		}
		mu.Lock()
		defer mu.Unlock()
		checked++
		if got.status == 200 && got.complete && got.body != whole {
			wrong++
			f.say("client gets a success with a complete body for %s: %d of %d parts of what the replica had to send", attempt, strings.Count(got.body, "part"), pieces)
		}
	}
	together := func(n int, path string, judge bool) {
		var work sync.WaitGroup
		for range n {
			work.Go(func() { send(path, judge) })
		}
		work.Wait()
	}
	// Some requests at the same time leave idle connections to each replica.
	for range 2 {
		together(6*replicas, "/order/1", false)
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		time.AfterFunc(550*time.Millisecond, func() {
			f.say("replica %s crashes (SIGKILL)", f.replicas[0].id)
			f.replicas[0].stop()
			_ = f.replicas[0].cmd.Process.Kill()
		})
	}
	together(orders, "/parts/1", true)
	for i, p := range proxies {
		p.mu.Lock()
		f.note("replica %s dropped %d idle connections without notice; on %d of them something was sent later", f.replicas[i].id, p.forgotten, p.resets)
		p.mu.Unlock()
	}
	f.say("successes with a complete body that is not the replica's whole body: %d of %d", wrong, checked)
	if wrong > 0 {
		return broken
	}
	return held
}
