package peer

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/foldd/traffic"
	"fuchsiafold.example/wire"
)

// tally collects the VMs at which a revision is in force and those that lag
// behind.
type tally struct {
	mu  sync.Mutex
	res wire.InForceResponse
}

func (t *tally) add(id string, inForce bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if inForce {
		t.res.InForce = append(t.res.InForce, id)
		return
	}
	t.res.Lagging = append(t.res.Lagging, id)
}

func (t *tally) merge(r *wire.InForceResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.InForce = append(t.res.InForce, r.GetInForce()...)
	t.res.Lagging = append(t.res.Lagging, r.GetLagging()...)
}

// QueryInForce asks all live VMs whether a revision, or a later one, is in force:
// those of the local failure domain directly, those of each other domain through
// one of its VMs. VMs that do not respond count as lagging. The lists are sorted.
func (s *Service) QueryInForce(ctx context.Context, revision uint64) *wire.InForceResponse {
	t := s.queryLocalDomain(ctx, revision)
	_, far := s.node.PeersByDomain()
	var wg sync.WaitGroup
	for _, list := range far {
		wg.Go(func() { s.queryDomain(ctx, revision, list, t) })
	}
	wg.Wait()
	slices.Sort(t.res.InForce)
	slices.Sort(t.res.Lagging)
	return &t.res
}

func (s *Service) selfInForce(revision uint64) bool {
	x := s.node.Index()
	return x != nil && x.Revision() >= revision
}

// queryLocalDomain asks this VM and the live VMs of the local failure domain.
func (s *Service) queryLocalDomain(ctx context.Context, revision uint64) *tally {
	t := &tally{}
	t.add(s.node.Settings.ID, s.selfInForce(revision))
	near, _ := s.node.PeersByDomain()
	var wg sync.WaitGroup
	for _, p := range near {
		wg.Go(func() {
			res, err := s.queryVM(ctx, p.Addr, &wire.InForceRequest{Revision: revision})
			t.add(p.ID, err == nil && len(res.GetLagging()) == 0)
		})
	}
	wg.Wait()
	return t
}

// maxDomainAttempts is the number of VMs of another failure domain that are asked
// in turn about the whole domain before all its VMs count as lagging.
const maxDomainAttempts = 2

// queryDomain asks one of the VMs in list about their whole failure domain, and
// adds the response to t.
func (s *Service) queryDomain(ctx context.Context, revision uint64, list []member.Peer, t *tally) {
	for _, p := range list[:min(len(list), maxDomainAttempts)] {
		res, err := s.queryVM(ctx, p.Addr, &wire.InForceRequest{Revision: revision, Domain: true})
		if err == nil {
			t.merge(res)
			return
		}
	}
	for _, p := range list {
		t.add(p.ID, false)
	}
}

func (s *Service) queryVM(ctx context.Context, addr netip.AddrPort, req *wire.InForceRequest) (*wire.InForceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := s.client.InForce(toVM(traffic.With(ctx, traffic.Config), addr), connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// InForce implements wire.PeerServiceHandler.
func (s *Service) InForce(ctx context.Context, req *connect.Request[wire.InForceRequest]) (*connect.Response[wire.InForceResponse], error) {
	if req.Msg.GetDomain() {
		return connect.NewResponse(&s.queryLocalDomain(ctx, req.Msg.GetRevision()).res), nil
	}
	t := &tally{}
	t.add(s.node.Settings.ID, s.selfInForce(req.Msg.GetRevision()))
	return connect.NewResponse(&t.res), nil
}
