package pool

import "net/http"

// Framing is what marks the end of a response's body.
type Framing int

// The framings.
const (
	// ByLength: the header states the length, or the response has no body.
	ByLength Framing = iota
	// Chunked: an empty chunk follows the body.
	Chunked
	// CloseDelimited: the server closes the connection after the body. A server
	// that crashes may do so too, before the end of the body.
	CloseDelimited
)

// String returns the framing's name in logs.
func (f Framing) String() string {
	switch f {
	case Chunked:
		return "chunked"
	case CloseDelimited:
		return "close"
	}
	return "length"
}

func framingOf(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return Chunked
	case res.ContentLength < 0 && res.Body != http.NoBody:
		return CloseDelimited
	}
	return ByLength
}
