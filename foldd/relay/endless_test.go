package relay_test

import (
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/origin"
)

// maxEndlessMemory bounds the memory in bytes that endless responses may take at a time.
const maxEndlessMemory = 64 << 20

// TestEndlessResponses guards against a response of which a part has no end and takes
// memory until the process is killed. Several come at once.
func TestEndlessResponses(t *testing.T) {
	const requests = 8
	for _, path := range []string{"/read/x", "/draft/x"} {
		for _, part := range origin.EndlessParts() {
			t.Run(path+" "+string(part), func(t *testing.T) {
				r := startVM(t)
				r.backend("a", "app", respondWith(origin.Behaviour{Endless: part}))
				r.backend("e", "models", respondWith(origin.Behaviour{Endless: part}))
				runtime.GC()
				done := make(chan struct{})
				most := make(chan uint64)
				go func() { most <- highestHeap(done) }()
				var senders sync.WaitGroup
				for i := range requests {
					senders.Go(func() {
						res, err := r.send(http.MethodGet, path, string(rune('a'+i)), "")
						if err != nil {
							return
						}
						defer res.Body.Close()
						if _, err := io.Copy(io.Discard, res.Body); err == nil && res.StatusCode == http.StatusOK {
							t.Errorf("request %d got a whole answer", i)
						}
					})
				}
				senders.Wait()
				close(done)
				if got := <-most; got > maxEndlessMemory {
					t.Errorf("the heap grew to %d bytes, want at most %d", got, maxEndlessMemory)
				}
			})
		}
	}
}

// highestHeap returns the highest size in bytes of what the heap holds until done is closed.
// What nothing refers to is collected before each look, so that it doesn't count.
func highestHeap(done <-chan struct{}) uint64 {
	var most uint64
	for {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapAlloc)
		select {
		case <-done:
			return most
		case <-time.After(10 * time.Millisecond):
		}
	}
}
