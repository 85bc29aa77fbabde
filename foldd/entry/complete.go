package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"

	"fuchsiafold.example/fold/poison"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/engine"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/trace"
)

// completionRequest is the body of a completions request. Other fields of the
// protocol are ignored.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Class is the request's class if the header Fold-Class is absent.
	Class string `json:"class"`
}

const (
	// bytesPerToken is the assumed size of a token, used to estimate the length
	// of a prompt in tokens.
	bytesPerToken = 4
	// prefixBytes is the length of the prefix by which prompts are compared.
	prefixBytes = 256
	// maxTokens is the largest max_tokens that a request may state.
	maxTokens = 1 << 20
)

func estimateTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// prefixHash returns the hash of the first prefixBytes bytes of a prompt, in
// hexadecimal, or an empty string if the prompt is shorter.
func prefixHash(prompt string) string {
	if len(prompt) < prefixBytes {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64String(prompt[:prefixBytes]), 16)
}

// serveCompletion serves a completions request that starts a new generation.
func (e *Handler) serveCompletion(ctx context.Context, w http.ResponseWriter, r *http.Request, a requester) *fault.Fault {
	if r.Method != http.MethodPost {
		return fault.NotRun(http.StatusMethodNotAllowed, fault.BadRequest, "use POST")
	}
	req, class, fail := e.parseCompletion(r, a)
	if fail != nil {
		return fail
	}
	e.Node.Count("requests."+class.Name, 1)
	e.Node.CountFirstAttempt()
	g := e.newGeneration(w, a, class, req.Stream)
	g.request = req
	g.sched = sched.Request{
		Workspace:    a.workspace,
		Class:        class.Name,
		Model:        req.Model,
		Target:       targetOf(class),
		PromptTokens: estimateTokens(req.Prompt),
		Prefix:       prefixHash(req.Prompt),
		PrefixTokens: prefixBytes / bytesPerToken,
		MaxTokens:    req.MaxTokens,
		Arrived:      time.Now(),
		Policy:       e.Node.AssignPolicy(),
	}
	g.parts = append([]string{poison.Fingerprint(a.workspace, req.Model, req.Prompt)}, promptParts(req.Prompt, g.sched.Prefix)...)
	return g.run(ctx)
}

func targetOf(c spec.Class) sched.Target {
	return sched.Target{
		FirstToken: time.Duration(c.Target.FirstToken),
		TokenGap:   time.Duration(c.Target.TokenGap),
		Completion: time.Duration(c.Target.Completion),
	}
}

func (e *Handler) parseCompletion(r *http.Request, a requester) (completionRequest, spec.Class, *fault.Fault) {
	var req completionRequest
	body, fail := e.readBody(r)
	if fail != nil {
		return req, spec.Class{}, fail
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&req); err != nil {
		return req, spec.Class{}, fault.NotRun(http.StatusBadRequest, fault.BadRequest, "the body is not a completions request: "+err.Error())
	}
	if req.Prompt == "" {
		return req, spec.Class{}, fault.NotRun(http.StatusBadRequest, fault.BadRequest, "prompt: want a text that is not empty")
	}
	if req.MaxTokens < 0 || req.MaxTokens > maxTokens {
		return req, spec.Class{}, fault.NotRun(http.StatusBadRequest, fault.BadRequest, "max_tokens: want 0 to "+strconv.Itoa(maxTokens))
	}
	if _, ok := a.index.ModelService(req.Model); !ok {
		return req, spec.Class{}, fault.NotRun(http.StatusNotFound, fault.UnknownModel, "unknown model "+strconv.Quote(req.Model))
	}
	if h := r.Header.Get(headerClass); h != "" {
		req.Class = h
	}
	class, ok := a.index.Class(req.Class)
	if !ok {
		return req, spec.Class{}, fault.NotRun(http.StatusBadRequest, fault.UnknownClass, "unknown class "+strconv.Quote(req.Class)+": name one in the header "+headerClass)
	}
	return req, class, nil
}

// newRandomID returns a random ID that cannot be guessed.
func newRandomID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// awaitDecision submits the request to the scheduler and waits for the decision.
func (g *generation) awaitDecision(ctx context.Context) (node.Decision, *fault.Fault) {
	ctx, span := trace.Start(ctx, "queue", attribute.String("class", g.sched.Class))
	defer span.End()
	n := g.handler.Node
	// The scheduler retains the request, so it gets a copy.
	r := g.sched
	r.ID = n.NextID()
	g.sched.ID = r.ID
	decisions := n.Submit(&r)
	select {
	case decision := <-decisions:
		if !decision.Refused {
			return decision, nil
		}
		return decision, rejectionFault(decision)
	case <-ctx.Done():
		n.Cancel(r.ID)
		return node.Decision{}, errCallerDisconnected
	}
}

func rejectionFault(d node.Decision) *fault.Fault {
	switch d.Reason {
	case sched.ReasonNoBackend:
		return fault.NotRun(http.StatusServiceUnavailable, fault.NoBackend, "no engine for the model is present").WithRetryAfter(d.RetryAfter)
	case sched.ReasonTooLarge:
		return fault.NotRun(http.StatusRequestEntityTooLarge, fault.TooLarge, "the prompt fits no present engine")
	}
	return fault.NotRun(http.StatusTooManyRequests, fault.Overload, "the request can't be served within its target: "+d.Reason.String()).WithRetryAfter(d.RetryAfter)
}

// engineRequest returns the request in the form that the engine accepts.
func (g *generation) engineRequest(id string, priority int) engine.Request {
	window := time.Duration(g.class.ResumeWindow)
	return engine.Request{
		RequestID:      id,
		Model:          g.request.Model,
		Prompt:         g.request.Prompt,
		MaxTokens:      g.request.MaxTokens,
		Priority:       priority,
		ResumeWindowMS: max(window, minResumeWindow).Milliseconds(),
	}
}
