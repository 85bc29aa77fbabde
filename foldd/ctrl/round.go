package ctrl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/wire"
)

// failedCall is a call to a control VM that failed.
type failedCall struct {
	addr string
	took time.Duration
	err  error
}

// noQuorumError is an ErrNoQuorum that says which control VMs failed and why.
type noQuorumError struct{ failed []failedCall }

// maxReportedCalls bounds the calls that the text of a noQuorumError names.
const maxReportedCalls = 8

func (e noQuorumError) Error() string {
	if len(e.failed) == 0 {
		return ErrNoQuorum.Error()
	}
	var calls []string
	for _, f := range e.failed[:min(len(e.failed), maxReportedCalls)] {
		calls = append(calls, fmt.Sprintf("%s after %d ms: %v", f.addr, f.took.Milliseconds(), f.err))
	}
	if more := len(e.failed) - maxReportedCalls; more > 0 {
		calls = append(calls, fmt.Sprintf("%d more", more))
	}
	return fmt.Sprintf("%v (%s)", ErrNoQuorum, strings.Join(calls, "; "))
}

// Unwrap returns ErrNoQuorum.
func (e noQuorumError) Unwrap() error { return ErrNoQuorum }

// controlCall calls one control VM. It may run more than once, and at several control VMs
// at the same time, so what it asks for must be idempotent.
type controlCall[T any] func(context.Context, wire.ControlServiceClient) (*connect.Response[T], error)

// callWithRetry runs call against the control VMs until one succeeds, one rejects
// the request itself, or ctx ends. The error wraps ErrNoQuorum if ctx ended.
func callWithRetry[T any](ctx context.Context, c *Client, call controlCall[T]) (*T, error) {
	return retryRounds(ctx, &round[T]{client: c, call: call})
}

// callForOperator is callWithRetry for the call of an operator, who can try another VM: it
// also ends once this VM seems to be cut off from most control VMs. size is the size of the
// request in bytes.
func callForOperator[T any](ctx context.Context, c *Client, size int, call controlCall[T]) (*T, error) {
	return retryRounds(ctx, &round[T]{client: c, call: call, size: size, endsIfCutOff: true})
}

// retryRounds runs r until it succeeds, a control VM rejects the request itself, ctx ends,
// or r finds this VM cut off. The error wraps ErrNoQuorum in the last two cases.
func retryRounds[T any](ctx context.Context, r *round[T]) (*T, error) {
	var failed []failedCall
	for {
		res, more, err := r.run(ctx)
		if err == nil || !errors.Is(err, ErrNoQuorum) {
			return res, err
		}
		failed = append(failed, more...)
		if errors.Is(err, errCutOff) {
			return nil, noQuorumError{failed}
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return nil, noQuorumError{failed}
		}
	}
}

// minCompressed is the size in bytes from which a request is compressed: a link of 10 Mbit/s
// carries it in 13 ms.
const minCompressed = 16 << 10

// errCutOff is the ErrNoQuorum of a round that has found this VM cut off.
var errCutOff = fmt.Errorf("%w: most control VMs are silent, and none of the others knows a leader", ErrNoQuorum)

// callResult is the result of one call of a round.
type callResult[T any] struct {
	addr string
	took time.Duration
	res  *T
	// hint is the leader's address if the call failed and the control VM returned it.
	hint string
	err  error
}

// round is one pass over the control VMs. run may be called again for the next pass.
type round[T any] struct {
	client *Client
	call   controlCall[T]
	// size is the size of the request in bytes, zero if it is small. The link of this VM
	// may carry one large request in the time of a call, and not several at once.
	size int
	// endsIfCutOff ends the round as soon as cutOff holds.
	endsIfCutOff bool
	// results has room for the results of all calls of the round.
	results chan callResult[T]
	// queue holds the addresses to call next.
	queue []string
	// called holds the addresses that have been called, each once.
	called map[string]bool
	// pending is the number of calls without a result, and answered the number of control
	// VMs that have responded, with whatever result.
	pending, answered int
	// leaderKnown is set once a control VM has named the leader.
	leaderKnown bool
}

// run calls every control VM, each at most once and the probable leader first, until one
// succeeds or rejects the request itself. The next control VM is called as soon as a call
// fails, and once a call is unanswered for hedgeDelay after it may have been sent. If a
// control VM's error names the leader, that address is next. run returns the calls that
// failed.
func (r *round[T]) run(ctx context.Context) (*T, []failedCall, error) {
	// The calls that are still pending at the end of the round are canceled.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.queue, r.called = r.client.candidateAddrs(), map[string]bool{}
	r.pending, r.answered, r.leaderKnown = 0, 0, false
	r.results = make(chan callResult[T], 2*len(r.queue))
	var failed []failedCall
	r.startNext(ctx)
	for r.pending > 0 {
		hedge := time.NewTimer(hedgeDelay + TransferTime(r.size))
		select {
		case <-hedge.C:
			if r.endsIfCutOff && r.cutOff() {
				return nil, failed, errCutOff
			}
			r.startNext(ctx)
		case result := <-r.results:
			r.pending--
			if result.err == nil {
				r.client.setLeader(result.addr)
				return result.res, nil, nil
			}
			if code := connect.CodeOf(result.err); code == connect.CodeInvalidArgument || code == connect.CodeUnauthenticated {
				return nil, nil, result.err
			}
			failed = append(failed, failedCall{addr: result.addr, took: result.took, err: result.err})
			r.noteFailure(result)
			r.startNext(ctx)
		}
		hedge.Stop()
	}
	return nil, failed, ErrNoQuorum
}

// noteFailure notes what a failed call says of the control group.
func (r *round[T]) noteFailure(result callResult[T]) {
	if connect.IsWireError(result.err) {
		r.answered++
	}
	if result.hint != "" {
		r.leaderKnown = true
		r.queue = slices.Insert(r.queue, 0, result.hint)
	}
}

// cutOff reports whether all control VMs have been called, each at least hedgeDelay ago,
// half of them or more are silent, and the others, at least one, know no leader. Silence
// alone may be a leader that is slow.
func (r *round[T]) cutOff() bool {
	for _, addr := range r.queue {
		if !r.called[addr] {
			return false
		}
	}
	return r.answered > 0 && !r.leaderKnown && 2*r.answered <= len(r.called)
}

// startNext calls the next control VM that was not called in this round, if there is one
// and ctx has not ended.
func (r *round[T]) startNext(ctx context.Context) {
	for len(r.queue) > 0 && len(r.called) < cap(r.results) && ctx.Err() == nil {
		addr := r.queue[0]
		r.queue = r.queue[1:]
		if r.called[addr] {
			continue
		}
		r.called[addr] = true
		r.pending++
		go r.callOne(ctx, addr, r.results)
		return
	}
}

// callOne calls the control VM at addr and sends the result.
func (r *round[T]) callOne(ctx context.Context, addr string, results chan<- callResult[T]) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+TransferTime(r.size))
	defer cancel()
	options := r.client.options
	if r.size >= minCompressed {
		options = connect.WithClientOptions(options, connect.WithSendGzip())
	}
	begun := time.Now()
	res, err := r.call(ctx, wire.NewControlServiceClient(r.client.http, "http://"+addr, options))
	result := callResult[T]{addr: addr, took: time.Since(begun), err: err}
	if err == nil {
		result.res = res.Msg
	}
	var ce *connect.Error
	if errors.As(err, &ce) {
		result.hint = ce.Meta().Get(headerLeader)
	}
	results <- result
}
