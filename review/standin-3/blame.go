package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the play of sound prompts that share a part with those that crash replicas.
const (
	soundFirst   = "900d900d"
	newPart      = "d0c0d0c0"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	soundSpacing = 250 * time.Millisecond
	calmTime     = 12 * time.Second
	badSpacing   = time.Second
	firstBad     = 3
	lastTime     = 10 * time.Second
	minSound     = 20
)

// playBlame lets a few prompts with a first part that crashes replicas come before the first sound ones that have their second part.
func playBlame(f *fleet, trouble bool) (bool, error) {
	c := &crashing{f: f, enabled: trouble}
	for n := range promptModels {
		r, err := f.newReplica(fmt.Sprintf("i-model%02d", n+1), "lm-pool", 100+n, 0)
		if err != nil {
			return false, err
		}
		r.answer = c.answer
	}
	f.configure([]map[string]any{{
		"name": "tile-chat", "hostname": chatHost, "path_prefix": "/chat/", "service": "lm-pool", "kind": "streaming", "timeout_ms": 5000,
		"target_latency_ms": 500, "target_gap_ms": 300, "max_attempts": 1, "priority": 1, "session_affinity": true,
	}}, []map[string]any{{"name": "lm-pool", "health_path": "/healthz", "max_conns": 360, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 659492}}},
		map[string]any{"name": "hule930", "api_keys": []string{apiKey}})
	edges := []*edgeProcess{f.newEdge("edge-tw-central-a-1"), f.newEdge("edge-tw-central-a-2"), f.newEdge("edge-tw-central-a-3")}
	for _, e := range edges {
		if err := f.start(e, edges...); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(10*time.Second, edges...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	chat := func(what string, n int, first, second string) bool {
		attempt, e := newAttempt(), edges[n%len(edges)]
		f.record.line("client sends %s %s [%s,%s] to %s", what, attempt, first, second, e.name)
		header := http.Header{
			"X-Model": {"m"}, "X-Token-Usage": {"9190,52"}, "X-Api-Key": {apiKey},
			"X-Prompt-Prefix": {fmt.Sprintf("%s:2520,%s:3780,0a0a%s:2890", first, second, attempt)},
		}
		a := newClient().send(e, http.MethodPost, chatHost, "/chat/1", attempt, 5*time.Second, header, []byte("prompt"))
		f.record.line("%s answers %s: %d, complete %v (%v)", e.name, attempt, a.status, a.complete, a.err)
		return a.status == http.StatusOK && len(a.body) > 0
	}
	// sound sends sound requests for a time and returns how many there were and how many began to be answered at the first attempt.
	sound := func(what string, d time.Duration, second func(n int) string) (sent, began int) {
		var all sync.WaitGroup
		var mu sync.Mutex
		for n := range int(d / soundSpacing) {
			sent++
			all.Go(func() {
				if chat(what, n, soundFirst, second(n)) {
					mu.Lock()
					began++
					mu.Unlock()
				}
			})
			time.Sleep(soundSpacing)
		}
		all.Wait()
		return sent, began
	}
	calmSent, calmBegan := sound("sound", calmTime, func(n int) string { return fmt.Sprintf("5e55%04x", n%8) })
	stop := make(chan struct{})
	var bad sync.WaitGroup
	bad.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			chat("bad", n, badPart, newPart)
			time.Sleep(badSpacing)
		}
	})
	// The sound requests that count begin 2 x contact_ms after the first three crashes, or later.
	time.Sleep(firstBad*(badSpacing+firstEvent) + 2*contact + time.Second)
	sent, began := sound("sound", lastTime, func(int) string { return newPart })
	close(stop)
	bad.Wait()
	f.record.line("%d crashes; calm: %d of %d sound requests began; with the part's requests still coming: %d of %d", len(c.crashes), calmBegan, calmSent, began, sent)
	if calmSent < minSound || sent < minSound || calmBegan < calmSent*9/10 {
		return false, fmt.Errorf("%w: %d of %d in calm", errNotRun, calmBegan, calmSent)
	}
	return float64(began)/float64(sent) < float64(calmBegan)/float64(calmSent)/2, nil
}
