// Package peer is the transport between VMs. It gossips backend servers, VMs, the
// configuration and the evacuations in force, and carries tickets, decisions and placement
// requests.
package peer

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/reflect/protoreflect"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/state"
	"fuchsiafold.example/foldd/link"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/traffic"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/redial"
	"fuchsiafold.example/wire"
)

// callTimeout bounds one call to another VM.
const callTimeout = time.Second

// Service is the transport of a node to the other VMs, and the handler of their
// calls. Use New to create one.
type Service struct {
	node *node.Node
	// pool holds the connections of http.
	pool *pool.Pool
	http *http.Client
	// client makes calls to the VM that toVM puts into the context.
	client wire.PeerServiceClient
	// started is set by Start.
	started time.Time

	// mu protects the fields below.
	mu sync.Mutex
	// inFlight holds the exchanges in progress.
	inFlight map[netip.AddrPort]*flight
	// outboxes holds the queued calls to each VM, which carry tickets and decisions. Each
	// gets a context from toVM.
	outboxes map[netip.AddrPort]chan func(context.Context)
	// failing holds the addresses with which exchanges fail.
	failing map[netip.AddrPort]*link.State
}

// New returns a service and sets it as the transport of the node. Start begins the
// exchanges.
func New(n *node.Node) *Service {
	p := newPool()
	n.Traffic.Observe(p, traffic.Other)
	s := &Service{node: n, pool: p, http: &http.Client{Transport: refusalTransport{pool.Transport{Pool: p, Framed: true}}}, inFlight: map[netip.AddrPort]*flight{}, outboxes: map[netip.AddrPort]chan func(context.Context){}, failing: map[netip.AddrPort]*link.State{}}
	s.client = wire.NewPeerServiceClient(addressedClient{s}, "http://vm", s.Options())
	metrics.NewRegisteredFunctionalGauge("connections.peers.idle", n.Metrics, func() int64 { return int64(p.Idle()) })
	n.SetTransport(s.exchangeUrgently, s.sendTickets, s.sendDecisions)
	n.RequestPlacement = s.requestPlacement
	n.RequestPermit = s.requestPermit
	return s
}

// ControlClient returns a new HTTP client for calls to control VMs. It shares no
// connections with other calls.
func (s *Service) ControlClient() *http.Client {
	p := newPool()
	p.OnDial = func(context.Context) { s.node.Traffic.AddConnection(traffic.Out, traffic.Control) }
	s.node.Clock.Every(sweepInterval, p.Sweep)
	t := traffic.Transport{Counts: s.node.Traffic, Kind: traffic.Control, Base: &redial.Transport{Pool: p}}
	return &http.Client{Transport: refusalTransport{t}}
}

// MaxMessage bounds a message of another VM or of an operator in bytes. A configuration
// with 10,000 workspaces takes about 1.5 MB.
const MaxMessage = 16 << 20

// MaxControlMessage bounds a message to a control VM in bytes. It holds a snapshot of the full
// state of the control group.
const MaxControlMessage = state.MaxSnapshotBytes + MaxMessage

// MinCompressed is the size in bytes from which responses are compressed. A compressor takes
// about 1 MB of memory.
const MinCompressed = 16 << 10

// Options returns the options for clients of other VMs: they send the peer token, and
// read replies up to a limit.
func (s *Service) Options() connect.ClientOption {
	return connect.WithClientOptions(connect.WithInterceptors(tokenInterceptor(s.node.Settings.PeerToken)), connect.WithReadMaxBytes(MaxMessage), connect.WithCodec(s.codec()))
}

// HandlerOptions returns the options for handlers of calls from other VMs.
func (s *Service) HandlerOptions() connect.HandlerOption { return s.handlerOptions(MaxMessage) }

// ControlHandlerOptions returns the options for handlers of calls to the control replica.
func (s *Service) ControlHandlerOptions() connect.HandlerOption {
	return s.handlerOptions(MaxControlMessage)
}

// handlerOptions returns the options for handlers that read messages of at most maxBytes.
func (s *Service) handlerOptions(maxBytes int) connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithCodec(s.codec()), connect.WithReadMaxBytes(maxBytes), connect.WithCompressMinBytes(MinCompressed))
}

func (s *Service) codec() codec {
	return codec{onDrop: func(message protoreflect.FullName, records int) {
		s.node.Count("peers.recordsDropped", int64(records))
		s.node.Log.WithFields(logrus.Fields{"message": message, "records": records}).Error("records with a text that is not UTF-8 left out of a message to another VM")
	}}
}

// tokenInterceptor sets a bearer token on each outgoing call. An empty token sets
// none.
func tokenInterceptor(token string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" && req.Spec().IsClient {
				req.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, req)
		}
	}
}

// Start contacts the seeds and begins the periodic exchanges.
func (s *Service) Start() {
	s.started = time.Now()
	s.contactSeeds(s.started)
	s.node.Clock.Every(member.ExchangeInterval, func(time.Time) {
		s.exchangeAll(s.node.ExchangeTargets(), periodic)
	})
	s.node.Clock.Every(sweepInterval, s.pool.Sweep)
}

// sweepInterval is how often connections that were idle for too long are closed.
const sweepInterval = 10 * time.Second

const (
	// seedInterval is the time between exchanges with the seeds after the start.
	seedInterval = 250 * time.Millisecond
	// seedJitter is the share by which seedInterval varies, so that VMs which start at once
	// don't go on at once.
	seedJitter = 0.3
	// minSeedPeriod is how long the exchanges with the seeds go on at least. By
	// then every backend server has announced itself to VMs that may have started
	// at the same moment.
	minSeedPeriod = 3 * time.Second
)

// contactSeeds exchanges with all seeds, and again after about seedInterval until a
// configuration is in force and minSeedPeriod has passed since the start.
func (s *Service) contactSeeds(now time.Time) {
	if s.node.Index() != nil && now.Sub(s.started) > minSeedPeriod {
		return
	}
	for _, a := range s.node.Seeds() {
		if !s.exchanging(a) {
			go s.exchangeWith(a, seedContact)
		}
	}
	jitter := time.Duration(float64(seedInterval) * seedJitter * (2*s.node.Random() - 1))
	s.node.Clock.At(now.Add(seedInterval+jitter), s.contactSeeds)
}

// exchanging reports whether an exchange with a VM is in progress. A seed that is slow, as all
// VMs have started at once, gets no further ones meanwhile.
func (s *Service) exchanging(addr netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight[addr] != nil
}

// exchangeKind says what an exchange is for.
type exchangeKind int

const (
	none exchangeKind = iota
	// followUp: as urgent, in place of an exchange that failed or takes long.
	followUp
	// urgent: it carries an update that others must get at once.
	urgent
	// seedContact: as periodic, with a seed after the start. What it brings is not passed on:
	// the other VMs of the failure domain contact the seeds themselves if they start, too, and
	// get it from the VM that a seed has chosen otherwise (see node.ReceiveRelayedBackends).
	// Evacuations are passed on.
	seedContact
	// periodic: it carries the digest of the live VMs, too.
	periodic
)

// join returns the kind of an exchange that stands for one of each kind.
func (k exchangeKind) join(o exchangeKind) exchangeKind {
	if k != o && k != none && o != none && max(k, o) == seedContact {
		return periodic
	}
	return max(k, o)
}

// hasDigest reports whether the exchange carries the digest of the live VMs.
func (k exchangeKind) hasDigest() bool { return k == periodic || k == seedContact }

// traffic returns the kind of message of the exchange's calls.
func (k exchangeKind) traffic() traffic.Kind {
	switch k {
	case periodic, seedContact:
		return traffic.ExchangePeriodic
	case followUp:
		return traffic.ExchangeFollowUp
	}
	return traffic.ExchangeUrgent
}

// exchangeUrgently starts an urgent exchange with each address. It does not block.
func (s *Service) exchangeUrgently(addrs []netip.AddrPort) {
	for _, a := range addrs {
		go s.spread(a)
	}
}

// spread does an urgent exchange with a VM. If that fails or takes long, other VMs of its
// failure domain, one after the other, get the update in its place until one has it.
func (s *Service) spread(addr netip.AddrPort) {
	if s.exchangesSoon(addr, urgent) {
		return
	}
	for _, a := range s.node.SubstitutesFor(addr) {
		s.node.Count("peers.followUps", 1)
		if s.exchangesSoon(a, followUp) {
			return
		}
	}
}

// exchangesSoon does an exchange with a VM and reports whether it succeeds within
// member.FollowUpDelay. Otherwise the exchange goes on.
func (s *Service) exchangesSoon(addr netip.AddrPort, kind exchangeKind) bool {
	results := make(chan error, 1)
	go func() { results <- s.exchangeWith(addr, kind) }()
	delay := time.NewTimer(member.FollowUpDelay)
	defer delay.Stop()
	select {
	case err := <-results:
		return err == nil
	case <-delay.C:
		return false
	}
}

// exchangeAll starts an exchange with each address. It does not block.
func (s *Service) exchangeAll(addrs []netip.AddrPort, kind exchangeKind) {
	for _, a := range addrs {
		go s.exchangeWith(a, kind)
	}
}

// flight is the exchange in progress with a VM.
type flight struct {
	// next is the kind of the exchange that follows it, and waiters get the result of that
	// one: its request may have to carry an update that the current one did not.
	next    exchangeKind
	waiters []chan<- error
}

// exchangeWith exchanges with a VM, after the exchange in progress if there is one, and
// returns the result.
func (s *Service) exchangeWith(addr netip.AddrPort, kind exchangeKind) error {
	result := make(chan error, 1)
	s.mu.Lock()
	f := s.inFlight[addr]
	running := f != nil
	if !running {
		f = &flight{}
		s.inFlight[addr] = f
	}
	f.next = f.next.join(kind)
	f.waiters = append(f.waiters, result)
	s.mu.Unlock()
	if !running {
		go s.runFlight(addr, f)
	}
	return <-result
}

// runFlight does exchanges with a VM until no further one is asked for.
func (s *Service) runFlight(addr netip.AddrPort, f *flight) {
	for {
		s.mu.Lock()
		kind, waiters := f.next, f.waiters
		f.next, f.waiters = none, nil
		if kind == none {
			delete(s.inFlight, addr)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		begun := time.Now()
		err := s.exchange(addr, kind)
		if err != nil {
			s.exchangeFailed(addr)
		}
		s.mu.Lock()
		s.recordResult(addr, begun, err)
		s.mu.Unlock()
		for _, w := range waiters {
			w <- err
		}
	}
}

// exchangeFailed records that an exchange with a VM failed. If the VM is of the local failure
// domain, a VM of another one is asked for news in its place.
func (s *Service) exchangeFailed(addr netip.AddrPort) {
	s.node.Count("peers.exchangesFailed", 1)
	s.node.RecordExchangeFailure(addr)
	if outside, ok := s.node.OutsideTarget(addr); ok {
		go s.exchangeWith(outside, urgent)
	}
}

// failingKept is how long a VM with which exchanges failed is remembered without another
// exchange.
const failingKept = time.Minute

// recordResult logs when exchanges with a VM begin to fail and when they succeed again. The
// caller holds the lock.
func (s *Service) recordResult(addr netip.AddrPort, begun time.Time, err error) {
	state := s.failing[addr]
	if state == nil && err == nil {
		return
	}
	if state == nil {
		maps.DeleteFunc(s.failing, func(_ netip.AddrPort, f *link.State) bool { return f.SinceLast(begun) > failingKept })
		state = &link.State{Log: s.node.Log.WithField("addr", addr), Failed: "exchange with a VM failed", Regained: "exchanges with a VM succeed again"}
		s.failing[addr] = state
	}
	state.Record(begun, err, nil)
	if !state.Failing() {
		delete(s.failing, addr)
	}
}

// exchange does one exchange with a VM, and fetches its configuration if that is
// newer. If the VM may not know all VMs that are live here, or updates were withheld, it gets
// reports about them and what its digest lacks in a second call.
func (s *Service) exchange(addr netip.AddrPort, kind exchangeKind) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	from, lacking, withheld, err := s.callExchange(ctx, addr, kind, nil, false)
	if err == nil && (len(lacking) > 0 || withheld) {
		// The second call may be large. It has a time of its own: if it failed for the time that
		// the first one took, the next exchange would begin with both again.
		second, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		ctx = second
		_, _, _, err = s.callExchange(ctx, addr, urgent, lacking, true)
	}
	if err != nil {
		return fmt.Errorf("exchange with %v: %w", addr, err)
	}
	return s.fetchNewerConfig(ctx, from)
}

// callExchange makes one call of an exchange, which carries the given reports about VMs,
// and applies the response. It returns the VM that responded, reports about VMs that
// it may not know, and whether updates were withheld, which they are not if all is set.
func (s *Service) callExchange(ctx context.Context, addr netip.AddrPort, kind exchangeKind, known []member.PeerUpdate, all bool) (from member.Peer, lacking []member.PeerUpdate, withheld bool, err error) {
	ctx = traffic.With(ctx, kind.traffic())
	out := s.node.OutgoingExchange(addr, !kind.hasDigest(), all)
	req := &wire.ExchangeRequest{
		From: ToPeer(out.Self), Have: out.PeerVersion, HaveEpoch: out.PeerEpoch, Backends: toBackends(out.Updates), Known: toPeerUpdates(known),
		Leases: toLeases(&out.Leases), Prompts: toPromptUpdate(out.Prompts), Limits: toRateLimits(out.Limits), Vms: toVMs(out.VMs),
		Evacuations: ToEvacuations(out.Evacuations),
	}
	res, err := s.client.Exchange(toVM(ctx, addr), connect.NewRequest(req))
	if err != nil {
		return from, nil, false, fmt.Errorf("call: %w", err)
	}
	s.node.Count("peers.exchanges", 1)
	from = FromPeer(res.Msg.GetFrom())
	s.node.ApplyEvacuations(FromEvacuations(res.Msg.GetEvacuations()), from.ID)
	s.applyUpdates(from, res.Msg.GetBackends(), res.Msg.GetKnown(), res.Msg.GetLeases(), kind != seedContact)
	s.node.ReceivePromptUpdate(fromPromptUpdate(res.Msg.GetPrompts()), from.ID)
	s.receiveRateLimits(from.ID, res.Msg.GetLimits())
	s.node.RecordExchange(from.ID, &out, res.Msg.GetVersion())
	if vms := fromVMs(res.Msg.GetVms()); vms != nil {
		lacking = s.node.ReceiveVMs(vms)
	}
	return from, lacking, out.Withheld, nil
}

// applyUpdates applies the direct report of a VM, the VMs and backend servers that
// it relays, and its digest of leases. passOn says whether changes of backend servers go to other
// VMs at once.
func (s *Service) applyUpdates(from member.Peer, backends []*wire.Backend, known []*wire.Peer, leases *wire.Leases, passOn bool) {
	s.node.ReceivePeer(from)
	for _, p := range known {
		s.node.ReceiveRelayedPeer(member.PeerUpdate{
			Peer: FromPeer(p),
			Age:  time.Duration(p.GetAgeMillis()) * time.Millisecond,
		})
	}
	if passOn {
		s.node.ReceiveRelayedBackends(fromBackends(backends), from.ID)
	} else {
		s.node.ReceiveFromSeed(fromBackends(backends), from.ID)
	}
	l := fromLeases(leases)
	s.node.ReceiveLeases(from.ID, &l)
}

// fetchNewerConfig fetches and applies the configuration of a VM if its revision
// is later than the one in force here.
func (s *Service) fetchNewerConfig(ctx context.Context, from member.Peer) error {
	x := s.node.Index()
	if from.Revision == 0 || (x != nil && x.Revision() >= from.Revision) {
		return nil
	}
	res, err := s.client.Config(toVM(traffic.With(ctx, traffic.Config), from.Addr), connect.NewRequest(&wire.ConfigRequest{}))
	if err != nil {
		return fmt.Errorf("fetch configuration from %v: %w", from.Addr, err)
	}
	return s.node.ApplyDocument(res.Msg.GetRevision(), res.Msg.GetDocument(), from.ID)
}

// Exchange implements wire.PeerServiceHandler.
func (s *Service) Exchange(ctx context.Context, req *connect.Request[wire.ExchangeRequest]) (*connect.Response[wire.ExchangeResponse], error) {
	m := req.Msg
	from := FromPeer(m.GetFrom())
	if from.ID == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoID)
	}
	s.node.ApplyEvacuations(FromEvacuations(m.GetEvacuations()), from.ID)
	if m.GetVms() != nil {
		traffic.SetKind(ctx, traffic.ExchangePeriodic)
	}
	s.applyUpdates(from, m.GetBackends(), m.GetKnown(), m.GetLeases(), true)
	s.node.ReceivePromptUpdate(fromPromptUpdate(m.GetPrompts()), from.ID)
	s.receiveRateLimits(from.ID, m.GetLimits())
	out := s.node.ExchangeReply(from, m.GetHave(), m.GetHaveEpoch(), fromVMs(m.GetVms()))
	res := &wire.ExchangeResponse{
		From: ToPeer(out.Self), Version: out.Version, Backends: toBackends(out.Updates), Known: toPeerUpdates(out.Known),
		Leases: toLeases(&out.Leases), Prompts: toPromptUpdate(out.Prompts), Limits: toRateLimits(out.Limits), Vms: toVMs(out.VMs),
		Evacuations: ToEvacuations(out.Evacuations),
	}
	if x := s.node.Index(); from.Revision > 0 && (x == nil || x.Revision() < from.Revision) {
		go s.exchangeWith(from.Addr, urgent)
	}
	return connect.NewResponse(res), nil
}

// Config implements wire.PeerServiceHandler.
func (s *Service) Config(ctx context.Context, req *connect.Request[wire.ConfigRequest]) (*connect.Response[wire.ConfigResponse], error) {
	res, err := CurrentConfig(s.node)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}
