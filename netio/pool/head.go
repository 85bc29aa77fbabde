package pool

import (
	"bufio"
	"errors"
	"fmt"
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
	// unread is what was read and is to be read again. It does not count.
	unread []byte
	// inHead is set while the head is read, and left is what may still be read of it.
	inHead bool
	left   int
	// received is the number of bytes read for the current exchange.
	received int64
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if len(l.unread) > 0 {
		n := copy(p, l.unread)
		if l.unread = l.unread[n:]; len(l.unread) == 0 {
			l.unread = nil
		}
		return n, nil
	}
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

// readHead reads the head of the next response to a request with the given method. It
// returns an error if the head is not one that HTTP allows.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.head.inHead, c.head.left = true, bound.MaxHead
	defer func() { c.head.inHead = false }()
	raw, err := c.readRawHead()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if err := checkHead(string(raw)); err != nil {
		return nil, fmt.Errorf("malformed response: %w", err)
	}
	c.unread(raw)
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// usualHead is the size in bytes that few heads exceed.
const usualHead = 1 << 10

// readRawHead reads the bytes of a head up to and including its empty line.
func (c *conn) readRawHead() ([]byte, error) {
	raw := make([]byte, 0, usualHead)
	for line := 0; ; {
		part, err := c.reader.ReadSlice('\n')
		raw = append(raw, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if line > 0 && isEmptyLine(raw[line:]) {
			return raw, nil
		}
		line = len(raw)
	}
}

// isEmptyLine reports whether a line consists of its end alone.
func isEmptyLine(line []byte) bool { return string(line) == "\n" || string(line) == "\r\n" }

// unread makes b the next bytes that are read from the connection.
func (c *conn) unread(b []byte) {
	rest, _ := c.reader.Peek(c.reader.Buffered())
	b = append(b, rest...)
	c.head.unread = append(b, c.head.unread...)
	c.reader.Reset(&c.head)
}

// hasUnread reports whether bytes were read from the connection that belong to no response yet.
func (c *conn) hasUnread() bool { return c.reader.Buffered() > 0 || len(c.head.unread) > 0 }
