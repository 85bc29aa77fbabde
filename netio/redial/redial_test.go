package redial_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/redial"
)

// gatherServer answers /gather once enough calls of it are in progress, /hang never, and
// everything else at once. opened counts the connections.
type gatherServer struct {
	*httptest.Server
	opened atomic.Int64
	// hanging is closed when a call of /hang has arrived.
	hanging chan struct{}
}

func newGatherServer(t *testing.T, enough int) *gatherServer {
	s := &gatherServer{hanging: make(chan struct{})}
	var gathered sync.WaitGroup
	gathered.Add(enough)
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/gather":
			gathered.Done()
			gathered.Wait()
		case "/hang":
			close(s.hanging)
			<-r.Context().Done()
		}
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.opened.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// TestFailureOnReusedConnectionClosesIdleOnes guards against calls that fail one after
// the other on idle connections that are all dead.
func TestFailureOnReusedConnectionClosesIdleOnes(t *testing.T) {
	const idle = 3
	s := newGatherServer(t, idle)
	p := &pool.Pool{MaxIdle: idle}
	defer p.CloseAllIdle()
	transport := &redial.Transport{Pool: p}
	get := func(ctx context.Context, path string) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+path, nil)
		if err != nil {
			return err
		}
		res, err := transport.RoundTrip(r)
		if err != nil {
			return err
		}
		return res.Body.Close()
	}
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() {
			if err := get(t.Context(), "/gather"); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	hung := make(chan error)
	go func() { hung <- get(ctx, "/hang") }()
	<-s.hanging
	cancel()
	if err := <-hung; err == nil {
		t.Fatal("a call that was cancelled succeeded")
	}
	if err := get(t.Context(), "/"); err != nil {
		t.Fatal(err)
	}
	if got := s.opened.Load(); got != idle+1 {
		t.Errorf("%d connections were opened, want %d: the last call needs a new one", got, idle+1)
	}
}
