package relay

import (
	"context"
	"net/http"
	"time"

	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/netio/pool"
)

// exchange sends the request to a backend server, and records what the response says of
// the server's rate limit. resume is nil unless the request continues a run.
func (q *request) exchange(ctx context.Context, b backend, p node.Purpose, resume *Resume) (*pool.Response, error) {
	q.relay.Node.CountSend(b, p)
	res, err := q.relay.Pool.Do(ctx, q.backendRequest(b, resume))
	if err != nil {
		return nil, err
	}
	reply := q.relay.Codec.ParseReply(res.Status, res.Header)
	if saysLimit(res.Status, &reply) {
		q.relay.Node.ObserveLimit(b, reply.Limit)
	}
	return res, nil
}

// saysLimit reports whether a response says something of its server's rate limit. One
// that names none says so only if the server itself has handled the request.
func saysLimit(status int, r *Reply) bool {
	if r.WrongInstance {
		return false
	}
	return r.Limit.Named || r.Limit.Invalid || !r.NotRun && status < http.StatusInternalServerError
}

// sendPurpose returns the purpose of the next send of the request to a server.
func (q *request) sendPurpose() node.Purpose {
	if q.sent > 0 {
		return node.Retry
	}
	return node.FirstSend
}

// copyMemory copies the part of a run's memory that was not copied before to another
// engine. If stop is set, the run is stopped first.
func (x *Relay) copyMemory(ctx context.Context, s *stream, from, target backend, stop bool) (handle string, err error) {
	x.Node.CountSend(from, node.CopyRun)
	return x.Mover.Copy(ctx, from.Addr, s.q.params.ID, target.Addr, stop)
}

// freeTimeout bounds the call that frees a copy.
const freeTimeout = time.Second

// free frees a copy of a run and logs a failure.
func (x *Relay) free(source backend, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	x.Node.CountSend(source, node.FreeCopy)
	if err := x.Mover.Free(ctx, source.Addr, handle); err != nil {
		x.Node.Log.WithError(err).WithField("handle", handle).Warn("freeing the copy of a run failed")
	}
}
