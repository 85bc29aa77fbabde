package soak

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode is what a proxy does with the bytes that it forwards.
type Mode int

// The modes.
const (
	Pass Mode = iota
	// Delay forwards each piece proxyDelay late.
	Delay
	// Reset resets all connections, open and new.
	Reset
	// Silence forwards nothing and leaves connections open. HalfOpen does so with what
	// the server sends.
	Silence
	HalfOpen
)

const (
	proxyDelay  = 80 * time.Millisecond
	proxyBuffer = 16 << 10
	// modePoll is how often a silent proxy looks whether its mode has changed.
	modePoll = 10 * time.Millisecond
	// dialTimeout bounds the connection to the target.
	dialTimeout = time.Second
)

// Proxy forwards TCP connections to a target on loopback, and disturbs them.
type Proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target netip.AddrPort
	mode   Mode
	// passed is told of each request that a VM passes on, before it reaches the target. It
	// may be nil.
	passed func(id string)
	conns  map[net.Conn]bool
	closed bool
}

// NewProxy starts a proxy. The caller must call Close.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for proxy: %w", err)
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.acceptLoop()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetMode changes what the proxy does.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != Reset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// watch sets what is told of each request that a VM passes on.
func (p *Proxy) watch(passed func(id string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passed = passed
}

// tell tells of the requests that a VM passes on in a piece.
func (p *Proxy) tell(r *passReader, piece []byte) {
	p.mu.Lock()
	passed := p.passed
	p.mu.Unlock()
	if passed == nil {
		return
	}
	for _, id := range r.read(piece) {
		passed(id)
	}
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		c.Close()
	}
}

func reset(c net.Conn) {
	// A socket that is closed already needs no reset.
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (p *Proxy) acceptLoop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(caller net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	if !p.track(caller) {
		return
	}
	defer p.untrack(caller)
	server, err := net.DialTimeout("tcp", target.String(), dialTimeout)
	if err != nil {
		reset(caller)
		return
	}
	if !p.track(server) {
		return
	}
	defer p.untrack(server)
	done := make(chan struct{})
	go func() {
		p.forward(server, caller, false)
		close(done)
	}()
	p.forward(caller, server, true)
	<-done
}

// track adds a connection, unless the proxy resets or has been closed.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Reset {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Close()
	delete(p.conns, c)
}

// forward copies bytes until either side closes, and passes an end or a reset on.
func (p *Proxy) forward(to, from net.Conn, toCaller bool) {
	buf := make([]byte, proxyBuffer)
	var passes passReader
	for {
		n, err := from.Read(buf)
		if !toCaller {
			p.tell(&passes, buf[:n])
		}
		if n > 0 && p.await(toCaller) {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if opErr, ok := err.(*net.OpError); ok && !opErr.Timeout() {
			reset(to)
			return
		}
		if p.await(toCaller) {
			_ = to.(*net.TCPConn).CloseWrite()
		}
		return
	}
}

// await waits as the mode wants before a piece goes on, and reports whether it may.
func (p *Proxy) await(toCaller bool) bool {
	delayed := false
	for {
		p.mu.Lock()
		mode, closed := p.mode, p.closed
		p.mu.Unlock()
		switch {
		case closed || mode == Reset:
			return false
		case mode == Delay && !delayed:
			delayed = true
			time.Sleep(proxyDelay)
		case mode == Silence, mode == HalfOpen && toCaller:
			time.Sleep(modePoll)
		default:
			return true
		}
	}
}
