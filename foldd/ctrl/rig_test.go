package ctrl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus/hooks/test"

	"fuchsiafold.example/foldd/peer"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/redial"
	"fuchsiafold.example/wire"
)

// network connects the VMs of a test in memory, so that tests run in virtual time.
// Its connections can go silent: they stay open and carry nothing more, while new ones
// work.
type network struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	open      []*memConn
	// hanging holds the VMs that do not respond.
	hanging map[string]bool
	// minority holds the VMs that are cut off from all others, but not from each other.
	minority map[string]bool
	// uplinks holds the VMs whose links bound what they send.
	uplinks map[string]*uplink
	// shares holds the VMs that have a part of a processor only.
	shares map[string]share
}

// share is a part of a processor: of each period, the VM stands still for a time.
type share struct{ period, still time.Duration }

// until returns for how long a VM with the share still stands still.
func (s share) until(now time.Time) time.Duration {
	if s.period == 0 {
		return 0
	}
	return max(0, s.still-time.Duration(now.UnixNano())%s.period)
}

// hold makes a replica stand still until it is stopped.
func (s share) hold(server *Server) {
	stand := func(now time.Time) { time.Sleep(s.until(now)) }
	for server.do(context.Background(), stand) == nil {
		time.Sleep(s.period - time.Duration(time.Now().UnixNano())%s.period)
	}
}

// limitProcessor makes the connections of a VM wait while it stands still.
func (n *network) limitProcessor(addr string, s share) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.shares == nil {
		n.shares = map[string]share{}
	}
	n.shares[addr] = s
}

// awaitProcessor waits while a VM stands still.
func (n *network) awaitProcessor(addr string) {
	n.mu.Lock()
	s := n.shares[addr]
	n.mu.Unlock()
	if d := s.until(time.Now()); d > 0 {
		time.Sleep(d)
	}
}

// uplink is a VM's link, over which it sends one thing after the other.
type uplink struct {
	// rate is in bytes per second.
	rate int
	// free is when all that was sent so far is through.
	free time.Time
}

// limitUplink bounds what a VM sends from now on, in bytes per second.
func (n *network) limitUplink(addr string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.uplinks == nil {
		n.uplinks = map[string]*uplink{}
	}
	n.uplinks[addr] = &uplink{rate: rate}
}

// reserve returns when a number of bytes that a VM sends now are through.
func (n *network) reserve(addr string, size int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	u := n.uplinks[addr]
	if u == nil {
		return now
	}
	if u.free.Before(now) {
		u.free = now
	}
	u.free = u.free.Add(time.Duration(size) * time.Second / time.Duration(u.rate))
	return u.free
}

// dialTimeout is that of the VMs' dialers.
const dialTimeout = time.Second

// dialFrom opens connections of the VM at caller.
func (n *network) dialFrom(caller string) func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		return n.dial(ctx, caller, addr.String())
	}
}

// dial opens a connection to the listener at an address.
func (n *network) dial(ctx context.Context, caller, addr string) (net.Conn, error) {
	n.mu.Lock()
	l, hanging := n.listeners[addr], n.hanging[addr] || n.hanging[caller] || n.minority[addr] != n.minority[caller]
	n.mu.Unlock()
	if hanging {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, fmt.Errorf("dial %s: %w", addr, errNoListener)
	}
	a, b := net.Pipe()
	client, server := newMemConn(n, a, caller, addr, caller), newMemConn(n, b, caller, addr, addr)
	n.mu.Lock()
	n.open = append(n.open, client, server)
	n.mu.Unlock()
	select {
	case l.accept <- server:
		return client, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: %w", addr, errNoListener)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

var errNoListener = errors.New("connection refused")

// silence makes the open connections of the VMs silent for good.
func (n *network) silence(addrs ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.open {
		if slices.Contains(addrs, c.caller) || slices.Contains(addrs, c.server) {
			c.silenceOnce.Do(func() { close(c.silent) })
		}
	}
}

// hang makes a VM unresponsive for good: its open connections go silent, and no other
// one to or from it opens.
func (n *network) hang(addr string) {
	n.silence(addr)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hanging == nil {
		n.hanging = map[string]bool{}
	}
	n.hanging[addr] = true
}

// cut separates the VMs at addrs from all others: open connections between the two sides go
// silent, and no other one opens.
func (n *network) cut(addrs ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.minority = map[string]bool{}
	for _, a := range addrs {
		n.minority[a] = true
	}
	for _, c := range n.open {
		if n.minority[c.caller] != n.minority[c.server] {
			c.silenceOnce.Do(func() { close(c.silent) })
		}
	}
}

func (n *network) listen(addr string) *memListener {
	l := &memListener{accept: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*memListener{}
	}
	n.listeners[addr] = l
	return l
}

type memListener struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return &net.TCPAddr{} }

// memConn is one end of a connection. Once silent is closed, reads wait until the
// connection is closed, and writes are discarded.
type memConn struct {
	net.Conn
	network *network
	// caller and server are the addresses of the VMs at its ends, and owner is that of this
	// end.
	caller, server, owner string
	silent                chan struct{}
	silenceOnce           sync.Once
	closed                chan struct{}
	closeOnce             sync.Once
}

func newMemConn(n *network, c net.Conn, caller, server, owner string) *memConn {
	return &memConn{Conn: c, network: n, caller: caller, server: server, owner: owner, silent: make(chan struct{}), closed: make(chan struct{})}
}

func (c *memConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.awaitProcessor(c.owner)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *memConn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
	}
	c.network.awaitProcessor(c.owner)
	select {
	case <-time.After(time.Until(c.network.reserve(c.owner, len(b)))):
		return c.Conn.Write(b)
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close closes both ends. The other end doesn't notice it if the connection is silent.
func (c *memConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// groupRig is a control group of several VMs on a network.
type groupRig struct {
	network network
	vms     []*rigVM
}

// rigVM is a VM with its client of the control group.
type rigVM struct {
	addr netip.AddrPort
	// lines holds what the control replica has logged.
	lines *test.Hook
	// conf is the configuration of server, and web serves its calls.
	conf ServerConfig
	web  *http.Server
	// server is nil on an entry VM, and while the VM is down.
	server *Server
	client *Client
	// share is the VM's part of a processor, all of one if it is zero.
	share share
	// restartAt is when a replica that has stopped by itself is started again.
	restartAt time.Time
	// startErr is the error of its last start.
	startErr error
	// checked counts the documents that the VM has checked, each for checkTime, a
	// time.Duration.
	checked, checkTime atomic.Int64
}

// vmAddrs returns the addresses of n control VMs.
func vmAddrs(n int) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range n {
		out = append(out, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7200))
	}
	return out
}

// newGroupRig starts a group of n control VMs and waits until it has a leader. It must
// run in a synctest bubble.
func newGroupRig(t *testing.T, n int) *groupRig {
	t.Helper()
	g := &groupRig{}
	addrs := vmAddrs(n)
	for _, addr := range addrs {
		g.addControlVM(t, addr, addrs)
	}
	g.apply(t, 1)
	return g
}

// addControlVM starts a control VM of the group that the VMs at seeds form.
func (g *groupRig) addControlVM(t *testing.T, addr netip.AddrPort, seeds []netip.AddrPort) {
	t.Helper()
	g.start(t, g.newControlVM(t, addr, seeds))
}

// newControlVM adds a control VM that is down.
func (g *groupRig) newControlVM(t *testing.T, addr netip.AddrPort, seeds []netip.AddrPort) *rigVM {
	t.Helper()
	log, lines := test.NewNullLogger()
	options := connect.WithClientOptions()
	client := g.httpClient(t, addr)
	peers := func() []netip.AddrPort { return seeds }
	vm := &rigVM{addr: addr, lines: lines, client: NewClient(client, options, peers)}
	check := func([]byte) error {
		vm.checked.Add(1)
		time.Sleep(time.Duration(vm.checkTime.Load()))
		return nil
	}
	vm.conf = ServerConfig{
		VM: fmt.Sprint("vm", len(g.vms)+1), Addr: addr, DataFolder: filepath.Join(t.TempDir(), "data"), InitialMembers: seeds, Peers: peers,
		HTTP: client, Options: options, Log: log, Check: check,
	}
	g.vms = append(g.vms, vm)
	t.Cleanup(func() { g.stop(vm) })
	return vm
}

// start starts the control replica of a VM that is down.
func (g *groupRig) start(t *testing.T, vm *rigVM) {
	t.Helper()
	if err := g.tryStart(vm); err != nil {
		t.Fatal(err)
	}
}

// tryStart is like start, and returns the error of a VM that can't start.
func (g *groupRig) tryStart(vm *rigVM) error {
	server, err := New(vm.conf)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(wire.NewControlServiceHandler(server.Handler(), connect.WithReadMaxBytes(peer.MaxMessage)))
	vm.web = &http.Server{Handler: mux}
	go vm.web.Serve(g.network.listen(vm.addr.String()))
	vm.server = server
	vm.client.LocalLeader = server.Leader
	if vm.share.period > 0 {
		go vm.share.hold(server)
	}
	return nil
}

// stop ends the control replica of a VM without warning, if it runs. Its disk stays.
func (g *groupRig) stop(vm *rigVM) {
	if vm.server == nil {
		return
	}
	vm.web.Close()
	vm.server.Close()
	vm.server = nil
}

// loseDisk makes a VM that is down start with an empty disk, on which it joins the group.
func (vm *rigVM) loseDisk(t *testing.T) {
	t.Helper()
	if err := os.RemoveAll(vm.conf.DataFolder); err != nil {
		t.Fatal(err)
	}
	vm.conf.InitialMembers = nil
}

// httpClient returns a client whose connections are opened by the VM at addr.
func (g *groupRig) httpClient(t *testing.T, addr netip.AddrPort) *http.Client {
	p := &pool.Pool{Dial: g.network.dialFrom(addr.String()), MaxIdle: 2, IdleTimeout: time.Minute}
	t.Cleanup(p.CloseAllIdle)
	return &http.Client{Transport: &redial.Transport{Pool: p}}
}

// addEntryVMs adds n VMs without a control replica.
func (g *groupRig) addEntryVMs(t *testing.T, n int) {
	t.Helper()
	var control []netip.AddrPort
	for _, v := range g.vms {
		control = append(control, v.addr)
	}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)}), 7200)
		client := NewClient(g.httpClient(t, addr), connect.WithClientOptions(), func() []netip.AddrPort { return control })
		g.vms = append(g.vms, &rigVM{addr: addr, client: client})
	}
}

// addrs returns the addresses of all VMs.
func (g *groupRig) addrs() []string {
	var out []string
	for _, v := range g.vms {
		out = append(out, v.addr.String())
	}
	return out
}

// applyTimeout is how long an operator waits for one VM.
const applyTimeout = 900 * time.Millisecond

// apply sends a version of the configuration to one VM after the other until one
// confirms it, and returns how long that took.
func (g *groupRig) apply(t *testing.T, version uint64) time.Duration {
	t.Helper()
	return g.applyAtAnyOf(t, g.vms, version)
}

// applyAtAnyOf is like apply for some of the VMs.
func (g *groupRig) applyAtAnyOf(t *testing.T, vms []*rigVM, version uint64) time.Duration {
	t.Helper()
	begun := time.Now()
	for i := 0; time.Since(begun) < time.Minute; i++ {
		ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
		res, err := vms[i%len(vms)].client.Apply(ctx, &wire.ApplyRequest{Version: version, Document: fmt.Append(nil, version)})
		cancel()
		if err == nil && res.GetRevision() >= version {
			return time.Since(begun)
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("version %d was not confirmed within a minute", version)
	return 0
}

// applyAtOnce sends versions from first on to all VMs at the same moment, several to
// each, so that the VMs open several connections to each other.
func (g *groupRig) applyAtOnce(t *testing.T, first uint64) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range 4 * len(g.vms) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
			defer cancel()
			version := first + uint64(i)
			req := &wire.ApplyRequest{Version: version, Document: fmt.Append(nil, version)}
			if _, err := g.vms[i%len(g.vms)].client.Apply(ctx, req); err != nil {
				t.Errorf("version %d: %v", version, err)
			}
		})
	}
	wg.Wait()
}

// serverCloseTime is longer than net/http's server keeps a connection whose request it has
// not read to its end. Virtual time stands still once a test has returned.
const serverCloseTime = time.Second

// inBubble runs test in virtual time, and lets the servers close their connections after it.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(serverCloseTime) })
		test(t)
	})
}
