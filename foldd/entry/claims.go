package entry

import (
	"context"
	"time"
)

// ClaimState is the result of a claim: whether the call may be sent.
type ClaimState int

// The states of a claim.
const (
	// ClaimGranted means that this VM must send the call and then settle the
	// claim.
	ClaimGranted ClaimState = iota
	// ClaimPending means that the call was sent before and has no recorded
	// answer yet.
	ClaimPending
	// ClaimDone means that the answer of the call is recorded.
	ClaimDone
	// ClaimMismatch means that the key was used for another request.
	ClaimMismatch
	// ClaimUnknown means that the call may have run and its answer is lost.
	ClaimUnknown
)

// RecordedAnswer is the answer of a plain service. It is stored to answer
// repeated sends of the same call.
type RecordedAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claim identifies a call that runs at most once.
type Claim struct {
	Workspace string
	Key       string
	// Digest identifies the request that the key is used for.
	Digest []byte
	// Nonce identifies this attempt to claim the key.
	Nonce string
	// Timeout bounds the duration of the call.
	Timeout time.Duration
}

// Settlement is the outcome of a granted claim.
type Settlement int

// The settlements.
const (
	// SettleAnswered records the answer.
	SettleAnswered Settlement = iota
	// SettleReleased releases the key, since the call provably did not run.
	SettleReleased
	// SettleUnknown records that the call may have run.
	SettleUnknown
)

// ClaimStore is the durable store of claims, by which a call runs at most once.
// If Claim returns an error, no claim was granted to this VM's call. Settle
// records the outcome of a granted claim.
type ClaimStore interface {
	Claim(ctx context.Context, c Claim) (ClaimState, RecordedAnswer, error)
	Settle(ctx context.Context, c Claim, s Settlement, r RecordedAnswer) error
}

// settleTimeout bounds the time to settle a claim.
const settleTimeout = 5 * time.Second
