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

func startServer(t *testing.T, h http.HandlerFunc) *serve.Server {
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

// TestLargeResponsesDoNotMix writes concurrent responses larger than 64 KiB, the
// size at which nbhttp frees a response buffer twice. Without the flushing
// writer, responses contain bytes of each other.
func TestLargeResponsesDoNotMix(t *testing.T) {
	const (
		size     = 200 << 10
		callers  = 16
		requests = 20
	)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
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
					t.Errorf("caller %s got %d bytes, %d of them of its own response, error %v", c, len(b), bytes.Count(b, []byte(c)), err)
					return
				}
			}
		})
	}
	wg.Wait()
}

func TestPanicEndsOneRequest(t *testing.T) {
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
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

// TestAddressInUse checks that New fails without delay if the address is in use.
// It tries repeatedly, because nbhttp's own listening hangs only sometimes.
func TestAddressInUse(t *testing.T) {
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {})
	for range 50 {
		log := logrus.New()
		if _, err := serve.New(serve.Config{Addr: s.Addr(), Handler: http.NotFoundHandler(), Log: log}); err == nil {
			t.Fatal("New succeeded on an address in use, want an error")
		}
	}
}

// TestNoDataAfterFailedWrite lets a caller stop reading until a write has failed
// and then resume. The truncated response must end with an error on the
// caller's side.
func TestNoDataAfterFailedWrite(t *testing.T) {
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
	// Reading the buffered data makes room in the socket for the write that
	// follows the failed one.
	go func() {
		time.Sleep(4 * timeout)
		close(resumed)
	}()
	if _, err := io.Copy(io.Discard, res.Body); err == nil {
		t.Error("reading a truncated response ended without an error")
	}
}
