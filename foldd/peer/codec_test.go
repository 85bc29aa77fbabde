package peer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/protobuf/reflect/protoreflect"

	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/wire"
)

// TestUnreadableRecordsDoNotStopMessage guards against one record, with a text that is not
// UTF-8, that keeps all others of its message from a VM.
func TestUnreadableRecordsDoNotStopMessage(t *testing.T) {
	dropped := 0
	c := codec{onDrop: func(_ protoreflect.FullName, records int) { dropped += records }}
	b, err := c.Marshal(&wire.ExchangeResponse{
		From:     &wire.Peer{Id: "vm"},
		Backends: []*wire.Backend{{Id: "a"}, {Id: "\xff"}, {Id: "b", Adapters: []string{"\xff"}}, {Id: "c"}},
		Prompts: &wire.PromptUpdate{
			Losses: []*wire.PromptLoss{{Parts: []string{"p", "\xff"}}, {Parts: []string{"q"}}},
			Sound:  []string{"\xff", "r"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	var got wire.ExchangeResponse
	if err := c.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	if ids := got.GetBackends(); len(ids) != 2 || ids[0].GetId() != "a" || ids[1].GetId() != "c" || got.GetFrom().GetId() != "vm" {
		t.Errorf("got %v, want VM vm and the servers a and c", &got)
	}
	if p := got.GetPrompts(); len(p.GetLosses()) != 1 || p.GetLosses()[0].GetParts()[0] != "q" || len(p.GetSound()) != 1 {
		t.Errorf("prompts %v, want the loss of q and one sound part", p)
	}
	if dropped != 4 {
		t.Errorf("%d records left out, want 4", dropped)
	}
}

// TestUnreadableMessageIsAnError checks that a message isn't sent without a field of its own.
func TestUnreadableMessageIsAnError(t *testing.T) {
	c := codec{onDrop: func(protoreflect.FullName, int) {}}
	for _, m := range []any{
		&wire.ClaimRequest{Key: "\xff"},
		&wire.ExchangeRequest{From: &wire.Peer{Id: "\xff"}, Backends: []*wire.Backend{{Id: "\xff"}}},
		"no message",
	} {
		if b, err := c.Marshal(m); err == nil {
			t.Errorf("%v is encoded as %q, want an error", m, b)
		}
	}
}

// TestFailingExchangesAreLogged guards against a VM that neither tells nor learns anything
// and leaves no line about it.
func TestFailingExchangesAreLogged(t *testing.T) {
	log, hook := test.NewNullLogger()
	n := node.New(&conf.Settings{ID: "vm"}, log)
	t.Cleanup(n.Clock.Stop)
	s := New(n)
	addr := unreadableServer(t)
	for range 3 {
		s.exchangeWith(addr, urgent)
	}
	var lines []*logrus.Entry
	for _, e := range hook.AllEntries() {
		if e.Data["addr"] == addr {
			lines = append(lines, e)
		}
	}
	if len(lines) != 1 || lines[0].Level != logrus.WarnLevel || lines[0].Data[logrus.ErrorKey] == nil {
		t.Errorf("lines about %v: %v, want one warning with the error", addr, lines)
	}
}

// unreadableServer starts a server whose replies are no messages.
func unreadableServer(t *testing.T) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		_, _ = io.WriteString(w, "\xff\xff")
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}
