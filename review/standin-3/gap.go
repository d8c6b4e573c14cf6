package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the play of streams with one wrong byte.
const (
	gapShare     = 0.02 // of the answers of two of four replicas
	gapClients   = 32
	gapTime      = 40 * time.Second
	gapPieces    = 40
	gapPieceTime = 20 * time.Millisecond
	gapHost      = "draft.example"
)

// playGap lets two of four replicas hand out wrong bytes in their streams: one digit in the ID of one event.
func playGap(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	spoiled := 0
	stream := func(r *replica, w http.ResponseWriter, q *http.Request) {
		first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		wrong := 0
		if trouble && (r.id == "i-model1" || r.id == "i-model2") && first == 0 && rand.Float64() < gapShare {
			wrong = 10*(1+rand.IntN(gapPieces/10-1)) + 1 + rand.IntN(5)
			mu.Lock()
			spoiled++
			mu.Unlock()
			f.record.line("replica %s spoils the ID of piece %d of %s", r.id, wrong, q.Header.Get("X-Attempt-Id"))
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for n := first + 1; n <= gapPieces; n++ {
			id := []byte(strconv.Itoa(n))
			if n == wrong {
				id[len(id)-1] += 3
			}
			_, _ = fmt.Fprintf(w, "id: %s\ndata: piece %d of %d\n\n", id, n, gapPieces)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(gapPieceTime)
		}
	}
	for n := range 4 {
		r, err := f.newReplica(fmt.Sprintf("i-model%d", n+1), "lm-pool", 100+n, 0)
		if err != nil {
			return false, err
		}
		r.answer = stream
	}
	f.configure([]map[string]any{{
		"name": "listing-draft", "hostname": gapHost, "path_prefix": "/draft/", "service": "lm-pool", "kind": "streaming", "timeout_ms": 12000,
		"target_latency_ms": 300, "target_gap_ms": 200, "max_attempts": 2, "priority": 0, "resumable": true,
	}}, []map[string]any{{"name": "lm-pool", "health_path": "/healthz", "max_conns": 360}})
	edges := []*edgeProcess{f.newEdge("edge-tw-central-a-1"), f.newEdge("edge-tw-central-a-2")}
	for _, e := range edges {
		if err := f.start(e, edges...); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(10*time.Second, edges...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	served, wrong := 0, 0
	end := time.Now().Add(gapTime)
	for n := range gapClients {
		clients.Go(func() {
			c, e := newClient(), edges[n%len(edges)]
			for time.Now().Before(end) {
				attempt := newAttempt()
				a := c.send(e, http.MethodPost, gapHost, "/draft/7", attempt, 12*time.Second, nil, []byte("prompt"))
				if a.status != http.StatusOK || !a.complete || a.header.Get("X-Response-Signature") == "" {
					f.record.line("%s answers %s: %d, complete %v (%v)", e.name, attempt, a.status, a.complete, a.err)
					continue
				}
				var missing []int
				for n := 1; n <= gapPieces; n++ {
					if !strings.Contains(string(a.body), fmt.Sprintf("data: piece %d of", n)) {
						missing = append(missing, n)
					}
				}
				mu.Lock()
				served++
				if len(missing) > 0 {
					wrong++
					f.record.line("%s answers %s: 200, complete, without the pieces %v", e.name, attempt, missing)
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	f.record.line("%d complete streams, %d spoiled by their replicas, %d complete streams with pieces missing", served, spoiled, wrong)
	if served < 100 {
		return false, fmt.Errorf("%w: %d streams", errNotRun, served)
	}
	return wrong > 0, nil
}
