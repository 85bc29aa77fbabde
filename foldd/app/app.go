// Package app assembles the parts of a foldd process, and starts, runs and
// shuts down the process.
package app

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/ctrl"
	"fuchsiafold.example/foldd/engine"
	"fuchsiafold.example/foldd/entry"
	"fuchsiafold.example/foldd/gate"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/oper"
	"fuchsiafold.example/foldd/peer"
	"fuchsiafold.example/foldd/relay"
	"fuchsiafold.example/foldd/trace"
	"fuchsiafold.example/foldd/traffic"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/serve"
	"fuchsiafold.example/wire"
)

// App is a running foldd process, returned by New or NewWithAdapter. Shutdown or
// Close ends it.
type App struct {
	Node  *node.Node
	entry *entry.Handler
	// operators is set before the process accepts the first request.
	operators     *oper.Service
	controlServer ctrl.DeferredServer
	peers         *peer.Service
	// controlClient is set before the process accepts the first request. It is nil if
	// there is no control group.
	controlClient *ctrl.Client
	// controlHTTP makes the calls of controlClient and of the control replica.
	controlHTTP *http.Client
	// forwarder is nil until NewRelay is called.
	forwarder         atomic.Pointer[relay.Relay]
	servers           []*serve.Server
	addrs             Addrs
	flushTraces       func(context.Context) error
	stopRecordingOnce sync.Once
	// closed is closed by the first call of Close.
	closed    chan struct{}
	closeOnce sync.Once
}

// Addrs holds the addresses that a process listens on. An address is invalid if
// the settings don't enable its listener.
type Addrs struct {
	Callers   netip.AddrPort
	Backends  netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	Health    netip.AddrPort
	Metrics   netip.AddrPort
}

// Adapter replaces the default protocols by those of a platform. A nil field
// keeps the default.
type Adapter struct {
	// Decode decodes a configuration document of the operators.
	Decode func(document []byte) (*spec.Document, error)
	// Callers, Backends, Operators and Health return the HTTP handler of the
	// listener of that name.
	Callers   func(a *App) http.Handler
	Backends  func(a *App) http.Handler
	Operators func(a *App) http.Handler
	Health    func(a *App) http.Handler
}

// New starts a process with the settings s and the default protocols.
func New(ctx context.Context, s *conf.Settings, log *logrus.Logger) (*App, error) {
	return NewWithAdapter(ctx, s, log, Adapter{})
}

// NewWithAdapter starts a process with the settings s. The adapter replaces the
// default protocols by those of a platform.
func NewWithAdapter(ctx context.Context, s *conf.Settings, log *logrus.Logger, adapter Adapter) (*App, error) {
	flushTraces, err := trace.Setup(ctx, s.Trace, s.ID, s.Domain)
	if err != nil {
		return nil, err
	}
	n := node.New(s, log)
	if adapter.Decode != nil {
		n.Decode = adapter.Decode
	}
	a := &App{Node: n, flushTraces: flushTraces, peers: peer.New(n), closed: make(chan struct{})}
	if s.RecordFile != "" {
		if err := n.StartRecording(s.RecordFile); err != nil {
			return nil, err
		}
	}
	connect := time.Duration(s.Limits.ConnectTimeout)
	engines, plain := engine.NewPool(connect), entry.NewPool(connect)
	n.Clock.Every(sweepInterval, engines.Sweep)
	n.Clock.Every(sweepInterval, plain.Sweep)
	a.entry = &entry.Handler{
		Node:      n,
		Engines:   engine.New(gate.New(n, pool.Transport{Pool: engines}), connect, time.Duration(s.Limits.StallTimeout)),
		Transport: gate.New(n, pool.Transport{Pool: plain, Confirm: true}),
	}
	// Callers and operators may be served as soon as the process listens.
	a.controlHTTP = a.peers.ControlClient()
	if a.controlClient = a.newControlClient(); a.controlClient != nil {
		a.entry.Claims = a.controlClient
		n.HoldSends()
	}
	if err := a.listen(adapter); err != nil {
		a.Close()
		return nil, err
	}
	if err := a.startControl(); err != nil {
		a.Close()
		return nil, err
	}
	a.peers.Start()
	log.WithFields(a.startFields()).Info("serving")
	return a, nil
}

// startFields returns the fields of the log line about the start: the VM's
// identity and the addresses that it listens on.
func (a *App) startFields() logrus.Fields {
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

// selectHandler returns the handler that the adapter provides, or defaultHandler
// if adapted is nil.
func (a *App) selectHandler(adapted func(a *App) http.Handler, defaultHandler http.Handler) http.Handler {
	if adapted == nil {
		return defaultHandler
	}
	return adapted(a)
}

// callerHandler returns the handler of callers' requests, which is that of the
// adapter if adapted isn't nil. The default handler passes requests that match a
// spec.Forward of the configuration to a relay, and all others to a.entry.
func (a *App) callerHandler(adapted func(a *App) http.Handler) http.Handler {
	if adapted != nil {
		return adapted(a)
	}
	forwarder := a.NewRelay(relay.DefaultCodec(), nil)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if index := a.Node.Index(); index != nil {
			if _, ok := index.Forward(r.Host, r.URL.Path); ok {
				forwarder.ServeHTTP(w, r)
				return
			}
		}
		a.entry.ServeHTTP(w, r)
	})
}

// sweepInterval is how often the relay closes connections that were unused for
// too long.
const sweepInterval = 5 * time.Second

// NewRelay returns a handler that forwards requests in the protocol of c.
// newMover receives the pool of connections to the engines and returns the
// Mover that copies runs between them. If newMover is nil, runs aren't copied.
// NewRelay sets Node.BackendChanged to the handler's, so it must be called at most
// once for an App.
func (a *App) NewRelay(c relay.Codec, newMover func(p *pool.Pool) *relay.Mover) *relay.Relay {
	n := a.Node
	p := &pool.Pool{}
	n.Traffic.Observe(p, traffic.Request)
	countDial := p.OnDial
	p.OnDial = func(ctx context.Context) {
		n.Count("forward.connections", 1)
		countDial(ctx)
	}
	forwarder := &relay.Relay{Node: n, Pool: p, Peers: relay.NewPeerPool(), Codec: c}
	n.Traffic.Observe(forwarder.Peers, traffic.PassedOn)
	a.gauge("connections.servers.idle", func() int64 { return int64(p.Idle()) })
	a.gauge("connections.passedOn.idle", func() int64 { return int64(forwarder.Peers.Idle()) })
	a.forwarder.Store(forwarder)
	if newMover != nil {
		forwarder.Mover = newMover(p)
	}
	n.BackendChanged = forwarder.BackendChanged
	n.ProbeServer = forwarder.ProbeServer
	n.Clock.Every(sweepInterval, p.Sweep)
	n.Clock.Every(sweepInterval, forwarder.Peers.Sweep)
	return forwarder
}

// listen starts a server on each address that the settings enable.
func (a *App) listen(adapter Adapter) error {
	s := a.Node.Settings
	a.operators = &oper.Service{Node: a.Node, Peers: a.peers, ControlServer: &a.controlServer}
	if a.controlClient != nil {
		a.operators.Control = a.controlClient
	}
	listeners := []struct {
		name    string
		addr    netip.AddrPort
		handler http.Handler
		maxBody int
		// bodyMemory is as in serve.Config.
		bodyMemory int
		boundAddr  *netip.AddrPort
		kind       func(r *http.Request) traffic.Kind
	}{
		{"peers", s.Listen.Peers, a.peerHandler(), maxPeerBody(s), 0, &a.addrs.Peers, kindOfPeerCall},
		{"operators", s.Listen.Operators, a.selectHandler(adapter.Operators, a.operators.Handler()), peer.MaxMessage, 0, &a.addrs.Operators, traffic.Always(traffic.Other)},
		{"backends", s.Listen.Backends, a.selectHandler(adapter.Backends, oper.BackendHandler(a.Node)), s.Limits.MaxBody, 0, &a.addrs.Backends, traffic.Always(traffic.Announcement)},
		{"metrics", s.Listen.Metrics, a.operators.WatchHandler(), peer.MaxMessage, 0, &a.addrs.Metrics, traffic.Always(traffic.Other)},
		{"health", s.Listen.Health, a.selectHandler(adapter.Health, a.entry), 0, 0, &a.addrs.Health, traffic.Always(traffic.Other)},
		{"callers", s.Listen.Callers, a.callerHandler(adapter.Callers), s.Limits.MaxBody, s.Limits.BodyMemory, &a.addrs.Callers, traffic.Always(traffic.Request)},
	}
	for _, l := range listeners {
		if !l.addr.IsValid() {
			continue
		}
		accepted := metrics.GetOrRegisterCounter("listen."+l.name+".connections", a.Node.Metrics)
		server, err := serve.New(serve.Config{
			Addr:         l.addr,
			Handler:      a.Node.Traffic.Handler(l.kind, l.handler),
			MaxBody:      l.maxBody,
			BodyMemory:   l.bodyMemory,
			WriteTimeout: time.Duration(s.Limits.WriteTimeout),
			OnConnection: func() { accepted.Inc(1) },
			Log:          a.Node.Log,
		})
		if err != nil {
			return fmt.Errorf("listen for %s: %w", l.name, err)
		}
		a.servers = append(a.servers, server)
		a.gauge("listen."+l.name+".open", server.Open)
		*l.boundAddr = server.Addr()
	}
	a.Node.SetPeerAddr(a.peerAddr())
	return nil
}

// gauge registers a gauge whose value is read when it is shown.
func (a *App) gauge(name string, value func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, a.Node.Metrics, value)
}

// kindOfPeerCall returns the kind of a call from another VM, as far as its path says it.
func kindOfPeerCall(r *http.Request) traffic.Kind {
	switch r.URL.Path {
	case wire.PeerServiceExchangeProcedure:
		return traffic.ExchangeUrgent
	case wire.PeerServicePlaceProcedure:
		return traffic.PlacementRequest
	case wire.PeerServicePermitProcedure:
		return traffic.Permit
	case wire.PeerServiceConfigProcedure, wire.PeerServiceInForceProcedure:
		return traffic.Config
	case wire.PeerServiceTicketsProcedure, wire.PeerServiceDecisionsProcedure:
		return traffic.Tickets
	}
	switch {
	case relay.FromPeer(r):
		return traffic.PassedOn
	case strings.HasPrefix(r.URL.Path, "/"+wire.ControlServiceName+"/"):
		return traffic.Control
	}
	return traffic.Other
}

// maxPeerBody returns the largest body in bytes of a request from another VM.
func maxPeerBody(s *conf.Settings) int {
	if s.Control == nil {
		return peer.MaxMessage
	}
	return peer.MaxControlMessage
}

// peerAddr returns the address at which other VMs reach this one.
func (a *App) peerAddr() netip.AddrPort {
	if advertised := a.Node.Settings.Advertise; advertised.IsValid() {
		return advertised
	}
	return a.addrs.Peers
}

// peerHandler returns the handler of calls from other VMs, and of callers' requests that
// they pass on. It requires the peer token if the settings have one.
func (a *App) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewPeerServiceHandler(a.peers, a.peers.HandlerOptions()))
	mux.Handle(wire.NewControlServiceHandler(&a.controlServer, a.peers.ControlHandlerOptions()))
	calls := oper.RequireToken(a.Node.Settings.PeerToken, mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forwarder := a.forwarder.Load(); forwarder != nil && relay.FromPeer(r) {
			forwarder.ServePeer(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// ControlClient returns the client of the control group, or nil if the settings
// neither name control VMs nor make this VM one.
func (a *App) ControlClient() *ctrl.Client { return a.controlClient }

// Addrs returns the addresses that the process listens on.
func (a *App) Addrs() Addrs { return a.addrs }

// drainPollInterval is how often Shutdown checks whether requests are still in
// progress.
const drainPollInterval = 20 * time.Millisecond

// Shutdown drains the process and closes it. While the process drains, its
// health check fails, it rejects new requests, and the requests in progress
// finish. A process that serves callers drains for at least DrainLinger. Shortly before
// the drain timeout, the requests that are left are ended with an answer. If ctx ends
// first, Shutdown closes the process at once. It returns the number of requests aborted,
// which is above zero only in that case.
func (a *App) Shutdown(ctx context.Context) int64 {
	a.Node.Drain()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	end := time.AfterFunc(a.Node.Settings.Limits.RequestsEnd(), a.Node.EndRequests)
	defer end.Stop()
	lingerUntil := time.Now()
	if a.Node.Settings.Listen.Callers.IsValid() {
		lingerUntil = lingerUntil.Add(time.Duration(a.Node.Settings.Limits.DrainLinger))
	}
	for a.Node.Streams() > 0 || time.Now().Before(lingerUntil) {
		select {
		case <-t.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	aborted := a.Node.Streams()
	a.Close()
	return aborted
}

// flushTimeout bounds the time that Close takes to export the last trace spans.
const flushTimeout = 2 * time.Second

// Close stops the process at once and aborts the requests in progress.
//
// Generations in progress aren't canceled. They continue at their engines during
// their resume window, in which callers may resume them at another VM.
func (a *App) Close() {
	a.Node.Abandon()
	a.closeOnce.Do(func() { close(a.closed) })
	a.Node.Clock.Stop()
	var wg sync.WaitGroup
	for _, s := range a.servers {
		wg.Go(func() {
			if err := s.Close(); err != nil {
				a.Node.Log.WithError(err).Warn("closing listener failed")
			}
		})
	}
	wg.Wait()
	if replica := a.controlServer.Server(); replica != nil {
		if err := replica.Close(); err != nil {
			a.Node.Log.WithError(err).Warn("closing control replica failed")
		}
	}
	a.stopRecordingOnce.Do(a.Node.StopRecording)
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := a.flushTraces(ctx); err != nil {
		a.Node.Log.WithError(err).Warn("exporting traces failed")
	}
}
