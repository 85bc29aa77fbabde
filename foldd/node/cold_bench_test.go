package node

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
)

// benchNode returns a node that knows 66 other VMs and 57 engines of a service, the first 19 of
// them cold for the given time.
func benchNode(b *testing.B, cold time.Duration) *Node {
	n := coldNode(b)
	for i := range 66 {
		n.ReceivePeer(member.Peer{ID: fmt.Sprint("vm", i), Domain: "a", Epoch: uint64(1e9 + i), ServesCallers: true})
	}
	for i := range 57 {
		s := member.Backend{ID: fmt.Sprint("e", i), Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1)), Kind: spec.KindPlain, Service: "models", Epoch: 1, Seq: 1}
		if i < 19 {
			s.ColdFor = cold
		}
		n.ReceiveAnnouncement(s)
	}
	return n
}

// BenchmarkPermit measures what an issuer does for a permit, without the call itself.
func BenchmarkPermit(b *testing.B) {
	n := benchNode(b, time.Hour)
	for b.Loop() {
		n.HandlePermit("models", limit.Request{From: "vm1", Entry: limit.Entry{Server: limit.Server{ID: "e1", Epoch: 1}, Ended: true}})
	}
}

// BenchmarkWithheld measures the choice of withheld servers for a request while servers are cold.
func BenchmarkWithheld(b *testing.B) {
	n := benchNode(b, time.Hour)
	for b.Loop() {
		n.withheldServers(time.Now(), "models", "", true)
	}
}
