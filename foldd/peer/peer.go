// Package peer exchanges news with the other VMs: backend servers, VMs and
// the configuration in force.
package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/wire"
)

// callTimeout bounds one call to another VM.
const callTimeout = time.Second

// Service exchanges news on behalf of a node. Make it with New.
type Service struct {
	node *node.Node
	http *http.Client
	// started is set by Start.
	started time.Time

	mu sync.Mutex
	// busy holds the addresses with an exchange under way; the value says
	// whether another one is to follow.
	busy map[netip.AddrPort]bool
	// outboxes holds the messages about tickets on their way to each VM.
	outboxes map[netip.AddrPort]chan func(wire.PeerServiceClient)
}

// New returns a service; Start begins the exchanges.
func New(n *node.Node) *Service {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}
	s := &Service{node: n, http: &http.Client{Transport: t}, busy: map[netip.AddrPort]bool{}, outboxes: map[netip.AddrPort]chan func(wire.PeerServiceClient){}}
	n.SetTransport(s.exchangeAll, s.sendTickets, s.sendDecisions)
	n.RequestPlacement = s.askPlace
	return s
}

// Client returns the HTTP client for calls to other VMs.
func (s *Service) Client() *http.Client { return s.http }

// Options returns the options for clients of other VMs.
func (s *Service) Options() connect.ClientOption {
	return connect.WithInterceptors(tokenInterceptor(s.node.Settings.PeerToken))
}

// tokenInterceptor sends a token with each call.
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

// Start begins the exchanges.
func (s *Service) Start() {
	s.started = time.Now()
	s.seek(s.started)
	s.node.Clock.Every(member.ExchangeInterval, func(time.Time) {
		s.exchangeAll(s.node.ExchangeTargets())
	})
}

const (
	// seekInterval is how often a VM that has just started asks the seeds.
	seekInterval = 250 * time.Millisecond
	// seekTime is how long it does at least: by then every backend server has
	// announced itself to VMs that may have started at the same moment.
	seekTime = 3 * time.Second
)

// seek asks all seeds, until a configuration is in force and a while has gone
// by since the start.
func (s *Service) seek(now time.Time) {
	if s.node.Index() != nil && now.Sub(s.started) > seekTime {
		return
	}
	s.exchangeAll(s.node.Seeds())
	s.node.Clock.At(now.Add(seekInterval), s.seek)
}

func (s *Service) exchangeAll(addrs []netip.AddrPort) {
	for _, a := range addrs {
		go s.exchangeOnce(a)
	}
}

// exchangeOnce exchanges with a VM. If an exchange with it is under way, that
// one is followed by another, since it may have left too early for the news.
func (s *Service) exchangeOnce(addr netip.AddrPort) {
	s.mu.Lock()
	if _, under := s.busy[addr]; under {
		s.busy[addr] = true
		s.mu.Unlock()
		return
	}
	s.busy[addr] = false
	s.mu.Unlock()
	for again := true; again; {
		if err := s.exchange(addr); err != nil {
			s.node.Count("peers.exchangesFailed", 1)
		}
		s.mu.Lock()
		again = s.busy[addr]
		s.busy[addr] = false
		if !again {
			delete(s.busy, addr)
		}
		s.mu.Unlock()
	}
}

func (s *Service) exchange(addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	out := s.node.OutgoingExchange(addr)
	req := &wire.ExchangeRequest{From: ToPeer(out.Self), Have: out.PeerVersion, HaveEpoch: out.PeerEpoch}
	for _, h := range out.Updates {
		req.Backends = append(req.Backends, ToBackend(h))
	}
	for _, p := range out.Known {
		req.Known = append(req.Known, toHeardPeer(p))
	}
	c := wire.NewPeerServiceClient(s.http, "http://"+addr.String(), s.Options())
	res, err := c.Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return fmt.Errorf("exchange with %v: %w", addr, err)
	}
	s.node.Count("peers.exchanges", 1)
	from := FromPeer(res.Msg.GetFrom())
	s.learn(from, res.Msg.GetBackends(), res.Msg.GetKnown())
	s.node.RecordExchange(from.ID, out.Version, res.Msg.GetVersion())
	return s.follow(ctx, from)
}

func (s *Service) learn(from member.Peer, backends []*wire.Backend, known []*wire.Peer) {
	s.node.ReceivePeer(from)
	for _, p := range known {
		s.node.ReceiveRelayedPeer(member.PeerUpdate{
			Peer: FromPeer(p),
			Age:  time.Duration(p.GetAgeMillis()) * time.Millisecond,
		})
	}
	for _, b := range backends {
		if h, ok := FromBackend(b); ok {
			s.node.ReceiveRelayedBackend(h, from.ID)
		}
	}
}

// follow fetches the configuration of a VM that has a newer one.
func (s *Service) follow(ctx context.Context, from member.Peer) error {
	x := s.node.Index()
	if from.Revision == 0 || (x != nil && x.Revision() >= from.Revision) {
		return nil
	}
	c := wire.NewPeerServiceClient(s.http, "http://"+from.Addr.String(), s.Options())
	res, err := c.Config(ctx, connect.NewRequest(&wire.ConfigRequest{}))
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
	s.learn(from, m.GetBackends(), m.GetKnown())
	out := s.node.ExchangeReply(from, m.GetHave(), m.GetHaveEpoch())
	res := &wire.ExchangeResponse{From: ToPeer(out.Self), Version: out.Version}
	for _, h := range out.Updates {
		res.Backends = append(res.Backends, ToBackend(h))
	}
	for _, p := range out.Known {
		res.Known = append(res.Known, toHeardPeer(p))
	}
	if x := s.node.Index(); from.Revision > 0 && (x == nil || x.Revision() < from.Revision) {
		go s.exchangeOnce(from.Addr)
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
