package ctrl

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/foldd/link"
	"fuchsiafold.example/wire"
)

// TestRefusedCallIsLoggedWithItsSize guards against a refusal that looks like a broken link.
func TestRefusedCallIsLoggedWithItsSize(t *testing.T) {
	const limit = 1 << 10
	mux := http.NewServeMux()
	mux.Handle(wire.NewControlServiceHandler(wire.UnimplementedControlServiceHandler{}, connect.WithReadMaxBytes(limit)))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	counts := map[string]int64{}
	log, lines := test.NewNullLogger()
	h := &Server{stop: make(chan struct{}), conf: ServerConfig{Count: func(name string, n int64) { counts[name] += n }}}
	state := &link.State{Log: logrus.NewEntry(log), Failed: "call to a control replica failed"}
	req := &wire.StepRequest{Messages: []*wire.LogMessage{{Entries: []*wire.Entry{{Data: make([]byte, limit)}}}}}
	h.deliver(wire.NewControlServiceClient(server.Client(), server.URL), req, state, 0)

	line := lines.LastEntry()
	if line == nil || line.Data["bytes"] != proto.Size(req) {
		t.Fatalf("line %v, want one with the size of the call, %d bytes", line, proto.Size(req))
	}
	reason := fmt.Sprint(line.Data[logrus.ErrorKey])
	if !strings.Contains(reason, fmt.Sprint(limit)) {
		t.Errorf("error %q doesn't name the limit of %d bytes", reason, limit)
	}
	const attempts = 2
	if counts["control.callsTooLarge"] != attempts || counts["control.bytesSent"] != int64(attempts*proto.Size(req)) {
		t.Errorf("counters %v, want %d refused calls of %d bytes each", counts, attempts, proto.Size(req))
	}
}
