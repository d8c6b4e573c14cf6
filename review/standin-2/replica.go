package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replicaOptions say how a replica behaves.
type replicaOptions struct {
	id, address string
	// work is how long a plain request takes.
	work time.Duration
	// pieces and gap are those of a stream, or of a plain response without a length.
	pieces int
	gap    time.Duration
	// spoil is the share of answers of which a byte of the head is wrong.
	spoil float64
	// unframed responses have neither a length nor chunks and end with their connection.
	unframed bool
}

// replica is a stand-in for a replica that runs as a process of its own. It says on its output what it gets and does: one line for each
// arrival, run and end of a request. On a line "leave" on its input it leaves: it closes idle connections, finishes what runs and exits.
type replica struct {
	replicaOptions
	listener net.Listener
	out      sync.Mutex

	mu      sync.Mutex
	idle    map[net.Conn]bool
	leaving atomic.Bool
	working sync.WaitGroup
}

func runReplica(o replicaOptions) error {
	l, err := net.Listen("tcp4", o.address)
	if err != nil {
		return err
	}
	r := &replica{replicaOptions: o, listener: l, idle: map[net.Conn]bool{}}
	r.say("listens %s", l.Addr())
	go r.accept()
	input := bufio.NewScanner(os.Stdin)
	for input.Scan() {
		if input.Text() == "leave" {
			break
		}
	}
	r.leave()
	return nil
}

func (r *replica) say(format string, args ...any) {
	r.out.Lock()
	defer r.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.setIdle(c, true)
		go r.serve(c)
	}
}

func (r *replica) setIdle(c net.Conn, idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if idle {
		r.idle[c] = true
	} else {
		delete(r.idle, c)
	}
}

// leave is what servers do at a planned stop: they accept nothing more, close idle connections, and exit when the work has ended.
func (r *replica) leave() {
	r.leaving.Store(true)
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.idle {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.say("leaving")
	r.working.Wait()
	r.say("left")
}

func (r *replica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			r.setIdle(c, false)
			return
		}
		r.working.Add(1)
		r.setIdle(c, false)
		goesOn := r.answer(c, req)
		r.working.Done()
		if !goesOn || r.leaving.Load() {
			return
		}
		r.setIdle(c, true)
	}
}

// answer reports whether the connection stays open.
func (r *replica) answer(c net.Conn, req *http.Request) bool {
	_, _ = io.Copy(io.Discard, req.Body)
	attempt := req.Header.Get("X-Attempt-Id")
	r.say("arrives %s", attempt)
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		r.say("rejects %s for %s", attempt, expected)
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
	}
	r.say("runs %s", attempt)
	connection := ""
	if r.leaving.Load() {
		connection = "Connection: close\r\n"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\n%s", attempt, signature(r.id, attempt), connection)
	if r.spoil > 0 && rand.Float64() < r.spoil {
		head = strings.Replace(head, "X-Response-S", "X-Response-#", 1)
		r.say("spoils %s", attempt)
	}
	switch {
	case strings.HasPrefix(req.URL.Path, "/stream/"):
		return r.stream(c, attempt, head+"Content-Type: text/event-stream\r\n")
	case r.unframed && strings.HasPrefix(req.URL.Path, "/parts/"):
		if !write(c, "%sContent-Type: text/plain\r\nConnection: close\r\n\r\n", head) {
			return false
		}
		for n := range r.pieces {
			time.Sleep(r.gap)
			if !write(c, "%s", partOf(attempt, n)) {
				r.say("cut %s", attempt)
				return false
			}
		}
		r.say("ends %s whole", attempt)
		return false
	default:
		time.Sleep(r.work)
		body := bodyOf(attempt)
		ok := write(c, "%sContent-Length: %s\r\n\r\n%s", head, strconv.Itoa(len(body)), body)
		r.say("ends %s whole=%t", attempt, ok)
		return ok && connection == ""
	}
}

func (r *replica) stream(c net.Conn, attempt, head string) bool {
	if r.unframed {
		head += "Connection: close\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if !write(c, "%s\r\n", head) {
		return false
	}
	for n := 1; n <= r.pieces; n++ {
		time.Sleep(r.gap)
		piece := eventOf(attempt, n)
		if !r.unframed {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if !write(c, "%s", piece) {
			r.say("cut %s", attempt)
			return false
		}
	}
	if !r.unframed {
		write(c, "0\r\n\r\n")
	}
	r.say("ends %s whole", attempt)
	return !r.unframed
}

func write(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}

func signature(id, attempt string) string { return id + "." + attempt }

// bodyOf returns the body of a plain response.
func bodyOf(attempt string) string { return strings.Repeat("body of "+attempt+"\n", 20) }

// partOf returns a part of the body of a plain response without a length.
func partOf(attempt string, n int) string { return fmt.Sprintf("part %d of %s\n", n, attempt) }

func eventOf(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %d of %s\n\n", n, n, attempt)
}
