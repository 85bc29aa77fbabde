package engine_test

import (
	"context"
	"errors"
	"testing"

	"fuchsiafold.example/foldd/engine"
)

// brokenHeads are the beginnings of responses that are none in HTTP.
var brokenHeads = map[string]string{
	"status 000":               "HTTP/1.1 000 OK\r\n",
	"status 000, no reason":    "HTTP/1.1 000\r\n",
	"signed status":            "HTTP/1.1 +20 OK\r\n",
	"status 700":               "HTTP/1.1 700 OK\r\n",
	"blank in a name":          "HTTP/1.1 200 OK\r\nX-Bad Name: 1\r\n",
	"blank after a name":       "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n",
	"control byte in a name":   "HTTP/1.1 200 OK\r\nX-\x01Bad: 1\r\n",
	"folded line":              "HTTP/1.1 200 OK\r\nX-Good: 1\r\n X-Bad: 1\r\n",
	"refusal, blank in a name": "HTTP/1.1 400 Bad Request\r\nX-Bad Name: 1\r\n",
	"missing, blank in a name": "HTTP/1.1 404 Not Found\r\nX-Bad Name: 1\r\n",
	"chunks in HTTP/1.0":       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"control byte in a reason": "HTTP/1.1 503 O\x01K\r\n",
}

// generationEvents are the events of a whole generation.
const generationEvents = "id: 1\ndata: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n"

// TestBrokenResponseIsNoAnswer guards against a response that is none in HTTP and from which a
// client learns that the generation began, did not begin or is not there.
func TestBrokenResponseIsNoAnswer(t *testing.T) {
	for name, head := range brokenHeads {
		response := head + "Content-Type: text/event-stream\r\n\r\n" + generationEvents
		t.Run(name, func(t *testing.T) {
			c := newClient()
			var refused *engine.RefusedError
			if _, sent, err := c.Start(context.Background(), serveOnce(t, response), engine.Request{RequestID: "1"}); err == nil || errors.As(err, &refused) || !sent {
				t.Errorf("start: error %v, sent %t; want an error that leaves open whether the generation began", err, sent)
			}
			if _, err := c.Attach(context.Background(), serveOnce(t, response), "1", 0); err == nil || errors.As(err, &refused) || errors.Is(err, engine.ErrNotFound) {
				t.Errorf("attach: error %v, want one that leaves open whether the generation is there", err)
			}
			if err := c.Cancel(context.Background(), serveOnce(t, response), "1"); err == nil {
				t.Error("cancel: no error")
			}
		})
	}
}
