package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const streamHost = "model.example"

// playStopping kills a replica that is leaving while it still answers. Its answer has no length and ends with its connection.
func playStopping(f *fleet, trouble bool) (bool, error) {
	leaving, err := f.startReplica("i-model1", "lm-pool", 100, false)
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
	if _, err := f.startReplica("i-model2", "lm-pool", 101, false); err != nil {
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

// playStops stops an edge while a replica leaves that answers three streams of it. The replica sends all of them whole and exits right after
// the last one; until then it keeps its idle connections.
func playStops(f *fleet, trouble bool) (bool, error) {
	leaving, err := f.startReplica("i-model1", "lm-pool", 100, true)
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
	time.Sleep(4 * time.Second)
	const streams = 3
	answers := make(chan answer, streams)
	began := time.Now()
	for range streams {
		attempt := newAttempt()
		f.record.line("client sends %s", attempt)
		go func() {
			a := newClient().send(e, http.MethodPost, streamHost, "/match/7", attempt, 12*time.Second, nil, []byte("prompt"))
			f.record.line("the client of %s gets status %d, signature %q, %d of %d pieces; complete: %v (%v)", attempt, a.status, a.header.Get("X-Response-Signature"), strings.Count(string(a.body), "data: "), pieces, a.complete, a.err)
			answers <- a
		}()
		time.Sleep(200 * time.Millisecond)
	}
	if _, err := f.startReplica("i-model2", "lm-pool", 101, true); err != nil {
		return false, err
	}
	if trouble {
		leaving.drain()
	}
	time.Sleep(2500 * time.Millisecond) // drain_ms and a little longer
	if trouble {
		leaving.terminate()
		time.Sleep(time.Second)
		_ = e.cmd.Process.Signal(syscall.SIGTERM)
		f.record.line("%s is stopped", e.name)
	}
	cut := 0
	for range streams {
		a := <-answers
		if a.status != http.StatusOK {
			return false, fmt.Errorf("%w: status %d", errNotRun, a.status)
		}
		if got := strings.Count(string(a.body), "data: "); got == pieces && !a.complete {
			cut++
		}
	}
	f.record.line("%d of %d streams that their replica has sent whole ended without a complete answer, %v after they began", cut, streams, time.Since(began))
	return cut > 0, nil
}
