package pool

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
)

// Transport makes the calls of an http.Client over a Pool. In contrast to http.Transport, it
// checks responses as the Pool does, sends no request again, and has no goroutines and no
// buffers for an idle connection. The host of a URL must be an address and a port. If Close is
// set in a request, it gets a connection of its own.
type Transport struct {
	Pool *Pool
	// Framed is as in Request.
	Framed bool
	// Confirm makes a response that ends with its connection complete only if its server's
	// process still runs, as Pool.Confirm checks: the connections of a process that has ended
	// are closed, too.
	Confirm bool
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, _, err := t.Send(r, nil)
	return res, err
}

// Send is RoundTrip with admit as in Request, and with the headers of the informational
// responses before the response.
func (t Transport) Send(r *http.Request, admit func(context.Context) error) (*http.Response, []http.Header, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, nil, fmt.Errorf("read request: %w", err)
	}
	addr, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, nil, fmt.Errorf("address of a server: %w", err)
	}
	out := &http.Response{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r}
	res, err := t.Pool.Do(r.Context(), &Request{
		Addr: addr, Method: r.Method, URI: r.URL.RequestURI(), Host: r.URL.Host, Header: r.Header, Body: body, Close: r.Close, Framed: t.Framed,
		Admit: admit, OnTrailer: func(h http.Header) { out.Trailer = h },
	})
	if err != nil {
		return nil, nil, err
	}
	if t.Confirm && res.Framing == CloseDelimited {
		res.Body = &confirmedBody{ReadCloser: res.Body, confirm: func() error {
			_, err := t.Pool.Confirm(r.Context(), addr)
			return err
		}}
	}
	out.StatusCode, out.Status = res.Status, fmt.Sprint(res.Status, " ", http.StatusText(res.Status))
	out.Header, out.Body, out.ContentLength = res.Header, res.Body, res.Length
	if res.Framing == Chunked {
		out.TransferEncoding = []string{"chunked"}
	}
	if res.Length == 0 {
		// Clients need not read an empty body; its end makes the connection idle.
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, nil, fmt.Errorf("read empty response: %w", err)
		}
		out.Body = http.NoBody
	}
	return out, res.Informational, nil
}

// confirmedBody is the body of a response that is complete only if confirm returns no error.
type confirmedBody struct {
	io.ReadCloser
	confirm func() error
}

// Read implements io.Reader.
func (b *confirmedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if cause := b.confirm(); cause != nil {
		return n, fmt.Errorf("the connection ended and the server can't be reached: %w: %w", io.ErrUnexpectedEOF, cause)
	}
	return n, io.EOF
}

// readBody reads the body of a request and closes it.
func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer r.Body.Close()
	var b bytes.Buffer
	if r.ContentLength > 0 {
		b.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	if _, err := b.ReadFrom(r.Body); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
