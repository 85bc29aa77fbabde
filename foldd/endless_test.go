package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/host"
	"fuchsiafold.example/foldfake/origin"
)

const (
	// smallestVM is the memory in bytes of the smallest VMs that foldd is meant for.
	smallestVM = 112 << 20
	// endlessRequests is the number of requests at a time that get endless responses.
	endlessRequests = 60
)

// endlessConfig has forwards and a route to faulty services, and a forward to a sound one.
var endlessConfig = fmt.Appendf(nil, `{
	"classes": [{"name": "c", "target": {"completion": "1h"}}],
	"services": [
		{"name": "sound", "kind": "plain"},
		{"name": "faulty", "kind": "plain"},
		{"name": "faultyModels", "kind": "plain", "engine": {"slots": 64, "memoryTokens": 1000000, "eventTokens": 4}},
	],
	"routes": [{"path": "/own", "methods": ["GET"], "service": "faulty", "idempotent": true, "timeout": "5s"}],
	"forwards": [
		{"name": "sound", "host": "h.example", "prefix": "/sound/", "kind": "safe", "timeout": "20s", "services": [{"service": "sound", "part": 1}]},
		{"name": "plain", "host": "h.example", "prefix": "/plain/", "kind": "safe", "timeout": "5s", "services": [{"service": "faulty", "part": 1}]},
		{"name": "draft", "host": "h.example", "prefix": "/draft/", "kind": "stream", "timeout": "5s", "services": [{"service": "faultyModels", "part": 1}]},
	],
	"workspaces": [{"name": "w", "keySHA256": %q}],
}`, spec.HashKey("k"))

// TestProcessOutlivesEndlessResponses guards against a process that ends, with the requests of
// other callers, because faulty servers send bytes without end that it keeps.
func TestProcessOutlivesEndlessResponses(t *testing.T) {
	v := startVMs(t, 1)[0]
	v.restartWithMemory(smallestVM >> 20)
	var part atomic.Value
	part.Store(origin.EndlessZeros)
	faulty := func(*http.Request) origin.Behaviour { return origin.Behaviour{Endless: part.Load().(origin.Endless)} }
	v.startServer("s1", "sound", func(*http.Request) origin.Behaviour { return origin.Behaviour{Body: "whole"} })
	v.startServer("f1", "faulty", faulty)
	v.startServer("f2", "faultyModels", faulty)
	if _, err := v.sendDocument(0, "1", endlessConfig); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a sound response", func() bool { status, _ := v.get("/sound/x"); return status == http.StatusOK })
	stop := make(chan struct{})
	var sound sync.WaitGroup
	sound.Go(func() { v.sendUntil(stop, "/sound/x") })
	for _, p := range origin.EndlessParts() {
		part.Store(p)
		var senders sync.WaitGroup
		for i := range endlessRequests {
			path := []string{"/plain/x", "/draft/x", "/own"}[i%3]
			senders.Go(func() {
				if status, body := v.get(path); status == http.StatusOK && path == "/own" {
					t.Errorf("%s: status 200, %d bytes", p, len(body))
				}
			})
		}
		senders.Wait()
		t.Logf("after %s: at most %d MB resident", p, v.highestResident()>>20)
	}
	close(stop)
	sound.Wait()
	if got := v.highestResident(); got > smallestVM {
		t.Errorf("the process held %d bytes, want at most %d", got, smallestVM)
	}
}

// restartWithMemory starts the process again with a limit on its memory.
func (v *vm) restartWithMemory(megabytes int) {
	v.t.Helper()
	v.kill()
	text, err := os.ReadFile(v.settings)
	if err != nil {
		v.t.Fatal(err)
	}
	limited := strings.Replace(string(text), `"control":`, fmt.Sprintf(`"limits": {"memoryMB": %d}, "control":`, megabytes), 1)
	if err := os.WriteFile(v.settings, []byte(limited), 0o600); err != nil {
		v.t.Fatal(err)
	}
	v.start()
	v.waitLeader()
}

// startServer starts a stand-in server of a service and announces it to the VM until the end of
// the test.
func (v *vm) startServer(id, service string, behave func(*http.Request) origin.Behaviour) {
	v.t.Helper()
	s, err := origin.New(id, behave)
	if err != nil {
		v.t.Fatal(err)
	}
	v.t.Cleanup(s.Close)
	a := host.Announcement{ID: id, Addr: s.Addr().String(), Kind: spec.KindPlain, Service: service, Domain: "domain-" + v.id, Epoch: 1}
	go func() {
		for ; v.t.Context().Err() == nil; time.Sleep(200 * time.Millisecond) {
			a.Seq++
			// The next announcement replaces one that fails.
			_ = host.Announce(v.t.Context(), v.backends, "", a)
		}
	}()
}

// get sends a request and reads the response. The status is 0 without a whole response.
func (v *vm) get(path string) (status int, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.callers+path, nil)
	if err != nil {
		return 0, ""
	}
	r.Host = "h.example"
	r.Header.Set("Authorization", "Bearer k")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(b)
}

// sendUntil sends requests for sound responses until stop is closed.
func (v *vm) sendUntil(stop <-chan struct{}, path string) {
	for sent := 0; ; sent++ {
		select {
		case <-stop:
			v.t.Logf("%d sound responses", sent)
			return
		case <-time.After(5 * time.Millisecond):
		}
		if status, body := v.get(path); status != http.StatusOK || body != "whole" {
			v.t.Errorf("sound request %d: status %d, body %q", sent, status, body)
		}
	}
}

// highestResident returns the most memory in bytes that the process has held so far.
func (v *vm) highestResident() int64 {
	v.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		v.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	if err != nil {
		v.t.Fatal(err)
	}
	return kib << 10
}
