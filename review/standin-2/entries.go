package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// largeEntries: another writer writes entries that can't be read among the replicas', each within the store's limit for an object.
func largeEntries(f *fleet, trouble bool) int {
	const (
		replicas, edges, clients = 3, 3, 8
		// entries are written 20 ms apart: an eighth of writes_per_s, 400, and below half of the store's link of 1,000 Mbit/s.
		entries = 150
		spacing = 20 * time.Millisecond
		// restart is the delay after which the platform starts a process that has ended.
		restart = 500 * time.Millisecond
		// entryBytes is below value_bytes of the settings, 1,048,576.
		entryBytes = 1_000_000
		service    = "order-svc"
		// allowed is the number of requests that rule LOST allows to be cut.
		allowed = 3
	)
	for i := range replicas {
		r, err := f.addReplica(fmt.Sprintf("i-%08x", 0x51a0+i), service, "-work", "400ms")
		if err != nil {
			return f.failed(err)
		}
		r.register(r.address)
	}
	f.configure(7, route("order", "non_idempotent", service, map[string]any{"timeout_ms": 2500, "target_latency_ms": 500}))
	if err := f.addEdges(edges, nil); err != nil {
		return f.failed(err)
	}
	if !f.waitReady(15 * time.Second) {
		return f.failed(fmt.Errorf("edges are not ready"))
	}
	f.say("all edges are ready")
	if f.waitReady(5*time.Second) && f.anyEnded() {
		return f.failed(fmt.Errorf("an edge has ended before the disruption"))
	}

	var stop atomic.Bool
	var lost, answered, unread atomic.Int64
	var work sync.WaitGroup
	for _, e := range f.edges {
		for range clients {
			work.Go(func() {
				for !stop.Load() {
					c, err := dial(e.front)
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					for used := 0; !stop.Load(); used++ {
						attempt := newAttempt()
						f.note("client sends order %s to %s on a connection that was used %d times", attempt, e.name, used)
						got := c.send("POST", "/order/1", attempt, 2500*time.Millisecond)
						if got.err == nil {
							f.note("client gets %d for %s, signature %q, complete %t", got.status, attempt, got.signature, got.complete)
							answered.Add(1)
							if got.status != 200 {
								time.Sleep(500 * time.Millisecond) // the client comes back later
							}
							continue
						}
						f.note("client gets no answer for %s from %s: %v", attempt, e.name, got.err)
						if used > 0 && f.arrivedAtReplica(attempt) {
							lost.Add(1)
						} else {
							unread.Add(1)
						}
						break
					}
					c.close()
				}
			})
		}
	}
	ends := f.restartEnded(restart, &stop)
	time.Sleep(4 * time.Second)
	if trouble {
		// Text in no JSON form that an entry has: a list where an object is expected.
		spec := json.RawMessage(`["` + strings.Repeat("x", entryBytes) + `"]`)
		f.say("another writer writes %d entries of %d bytes", entries, len(spec))
		for i := range entries {
			f.store.put("servers", fmt.Sprintf("other-%02d", i), spec)
			time.Sleep(spacing)
		}
	}
	time.Sleep(8 * time.Second)
	stop.Store(true)
	work.Wait()
	for _, e := range f.edges {
		for _, line := range e.logLines("panic: ", 1) {
			f.say("%s: %s", e.name, line)
		}
	}
	f.say("largest response to a watch: %d bytes; ends of the %d edges' processes by themselves: %d", f.store.largestWatch, edges, ends.Load())
	f.say("answers: %d; requests from kept connections that a sound replica got and whose connection ended without an answer: %d (allowed: %d); others without an answer: %d",
		answered.Load(), lost.Load(), allowed, unread.Load())
	if lost.Load() > allowed {
		return broken
	}
	return held
}

// restartEnded starts edges again that have ended, as the platform does, and returns how often one had ended.
func (f *fleet) restartEnded(delay time.Duration, stop *atomic.Bool) *atomic.Int64 {
	var ends atomic.Int64
	for _, e := range f.edges {
		go func() {
			for !stop.Load() {
				if !e.hasEnded() {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				ends.Add(1)
				time.Sleep(delay)
				if err := e.start(); err != nil {
					f.note("%s does not start: %v", e.name, err)
					return
				}
			}
		}()
	}
	return &ends
}

func (f *fleet) anyEnded() bool {
	for _, e := range f.edges {
		if e.hasEnded() {
			return true
		}
	}
	return false
}

// arrivedAtReplica reports whether a replica got the request.
func (f *fleet) arrivedAtReplica(attempt string) bool {
	for range 10 {
		for _, r := range f.replicas {
			if r.hasArrived(attempt) {
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}
