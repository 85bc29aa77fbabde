package app_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/host"
	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/plain"
)

// ownInterface starts a server of the system's own interface with a meter, and returns
// how a caller sends it a request.
type ownInterface struct {
	what  string
	start func(t *testing.T, r *limitRig, id string, m *meter.Meter)
	send  func(r *limitRig)
}

var ownInterfaces = []ownInterface{
	{
		what: "calls",
		start: func(t *testing.T, r *limitRig, id string, m *meter.Meter) {
			s, err := plain.New(plain.Config{
				ID: id, Addr: loopback, Service: "booking-app", Domain: "a", Meter: m,
				Entries: []netip.AddrPort{r.vms[0].Addrs().Backends}, Interval: announceInterval, Log: quietLog(),
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { s.Close() })
			waitFor(t, "the service to be known", func() bool { _, ok := r.vms[0].Node.Backend(id); return ok })
		},
		send: func(r *limitRig) { r.send(0, callerRequest{method: http.MethodGet, path: "/lookup"}) },
	},
	{
		what: "generations",
		start: func(t *testing.T, r *limitRig, id string, m *meter.Meter) {
			startEngineWith(t, host.Config{ID: id, Meter: m}, r.vms...)
		},
		send: func(r *limitRig) {
			q := generationRequest("summary", 2, true)
			q.method, q.path, q.header = http.MethodPost, "/v1/completions", map[string]string{"Fold-Class": q.class, "Content-Type": "application/json"}
			r.send(0, q)
		},
	},
}

// TestOwnInterfaceObeysLeavingAnswer guards against requests of the system's own interface
// for a server that has said in a response that it is leaving.
func TestOwnInterfaceObeysLeavingAnswer(t *testing.T) {
	for _, i := range ownInterfaces {
		t.Run(i.what, func(t *testing.T) {
			t.Parallel()
			r := startLimitRig(t)
			m := &meter.Meter{}
			m.Leave()
			i.start(t, r, "leaving", m)
			i.send(r)
			told := m.Count()
			for range 5 {
				i.send(r)
			}
			if got := m.Count() - told; told == 0 || got > 0 {
				t.Errorf("a server that said it is leaving got %d requests, and %d before it said so", got, told)
			}
			if r.statuses[http.StatusServiceUnavailable] != 5 {
				t.Errorf("statuses %v, want the requests for the only server, which is leaving, rejected", r.statuses)
			}
		})
	}
}

// TestOwnInterfaceLeavesServerAlone guards against requests of the system's own interface
// for a server within the time that it named when it turned one away.
func TestOwnInterfaceLeavesServerAlone(t *testing.T) {
	const named, settle = 2 * time.Second, 500 * time.Millisecond
	// The time began before the caller got its response: a request right at its end may be
	// turned away again, for another such time.
	const last = named - 200*time.Millisecond
	for _, i := range ownInterfaces {
		t.Run(i.what, func(t *testing.T) {
			t.Parallel()
			r := startLimitRig(t)
			m := &meter.Meter{}
			m.TurnAway("2")
			i.start(t, r, "away", m)
			i.send(r)
			turnedAway := time.Now()
			for time.Since(turnedAway) < last {
				i.send(r)
				time.Sleep(50 * time.Millisecond)
			}
			if got := m.CountBetween(turnedAway.Add(settle), turnedAway.Add(named)); got > 2 {
				t.Errorf("a server that turned a request away for %v got %d more within that time", named, got)
			}
			m.TurnAway("")
			time.Sleep(time.Until(turnedAway.Add(named + settle)))
			if i.send(r); r.statuses[http.StatusOK] == 0 {
				t.Errorf("statuses %v: the server gets no request after the time that it named", r.statuses)
			}
		})
	}
}
