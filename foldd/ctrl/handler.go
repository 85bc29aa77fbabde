package ctrl

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/fold/state"
	"fuchsiafold.example/foldd/peer"
	"fuchsiafold.example/foldd/store"
	"fuchsiafold.example/wire"
)

const (
	// headerLeader is the response header that contains the leader's address.
	headerLeader = "Fold-Leader"
	// headerReplica is the response header that contains the ID of the replica that got
	// the messages. Versions before this one send none.
	headerReplica = "Fold-Replica"
)

// errOtherGroup is returned for messages from a replica of another group.
var errOtherGroup = eris.New("the message is of another group of replicas")

// connectError converts an error of Submit or Latest to a connect error. The code
// FailedPrecondition tells the client that the command was not committed; its
// metadata contains the leader's address if it is known. The code Unavailable
// leaves the outcome open. InvalidArgument tells that no control VM will accept the command.
func (h *Server) connectError(ctx context.Context, err error) error {
	if errors.Is(err, repl.ErrTooLarge) {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	if !notCommitted(err) {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	e := connect.NewError(connect.CodeFailedPrecondition, err)
	if addr := h.leaderAddr(ctx); addr != "" {
		e.Meta().Set(headerLeader, addr)
	}
	return e
}

// Claim implements wire.ControlServiceHandler.
func (h *Server) Claim(ctx context.Context, req *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	m := req.Msg
	r, err := h.Submit(ctx, state.Command{Claim: &state.Claim{
		Workspace: m.GetWorkspace(),
		Key:       m.GetKey(),
		Digest:    m.GetDigest(),
		Nonce:     m.GetNonce(),
		Timeout:   time.Duration(m.GetTimeoutMillis()) * time.Millisecond,
	}})
	if err != nil {
		return nil, h.connectError(ctx, err)
	}
	res := &wire.ClaimResponse{State: claimStates[r.Claim]}
	if r.Answer != nil {
		res.Answer = &wire.Answer{Status: uint32(r.Answer.Status), ContentType: r.Answer.ContentType, Body: r.Answer.Body}
	}
	return connect.NewResponse(res), nil
}

// refusal returns why this replica, which doesn't lead, accepts no change.
func (h *Server) refusal() error {
	select {
	case <-h.stop:
		return h.stoppedError()
	default:
		return repl.ErrNotLeader
	}
}

var claimStates = map[state.ClaimState]wire.ClaimState{
	state.ClaimGranted:  wire.ClaimState_CLAIM_STATE_GRANTED,
	state.ClaimPending:  wire.ClaimState_CLAIM_STATE_PENDING,
	state.ClaimDone:     wire.ClaimState_CLAIM_STATE_DONE,
	state.ClaimMismatch: wire.ClaimState_CLAIM_STATE_MISMATCH,
	state.ClaimUnknown:  wire.ClaimState_CLAIM_STATE_UNKNOWN,
	state.ClaimFull:     wire.ClaimState_CLAIM_STATE_FULL,
}

// Settle implements wire.ControlServiceHandler.
func (h *Server) Settle(ctx context.Context, req *connect.Request[wire.SettleRequest]) (*connect.Response[wire.SettleResponse], error) {
	m := req.Msg
	s := &state.Settle{Workspace: m.GetWorkspace(), Key: m.GetKey(), Nonce: m.GetNonce(), Released: m.GetReleased(), Unknown: m.GetUnknown()}
	if a := m.GetAnswer(); a != nil {
		s.Answer = &state.Answer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}
	}
	if _, err := h.Submit(ctx, state.Command{Settle: s}); err != nil {
		return nil, h.connectError(ctx, err)
	}
	return connect.NewResponse(&wire.SettleResponse{}), nil
}

// Apply implements wire.ControlServiceHandler.
func (h *Server) Apply(ctx context.Context, req *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	m := req.Msg
	if !h.leads() {
		return nil, h.connectError(ctx, h.refusal())
	}
	if err := h.conf.Check(m.GetDocument()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	r, err := h.Submit(ctx, state.Command{ApplyConfig: &state.ApplyConfig{Base: m.GetBaseRevision(), ChangeID: m.GetChangeId(), Version: m.GetVersion(), Document: m.GetDocument()}})
	if err != nil {
		return nil, h.connectError(ctx, err)
	}
	if r.Error != "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, eris.New(r.Error))
	}
	return connect.NewResponse(&wire.ApplyResponse{Revision: r.Revision, Conflict: r.Conflict}), nil
}

// Lease implements wire.ControlServiceHandler.
func (h *Server) Lease(ctx context.Context, req *connect.Request[wire.LeaseRequest]) (*connect.Response[wire.LeaseResponse], error) {
	m := req.Msg
	r, err := h.Submit(ctx, state.Command{Lease: &state.Lease{
		Name:    m.GetName(),
		Holder:  m.GetHolder(),
		TTL:     time.Duration(m.GetLengthMillis()) * time.Millisecond,
		Release: m.GetRelease(),
	}})
	if err != nil {
		return nil, h.connectError(ctx, err)
	}
	return connect.NewResponse(&wire.LeaseResponse{Fence: r.FencingToken, WaitMillis: uint64(r.RetryAfter.Milliseconds())}), nil
}

// LatestConfig returns the newest committed configuration and set of evacuated failure
// domains in their wire form. Its errors are connect errors.
func (h *Server) LatestConfig(ctx context.Context) (*wire.ConfigResponse, error) {
	revision, doc, evacuations, err := h.Latest(ctx)
	if err != nil {
		return nil, h.connectError(ctx, err)
	}
	return &wire.ConfigResponse{Revision: revision, Document: doc, Evacuations: peer.ToEvacuations(evacuations)}, nil
}

// Step implements wire.ControlServiceHandler. It passes raft messages to the
// replica and records the sender's address.
func (h *Server) Step(ctx context.Context, req *connect.Request[wire.StepRequest]) (*connect.Response[wire.StepResponse], error) {
	if req.Msg.GetGroup() != h.identity.Group {
		return nil, connect.NewError(connect.CodeInvalidArgument, errOtherGroup)
	}
	from, err := netip.ParseAddrPort(req.Msg.GetFromAddr())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	err = h.do(ctx, func(now time.Time) {
		for _, m := range req.Msg.GetMessages() {
			h.senderAddrs[m.GetFrom()] = from
			h.watch.hear(now, m.GetFrom())
			h.rep.Step(now, store.FromMessage(m))
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res := connect.NewResponse(&wire.StepResponse{})
	res.Header().Set(headerReplica, h.identity.ID)
	return res, nil
}

// Join implements wire.ControlServiceHandler. It adds the replica in the request
// to the group. Without a replica in the request, it only returns the group's name.
func (h *Server) Join(ctx context.Context, req *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	res := &wire.JoinResponse{Group: h.identity.Group}
	if req.Msg.GetMember() == nil {
		return connect.NewResponse(res), nil
	}
	var err error
	if e := h.do(ctx, func(time.Time) { err = h.rep.Join(store.FromMember(req.Msg.GetMember())) }); e != nil {
		return nil, connect.NewError(connect.CodeUnavailable, e)
	}
	if errors.Is(err, repl.ErrNotLeader) {
		return nil, h.connectError(ctx, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(res), nil
}

// handler adapts Server to wire.ControlServiceHandler, whose Latest has another
// signature than Server.Latest.
type handler struct{ *Server }

// Latest implements wire.ControlServiceHandler.
func (s handler) Latest(ctx context.Context, req *connect.Request[wire.ConfigRequest]) (*connect.Response[wire.ConfigResponse], error) {
	res, err := s.LatestConfig(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}

// Handler returns the control service of this replica.
func (h *Server) Handler() wire.ControlServiceHandler { return handler{h} }
