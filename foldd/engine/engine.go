// Package engine is the client of model engines: it starts generations,
// attaches to running ones and cancels them, by the completions protocol with
// server-sent events.
//
// It uses the standard library's HTTP client, since nbhttp's own client hands
// a response over only once its body is complete.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"fuchsiafold.example/fold/deliv"
)

// ErrNotFound is returned when the engine no longer knows a generation.
var ErrNotFound = eris.New("engine does not know the generation")

// ErrUnreachable is returned when no response header came.
var ErrUnreachable = eris.New("engine is unreachable")

// ErrStalled is returned by a Stream that was silent for too long.
var ErrStalled = eris.New("link to the engine is silent")

// ErrConnectionLost is returned by a Stream that ended before the last token.
var ErrConnectionLost = eris.New("link to the engine closed early")

// RefusedError is returned when the engine said that it did not begin.
type RefusedError struct {
	Status int
	Reason string
	// InvalidRequest is set when the request itself is at fault.
	InvalidRequest bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d: %s", e.Status, e.Reason)
}

// Request is one generation as the engine takes it.
type Request struct {
	// RequestID names the generation.
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	// ResumeWindowMS is how long the engine keeps the generation without a
	// reader, in milliseconds.
	ResumeWindowMS int64 `json:"resume_window_ms"`
}

// Chunk is one event of a completion.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Usage stands in the event after the last token.
	Usage *Usage `json:"usage,omitempty"`
}

// Usage states the length of a generation.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
	// Preemptions is how often the engine took the generation back from its
	// batch.
	Preemptions int `json:"preemptions,omitempty"`
}

// Choice holds the text of a Chunk.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Client talks to engines. Make it with New.
type Client struct {
	http *http.Client
	// header bounds the wait for a response header, stall the silence after it.
	header time.Duration
	stall  time.Duration
}

// maxIdlePerEngine bounds the idle connections kept to one engine.
const maxIdlePerEngine = 16

// New returns a client with the given bounds on waiting.
func New(header, stall time.Duration) *Client {
	t := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: header}).DialContext,
		ResponseHeaderTimeout: header,
		MaxIdleConnsPerHost:   maxIdlePerEngine,
		IdleConnTimeout:       90 * time.Second,
		DisableCompression:    true,
		ReadBufferSize:        4 << 10,
		WriteBufferSize:       4 << 10,
	}
	return &Client{http: &http.Client{Transport: t}, header: header, stall: stall}
}

// Stream is the tokens of one generation as they arrive over one connection.
type Stream struct {
	body   io.ReadCloser
	cancel context.CancelCauseFunc
	ctx    context.Context
	timer  *time.Timer
	stall  time.Duration
}

// Start begins a generation. A RefusedError proves that it did not begin; any
// other error leaves that open once sent is true.
func (c *Client) Start(ctx context.Context, addr netip.AddrPort, r Request) (s *Stream, sent bool, err error) {
	r.Stream = true
	body, err := json.Marshal(r)
	if err != nil {
		return nil, false, fmt.Errorf("encode request: %w", err)
	}
	s, err = c.open(ctx, http.MethodPost, addr, "/v1/completions", body, nil)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, false, err
	}
	return s, true, err
}

// Attach reads on in a running generation, after the given offset.
func (c *Client) Attach(ctx context.Context, addr netip.AddrPort, generation string, after int) (*Stream, error) {
	header := http.Header{"Last-Event-Id": {strconv.Itoa(after)}}
	return c.open(ctx, http.MethodGet, addr, "/v1/generations/"+generation, nil, header)
}

func (c *Client) open(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte, header http.Header) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := newRequest(ctx, method, addr, path, body, header)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	// The timer covers the header, later every silence in the body.
	timer := time.AfterFunc(c.header, func() { cancel(ErrUnreachable) })
	res, err := c.http.Do(req)
	if err != nil {
		timer.Stop()
		cause := context.Cause(ctx)
		cancel(nil)
		return nil, openError(cause, err)
	}
	if res.StatusCode != http.StatusOK {
		timer.Stop()
		err := refusal(res)
		cancel(nil)
		return nil, err
	}
	s := &Stream{body: res.Body, cancel: cancel, ctx: ctx, stall: c.stall}
	timer.Stop()
	s.timer = time.AfterFunc(c.stall, func() { cancel(ErrStalled) })
	return s, nil
}

func newRequest(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte, header http.Header) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

func openError(cause, err error) error {
	if cause != nil && !errors.Is(cause, context.Canceled) {
		return fmt.Errorf("open stream: %w", cause)
	}
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return fmt.Errorf("open stream: %w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("open stream: %w", err)
}

// ErrFailed is returned for a status that proves nothing about the
// generation.
var ErrFailed = eris.New("engine failed")

// refusal turns an error status into what it proves. By the engines' protocol
// a status of the 400s or 503 says that the generation did not begin.
func refusal(res *http.Response) error {
	defer res.Body.Close()
	reason, err := io.ReadAll(io.LimitReader(res.Body, 4<<10))
	if err != nil {
		return fmt.Errorf("read refusal: %w", err)
	}
	if res.StatusCode == http.StatusNotFound {
		return ErrNotFound
	}
	if res.StatusCode >= 500 && res.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("status %d: %w", res.StatusCode, ErrFailed)
	}
	caller := res.StatusCode == http.StatusBadRequest || res.StatusCode == http.StatusRequestEntityTooLarge
	return &RefusedError{Status: res.StatusCode, Reason: string(bytes.TrimSpace(reason)), InvalidRequest: caller}
}

// Event is a token, or the statement that a generation has ended.
type Event struct {
	Token deliv.Token
	// Ended is set when the engine has stated the length, Total.
	Ended       bool
	Total       int
	Preemptions int
}

// Events calls yield for each event until it returns false or the link fails.
// It returns nil only in the first case.
func (s *Stream) Events(yield func(Event) bool) error {
	defer s.Close()
	for ev, err := range sse.Read(s.body, nil) {
		if err != nil {
			return s.linkError(err)
		}
		e, ok, err := decode(ev)
		if err != nil {
			return err
		}
		// A slow caller is not a silent engine.
		s.timer.Stop()
		if ok && !yield(e) {
			return nil
		}
		s.timer.Reset(s.stall)
	}
	return s.linkError(ErrConnectionLost)
}

func (s *Stream) linkError(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		return cause
	}
	return fmt.Errorf("read tokens: %w", err)
}

// decode reads one event; it reports false for events that say nothing.
func decode(ev sse.Event) (Event, bool, error) {
	if ev.Data == "" || ev.Data == "[DONE]" {
		return Event{}, false, nil
	}
	var c Chunk
	if err := json.Unmarshal([]byte(ev.Data), &c); err != nil {
		return Event{}, false, fmt.Errorf("decode event: %w", err)
	}
	if len(c.Choices) == 0 {
		if c.Usage == nil {
			return Event{}, false, nil
		}
		return Event{Ended: true, Total: c.Usage.CompletionTokens, Preemptions: c.Usage.Preemptions}, true, nil
	}
	offset, err := strconv.Atoi(ev.LastEventID)
	if err != nil {
		return Event{}, false, fmt.Errorf("token offset: %w", err)
	}
	t := deliv.Token{Offset: offset, Text: c.Choices[0].Text, Last: c.Choices[0].FinishReason != nil}
	return Event{Token: t}, true, nil
}

// Close ends the connection; the generation goes on at the engine.
func (s *Stream) Close() {
	s.timer.Stop()
	s.cancel(nil)
	s.body.Close()
}

// Cancel drops a generation at its engine.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, generation string) error {
	ctx, cancel := context.WithTimeout(ctx, c.header)
	defer cancel()
	req, err := newRequest(ctx, http.MethodDelete, addr, "/v1/generations/"+generation, nil, nil)
	if err != nil {
		return err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("cancel generation: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 && res.StatusCode != http.StatusNotFound {
		return fmt.Errorf("cancel generation: status %d", res.StatusCode)
	}
	return nil
}
