package peer

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"testing"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/netio/serve"
	"fuchsiafold.example/wire"
)

// manyPeers is the number of VMs of the largest measured deployment.
const manyPeers = 100

// peerServerVariable is set in the environment of a process that runs servePeers.
const peerServerVariable = "FOLD_TEST_PEER_SERVER"

// TestServePeers is the process of startPeers. It serves the calls of VMs until its standard
// input ends.
func TestServePeers(t *testing.T) {
	if os.Getenv(peerServerVariable) == "" {
		t.Skip("is run by other tests")
	}
	other := node.New(&conf.Settings{ID: "other", Domain: "d"}, logrus.New())
	t.Cleanup(other.Clock.Stop)
	s := New(other)
	_, h := wire.NewPeerServiceHandler(s, s.HandlerOptions())
	server, err := serve.New(serve.Config{Addr: netip.MustParseAddrPort("0.0.0.0:0"), Handler: h, MaxBody: MaxMessage, Log: logrus.New()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	fmt.Println(server.Addr().Port())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startPeers serves the calls of VMs at n addresses, in a process of its own, whose memory is
// not measured. One node stands for all VMs.
func startPeers(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run", "^TestServePeers$")
	cmd.Env = append(os.Environ(), peerServerVariable+"=1")
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stdin.Close()
		_ = cmd.Wait()
	})
	var port uint16
	if _, err := fmt.Fscan(stdout, &port); err != nil {
		t.Fatal(err)
	}
	var out []netip.AddrPort
	for i := range n {
		out = append(out, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i + 1)}), port))
	}
	return out
}

// memoryInUse returns the bytes in use by the heap and by stacks, and the number of goroutines.
func memoryInUse() (bytes int64, goroutines int) {
	// Buffers of a sync.Pool are freed by the second collection.
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse), runtime.NumGoroutine()
}

// TestIdlePeerConnectionsHoldNoBuffers guards against connections to other VMs that hold buffers
// and goroutines while they are idle: a VM has one or two to each other VM.
func TestIdlePeerConnectionsHoldNoBuffers(t *testing.T) {
	n := node.New(&conf.Settings{ID: "vm", Domain: "d"}, logrus.New())
	t.Cleanup(n.Clock.Stop)
	s := New(n)
	peers := startPeers(t, manyPeers)
	entry := limit.Entry{Server: limit.Server{ID: "b", Epoch: 1}, Version: 1, Rate: 5}
	call := func(a netip.AddrPort) {
		if _, err := s.requestPermit(context.Background(), member.Peer{ID: "other", Addr: a}, "s", limit.Request{From: "vm", Entry: entry}); err != nil {
			t.Fatal(err)
		}
	}
	// What calls take whatever the number of connections is not counted.
	for range manyPeers {
		call(peers[0])
	}
	before, goroutinesBefore := memoryInUse()
	for _, a := range peers {
		call(a)
	}
	held, goroutines := memoryInUse()
	perConn := (held - before) / manyPeers
	t.Logf("an idle connection takes %d bytes, all of them %d goroutines", perConn, goroutines-goroutinesBefore)
	const most = 2 << 10
	if perConn > most {
		t.Errorf("an idle connection takes %d bytes, want at most %d", perConn, most)
	}
	if more := goroutines - goroutinesBefore; more > manyPeers/10 {
		t.Errorf("idle connections take %d goroutines, want none", more)
	}
	runtime.KeepAlive(s)
}
