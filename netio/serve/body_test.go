package serve_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/netio/serve"
)

// bodyLimit is the largest body of the servers of these tests, in bytes.
const bodyLimit = 1 << 20

// bodyServer is a server whose requests to /hold stay in progress until they are released.
type bodyServer struct {
	*serve.Server
	held    chan struct{}
	release chan struct{}
}

// startBodyServer starts a server with memory for two of the largest bodies.
func startBodyServer(t *testing.T) *bodyServer {
	t.Helper()
	s := &bodyServer{held: make(chan struct{}, 64), release: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var err error
	s.Server, err = serve.New(serve.Config{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"), MaxBody: bodyLimit, BodyMemory: 2 * bodyLimit, Log: log,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, err := io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/hold" {
				s.held <- struct{}{}
				<-s.release
			}
			fmt.Fprint(w, n, err)
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// awaitHeld waits until n more requests are in progress.
func (s *bodyServer) awaitHeld(t *testing.T, n int) {
	t.Helper()
	const timeout = 5 * time.Second
	end := time.After(timeout)
	for range n {
		select {
		case <-s.held:
		case <-end:
			t.Fatalf("fewer than %d requests are in progress after %v", n, timeout)
		}
	}
}

// upload sends a request with a body of size bytes, without a length if chunked, and checks
// the status of the response. It returns the time that this took.
func (s *bodyServer) upload(t *testing.T, path string, size int, chunked bool, want int) time.Duration {
	t.Helper()
	var body io.Reader = strings.NewReader(strings.Repeat("x", size))
	if chunked {
		body = struct{ io.Reader }{body}
	}
	begun := time.Now()
	res, err := http.Post("http://"+s.Addr().String()+path, "text/plain", body)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != want {
		t.Errorf("%s, %d bytes: status %d, body %q, error %v; want status %d", path, size, res.StatusCode, b, err, want)
	}
	if res.StatusCode == http.StatusOK && string(b) != fmt.Sprint(size, nil) {
		t.Errorf("the handler got %s, want %d bytes", b, size)
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		checkNoMemory(t, res.Header, b)
	}
	return time.Since(begun)
}

// checkNoMemory checks the response to a request that has found no memory.
func checkNoMemory(t *testing.T, h http.Header, body []byte) {
	t.Helper()
	var got struct {
		Error struct{ Code, Outcome string }
	}
	if err := json.Unmarshal(body, &got); err != nil || got.Error.Code != "overload" || got.Error.Outcome != "notRun" {
		t.Errorf("body %q, error %v; want code overload, outcome notRun", body, err)
	}
	if h.Get("Retry-After") != "1" {
		t.Errorf("header %v, want Retry-After 1", h)
	}
}

// TestLargeBodiesWaitForMemory guards against large bodies that come at the same time and
// together exceed the memory of the process: all are served, two at a time.
func TestLargeBodiesWaitForMemory(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			s := startBodyServer(t)
			const uploads = 8
			var wg sync.WaitGroup
			for range uploads {
				wg.Go(func() { s.upload(t, "/hold", bodyLimit, chunked, http.StatusOK) })
			}
			for range uploads / 2 {
				s.awaitHeld(t, 2)
				select {
				case <-s.held:
					t.Error("three bodies are held, want at most two")
				case <-time.After(50 * time.Millisecond):
				}
				s.release <- struct{}{}
				s.release <- struct{}{}
			}
			wg.Wait()
		})
	}
}

// TestBodyWithoutMemoryIsRejected guards against requests that wait without end, and against
// small requests that wait for large ones.
func TestBodyWithoutMemoryIsRejected(t *testing.T) {
	s := startBodyServer(t)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { s.upload(t, "/hold", bodyLimit, false, http.StatusOK) })
	}
	s.awaitHeld(t, 2)
	waiting := make(chan time.Duration)
	go func() { waiting <- s.upload(t, "/", bodyLimit, false, http.StatusServiceUnavailable) }()
	const usualSize, soon = 32 << 10, 500 * time.Millisecond
	if took := s.upload(t, "/", usualSize, false, http.StatusOK); took > soon {
		t.Errorf("a small request took %v", took)
	}
	const most = 2 * time.Second
	if took := <-waiting; took > most {
		t.Errorf("the rejection took %v, want at most %v", took, most)
	}
	close(s.release)
	wg.Wait()
	s.upload(t, "/", bodyLimit, false, http.StatusOK)
}

// TestBodyKeepsOnlyItsMemory guards against requests that hold more memory than they need: a
// request without a length takes the most that it may need, until all of it has come.
func TestBodyKeepsOnlyItsMemory(t *testing.T) {
	s := startBodyServer(t)
	// The last of them finds the most that it may need beside what the others need.
	const size, requests = 200 << 10, 8
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() { s.upload(t, "/hold", size, i%2 == 0, http.StatusOK) })
	}
	s.awaitHeld(t, requests)
	close(s.release)
	wg.Wait()
}

// TestMemoryOfBrokenUploadIsReturned guards against memory that is lost with its connection.
func TestMemoryOfBrokenUploadIsReturned(t *testing.T) {
	s := startBodyServer(t)
	heads := map[string]string{
		"length":       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n",
		"false length": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\n",
		"chunks":       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n",
		"two lengths":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\nContent-Length: 300001\r\n\r\n",
		"too large":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048577\r\n\r\n" + strings.Repeat("x", bodyLimit),
	}
	for name, head := range heads {
		for range 4 {
			c, err := net.Dial("tcp", s.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			// An error of the write shows that the server has ended the connection.
			_, _ = io.WriteString(c, head+strings.Repeat("x", 500<<10))
			c.Close()
		}
		const soon = 800 * time.Millisecond
		if took := s.upload(t, "/", bodyLimit, false, http.StatusOK); took > soon {
			t.Errorf("%s: the next request took %v", name, took)
		}
	}
}

// TestKeptConnectionTakesMemoryAnew guards against a request whose memory is counted with that
// of the one before, or not at all.
func TestKeptConnectionTakesMemoryAnew(t *testing.T) {
	s := startBodyServer(t)
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, size := range []int{bodyLimit, 10, bodyLimit, 100 << 10, bodyLimit} {
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\ncontent-length:  %d \r\n\r\n%s", size, strings.Repeat("x", size))
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(res.Body)
		if err != nil || string(b) != fmt.Sprint(size, nil) {
			t.Errorf("the handler got %q, error %v; want %d bytes", b, err, size)
		}
	}
	s.upload(t, "/", bodyLimit, false, http.StatusOK)
}
