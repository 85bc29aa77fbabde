package relay

import (
	"io"
	"net/http"
	"testing"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/fault"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/netio/pool"
)

// TestPromiseOfOtherVM guards against a request that was passed on and that its caller is told has
// not run, though a server has begun it: one of this VM's, or one of the other VM's, whose status
// an old build of that VM has passed on.
func TestPromiseOfOtherVM(t *testing.T) {
	s, err := conf.Parse([]byte(`{"id": "vm", "domain": "a", "handleKey": "0123456789abcdef", "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"}}`))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := node.New(s, log)
	t.Cleanup(n.Clock.Stop)
	for _, tt := range []struct {
		name            string
		status          int
		server, outcome string
		mayHaveRun      bool
		proved          bool
	}{
		{"rejected by the VM", http.StatusServiceUnavailable, "", "notRun", false, true},
		{"rejected before the VM's handler", http.StatusServiceUnavailable, "", "", false, true},
		{"rejected by the VM after a run here", http.StatusServiceUnavailable, "", "notRun", true, false},
		{"a server's status", http.StatusServiceUnavailable, "s1", "", false, false},
		{"a server's status with an outcome", http.StatusTooManyRequests, "s1", "notRun", false, false},
		{"outcome unknown", http.StatusServiceUnavailable, "", "unknown", false, false},
		{"another status of a server", http.StatusInternalServerError, "s1", "", true, true},
		{"success", http.StatusOK, "s1", "", true, true},
	} {
		q := &request{relay: &Relay{Node: n}, mayHaveRun: tt.mayHaveRun}
		h := http.Header{}
		h.Set(headerPeerBackend, tt.server)
		h.Set(fault.HeaderOutcome, tt.outcome)
		if err := q.checkPeerStatus(&pool.Response{Status: tt.status, Header: h}); (err == nil) != tt.proved {
			t.Errorf("%s: got error %v, want it passed on: %t", tt.name, err, tt.proved)
		}
	}
}
