// Package entry serves the HTTP requests of callers. It authenticates them, runs
// generations and plain calls, and states in each error response whether the
// request ran.
//
// An answer is the result of a generation or of a plain call. It differs from an
// HTTP response: if the connection to the caller is lost, the rest of the answer of
// a generation may be sent in the response to another request.
package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"fuchsiafold.example/fold/handle"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/engine"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/trace"
	"fuchsiafold.example/netio/serve"
)

// Header names of the callers' protocol.
const (
	headerClass       = "Fold-Class"
	headerIdempotency = "Idempotency-Key"
	headerLastEvent   = "Last-Event-Id"
)

// Handler serves the HTTP requests of callers.
type Handler struct {
	Node    *node.Node
	Engines *engine.Client
	// Claims stores the claims of calls that run at most once. If it is nil,
	// these calls are rejected.
	Claims ClaimStore
	// Transport sends plain calls. It must not send a call again.
	Transport http.RoundTripper
}

// ServeHTTP implements http.Handler.
func (e *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		e.serveHealth(w)
		return
	}
	ctx, span := trace.Start(trace.Extract(r), "entry")
	defer span.End()
	if fail := e.serve(ctx, w, r); fail != nil && fail != errCallerDisconnected {
		e.Node.Count("errors."+fail.Code, 1)
		fail.Write(w)
	}
}

// serveHealth responds to the health checks of the platform's load balancer. The VM
// is ready if it has a configuration and is not draining.
func (e *Handler) serveHealth(w http.ResponseWriter) {
	if e.Node.Draining() || e.Node.Index() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, "not ready\n")
		return
	}
	io.WriteString(w, "ok\n")
}

// requester is the sender of a request, with the configuration under which the
// request is served.
type requester struct {
	workspace string
	index     *spec.Index
	caller    *serve.Caller
	// requestID is the caller's name for the request in the logs, empty if there is none.
	requestID string
}

func (e *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) *fault.Fault {
	// The request counts before it is checked whether the VM is shutting down: a shutdown
	// that finds no request in progress closes the connections.
	if !e.Node.AcquireStream() {
		return withoutClaim(r, fault.NotRun(http.StatusTooManyRequests, fault.Overload, "too many requests in progress on this VM").WithRetryAfter(time.Second))
	}
	defer e.Node.ReleaseStream()
	if e.Node.Memory.Rejects() {
		e.Node.Count("memory.rejected", 1)
		return withoutClaim(r, fault.NotRun(http.StatusServiceUnavailable, fault.Overload, "this VM is near its memory limit").WithRetryAfter(time.Second))
	}
	a, fail := e.admit(r)
	if fail != nil {
		return withoutClaim(r, fail)
	}
	switch {
	case r.URL.Path == "/v1/models":
		return e.serveModels(w, a)
	case r.URL.Path == "/v1/completions" && r.Header.Get(headerLastEvent) != "":
		return e.serveResume(ctx, w, r, a)
	case r.URL.Path == "/v1/completions":
		return e.serveCompletion(ctx, w, r, a)
	}
	return e.serveCall(ctx, w, r, a)
}

// admit checks that this VM accepts requests, and authenticates the sender.
func (e *Handler) admit(r *http.Request) (requester, *fault.Fault) {
	index := e.Node.Index()
	if index == nil {
		return requester{}, fault.NotRun(http.StatusServiceUnavailable, fault.NotConfigured, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	if e.Node.Draining() {
		return requester{}, fault.NotRun(http.StatusServiceUnavailable, fault.Draining, "this VM is shutting down").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return requester{}, fault.NotRun(http.StatusUnauthorized, fault.Unauthorized, "send the workspace key as \"Authorization: Bearer KEY\"")
	}
	workspace, ok := index.WorkspaceName(key)
	if !ok {
		return requester{}, fault.NotRun(http.StatusUnauthorized, fault.Unauthorized, "unknown workspace key")
	}
	return requester{workspace: workspace, index: index, caller: serve.CallerOf(r), requestID: r.Header.Get(headerRequestID)}, nil
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *Handler) serveModels(w http.ResponseWriter, a requester) *fault.Fault {
	list := modelList{Object: "list"}
	for _, s := range a.index.Document().Services {
		for _, m := range s.Models {
			list.Data = append(list.Data, modelInfo{ID: m, Object: "model"})
		}
	}
	writeJSON(w, list)
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// readBody reads a request's body. It rejects a body larger than MaxBody bytes.
func (e *Handler) readBody(r *http.Request) ([]byte, *fault.Fault) {
	return fault.ReadBody(r, e.Node.Settings.Limits.MaxBody)
}

func (e *Handler) key() handle.Key { return handle.Key(e.Node.Settings.HandleKey) }
