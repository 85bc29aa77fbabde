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

// TestForwardByHostAndPath checks that a request whose host and path match a
// forward of the configuration is forwarded, and that a request for another host
// is not.
func TestForwardByHostAndPath(t *testing.T) {
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
		req.Header.Set("Authorization", "Bearer "+alphaKey)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil || res.StatusCode != want {
			t.Errorf("host %s: got status %d, body %q, error %v; want %d", host, res.StatusCode, body, err, want)
		}
	}
}

// TestWatchServiceAtMetricsAddress checks that the metrics address reports the
// services to which the VM forwards, with their requests and backend servers, and
// the errors that the VM returned. It also checks that the address offers no
// operation that changes the VM, such as a drain.
func TestWatchServiceAtMetricsAddress(t *testing.T) {
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
		t.Errorf("got services %v, want one with 1 request and 1 backend server", s.GetServices())
	}
	if len(s.GetErrors()) != 1 || s.GetErrors()[0].GetCode() != "overload" || s.GetErrors()[0].GetCount() != 3 {
		t.Errorf("got errors %v, want 3 of code overload", s.GetErrors())
	}
	if _, err := wire.NewOperatorServiceClient(http.DefaultClient, base).Drain(t.Context(), connect.NewRequest(&wire.DrainRequest{})); err == nil || a.Node.Draining() {
		t.Errorf("drain at the metrics address: got error %v, draining %t; want an error, false", err, a.Node.Draining())
	}
}
