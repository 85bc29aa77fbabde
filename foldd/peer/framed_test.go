package peer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/node"
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

// serveUnframed answers each call with a reply that ends with its connection.
func serveUnframed(t *testing.T, reply []byte) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n%s", reply)
			}
			c.Close()
		}
	}()
	return l.Addr().String()
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
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := wire.NewPeerServiceClient(peers.http, s.URL, peers.Options()).Exchange(ctx, connect.NewRequest(&wire.ExchangeRequest{}))
	runtime.ReadMemStats(&after)
	if took := after.TotalAlloc - before.TotalAlloc; err == nil || took > maxAllocated {
		t.Errorf("error %v, took %d bytes; want an error and at most %d", err, took, maxAllocated)
	}
}
