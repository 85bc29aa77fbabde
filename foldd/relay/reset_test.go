package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/origin"
)

// largeUpload is the size in bytes of a body that is not written at once.
const largeUpload = 12 << 20

// startVMForUploads starts a VM that takes requests with bodies of largeUpload bytes.
func startVMForUploads(t *testing.T) *testVM {
	t.Helper()
	r := startVM(t)
	r.node.Settings.Limits.MaxBody = largeUpload
	document := fmt.Sprintf(configDocument, spec.HashKey("key"))
	d, err := spec.Parse([]byte(strings.Replace(document, `"maxBody": 4096`, fmt.Sprintf(`"maxBody": %d`, largeUpload), 1)))
	if err != nil {
		t.Fatal(err)
	}
	r.node.ApplyIndex(spec.NewIndex(d, 2))
	return r
}

// TestResetDuringUploadIsNotComplete guards against callers that get a part of a response as a
// complete one: a server answers a long request at once, with neither a length nor chunks, and
// resets the connection while the request's body is still being written.
func TestResetDuringUploadIsNotComplete(t *testing.T) {
	for _, path := range []string{"/write/x", "/draft/x", "/read/deep/x"} {
		for _, stopReading := range []bool{false, true} {
			t.Run(fmt.Sprint(path, ", body unread ", stopReading), func(t *testing.T) {
				r := startVMForUploads(t)
				b := origin.Behaviour{Body: origin.Event(1) + origin.Event(2), TruncateAt: len(origin.Event(1)), CloseDelimited: true, ResetEarly: true, ResetAfter: time.Millisecond, StopReading: stopReading}
				app, models := r.backend("s1", "app", respondWith(b)), r.backend("e1", "models", respondWith(b))
				for i := range 12 {
					id := fmt.Sprint(i)
					status, body, err := r.sendAndRead(http.MethodPost, path, id, strings.Repeat("u", largeUpload))
					if err == nil && status == http.StatusOK {
						t.Errorf("status %d, body %q, no error", status, body)
					}
					if runs := app.RunCount(id) + models.RunCount(id); runs != 1 {
						t.Errorf("ran %d times, want once", runs)
					}
				}
			})
		}
	}
}

// TestEarlyResponseReachesCaller guards sound servers: callers get a response that its server sends,
// with neither a length nor chunks, before it has read a long request, also if it never does.
func TestEarlyResponseReachesCaller(t *testing.T) {
	for _, path := range []string{"/write/x", "/draft/x", "/read/deep/x"} {
		for _, stopReading := range []bool{false, true} {
			t.Run(fmt.Sprint(path, ", body unread ", stopReading), func(t *testing.T) {
				r := startVMForUploads(t)
				b := origin.Behaviour{Body: origin.Event(1) + origin.Event(2), CloseDelimited: true, RespondEarly: true, HalfClose: true, StopReading: stopReading}
				r.backend("s1", "app", respondWith(b))
				r.backend("e1", "models", respondWith(b))
				for i := range 3 {
					status, body, err := r.sendAndRead(http.MethodPost, path, fmt.Sprint(i), strings.Repeat("u", largeUpload))
					if status != http.StatusOK || body != b.Body || err != nil {
						t.Errorf("status %d, body %q, error %v; want the whole response", status, body, err)
					}
				}
			})
		}
	}
}

// TestResetDuringUploadIsRetried checks that an idempotent request is sent to another server
// after such a reset.
func TestResetDuringUploadIsRetried(t *testing.T) {
	r := startVMForUploads(t)
	var reset atomic.Bool
	behave := func(*http.Request) origin.Behaviour {
		if reset.Swap(true) {
			return origin.Behaviour{Body: "whole"}
		}
		return origin.Behaviour{Body: "part", TruncateAt: 2, CloseDelimited: true, ResetEarly: true, ResetAfter: time.Millisecond}
	}
	r.backend("s1", "app", behave)
	r.backend("s2", "app", behave)
	// A reader of an unknown type has no length: the body comes in chunks.
	req, err := http.NewRequest(http.MethodPost, "http://"+r.addr+"/read/x", struct{ io.Reader }{strings.NewReader(strings.Repeat("u", largeUpload))})
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Fold-Request-Id", "1")
	req.Header.Set("Authorization", "Bearer key")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if body, err := io.ReadAll(res.Body); res.StatusCode != http.StatusOK || string(body) != "whole" || err != nil {
		t.Errorf("status %d, body %q, error %v; want the response of the second server", res.StatusCode, body, err)
	}
}
