package app_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/wire"
)

// TestForwards forwards a request of the product's own interface to a server by
// its host and path, and leaves all other requests where they were.
func TestForwards(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	d := testConfig()
	d.Forwards = []spec.Forward{{Host: "h.example", Prefix: "/read/", Kind: spec.ForwardIdempotent, Timeout: 2e9, Services: []spec.WeightedService{{Service: "booking-app", Weight: 1}}}}
	if err := d.Validate(); err != nil {
		t.Fatal(err)
	}
	a.Node.ApplyIndex(spec.NewIndex(d, 2))
	s, err := origin.New("s1", func(*http.Request) origin.Behaviour { return origin.Behaviour{Body: "forwarded"} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	a.Node.ReceiveAnnouncement(member.Backend{ID: "s1", Addr: s.Addr(), Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 1})
	for host, want := range map[string]int{"h.example": http.StatusOK, "other.example": http.StatusNotFound} {
		req, err := http.NewRequest(http.MethodGet, "http://"+a.Addrs().Callers.String()+"/read/x", strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = host
		req.Header.Set("Authorization", "Bearer "+testKey)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil || res.StatusCode != want {
			t.Errorf("host %s: status %d, body %q, error %v; want %d", host, res.StatusCode, body, err, want)
		}
	}
}

// TestWatch asks the metrics address of a VM what it sees of a service to which
// it forwards: the budget, the age of the news, and the errors that it answered.
// Nothing can be changed there.
func TestWatch(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", func(s *conf.Settings) { s.Listen.Metrics = netip.MustParseAddrPort("127.0.0.1:0") })
	d := testConfig()
	d.Forwards = []spec.Forward{{Host: "h.example", Prefix: "/read/", Kind: spec.ForwardIdempotent, Timeout: 2e9, Services: []spec.WeightedService{{Service: "booking-app", Weight: 1}}}}
	a.Node.ApplyIndex(spec.NewIndex(d, 2))
	a.Node.ReceiveAnnouncement(member.Backend{ID: "s1", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 1})
	a.Node.CountForward("booking-app")
	a.Node.Count("errors.overload", 3)
	base := "http://" + a.Addrs().Metrics.String()
	res, err := wire.NewWatchServiceClient(http.DefaultClient, base).Status(t.Context(), connect.NewRequest(&wire.StatusRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	s := res.Msg
	if len(s.GetServices()) != 1 || s.GetServices()[0].GetRequests() != 1 || len(s.GetServices()[0].GetBackends()) != 1 {
		t.Errorf("services %v", s.GetServices())
	}
	if len(s.GetErrors()) != 1 || s.GetErrors()[0].GetCode() != "overload" || s.GetErrors()[0].GetCount() != 3 {
		t.Errorf("errors %v", s.GetErrors())
	}
	if _, err := wire.NewOperatorServiceClient(http.DefaultClient, base).Drain(t.Context(), connect.NewRequest(&wire.DrainRequest{})); err == nil || a.Node.Draining() {
		t.Errorf("drain at the metrics address: error %v, draining %t", err, a.Node.Draining())
	}
}
