package relay

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/netio/pool"
)

// Header fields between a VM that can't reach the servers for a request and the VM that it
// passes the request to.
const (
	// headerPeerVM is the ID of the VM that passes the request on.
	headerPeerVM = "Fold-Peer-Vm"
	// headerPeerSent is the number of backend servers that the request was sent to before.
	headerPeerSent = "Fold-Peer-Sent"
	// headerPeerToken is the token of calls between VMs.
	headerPeerToken = "Fold-Peer-Token"
	// headerPeerDeclined is set in the response if the VM has not begun the request and
	// another VM may serve it. It is the code of the fault.
	headerPeerDeclined = "Fold-Peer-Declined"
	// headerPeerBackend is set in the response of a backend server, to the ID of that server.
	headerPeerBackend = "Fold-Peer-Backend"
)

const (
	// peerDialTimeout limits the time to connect to another VM.
	peerDialTimeout = 150 * time.Millisecond
	// maxPeers bounds the VMs that a request is passed to, one after the other.
	maxPeers = 3
)

var (
	errPeerDeclined = eris.New("the VM that the request was passed to did not take it")
	errPeerLost     = eris.New("the VM that the request was passed to did not answer completely")
)

// NewPeerPool returns a pool of connections to other VMs.
func NewPeerPool() *pool.Pool { return &pool.Pool{DialTimeout: peerDialTimeout} }

// FromPeer reports whether another VM passes a request on. It must be asked only for
// requests at an address that callers can't reach.
func FromPeer(r *http.Request) bool { return r.Header.Get(headerPeerVM) != "" }

// ServePeer serves a request that another VM passes on because it can't reach the servers
// for it. Such a request is not passed on again.
func (x *Relay) ServePeer(w http.ResponseWriter, r *http.Request) {
	token := x.Node.Settings.PeerToken
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(headerPeerToken)), []byte(token)) != 1 {
		http.Error(w, "token is missing or wrong", http.StatusUnauthorized)
		return
	}
	x.Node.Count("peer.received", 1)
	x.serve(w, r, r.Header.Get(headerPeerVM), ParseCount(r.Header.Get(headerPeerSent)))
}

// removePeerHeaders removes the header fields between VMs.
func removePeerHeaders(h http.Header) {
	for _, name := range []string{headerPeerVM, headerPeerSent, headerPeerToken, headerPeerDeclined, headerPeerBackend} {
		h.Del(name)
	}
}

// declinesPeer reports whether a fault tells the VM that passed the request on to try
// another VM: the request was not begun, for a reason of this VM's own.
func (q *request) declinesPeer(f *fault.Fault) bool {
	if q.passedBy == "" || f.Outcome != retry.NotRun {
		return false
	}
	return f.Code == fault.NoBackend || f.Code == fault.Draining || f.Code == fault.NotConfigured
}

// mayPassOn reports whether the request may be passed to another VM after the fault f: it
// provably did not run, or is a retry that the budget allows, and this VM can't reach most
// servers for it. A request in quarantine is not passed on: crashed servers can't be reached
// either, and the other VM may not know of the quarantine yet.
func (q *request) mayPassOn(f *fault.Fault) bool {
	rejected := f.Outcome == retry.NotRun && (f.Code == fault.NoBackend || f.Code == fault.Overload)
	allowed := rejected && !q.mayHaveRun || q.retryGranted
	return allowed && !q.quarantined && q.passedBy == "" && q.relay.Node.CutOff(q.service.Name)
}

// passOn passes the request to other VMs, one after the other, until one takes it. It
// returns its response, or a fault if one may have begun the request and its response was
// lost or can't be passed on. It returns neither if no VM took it. The caller must call
// endPass once the response has been read.
func (q *request) passOn(ctx context.Context) (*pool.Response, *fault.Fault) {
	n := q.relay.Node
	var tried []string
	for range maxPeers {
		p, ok := n.PickPeer(q.service.Name, tried)
		if !ok {
			break
		}
		tried = append(tried, p.ID)
		res, err := q.relay.Peers.Do(ctx, q.peerRequest(p))
		if err == nil && res.Header.Get(headerPeerDeclined) != "" {
			res.Body.Close()
			err = &pool.Error{Err: errPeerDeclined}
		}
		if err == nil {
			q.passedTo = p.ID
			q.sent++
			n.Count("peer.passed", 1)
			err := q.checkPeerStatus(res)
			q.observePeerResponse(res)
			if err != nil {
				res.Body.Close()
				q.endPass()
				return nil, failedFault(err)
			}
			return res, nil
		}
		n.EndPass(q.service.Name, p.ID, ctx.Err() == nil)
		q.logPassFailure(p, err)
		switch {
		case ctx.Err() != nil && pool.WasSent(err):
			q.sent++
			return nil, q.timeoutFault(ctx)
		case ctx.Err() != nil:
			return nil, nil
		case pool.WasSent(err):
			q.sent++
			return nil, failedFault(errPeerLost)
		}
	}
	return nil, nil
}

// observePeerResponse records that a server is leaving if it says so in a response that
// another VM has passed back: this VM passes that on to its caller. What else the server says
// of itself concerns the VM that has sent the request.
func (q *request) observePeerResponse(res *pool.Response) {
	n := q.relay.Node
	b, known := n.Backend(res.Header.Get(headerPeerBackend))
	if known && q.relay.Codec.ParseReply(res.Status, res.Header).Leaving {
		n.ObserveLeaving(b)
	}
	removePeerHeaders(res.Header)
}

// namePeerBackend names the server of a response to the VM that has passed the request on.
func (q *request) namePeerBackend(h http.Header) {
	removePeerHeaders(h)
	if q.passedBy != "" {
		h.Set(headerPeerBackend, q.backend)
	}
}

// endPass ends the count of a request that another VM serves.
func (q *request) endPass() {
	if q.passedTo != "" {
		q.relay.Node.EndPass(q.service.Name, q.passedTo, false)
	}
}

// peerRequest returns the request to pass to another VM.
func (q *request) peerRequest(p member.Peer) *pool.Request {
	h := q.r.Header.Clone()
	removeHopHeaders(h)
	removePeerHeaders(h)
	h.Set(headerPeerVM, q.relay.Node.Settings.ID)
	h.Set(headerPeerSent, strconv.Itoa(q.sent))
	if token := q.relay.Node.Settings.PeerToken; token != "" {
		h.Set(headerPeerToken, token)
	}
	q.relay.Codec.SetTimeout(h, time.Until(q.deadline))
	if q.position != "" {
		// Every codec reads the position from this field, which the standard on
		// server-sent events names.
		h.Set(headerLastEvent, q.position)
	}
	return &pool.Request{Addr: p.Addr, Method: q.r.Method, URI: q.uri(), Host: q.r.Host, Header: h, Body: q.body, Framed: true, Matches: q.matchesPeerResponse}
}

// logPassFailure logs that another VM did not take the request.
func (q *request) logPassFailure(p member.Peer, err error) {
	q.relay.Node.Count("peer.failed", 1)
	q.relay.Node.Log.WithError(err).WithFields(logrus.Fields{
		"request": q.params.ID, "peer": p.ID, "declined": errors.Is(err, errPeerDeclined), "sent": pool.WasSent(err), "ms": sinceArrival(q).Milliseconds(),
	}).Info("request not served by another VM")
}

// passOnPlain passes a request to another VM and reads the whole response. It returns f if
// no VM took the request.
func (q *request) passOnPlain(ctx context.Context, f *fault.Fault) (*response, *fault.Fault) {
	res, lost := q.passOn(ctx)
	switch {
	case lost != nil:
		return nil, lost
	case res == nil:
		return nil, f
	}
	defer q.endPass()
	defer res.Body.Close()
	q.recordFraming(res)
	body, reserved, err := q.relay.Node.Answers.Read(res.Body, res.Length, q.relay.Node.Settings.Limits.MaxAnswer)
	q.reserved += reserved
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, q.timeoutFault(ctx)
	case err != nil:
		return nil, failedFault(errPeerLost)
	}
	q.peerOutcome = res.Header.Get(fault.HeaderOutcome)
	return &response{status: res.Status, header: res.Header, body: body}, nil
}

// relayPeer relays the events of a stream that another VM serves. That VM sends complete
// events only, and moves the run if its engine leaves.
func (s *stream) relayPeer(ctx context.Context, res *pool.Response) *fault.Fault {
	defer s.q.endPass()
	s.viaPeer = true
	// The rest of the response before may be part of an event.
	s.splitter.Reset()
	s.q.peerOutcome = res.Header.Get(fault.HeaderOutcome)
	err := s.relayResponse(ctx, res)
	switch {
	case err != nil && ctx.Err() != nil:
		return s.q.timeoutFault(ctx)
	case err != nil:
		return s.interruptedFault(err)
	}
	return nil
}
