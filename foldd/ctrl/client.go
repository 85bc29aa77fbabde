package ctrl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"fuchsiafold.example/foldd/entry"
	"fuchsiafold.example/wire"
)

// ErrNoQuorum is returned when no control VM could decide.
var ErrNoQuorum = eris.New("no quorum of control VMs is reachable")

// Timing of a Client.
const (
	// tryTimeout bounds one call to one control VM.
	tryTimeout = 500 * time.Millisecond
	// claimTimeout bounds a claim: past it the call is refused as not run.
	claimTimeout = time.Second
	passPause    = 50 * time.Millisecond
	// releaseTimeout bounds the attempts to give back a claim whose grant was
	// not heard.
	releaseTimeout = 30 * time.Second
)

// Client calls the control VMs, the leader first. Make it with NewClient.
type Client struct {
	http    *http.Client
	options connect.ClientOption
	// addrs returns where control VMs may be found.
	addrs func() []netip.AddrPort

	mu sync.Mutex
	// leader is the address that last decided.
	leader string
}

// NewClient returns a client of the control VMs at the addresses that addrs
// returns.
func NewClient(h *http.Client, o connect.ClientOption, addrs func() []netip.AddrPort) *Client {
	return &Client{http: h, options: o, addrs: addrs}
}

// decide calls control VMs until one decides, err is about the request
// itself, or ctx ends.
func (c *Client) decide(ctx context.Context, call func(context.Context, wire.ControlServiceClient) error) error {
	for {
		err := c.pass(ctx, call)
		if err == nil || !errors.Is(err, ErrNoQuorum) {
			return err
		}
		select {
		case <-time.After(passPause):
		case <-ctx.Done():
			return err
		}
	}
}

// pass tries every control VM once, those first that may lead.
func (c *Client) pass(ctx context.Context, call func(context.Context, wire.ControlServiceClient) error) error {
	tried := map[string]bool{}
	queue := c.order()
	for len(queue) > 0 {
		addr := queue[0]
		queue = queue[1:]
		if tried[addr] {
			continue
		}
		tried[addr] = true
		hint, err := c.try(ctx, addr, call)
		if err == nil {
			c.remember(addr)
			return nil
		}
		if code := connect.CodeOf(err); code == connect.CodeInvalidArgument || code == connect.CodeUnauthenticated {
			return err
		}
		if hint != "" {
			queue = slices.Insert(queue, 0, hint)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return ErrNoQuorum
}

func (c *Client) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	if c.leader != "" {
		out = append(out, c.leader)
	}
	for _, a := range c.addrs() {
		out = append(out, a.String())
	}
	return out
}

func (c *Client) remember(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

func (c *Client) try(ctx context.Context, addr string, call func(context.Context, wire.ControlServiceClient) error) (hint string, err error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	err = call(ctx, wire.NewControlServiceClient(c.http, "http://"+addr, c.options))
	var ce *connect.Error
	if errors.As(err, &ce) {
		hint = ce.Meta().Get(headerLeader)
	}
	return hint, err
}

var entryStates = map[wire.ClaimState]entry.ClaimState{
	wire.ClaimState_CLAIM_STATE_GRANTED:  entry.ClaimGranted,
	wire.ClaimState_CLAIM_STATE_PENDING:  entry.ClaimPending,
	wire.ClaimState_CLAIM_STATE_DONE:     entry.ClaimDone,
	wire.ClaimState_CLAIM_STATE_MISMATCH: entry.ClaimMismatch,
	wire.ClaimState_CLAIM_STATE_UNKNOWN:  entry.ClaimUnknown,
}

// errFull is the refusal of a claim because too many keys are remembered.
var errFull = eris.New("too many idempotency keys are remembered")

// Claim implements entry.Claims.
func (c *Client) Claim(ctx context.Context, claim entry.Claim) (entry.ClaimState, entry.RecordedAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	req := &wire.ClaimRequest{
		Workspace:     claim.Workspace,
		Key:           claim.Key,
		Digest:        claim.Digest,
		Nonce:         claim.Nonce,
		TimeoutMillis: uint64(claim.Timeout.Milliseconds()),
	}
	var res *wire.ClaimResponse
	err := c.decide(ctx, func(ctx context.Context, s wire.ControlServiceClient) error {
		r, err := s.Claim(ctx, connect.NewRequest(req))
		if err == nil {
			res = r.Msg
		}
		return err
	})
	if err != nil {
		go c.giveBack(claim)
		return 0, entry.RecordedAnswer{}, fmt.Errorf("claim: %w", err)
	}
	state, ok := entryStates[res.GetState()]
	if !ok {
		return 0, entry.RecordedAnswer{}, errFull
	}
	return state, fromAnswer(res.GetAnswer()), nil
}

// giveBack releases a claim that may have been granted unheard. The call is
// not sent, so the key is free for a resend.
func (c *Client) giveBack(claim entry.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// Without a quorum the claim runs into its own deadline.
	_ = c.Settle(ctx, claim, entry.SettleReleased, entry.RecordedAnswer{})
}

func fromAnswer(a *wire.Answer) entry.RecordedAnswer {
	return entry.RecordedAnswer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}
}

// Settle implements entry.Claims.
func (c *Client) Settle(ctx context.Context, claim entry.Claim, s entry.Settlement, r entry.RecordedAnswer) error {
	req := &wire.SettleRequest{Workspace: claim.Workspace, Key: claim.Key, Nonce: claim.Nonce}
	switch s {
	case entry.SettleAnswered:
		req.Answer = &wire.Answer{Status: uint32(r.Status), ContentType: r.ContentType, Body: r.Body}
	case entry.SettleReleased:
		req.Released = true
	case entry.SettleUnknown:
		req.Unknown = true
	}
	err := c.decide(ctx, func(ctx context.Context, s wire.ControlServiceClient) error {
		_, err := s.Settle(ctx, connect.NewRequest(req))
		return err
	})
	if err != nil {
		return fmt.Errorf("settle: %w", err)
	}
	return nil
}

// Apply has a configuration decided.
func (c *Client) Apply(ctx context.Context, req *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	var res *wire.ApplyResponse
	err := c.decide(ctx, func(ctx context.Context, s wire.ControlServiceClient) error {
		r, err := s.Apply(ctx, connect.NewRequest(req))
		if err == nil {
			res = r.Msg
		}
		return err
	})
	return res, err
}

// Latest returns the newest configuration that is decided.
func (c *Client) Latest(ctx context.Context) (*wire.ConfigResponse, error) {
	var res *wire.ConfigResponse
	err := c.decide(ctx, func(ctx context.Context, s wire.ControlServiceClient) error {
		r, err := s.Latest(ctx, connect.NewRequest(&wire.ConfigRequest{}))
		if err == nil {
			res = r.Msg
		}
		return err
	})
	return res, err
}

// Lease asks for a lease, renews it or gives it back.
func (c *Client) Lease(ctx context.Context, req *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	var res *wire.LeaseResponse
	err := c.decide(ctx, func(ctx context.Context, s wire.ControlServiceClient) error {
		r, err := s.Lease(ctx, connect.NewRequest(req))
		if err == nil {
			res = r.Msg
		}
		return err
	})
	return res, err
}
