package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// Figures of the CONFIG rule and of its play.
const (
	configBound  = 2 * time.Second
	maxStretch   = 5 * time.Second
	turnedAway   = 9 * time.Second
	withdrawnKey = "k1withdrawn4bd0c7"
	otherKey     = "k2stays9910ab3f"
)

// playWithdrawn takes a key away while the store turns one of three edges away that were added when the machines of their seeds were down.
// PART=store plays it with the seeds up.
func playWithdrawn(f *fleet, trouble bool) (bool, error) {
	if _, err := f.newReplica("i-order1", "order-svc", 100, 20*time.Millisecond); err != nil {
		return false, err
	}
	routes := []map[string]any{{
		"name": "stock-lookup", "hostname": limitHost, "path_prefix": "/stock/", "service": "order-svc", "kind": "idempotent", "timeout_ms": 1200,
		"target_latency_ms": 150, "max_attempts": 2, "priority": 2,
	}}
	services := []map[string]any{{"name": "order-svc", "health_path": "/healthz", "max_conns": 100}}
	f.configure(routes, services, map[string]any{"name": "hule930", "api_keys": []string{withdrawnKey}}, map[string]any{"name": "fida11", "api_keys": []string{otherKey}})
	edges, err := f.addEdgesWithoutSeeds(trouble && os.Getenv("PART") != "store")
	if err != nil {
		return false, err
	}
	clients := make([]*client, len(edges))
	for i := range clients {
		clients[i] = newClient()
	}
	ask := func(i int, key string) int {
		attempt := newAttempt()
		a := clients[i].send(edges[i], http.MethodGet, limitHost, "/stock/7", attempt, 2500*time.Millisecond, http.Header{"X-Api-Key": {key}}, nil)
		f.record.line("%s answers %s with key %s: %d %v", edges[i].name, attempt, key[:2], a.status, a.err)
		return a.status
	}
	for i := range edges {
		if got := ask(i, withdrawnKey); got != http.StatusOK {
			return false, fmt.Errorf("%w: status %d before the change", errNotRun, got)
		}
	}
	refused := edges[2]
	if trouble {
		f.store.turnAway(refused.store, true)
		f.record.line("the store turns %s away", refused.name)
	}
	began := time.Now()
	time.Sleep(300 * time.Millisecond)
	f.configure(routes, services, map[string]any{"name": "hule930", "api_keys": []string{}}, map[string]any{"name": "fida11", "api_keys": []string{otherKey}})
	acknowledged := time.Now()
	f.record.line("the store has acknowledged the version without the key")
	late := make([]int, len(edges))
	for time.Since(began) < turnedAway {
		for i := range edges {
			sent := time.Now()
			if ask(i, withdrawnKey) == http.StatusOK && sent.Sub(acknowledged) > configBound+maxStretch {
				late[i]++
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	f.store.turnAway(refused.store, false)
	for i, e := range edges {
		f.record.line("%s: %d requests with the withdrawn key ran that were sent later than %v after the acknowledgement", e.name, late[i], configBound+maxStretch)
	}
	if got := ask(0, otherKey); got != http.StatusOK {
		return false, fmt.Errorf("%w: status %d with the other key", errNotRun, got)
	}
	return late[0]+late[1]+late[2] > 0, nil
}
