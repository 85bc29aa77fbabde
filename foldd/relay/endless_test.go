package relay_test

import (
	"flag"
	"io"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/origin"
)

const (
	// maxAnswers is the memory in bytes for plain answers, as the default settings have it.
	maxAnswers = 2 * conf.DefaultMaxAnswer
	// maxEndlessMemory bounds the memory in bytes that endless responses may take at a time:
	// that for answers, twice while their buffers grow, and some for the rest of the process.
	maxEndlessMemory = 2*maxAnswers + 8<<20
)

// TestEndlessResponses guards against a response of which a part has no end and takes
// memory until the process is killed. Several come at once. The test runs in a process of its
// own, since only one that stops the world for each collection can tell what its heap holds.
func TestEndlessResponses(t *testing.T) {
	if !strings.Contains(os.Getenv("GODEBUG"), stopTheWorld) {
		runStoppingTheWorld(t)
		return
	}
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
				got := <-most
				t.Logf("the heap held at most %d bytes", got)
				if got > maxEndlessMemory {
					t.Errorf("the heap held %d bytes, want at most %d", got, maxEndlessMemory)
				}
			})
		}
	}
}

// stopTheWorld is the setting in GODEBUG by which nothing else runs during a collection. What
// is allocated during a concurrent one counts as held, even if it is garbage at once.
const stopTheWorld = "gcstoptheworld=1"

// runStoppingTheWorld runs the test in a new process with stopTheWorld.
func runStoppingTheWorld(t *testing.T) {
	run := exec.CommandContext(t.Context(), os.Args[0], "-test.v", "-test.run="+endlessTests())
	run.Env = append(os.Environ(), "GODEBUG="+stopTheWorld)
	out, err := run.CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Errorf("run in a process of its own: %v", err)
	}
	if !strings.Contains(string(out), "--- PASS: "+t.Name()+"/") {
		t.Error("no part passed")
	}
}

// endlessTests returns the pattern of the parts to run, which is that of this process if it
// is for this test alone.
func endlessTests() string {
	const all = "TestEndlessResponses"
	if p := flag.Lookup("test.run").Value.String(); strings.HasPrefix(strings.TrimPrefix(p, "^"), all) {
		return p
	}
	return "^" + all + "$"
}

const (
	// heapLook is the time between two looks at the heap.
	heapLook = time.Millisecond
	// liveBytes is the metric of the bytes that the last collection found referred to.
	liveBytes = "/gc/heap/live:bytes"
)

// highestHeap returns the highest size in bytes of what the heap holds until done is closed.
func highestHeap(done <-chan struct{}) uint64 {
	var most uint64
	live := []metrics.Sample{{Name: liveBytes}}
	for {
		runtime.GC()
		metrics.Read(live)
		most = max(most, live[0].Value.Uint64())
		select {
		case <-done:
			return most
		case <-time.After(heapLook):
		}
	}
}
