package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// traffic sends requests one after the other on kept connections of several clients, and gives each answer to judge.
func (f *fleet) traffic(clients, each int, method, path string, judge func(attempt string, got answer)) {
	var work sync.WaitGroup
	for n := range clients {
		e := f.edges[n%len(f.edges)]
		work.Go(func() {
			var c *client
			for range each {
				if c == nil {
					var err error
					if c, err = dial(e.front); err != nil {
						f.note("client can't connect: %v", err)
						time.Sleep(100 * time.Millisecond)
						continue
					}
				}
				attempt := newAttempt()
				f.note("client sends %s %s %s to %s", method, path, attempt, e.name)
				got := c.send(method, path, attempt, 2500*time.Millisecond)
				f.note("client gets %d for %s, signature %q, %d bytes, complete %t: %v", got.status, attempt, got.signature, len(got.body), got.complete, got.err)
				judge(attempt, got)
				if got.err != nil {
					c.close()
					c = nil
				}
			}
			if c != nil {
				c.close()
			}
		})
	}
	work.Wait()
}

// unsignedSuccess: replicas hand out wrong bytes. One byte of the head of a few answers is wrong, in the name of the signature's header.
func unsignedSuccess(f *fleet, trouble bool) int {
	const (
		replicas, edges, clients, each = 4, 2, 16, 60
		service                        = "order-svc"
	)
	for i := range replicas {
		flags := []string{"-work", "20ms"}
		if trouble && i < replicas/2 { // share 0.5 of the replicas spoil x = 0.02 of their answers
			flags = append(flags, "-spoil", "0.02")
		}
		r, err := f.addReplica(fmt.Sprintf("i-%08x", 0x81d0+i), service, flags...)
		if err != nil {
			return f.failed(err)
		}
		r.register(r.address)
	}
	f.configure(7, route("lookup", "idempotent", service, map[string]any{"timeout_ms": 1200, "target_latency_ms": 150, "max_attempts": 2}))
	if err := f.addEdges(edges, nil); err != nil {
		return f.failed(err)
	}
	if !f.waitReady(15 * time.Second) {
		return f.failed(fmt.Errorf("edges are not ready"))
	}
	var successes, unsigned atomic.Int64
	f.traffic(clients, each, "GET", "/lookup/1", func(attempt string, got answer) {
		if got.err != nil || got.status/100 != 2 {
			return
		}
		successes.Add(1)
		if got.signature == "" && unsigned.Add(1) <= 3 {
			f.say("client gets a success without a signature for %s", attempt)
		}
	})
	f.say("successes: %d; without the replica's signature: %d", successes.Load(), unsigned.Load())
	switch {
	case successes.Load() == 0:
		return f.failed(fmt.Errorf("nothing was served"))
	case unsigned.Load() > 0:
		return broken
	}
	return held
}

// incompleteEntry: another writer writes one entry among the replicas', in which five of the eight fields are missing. A server that is no
// replica has its address and answers 404 to everything.
func incompleteEntry(f *fleet, trouble bool) int {
	const (
		replicas, edges, clients, each = 3, 2, 16, 40
		service                        = "order-svc"
	)
	for i := range replicas {
		r, err := f.addReplica(fmt.Sprintf("i-%08x", 0x91e0+i), service, "-work", "20ms")
		if err != nil {
			return f.failed(err)
		}
		r.register(r.address)
	}
	f.configure(7, route("order", "non_idempotent", service, map[string]any{"timeout_ms": 1200, "target_latency_ms": 150}))
	if err := f.addEdges(edges, nil); err != nil {
		return f.failed(err)
	}
	if !f.waitReady(15 * time.Second) {
		return f.failed(fmt.Errorf("edges are not ready"))
	}
	// The server listens in both cases.
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return f.failed(err)
	}
	var foreign atomic.Int64
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			foreign.Add(1)
			f.note("the server that is no replica gets %s %s, attempt %s", r.Method, r.URL.Path, r.Header.Get("X-Attempt-Id"))
			http.NotFound(w, r)
		}))
	}()
	if trouble {
		f.store.put("servers", "console-1", map[string]any{"service": service, "address": l.Addr().String(), "state": "ready"})
		f.say("another writer has written the entry console-1 without zone, version, slots, cold_left_ms and seq")
	}
	time.Sleep(3 * time.Second)
	var sent, served, denied atomic.Int64
	f.traffic(clients, each, "POST", "/order/1", func(attempt string, got answer) {
		sent.Add(1)
		switch {
		case got.err == nil && got.status == 200 && got.signature != "":
			served.Add(1)
		case got.err == nil && got.status >= 300 && got.status < 500 && got.status != 408 && got.status != 421 && got.status != 429 && got.signature == "":
			if denied.Add(1) <= 3 {
				f.say("client gets %d without a replica's signature for the order %s: %q", got.status, attempt, got.body)
			}
		}
	})
	allowed := 5 + float64(sent.Load())/500
	f.say("orders: %d; served: %d; ended with a 3xx or 4xx that is no replica's: %d (allowed: %.1f); requests at the server that is no replica: %d",
		sent.Load(), served.Load(), denied.Load(), allowed, foreign.Load())
	switch {
	case served.Load() == 0:
		return f.failed(fmt.Errorf("nothing was served"))
	case float64(denied.Load()) > allowed:
		return broken
	}
	return held
}
