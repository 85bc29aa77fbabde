package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

func init() { cases["smuggle"] = smuggleCase }

// smuggleRounds is the number of requests that hold another one.
const smuggleRounds = 20

// twoLengths states two lengths of a body, which is no valid framing. %d stands for the
// number of bytes that the client sends.
const (
	twoLengths = "Content-Length: 0\r\nContent-Length: %d\r\n\r\n"
	oneLength  = "Content-Length: %d\r\n\r\n"
)

// smuggleCase checks that a request that is part of the body of another one does not run.
func smuggleCase(w *world, trouble bool) error {
	fronts, err := smallWorld(w, 2, streamConfig)
	if err != nil {
		return err
	}
	if _, err := w.startEngine(engineOptions{ID: "i-1", Service: "app", Zone: "zone-1", Work: 5 * time.Millisecond}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	framing := oneLength
	if trouble {
		framing = twoLengths
	}
	for i := range smuggleRounds {
		if err := w.sendNested(fronts[i%2], i, framing); err != nil {
			return err
		}
	}
	w.recordEngine("i-1")
	log := w.engineLog("i-1")
	inner, outer := strings.Count(log, "runs 5555"), strings.Count(log, "runs ffff")
	switch {
	case inner > 0:
		return fmt.Errorf("%w: %d of %d requests that were part of the body of another request have run", errBroken, inner, smuggleRounds)
	case !trouble && outer != smuggleRounds:
		return fmt.Errorf("%w: without a disruption, %d of %d requests ran", errBroken, outer, smuggleRounds)
	}
	return nil
}

// sendNested sends a request whose body holds another one, and reads what comes back.
func (w *world) sendNested(v *vm, n int, framing string) error {
	c, err := w.dial(v)
	if err != nil {
		return err
	}
	defer c.close()
	id := fmt.Sprintf("ffffffff%08x", n)
	body := requestHead("/record/inner", fmt.Sprintf("55555555%08x", n)) + "Content-Length: 0\r\n\r\n"
	fields := fmt.Sprintf(framing, len(body))
	w.rec.add("client", "sends %s POST /record/outer with %q, and a body that holds another request", id, strings.TrimSpace(fields))
	if _, err := io.WriteString(c.conn, requestHead("/record/outer", id)+fields+body); err != nil {
		return err
	}
	c.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	// The deadline ends the read.
	b, _ := io.ReadAll(c.r)
	w.rec.add("client", "%s: %d answers came", id, strings.Count(string(b), "HTTP/1.1 "))
	return nil
}

// requestHead returns the head of a request up to the fields that state its length.
func requestHead(path, id string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Token key-1\r\n"
}
