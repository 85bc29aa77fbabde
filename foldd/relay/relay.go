// Package relay forwards callers' requests to backend servers unchanged: plain
// calls and streams of events, with deadlines that shrink on the way, repeats
// within a budget that all VMs share, and runs that move from an engine that
// leaves to another one.
package relay

import (
	"context"
	"fmt"
	"io"
	"math/bits"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/serve"
)

// Relay is the handler of forwarded requests. Node, Pool and Codec are set.
type Relay struct {
	Node  *node.Node
	Pool  *pool.Pool
	Codec Codec
	// Mover copies runs between engines; nil leaves them where they are.
	Mover *Mover

	mu sync.Mutex
	// runs holds the streams in progress at each backend server.
	runs map[string]map[*stream]struct{}
}

const (
	// turnaway is when a caller may come back that met a busy server.
	turnaway = 500 * time.Millisecond
	// notReady is when a caller may come back that met a VM which knows no
	// configuration or no backend server yet: an election and an announcement
	// take about as long.
	notReady = 1200 * time.Millisecond
	// elsewhere is when a caller may come back that should reach another VM.
	elsewhere = 20 * time.Millisecond
	// awaitShare is the part of a request's time that it waits for the first
	// backend server to be known, at awaitPoll.
	awaitShare = 4
	awaitPoll  = 50 * time.Millisecond
)

// drainTail is how long after the start of a shutdown new requests are taken:
// by then the platform sends none, but for connections that are kept.
const drainTail = 3 * time.Second

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// request is one request on its way.
type request struct {
	relay   *Relay
	ask     RequestParams
	forward *spec.Forward
	// workspace is the owner of the caller's key, nil for public forwards.
	workspace *spec.Workspace
	service   *spec.Service
	revision  uint64
	r         *http.Request
	body      []byte
	caller    *serve.Caller
	arrived   time.Time
	// until is when the request is given up.
	until time.Time
	// sent counts the backend servers that may have got the request.
	sent int
	// ran is set once one of them may have begun it.
	ran bool
	// backend is the last server that it went to, placedBy the other VM that
	// chose it.
	backend  string
	placedBy string
	// events counts the events of a stream that were passed on; firstEvent is
	// when the first one was, and pause the longest time between two.
	events     int
	firstEvent time.Time
	pause      time.Duration
	// moves counts the engines that the run went on at.
	moves int
}

// ServeHTTP implements http.Handler.
func (x *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, refusal := x.admit(r)
	if x.Node.Draining() {
		w.Header().Set("Connection", "close")
	}
	if refusal != nil {
		x.refuse(w, q, refusal)
		return
	}
	if !x.Node.AcquireStream() {
		x.refuse(w, q, fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "too many requests in progress on this VM").WithRetryAfter(turnaway))
		return
	}
	defer x.Node.ReleaseStream()
	x.await(r.Context(), q)
	x.Node.CountForward(q.service.Name)
	x.Node.Count("forward.requests."+q.forward.Kind, 1)
	ctx, cancel := context.WithDeadline(r.Context(), q.until)
	defer cancel()
	if q.forward.Kind == spec.ForwardStream {
		x.serveStream(ctx, w, q)
		return
	}
	x.servePlain(ctx, w, q)
}

// awaitConfig returns the configuration in force. On a VM that has just started
// and has none yet it holds the request for a while.
func (x *Relay) awaitConfig(ctx context.Context, q *request) *spec.Index {
	limit := q.arrived.Add(q.ask.Timeout / awaitShare)
	for x.Node.Index() == nil && x.Node.Starting() && time.Now().Before(limit) && ctx.Err() == nil {
		sleep(ctx, awaitPoll)
	}
	return x.Node.Index()
}

// await holds a request for a while on a VM that has just started and knows no
// backend server of the service yet.
func (x *Relay) await(ctx context.Context, q *request) {
	limit := q.arrived.Add(q.until.Sub(q.arrived) / awaitShare)
	for x.Node.AwaitingBackends(q.service.Name) && time.Now().Before(limit) && ctx.Err() == nil {
		sleep(ctx, awaitPoll)
	}
}

// admit reads a request and checks that it may be forwarded.
func (x *Relay) admit(r *http.Request) (*request, *fault.Fault) {
	q := &request{relay: x, r: r, arrived: time.Now(), ask: x.Codec.ParseRequest(r.Header), caller: serve.CallerOf(r)}
	index := x.awaitConfig(r.Context(), q)
	if index == nil {
		return q, fault.NotRun(http.StatusServiceUnavailable, fault.NotConfigured, "no configuration is in force yet").WithRetryAfter(notReady)
	}
	q.revision = index.Revision()
	var ok bool
	if q.forward, ok = index.Forward(r.Host, r.URL.Path); !ok {
		return q, fault.NotRun(http.StatusNotFound, fault.UnknownRoute, "no forward for "+strconv.Quote(r.Host+r.URL.Path))
	}
	if !q.authorize(index) {
		return q, fault.NotRun(http.StatusUnauthorized, fault.Unauthorized, "the workspace key is missing or unknown")
	}
	if q.service, ok = index.Service(q.forward.PickService(x.Node.Random())); !ok {
		return q, fault.NotRun(http.StatusServiceUnavailable, fault.NoBackend, "the service is not configured").WithRetryAfter(turnaway)
	}
	q.until = q.arrived.Add(time.Duration(q.forward.Timeout))
	if !q.endsBeforeShutdown() {
		return q, fault.NotRun(http.StatusServiceUnavailable, fault.Draining, "this VM is shutting down").WithRetryAfter(elsewhere)
	}
	if q.ask.Timeout > 0 {
		q.until = q.arrived.Add(min(q.ask.Timeout, time.Duration(q.forward.Timeout)))
	}
	return q, q.read(index)
}

// endsBeforeShutdown reports whether the request may still be taken: on a VM
// that shuts down, only in the first while, and if it will end in time.
func (q *request) endsBeforeShutdown() bool {
	at, draining := q.relay.Node.DrainingSince()
	if !draining {
		return true
	}
	gone := q.arrived.Sub(at)
	if gone > drainTail {
		return false
	}
	left := time.Duration(q.relay.Node.Settings.Limits.DrainTimeout) - gone
	return q.forward.Kind != spec.ForwardStream || q.timeLeft(q.run(), place.EventRate{}) < left
}

// run returns the run that the request will be at an engine.
func (q *request) run() place.Run {
	p := &q.ask.Prompt
	r := place.Run{
		Group:      learn.Group{Class: fmt.Sprintf("%s<%d", q.forward.Name, limitBand(p.MaxTokens)), Model: p.Model},
		BaseTokens: p.Tokens,
		MaxTokens:  p.MaxTokens,
	}
	if q.workspace != nil {
		r.Group.Workspace = q.workspace.Name
	}
	return r
}

// limitBand returns a power of four above a limit on tokens: runs whose limits
// differ much are learned apart.
func limitBand(most int) int { return 1 << (2 * ((bits.Len(uint(most)) + 1) / 2)) }

// likely is the chance with which a run ends within the time that counts as its
// length.
const likely = 0.8

// timeLeft returns how long a run will probably go on.
func (q *request) timeLeft(r place.Run, p place.EventRate) time.Duration {
	return p.TimeFor(q.relay.Node.RemainingTokens(r, likely) / q.eventTokens())
}

// eventTokens returns the number of tokens in an event.
func (q *request) eventTokens() int {
	if e := q.service.Engine; e != nil {
		return max(e.EventTokens, 1)
	}
	return 1
}

// authorize finds the workspace of the caller's key and reports whether the
// request may pass. A deployment without workspaces needs no key.
func (q *request) authorize(index *spec.Index) bool {
	if len(index.Document().Workspaces) == 0 {
		return true
	}
	w, known := index.WorkspaceByKey(q.ask.Key)
	if known && q.ask.Key != "" {
		q.workspace = w
	}
	return q.workspace != nil || q.forward.Public
}

// read takes in the body.
func (q *request) read(index *spec.Index) *fault.Fault {
	limit := q.relay.Node.Settings.Limits.MaxBody
	if most := index.Document().MaxBody; most > 0 {
		limit = min(limit, most)
	}
	if q.r.Body == nil {
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(q.r.Body, int64(limit)+1))
	if err != nil {
		return fault.NotRun(http.StatusBadRequest, fault.BadRequest, "the body can't be read: "+err.Error())
	}
	if len(b) > limit {
		return fault.NotRun(http.StatusRequestEntityTooLarge, fault.TooLarge, "the body exceeds the size limit")
	}
	q.body = b
	return nil
}

// onward returns the request for a backend server.
func (q *request) onward(b backend, resume *Resume) *pool.Request {
	h := q.r.Header.Clone()
	dropHop(h)
	o := ForwardParams{Backend: b.ID, Remaining: time.Until(q.until), Priority: q.rank(), Resume: resume}
	if q.workspace != nil {
		o.Workspace = q.workspace.Name
	}
	q.relay.Codec.WriteForward(h, o)
	uri := q.r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = q.r.URL.RequestURI()
	}
	return &pool.Request{
		Addr: b.Addr, Method: q.r.Method, URI: uri, Host: q.r.Host, Header: h, Body: q.body,
		Matches: q.mine,
	}
}

// mine reports whether an answer belongs to the request.
func (q *request) mine(h http.Header) bool {
	id := q.relay.Codec.ParseReply(http.StatusOK, h).ID
	return id == "" || q.ask.ID == "" || id == q.ask.ID
}

// maxRank is the last rank that engines know.
const maxRank = 9

// rank returns the engine's priority for the request.
func (q *request) rank() int {
	rank := q.forward.Rank
	if q.workspace != nil && q.workspace.Rank != nil {
		rank = *q.workspace.Rank
	}
	return min(max(rank, 0), maxRank)
}

// dropHop removes the headers that concern one connection only.
func dropHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// refuse answers with an error of the system's own.
func (x *Relay) refuse(w http.ResponseWriter, q *request, f *fault.Fault) {
	x.Node.Count("errors."+f.Code, 1)
	q.log(f.Status, f.Outcome, f.Message)
	if f.RetryAfter > 0 && x.Codec.RetryAfter != nil {
		w.Header().Set("Retry-After", x.Codec.RetryAfter(f.RetryAfter))
	}
	f.Write(w)
}

// log writes the one line about a request's end.
func (q *request) log(status int, o retry.Outcome, reason string) {
	fields := logrus.Fields{
		"request": q.ask.ID, "status": status, "outcome": o.String(), "ms": time.Since(q.arrived).Milliseconds(),
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
		fields["pauseMs"] = q.pause.Milliseconds()
		fields["events"] = q.events
	}
	if p := q.ask.Prompt; p.Tokens > 0 {
		fields["promptTokens"] = p.Tokens
		fields["maxTokens"] = p.MaxTokens
	}
	if q.placedBy != "" {
		fields["placedBy"] = q.placedBy
	}
	if q.moves > 0 {
		fields["moves"] = q.moves
	}
	if reason != "" {
		fields["reason"] = reason
	}
	q.relay.Node.Log.WithFields(fields).Info("request ended")
}

// expired returns the error for a request that is given up.
func (q *request) expired() *fault.Fault {
	if q.sent == 0 {
		return fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "no backend server took the request in time").WithRetryAfter(turnaway)
	}
	return &fault.Fault{Status: http.StatusGatewayTimeout, Code: fault.UnknownOutcome, Message: "no whole answer came in time", Outcome: retry.Unknown}
}

// copyHeader hands a backend server's header on.
func copyHeader(w http.ResponseWriter, h http.Header) {
	dropHop(h)
	out := w.Header()
	for name, values := range h {
		if name != "Content-Length" {
			out[name] = values
		}
	}
}
