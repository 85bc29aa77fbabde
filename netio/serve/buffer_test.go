package serve_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/lesismal/nbio/mempool"
)

// TestLargeBuffersAreNotUsedAgain guards against small requests that keep the memory of the
// largest body that was received before.
func TestLargeBuffersAreNotUsedAgain(t *testing.T) {
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	const bodies, size = 8, 1 << 20
	for range bodies {
		res, err := http.Post("http://"+s.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("x", size)))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
	}
	const buffers, most = 64, 64 << 10
	var taken []*[]byte
	for range buffers {
		b := mempool.Malloc(1)
		taken = append(taken, b)
		if cap(*b) > most {
			t.Errorf("a buffer for one byte has %d bytes, want at most %d", cap(*b), most)
		}
	}
	for _, b := range taken {
		mempool.Free(b)
	}
}
