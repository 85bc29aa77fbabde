package app_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/origin"
)

// TestForwards forwards a request of the product's own interface to a server by
// its host and path, and leaves all other requests where they were.
func TestForwards(t *testing.T) {
	t.Parallel()
	a := startEntry(t, "a1", nil)
	d := testConfig()
	d.Forwards = []spec.Forward{{Host: "h.example", Prefix: "/read/", Kind: spec.ForwardSafe, Timeout: 2e9, Services: []spec.Share{{Service: "booking-app", Part: 1}}}}
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	a.Node.Adopt(spec.NewIndex(d, 2))
	s, err := origin.New("s1", func(*http.Request) origin.Behaviour { return origin.Behaviour{Body: "forwarded"} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	a.Node.Announce(member.Backend{ID: "s1", Addr: s.Addr(), Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 1})
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
