// Package fault defines the errors that are returned to callers: an HTTP status,
// a code, and whether the request may have run.
package fault

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"fuchsiafold.example/fold/poison"
	"fuchsiafold.example/fold/retry"
)

// Codes of the errors.
const (
	BadRequest             = "badRequest"
	Unauthorized           = "unauthorized"
	UnknownClass           = "unknownClass"
	UnknownModel           = "unknownModel"
	UnknownRoute           = "unknownRoute"
	TooLarge               = "tooLarge"
	BadHandle              = "badHandle"
	ExpiredHandle          = "expiredHandle"
	GenerationGone         = "generationGone"
	Overload               = "overload"
	NoBackend              = "noBackend"
	NoQuorum               = "noQuorum"
	Draining               = "draining"
	NotConfigured          = "notConfigured"
	IdempotencyKeyNeeded   = "idempotencyKeyNeeded"
	IdempotencyKeyMismatch = "idempotencyKeyMismatch"
	InProgress             = "inProgress"
	Interrupted            = "interrupted"
	UnknownOutcome         = "unknownOutcome"
	BackendFailed          = "backendFailed"
	AnswerTooLarge         = "answerTooLarge"
	Quarantined            = "quarantined"
	RateLimited            = "rateLimited"
)

// HeaderOutcome is the response header that states the outcome of the request.
const HeaderOutcome = "Fold-Outcome"

// Fault is an error that is returned to a caller.
type Fault struct {
	Status  int
	Code    string
	Message string
	Outcome retry.Outcome
	// RetryAfter is how long the caller should wait before a retry; zero if not
	// stated.
	RetryAfter time.Duration
}

func (f *Fault) Error() string { return f.Code + ": " + f.Message }

// faultBody is the JSON form of a Fault.
type faultBody struct {
	Error faultFields `json:"error"`
}

type faultFields struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	// RetryAfterMS is the wait before a retry in milliseconds.
	RetryAfterMS int64 `json:"retryAfterMs,omitempty"`
	// Tokens is the number of tokens delivered before the error.
	Tokens int `json:"tokens,omitempty"`
}

// FromQuarantine returns the error for a request that crashes backend servers, or whose
// prompt has a part that does.
func FromQuarantine(q poison.Quarantine) *Fault {
	message := fmt.Sprintf("%s has crashed backend servers %d times", q.Part, q.Crashes)
	return NotRun(http.StatusServiceUnavailable, Quarantined, message).WithRetryAfter(q.RetryAfter)
}

// FromRateLimit returns the error for a request whose only servers left take no further
// request for now, because of a rate limit or because they said so.
func FromRateLimit(retryAfter time.Duration) *Fault {
	return NotRun(http.StatusServiceUnavailable, RateLimited, "the backend servers left take no further request now, as they have said").WithRetryAfter(retryAfter)
}

// Body returns the JSON form of the fault, with the number of tokens that were
// delivered before it.
func (f *Fault) Body(tokens int) []byte {
	b, err := json.Marshal(faultBody{faultFields{
		Code:         f.Code,
		Message:      f.Message,
		Outcome:      f.Outcome.String(),
		RetryAfterMS: f.RetryAfter.Milliseconds(),
		Tokens:       tokens,
	}})
	if err != nil {
		return []byte(`{"error":{"code":"` + f.Code + `"}}`)
	}
	return b
}

// Write sends the fault as a complete response. It keeps a Retry-After header
// that is already set.
func (f *Fault) Write(w http.ResponseWriter) {
	b := append(f.Body(0), '\n')
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set(HeaderOutcome, f.Outcome.String())
	if f.RetryAfter > 0 && h.Get("Retry-After") == "" {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(f.Status)
	w.Write(b)
}

// PromisesNotRun reports whether a status tells callers that their request has not run and never
// will. They send such a request again, also one that may run only once, so a response with such
// a status may reach them only if that is proved.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// NotRun returns a fault for a request that provably did not run.
func NotRun(status int, code, message string) *Fault {
	return &Fault{Status: status, Code: code, Message: message, Outcome: retry.NotRun}
}

// WithRetryAfter sets how long the caller should wait before a retry and
// returns f.
func (f *Fault) WithRetryAfter(d time.Duration) *Fault {
	f.RetryAfter = d
	return f
}
