package pool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"fuchsiafold.example/netio/pool"
)

// manyServers is the number of backend servers of the largest measured deployment.
const manyServers = 1000

// cannedResponse is what the servers of startServers answer to each request.
const cannedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// startServers serves cannedResponse at n addresses. One listener takes the connections to
// all of them, so that the servers themselves take little memory.
func startServers(t testing.TB, n int) []netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveCanned(c)
		}
	}()
	port := uint16(l.Addr().(*net.TCPAddr).Port)
	var out []netip.AddrPort
	for i := range n {
		out = append(out, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i%250 + 1)}), port))
	}
	return out
}

func serveCanned(c net.Conn) {
	defer c.Close()
	var b [512]byte
	for {
		if _, err := c.Read(b[:]); err != nil {
			return
		}
		if _, err := io.WriteString(c, cannedResponse); err != nil {
			return
		}
	}
}

// memoryInUse returns the bytes in use by the heap and by stacks, and the number of goroutines.
func memoryInUse() (bytes int64, goroutines int) {
	// Buffers of a sync.Pool are freed by the second collection.
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse), runtime.NumGoroutine()
}

// bareConnections returns the memory in use and the goroutines while one plain connection to
// each server is open, on which a request was served.
func bareConnections(t *testing.T, servers []netip.AddrPort) (bytes int64, goroutines int) {
	t.Helper()
	conns := make([]net.Conn, 0, len(servers))
	reader := bufio.NewReader(nil)
	for _, a := range servers {
		c, err := net.Dial("tcp", a.String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		reader.Reset(c)
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	reader.Reset(nil)
	bytes, goroutines = memoryInUse()
	for _, c := range conns {
		c.Close()
	}
	return bytes, goroutines
}

// TestIdleConnectionsHoldNoBuffers guards against idle connections that hold a read buffer or a
// goroutine each: a VM has over a thousand of them where there are as many servers.
func TestIdleConnectionsHoldNoBuffers(t *testing.T) {
	servers := startServers(t, manyServers)
	bareConnections(t, servers) // What the runtime keeps after the first round is not counted.
	bare, bareGoroutines := bareConnections(t, servers)
	p := &pool.Pool{IdleTimeout: time.Hour}
	for _, a := range servers {
		res, err := p.Do(context.Background(), &pool.Request{Addr: a, Method: http.MethodGet, URI: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
	}
	held, goroutines := memoryInUse()
	perConn := (held - bare) / manyServers
	t.Logf("an idle connection takes %d bytes more than a bare one, %d goroutines more in all", perConn, goroutines-bareGoroutines)
	const most = 1 << 10
	if perConn > most {
		t.Errorf("an idle connection takes %d bytes more than a bare one, want at most %d", perConn, most)
	}
	if more := goroutines - bareGoroutines; more > manyServers/100 {
		t.Errorf("idle connections take %d goroutines, want none", more)
	}
	runtime.KeepAlive(p)
}

// TestBusyConnectionsHoldOneBuffer guards against requests in progress that take more than a read
// buffer and the head of a response each, or a goroutine.
func TestBusyConnectionsHoldOneBuffer(t *testing.T) {
	servers := startServers(t, manyServers)
	bareConnections(t, servers)
	bare, bareGoroutines := bareConnections(t, servers)
	p := &pool.Pool{}
	var open []*pool.Response
	for _, a := range servers {
		res, err := p.Do(context.Background(), &pool.Request{Addr: a, Method: http.MethodGet, URI: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, res)
	}
	held, goroutines := memoryInUse()
	perConn := (held - bare) / manyServers
	t.Logf("a connection in use takes %d bytes more than a bare one, %d goroutines more in all", perConn, goroutines-bareGoroutines)
	const most = 8 << 10
	if perConn > most {
		t.Errorf("a connection in use takes %d bytes more than a bare one, want at most %d", perConn, most)
	}
	if more := goroutines - bareGoroutines; more > manyServers/100 {
		t.Errorf("connections in use take %d goroutines, want none", more)
	}
	for _, res := range open {
		res.Body.Close()
	}
}

// TestIdleConnectionsAreBounded guards against idle connections whose number grows with that of
// the servers. Those that were idle the longest are closed first.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const most = 50
	servers := startServers(t, 2*most)
	dials := 0
	p := &pool.Pool{IdleTimeout: time.Hour, MaxIdleTotal: most, OnDial: func(context.Context) { dials++ }}
	request := func(a netip.AddrPort) {
		res, err := p.Do(context.Background(), &pool.Request{Addr: a, Method: http.MethodGet, URI: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
		if idle := p.Idle(); idle > most {
			t.Fatalf("%d idle connections, want at most %d", idle, most)
		}
	}
	for _, a := range servers {
		request(a)
		request(servers[0])
	}
	if want := len(servers); dials != want {
		t.Errorf("%d connections for %d servers: one that was used all the time was closed", dials, want)
	}
	for _, a := range servers[len(servers)-most+1:] {
		request(a)
	}
	if want := len(servers); dials != want {
		t.Errorf("%d connections, want %d: one of the last used ones was closed", dials, want)
	}
	p.Sweep(time.Now().Add(2 * time.Hour))
	if idle := p.Idle(); idle != 0 {
		t.Errorf("%d connections are idle after their time, want none", idle)
	}
}

// TestUsage checks that all bytes of an exchange are counted, and no others.
func TestUsage(t *testing.T) {
	servers := startServers(t, 1)
	var got []pool.Usage
	p := &pool.Pool{OnExchange: func(_ context.Context, u pool.Usage) { got = append(got, u) }}
	for range 2 {
		res, err := p.Do(context.Background(), &pool.Request{Addr: servers[0], Method: http.MethodGet, URI: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
	}
	want := pool.Usage{Sent: int64(len("GET / HTTP/1.1\r\nHost: h\r\n\r\n")), Received: int64(len(cannedResponse))}
	if len(got) != 2 || got[0] != want || got[1] != want {
		t.Errorf("counted %+v, want %+v twice", got, want)
	}
}
