// Package app puts one foldd process together and runs it from start to
// shutdown.
package app

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/ctrl"
	"fuchsiafold.example/foldd/engine"
	"fuchsiafold.example/foldd/entry"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/oper"
	"fuchsiafold.example/foldd/peer"
	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/foldd/trace"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/serve"
	"fuchsiafold.example/wire"
)

// maxControlBody is the largest message between VMs or from operators, in
// bytes. A configuration of 10,000 workspaces takes about 1.5 MB.
const maxControlBody = 16 << 20

// App is a running process. Make it with New.
type App struct {
	Node  *node.Node
	entry *entry.Handler
	// operators and control are set before the first request is let in.
	operators *oper.Service
	gate      ctrl.DeferredServer
	peers     *peer.Service
	client    *ctrl.Client
	servers   []*serve.Server
	addrs     Addrs
	flush     func(context.Context) error
	closed    sync.Once
}

// Addrs are the addresses that a process listens on.
type Addrs struct {
	Callers   netip.AddrPort
	Backends  netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	Health    netip.AddrPort
	Metrics   netip.AddrPort
}

// Adapter puts the protocols of a platform in the place of the product's own.
// Fields that are nil leave the own one.
type Adapter struct {
	// Decode reads an operators' configuration.
	Decode func(document []byte) (*spec.Document, error)
	// Callers, Backends, Operators and Health return the handlers of those
	// addresses.
	Callers   func(a *App) http.Handler
	Backends  func(a *App) http.Handler
	Operators func(a *App) http.Handler
	Health    func(a *App) http.Handler
}

// New starts a process by its settings, with the product's own protocols.
func New(ctx context.Context, s *conf.Settings, log *logrus.Logger) (*App, error) {
	return NewWithAdapter(ctx, s, log, Adapter{})
}

// NewWithAdapter starts a process by its settings on a platform.
func NewWithAdapter(ctx context.Context, s *conf.Settings, log *logrus.Logger, p Adapter) (*App, error) {
	flush, err := trace.Setup(ctx, s.Trace, s.ID, s.Domain)
	if err != nil {
		return nil, err
	}
	n := node.New(s, log)
	if p.Decode != nil {
		n.Decode = p.Decode
	}
	a := &App{Node: n, flush: flush, peers: peer.New(n)}
	if s.RecordFile != "" {
		if err := n.StartRecording(s.RecordFile); err != nil {
			return nil, err
		}
	}
	connect := time.Duration(s.Limits.ConnectTimeout)
	a.entry = &entry.Handler{
		Node:                n,
		Engines:             engine.New(connect, time.Duration(s.Limits.StallTimeout)),
		IdempotentTransport: entry.NewIdempotentTransport(connect),
		AtMostOnceTransport: entry.NewAtMostOnceTransport(connect),
	}
	if err := a.listen(p); err != nil {
		a.Close()
		return nil, err
	}
	if err := a.startControl(); err != nil {
		a.Close()
		return nil, err
	}
	a.peers.Start()
	log.WithFields(a.addresses()).Info("serving")
	return a, nil
}

// addresses returns what the line about the start tells.
func (a *App) addresses() logrus.Fields {
	s := a.Node.Settings
	fields := logrus.Fields{"id": s.ID, "domain": s.Domain, "region": s.Region, "controls": s.ControlVMs}
	for name, addr := range map[string]netip.AddrPort{
		"callers": a.addrs.Callers, "backends": a.addrs.Backends, "peers": a.addrs.Peers,
		"operators": a.addrs.Operators, "health": a.addrs.Health, "metrics": a.addrs.Metrics,
	} {
		if addr.IsValid() {
			fields[name] = addr
		}
	}
	return fields
}

// or returns what an adapter puts in the place of the own handler.
func (a *App) or(adapted func(a *App) http.Handler, own http.Handler) http.Handler {
	if adapted == nil {
		return own
	}
	return adapted(a)
}

// callers returns the handler of callers' requests: an adapter's, or the own
// one, which forwards what the configuration has a forward for.
func (a *App) callers(adapted func(a *App) http.Handler) http.Handler {
	if adapted != nil {
		return adapted(a)
	}
	forward := a.NewRelay(relay.DefaultCodec(), nil)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if x := a.Node.Index(); x != nil {
			if _, ok := x.Forward(r.Host, r.URL.Path); ok {
				forward.ServeHTTP(w, r)
				return
			}
		}
		a.entry.ServeHTTP(w, r)
	})
}

// sweepInterval is how often connections that are no longer used are closed.
const sweepInterval = 5 * time.Second

// NewRelay returns the handler that forwards requests in a protocol. mover
// copies runs between engines, given the connections to them; it may be nil.
func (a *App) NewRelay(c relay.Codec, mover func(p *pool.Pool) *relay.Mover) *relay.Relay {
	n := a.Node
	p := &pool.Pool{OnDial: func() { n.Count("forward.connections", 1) }}
	x := &relay.Relay{Node: n, Pool: p, Codec: c}
	if mover != nil {
		x.Mover = mover(p)
	}
	n.BackendChanged = x.BackendChanged
	n.Clock.Every(sweepInterval, p.Sweep)
	return x
}

func (a *App) listen(p Adapter) error {
	s := a.Node.Settings
	a.operators = &oper.Service{Node: a.Node, Peers: a.peers, ControlServer: &a.gate}
	parts := []struct {
		name    string
		addr    netip.AddrPort
		handler http.Handler
		maxBody int
		bound   *netip.AddrPort
	}{
		{"peers", s.Listen.Peers, a.peerHandler(), maxControlBody, &a.addrs.Peers},
		{"operators", s.Listen.Operators, a.or(p.Operators, a.operators.Handler()), maxControlBody, &a.addrs.Operators},
		{"backends", s.Listen.Backends, a.or(p.Backends, oper.BackendHandler(a.Node)), s.Limits.MaxBody, &a.addrs.Backends},
		{"metrics", s.Listen.Metrics, a.operators.WatchHandler(), maxControlBody, &a.addrs.Metrics},
		{"health", s.Listen.Health, a.or(p.Health, a.entry), 0, &a.addrs.Health},
		{"callers", s.Listen.Callers, a.callers(p.Callers), s.Limits.MaxBody, &a.addrs.Callers},
	}
	for _, p := range parts {
		if !p.addr.IsValid() {
			continue
		}
		server, err := serve.New(serve.Config{
			Addr:         p.addr,
			Handler:      p.handler,
			MaxBody:      p.maxBody,
			WriteTimeout: time.Duration(s.Limits.WriteTimeout),
			Log:          a.Node.Log,
		})
		if err != nil {
			return fmt.Errorf("listen for %s: %w", p.name, err)
		}
		a.servers = append(a.servers, server)
		*p.bound = server.Addr()
	}
	a.Node.SetPeerAddr(a.addrs.Peers)
	return nil
}

func (a *App) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewPeerServiceHandler(a.peers))
	mux.Handle(wire.NewControlServiceHandler(&a.gate))
	return oper.RequireToken(a.Node.Settings.PeerToken, mux)
}

// ControlClient returns the client of the control part, or nil if there is none.
func (a *App) ControlClient() *ctrl.Client { return a.client }

// Addrs returns the addresses that the process listens on.
func (a *App) Addrs() Addrs { return a.addrs }

const drainPoll = 20 * time.Millisecond

// Shutdown drains the process: its health turns red, requests in progress
// finish, then it closes. It returns the number of requests cut off, which is
// above zero only if ctx ended first.
func (a *App) Shutdown(ctx context.Context) int64 {
	a.Node.Drain()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	linger := time.Now()
	if a.Node.Settings.Listen.Callers.IsValid() {
		linger = linger.Add(time.Duration(a.Node.Settings.Limits.DrainLinger))
	}
	for a.Node.Streams() > 0 || time.Now().Before(linger) {
		select {
		case <-t.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	cut := a.Node.Streams()
	a.Close()
	return cut
}

// flushTimeout bounds the time to export the last spans.
const flushTimeout = 2 * time.Second

// Close ends the process's work at once.
//
// The generations in progress go on at their engines for as long as their
// callers may resume them at another VM.
func (a *App) Close() {
	a.Node.Abandon()
	a.Node.Clock.Stop()
	var wg sync.WaitGroup
	for _, s := range a.servers {
		wg.Go(func() {
			if err := s.Close(); err != nil {
				a.Node.Log.WithError(err).Warn("close")
			}
		})
	}
	wg.Wait()
	if h := a.gate.Server(); h != nil {
		if err := h.Close(); err != nil {
			a.Node.Log.WithError(err).Warn("close control replica")
		}
	}
	a.closed.Do(a.Node.StopRecording)
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := a.flush(ctx); err != nil {
		a.Node.Log.WithError(err).Warn("export traces")
	}
}
