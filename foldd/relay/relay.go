// Package relay forwards callers' requests to backend servers unchanged. It
// serves plain calls and streams of events, passes the remaining time on to the
// backend server, retries within a budget that all VMs share, and moves runs
// from an engine that is leaving (shutting down) to another one. A run is the
// generation of one stream at one engine.
package relay

import (
	"context"
	"fmt"
	"math/bits"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/poison"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/serve"
)

// Relay is the HTTP handler for forwarded requests. Node, Pool, Peers and Codec must be
// set.
type Relay struct {
	Node *node.Node
	Pool *pool.Pool
	// Peers holds the connections to other VMs, for requests that are passed on.
	Peers *pool.Pool
	Codec Codec
	// Mover copies runs between engines. If it is nil, runs are not moved.
	Mover *Mover

	mu sync.Mutex
	// runs holds the streams in progress by the ID of their backend server. It is
	// guarded by mu.
	runs map[string]map[*stream]struct{}
}

const (
	// rejectedRetryAfter is the Retry-After time of a request that was rejected
	// because of overload.
	rejectedRetryAfter = 500 * time.Millisecond
	// notReadyRetryAfter is the Retry-After time of a VM that has no configuration
	// or knows no backend server yet. An election and an announcement of a
	// backend server take about as long.
	notReadyRetryAfter = 1200 * time.Millisecond
	// otherVMRetryAfter is the Retry-After time of a VM that is shutting down: the
	// retry should reach another VM.
	otherVMRetryAfter = 20 * time.Millisecond
	// startupWaitDivisor limits the wait of a request that reaches a VM right
	// after its start: it waits for a configuration, and then for a backend
	// server, for at most its timeout divided by this number. startupPoll is the
	// interval between the checks.
	startupWaitDivisor = 4
	startupPoll        = 50 * time.Millisecond
)

// drainAcceptTime is how long new requests are accepted after a shutdown began.
// After that time, the platform sends requests only on connections that are
// already open.
const drainAcceptTime = 3 * time.Second

// request is a forwarded request in progress.
type request struct {
	relay   *Relay
	params  RequestParams
	forward *spec.Forward
	// workspace is the owner of the caller's key; nil if the request is not
	// authenticated, as on a public forward.
	workspace *spec.Workspace
	service   *spec.Service
	revision  uint64
	r         *http.Request
	body      []byte
	caller    *serve.Caller
	arrived   time.Time
	// deadline is when the request times out.
	deadline time.Time
	// crashParts holds the parts by which crashes of servers under the request are counted.
	// ServeHTTP sets it before the request is sent.
	crashParts []string
	// passedBy is the ID of the VM that passed the request on, empty if it came from its
	// caller. passedTo is the ID of the VM that it was passed to, and peerOutcome the
	// outcome in the response of that VM, empty if the response is a server's.
	passedBy, passedTo, peerOutcome string
	// sent counts the backend servers that may have received the request.
	sent int
	// mayHaveRun is set once a backend server may have begun the request.
	mayHaveRun bool
	// quarantined is set once the request was found to crash servers.
	quarantined bool
	// retryGranted is set while a retry of an idempotent request has been taken from the
	// budget and was not sent yet.
	retryGranted bool
	// reserved is the memory in bytes that the bodies of responses have reserved.
	reserved int64
	// backend is the ID of the backend server that the request was last sent to.
	// placedBy is the ID of the VM that chose it; empty if it was this VM.
	backend  string
	placedBy string
	// permitFrom is the ID of the VM that permitted the last send, empty if it needed no
	// permit. denials counts the sends that got none.
	permitFrom string
	denials    int
	// events counts the events that were sent to the caller. firstEvent is when
	// the first one was sent, and maxEventGap is the longest time between two.
	events      int
	firstEvent  time.Time
	maxEventGap time.Duration
	// moves counts how often the run was resumed.
	moves int
	// position is the ID of the last event of a resumable stream that the caller has, empty if
	// it has none.
	position string
	// resumes counts how often the stream went on at another server without its run's memory.
	// resumeCause is why it last did, and resumedFrom the ID of the server that it left.
	resumes                  int
	resumeCause, resumedFrom string
	// framing is that of the last response. partialBytes is the number of bytes
	// after the last whole event of a stream at the end of its last response.
	framing      pool.Framing
	partialBytes int
}

// ServeHTTP implements http.Handler.
func (x *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) { x.serve(w, r, "", 0) }

// serve serves a request. passedBy is the ID of the VM that passed it on, empty if it came
// from its caller, and sent the number of servers that the request was sent to before.
func (x *Relay) serve(w http.ResponseWriter, r *http.Request, passedBy string, sent int) {
	// The request counts before it is checked whether the VM is shutting down: a shutdown
	// that finds no request in progress closes the connections.
	acquired := x.Node.AcquireStream()
	if acquired {
		defer x.Node.ReleaseStream()
	}
	q, rejection := x.admit(r)
	q.passedBy, q.sent, q.mayHaveRun = passedBy, sent, sent > 0
	if x.Node.Draining() {
		w.Header().Set("Connection", "close")
	}
	if rejection != nil {
		x.writeFault(w, q, rejection)
		return
	}
	if x.Node.Memory.Rejects() {
		x.Node.Count("memory.rejected", 1)
		x.writeFault(w, q, fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "this VM is near its memory limit").WithRetryAfter(rejectedRetryAfter))
		return
	}
	if !acquired {
		x.writeFault(w, q, fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "too many requests in progress on this VM").WithRetryAfter(rejectedRetryAfter))
		return
	}
	q.crashParts = q.newCrashParts()
	x.awaitBackends(r.Context(), q)
	if q.passedBy == "" {
		x.Node.CountForward(q.service.Name)
	}
	x.Node.Count("forward.requests."+q.forward.Kind, 1)
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.forward.Kind == spec.ForwardStream {
		x.serveStream(ctx, w, q)
		return
	}
	x.servePlain(ctx, w, q)
}

// newRun describes the request's run at an engine, before it has generated tokens
// and without an ID.
func (q *request) newRun() place.Run {
	p := &q.params.Prompt
	r := place.Run{
		Group:      learn.Group{Class: fmt.Sprintf("%s<%d", q.forward.Name, limitBand(p.MaxTokens)), Model: p.Model},
		BaseTokens: p.Tokens,
		MaxTokens:  p.MaxTokens,
	}
	if q.workspace != nil {
		r.Group.Workspace = q.workspace.Name
	}
	return q.targetRun(r)
}

// limitBand returns a power of four that is greater than maxTokens. It is part of
// a run's group, so that the lengths of runs with very different limits are
// learned separately.
func limitBand(maxTokens int) int { return 1 << (2 * ((bits.Len(uint(maxTokens)) + 1) / 2)) }

// eventTokens returns the number of tokens in an event of the service, at least
// 1.
func (q *request) eventTokens() int {
	if e := q.service.Engine; e != nil {
		return max(e.EventTokens, 1)
	}
	return 1
}

// backendRequest returns the request to send to backend server b; resume is nil
// unless it continues a run.
func (q *request) backendRequest(b backend, resume *Resume) *pool.Request {
	h := q.r.Header.Clone()
	removeHopHeaders(h)
	removePeerHeaders(h)
	p := ForwardParams{Backend: b.ID, Remaining: time.Until(q.deadline), Priority: q.priority(), Resume: resume}
	if resume == nil {
		p.LastEventID = q.position
	}
	if q.workspace != nil {
		p.Workspace = q.workspace.Name
	}
	q.relay.Codec.WriteForward(h, p)
	return &pool.Request{
		Addr: b.Addr, Method: q.r.Method, URI: q.uri(), Host: q.r.Host, Header: h, Body: q.body,
		Matches: q.matchesResponse,
	}
}

// uri returns the path and the query of the request as the caller sent them.
func (q *request) uri() string {
	if strings.HasPrefix(q.r.RequestURI, "/") {
		return q.r.RequestURI
	}
	return q.r.URL.RequestURI()
}

// fingerprint returns what the request has in common only with its repeats: those from
// the same workspace with the same method, host, path and body.
func (q *request) fingerprint() string {
	workspace := ""
	if q.workspace != nil {
		workspace = q.workspace.Name
	}
	return poison.Fingerprint(workspace, q.r.Method, q.r.Host, q.uri(), string(q.body))
}

// maxRank is the highest rank, and so the lowest priority, that engines support.
const maxRank = 9

// priority returns the engine's scheduling priority for the request: the rank of
// the workspace, if it has one, or else of the forward.
func (q *request) priority() int {
	rank := q.forward.Rank
	if q.workspace != nil && q.workspace.Rank != nil {
		rank = *q.workspace.Rank
	}
	return min(max(rank, 0), maxRank)
}

// log logs the end of the request; it is called once for each request.
func (q *request) log(status int, o retry.Outcome, reason string) {
	fields := logrus.Fields{
		"request": q.params.ID, "status": status, "outcome": o.String(), "ms": time.Since(q.arrived).Milliseconds(),
		"revision": q.revision, "sent": q.sent,
	}
	if q.forward != nil {
		fields["forward"] = q.forward.Name
		fields["kind"] = q.forward.Kind
	}
	if q.backend != "" {
		fields["backend"] = q.backend
	}
	if !q.firstEvent.IsZero() {
		fields["firstMs"] = q.firstEvent.Sub(q.arrived).Milliseconds()
		fields["pauseMs"] = q.maxEventGap.Milliseconds()
		fields["events"] = q.events
	}
	if p := q.params.Prompt; p.Tokens > 0 {
		fields["promptTokens"] = p.Tokens
		fields["maxTokens"] = p.MaxTokens
	}
	if q.passedBy != "" {
		fields["passedBy"] = q.passedBy
	}
	if q.passedTo != "" {
		fields["passedTo"] = q.passedTo
	}
	if q.peerOutcome != "" {
		fields["peerOutcome"] = q.peerOutcome
	}
	if q.placedBy != "" {
		fields["placedBy"] = q.placedBy
	}
	if q.permitFrom != "" {
		fields["permitFrom"] = q.permitFrom
	}
	if q.denials > 0 {
		fields["denials"] = q.denials
	}
	if q.moves > 0 {
		fields["moves"] = q.moves
	}
	if q.resumes > 0 {
		fields["resumes"], fields["resumeCause"], fields["resumedFrom"] = q.resumes, q.resumeCause, q.resumedFrom
	}
	if q.framing != pool.ByLength {
		fields["framing"] = q.framing.String()
	}
	if q.partialBytes > 0 {
		fields["partialBytes"] = q.partialBytes
	}
	if reason != "" {
		fields["reason"] = reason
	}
	q.relay.Node.Log.WithFields(fields).Info("request ended")
}

// recordFraming notes how the end of a response is marked, for the log, and counts
// responses that end with their connection.
func (q *request) recordFraming(res *pool.Response) {
	q.framing = res.Framing
	if res.Framing == pool.CloseDelimited {
		q.relay.Node.Count("forward.closeDelimited", 1)
	}
}
