package pool

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"fuchsiafold.example/netio/bound"
)

// errHeadTooLarge reports a response whose status line and header exceed
// bound.MaxHead.
var errHeadTooLarge = eris.New("the head of the answer exceeds the size limit")

// headLimit reads from a connection. While the head of a response is read, it bounds the
// number of bytes: a faulty server may send a head without end.
type headLimit struct {
	r io.Reader
	// inHead is set while the head is read, and left is what may still be read of it.
	inHead bool
	left   int
	// received is the number of bytes read for the current exchange.
	received int64
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.inHead {
		n, err := l.r.Read(p)
		l.received += int64(n)
		return n, err
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.received += int64(n)
	return n, err
}

// readHead reads the head of the next response to a request with the given method.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.head.inHead, c.head.left = true, bound.MaxHead
	defer func() { c.head.inHead = false }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}
