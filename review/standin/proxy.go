package main

import (
	"net"
	"sync"
)

// Proxy forwards connections to the store. While it is cut it forwards nothing: bytes on open connections wait, and
// connections opened meanwhile stay silent for good, as those whose first packets are lost.
type Proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cut  bool
	open chan struct{} // closed while the proxy forwards
}

func newProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, open: make(chan struct{})}
	close(p.open)
	go p.serve()
	return p, nil
}

func (p *Proxy) address() string { return p.listener.Addr().String() }

func (p *Proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case cut && !p.cut:
		p.open = make(chan struct{})
	case !cut && p.cut:
		close(p.open)
	}
	p.cut = cut
}

func (p *Proxy) state() (cut bool, open chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut, p.open
}

func (p *Proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if cut, _ := p.state(); cut {
			go swallow(in)
			continue
		}
		out, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go p.copy(in, out)
		go p.copy(out, in)
	}
}

// swallow reads until the other side gives up.
func swallow(c net.Conn) {
	buffer := make([]byte, 4096)
	for {
		if _, err := c.Read(buffer); err != nil {
			_ = c.Close()
			return
		}
	}
}

func (p *Proxy) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if _, open := p.state(); open != nil {
			<-open
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
