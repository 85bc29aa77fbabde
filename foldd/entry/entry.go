// Package entry serves callers: it authenticates them, runs their generations
// and plain calls, and tells the truth about what did not run.
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

// Handler is the handler of callers' requests.
type Handler struct {
	Node    *node.Node
	Engines *engine.Client
	// Claims guards calls that may run at most once; nil refuses them.
	Claims ClaimStore
	// IdempotentTransport sends idempotent plain calls, Once all others.
	IdempotentTransport http.RoundTripper
	AtMostOnceTransport http.RoundTripper
}

// ServeHTTP implements http.Handler.
func (e *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		e.health(w)
		return
	}
	ctx, span := trace.Start(trace.Extract(r), "entry")
	defer span.End()
	if fail := e.serve(ctx, w, r); fail != nil && fail != errLeft {
		e.Node.Count("errors."+fail.Code, 1)
		fail.Write(w)
	}
}

// health is what the platform's balancer asks for.
func (e *Handler) health(w http.ResponseWriter) {
	if e.Node.Draining() || e.Node.Index() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, "not ready\n")
		return
	}
	io.WriteString(w, "ok\n")
}

// asker is who sent a request, and under which configuration it is served.
type asker struct {
	workspace string
	index     *spec.Index
	caller    *serve.Caller
}

func (e *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) *fault.Fault {
	a, fail := e.admit(r)
	if fail != nil {
		return fail
	}
	if !e.Node.AcquireStream() {
		return fault.NotRun(http.StatusTooManyRequests, fault.Overload, "too many requests in progress on this VM").WithRetryAfter(time.Second)
	}
	defer e.Node.ReleaseStream()
	switch {
	case r.URL.Path == "/v1/models":
		return e.models(w, a)
	case r.URL.Path == "/v1/completions" && r.Header.Get(headerLastEvent) != "":
		return e.resume(ctx, w, r, a)
	case r.URL.Path == "/v1/completions":
		return e.complete(ctx, w, r, a)
	}
	return e.call(ctx, w, r, a)
}

// admit checks whether requests are taken at all, and who asks.
func (e *Handler) admit(r *http.Request) (asker, *fault.Fault) {
	index := e.Node.Index()
	if index == nil {
		return asker{}, fault.NotRun(http.StatusServiceUnavailable, fault.NotConfigured, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	if e.Node.Draining() {
		return asker{}, fault.NotRun(http.StatusServiceUnavailable, fault.Draining, "this VM is shutting down").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return asker{}, fault.NotRun(http.StatusUnauthorized, fault.Unauthorized, "send the workspace key as \"Authorization: Bearer KEY\"")
	}
	workspace, ok := index.WorkspaceName(key)
	if !ok {
		return asker{}, fault.NotRun(http.StatusUnauthorized, fault.Unauthorized, "unknown workspace key")
	}
	return asker{workspace: workspace, index: index, caller: serve.CallerOf(r)}, nil
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *Handler) models(w http.ResponseWriter, a asker) *fault.Fault {
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

// readBody reads a request's body up to the limit.
func (e *Handler) readBody(r *http.Request) ([]byte, *fault.Fault) {
	limit := e.Node.Settings.Limits.MaxBody
	b, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, fault.NotRun(http.StatusBadRequest, fault.BadRequest, "the body can't be read: "+err.Error())
	}
	if len(b) > limit {
		return nil, fault.NotRun(http.StatusRequestEntityTooLarge, fault.TooLarge, "the body exceeds the size limit")
	}
	return b, nil
}

func (e *Handler) key() handle.Key { return handle.Key(e.Node.Settings.HandleKey) }
