package relay

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// RequestParams is what a caller's headers say of a request.
type RequestParams struct {
	// ID names the request; empty if the caller gave none.
	ID string
	// Key is the workspace key, empty without one.
	Key string
	// Timeout is how long the caller waits; zero says nothing.
	Timeout time.Duration
	Prompt  Prompt
}

// Prompt describes a request for a generation as far as its caller states it.
type Prompt struct {
	Model string
	// Tokens is the size of the prompt, MaxTokens the most to be generated.
	Tokens    int
	MaxTokens int
}

// ForwardParams is what the system says to a backend server with a request.
type ForwardParams struct {
	// Backend is the server that must be the one to run the request.
	Backend string
	// Workspace owns the caller's key; empty for a public forward.
	Workspace string
	// Remaining is the time until the system gives up.
	Remaining time.Duration
	// Priority is the engine's priority, 0 first; negative says nothing.
	Priority int
	// Resume is set for a run that goes on.
	Resume *Resume
}

// Resume says where a run goes on.
type Resume struct {
	// Source is the engine that holds the run's memory under Handle.
	Source netip.AddrPort
	Handle string
	// LastEventID is the ID of the last event that the caller has.
	LastEventID string
}

// Reply is what a backend server's header says of its answer.
type Reply struct {
	// ID is the request that is answered; empty if the server says none.
	ID string
	// NotRun says that the server did not begin the request.
	NotRun bool
	// WrongInstance says that the server is not the one that was meant.
	WrongInstance bool
}

// Codec reads and writes the headers of forwarded requests.
type Codec struct {
	ParseRequest func(h http.Header) RequestParams
	WriteForward func(h http.Header, o ForwardParams)
	ParseReply   func(status int, h http.Header) Reply
	// RetryAfter writes when a caller may come back; nil writes whole seconds.
	RetryAfter func(d time.Duration) string
}

// Header names of the product's own protocol.
const (
	headerID        = "Fold-Request-Id"
	headerDeadline  = "Fold-Deadline-Ms"
	headerModel     = "Fold-Model"
	headerTokens    = "Fold-Prompt-Tokens"
	headerMaxTokens = "Fold-Max-Tokens"
	headerBackend   = "Fold-Backend"
	headerWorkspace = "Fold-Workspace"
	headerPriority  = "Fold-Priority"
	headerResume    = "Fold-Resume"
	headerNotRun    = "Fold-Not-Run"
	headerLastEvent = "Last-Event-Id"
)

// DefaultCodec returns the codec of the product's own protocol.
func DefaultCodec() Codec {
	return Codec{ParseRequest: ownAsk, WriteForward: ownOnward, ParseReply: ownReply}
}

func ownAsk(h http.Header) RequestParams {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return RequestParams{
		ID:      h.Get(headerID),
		Key:     key,
		Timeout: time.Duration(ParseCount(h.Get(headerDeadline))) * time.Millisecond,
		Prompt: Prompt{
			Model:     h.Get(headerModel),
			Tokens:    ParseCount(h.Get(headerTokens)),
			MaxTokens: ParseCount(h.Get(headerMaxTokens)),
		},
	}
}

// ParseCount reads a number from a header; text that is none, or is negative, says
// nothing and gives zero.
func ParseCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

func ownOnward(h http.Header, o ForwardParams) {
	for _, name := range []string{"Authorization", headerResume, headerLastEvent, headerPriority} {
		h.Del(name)
	}
	h.Set(headerBackend, o.Backend)
	h.Set(headerWorkspace, o.Workspace)
	h.Set(headerDeadline, strconv.FormatInt(o.Remaining.Milliseconds(), 10))
	if o.Priority >= 0 {
		h.Set(headerPriority, strconv.Itoa(o.Priority))
	}
	if r := o.Resume; r != nil {
		h.Set(headerResume, r.Source.String()+"/"+r.Handle)
		h.Set(headerLastEvent, r.LastEventID)
	}
}

func ownReply(status int, h http.Header) Reply {
	return Reply{
		ID:            h.Get(headerID),
		NotRun:        h.Get(headerNotRun) != "",
		WrongInstance: status == http.StatusMisdirectedRequest,
	}
}
