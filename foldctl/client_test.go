package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/wire"
)

// serveRaw answers each call with the given bytes and closes its connection.
func serveRaw(t *testing.T, response string) string {
	t.Helper()
	s, err := origin.New("vm", func(*http.Request) origin.Behaviour { return origin.Behaviour{Raw: response, Drop: true} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addr().String()
}

// TestBrokenReplyIsAnError guards against an operator who is shown a reply whose head HTTP does
// not allow, or the beginning of one: a prefix of a message may be a message too.
func TestBrokenReplyIsAnError(t *testing.T) {
	reply, err := proto.Marshal(&wire.ConfigResponse{Document: []byte("{}")})
	if err != nil {
		t.Fatal(err)
	}
	const fields = "Content-Type: application/proto\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(reply))
	for name, head := range map[string]string{
		"no length":              "HTTP/1.1 200 OK\r\n" + fields,
		"status 000":             "HTTP/1.1 000 OK\r\n" + fields + length,
		"blank in a name":        "HTTP/1.1 200 OK\r\n" + fields + "X-Bad Name: 1\r\n" + length,
		"length with a blank":    "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 99\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\n" + fields + "X-\x01Bad: 1\r\n" + length,
	} {
		addr := serveRaw(t, head+"\r\n"+string(reply))
		if res, err := operatorClient(addr).Config(t.Context(), connect.NewRequest(&wire.ConfigRequest{})); err == nil {
			t.Errorf("%s: the reply was taken as %+v", name, res.Msg)
		}
	}
	sound := serveRaw(t, "HTTP/1.1 200 OK\r\n"+fields+length+"\r\n"+string(reply))
	for _, addr := range []string{sound, strings.Replace(sound, "127.0.0.1", "localhost", 1)} {
		if _, err := operatorClient(addr).Config(t.Context(), connect.NewRequest(&wire.ConfigRequest{})); err != nil {
			t.Errorf("sound reply of %s: %v", addr, err)
		}
	}
}

// TestEndlessReplyIsAnError guards against a reply without end that takes memory until the
// process is killed.
func TestEndlessReplyIsAnError(t *testing.T) {
	const maxAllocated = 128 << 20
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		if r.Method == http.MethodGet {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"leader": "`)
		}
		filler := []byte(strings.Repeat("x", 64<<10))
		for err := error(nil); err == nil; {
			_, err = w.Write(filler)
		}
	}))
	t.Cleanup(s.Close)
	addr := strings.TrimPrefix(s.URL, "http://")
	for name, call := range map[string]func(ctx context.Context) error{
		"call": func(ctx context.Context) error {
			_, err := operatorClient(addr).Config(ctx, connect.NewRequest(&wire.ConfigRequest{}))
			return err
		},
		"report": func(ctx context.Context) error {
			_, err := fetchReport(ctx, addr, "")
			return err
		},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := call(ctx)
		runtime.ReadMemStats(&after)
		if took := after.TotalAlloc - before.TotalAlloc; err == nil || took > maxAllocated {
			t.Errorf("%s: error %v, took %d bytes; want an error and at most %d", name, err, took, maxAllocated)
		}
	}
}
