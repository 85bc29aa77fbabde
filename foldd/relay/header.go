package relay

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders lists the headers that apply to a single connection (hop-by-hop
// headers) and are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// matchesResponse reports whether a response with the status and the header h is a backend
// server's response to the request. What a response says, such as that the request did not
// run, may be believed only if it matches.
func (q *request) matchesResponse(status int, h http.Header) bool {
	reply := q.relay.Codec.ParseReply(status, h)
	if !q.hasOwnID(reply) {
		return false
	}
	if !q.relay.Codec.SignedReplies || status < http.StatusOK || q.params.ID == "" {
		return true
	}
	success := status < http.StatusMultipleChoices
	return reply.ID != "" && (reply.Signed || !success)
}

// matchesPeerResponse is like matchesResponse for the response of another VM, whose own
// responses carry no ID.
func (q *request) matchesPeerResponse(status int, h http.Header) bool {
	return q.hasOwnID(q.relay.Codec.ParseReply(status, h))
}

// hasOwnID reports whether a response names no request or this one. A request without an
// ID accepts every response.
func (q *request) hasOwnID(r Reply) bool {
	return r.ID == "" || q.params.ID == "" || r.ID == q.params.ID
}

// removeHopHeaders removes the hop-by-hop headers, including those named by the
// Connection header.
func removeHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// copyHeader copies the header of a backend server's response to the caller's,
// without hop-by-hop headers and Content-Length. It modifies h.
func copyHeader(w http.ResponseWriter, h http.Header) {
	removeHopHeaders(h)
	out := w.Header()
	for name, values := range h {
		if name != "Content-Length" {
			out[name] = values
		}
	}
}
