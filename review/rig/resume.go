package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["resume"] = resumeCase }

// resumeCase checks that a client that resumes a stream at another front VM after a
// broken connection gets each event once.
func resumeCase(w *world, trouble bool) error {
	body := strings.Replace(streamConfig, `"attempts":1,"public":false,"sticky":true,"can_resume":false`, `"attempts":2,"public":false,"sticky":true,"can_resume":true`, 1)
	fronts, err := smallWorld(w, 4, body)
	if err != nil {
		return err
	}
	for _, zone := range []string{"zone-1", "zone-2"} {
		if _, err := w.startEngine(engineOptions{ID: "i-" + zone, Service: "models", Zone: zone, Events: streamEvents, Gap: 50 * time.Millisecond}); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	c, err := w.dial(fronts[0])
	if err != nil {
		return err
	}
	defer c.close()
	r := streamRequest("dddddddd00000001", "/draft/1")
	if err := c.send(r); err != nil {
		return err
	}
	if trouble {
		time.AfterFunc(2*time.Second, func() {
			w.rec.add("platform", "kills %s", fronts[0].name)
			fronts[0].kill()
		})
	}
	first := c.receive(r)
	ids := events(wholeEvents(first.body))
	w.rec.add("client", "%s: %s, %d events", r.id, first, len(ids))
	if len(ids) == 0 {
		return fmt.Errorf("the stream did not begin")
	}
	if first.err != nil {
		again := streamRequest("dddddddd00000002", "/draft/1")
		again.header["Last-Event-Id"] = strconv.Itoa(ids[len(ids)-1])
		w.rec.add("client", "resumes after event %d at %s", ids[len(ids)-1], fronts[1].name)
		c, err := w.dial(fronts[1])
		if err != nil {
			return err
		}
		defer c.close()
		if err := c.send(again); err != nil {
			return err
		}
		rest := c.receive(again)
		more := events(rest.body)
		w.rec.add("client", "%s: %s, %d events", again.id, rest, len(more))
		if rest.status != http.StatusOK || rest.err != nil {
			return fmt.Errorf("the stream was not resumed: %v", rest)
		}
		ids = append(ids, more...)
	}
	w.recordEngine("i-zone-1")
	w.recordEngine("i-zone-2")
	for i, n := range ids {
		if n != i+1 {
			return fmt.Errorf("%w: event %d stands in place %d of the stream; %d events came in all", errBroken, n, i+1, len(ids))
		}
	}
	if len(ids) != streamEvents {
		return fmt.Errorf("%w: %d of %d events came", errBroken, len(ids), streamEvents)
	}
	return nil
}

// wholeEvents returns the body of a stream up to its last whole event.
func wholeEvents(body string) string { return body[:strings.LastIndex(body, "\n\n")+1] }
