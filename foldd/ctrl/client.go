package ctrl

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/foldd/entry"
	"fuchsiafold.example/wire"
)

// ErrNoQuorum is returned when no control VM completed the request. It doesn't
// prove that the request had no effect.
var ErrNoQuorum = eris.New("no quorum of control VMs is reachable")

// Timing of a Client.
const (
	// callTimeout limits one call to one control VM, besides the time that it takes to be
	// sent.
	callTimeout = 500 * time.Millisecond
	// claimTimeout limits a claim. When it expires, the caller's request is
	// rejected as not run.
	claimTimeout = time.Second
	// hedgeDelay is how long a call may be unanswered until the next control VM is called
	// too. It is above the time that the leader needs to commit a change.
	hedgeDelay = 100 * time.Millisecond
	// retryInterval is the pause after all control VMs have been tried.
	retryInterval = 50 * time.Millisecond
	// unreachableTimeout limits an operator's call while no control VM is reachable as far
	// as this VM knows, so that the operator soon tries another VM.
	unreachableTimeout = 100 * time.Millisecond
	// minSendRate is the least rate, in bytes per second, at which a VM is expected to send
	// a document: entry VMs have links of 10 Mbit/s.
	minSendRate = 1 << 20
	// releaseTimeout limits the attempts to release a claim that may have been
	// granted although no response arrived.
	releaseTimeout = 30 * time.Second
)

// TransferTime returns the time that a message of size bytes may take to be sent, by which
// the timeouts of a call that carries it are longer.
func TransferTime(size int) time.Duration { return time.Duration(size) * time.Second / minSendRate }

// Client calls the control VMs, the probable leader first. It is returned by
// NewClient and is safe for concurrent use.
type Client struct {
	// LocalLeader returns the leader that the control replica of this VM knows, and false
	// if it knows none. It is nil on a VM without a replica. It must not be changed after
	// the first call.
	LocalLeader func() (netip.AddrPort, bool)
	// Unreachable reports whether no control VM has been heard of for some time. Calls of
	// operators then end after unreachableTimeout. It may be nil. It must not be changed
	// after the first call.
	Unreachable func() bool
	// Observe records the duration of each change of the configuration. It may be nil. It
	// must not be changed after the first call.
	Observe func(name string, d time.Duration)

	http    *http.Client
	options connect.ClientOption
	// addrs returns the addresses of possible control VMs.
	addrs func() []netip.AddrPort

	mu sync.Mutex
	// leader is the address of the control VM that last responded without an
	// error. It is empty at first. It is protected by mu.
	leader string
}

// NewClient returns a client of the control VMs at the addresses that addrs
// returns. addrs is called before each round of attempts, with the client's lock
// held, so it must not call the client.
func NewClient(h *http.Client, o connect.ClientOption, addrs func() []netip.AddrPort) *Client {
	return &Client{http: h, options: o, addrs: addrs}
}

// candidateAddrs returns the addresses to try in order: the leader that the local
// replica knows, the one that last responded, and then all control VMs. An address may
// occur twice.
func (c *Client) candidateAddrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	if c.LocalLeader != nil {
		if leader, ok := c.LocalLeader(); ok {
			out = append(out, leader.String())
		}
	}
	if c.leader != "" {
		out = append(out, c.leader)
	}
	for _, a := range c.addrs() {
		out = append(out, a.String())
	}
	return out
}

func (c *Client) setLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = addr
}

// claimStatesFromWire has no entry for CLAIM_STATE_FULL, which Claim reports as
// errTooManyKeys.
var claimStatesFromWire = map[wire.ClaimState]entry.ClaimState{
	wire.ClaimState_CLAIM_STATE_GRANTED:  entry.ClaimGranted,
	wire.ClaimState_CLAIM_STATE_PENDING:  entry.ClaimPending,
	wire.ClaimState_CLAIM_STATE_DONE:     entry.ClaimDone,
	wire.ClaimState_CLAIM_STATE_MISMATCH: entry.ClaimMismatch,
	wire.ClaimState_CLAIM_STATE_UNKNOWN:  entry.ClaimUnknown,
}

// errTooManyKeys rejects a claim because the limit on stored idempotency keys is
// reached.
var errTooManyKeys = eris.New("too many idempotency keys are remembered")

// Claim implements entry.ClaimStore. If the call to the control VMs fails,
// the claim is released in the background, because it may have been granted
// although no response arrived.
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
	res, err := callWithRetry(ctx, c, func(ctx context.Context, s wire.ControlServiceClient) (*connect.Response[wire.ClaimResponse], error) {
		return s.Claim(ctx, connect.NewRequest(req))
	})
	if err != nil {
		go c.releaseClaim(claim)
		return 0, entry.RecordedAnswer{}, fmt.Errorf("claim: %w", err)
	}
	state, ok := claimStatesFromWire[res.GetState()]
	if !ok {
		return 0, entry.RecordedAnswer{}, errTooManyKeys
	}
	return state, fromAnswer(res.GetAnswer()), nil
}

// releaseClaim releases a claim whose response was lost. The claimed call was not
// dispatched, so its key can be used again. It gives up after releaseTimeout.
func (c *Client) releaseClaim(claim entry.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// If no quorum is reachable, the claim expires at its own deadline.
	_ = c.Settle(ctx, claim, entry.SettleReleased, entry.RecordedAnswer{})
}

func fromAnswer(a *wire.Answer) entry.RecordedAnswer {
	return entry.RecordedAnswer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}
}

// Settle implements entry.ClaimStore.
func (c *Client) Settle(ctx context.Context, claim entry.Claim, s entry.Settlement, r entry.RecordedAnswer) error {
	req := &wire.SettleRequest{Workspace: claim.Workspace, Key: claim.Key, Nonce: claim.Nonce}
	switch s {
	case entry.SettleAnswered:
		// A backend server may send any bytes as its content type, a message only UTF-8.
		req.Answer = &wire.Answer{Status: uint32(r.Status), ContentType: strings.ToValidUTF8(r.ContentType, ""), Body: r.Body}
	case entry.SettleReleased:
		req.Released = true
	case entry.SettleUnknown:
		req.Unknown = true
	}
	_, err := callWithRetry(ctx, c, func(ctx context.Context, s wire.ControlServiceClient) (*connect.Response[wire.SettleResponse], error) {
		return s.Settle(ctx, connect.NewRequest(req))
	})
	if err != nil {
		return fmt.Errorf("settle: %w", err)
	}
	return nil
}

// applyMetric is the name of the histogram of the time until a change is committed, or
// the attempt fails.
const applyMetric = "control.applyMicros"

// operatorContext returns the context of an operator's call.
func (c *Client) operatorContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.Unreachable != nil && c.Unreachable() {
		return context.WithTimeout(ctx, unreachableTimeout)
	}
	return context.WithCancel(ctx)
}

// Apply submits a configuration and returns the result once it is committed.
func (c *Client) Apply(ctx context.Context, req *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	if c.Observe != nil {
		defer func(begun time.Time) { c.Observe(applyMetric, time.Since(begun)) }(time.Now())
	}
	ctx, cancel := c.operatorContext(ctx)
	defer cancel()
	return callForOperator(ctx, c, proto.Size(req), func(ctx context.Context, s wire.ControlServiceClient) (*connect.Response[wire.ApplyResponse], error) {
		return s.Apply(ctx, connect.NewRequest(req))
	})
}

// Latest returns the newest committed configuration. Its revision is zero if none
// was committed yet.
func (c *Client) Latest(ctx context.Context) (*wire.ConfigResponse, error) {
	ctx, cancel := c.operatorContext(ctx)
	defer cancel()
	return callForOperator(ctx, c, 0, func(ctx context.Context, s wire.ControlServiceClient) (*connect.Response[wire.ConfigResponse], error) {
		return s.Latest(ctx, connect.NewRequest(&wire.ConfigRequest{}))
	})
}

// Lease acquires, renews or releases a lease.
func (c *Client) Lease(ctx context.Context, req *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	return callWithRetry(ctx, c, func(ctx context.Context, s wire.ControlServiceClient) (*connect.Response[wire.LeaseResponse], error) {
		return s.Lease(ctx, connect.NewRequest(req))
	})
}
