package serve_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"

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
