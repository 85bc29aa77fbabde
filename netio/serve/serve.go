// Package serve runs HTTP handlers on nbhttp. It adds what nbhttp leaves out:
// a handler learns that its caller has gone or reads nothing, an oversized
// body gets an answer, and a panic ends one request only.
package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/sirupsen/logrus"
)

// maxHeader is the room for request headers on top of a body, in bytes.
const maxHeader = 64 << 10

// maxConns bounds the connections of one server.
const maxConns = 100_000

// sendBuffer bounds what the kernel holds for a caller that reads slowly, in
// bytes. Left alone, it takes up to several megabytes for each.
const sendBuffer = 64 << 10

// keepAlive is how long an idle connection stays open.
const keepAlive = 120 * time.Second

// watchInterval is how often callers of quiet responses are looked after.
const watchInterval = 250 * time.Millisecond

func init() { logging.SetLevel(logging.LevelNone) }

// Config describes a Server.
type Config struct {
	Addr    netip.AddrPort
	Handler http.Handler
	// MaxBody is the largest request body in bytes.
	MaxBody int
	// WriteTimeout is how long a caller may read nothing.
	WriteTimeout time.Duration
	Log          *logrus.Logger
}

// Server serves HTTP on one address. Make it with New.
type Server struct {
	conf   Config
	engine *nbhttp.Engine
	addr   netip.AddrPort
	stop   chan struct{}
	closed sync.Once

	mu sync.Mutex
	// watched holds the responses in progress whose callers may leave.
	watched map[*Caller]struct{}
}

// New starts a server.
func New(c Config) (*Server, error) {
	// nbhttp may hang when it can't listen, so it is handed a listener that
	// does.
	l, err := net.Listen("tcp", c.Addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %v: %w", c.Addr, err)
	}
	s := &Server{conf: c, stop: make(chan struct{}), watched: map[*Caller]struct{}{}}
	s.addr = l.Addr().(*net.TCPAddr).AddrPort()
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:       "tcp",
		Addrs:         []string{c.Addr.String()},
		IOMod:         nbhttp.IOModBlocking,
		MaxLoad:       maxConns,
		KeepaliveTime: keepAlive,
		NPoller:       1,
		Listen:        func(network, addr string) (net.Listener, error) { return l, nil },
		Handler:       http.HandlerFunc(s.handle),
	})
	s.engine.OnOpen(s.opened)
	s.engine.OnClose(func(c net.Conn, err error) { c.Close() })
	if err := s.engine.Start(); err != nil {
		l.Close()
		return nil, fmt.Errorf("start server on %v: %w", c.Addr, err)
	}
	go s.watch()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return netip.AddrPortFrom(s.addr.Addr().Unmap(), s.addr.Port())
}

// Close ends all connections at once.
func (s *Server) Close() error {
	var err error
	s.closed.Do(func() { err = s.shutdown() })
	return err
}

func (s *Server) shutdown() error {
	close(s.stop)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.engine.Shutdown(ctx); err != nil {
		return fmt.Errorf("close server on %v: %w", s.addr, err)
	}
	return nil
}

// opened puts a guard between nbhttp and the socket.
func (s *Server) opened(c net.Conn) {
	nc, ok := c.(*nbhttp.Conn)
	if !ok {
		return
	}
	tcp, ok := nc.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	if err := tcp.SetWriteBuffer(sendBuffer); err != nil {
		s.conf.Log.WithError(err).Debug("set send buffer")
	}
	nc.Conn = &guard{
		TCPConn:      tcp,
		owner:        nc,
		maxRequest:   s.conf.MaxBody + maxHeader,
		writeTimeout: s.conf.WriteTimeout,
	}
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	caller := s.caller(w)
	ctx, cancel := context.WithCancelCause(r.Context())
	caller.cancel = cancel
	s.add(caller)
	defer s.remove(caller)
	defer cancel(nil)
	defer s.recover(w, r)
	caller.begin()
	s.conf.Handler.ServeHTTP(&writer{ResponseWriter: w}, r.WithContext(context.WithValue(ctx, callerKey{}, caller)))
}

func (s *Server) recover(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	s.conf.Log.WithFields(logrus.Fields{"path": r.URL.Path, "panic": v}).Error(string(debug.Stack()))
	w.WriteHeader(http.StatusInternalServerError)
}

func (s *Server) caller(w http.ResponseWriter) *Caller {
	c := &Caller{}
	if res, ok := w.(*nbhttp.Response); ok {
		if nc, ok := res.Parser.Conn.(*nbhttp.Conn); ok {
			c.guard, _ = nc.Conn.(*guard)
		}
	}
	return c
}

func (s *Server) add(c *Caller) {
	s.mu.Lock()
	s.watched[c] = struct{}{}
	s.mu.Unlock()
}

func (s *Server) remove(c *Caller) {
	s.mu.Lock()
	delete(s.watched, c)
	s.mu.Unlock()
}

// watch cancels the requests whose callers have gone.
func (s *Server) watch() {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			s.check()
		}
	}
}

func (s *Server) check() {
	s.mu.Lock()
	list := make([]*Caller, 0, len(s.watched))
	for c := range s.watched {
		list = append(list, c)
	}
	s.mu.Unlock()
	for _, c := range list {
		c.Disconnected()
	}
}
