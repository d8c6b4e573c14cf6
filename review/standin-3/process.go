package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// replicaProcess is a replica in a process of its own, so that it can be killed. SIGTERM makes it stop as ordinary servers do: it accepts
// no connections any more, goes on with its answers and exits after the last one. Idle connections end at once; if keepsIdle is set, all
// open connections end with the process.
type replicaProcess struct {
	f           *fleet
	id, service string
	address     string
	born        int64
	cmd         *exec.Cmd
	done        chan struct{}

	mu    sync.Mutex
	state string
}

func (f *fleet) startReplica(id, service string, n int, keepsIdle bool) (*replicaProcess, error) {
	r := &replicaProcess{f: f, id: id, service: service, address: fmt.Sprintf("%s:8263", f.ip(n)), born: time.Now().UnixMilli(), done: make(chan struct{}), state: "ready"}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r.cmd = exec.Command(self, "replica", r.address, id, fmt.Sprint(keepsIdle))
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = r.cmd.Wait(); close(r.done) }()
	for range 100 {
		if c, err := net.Dial("tcp4", r.address); err == nil {
			_ = c.Close()
			go r.beat()
			return r, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("%w: replica %s does not listen", errNotRun, id)
}

// beat writes the entry to the store until the process has ended.
func (r *replicaProcess) beat() {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		r.write(seq)
		select {
		case <-r.f.stop:
			r.kill()
			return
		case <-r.done:
			return
		case <-ticker.C:
		}
	}
}

func (r *replicaProcess) write(seq int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.f.store.put("servers", r.id, entry(r.service, r.address, r.state, r.born, seq))
}

// drain reports to the store that the replica leaves.
func (r *replicaProcess) drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.write(1000)
	r.f.record.line("replica %s is draining", r.id)
}

func (r *replicaProcess) terminate() {
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
	r.f.record.line("replica %s accepts no connections any more", r.id)
}

func (r *replicaProcess) kill() {
	_ = r.cmd.Process.Kill()
	<-r.done
}

const (
	// pieces is the number of events of a stream, one in each pieceTime.
	pieces    = 80
	pieceTime = 100 * time.Millisecond
)

func piece(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n, n, pieces) }

// runReplica is the process of a replicaProcess. Its streams have neither a length nor chunks and end with their connections.
func runReplica(address, id string, keepsIdle bool) int {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	var running atomic.Int32
	var stopping atomic.Bool
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		attempt := q.Header.Get("X-Attempt-Id")
		w.Header().Set("X-Attempt-Id", attempt)
		w.Header().Set("X-Instance-Id", id)
		if q.URL.Path == "/healthz" {
			w.WriteHeader(http.StatusOK)
			return
		}
		if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		running.Add(1)
		first := 1
		if after := q.Header.Get("Last-Event-Id"); after != "" {
			_, _ = fmt.Sscan(after, &first)
			first++
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			running.Add(-1)
			return
		}
		defer func() {
			if running.Add(-1) == 0 && stopping.Load() {
				os.Exit(0)
			}
			_ = conn.Close()
		}()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, signature(id, attempt))
		for n := first; n <= pieces; n++ {
			time.Sleep(pieceTime)
			if _, err := conn.Write([]byte(piece(n))); err != nil {
				return
			}
		}
	})}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go func() { _ = server.Serve(l) }()
	<-term
	if keepsIdle {
		_ = l.Close()
	} else {
		_ = server.Shutdown(context.Background())
	}
	stopping.Store(true)
	for running.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return 0
}
