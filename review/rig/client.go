package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	status int
	header http.Header
	body   string
	// err is not nil if there was no answer or it was not complete.
	err error
}

// client sends requests to one front VM over one connection.
type client struct {
	w    *world
	conn net.Conn
	r    *bufio.Reader
}

func (w *world) dial(v *vm) (*client, error) { return w.dialWindow(v, 0) }

// dialWindow is dial with a receive buffer of the given size in bytes.
func (w *world) dialWindow(v *vm, window int) (*client, error) {
	d := net.Dialer{Timeout: time.Second}
	if window > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			})
		}
	}
	c, err := d.Dial("tcp", v.addr(portCallers))
	if err != nil {
		return nil, err
	}
	return &client{w: w, conn: c, r: bufio.NewReader(c)}, nil
}

func (c *client) close() { c.conn.Close() }

// clientRequest is a request of a client.
type clientRequest struct {
	method, path, id string
	deadline         time.Duration
	header           map[string]string
	body             string
}

// send writes a request.
func (c *client) send(r clientRequest) error { return c.sendPaced(r, 0) }

// sendPaced writes a request at a rate in bytes per second, zero for no limit.
func (c *client) sendPaced(r clientRequest, rate int) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token key-1\r\n", r.method, r.path, r.id, r.deadline.Milliseconds())
	for k, v := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	c.w.rec.add("client", "sends %s %s %s", r.id, r.method, r.path)
	const piece = 32 << 10
	begun := time.Now()
	for sent, text := 0, b.String(); sent < len(text); {
		n, err := io.WriteString(c.conn, text[sent:min(sent+piece, len(text))])
		if err != nil {
			return err
		}
		sent += n
		if rate > 0 {
			time.Sleep(time.Until(begun.Add(time.Duration(sent) * time.Second / time.Duration(rate))))
		}
	}
	return nil
}

// receive reads an answer to its end.
func (c *client) receive(r clientRequest) answer { return c.receiveSlowly(r, 0) }

// receiveSlowly reads an answer at a rate in bytes per second, zero for no limit.
func (c *client) receiveSlowly(r clientRequest, rate int) answer {
	c.conn.SetReadDeadline(time.Now().Add(r.deadline + time.Second))
	res, err := http.ReadResponse(c.r, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: res.StatusCode, header: res.Header}
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := res.Body.Read(buf)
		b.Write(buf[:n])
		if rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			a.err = err
			break
		}
	}
	a.body = b.String()
	return a
}

// do sends a request and reads its answer.
func (c *client) do(r clientRequest) answer {
	if err := c.send(r); err != nil {
		return answer{err: err}
	}
	a := c.receive(r)
	c.w.rec.add("client", "%s: %s", r.id, a)
	return a
}

func (a answer) String() string {
	end := "complete"
	if a.err != nil {
		end = "not complete: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, stamp %q, body %q, %s", a.status, a.header.Get("X-Server-Stamp"), short(a.body), end)
}

func short(s string) string {
	if len(s) > 90 {
		return s[:40] + " ... " + s[len(s)-40:]
	}
	return s
}

// events returns the IDs of the events in the body of a stream.
func events(body string) []int {
	var ids []int
	for line := range strings.Lines(body) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			n, _ := strconv.Atoi(v)
			ids = append(ids, n)
		}
	}
	return ids
}
