package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Replica is a server of one service that registers itself in the store.
type Replica struct {
	id, service, zone, address string
	rec                        *Record
	store                      *Store
	server                     *http.Server
	seq                        atomic.Int64
	state                      atomic.Value // "ready" or "draining"
	stopBeat                   context.CancelFunc
	// fault serves a request in place of the sound handler when it returns true; it may be nil.
	fault func(r *Replica, w http.ResponseWriter, q *http.Request, run *Run) bool

	mu   sync.Mutex
	runs map[string][]*Run
}

// Run is one request on which a replica has begun to work.
type Run struct {
	replica string
	began   time.Time
	last    string
	ended   atomic.Bool
}

// beatInterval is heartbeat_ms of the settings.
const beatInterval = 1200 * time.Millisecond

func newReplica(rec *Record, store *Store, address, id, service, zone string) (*Replica, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	r := &Replica{id: id, service: service, zone: zone, address: listener.Addr().String(), rec: rec, store: store, runs: map[string][]*Run{}}
	r.state.Store("ready")
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeat = cancel
	r.beat()
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(beatInterval):
				r.beat()
			}
		}
	}()
	return r, nil
}

func (r *Replica) beat() {
	r.store.Put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 64, "state": r.state.Load(),
		"cold_left_ms": 0, "stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"seq": r.seq.Add(1),
	})
}

func (r *Replica) close() {
	r.stopBeat()
	_ = r.server.Close()
}

func signature(replica, attempt string) string { return "s." + replica + "." + attempt }

// plainBody is the whole body of a response that is not a stream.
func plainBody(attempt string) string { return "answer to " + attempt + strings.Repeat(".", 780) }

func streamEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of the answer, with some text\n\n", n, n)
}

func streamBody(events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(streamEvent(n))
	}
	return b.String()
}

// Times of a sound replica.
const (
	firstEventAfter = 120 * time.Millisecond
	eventGap        = 30 * time.Millisecond
	orderTime       = 30 * time.Millisecond
)

func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.ReadAll(q.Body); err != nil {
		return
	}
	run := &Run{replica: r.id, began: time.Now(), last: q.Header.Get("Last-Event-Id")}
	r.mu.Lock()
	r.runs[attempt] = append(r.runs[attempt], run)
	r.mu.Unlock()
	defer run.ended.Store(true)
	if ms, err := strconv.Atoi(q.Header.Get("X-Deadline-Ms")); err == nil {
		ctx, cancel := context.WithTimeout(q.Context(), time.Duration(ms)*time.Millisecond)
		defer cancel()
		q = q.WithContext(ctx)
	}
	if r.fault != nil && r.fault(r, w, q, run) {
		return
	}
	w.Header().Set("X-Response-Signature", signature(r.id, attempt))
	if events, ok := eventsOf(q.URL.Path); ok {
		r.stream(w, q, events)
		return
	}
	sleep(q.Context(), orderTime)
	if q.Context().Err() == nil {
		body := plainBody(attempt)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
}

func (r *Replica) stream(w http.ResponseWriter, q *http.Request, events int) {
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	sleep(q.Context(), firstEventAfter)
	for n := first; n <= events; n++ {
		if q.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, streamEvent(n))
		_ = flush.Flush()
		sleep(q.Context(), eventGap)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
