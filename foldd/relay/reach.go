package relay

import (
	"context"
	"time"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/netio/pool"
)

// Times without a response after which it is checked whether the server can still be
// reached. An engine may read a prompt for longer than a plain service works.
const (
	suspectAfter       = 400 * time.Millisecond
	suspectEngineAfter = time.Second
)

// ProbeServer finds out whether a backend server can be reached, and keeps the connection for the
// next request.
func (x *Relay) ProbeServer(b backend) {
	if err := x.Pool.Probe(context.Background(), b.Addr); err != nil {
		x.connectFailed(b, err)
		return
	}
	x.Node.ServerAnswered(b)
}

// connectFailed records that a connection to a backend server could not be opened. Idle
// connections to a server that can't be reached are closed: they may be dead. A server that
// has reset the connection, as one does that has no room for it, can be reached.
func (x *Relay) connectFailed(b backend, err error) {
	if pool.ResetByServer(err) {
		x.Node.ServerAnswered(b)
		return
	}
	if x.Node.ConnectFailed(b, err) {
		x.Pool.CloseIdle(b.Addr)
	}
}

// watchSilence has the server of a request probed if it does not respond in time. The
// caller must stop the timer when the response or an error has arrived.
func (q *request) watchSilence(b backend) *time.Timer {
	after := suspectAfter
	if q.forward.Kind == spec.ForwardStream {
		after = suspectEngineAfter
	}
	return time.AfterFunc(after, func() { q.relay.Node.SuspectServer(b) })
}
