package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is one client attempt.
type Request struct {
	id, method, path, body string
	header                 map[string]string
	deadline               time.Duration
}

// Answer is what a client saw of its attempt.
type Answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
	kept     bool
	took     time.Duration
}

// Client keeps one connection open for many requests and opens another one when it ends.
type Client struct {
	edge *Edge
	conn net.Conn
	r    *bufio.Reader
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *Client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends one attempt and never repeats it.
func (c *Client) do(q *Request) (a Answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	a.kept = c.conn != nil
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.edge.addr(portFront), time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n",
		q.method, q.path, routeHost, q.id, q.deadline.Milliseconds(), apiKey)
	for name, value := range q.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	if _, err := io.WriteString(c.conn, head.String()+"\r\n"+q.body); err != nil {
		a.err = err
		c.close()
		return a
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(body), err, err == nil
	if err != nil || resp.Close {
		c.close()
	}
	return a
}
