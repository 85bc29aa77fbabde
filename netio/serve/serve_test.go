package serve_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/netio/serve"
)

func start(t *testing.T, h http.HandlerFunc) *serve.Server {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := serve.New(serve.Config{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Handler: h, MaxBody: 1 << 20, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// TestLargeResponsesStayApart writes responses beyond the size at which
// nbhttp frees its buffer twice; without the writer they mix.
func TestLargeResponsesStayApart(t *testing.T) {
	const (
		size     = 200 << 10
		callers  = 16
		requests = 20
	)
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		w.Write(bytes.Repeat([]byte(r.URL.Query().Get("c")), size))
	})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := string(rune('a' + i))
			for range requests {
				res, err := http.Get(fmt.Sprintf("http://%v/?c=%s", s.Addr(), c))
				if err != nil {
					t.Errorf("caller %s: %v", c, err)
					return
				}
				b, err := io.ReadAll(res.Body)
				res.Body.Close()
				if err != nil || len(b) != size || bytes.Count(b, []byte(c)) != size {
					t.Errorf("caller %s got %d bytes, %d of them its own, error %v", c, len(b), bytes.Count(b, []byte(c)), err)
					return
				}
			}
		})
	}
	wg.Wait()
}

func TestPanicEndsOneRequest(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("on purpose")
		}
		io.WriteString(w, "ok")
	})
	for path, want := range map[string]int{"/panic": http.StatusInternalServerError, "/": http.StatusOK} {
		res, err := http.Get("http://" + s.Addr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode != want {
			t.Errorf("%s: status %d, want %d", path, res.StatusCode, want)
		}
	}
}

// TestAddressInUse refuses an address that is taken, each time at once: nbhttp
// itself hangs now and then.
func TestAddressInUse(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, r *http.Request) {})
	for range 50 {
		log := logrus.New()
		if _, err := serve.New(serve.Config{Addr: s.Addr(), Handler: http.NotFoundHandler(), Log: log}); err == nil {
			t.Fatal("two servers on one address")
		}
	}
}

// TestNothingAfterAFailedWrite lets a caller stop reading until a write has
// failed, and then read on: what it gets must not look complete.
func TestNothingAfterAFailedWrite(t *testing.T) {
	const timeout = 50 * time.Millisecond
	failed := make(chan struct{})
	resumed := make(chan struct{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := serve.New(serve.Config{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"), MaxBody: 1 << 20, WriteTimeout: timeout, Log: log,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for !serve.CallerOf(r).Disconnected() {
				w.Write(make([]byte, 32<<10))
			}
			close(failed)
			<-resumed
			io.WriteString(w, "the end")
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	res, err := http.Get("http://" + s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	<-failed
	// Reading all that is on its way makes room for what would follow.
	go func() {
		time.Sleep(4 * timeout)
		close(resumed)
	}()
	if _, err := io.Copy(io.Discard, res.Body); err == nil {
		t.Error("a cut response ended like a complete one")
	}
}
