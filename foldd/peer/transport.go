package peer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"fuchsiafold.example/netio/pool"
)

const (
	// maxIdlePerVM and maxIdle bound the idle connections to one VM and to all VMs, and
	// idleTimeout the time that one stays idle. Of a failure domain of 33 VMs each meets
	// each other VM every 16 s on average.
	maxIdlePerVM = 2
	maxIdle      = 256
	idleTimeout  = time.Minute
)

// newPool returns a pool of connections to other VMs.
func newPool() *pool.Pool {
	return &pool.Pool{DialTimeout: callTimeout, IdleTimeout: idleTimeout, MaxIdle: maxIdlePerVM, MaxIdleTotal: maxIdle}
}

type addrKey struct{}

// toVM returns a context for a call of Service.client to the VM at addr.
func toVM(ctx context.Context, addr netip.AddrPort) context.Context {
	return context.WithValue(ctx, addrKey{}, addr)
}

// errNoAddr reports a call of Service.client without a context from toVM.
var errNoAddr = eris.New("call to a VM without an address")

// addressedClient sends a request to the address in its context. One generated client serves
// for all VMs by it: to create one for each call takes 11 kB and keeps no decompressors.
type addressedClient struct{ service *Service }

// Do implements connect.HTTPClient.
func (c addressedClient) Do(r *http.Request) (*http.Response, error) {
	addr, ok := r.Context().Value(addrKey{}).(netip.AddrPort)
	if !ok {
		return nil, errNoAddr
	}
	u, sent := *r.URL, *r
	u.Host = addr.String()
	sent.URL, sent.Host = &u, u.Host
	return c.service.http.Do(&sent)
}
