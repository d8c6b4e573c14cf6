package main

import (
	"net"
	"sync"
	"time"
)

// proxy stands between the edges and a replica. With forget it makes the replica drop connections that have rested for that long, without
// notice: the other side learns of it only by the reset of what it sends next.
type proxy struct {
	address, target string
	listener        net.Listener
	forget          time.Duration

	mu sync.Mutex
	// forgotten is the number of connections that were dropped, and resets of those on which something was sent after that.
	forgotten, resets int
}

func startProxy(target string, forget time.Duration) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l, forget: forget}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

// link is one connection through the proxy.
type link struct {
	proxy        *proxy
	edge, server *net.TCPConn

	mu sync.Mutex
	// working is set from the first byte of a request until the first pause of the response; lastByte is the time of the last byte.
	lastByte  time.Time
	fromEdge  int
	fromReply int
	forgotten bool
}

func (p *proxy) serve(c *net.TCPConn) {
	up, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		// The replica refuses connections: so does its address.
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	l := &link{proxy: p, edge: c, server: up.(*net.TCPConn), lastByte: time.Now()}
	go l.back()
	if p.forget > 0 {
		go l.rest()
	}
	l.forth()
}

// forth copies what the edge sends.
func (l *link) forth() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := l.edge.Read(buffer)
		l.mu.Lock()
		forgotten := l.forgotten
		l.lastByte = time.Now()
		l.fromEdge += n
		l.mu.Unlock()
		switch {
		case forgotten && n > 0:
			l.proxy.mu.Lock()
			l.proxy.resets++
			l.proxy.mu.Unlock()
			_ = l.edge.SetLinger(0)
			_ = l.edge.Close()
			return
		case forgotten:
			_ = l.edge.Close()
			return
		case n > 0:
			if _, err := l.server.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = l.server.Close() // the edge has closed the connection
			return
		}
	}
}

// back copies what the replica sends, and ends the connection as the replica's side ends.
func (l *link) back() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := l.server.Read(buffer)
		l.mu.Lock()
		forgotten := l.forgotten
		l.lastByte = time.Now()
		l.fromReply += n
		l.mu.Unlock()
		if forgotten {
			return // the edge's side stays as it is
		}
		if n > 0 {
			if _, err := l.edge.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if err.Error() != "EOF" {
			_ = l.edge.SetLinger(0) // a reset stays a reset
		}
		_ = l.edge.Close()
		return
	}
}

// rest drops the connection once it has rested for the time: no byte was under way, and no request waits for its response.
func (l *link) rest() {
	for range time.Tick(10 * time.Millisecond) {
		l.mu.Lock()
		rested := time.Since(l.lastByte) >= l.proxy.forget && (l.fromEdge == 0 || l.fromReply > 0)
		if rested {
			l.forgotten = true
		}
		l.mu.Unlock()
		if rested {
			l.proxy.mu.Lock()
			l.proxy.forgotten++
			l.proxy.mu.Unlock()
			_ = l.server.Close()
			return
		}
	}
}
