package relay_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/origin"
)

// TestRequestsAreRejectedNearMemoryLimit guards against a VM that takes requests until the system
// ends it, with all requests in progress. Those in progress go on.
func TestRequestsAreRejectedNearMemoryLimit(t *testing.T) {
	vm := startVM(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	s := vm.backend("b", "app", func(r *http.Request) origin.Behaviour {
		if r.Header.Get("Fold-Request-Id") == "first" {
			close(arrived)
			<-release
		}
		return origin.Behaviour{Body: "hello"}
	})
	first := make(chan int, 1)
	go func() {
		res, err := vm.send(http.MethodGet, "/read/x", "first", "")
		if err != nil {
			first <- 0
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		first <- res.StatusCode
	}()
	<-arrived
	resident := int64(95)
	vm.node.Memory.Limit, vm.node.Memory.Resident, vm.node.Memory.Free = 100, func() int64 { return resident }, func() {}
	vm.node.Memory.Check(time.Now())
	res, err := vm.send(http.MethodGet, "/read/x", "second", "")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || s.RunCount("second") != 0 {
		t.Errorf("near the limit: status %d, Retry-After %q, request ran %d times; want 503 with a time, and that it did not run", res.StatusCode, res.Header.Get("Retry-After"), s.RunCount("second"))
	}
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("request in progress: status %d, want 200", status)
	}
	resident = 10
	vm.node.Memory.Check(time.Now())
	res, err = vm.send(http.MethodGet, "/read/x", "third", "")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Errorf("below the limit again: status %d, want 200", res.StatusCode)
	}
}
