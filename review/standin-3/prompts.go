package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the play of prompts that crash replicas.
const (
	chatHost      = "chat.example"
	badPart       = "bad0bad0"
	promptModels  = 18
	burstSize     = 12
	burstTime     = 300 * time.Millisecond
	bursts        = 4
	burstInterval = 6 * time.Second
	backAfter     = 2500 * time.Millisecond
	firstEvent    = 400 * time.Millisecond
	maxLateBad    = 3 // requests that the rule allows
)

// crashing is the state of all replicas of the play.
type crashing struct {
	f       *fleet
	enabled bool

	mu      sync.Mutex
	crashes []time.Time
}

// answer streams five events, or crashes the replica when it begins to write an answer on the bad part.
func (c *crashing) answer(r *replica, w http.ResponseWriter, q *http.Request) {
	time.Sleep(firstEvent)
	if c.enabled && strings.Contains(q.Header.Get("X-Prompt-Prefix"), badPart+":") {
		if at := time.Now(); r.crash() {
			c.mu.Lock()
			c.crashes = append(c.crashes, at)
			n := len(c.crashes)
			c.mu.Unlock()
			c.f.record.line("replica %s crashes on %s (crash %d)", r.id, q.Header.Get("X-Attempt-Id"), n)
			time.AfterFunc(backAfter, func() {
				if err := r.listen(); err != nil {
					c.f.record.line("replica %s is not back: %v", r.id, err)
				}
			})
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 10; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of 10\n\n", n, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// playPrompts sends prompts with one part that crashes replicas to three edges, several at the same moment.
func playPrompts(f *fleet, trouble bool) (bool, error) {
	c := &crashing{f: f, enabled: trouble}
	var replicas []*replica
	for n := range promptModels {
		r, err := f.newReplica(fmt.Sprintf("i-model%02d", n+1), "lm-pool", 100+n, 0)
		if err != nil {
			return false, err
		}
		r.answer = c.answer
		replicas = append(replicas, r)
	}
	f.configure([]map[string]any{{
		"name": "tile-chat", "hostname": chatHost, "path_prefix": "/chat/", "service": "lm-pool", "kind": "streaming", "timeout_ms": 5000,
		"target_latency_ms": 500, "target_gap_ms": 300, "max_attempts": 1, "priority": 1, "session_affinity": true,
	}}, []map[string]any{{"name": "lm-pool", "health_path": "/healthz", "max_conns": 360, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 659492}}})
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
	stop := make(chan struct{})
	var sound sync.WaitGroup
	served, soundSent := 0, 0
	var mu sync.Mutex
	chat := func(e *edgeProcess, what, first string, n int) answer {
		attempt := newAttempt()
		f.record.line("client sends %s %s to %s", what, attempt, e.name)
		header := http.Header{
			"X-Model": {"m"}, "X-Token-Usage": {"9190,52"}, "X-Prompt-Prefix": {fmt.Sprintf("%s:2520,5e55%04x:3780,0a0a%s:2890", first, n, attempt)},
		}
		a := newClient().send(e, http.MethodPost, chatHost, "/chat/1", attempt, 5*time.Second, header, []byte("prompt"))
		f.record.line("%s answers %s: %d, complete %v (%v)", e.name, attempt, a.status, a.complete, a.err)
		return a
	}
	for i, e := range edges {
		sound.Go(func() {
			for n := i; ; n += len(edges) {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				a := chat(e, "sound", "900d900d", n%16)
				mu.Lock()
				soundSent++
				if a.status == http.StatusOK && a.complete {
					served++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	var bad sync.WaitGroup
	for b := range bursts {
		for n := range burstSize {
			bad.Go(func() { chat(edges[n%len(edges)], "bad", badPart, b*burstSize+n) })
			time.Sleep(burstTime / burstSize)
		}
		time.Sleep(burstInterval - burstTime)
	}
	bad.Wait()
	close(stop)
	sound.Wait()
	f.record.line("%d of %d sound requests served, %d crashes", served, soundSent, len(c.crashes))
	if served == 0 {
		return false, fmt.Errorf("%w: no sound request was served", errNotRun)
	}
	if len(c.crashes) < 5 {
		return false, nil
	}
	c.mu.Lock()
	slices.SortFunc(c.crashes, time.Time.Compare)
	c.mu.Unlock()
	late := 0
	for _, r := range replicas {
		r.mu.Lock()
		for _, a := range r.arrivals {
			if strings.HasPrefix(a.parts, badPart+":") && a.at.Sub(c.crashes[4]) > contact {
				late++
			}
		}
		r.mu.Unlock()
	}
	f.record.line("%d requests with the part reached replicas later than %v after the fifth crash; the rule allows at most %d", late, contact, maxLateBad)
	return late > maxLateBad, nil
}
