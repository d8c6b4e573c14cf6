package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// leavingReplica: streams without a length or chunks run on a replica that leaves as planned, while the edge that took them is stopped as
// planned. The replica finishes each of them.
func leavingReplica(f *fleet, trouble bool) int {
	const (
		replicas, edges, streams = 2, 2, 6
		// pieces and gap: each stream takes 5 s, half of its deadline.
		pieces   = 50
		gap      = "100ms"
		deadline = 10 * time.Second
		service  = "lm-pool"
		drain    = 2 * time.Second // drain_ms of the settings
		grace    = 8 * time.Second // grace_s of the settings
	)
	for i := range replicas {
		r, err := f.addReplica(fmt.Sprintf("i-%08x", 0x61b0+i), service, "-unframed", "-pieces", fmt.Sprint(pieces), "-gap", gap)
		if err != nil {
			return f.failed(err)
		}
		r.register(r.address)
	}
	f.configure(7, route("stream", "streaming", service, map[string]any{"timeout_ms": 10000}))
	if err := f.addEdges(edges, nil); err != nil {
		return f.failed(err)
	}
	if !f.waitReady(15 * time.Second) {
		return f.failed(fmt.Errorf("edges are not ready"))
	}
	time.Sleep(2 * time.Second)
	stopped := f.edges[0]
	type result struct {
		attempt string
		sent    time.Time
		got     answer
	}
	results := make(chan result, streams)
	var work sync.WaitGroup
	for n := range streams {
		work.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			c, err := dial(stopped.front)
			if err != nil {
				f.note("client can't connect: %v", err)
				return
			}
			defer c.close()
			attempt, sent := newAttempt(), time.Now()
			f.note("client sends stream %s to %s", attempt, stopped.name)
			got := c.send("POST", "/stream/1", attempt, deadline)
			f.note("client gets %d for %s, signature %q, %d events, complete %t: %v", got.status, attempt, got.signature, strings.Count(got.body, "data:"), got.complete, got.err)
			results <- result{attempt, sent, got}
		})
	}
	time.Sleep(time.Second)
	term := time.Now()
	leaving := f.replicas[0]
	if trouble {
		leaving.drain(leaving.address)
		f.say("SIGTERM for %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
		// The replica serves for drain_ms after the report and a little longer, and exits once its work has ended.
		time.Sleep(drain + 300*time.Millisecond)
		f.say("replica %s accepts no more connections, closes idle ones, and exits when its work has ended", leaving.id)
		leaving.leave()
	}
	work.Wait()
	close(results)
	cut := 0
	for r := range results {
		ranWhole := ""
		for _, p := range f.replicas {
			if p.hasEndedWhole(r.attempt) {
				ranWhole = p.id
			}
		}
		afterTerm := r.got.at.Sub(term)
		// The replica has sent the whole answer, in time and not in the last sixth of grace_s.
		if ranWhole != "" && !r.got.complete && r.got.at.Sub(r.sent) < deadline && afterTerm < grace*5/6 {
			cut++
			f.say("replica %s has sent the whole stream %s; its client got %d of %d events and a connection that ended without the end of the answer, %.2f s after the SIGTERM",
				ranWhole, r.attempt, strings.Count(r.got.body, "data:"), pieces, afterTerm.Seconds())
		}
	}
	f.say("streams that were cut: %d of %d", cut, streams)
	if !trouble {
		// Without planned work rule LOST says nothing of these streams; none is cut all the same.
		if cut > 0 {
			return f.failed(fmt.Errorf("streams are cut without planned work"))
		}
		return held
	}
	if cut > 0 {
		return broken
	}
	return held
}
