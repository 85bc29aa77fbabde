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

// matchesResponse reports whether a response with the header h belongs to the
// request. A missing ID on either side matches.
func (q *request) matchesResponse(h http.Header) bool {
	id := q.relay.Codec.ParseReply(http.StatusOK, h).ID
	return id == "" || q.params.ID == "" || id == q.params.ID
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
