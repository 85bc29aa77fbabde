package main

import (
	"bufio"
	"bytes"
	"net"
	"time"
)

// keptClient sends one attempt after the other to a VM until end, on a connection that it keeps
// open. done is called with each answer; kept is set if the connection had carried a request
// before. pause returns the time between an answer and the next attempt.
func (c *cluster) keptClient(v *vm, end time.Time, next func() *attempt, done func(a *attempt, r reply, kept bool), pause func(r reply) time.Duration) {
	var conn net.Conn
	var reader *bufio.Reader
	kept := false
	for time.Now().Before(end) {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", v.callers(), time.Second); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader, kept = bufio.NewReader(conn), false
		}
		a := next()
		a.vm = v
		c.rec.line("sent", "id", a.id, "vm", v.id, "path", a.path, "kept", kept)
		r := a.do(conn, reader)
		c.rec.line("answered", "id", a.id, "status", r.status, "complete", r.complete, "error", r.err, "events", bytes.Count(r.body, []byte("id: ")), "ms", r.took.Milliseconds())
		done(a, r, kept)
		kept = true
		if !r.complete || r.header.Get("Connection") == "close" {
			conn.Close()
			conn = nil
		}
		time.Sleep(pause(r))
	}
	if conn != nil {
		conn.Close()
	}
}
