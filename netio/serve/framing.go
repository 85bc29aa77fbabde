package serve

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// Errors of requests whose end is not certain: what one reader takes for the body, another
// one takes for the next request (RFC 9112, section 6.3).
var (
	errTwoLengths       = eris.New("request has several Content-Length fields")
	errLengthAndChunks  = eris.New("request has both Content-Length and Transfer-Encoding")
	errChunksInOldProto = eris.New("request has Transfer-Encoding in a version of HTTP before 1.1")
)

// checkFraming returns an error unless the end of a request is certain. nbhttp rejects other
// transfer encodings than a single "chunked", and lengths that are no number.
func checkFraming(r *http.Request) error {
	lengths, encodings := len(r.Header["Content-Length"]), len(r.Header["Transfer-Encoding"])
	switch {
	case lengths > 1:
		return errTwoLengths
	case encodings > 0 && lengths > 0:
		return errLengthAndChunks
	case encodings > 0 && !r.ProtoAtLeast(1, 1):
		return errChunksInOldProto
	}
	return nil
}

// acceptsFraming reports whether a request may be passed to the handler. It rejects one whose
// end is not certain, and drops what follows such a request.
func (c *Caller) acceptsFraming(r *http.Request) bool {
	if c.conn == nil {
		return true
	}
	if c.conn.rejected {
		return false
	}
	err := checkFraming(r)
	if err != nil {
		c.conn.reject(http.StatusBadRequest, "badRequest", err, 0)
	}
	return err == nil
}
