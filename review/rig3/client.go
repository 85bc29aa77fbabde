package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// attemptNumber counts the client attempts of a case.
var attemptNumber atomic.Uint64

// attempt is one client attempt: a request with an ID of its own.
type attempt struct {
	id, method, host, path, key string
	header                      http.Header
	body                        []byte
	deadline                    time.Duration
	sentAt                      time.Time
	// vm is where it was sent.
	vm *vm
}

func newAttempt(method, host, path, key string, deadline time.Duration) *attempt {
	return &attempt{id: fmt.Sprintf("%016x", 0x9c41000000000000+attemptNumber.Add(1)), method: method, host: host, path: path, key: key, header: http.Header{}, deadline: deadline}
}

// newStream returns an attempt of a generation with a prompt of its own.
func newStream(path, tokens string, deadline time.Duration) *attempt {
	a := newAttempt(http.MethodPost, "app.example", path, "key-1", deadline)
	a.header.Set("X-Model", "m")
	a.header.Set("X-Token-Count", tokens)
	a.header.Set("X-Prompt-Prefix", "aa01:79,"+a.id+":200")
	a.body = []byte("notes of " + a.id)
	return a
}

// reply is what a client got. Complete is set if the answer ended as its framing says.
type reply struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
	took     time.Duration
}

// do sends an attempt on a connection and reads the answer until its end.
func (a *attempt) do(conn net.Conn, reader *bufio.Reader) reply {
	a.sentAt = time.Now()
	if err := conn.SetDeadline(a.sentAt.Add(a.deadline)); err != nil {
		return reply{err: err}
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, a.host, a.id, a.deadline.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", a.key)
	}
	for name, values := range a.header {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	if len(a.body) > 0 || a.method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return reply{err: err, took: time.Since(a.sentAt)}
	}
	res, err := http.ReadResponse(reader, &http.Request{Method: a.method})
	if err != nil {
		return reply{err: err, took: time.Since(a.sentAt)}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: body, complete: err == nil, err: err, took: time.Since(a.sentAt)}
}

// send sends an attempt to a VM on a connection of its own, and records both.
func (a *attempt) send(rec *record, v *vm) reply {
	a.vm = v
	rec.line("sent", "id", a.id, "vm", v.id, "method", a.method, "path", a.path)
	conn, err := net.DialTimeout("tcp", v.callers(), time.Second)
	if err != nil {
		rec.line("not connected", "id", a.id, "error", err)
		return reply{err: err}
	}
	defer conn.Close()
	r := a.do(conn, bufio.NewReader(conn))
	rec.line("answered", "id", a.id, "status", r.status, "complete", r.complete, "error", r.err, "ms", r.took.Milliseconds())
	return r
}
