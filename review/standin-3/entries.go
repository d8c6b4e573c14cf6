package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the DRAIN rule and of its play.
const (
	drainBound     = 2 * time.Second
	foreignEntries = 150
	foreignBytes   = 1_000_000
	foreignSpacing = 15 * time.Millisecond
	drainTraffic   = 12 // requests a second to each edge
	servesOn       = 9 * time.Second
)

// playEntries lets a replica leave just after another writer has written large entries that can't be read.
func playEntries(f *fleet, trouble bool) (bool, error) {
	var replicas []*replica
	for n := range 3 {
		r, err := f.newReplica(fmt.Sprintf("i-order%d", n+1), "order-svc", 100+n, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
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
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for _, e := range edges {
		for n := range drainTraffic {
			clients.Go(func() {
				c := newClient()
				time.Sleep(time.Duration(n) * time.Second / drainTraffic)
				for {
					attempt := newAttempt()
					a := c.send(e, http.MethodGet, limitHost, "/stock/7", attempt, 2500*time.Millisecond, nil, nil)
					f.record.line("%s answers %s: %d %v", e.name, attempt, a.status, a.err)
					mu.Lock()
					if a.status == http.StatusOK {
						served++
					}
					mu.Unlock()
					select {
					case <-stop:
						return
					case <-time.After(time.Second):
					}
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		unreadable := json.RawMessage(`"` + strings.Repeat("x", foreignBytes) + `"`)
		began := time.Now()
		for n := range foreignEntries {
			time.Sleep(time.Until(began.Add(time.Duration(n) * foreignSpacing)))
			f.store.put("servers", fmt.Sprintf("other-%03d", n), unreadable)
		}
		f.record.line("another writer has written %d entries of %d bytes", foreignEntries, foreignBytes)
	}
	time.Sleep(300 * time.Millisecond)
	leaving := replicas[0]
	leaving.drain()
	acknowledged := time.Now()
	f.record.line("the store has acknowledged that %s is draining", leaving.id)
	time.Sleep(servesOn)
	close(stop)
	clients.Wait()
	late, last := 0, time.Duration(0)
	leaving.mu.Lock()
	for _, a := range leaving.arrivals {
		if after := a.at.Sub(acknowledged); after > drainBound {
			late, last = late+1, after
		}
	}
	leaving.mu.Unlock()
	f.record.line("%d answers with success; %d requests reached %s later than %v after the acknowledgement, the last one %.1f s after it", served, late, leaving.id, drainBound, last.Seconds())
	if served < 50 {
		return false, fmt.Errorf("%w: %d answers", errNotRun, served)
	}
	return late > 0, nil
}
