package relay

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"fuchsiafold.example/fold/limit"
)

// RequestParams holds the parameters of a request, taken from its headers.
type RequestParams struct {
	// ID identifies the request; empty if the caller gave none.
	ID string
	// Key is the workspace key; empty if the caller gave none.
	Key string
	// Timeout is how long the caller waits for the response; zero if unknown.
	Timeout time.Duration
	Prompt  Prompt
	// LastEventID is the ID of the last event of the stream that the caller has; empty if
	// it wants the stream from its beginning.
	LastEventID string
}

// Prompt describes a request for a generation. Fields that the caller does not
// state are zero.
type Prompt struct {
	Model string
	// Tokens is the size of the prompt; MaxTokens is the largest number of tokens
	// to generate.
	Tokens    int
	MaxTokens int
	// Parts holds the IDs of the prompt's parts in their order. Requests share
	// parts; the last one belongs to the request or its session alone.
	Parts []string
}

// SharedParts returns the IDs of the parts that other requests may have too.
func (p *Prompt) SharedParts() []string { return p.Parts[:max(len(p.Parts)-1, 0)] }

// ForwardParams holds the parameters that are sent to a backend server with a
// forwarded request.
type ForwardParams struct {
	// Backend is the ID of the backend server that the request is for. Any other
	// server at the same address must reject the request.
	Backend string
	// Workspace is the owner of the caller's key; empty if the request is not
	// authenticated, as on a public forward.
	Workspace string
	// Remaining is the time until the request times out.
	Remaining time.Duration
	// Priority is the engine's scheduling priority; 0 is the highest. A negative
	// value is not sent.
	Priority int
	// Resume is set if the request continues a run that was moved.
	Resume *Resume
	// LastEventID is the ID of the last event of a resumable stream that the caller has;
	// empty if the stream begins. It is not set with Resume.
	LastEventID string
}

// Resume describes the state from which a moved run continues.
type Resume struct {
	// Source is the engine that the run was copied from or stopped at; Handle
	// identifies the copied memory.
	Source netip.AddrPort
	Handle string
	// LastEventID is the ID of the last event that was sent to the caller.
	LastEventID string
}

// Reply holds the parameters in the header of a backend server's response.
type Reply struct {
	// ID identifies the request that the response belongs to; empty if the server
	// does not state it.
	ID string
	// Signed is set if the response bears the server's signature.
	Signed bool
	// NotRun is set if the server did not begin the request.
	NotRun bool
	// WrongInstance is set if the request reached another server than the one it
	// was addressed to.
	WrongInstance bool
	// Limit is what the response says of the server's rate limit.
	Limit limit.Statement
	// Leaving is set if the server says that it is leaving (shutting down).
	Leaving bool
	// RetryAfter is set if the server has turned the request away (status 503) and says
	// for how long it wants no further one.
	RetryAfter limit.RetryAfter
}

// SaysLimit reports whether a response with the given status says something of its
// server's rate limit. One that names no limit does so only if the server itself has
// handled the request.
func (r *Reply) SaysLimit(status int) bool {
	if r.WrongInstance {
		return false
	}
	return r.Limit.Named || r.Limit.Invalid || !r.NotRun && status < http.StatusInternalServerError
}

// Codec reads and writes the headers of forwarded requests.
type Codec struct {
	ParseRequest func(h http.Header) RequestParams
	WriteForward func(h http.Header, p ForwardParams)
	ParseReply   func(status int, h http.Header) Reply
	// SignedReplies states that servers repeat the ID of a request in each response to it
	// and sign each success. A response that lacks either then belongs to no request.
	SignedReplies bool
	// SetTimeout sets how long the sender of a request waits for the response.
	SetTimeout func(h http.Header, d time.Duration)
	// RetryAfter formats the value of the Retry-After header. If it is nil, the
	// value is in whole seconds, rounded up.
	RetryAfter func(d time.Duration) string
}

// Header names of the default protocol.
const (
	headerID        = "Fold-Request-Id"
	headerDeadline  = "Fold-Deadline-Ms"
	headerModel     = "Fold-Model"
	headerTokens    = "Fold-Prompt-Tokens"
	headerMaxTokens = "Fold-Max-Tokens"
	headerParts     = "Fold-Prompt-Parts"
	headerBackend   = "Fold-Backend"
	headerWorkspace = "Fold-Workspace"
	headerPriority  = "Fold-Priority"
	headerResume    = "Fold-Resume"
	headerNotRun    = "Fold-Not-Run"
	headerRateLimit = "Fold-Rate-Limit"
	headerLeaving   = "Fold-Leaving"
	headerLastEvent = "Last-Event-Id"
)

// DefaultCodec returns the codec of the default protocol.
func DefaultCodec() Codec {
	return Codec{ParseRequest: parseRequest, WriteForward: writeForward, ParseReply: parseReply, SetTimeout: setTimeout}
}

func parseRequest(h http.Header) RequestParams {
	key, _ := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	return RequestParams{
		ID:      h.Get(headerID),
		Key:     key,
		Timeout: ParseMillis(h.Get(headerDeadline)),
		Prompt: Prompt{
			Model:     h.Get(headerModel),
			Tokens:    ParseCount(h.Get(headerTokens)),
			MaxTokens: ParseCount(h.Get(headerMaxTokens)),
			Parts:     ParseParts(h[headerParts]),
		},
		LastEventID: h.Get(headerLastEvent),
	}
}

// maxCount bounds what ParseCount returns, so that sums of counts don't overflow.
const maxCount = 1 << 40

// ParseCount parses a non-negative number from a header. It returns zero for
// text that is not a number and for negative numbers, and maxCount for larger ones.
func ParseCount(text string) int {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || n < 0 {
		return 0
	}
	return int(min(n, maxCount))
}

// maxTimeout bounds what ParseMillis returns; forwards have timeouts far below it.
const maxTimeout = 30 * 24 * time.Hour

// ParseMillis parses a number of milliseconds from a header, which may have a fraction and any
// number of digits. It returns zero for text that is not a number and for negative numbers, and
// maxTimeout for larger ones.
func ParseMillis(text string) time.Duration {
	ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || !(ms > 0) {
		return 0
	}
	return time.Duration(min(ms, float64(maxTimeout.Milliseconds())) * float64(time.Millisecond))
}

// maxPartName bounds the name of a part in bytes.
const maxPartName = 64

// ParseParts parses the names of a prompt's parts from the values of a header field:
// comma-separated entries of a hexadecimal ID, a colon and the number of tokens. Every entry
// counts, as any part may crash engines: what has no colon is an ID, and numbers are not read.
func ParseParts(values []string) []string {
	var names []string
	for entry := range strings.SplitSeq(strings.Join(values, ","), ",") {
		id, _, _ := strings.Cut(entry, ":")
		if id = strings.TrimSpace(id); id != "" {
			names = append(names, partName(id))
		}
	}
	return names
}

// partName returns the name by which this system knows the part with an ID: the ID, in lower
// case, or a hash of one that is too long for messages and logs or no UTF-8.
func partName(id string) string {
	valid := utf8.ValidString(id)
	if valid {
		id = strings.ToLower(id)
	}
	if valid && len(id) <= maxPartName {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return "sha256:" + hex.EncodeToString(sum[:partHashBytes])
}

// partHashBytes is the length of the hash in the name of a part.
const partHashBytes = 16

func writeForward(h http.Header, p ForwardParams) {
	for _, name := range []string{"Authorization", headerResume, headerLastEvent, headerPriority} {
		h.Del(name)
	}
	h.Set(headerBackend, p.Backend)
	h.Set(headerWorkspace, p.Workspace)
	setTimeout(h, p.Remaining)
	if p.Priority >= 0 {
		h.Set(headerPriority, strconv.Itoa(p.Priority))
	}
	if p.LastEventID != "" {
		h.Set(headerLastEvent, p.LastEventID)
	}
	if r := p.Resume; r != nil {
		h.Set(headerResume, r.Source.String()+"/"+r.Handle)
		h.Set(headerLastEvent, r.LastEventID)
	}
}

func setTimeout(h http.Header, d time.Duration) {
	h.Set(headerDeadline, strconv.FormatInt(d.Milliseconds(), 10))
}

func parseReply(status int, h http.Header) Reply {
	return Reply{
		ID:            h.Get(headerID),
		NotRun:        h.Get(headerNotRun) != "",
		WrongInstance: status == http.StatusMisdirectedRequest,
		Limit:         limit.ParseStatement(h[headerRateLimit]),
		Leaving:       ParseFlag(h.Get(headerLeaving)),
		RetryAfter:    ParseRetryAfter(status, h),
	}
}

// ParseFlag parses a header field that is "1" if it holds.
func ParseFlag(text string) bool { return strings.TrimSpace(text) == "1" }

// ParseRetryAfter parses the Retry-After field of a response, which counts only with
// status 503.
func ParseRetryAfter(status int, h http.Header) limit.RetryAfter {
	if status != http.StatusServiceUnavailable {
		return limit.RetryAfter{}
	}
	return limit.ParseRetryAfter(h["Retry-After"])
}
