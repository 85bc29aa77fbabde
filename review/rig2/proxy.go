package main

import (
	"io"
	"net"
	"sync"
)

// proxy stands for the network between an engine and all others. While a direction is cut, nothing
// passes there; what was sent is passed once the cut has healed, the end of a connection too.
type proxy struct {
	to       string
	listener net.Listener
	// in is the way to the engine, and out the way from it.
	in, out gate
}

// gate is one direction of a proxy.
type gate struct {
	mu sync.Mutex
	// open is closed while there is no cut.
	open chan struct{}
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open != nil {
		close(g.open)
		g.open = nil
	}
}

func (g *gate) await() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open != nil {
		<-open
	}
}

func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, listener: l}
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

func (p *proxy) serve(c *net.TCPConn) {
	defer c.Close()
	p.in.await()
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		c.SetLinger(0)
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	go pass(c, s.(*net.TCPConn), &p.in, done)
	go pass(s.(*net.TCPConn), c, &p.out, done)
	<-done
	<-done
}

// pass passes bytes on, and the end of the connection as the sender's network would: an end as an
// end, a reset as a reset.
func pass(from, to *net.TCPConn, g *gate, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		g.await()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF {
			to.CloseWrite()
			return
		}
		if err != nil {
			to.SetLinger(0)
			to.Close()
			return
		}
	}
}
