package relay

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/netio/pool"
)

// exchange sends the request to a backend server once there is a permit for it, and
// records what the response says of the server. resume is nil unless the request continues
// a run.
func (q *request) exchange(ctx context.Context, b backend, p node.Purpose, resume *Resume) (*pool.Response, error) {
	codec := &q.relay.Codec
	var reply Reply
	r := q.backendRequest(b, resume)
	r.Admit = func(ctx context.Context) error { return q.acquirePermit(ctx, b, p) }
	r.OnTrailer = func(trailer http.Header) { ObserveFields(q.relay.Node, b, codec, reply, trailer) }
	silence := q.watchSilence(b)
	res, err := q.relay.Pool.Do(ctx, r)
	silence.Stop()
	if err != nil {
		return nil, err
	}
	q.relay.Node.ServerAnswered(b)
	q.recordSkipped(b, res)
	reply = codec.ParseReply(res.Status, res.Header)
	ObserveResponse(q.relay.Node, b, codec, res.Status, reply, res.Informational)
	return res, nil
}

// recordSkipped counts and logs responses of a server that belong to no request or to another
// one.
func (q *request) recordSkipped(b backend, res *pool.Response) {
	if res.Skipped == 0 {
		return
	}
	q.relay.Node.Count("forward.foreignResponses", int64(res.Skipped))
	q.relay.Node.Log.WithFields(logrus.Fields{"request": q.params.ID, "backend": b.ID, "addr": b.Addr, "responses": res.Skipped}).Warn("backend server sent responses that don't belong to the request; dropped them")
}

// ObserveResponse records what a response with the given status, and the headers of the
// informational responses before it, say of their server.
func ObserveResponse(n *node.Node, b backend, codec *Codec, status int, r Reply, informational []http.Header) {
	for _, h := range informational {
		ObserveFields(n, b, codec, r, h)
	}
	if r.SaysLimit(status) {
		n.ObserveLimit(b, r.Limit)
	}
	observeReply(n, b, r)
}

// observeReply records what a response says of its server, other than its rate limit.
func observeReply(n *node.Node, b backend, r Reply) {
	if r.WrongInstance {
		return
	}
	if r.Leaving {
		n.ObserveLeaving(b)
	}
	n.ObserveRetryAfter(b, r.RetryAfter)
}

// ObserveFields records what header fields besides the head of a response say of its
// server: those of an informational response, or its trailer. r is the response.
func ObserveFields(n *node.Node, b backend, codec *Codec, r Reply, h http.Header) {
	if !r.WrongInstance && codec.ParseReply(http.StatusContinue, h).Leaving {
		n.ObserveLeaving(b)
	}
}

// resumePermitTimeout bounds the wait for the permit to resume a run, whose stream stands
// still meanwhile.
const resumePermitTimeout = 2 * time.Second

// acquirePermit acquires the permit for a request to a backend server, if the server has
// a rate limit. A run that was stopped waits for it.
func (q *request) acquirePermit(ctx context.Context, b backend, p node.Purpose) error {
	n := q.relay.Node
	if p == node.Resume {
		ctx, cancel := context.WithTimeout(ctx, resumePermitTimeout)
		defer cancel()
		return n.AwaitPermit(ctx, b, p)
	}
	d, err := n.AcquirePermit(ctx, b, p)
	if err == nil && d.Verdict == limit.Granted {
		q.permitFrom = cmp.Or(d.Issuer, n.Settings.ID)
	}
	return err
}

// evacuated reports whether a request was not sent because its server is evacuated.
func evacuated(err error) bool {
	var d *limit.DeniedError
	return errors.As(err, &d) && d.Cause == limit.Evacuated
}

// denied reports whether a request was not sent because there was no permit for it, and
// logs that.
func (q *request) denied(err error) bool {
	var d *limit.DeniedError
	if !errors.As(err, &d) {
		return false
	}
	q.denials++
	q.relay.Node.Log.WithFields(logrus.Fields{
		"request": q.params.ID, "backend": d.Server.ID, "cause": d.Cause.String(), "rate": d.Rate, "waitMs": d.RetryAfter.Milliseconds(),
		"ms": sinceArrival(q).Milliseconds(),
	}).Info("no permit for a backend server")
	return true
}

// sendPurpose returns the purpose of the next send of the request to a server.
func (q *request) sendPurpose() node.Purpose {
	if q.sent > 0 {
		return node.Retry
	}
	return node.FirstSend
}
