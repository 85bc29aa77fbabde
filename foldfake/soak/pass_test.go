package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/origin"
)

// TestPassedRequestIsNotBookedToItsFirstVM guards against a request that is booked to the VM
// that its caller chose, though another VM to which that one has passed it on has sent it.
func TestPassedRequestIsNotBookedToItsFirstVM(t *testing.T) {
	const told, other = 3, 1
	ago := time.Now().Add(-time.Second)
	for _, tt := range []struct {
		what        string
		chosen, via int
		want        []Promise
	}{
		{"the VM that was told", told, told, []Promise{LeftAlone}},
		{"passed on to a VM that was not told", told, other, nil},
		{"passed on to the VM that was told", other, told, []Promise{LeftAlone}},
		{"a VM that was not told", other, other, nil},
	} {
		got := broken(func(f *findings) {
			s := &servers{findings: f, calm: func(int, time.Time) bool { return true }}
			x := &instance{service: serviceWrites, origin: &origin.Server{ID: "s"}, limited: limited{meter: &meter.Meter{}}}
			x.statements = statements{since: map[int]time.Time{told: ago}, count: map[int]int{}}
			w := &world{servers: s}
			backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { s.behave(x, r) }))
			defer backend.Close()
			p, err := NewProxy(netip.MustParseAddrPort(backend.Listener.Addr().String()))
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			w.watchPasses(tt.via, p)
			for n := range awayMost + 1 {
				header := http.Header{headerRequest: {fmt.Sprintf("v%d-write-%d", tt.chosen, n)}}
				if tt.via != tt.chosen {
					header.Set("Fold-Peer-Vm", fmt.Sprintf("vm%d", tt.chosen+1))
				}
				sendThrough(t, p, header)
			}
		})
		expect(t, tt.what, got, tt.want...)
	}
}

// sendThrough sends a request through a proxy and waits for the response.
func sendThrough(t *testing.T, p *Proxy, header http.Header) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+p.Addr().String(), strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header = header
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
}

// TestPassReader reads what VMs send each other, in pieces of any size.
func TestPassReader(t *testing.T) {
	const (
		passed = "POST /write/x HTTP/1.1\r\nHost: h\r\nFold-Peer-Sent: 0\r\nFold-Peer-Vm: vm2\r\nFold-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody"
		call   = "POST /peer HTTP/1.1\r\nHost: h\r\nFold-Request-Id: call\r\nContent-Length: 2\r\n\r\n\r\n"
	)
	text := call + fmt.Sprintf(passed, "v1-write-1") + call + fmt.Sprintf(passed, "v1-draft-2") + fmt.Sprintf(passed, "v0-write-3")
	want := []string{"v1-write-1", "v1-draft-2", "v0-write-3"}
	for size := 1; size <= len(text); size++ {
		var r passReader
		var got []string
		for piece := range slices.Chunk([]byte(text), size) {
			got = append(got, r.read(piece)...)
		}
		if !slices.Equal(got, want) {
			t.Errorf("pieces of %d bytes: got %q, want %q", size, got, want)
		}
	}
}

// TestSaidLeavingOfPassedRequests sends requests to a server that says that it is leaving. VM
// 0 passes the first one on to VM 1.
func TestSaidLeavingOfPassedRequests(t *testing.T) {
	for _, tt := range []struct {
		what  string
		first origin.Behaviour
		// vm sends the second request for itself.
		vm        int
		disturbed int
		want      []Promise
	}{
		{what: "the VM that has sent it", vm: 1, disturbed: -1, want: []Promise{SaidLeaving}},
		{what: "the VM that has passed it on", vm: 0, disturbed: -1, want: []Promise{SaidLeaving}},
		{what: "the VM that has passed it on, the other one disturbed", vm: 0, disturbed: 1},
		{what: "the VM that has passed it on, which got no whole answer", vm: 0, disturbed: -1, first: origin.Behaviour{TruncateAt: 1}},
		{what: "another VM", vm: 2, disturbed: -1},
	} {
		got := broken(func(f *findings) {
			var s statements
			s.sayLeaving()
			calm := func(vm int, _ time.Time) bool { return vm != tt.disturbed }
			start := time.Now()
			s.arrive(start, 1, 0, true, &tt.first, calm)
			if p := s.arrive(start.Add(2*toldTime), tt.vm, tt.vm, true, &origin.Behaviour{}, calm); p != "" {
				f.add(p, "", "")
			}
		})
		expect(t, tt.what, got, tt.want...)
	}
}
