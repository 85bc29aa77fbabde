package peer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

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
		c := wire.NewPeerServiceClient(New(n).Client(), "http://"+addr)
		if res, err := c.Place(context.Background(), connect.NewRequest(&wire.PlaceRequest{})); err == nil {
			t.Errorf("reply of %d bytes without framing was taken as %+v", length, res.Msg)
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
