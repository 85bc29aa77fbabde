package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	status int
	stamp  string
	body   string
	header http.Header
	// err is set if there was no whole answer.
	err  error
	took time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then: %v (%d ms)", a.status, len(a.body), a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("status %d, stamp %q, %d bytes (%d ms)", a.status, a.stamp, len(a.body), a.took.Milliseconds())
}

// request is one attempt of a client.
type request struct {
	node, host, path, id, key string
	deadline                  time.Duration
	header                    map[string]string
	body                      string
}

// send sends a request on a new connection.
func (q request) send(rec *recorder) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.node+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		return answer{err: err}
	}
	r.Host = q.host
	r.Header.Set("X-Attempt-Id", q.id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		r.Header.Set("Authorization", "Token "+q.key)
	}
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	rec.log("client sends request %s to %s", q.id, q.node)
	var a answer
	res, err := oneShot.Do(r)
	if err == nil {
		var b strings.Builder
		_, err = io.Copy(&b, res.Body)
		res.Body.Close()
		a = answer{status: res.StatusCode, stamp: res.Header.Get("X-Server-Stamp"), body: b.String(), header: res.Header}
	}
	a.err, a.took = err, time.Since(began)
	rec.log("client gets for %s: %v", q.id, a)
	return a
}

// operator calls the operator's API. It moves on to the next node after a failure, a status of
// 500 or more, or a second without a response, as the pages say.
type operator struct {
	rec   *recorder
	nodes []string
}

// order sends an order until it is acknowledged, for as long as the given time.
func (o *operator) order(method, path string, body []byte, patience time.Duration) (time.Time, error) {
	end := time.Now().Add(patience)
	for i := 0; time.Now().Before(end); i++ {
		node := o.nodes[i%len(o.nodes)]
		o.rec.log("operator sends %s %s to %s", method, path, node)
		err := call(method, "http://"+node+path, body)
		if err == nil {
			o.rec.log("%s acknowledges %s %s", node, method, path)
			return time.Now(), nil
		}
		o.rec.log("no acknowledgement of %s %s by %s: %v", method, path, node, err)
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%s %s: not acknowledged", method, path)
}

// awaitReady waits until all front machines are ready.
func awaitReady(f *fleet, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, m := range f.machines {
		for m.class == "front" {
			res, err := oneShot.Get("http://" + m.addr(portReady) + "/api/readyz")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
