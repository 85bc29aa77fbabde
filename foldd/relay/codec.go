package relay

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Ask is what a caller's headers say of a request.
type Ask struct {
	// ID names the request; empty if the caller gave none.
	ID string
	// Key is the workspace key, empty without one.
	Key string
	// Patience is how long the caller waits; zero says nothing.
	Patience time.Duration
	Prompt   Prompt
}

// Prompt describes a request for a generation as far as its caller states it.
type Prompt struct {
	Model string
	// Tokens is the size of the prompt, MaxTokens the most to be generated.
	Tokens    int
	MaxTokens int
}

// Onward is what the system says to a backend server with a request.
type Onward struct {
	// Backend is the server that must be the one to run the request.
	Backend string
	// Workspace owns the caller's key; empty for a public forward.
	Workspace string
	// Left is the time until the system gives up.
	Left time.Duration
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
	// After is the ID of the last event that the caller has.
	After string
}

// Reply is what a backend server's header says of its answer.
type Reply struct {
	// ID is the request that is answered; empty if the server says none.
	ID string
	// NotRun says that the server did not begin the request.
	NotRun bool
	// Elsewhere says that the server is not the one that was meant.
	Elsewhere bool
}

// Codec reads and writes the headers of forwarded requests.
type Codec struct {
	Ask    func(h http.Header) Ask
	Onward func(h http.Header, o Onward)
	Reply  func(status int, h http.Header) Reply
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

// OwnCodec returns the codec of the product's own protocol.
func OwnCodec() Codec {
	return Codec{Ask: ownAsk, Onward: ownOnward, Reply: ownReply}
}

func ownAsk(h http.Header) Ask {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return Ask{
		ID:       h.Get(headerID),
		Key:      key,
		Patience: time.Duration(Count(h.Get(headerDeadline))) * time.Millisecond,
		Prompt: Prompt{
			Model:     h.Get(headerModel),
			Tokens:    Count(h.Get(headerTokens)),
			MaxTokens: Count(h.Get(headerMaxTokens)),
		},
	}
}

// Count reads a number from a header; text that is none, or is negative, says
// nothing and gives zero.
func Count(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

func ownOnward(h http.Header, o Onward) {
	for _, name := range []string{"Authorization", headerResume, headerLastEvent, headerPriority} {
		h.Del(name)
	}
	h.Set(headerBackend, o.Backend)
	h.Set(headerWorkspace, o.Workspace)
	h.Set(headerDeadline, strconv.FormatInt(o.Left.Milliseconds(), 10))
	if o.Priority >= 0 {
		h.Set(headerPriority, strconv.Itoa(o.Priority))
	}
	if r := o.Resume; r != nil {
		h.Set(headerResume, r.Source.String()+"/"+r.Handle)
		h.Set(headerLastEvent, r.After)
	}
}

func ownReply(status int, h http.Header) Reply {
	return Reply{
		ID:        h.Get(headerID),
		NotRun:    h.Get(headerNotRun) != "",
		Elsewhere: status == http.StatusMisdirectedRequest,
	}
}
