// Package serve runs HTTP handlers on nbhttp and adds what nbhttp lacks: a handler
// is told that its caller has disconnected or stopped reading, an oversized
// request gets an error response, and a panic ends only the request that caused
// it.
package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/sirupsen/logrus"
)

// maxHeader is the size allowed for request headers in addition to the body, in
// bytes.
const maxHeader = 64 << 10

// maxConns bounds the number of open connections of one server.
const maxConns = 100_000

// sendBufferSize is the size of the socket send buffer in bytes. It bounds what the
// kernel buffers for a slow caller, which is up to several megabytes per
// connection by default.
const sendBufferSize = 64 << 10

// idleTimeout is how long an idle connection is kept open.
const idleTimeout = 120 * time.Second

// watchInterval is the interval at which the callers of all requests in progress
// are checked for a disconnect. It is needed for responses that write nothing.
const watchInterval = 250 * time.Millisecond

// maxPooled is the size in bytes of the largest buffer that nbhttp uses again. By default it
// keeps those of the largest bodies, and uses them for small ones.
const maxPooled = 64 << 10

// minPooled is the size in bytes of the smallest buffer of nbhttp.
const minPooled = 1 << 10

func init() {
	logging.SetLevel(logging.LevelNone)
	mempool.DefaultMemPool = mempool.New(minPooled, maxPooled)
}

// Config is the configuration of a Server.
type Config struct {
	Addr    netip.AddrPort
	Handler http.Handler
	// MaxBody is the largest request body in bytes.
	MaxBody int
	// BodyMemory is the memory in bytes for the bodies of all requests in progress, at
	// least MaxBody. Requests of up to 64 KiB don't count. Others wait for up to a second
	// if there is none, and then get status 503. Zero means no limit.
	BodyMemory int
	// WriteTimeout bounds how long a write may block on a caller that does not
	// read. Zero means no limit.
	WriteTimeout time.Duration
	// OnConnection, if not nil, is called after each connection that is accepted.
	OnConnection func()
	Log          *logrus.Logger
}

// Server serves HTTP on one address. Use New to create it.
type Server struct {
	conf      Config
	engine    *nbhttp.Engine
	addr      netip.AddrPort
	stop      chan struct{}
	closeOnce sync.Once
	bodies    bodies
	// open is the number of open connections.
	open atomic.Int64

	mu sync.Mutex
	// watched holds the callers of the requests in progress; mu protects it.
	watched map[*Caller]struct{}
}

// New listens on the address of c and starts a server. The caller must call Close
// on it.
func New(c Config) (*Server, error) {
	// nbhttp may hang if it fails to listen, so it gets an open listener.
	l, err := net.Listen("tcp", c.Addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %v: %w", c.Addr, err)
	}
	s := &Server{conf: c, stop: make(chan struct{}), bodies: newBodies(c.BodyMemory), watched: map[*Caller]struct{}{}}
	s.addr = l.Addr().(*net.TCPAddr).AddrPort()
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:       "tcp",
		Addrs:         []string{c.Addr.String()},
		IOMod:         nbhttp.IOModBlocking,
		MaxLoad:       maxConns,
		KeepaliveTime: idleTimeout,
		NPoller:       1,
		Listen:        func(network, addr string) (net.Listener, error) { return l, nil },
		Handler:       http.HandlerFunc(s.handle),
	})
	s.engine.OnOpen(s.wrapConn)
	s.engine.OnClose(func(c net.Conn, err error) {
		s.open.Add(-1)
		c.Close()
	})
	if err := s.engine.Start(); err != nil {
		l.Close()
		return nil, fmt.Errorf("start server on %v: %w", c.Addr, err)
	}
	go s.watch()
	return s, nil
}

// Addr returns the address that the server listens on, with the actual port.
func (s *Server) Addr() netip.AddrPort {
	return netip.AddrPortFrom(s.addr.Addr().Unmap(), s.addr.Port())
}

// Open returns the number of open connections.
func (s *Server) Open() int64 { return s.open.Load() }

// Close closes all connections at once, including those of requests in progress.
// Calls after the first do nothing and return nil.
func (s *Server) Close() error {
	var err error
	s.closeOnce.Do(func() { err = s.shutdown() })
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

// wrapConn replaces the socket of a new nbhttp connection by a limitedConn.
func (s *Server) wrapConn(c net.Conn) {
	s.open.Add(1)
	if s.conf.OnConnection != nil {
		s.conf.OnConnection()
	}
	nc, ok := c.(*nbhttp.Conn)
	if !ok {
		return
	}
	tcp, ok := nc.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	if err := tcp.SetWriteBuffer(sendBufferSize); err != nil {
		s.conf.Log.WithError(err).Debug("setting the socket send buffer size failed; using the kernel default")
	}
	nc.Conn = &limitedConn{
		TCPConn:      tcp,
		nbConn:       nc,
		maxRequest:   s.conf.MaxBody + maxHeader,
		writeTimeout: s.conf.WriteTimeout,
		bodies:       s.bodies,
		log:          s.conf.Log,
	}
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	caller := s.newCaller(w)
	defer caller.endRequest()
	if !caller.acceptsFraming(r) {
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	caller.cancel = cancel
	s.add(caller)
	defer s.remove(caller)
	defer cancel(nil)
	defer s.recoverPanic(w, r)
	caller.beginRequest()
	stateLength(r)
	s.conf.Handler.ServeHTTP(&writer{ResponseWriter: w, caller: caller}, r.WithContext(context.WithValue(ctx, callerKey{}, caller)))
}

// stateLength sets the length of a body that came in chunks: nbhttp passes on no request
// before all of it has come.
func stateLength(r *http.Request) {
	if body, ok := r.Body.(*nbhttp.BodyReader); ok && r.ContentLength < 0 {
		r.ContentLength = int64(body.Left())
	}
}

func (s *Server) recoverPanic(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	s.conf.Log.WithFields(logrus.Fields{"path": r.URL.Path, "panic": v}).Error(string(debug.Stack()))
	w.WriteHeader(http.StatusInternalServerError)
}

func (s *Server) newCaller(w http.ResponseWriter) *Caller {
	c := &Caller{}
	if res, ok := w.(*nbhttp.Response); ok {
		if nc, ok := res.Parser.Conn.(*nbhttp.Conn); ok {
			c.conn, _ = nc.Conn.(*limitedConn)
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

// watch cancels the requests whose callers have disconnected, until the server is
// closed.
func (s *Server) watch() {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			s.checkCallers()
		}
	}
}

// checkCallers cancels the requests whose callers have disconnected: Disconnected
// does so itself, hence its result is not used.
func (s *Server) checkCallers() {
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
