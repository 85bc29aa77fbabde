package relay

import (
	"context"
	"errors"
	"net/http"

	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/node"
)

// writeFault responds to the request with an error, and logs and counts it.
func (x *Relay) writeFault(w http.ResponseWriter, q *request, f *fault.Fault) {
	x.Node.Count("errors."+f.Code, 1)
	q.log(f.Status, f.Outcome, f.Message)
	if f.RetryAfter > 0 && x.Codec.RetryAfter != nil {
		w.Header().Set("Retry-After", x.Codec.RetryAfter(f.RetryAfter))
	}
	if q.declinesPeer(f) {
		w.Header().Set(headerPeerDeclined, f.Code)
	}
	f.Write(w)
}

// rejectionFault returns the error for a request that no server takes: those left are in
// a failure domain that can't be reached, or have a rate limit.
func rejectionFault(c place.Choice) *fault.Fault {
	if c.Limited {
		return fault.FromRateLimit(c.RetryAfter)
	}
	return unreachableFault(c)
}

// unreachableFault returns the error for a request whose only servers left are in
// a failure domain that this VM can't reach.
func unreachableFault(c place.Choice) *fault.Fault {
	message := "the backend servers left are in failure domain " + c.Server.Domain + ", which can't be reached"
	return fault.NotRun(http.StatusServiceUnavailable, fault.NoBackend, message).WithRetryAfter(c.RetryAfter)
}

// failedFault returns the error for a request that a backend server may have run and to which
// there is no response that can be passed on.
func failedFault(err error) *fault.Fault {
	return &fault.Fault{Status: http.StatusBadGateway, Code: fault.BackendFailed, Message: err.Error(), Outcome: retry.Unknown}
}

// timeoutFault returns the error for a request that has timed out, or whose VM ends. ctx is
// the context of the request, which has ended.
func (q *request) timeoutFault(ctx context.Context) *fault.Fault {
	ending := errors.Is(context.Cause(ctx), node.ErrEnding)
	if ending && q.sent == 0 {
		return fault.NotRun(http.StatusServiceUnavailable, fault.Draining, node.ErrEnding.Error()).WithRetryAfter(otherVMRetryAfter)
	}
	if ending {
		return &fault.Fault{Status: http.StatusBadGateway, Code: fault.UnknownOutcome, Message: node.ErrEnding.Error(), Outcome: retry.Unknown}
	}
	if q.sent == 0 {
		return fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "no backend server took the request in time").WithRetryAfter(rejectedRetryAfter)
	}
	return &fault.Fault{Status: http.StatusGatewayTimeout, Code: fault.UnknownOutcome, Message: "no whole answer came in time", Outcome: retry.Unknown}
}
