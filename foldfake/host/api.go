package host

import (
	"bytes"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"

	"fuchsiafold.example/foldfake/model"
	"fuchsiafold.example/netio/serve"
)

// completionRequest holds the fields of a completions request body that the
// stand-in uses.
type completionRequest struct {
	RequestID      string `json:"request_id"`
	Model          string `json:"model"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"max_tokens"`
	Priority       int    `json:"priority"`
	ResumeWindowMS int64  `json:"resume_window_ms"`
}

// chunk is the data of one event of a completions response.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
	Preemptions      int `json:"preemptions,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("GET /v1/generations/{id}", e.handleAttach)
	mux.HandleFunc("DELETE /v1/generations/{id}", e.handleCancel)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/state", e.handleState)
	mux.HandleFunc("POST /fault", e.handleFault)
	return mux
}

// writeError answers with an error status and reason as the plain-text body.
func writeError(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(reason)))
	w.WriteHeader(status)
	io.WriteString(w, reason)
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	e.faults.waitWhileFrozen(e.ctx)
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.RequestID == "" {
		writeError(w, http.StatusBadRequest, "want a completions request with a request_id")
		return
	}
	if e.faults.refusing() {
		writeError(w, http.StatusServiceUnavailable, "refused by a fault on command")
		return
	}
	g, err := e.startGeneration(c)
	if err != nil {
		writeError(w, submitStatus(err), err.Error())
		return
	}
	e.streamTokens(w, r, g, 0)
}

var errModelNotLoaded = eris.New("model is not loaded")

// submitStatus returns the HTTP status for an error of startGeneration.
func submitStatus(err error) int {
	switch {
	case errors.Is(err, model.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errModelNotLoaded):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// startGeneration submits a generation to the simulated engine and registers it
// with one reader. The caller must call releaseReader when it stops reading.
func (e *Engine) startGeneration(c completionRequest) (*generation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Model != e.conf.Model {
		return nil, errModelNotLoaded
	}
	req := e.modelRequest(c)
	if err := e.sim.Submit(req); err != nil {
		return nil, err
	}
	g := newGeneration(c.RequestID, c.Model, time.Duration(c.ResumeWindowMS)*time.Millisecond)
	g.readers = 1
	g.crashes = e.conf.CrashPrompt != "" && strings.Contains(c.Prompt, e.conf.CrashPrompt)
	e.generations[c.RequestID] = g
	e.wakeStepLoop()
	return g, nil
}

const (
	// bytesPerToken is the assumed length in bytes of a token of a prompt.
	bytesPerToken = 4
	// prefixBytes is the number of bytes at the start of a prompt that are taken as
	// its prefix. A shorter prompt has none.
	prefixBytes = 256
)

// lengthDirective matches an answer length that a prompt asks for, such as
// "[len=120]".
var lengthDirective = regexp.MustCompile(`\[len=(\d+)\]`)

func (e *Engine) modelRequest(c completionRequest) model.Request {
	req := model.Request{
		ID:           c.RequestID,
		PromptTokens: len(c.Prompt)/bytesPerToken + 1,
		Priority:     c.Priority,
		Length:       e.answerLength(c.Prompt),
	}
	if c.MaxTokens > 0 {
		req.Length = min(req.Length, c.MaxTokens)
	}
	if len(c.Prompt) >= prefixBytes {
		req.Prefix = strconv.FormatUint(xxhash.Sum64String(c.Prompt[:prefixBytes]), 16)
		req.PrefixTokens = prefixBytes / bytesPerToken
	}
	return req
}

// answerLength returns the length in tokens of the answer to a prompt. The length
// is the one in the prompt's length directive, or else depends only on the prompt
// and the engine's seed.
func (e *Engine) answerLength(prompt string) int {
	if m := lengthDirective.FindStringSubmatch(prompt); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			return n
		}
	}
	h := fnv.New64a()
	io.WriteString(h, prompt)
	return e.conf.Lengths.Draw(rand.New(rand.NewPCG(e.conf.Seed, h.Sum64())))
}

// handleAttach resumes the stream of a generation after the offset in
// Last-Event-ID, or sends it from the start if the request has no such header.
func (e *Engine) handleAttach(w http.ResponseWriter, r *http.Request) {
	e.faults.waitWhileFrozen(e.ctx)
	after := 0
	if v := r.Header.Get("Last-Event-Id"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			writeError(w, http.StatusBadRequest, "Last-Event-ID: want an offset")
			return
		}
		after = n
	}
	e.mu.Lock()
	g := e.generations[r.PathValue("id")]
	if g != nil {
		g.readers++
	}
	e.mu.Unlock()
	if g == nil {
		writeError(w, http.StatusNotFound, "unknown generation")
		return
	}
	e.streamTokens(w, r, g, after)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.faults.waitWhileFrozen(e.ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	g := e.generations[id]
	if g == nil {
		writeError(w, http.StatusNotFound, "unknown generation")
		return
	}
	e.removeGeneration(id, g)
	w.WriteHeader(http.StatusNoContent)
}

// streamTokens sends a generation's tokens after an offset as they are generated,
// until the generation ends, the connection closes or a fault aborts it. The
// caller must have counted itself in g.readers.
func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, g *generation, after int) {
	defer e.releaseReader(g)
	conn := e.faults.forConn()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	sent := 0
	for {
		tokens, firstOffset, finished, changed := e.tokensAfter(g, after)
		e.faults.waitWhileFrozen(e.ctx)
		e.faults.waitWhileStalled(e.ctx, conn)
		if conn.dropAfter > 0 && sent+len(tokens) >= conn.dropAfter {
			e.sendTokens(w, g, conn, tokens[:min(len(tokens), conn.dropAfter-sent)], firstOffset)
			serve.CallerOf(r).Abort()
			return
		}
		e.sendTokens(w, g, conn, tokens, firstOffset)
		after += len(tokens)
		sent += len(tokens)
		if finished {
			e.sendEnd(w, g, after)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			return
		}
		if e.isRemoved(g) {
			return
		}
	}
}

// isRemoved reports whether the engine has removed the generation.
func (e *Engine) isRemoved(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.removed
}

// tokensAfter returns the tokens after an offset, the offset of the first one,
// whether the generation has finished, and a channel that is closed at its next
// change.
func (e *Engine) tokensAfter(g *generation, after int) (tokens []string, firstOffset int, finished bool, changed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	after = min(after, len(g.tokens))
	tokens = append([]string(nil), g.tokens[after:]...)
	return tokens, after + 1, g.finished, g.changed
}

// releaseReader removes one reader of a generation. The resume window starts when
// the last reader is removed.
func (e *Engine) releaseReader(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	g.idleSince = time.Now()
}

// sendTokens writes one event for each token, with the connection's duplicate and
// reorder faults applied. The last token's event doesn't show that it is the last
// one. Only the event written by sendEnd shows it.
func (e *Engine) sendTokens(w http.ResponseWriter, g *generation, conn connFaults, tokens []string, firstOffset int) {
	if len(tokens) == 0 {
		return
	}
	var buf bytes.Buffer
	for _, i := range conn.tokenOrder(len(tokens), firstOffset) {
		c := chunk{ID: g.id, Object: objectType, Model: g.model, Choices: []choice{{Text: tokens[i]}}}
		writeEvent(&buf, strconv.Itoa(firstOffset+i), c)
	}
	w.Write(buf.Bytes())
	flush(w)
}

// sendEnd writes the events that end a stream: the usage, with the generation's
// length in tokens, and [DONE].
func (e *Engine) sendEnd(w http.ResponseWriter, g *generation, total int) {
	var buf bytes.Buffer
	writeEvent(&buf, "", chunk{ID: g.id, Object: objectType, Model: g.model, Choices: []choice{}, Usage: &usage{CompletionTokens: total, Preemptions: e.preemptions(g)}})
	done := &sse.Message{}
	done.AppendData("[DONE]")
	done.WriteTo(&buf)
	w.Write(buf.Bytes())
	flush(w)
}

func (e *Engine) preemptions(g *generation) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.preemptions
}

// objectType is the object field of each chunk.
const objectType = "text_completion"

// writeEvent appends a server-sent event with the chunk to buf. The event has no
// ID if id is empty.
func writeEvent(buf *bytes.Buffer, id string, c chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	m := &sse.Message{}
	if id != "" {
		m.ID = sse.ID(id)
	}
	m.AppendData(string(data))
	m.WriteTo(buf)
}

// tokenOrder returns the indexes of n tokens, which start at firstOffset, in the
// order to send them. The duplicate fault repeats some of them, and the reorder
// fault swaps neighbours.
func (conn connFaults) tokenOrder(n, firstOffset int) []int {
	var order []int
	for i := range n {
		order = append(order, i)
		if conn.duplicateEvery > 0 && (firstOffset+i)%conn.duplicateEvery == 0 {
			order = append(order, i)
		}
	}
	if conn.reorderEvery == 0 {
		return order
	}
	for i := 0; i+1 < len(order); i++ {
		if (firstOffset+order[i])%conn.reorderEvery == 0 {
			order[i], order[i+1] = order[i+1], order[i]
			i++
		}
	}
	return order
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// stateResponse is the body of the response to GET /v1/state.
type stateResponse struct {
	Load        model.Load `json:"load"`
	Generations int        `json:"generations"`
	Version     string     `json:"version"`
}

func (e *Engine) handleState(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	response := stateResponse{Load: e.sim.Load(), Generations: len(e.generations), Version: e.conf.Version}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(response)
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, "want a fault: "+err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
	flush(w)
	e.Inject(f)
}

// Inject applies a fault. FaultDie, FaultReclaim and FaultForget act once. The
// other faults last as their constants describe, or until FaultNone ends them.
func (e *Engine) Inject(f Fault) {
	switch f.Kind {
	case FaultDie:
		go e.Close()
	case FaultReclaim:
		e.Leave()
		time.AfterFunc(time.Duration(f.MS)*time.Millisecond, func() { e.Close() })
	case FaultForget:
		e.mu.Lock()
		for id, g := range e.generations {
			e.removeGeneration(id, g)
		}
		e.mu.Unlock()
	default:
		e.faults.set(f)
	}
}
