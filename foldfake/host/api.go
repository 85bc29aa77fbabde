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
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"

	"fuchsiafold.example/foldfake/model"
	"fuchsiafold.example/netio/serve"
)

// completion is the body of a completions call as the stand-in reads it.
type completion struct {
	RequestID      string `json:"request_id"`
	Model          string `json:"model"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"max_tokens"`
	Priority       int    `json:"priority"`
	ResumeWindowMS int64  `json:"resume_window_ms"`
}

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
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /v1/generations/{id}", e.attach)
	mux.HandleFunc("DELETE /v1/generations/{id}", e.remove)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /v1/state", e.state)
	mux.HandleFunc("POST /fault", e.fault)
	return mux
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(reason)))
	w.WriteHeader(status)
	io.WriteString(w, reason)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	e.faults.wait(e.ctx)
	var c completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.RequestID == "" {
		refuse(w, http.StatusBadRequest, "want a completions request with a request_id")
		return
	}
	if e.faults.refusing() {
		refuse(w, http.StatusServiceUnavailable, "refused by a fault on command")
		return
	}
	g, err := e.begin(c)
	if err != nil {
		refuse(w, submitStatus(err), err.Error())
		return
	}
	e.write(w, r, g, 0)
}

var errNotLoaded = eris.New("model is not loaded")

func submitStatus(err error) int {
	switch {
	case errors.Is(err, model.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNotLoaded):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func (e *Engine) begin(c completion) (*gen, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Model != e.conf.Model {
		return nil, errNotLoaded
	}
	req := e.modelRequest(c)
	if err := e.model.Submit(req); err != nil {
		return nil, err
	}
	g := newGen(c.RequestID, c.Model, time.Duration(c.ResumeWindowMS)*time.Millisecond)
	g.readers = 1
	e.gens[c.RequestID] = g
	e.signal()
	return g, nil
}

const (
	bytesPerToken = 4
	prefixBytes   = 256
)

// statedLength finds a length that a prompt asks for, such as "[len=120]".
var statedLength = regexp.MustCompile(`\[len=(\d+)\]`)

func (e *Engine) modelRequest(c completion) model.Request {
	req := model.Request{
		ID:           c.RequestID,
		PromptTokens: len(c.Prompt)/bytesPerToken + 1,
		Priority:     c.Priority,
		Length:       e.length(c.Prompt),
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

// length returns the length of the answer to a prompt, the same each time.
func (e *Engine) length(prompt string) int {
	if m := statedLength.FindStringSubmatch(prompt); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			return n
		}
	}
	h := fnv.New64a()
	io.WriteString(h, prompt)
	return e.conf.Lengths.Draw(rand.New(rand.NewPCG(e.conf.Seed, h.Sum64())))
}

func (e *Engine) attach(w http.ResponseWriter, r *http.Request) {
	e.faults.wait(e.ctx)
	after := 0
	if v := r.Header.Get("Last-Event-Id"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			refuse(w, http.StatusBadRequest, "Last-Event-ID: want an offset")
			return
		}
		after = n
	}
	e.mu.Lock()
	g := e.gens[r.PathValue("id")]
	if g != nil {
		g.readers++
	}
	e.mu.Unlock()
	if g == nil {
		refuse(w, http.StatusNotFound, "unknown generation")
		return
	}
	e.write(w, r, g, after)
}

func (e *Engine) remove(w http.ResponseWriter, r *http.Request) {
	e.faults.wait(e.ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.PathValue("id")
	g := e.gens[id]
	if g == nil {
		refuse(w, http.StatusNotFound, "unknown generation")
		return
	}
	e.drop(id, g)
	w.WriteHeader(http.StatusNoContent)
}

// write sends a generation's tokens after an offset, as they come.
func (e *Engine) write(w http.ResponseWriter, r *http.Request, g *gen, after int) {
	defer e.leave(g)
	l := e.faults.link()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	sent := 0
	for {
		tokens, first, finished, changed := e.next(g, after)
		e.faults.wait(e.ctx)
		e.faults.stall(e.ctx, l)
		if l.drop > 0 && sent+len(tokens) >= l.drop {
			e.send(w, g, l, tokens[:min(len(tokens), l.drop-sent)], first)
			serve.CallerOf(r).Abort()
			return
		}
		e.send(w, g, l, tokens, first)
		after += len(tokens)
		sent += len(tokens)
		if finished {
			e.end(w, g, after)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			return
		}
		if e.dropped(g) {
			return
		}
	}
}

func (e *Engine) dropped(g *gen) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.cancelled
}

// next returns the tokens after an offset, the offset of the first one, and
// what tells of more.
func (e *Engine) next(g *gen, after int) (tokens []string, first int, finished bool, changed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	after = min(after, len(g.tokens))
	tokens = append([]string(nil), g.tokens[after:]...)
	return tokens, after + 1, g.finished, g.changed
}

func (e *Engine) leave(g *gen) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	g.left = time.Now()
}

// send writes tokens, disturbed by the link's faults. The last token of a
// generation says so only in the event that follows it.
func (e *Engine) send(w http.ResponseWriter, g *gen, l link, tokens []string, first int) {
	if len(tokens) == 0 {
		return
	}
	var buf bytes.Buffer
	for _, i := range l.disturb(len(tokens), first) {
		c := chunk{ID: g.id, Object: object, Model: g.model, Choices: []choice{{Text: tokens[i]}}}
		message(&buf, strconv.Itoa(first+i), c)
	}
	w.Write(buf.Bytes())
	flush(w)
}

// end states the length of a generation.
func (e *Engine) end(w http.ResponseWriter, g *gen, total int) {
	var buf bytes.Buffer
	message(&buf, "", chunk{ID: g.id, Object: object, Model: g.model, Choices: []choice{}, Usage: &usage{CompletionTokens: total, Preemptions: e.preemptions(g)}})
	done := &sse.Message{}
	done.AppendData("[DONE]")
	done.WriteTo(&buf)
	w.Write(buf.Bytes())
	flush(w)
}

func (e *Engine) preemptions(g *gen) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.preemptions
}

const object = "text_completion"

func message(buf *bytes.Buffer, id string, c chunk) {
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

// disturb returns the order in which to send n tokens that begin at an
// offset, some of them twice.
func (l link) disturb(n, first int) []int {
	var order []int
	for i := range n {
		order = append(order, i)
		if l.duplicate > 0 && (first+i)%l.duplicate == 0 {
			order = append(order, i)
		}
	}
	if l.reorder == 0 {
		return order
	}
	for i := 0; i+1 < len(order); i++ {
		if (first+order[i])%l.reorder == 0 {
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

// stateReply is the answer to a question about the engine's work.
type stateReply struct {
	Load        model.Load `json:"load"`
	Generations int        `json:"generations"`
	Version     string     `json:"version"`
}

func (e *Engine) state(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	reply := stateReply{Load: e.model.Load(), Generations: len(e.gens), Version: e.conf.Version}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(reply)
}

func (e *Engine) fault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		refuse(w, http.StatusBadRequest, "want a fault: "+err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
	flush(w)
	e.Inject(f)
}

// Inject puts a fault in force.
func (e *Engine) Inject(f Fault) {
	switch f.Kind {
	case FaultDie:
		go e.Close()
	case FaultReclaim:
		e.Leave()
		time.AfterFunc(time.Duration(f.MS)*time.Millisecond, func() { e.Close() })
	case FaultForget:
		e.mu.Lock()
		for id, g := range e.gens {
			e.drop(id, g)
		}
		e.mu.Unlock()
	default:
		e.faults.set(f)
	}
}
