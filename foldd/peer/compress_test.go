package peer

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/wire"
)

// TestSmallResponsesAreNotCompressed guards against VMs that hold a compressor for each small response.
func TestSmallResponsesAreNotCompressed(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := node.New(&conf.Settings{ID: "vm"}, log)
	t.Cleanup(n.Clock.Stop)
	document := bytes.Repeat([]byte(" "), 4*MinCompressed)
	n.ApplyIndex(spec.NewIndex(&spec.Document{}, 1).WithSource(document))
	s := New(n)
	mux := http.NewServeMux()
	mux.Handle(wire.NewPeerServiceHandler(s, s.HandlerOptions()))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)

	from := &wire.Peer{Id: "vm2", Addr: "127.0.0.1:1"}
	tests := []struct {
		procedure, encoding string
		message             proto.Message
	}{
		{wire.PeerServiceExchangeProcedure, "", &wire.ExchangeRequest{From: from}},
		{wire.PeerServiceInForceProcedure, "", &wire.InForceRequest{Revision: 1}},
		{wire.PeerServiceConfigProcedure, "gzip", &wire.ConfigRequest{}},
	}
	for _, test := range tests {
		if got := contentEncoding(t, server.URL+test.procedure, test.message); got != test.encoding {
			t.Errorf("%s: content encoding %q, want %q", test.procedure, got, test.encoding)
		}
	}
}

// contentEncoding returns the encoding of the response to a call that accepts gzip.
func contentEncoding(t *testing.T, url string, m proto.Message) string {
	t.Helper()
	body, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/proto")
	req.Header.Set("Accept-Encoding", "gzip")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d", url, res.StatusCode)
	}
	return res.Header.Get("Content-Encoding")
}
