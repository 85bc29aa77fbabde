package pool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"fuchsiafold.example/netio/pool"
)

// cutResponses are complete responses in each framing that shows their end.
var cutResponses = map[string]string{
	"length":          "HTTP/1.1 200 OK\r\nFold-Request-Id: 1\r\nContent-Type: text/plain\r\nContent-Length: 12\r\nKeep-Alive: timeout=5\r\n\r\nhello, world",
	"length first":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nFold-Request-Id: 1\r\n\r\nhello, world",
	"chunked":         "HTTP/1.1 200 OK\r\nFold-Request-Id: 1\r\nTransfer-Encoding: chunked\r\nContent-Type: text/plain\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
	"trailer":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Fold-Leaving\r\n\r\n5\r\nhello\r\n0\r\nFold-Leaving: 1\r\n\r\n",
	"informational":   "HTTP/1.1 103 Early Hints\r\nFold-Request-Id: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"no content":      "HTTP/1.1 204 No Content\r\nFold-Request-Id: 1\r\n\r\n",
	"line feeds only": "HTTP/1.1 200 OK\nFold-Request-Id: 1\nContent-Length: 5\n\nhello",
}

// TestCutResponseIsNeverComplete guards against a response that ends within its head or its
// body and looks complete, whatever the byte at which its server stops and closes.
func TestCutResponseIsNeverComplete(t *testing.T) {
	for name, text := range cutResponses {
		t.Run(name, func(t *testing.T) {
			var p pool.Pool
			for cut := range len(text) {
				status, body, err := exchangeOnce(t, &p, text[:cut])
				if err == nil {
					t.Errorf("cut after %d bytes, %q: status %d, body %q, no error", cut, text[max(0, cut-20):cut], status, body)
				}
			}
			if _, _, err := exchangeOnce(t, &p, text); err != nil {
				t.Errorf("whole response: %v", err)
			}
		})
	}
}

// exchangeOnce sends a request to a server that answers with text and closes.
func exchangeOnce(t *testing.T, p *pool.Pool, text string) (status int, body string, err error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text)
		}
	}()
	res, err := p.Do(context.Background(), &pool.Request{Addr: netip.MustParseAddrPort(l.Addr().String()), Method: http.MethodPost, URI: "/x", Host: "h", Body: []byte("b")})
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.Status, string(b), err
}
