// Package engine is a client for model engines. It starts generations, attaches
// to running ones and cancels them, using the completions protocol with
// server-sent events.
//
// It sends requests over a pool of connections, since the client of nbhttp returns
// a response only once its body is complete.
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
	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/netio/pool"
)

// ErrNotFound is returned when the engine does not have the generation, or no
// longer has it.
var ErrNotFound = eris.New("engine does not have the generation")

// ErrUnreachable is returned when no response header arrived in time.
var ErrUnreachable = eris.New("engine is unreachable")

// ErrStalled is returned by a Stream when no data arrived within the stall
// timeout.
var ErrStalled = eris.New("no data from the engine within the stall timeout")

// ErrConnectionLost is returned by a Stream whose connection ended before the
// generation did.
var ErrConnectionLost = eris.New("connection to the engine closed before the end of the generation")

// RefusedError is returned when the engine rejected the request and did not begin
// the generation.
type RefusedError struct {
	Status int
	Reason string
	// InvalidRequest is set if the request itself is invalid or too large.
	InvalidRequest bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused the request with status %d: %s", e.Status, e.Reason)
}

// Request is the JSON body that starts a generation.
type Request struct {
	// RequestID identifies the generation.
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	// ResumeWindowMS is how long the engine keeps the generation after its
	// connection is lost, in milliseconds.
	ResumeWindowMS int64 `json:"resume_window_ms"`
}

// Chunk is the JSON data of one event of a completion.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Usage is set in the event after the last token.
	Usage *Usage `json:"usage,omitempty"`
}

// Usage states the length of a generation.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
	// Preemptions is how often the engine removed the generation from its batch
	// before it was complete.
	Preemptions int `json:"preemptions,omitempty"`
}

// Choice holds the text of a Chunk.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Client sends requests to engines. Create it with New.
type Client struct {
	http *http.Client
	// headerTimeout bounds the wait for a response header, and stallTimeout the
	// wait for each further event.
	headerTimeout time.Duration
	stallTimeout  time.Duration
}

const (
	// maxIdlePerEngine is the largest number of idle connections to one engine.
	maxIdlePerEngine = 16
	// idleTimeout is how long a connection to an engine stays idle.
	idleTimeout = 90 * time.Second
)

// NewPool returns a pool of connections to engines, each of which is opened within connect.
func NewPool(connect time.Duration) *pool.Pool {
	return &pool.Pool{DialTimeout: connect, IdleTimeout: idleTimeout, MaxIdle: maxIdlePerEngine}
}

// New returns a client that waits at most headerTimeout for a connection and for
// a response header, and at most stallTimeout for each event of a stream. It sends its
// requests by t.
func New(t http.RoundTripper, headerTimeout, stallTimeout time.Duration) *Client {
	return &Client{http: &http.Client{Transport: t}, headerTimeout: headerTimeout, stallTimeout: stallTimeout}
}

// Stream is a connection to an engine on which the tokens of one generation
// arrive. It must be closed, unless Events was called.
type Stream struct {
	body         io.ReadCloser
	cancel       context.CancelCauseFunc
	ctx          context.Context
	timer        *time.Timer
	stallTimeout time.Duration
}

// Start starts a generation. With a RefusedError, or if sent is false, the
// generation did not begin; with any other error, it may have begun. A
// *limit.DeniedError in any error of the client says that nothing was sent because the
// engine has a rate limit.
func (c *Client) Start(ctx context.Context, addr netip.AddrPort, r Request) (s *Stream, sent bool, err error) {
	r.Stream = true
	body, err := json.Marshal(r)
	if err != nil {
		return nil, false, fmt.Errorf("encode request: %w", err)
	}
	s, err = c.open(ctx, http.MethodPost, addr, "/v1/completions", body, nil)
	var denied *limit.DeniedError
	if !pool.WasSent(err) || errors.As(err, &denied) {
		return nil, false, err
	}
	return s, true, err
}

// Attach continues to read a generation after the token with the given offset. The
// error wraps ErrNotFound if the engine does not have the generation.
func (c *Client) Attach(ctx context.Context, addr netip.AddrPort, generation string, after int) (*Stream, error) {
	header := http.Header{"Last-Event-Id": {strconv.Itoa(after)}}
	return c.open(ctx, http.MethodGet, addr, "/v1/generations/"+generation, nil, header)
}

// open sends a request and returns the stream of its response.
func (c *Client) open(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte, header http.Header) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := newRequest(ctx, method, addr, path, body, header)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	// The timer bounds the wait for the header. A second one, in the stream,
	// bounds each wait in the body.
	timer := time.AfterFunc(c.headerTimeout, func() { cancel(ErrUnreachable) })
	res, err := c.http.Do(req)
	if err != nil {
		timer.Stop()
		cause := context.Cause(ctx)
		cancel(nil)
		return nil, openError(cause, err)
	}
	if res.StatusCode != http.StatusOK {
		timer.Stop()
		err := statusError(res)
		cancel(nil)
		return nil, err
	}
	s := &Stream{body: res.Body, cancel: cancel, ctx: ctx, stallTimeout: c.stallTimeout}
	timer.Stop()
	s.timer = time.AfterFunc(c.stallTimeout, func() { cancel(ErrStalled) })
	return s, nil
}

func newRequest(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte, header http.Header) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
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

// openError returns the error of a request that got no response. The cause of
// the end of its context takes precedence over err, unless it is a plain
// cancellation.
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

// ErrFailed is returned for a status that leaves open whether the generation
// began.
var ErrFailed = eris.New("engine failed")

// statusError returns the error for a response with an error status, and closes
// the response. In the engines' protocol, a status of the 400s or 503 means that
// the generation did not begin.
func statusError(res *http.Response) error {
	defer res.Body.Close()
	reason, err := io.ReadAll(io.LimitReader(res.Body, 4<<10))
	if err != nil {
		return fmt.Errorf("read error response: %w", err)
	}
	if res.StatusCode == http.StatusNotFound {
		return ErrNotFound
	}
	if res.StatusCode >= 500 && res.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("status %d: %w", res.StatusCode, ErrFailed)
	}
	invalid := res.StatusCode == http.StatusBadRequest || res.StatusCode == http.StatusRequestEntityTooLarge
	return &RefusedError{Status: res.StatusCode, Reason: string(bytes.TrimSpace(reason)), InvalidRequest: invalid}
}

// Event is a token or the end of a generation.
type Event struct {
	Token deliv.Token
	// Ended is set if the generation has ended. Total is then its length in
	// tokens, and Preemptions the number of preemptions.
	Ended       bool
	Total       int
	Preemptions int
}

// Events calls yield for each event until yield returns false or the connection
// fails, and closes the stream. It returns nil only in the first case.
func (s *Stream) Events(yield func(Event) bool) error {
	defer s.Close()
	for ev, err := range sse.Read(s.body, nil) {
		if err != nil {
			return s.readError(err)
		}
		e, ok, err := decodeEvent(ev)
		if err != nil {
			return err
		}
		// The time that the caller takes in yield does not count as a stall.
		s.timer.Stop()
		if ok && !yield(e) {
			return nil
		}
		s.timer.Reset(s.stallTimeout)
	}
	return s.readError(ErrConnectionLost)
}

// readError returns the cause of the end of the stream's context, or wraps err
// if the context has not ended.
func (s *Stream) readError(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		return cause
	}
	return fmt.Errorf("read tokens: %w", err)
}

// decodeEvent decodes one event. It returns false for events that carry neither
// a token nor the end of the generation.
func decodeEvent(ev sse.Event) (Event, bool, error) {
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
		return Event{}, false, fmt.Errorf("parse token offset: %w", err)
	}
	t := deliv.Token{Offset: offset, Text: c.Choices[0].Text, Last: c.Choices[0].FinishReason != nil}
	return Event{Token: t}, true, nil
}

// Close closes the connection. The generation continues at the engine.
func (s *Stream) Close() {
	s.timer.Stop()
	s.cancel(nil)
	s.body.Close()
}

// Cancel cancels a generation at its engine. A generation that the engine does
// not have is not an error.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, generation string) error {
	ctx, cancel := context.WithTimeout(ctx, c.headerTimeout)
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
