package app_test

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"

	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/foldd/conf"
)

// TestReportOfControlGroupIsServed guards against a report that is missing at one of the two
// addresses that foldctl asks, that anyone may read at the operators' address, and that a VM
// without a control replica makes up.
func TestReportOfControlGroupIsServed(t *testing.T) {
	t.Parallel()
	const token = "secret"
	withMetrics := func(s *conf.Settings) {
		s.OperatorToken = token
		s.Listen.Metrics = netip.MustParseAddrPort("127.0.0.1:0")
	}
	control := startEntry(t, "c1", func(s *conf.Settings) {
		withMetrics(s)
		s.Control = &conf.Control{DataFolder: t.TempDir(), Bootstrap: true}
	})
	waitFor(t, "the control replica to become leader", func() bool { return counter(control, "control.leaderChanges") > 0 })
	entry := startEntry(t, "e1", withMetrics)
	for _, tt := range []struct {
		name  string
		addr  netip.AddrPort
		token string
		want  int
	}{
		{"operators' address", control.Addrs().Operators, token, http.StatusOK},
		{"operators' address without the token", control.Addrs().Operators, "", http.StatusUnauthorized},
		{"metrics address", control.Addrs().Metrics, "", http.StatusOK},
		{"no replica, operators' address", entry.Addrs().Operators, token, http.StatusNotFound},
		{"no replica, metrics address", entry.Addrs().Metrics, "", http.StatusNotFound},
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+tt.addr.String()+repl.ReportPath, nil)
		if err != nil {
			t.Fatal(err)
		}
		if tt.token != "" {
			req.Header.Set("Authorization", "Bearer "+tt.token)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		var r repl.GroupReport
		if res.StatusCode == http.StatusOK {
			err = json.NewDecoder(res.Body).Decode(&r)
		}
		res.Body.Close()
		if err != nil || res.StatusCode != tt.want {
			t.Errorf("%s: status %d, error %v; want %d", tt.name, res.StatusCode, err, tt.want)
		}
		if tt.want == http.StatusOK && (!r.Leads || r.Leader != "c1" || r.Voters != 1 || !r.LossEndsGroup || len(r.Members) != 1) {
			t.Errorf("%s: report %+v, want a leader alone, whose loss ends the group", tt.name, r)
		}
	}
}
