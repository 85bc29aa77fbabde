package peer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/wire"

	"github.com/sirupsen/logrus"
)

// TestTruncatedReplyIsAnError ends the reply of another VM with its connection: a
// prefix of a message may be a message too.
func TestTruncatedReplyIsAnError(t *testing.T) {
	reply, err := proto.Marshal(&wire.PlaceResponse{Backend: "e1"})
	if err != nil {
		t.Fatal(err)
	}
	for _, length := range []int{0, len(reply)} {
		addr := serveUnframed(t, reply[:length])
		n := node.New(&conf.Settings{ID: "vm"}, logrus.New())
		t.Cleanup(n.Clock.Stop)
		s := New(n)
		for _, client := range []*http.Client{s.http, s.ControlClient()} {
			c := wire.NewPeerServiceClient(client, "http://"+addr)
			if res, err := c.Place(context.Background(), connect.NewRequest(&wire.PlaceRequest{})); err == nil {
				t.Errorf("reply of %d bytes without framing was taken as %+v", length, res.Msg)
			}
		}
	}
}

// TestBrokenReplyIsAnError guards against a reply whose head HTTP does not allow, as of a faulty
// server that has got the address of a VM, that is taken for one of the VM.
func TestBrokenReplyIsAnError(t *testing.T) {
	reply, err := proto.Marshal(&wire.PlaceResponse{Backend: "e1"})
	if err != nil {
		t.Fatal(err)
	}
	const fields = "Content-Type: application/proto\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(reply))
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n" + fields + length,
		"blank in a name":        "HTTP/1.1 200 OK\r\n" + fields + "X-Bad Name: 1\r\n" + length,
		"blank after a name":     "HTTP/1.1 200 OK\r\n" + fields + "Content-Encoding : gzip\r\n" + length,
		"folded line":            "HTTP/1.1 200 OK\r\nX-Good: 1\r\n Content-Encoding: gzip\r\n" + fields + length,
		"control byte in a name": "HTTP/1.1 200 OK\r\n" + fields + "X-\x01Bad: 1\r\n" + length,
		"other version":          "HTTP/2.0 200 OK\r\n" + fields + length,
		"control byte, reason":   "HTTP/1.1 200 O\x01K\r\n" + fields + length,
	} {
		addr := serveRaw(t, head+"\r\n"+string(reply))
		n := node.New(&conf.Settings{ID: "vm"}, logrus.New())
		t.Cleanup(n.Clock.Stop)
		s := New(n)
		for i, client := range []*http.Client{s.http, s.ControlClient()} {
			c := wire.NewPeerServiceClient(client, "http://"+addr)
			if res, err := c.Place(context.Background(), connect.NewRequest(&wire.PlaceRequest{})); err == nil {
				t.Errorf("%s, client %d: the reply was taken as %+v", name, i, res.Msg)
			}
		}
	}
}

// serveUnframed answers each call with a reply that ends with its connection.
func serveUnframed(t *testing.T, reply []byte) string {
	t.Helper()
	return serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n"+string(reply))
}

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

// TestEndlessReplyIsAnError guards against a reply without end, as of a server that has
// got the address of a VM, that takes memory until the process is killed.
func TestEndlessReplyIsAnError(t *testing.T) {
	const maxAllocated = 128 << 20
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		filler := make([]byte, 64<<10)
		for err := error(nil); err == nil; {
			_, err = w.Write(filler)
		}
	}))
	t.Cleanup(s.Close)
	n := node.New(&conf.Settings{ID: "vm"}, logrus.New())
	t.Cleanup(n.Clock.Stop)
	peers := New(n)
	for i, client := range []*http.Client{peers.http, peers.ControlClient()} {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := wire.NewPeerServiceClient(client, s.URL, peers.Options()).Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{}))
		runtime.ReadMemStats(&after)
		if took := after.TotalAlloc - before.TotalAlloc; err == nil || took > maxAllocated {
			t.Errorf("client %d: error %v, took %d bytes; want an error and at most %d", i, err, took, maxAllocated)
		}
	}
}
