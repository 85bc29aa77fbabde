package peer

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/netio/serve"
	"fuchsiafold.example/wire"
)

// TestCallThatIsTooLargeSaysSo guards against a refusal for size without its reason.
func TestCallThatIsTooLargeSaysSo(t *testing.T) {
	log, lines := test.NewNullLogger()
	n := node.New(&conf.Settings{ID: "vm"}, log)
	t.Cleanup(n.Clock.Stop)
	s := New(n)
	mux := http.NewServeMux()
	mux.Handle(wire.NewControlServiceHandler(wire.UnimplementedControlServiceHandler{}, s.HandlerOptions()))
	server, err := serve.New(serve.Config{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Handler: mux, MaxBody: MaxMessage, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	c := wire.NewControlServiceClient(s.ControlClient(), "http://"+server.Addr().String(), s.Options())
	// The protocol refuses a call just above the limit, and the server a larger one.
	for _, size := range []int{MaxMessage + 1, MaxMessage + 1<<20} {
		req := &wire.ApplyRequest{Document: make([]byte, size)}
		_, err := c.Apply(t.Context(), connect.NewRequest(req))
		if connect.CodeOf(err) != connect.CodeResourceExhausted {
			t.Fatalf("%d bytes: error %v, want the code ResourceExhausted", size, err)
		}
		for _, want := range []int{proto.Size(req), MaxMessage} {
			if !strings.Contains(err.Error(), fmt.Sprint(want)) {
				t.Errorf("%d bytes: error %v doesn't name %d bytes", size, err, want)
			}
		}
	}
	if lines.LastEntry() == nil || lines.LastEntry().Data["limit"] != MaxMessage {
		t.Errorf("last line %v, want one of the server about the request with its limit", lines.LastEntry())
	}
	if _, err := c.Apply(t.Context(), connect.NewRequest(&wire.ApplyRequest{})); connect.CodeOf(err) != connect.CodeUnimplemented {
		t.Errorf("a small call after them: error %v, want that of the handler", err)
	}
}
