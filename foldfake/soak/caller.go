package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/tmaxmax/go-sse"
)

// Headers of the callers' protocol.
const (
	headerRequest = "Fold-Request-Id"
	headerOutcome = "Fold-Outcome"
	headerKey     = "Idempotency-Key"
	forwardHost   = "soak.example"
	workspaceKey  = "soak"
)

// What callers ask for.
const (
	askGeneration = "generation"
	askOnce       = "once"
	askDraft      = "draft"
	askWrite      = "write"
	askNote       = "note"
	askLookup     = "lookup"
)

var asks = []string{askGeneration, askOnce, askDraft, askWrite, askNote, askLookup}

const (
	// callTimeout is the timeout of the routes and forwards in the configuration, and
	// patience how long a caller waits for any answer.
	callTimeout = 2 * time.Second
	patience    = 15 * time.Second
	// maxThink is the longest pause of a caller between two requests.
	maxThink = 120 * time.Millisecond
	// maxAttempts bounds the attempts of a call with the same idempotency key.
	maxAttempts = 4
)

// callers drives one caller of each kind at each VM.
type callers struct {
	world    *world
	findings *findings
	// phase is part of the requests' IDs.
	phase string

	mu      sync.Mutex
	results []result
	// claims is the history of calls with idempotency keys.
	claims []porcupine.Operation
	// counts counts the requests by what was asked for and how it ended, and served
	// holds the last time that each VM served each kind.
	counts map[string]int
	served map[string]time.Time
}

// run drives callers until ctx ends, and waits for them.
func (c *callers) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for vm := range c.world.vms {
		for i, ask := range asks {
			r := rand.New(rand.NewPCG(seed, uint64(1000+10*vm+i)))
			wg.Go(func() { c.loop(ctx, vm, ask, r) })
		}
	}
	wg.Wait()
}

// loop sends one request after the other over connections that stay open.
func (c *callers) loop(ctx context.Context, vm int, ask string, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}, Timeout: patience}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("v%d-%s%s-%d", vm, c.phase, ask, n)
		outcome := c.send(client, vm, ask, id, r)
		c.count(vm, ask, outcome)
		sleep(ctx, time.Duration(r.Float64()*float64(maxThink)))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// send sends one request and checks its answer. It returns how it ended.
func (c *callers) send(client *http.Client, vm int, ask, id string, r *rand.Rand) string {
	switch ask {
	case askGeneration:
		return c.generate(client, vm, id, 1+r.IntN(120))
	case askOnce:
		return c.callOnce(client, vm, id, r)
	case askDraft:
		return c.draft(client, vm, id)
	case askNote:
		return c.note(client, vm, id)
	}
	return c.write(client, vm, ask, id)
}

func (c *callers) count(vm int, ask, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts, c.served = map[string]int{}, map[string]time.Time{}
	}
	c.counts[ask+"."+outcome]++
	if outcome == outcomeDone {
		c.served[servedKey(vm, ask)] = time.Now()
	}
}

func servedKey(vm int, ask string) string { return fmt.Sprint(vm, ask) }

// servedSince reports whether a VM has served a kind of request since a time.
func (c *callers) servedSince(vm int, ask string, t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served[servedKey(vm, ask)].After(t)
}

func (c *callers) keep(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// Outcomes of the soak's own, beside those in responses.
const (
	outcomeBroken = "broken"
	outcomeError  = "error"
)

func (c *callers) post(client *http.Client, vm int, path, host, id, body string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.world.vms[vm].proxy.Addr().String()+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set(headerRequest, id)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return client.Do(req)
}

// chunk is the data of an event of a generation.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Fold *struct {
		Outcome string `json:"outcome"`
		Tokens  int    `json:"tokens"`
		CRC32C  string `json:"crc32c"`
	} `json:"fold"`
}

func (c *callers) generate(client *http.Client, vm int, id string, tokens int) string {
	body := fmt.Sprintf(`{"model":%q,"prompt":"Notes of %s. [len=%d]","stream":true}`, modelName, id, tokens)
	res, err := c.post(client, vm, "/v1/completions", "", id, body, map[string]string{"Fold-Class": "summary"})
	if err != nil {
		return outcomeError
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return res.Header.Get(headerOutcome)
	}
	a := readGeneration(res.Body)
	checkGeneration(c.findings, id, a, tokens)
	if a.complete {
		return outcomeDone
	}
	return outcomeBroken
}

// readGeneration reads the events of a generation until they end.
func readGeneration(body io.Reader) generationAnswer {
	var a generationAnswer
	for ev, err := range sse.Read(body, nil) {
		var e chunk
		if err != nil || ev.Data == "[DONE]" || json.Unmarshal([]byte(ev.Data), &e) != nil {
			return a
		}
		for _, choice := range e.Choices {
			a.text += choice.Text
		}
		if e.Fold != nil {
			a.complete, a.tokens, a.checksum = e.Fold.Outcome == outcomeDone, e.Fold.Tokens, e.Fold.CRC32C
		}
	}
	return a
}

func (c *callers) draft(client *http.Client, vm int, id string) string {
	res, err := c.post(client, vm, "/draft/"+id, forwardHost, id, "prompt", nil)
	if err != nil {
		c.keep(result{id: id})
		return outcomeError
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	outcome := forwardOutcome(res)
	if outcome == "" && res.StatusCode == http.StatusOK {
		checkStream(c.findings, id, string(b), err == nil, draftEvents)
		outcome = outcomeBroken
		if err == nil {
			outcome = outcomeDone
		}
	}
	c.keep(result{id: id, last: outcome, done: outcome == outcomeDone})
	return outcome
}

// write sends a request that may run once to the forward of that name.
func (c *callers) write(client *http.Client, vm int, ask, id string) string {
	began := time.Now()
	res, err := c.post(client, vm, "/"+ask+"/"+id, forwardHost, id, "body", nil)
	if err != nil {
		c.checkHeld(vm, id, began)
		c.keep(result{id: id})
		return outcomeError
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	c.checkHeld(vm, id, began)
	outcome := forwardOutcome(res)
	if outcome == "" && res.StatusCode == http.StatusOK && err == nil {
		outcome = outcomeDone
		if want := "answer to " + id; string(b) != want {
			c.findings.add(OwnAnswers, id, "got %q, want %q", b, want)
		}
	}
	c.keep(result{id: id, last: outcome, done: outcome == outcomeDone})
	return outcome
}

// promises are the statuses that tell callers of forwards that their request has not run.
var promises = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// forwardOutcome returns the outcome that the response to a forwarded request states, in its header
// or by its status; empty if neither does.
func forwardOutcome(res *http.Response) string {
	outcome := res.Header.Get(headerOutcome)
	if outcome == "" && slices.Contains(promises, res.StatusCode) {
		return outcomeNotRun
	}
	return outcome
}

// checkHeld checks how long a request was held, if its VM and its connection were left
// alone meanwhile.
func (c *callers) checkHeld(vm int, id string, began time.Time) {
	if c.world.vms[vm].calmSince(began) {
		checkHeld(c.findings, id, time.Since(began), callTimeout)
	}
}

// checkResults checks all requests that may run once against what the stand-ins saw.
func (c *callers) checkResults(s *servers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		checkRuns(c.findings, r, s.runs(r.id))
	}
}
