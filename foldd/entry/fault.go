package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"fuchsiafold.example/fold/retry"
)

// Codes of the errors that a caller can get.
const (
	codeBadRequest     = "badRequest"
	codeUnauthorized   = "unauthorized"
	codeUnknownClass   = "unknownClass"
	codeUnknownModel   = "unknownModel"
	codeUnknownRoute   = "unknownRoute"
	codeTooLarge       = "tooLarge"
	codeBadHandle      = "badHandle"
	codeExpiredHandle  = "expiredHandle"
	codeGone           = "generationGone"
	codeOverload       = "overload"
	codeNoBackend      = "noBackend"
	codeNoQuorum       = "noQuorum"
	codeDraining       = "draining"
	codeNotConfigured  = "notConfigured"
	codeKeyNeeded      = "idempotencyKeyNeeded"
	codeKeyMismatch    = "idempotencyKeyMismatch"
	codeInProgress     = "inProgress"
	codeInterrupted    = "interrupted"
	codeUnknownOutcome = "unknownOutcome"
	codeBackendFailed  = "backendFailed"
	codeAnswerTooLarge = "answerTooLarge"
)

// Fault is an error as a caller gets it.
type Fault struct {
	Status  int
	Code    string
	Message string
	Outcome retry.Outcome
	// RetryAfter is when to come back; zero says nothing.
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
	// RetryAfterMS is when to come back, in milliseconds.
	RetryAfterMS int64 `json:"retryAfterMs,omitempty"`
	// Tokens is the number of tokens delivered before the error.
	Tokens int `json:"tokens,omitempty"`
}

func (f *Fault) body(tokens int) []byte {
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

// write sends the fault as a whole response.
func (f *Fault) write(w http.ResponseWriter) {
	b := append(f.body(0), '\n')
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set("Fold-Outcome", f.Outcome.String())
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(f.Status)
	w.Write(b)
}

// notRun makes a fault for a request that provably did not run.
func notRun(status int, code, message string) *Fault {
	return &Fault{Status: status, Code: code, Message: message, Outcome: retry.NotRun}
}

func (f *Fault) after(d time.Duration) *Fault {
	f.RetryAfter = d
	return f
}
