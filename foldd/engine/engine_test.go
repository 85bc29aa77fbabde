package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"fuchsiafold.example/foldd/engine"
	"fuchsiafold.example/netio/pool"
)

func newClient() *engine.Client {
	return engine.New(pool.Transport{Pool: engine.NewPool(time.Second)}, time.Second, time.Second)
}

// serveOnce answers one request with the given bytes and closes the connection.
func serveOnce(t *testing.T, response string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, response)
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestBrokenGenerationIsNotComplete ends close-delimited streams before and within
// the event of the last token.
func TestBrokenGenerationIsNotComplete(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
		first = "id: 1\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n"
		last  = "id: 2\ndata: {\"choices\":[{\"text\":\"b\",\"finish_reason\":\"stop\"}]}\n"
	)
	for name, body := range map[string]string{
		"before the first event": "", "after an event": first, "within a line": first + last[:20], "before the blank line": first + last,
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient()
			s, _, err := c.Start(context.Background(), serveOnce(t, head+body), engine.Request{RequestID: "1"})
			if err != nil {
				t.Fatal(err)
			}
			err = s.Events(func(e engine.Event) bool {
				if e.Ended || e.Token.Last {
					t.Errorf("got the end of the generation: %+v", e)
				}
				return true
			})
			if !errors.Is(err, engine.ErrConnectionLost) {
				t.Errorf("error %v, want ErrConnectionLost", err)
			}
		})
	}
}
