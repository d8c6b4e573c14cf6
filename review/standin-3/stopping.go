package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const streamHost = "model.example"

// playStopping kills a replica that is leaving while it still answers. Its answer has no length and ends with its connection.
func playStopping(f *fleet, trouble bool) (bool, error) {
	leaving, err := f.startReplica("i-model1", "lm-pool", 100)
	if err != nil {
		return false, err
	}
	f.configure([]map[string]any{{
		"name": "catalogue-match", "hostname": streamHost, "path_prefix": "/match/", "service": "lm-pool", "kind": "streaming", "timeout_ms": 12000,
		"target_latency_ms": 1500, "target_gap_ms": 800, "max_attempts": 2, "priority": 2, "resumable": true,
	}}, []map[string]any{{"name": "lm-pool", "health_path": "/healthz", "max_conns": 360}})
	e := f.newEdge("edge-tw-central-a-1")
	if err := f.start(e, e); err != nil {
		return false, err
	}
	if err := f.waitReady(10*time.Second, e); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	attempt := newAttempt()
	answers := make(chan answer, 1)
	go func() {
		answers <- newClient().send(e, http.MethodPost, streamHost, "/match/7", attempt, 12*time.Second, nil, []byte("prompt"))
	}()
	time.Sleep(500 * time.Millisecond)
	if _, err := f.startReplica("i-model2", "lm-pool", 101); err != nil {
		return false, err
	}
	leaving.drain()
	time.Sleep(2500 * time.Millisecond) // drain_ms and a little longer
	leaving.terminate()
	if trouble {
		time.Sleep(3900*time.Millisecond + pieceTime/2)
		leaving.kill()
		f.record.line("replica %s is killed", leaving.id)
	}
	a := <-answers
	got := strings.Count(string(a.body), "data: ")
	f.record.line("the client gets status %d, signature %q, %d of %d pieces; complete: %v (%v)", a.status, a.header.Get("X-Response-Signature"), got, pieces, a.complete, a.err)
	if a.status != http.StatusOK || got == 0 {
		return false, fmt.Errorf("%w: status %d, %d pieces", errNotRun, a.status, got)
	}
	return a.complete && got < pieces, nil
}
