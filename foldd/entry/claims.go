package entry

import (
	"context"
	"time"
)

// ClaimState says who may run a call.
type ClaimState int

// The states of a claim.
const (
	// ClaimGranted: this VM dispatches the call, and settles the claim after.
	ClaimGranted ClaimState = iota
	// ClaimPending: the call was dispatched before and has no answer yet.
	ClaimPending
	// ClaimDone: the recorded answer is there.
	ClaimDone
	// ClaimMismatch: the key was used for another request.
	ClaimMismatch
	// ClaimUnknown: the call may have run and its answer is lost.
	ClaimUnknown
)

// RecordedAnswer is the answer of a plain service as it is kept for resends.
type RecordedAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claim names a call that runs at most once.
type Claim struct {
	Workspace string
	Key       string
	// Digest identifies the request that the key stands for.
	Digest []byte
	// Nonce names this attempt to claim.
	Nonce string
	// Timeout is the longest time that the call may take.
	Timeout time.Duration
}

// Settlement is how a granted claim ended.
type Settlement int

// The settlements.
const (
	// SettleAnswered records the answer.
	SettleAnswered Settlement = iota
	// SettleReleased frees the key: the call provably did not run.
	SettleReleased
	// SettleUnknown records that the call may have run.
	SettleUnknown
)

// ClaimStore is the durable record that makes a call run at most once. An error
// of Claim proves that nothing was granted to this VM's call.
type ClaimStore interface {
	Claim(ctx context.Context, c Claim) (ClaimState, RecordedAnswer, error)
	Settle(ctx context.Context, c Claim, s Settlement, r RecordedAnswer) error
}

// settleTimeout bounds the time to record how a call ended.
const settleTimeout = 5 * time.Second
