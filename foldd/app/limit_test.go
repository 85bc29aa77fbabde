package app_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/host"
	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/foldfake/plain"
)

// The limit of these tests in requests a second, and what a server may get in some
// limitSpan, limitNews after it first named the limit, at most.
const (
	testRate      = 3
	limitSpan     = 4 * time.Second
	limitNews     = 3 * time.Second
	limitAllowed  = testRate*4*3/2 + 5
	limitDuration = 8500 * time.Millisecond
)

// limitIntervals are the times between two requests to each of three VMs.
var limitIntervals = []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond}

// limitRig is a group of three VMs before servers that may name a rate limit.
type limitRig struct {
	t   *testing.T
	vms []*app.App
	// mu protects statuses, which counts the responses to callers by status, and 0
	// for those that broke off.
	mu       sync.Mutex
	statuses map[int]int
}

func startLimitRig(t *testing.T) *limitRig {
	t.Helper()
	d := testConfig()
	d.Services = append(d.Services, spec.Service{Name: "app", Kind: spec.KindPlain},
		spec.Service{Name: "models", Kind: spec.KindPlain, Engine: &spec.Engine{Slots: 8, MemoryTokens: 100000, EventTokens: 4}})
	d.Forwards = []spec.Forward{
		{Name: "read", Host: "h.example", Prefix: "/read/", Kind: spec.ForwardIdempotent, Timeout: 2e9, Attempts: 2, Services: []spec.WeightedService{{Service: "app", Weight: 1}}},
		{Name: "draft", Host: "h.example", Prefix: "/draft/", Kind: spec.ForwardStream, Timeout: 20e9, Services: []spec.WeightedService{{Service: "models", Weight: 1}}},
	}
	if err := d.Validate(); err != nil {
		t.Fatal(err)
	}
	r := &limitRig{t: t, statuses: map[int]int{}}
	for i := range limitIntervals {
		a := startEntry(t, fmt.Sprint("vm", i), func(s *conf.Settings) {
			s.Retry.Share, s.Retry.Reserve = 1, 10000
			for _, other := range r.vms {
				s.Peers = append(s.Peers, other.Addrs().Peers)
			}
		})
		a.Node.ApplyIndex(spec.NewIndex(d, 2))
		r.vms = append(r.vms, a)
	}
	for _, a := range r.vms {
		waitFor(t, "the VMs to know each other", func() bool { return len(a.Node.Peers()) == len(limitIntervals)-1 })
	}
	return r
}

// startServer starts a server of a service, and returns its meter.
func (r *limitRig) startServer(id, service, limit string, b origin.Behaviour) *meter.Meter {
	r.t.Helper()
	s, err := origin.New(id, func(*http.Request) origin.Behaviour { return b })
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(s.Close)
	s.Meter = &meter.Meter{}
	s.Meter.Name(limit)
	go r.announce(member.Backend{ID: id, Addr: s.Addr(), Kind: spec.KindPlain, Service: service, Domain: "a", Epoch: 1})
	for _, a := range r.vms {
		waitFor(r.t, "server "+id+" to be known", func() bool { _, ok := a.Node.Backend(id); return ok })
	}
	return s.Meter
}

// announce announces a server to the first VM until the test ends.
func (r *limitRig) announce(b member.Backend) {
	for r.t.Context().Err() == nil {
		b.Seq++
		r.vms[0].Node.ReceiveAnnouncement(b)
		time.Sleep(announceInterval)
	}
}

// load sends requests to each VM at its interval for limitDuration, and waits for the
// responses.
func (r *limitRig) load(newRequest func(i int) callerRequest) {
	r.t.Helper()
	var requests sync.WaitGroup
	end := time.Now().Add(limitDuration)
	var senders sync.WaitGroup
	for vm, interval := range limitIntervals {
		senders.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				q := newRequest(i)
				requests.Go(func() { r.send(vm, q) })
				time.Sleep(interval)
			}
		})
	}
	senders.Wait()
	requests.Wait()
}

func (r *limitRig) send(vm int, q callerRequest) {
	req, err := http.NewRequest(q.method, "http://"+r.vms[vm].Addrs().Callers.String()+q.path, strings.NewReader(q.body))
	if err != nil {
		r.t.Error(err)
		return
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer "+alphaKey)
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	status := 0
	if res, err := http.DefaultClient.Do(req); err == nil {
		defer res.Body.Close()
		if _, err := io.Copy(io.Discard, res.Body); err == nil {
			status = res.StatusCode
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[status]++
}

// checkLimit fails the test if a server with the limit got more requests than allowed,
// or none.
func checkLimit(t *testing.T, m *meter.Meter) {
	t.Helper()
	if most := m.Most(limitSpan, limitNews); most > limitAllowed {
		t.Errorf("a server that names a limit of %d requests a second got %d in %v; allowed are %d", testRate, most, limitSpan, limitAllowed)
	}
	if m.Count() == 0 {
		t.Error("a server with a limit got no request")
	}
}

func forwardRequest(path string) func(i int) callerRequest {
	return func(i int) callerRequest { return callerRequest{method: http.MethodGet, path: path} }
}

// TestForwardsKeepServerRateLimit guards against VMs that together send a server more
// requests than the limit that it names.
func TestForwardsKeepServerRateLimit(t *testing.T) {
	t.Parallel()
	limited := fmt.Sprint(testRate)
	t.Run("first sends", func(t *testing.T) {
		t.Parallel()
		r := startLimitRig(t)
		m := r.startServer("limited", "app", limited, origin.Behaviour{Body: "x"})
		r.startServer("open", "app", "", origin.Behaviour{Body: "x"})
		r.load(forwardRequest("/read/x"))
		checkLimit(t, m)
		if len(r.statuses) != 1 || r.statuses[http.StatusOK] == 0 {
			t.Errorf("statuses %v; a server without a limit has room for all requests", r.statuses)
		}
	})
	t.Run("second attempts", func(t *testing.T) {
		t.Parallel()
		r := startLimitRig(t)
		m := r.startServer("limited", "app", limited, origin.Behaviour{Body: "x", Delay: 100 * time.Millisecond})
		r.startServer("open", "app", "", origin.Behaviour{Status: http.StatusInternalServerError})
		r.load(forwardRequest("/read/x"))
		checkLimit(t, m)
	})
	t.Run("all servers limited", func(t *testing.T) {
		t.Parallel()
		r := startLimitRig(t)
		m := r.startServer("limited", "app", limited, origin.Behaviour{Body: "x"})
		r.load(forwardRequest("/read/x"))
		checkLimit(t, m)
		if r.statuses[http.StatusOK] == 0 || r.statuses[http.StatusServiceUnavailable] == 0 || len(r.statuses) != 2 {
			t.Errorf("statuses %v; want what the limit allows served and the others rejected as not run", r.statuses)
		}
	})
	t.Run("streams", func(t *testing.T) {
		t.Parallel()
		r := startLimitRig(t)
		m := r.startServer("limited", "models", limited, origin.Behaviour{Events: 3})
		r.startServer("open", "models", "", origin.Behaviour{Events: 3})
		r.load(forwardRequest("/draft/x"))
		checkLimit(t, m)
	})
}

// TestOwnInterfaceKeepsServerRateLimit guards against the same for calls and generations
// of the system's own interface.
func TestOwnInterfaceKeepsServerRateLimit(t *testing.T) {
	t.Parallel()
	t.Run("calls", func(t *testing.T) {
		t.Parallel()
		r := startLimitRig(t)
		m := &meter.Meter{}
		m.Name(fmt.Sprint(testRate))
		s, err := plain.New(plain.Config{
			ID: "limited", Addr: loopback, Service: "booking-app", Domain: "a", Meter: m,
			Entries: []netip.AddrPort{r.vms[0].Addrs().Backends}, Interval: announceInterval, Log: quietLog(),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.Close() })
		waitFor(t, "the service to be known", func() bool { _, ok := r.vms[2].Node.Backend("limited"); return ok })
		r.load(func(i int) callerRequest { return callerRequest{method: http.MethodGet, path: "/lookup"} })
		checkLimit(t, m)
	})
	t.Run("generations", func(t *testing.T) {
		t.Parallel()
		r := startLimitRig(t)
		m := &meter.Meter{}
		m.Name(fmt.Sprint(testRate))
		startEngineWith(t, host.Config{ID: "limited", Meter: m}, r.vms...)
		r.load(func(i int) callerRequest {
			q := generationRequest("summary", 2, true)
			q.method, q.path, q.header = http.MethodPost, "/v1/completions", map[string]string{"Fold-Class": q.class, "Content-Type": "application/json"}
			return q
		})
		checkLimit(t, m)
	})
}
