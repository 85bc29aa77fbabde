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

// nested is a request that stands where the body of another one may be.
const nested = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// uncertainRequests are requests whose end readers disagree on. %s is the nested request, and
// %d its length.
var uncertainRequests = map[string]string{
	"two lengths, the first one short": "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: %[2]d\r\n\r\n%[1]s",
	"two lengths, the last one short":  "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: %[2]d\r\nContent-Length: 0\r\n\r\n%[1]s",
	"the same length twice":            "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: %[2]d\r\nContent-Length: %[2]d\r\n\r\n%[1]s",
	"a list of lengths":                "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 0, %[2]d\r\n\r\n%[1]s",
	"a length before chunks":           "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: %[2]d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%[1]s",
	"a length after chunks":            "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: %[2]d\r\n\r\n0\r\n\r\n%[1]s",
	"chunked twice":                    "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%[1]s",
	"chunked is not the last encoding": "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n%[1]s",
	"another encoding":                 "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n%[1]s",
	"chunks in HTTP/1.0":               "POST /outer HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%[1]s",
	"a negative length":                "POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n%[1]s",
	"a chunk size that overflows":      "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000000\r\n%[1]s",
	"a negative chunk size":            "POST /outer HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n%[1]s",
}

// TestRequestOfUncertainEndIsNotPassedOn guards against a request that runs although it is part
// of another one, and against one whose body another reader takes for requests.
func TestRequestOfUncertainEndIsNotPassedOn(t *testing.T) {
	var mu sync.Mutex
	var handled []string
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := serve.New(serve.Config{
		// Processes of other tests send to addresses of 127.0.0.1 that they used before.
		Addr: netip.MustParseAddrPort("127.0.0.9:0"), MaxBody: 1 << 20, Log: log,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			handled = append(handled, r.URL.Path)
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	for name, format := range uncertainRequests {
		t.Run(name, func(t *testing.T) {
			status, body, err := sendRaw(t, s.Addr(), fmt.Sprintf(format, nested, len(nested)))
			if err == nil {
				checkRejection(t, status, body)
			}
			mu.Lock()
			defer mu.Unlock()
			if len(handled) != 0 {
				t.Errorf("handled %q, want nothing", handled)
			}
			handled = nil
		})
	}
	certain := strings.Replace(nested, "Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nbody", 1)
	if status, _, err := sendRaw(t, s.Addr(), certain); err != nil || status != http.StatusOK || len(handled) != 1 {
		t.Errorf("request of certain end: status %d, error %v, handled %q", status, err, handled)
	}
}

// checkRejection checks that a response has status 400 and a JSON error.
func checkRejection(t *testing.T, status int, body []byte) {
	t.Helper()
	if status != http.StatusBadRequest {
		t.Errorf("status %d, want 400 or no response", status)
	}
	var got struct {
		Error struct{ Code, Message, Outcome string }
	}
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatalf("body %q: %v", body, err)
	}
	if e := got.Error; e.Code != "badRequest" || e.Message == "" || e.Outcome != "notRun" {
		t.Errorf("error %+v, want code badRequest, a message and outcome notRun", e)
	}
}

// sendRaw sends text and returns the status and the body of the first response, or an error if
// there is none. It waits for what may be read as a second request.
func sendRaw(t *testing.T, addr netip.AddrPort, text string) (int, []byte, error) {
	t.Helper()
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	// nbhttp gives no answer to what it can't parse.
	const readTimeout = 500 * time.Millisecond
	if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(c)
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusOK {
		// The connection ends.
		_, _ = io.Copy(io.Discard, reader)
	}
	return res.StatusCode, body, nil
}
