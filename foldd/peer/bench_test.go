package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/sched"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/strict"
	"fuchsiafold.example/fold/ticket"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/netio/serve"
	"fuchsiafold.example/wire"
)

func benchBackend(i int, brief bool) *wire.Backend {
	return ToBackend(member.BackendUpdate{Brief: brief, Age: 300 * time.Millisecond, Backend: member.Backend{
		ID: fmt.Sprintf("engine-%04d", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}), 9000),
		Kind: "engine", Service: "advice-models", Model: "advice-7b", Version: "2026-11", Domain: "hobart-a",
		MemoryTokens: 400_000, Epoch: uint64(time.Now().UnixNano()), Seq: 100_000,
		Load: member.Load{Running: 30, MemoryUsed: 300_000, Preemptions: 12, StepTime: 25 * time.Millisecond},
	}})
}

func benchPeer(i int) *wire.Peer {
	return ToPeer(member.Peer{
		ID: fmt.Sprintf("hobart-a-%02d", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 8082),
		Domain: "hobart-a", Region: "tas-south", Epoch: uint64(time.Now().UnixNano()), Revision: 100_000,
	})
}

// BenchmarkExchange measures encoding and decoding of an exchange request, by the
// number of engines with an update, and reports its size.
func BenchmarkExchange(b *testing.B) {
	for _, engines := range []int{0, 10, 50, 130} {
		for _, brief := range []bool{false, true} {
			benchExchange(b, engines, brief)
		}
	}
}

func benchExchange(b *testing.B, engines int, brief bool) {
	b.Run(fmt.Sprintf("engines=%d/brief=%t", engines, brief), func(b *testing.B) {
		req := &wire.ExchangeRequest{From: benchPeer(0)}
		for i := range engines {
			req.Backends = append(req.Backends, benchBackend(i, brief))
		}
		for i := range 8 {
			req.Known = append(req.Known, benchPeer(i))
		}
		var size int
		for b.Loop() {
			data, err := proto.Marshal(req)
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
			if err := proto.Unmarshal(data, new(wire.ExchangeRequest)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(size), "B/message")
	})
}

// BenchmarkTickets measures encoding and decoding of a batch of tickets, each with
// its progress and its end, and reports its size.
func BenchmarkTickets(b *testing.B) {
	now := time.Now()
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("tickets=", n), func(b *testing.B) {
			batch := &ticket.Batch{From: "hobart-a-01", Epoch: 1}
			for i := range uint64(n) {
				batch.Submits = append(batch.Submits, &sched.Request{
					ID: 1_000_000 + i, Workspace: "workspace-0123", Class: "summary", Model: "advice-7b", PromptTokens: 900, Prefix: "0123456789abcdef",
					PrefixTokens: 64, Arrived: now, Policy: "forecast", Target: sched.Target{FirstToken: 630 * time.Millisecond, TokenGap: 29 * time.Millisecond},
				})
				batch.Progress = append(batch.Progress, ticket.Progress{ID: 1_000_000 + i, Generated: 300})
				batch.Finishes = append(batch.Finishes, ticket.Finish{ID: 1_000_000 + i, Generated: 420})
			}
			var size int
			for b.Loop() {
				data, err := proto.Marshal(toTickets(now, batch))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				m := new(wire.TicketsRequest)
				if err := proto.Unmarshal(data, m); err != nil {
					b.Fatal(err)
				}
				fromTickets(now, m)
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}

// BenchmarkLeases measures the digest of the leases of a number of backend servers:
// encoding, decoding and renewing. It reports the size of the digest.
func BenchmarkLeases(b *testing.B) {
	for _, servers := range []int{10, 130, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { benchLeases(b, servers) })
	}
}

func benchLeases(b *testing.B, servers int) {
	now := time.Now()
	var from, to member.Table
	for i := range servers {
		u, ok := FromBackend(benchBackend(i, false))
		if !ok {
			b.Fatal("invalid server")
		}
		u.Kind = spec.KindPlain
		from.Merge(now, u, "")
		to.Merge(now, u, "")
	}
	var size int
	for b.Loop() {
		l := from.Leases(now)
		data, err := proto.Marshal(toLeases(&l))
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		var received wire.Leases
		if err := proto.Unmarshal(data, &received); err != nil {
			b.Fatal(err)
		}
		l = fromLeases(&received)
		to.RenewLeases(now, &l)
	}
	b.ReportMetric(float64(size), "B/digest")
}

// BenchmarkPermit measures a request for a permit to another VM, over loopback and on both
// sides.
func BenchmarkPermit(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	newService := func(id string) *Service {
		n := node.New(&conf.Settings{ID: id}, log)
		b.Cleanup(n.Clock.Stop)
		return New(n)
	}
	mux := http.NewServeMux()
	mux.Handle(wire.NewPeerServiceHandler(newService("issuer")))
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	to := member.Peer{ID: "issuer", Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
	client := newService("vm")
	q := limit.Request{From: "vm", Entry: limit.Entry{Server: limit.Server{ID: "backend-0123", Epoch: 1}, Version: 1, Rate: 5}}
	for b.Loop() {
		if _, err := client.requestPermit(context.Background(), to, "app", q); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCall measures a call to another VM over loopback with both sides as foldd runs them,
// with a short reply and with a long one, which is compressed.
func BenchmarkCall(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	newService := func(id string) *Service {
		n := node.New(&conf.Settings{ID: id, Domain: "hobart-a", Limits: conf.Limits{BackendLease: strict.Duration(time.Hour)}}, log)
		b.Cleanup(n.Clock.Stop)
		return New(n)
	}
	for _, servers := range []int{0, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			other, vm := newService("other"), newService("vm")
			for i := range servers {
				u, ok := FromBackend(benchBackend(i, false))
				if !ok {
					b.Fatal("invalid server")
				}
				other.node.ReceiveAnnouncement(u.Backend)
			}
			mux := http.NewServeMux()
			mux.Handle(wire.NewPeerServiceHandler(other, other.HandlerOptions()))
			server, err := serve.New(serve.Config{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Handler: mux, MaxBody: MaxMessage, Log: log})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { server.Close() })
			for b.Loop() {
				// A VM that has not applied anything yet gets the whole table.
				vm.node.RecordExchange("other", &node.Exchange{}, 0)
				if _, _, _, err := vm.callExchange(context.Background(), server.Addr(), periodic, nil, false); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSteadyExchange measures a periodic exchange of two VMs that know the same servers,
// of which each has announced itself again since the last one.
func BenchmarkSteadyExchange(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	newNode := func(id string) *node.Node {
		n := node.New(&conf.Settings{ID: id, Domain: "hobart-a", Limits: conf.Limits{BackendLease: strict.Duration(time.Hour)}}, log)
		b.Cleanup(n.Clock.Stop)
		return n
	}
	for _, servers := range []int{10, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			from, to := newNode("from"), newNode("to")
			announce := func(seq int) {
				for i := range servers {
					u, ok := FromBackend(benchBackend(i, false))
					if !ok {
						b.Fatal("invalid server")
					}
					u.Kind, u.Epoch, u.Seq = spec.KindPlain, 1, uint64(seq)
					from.ReceiveAnnouncement(u.Backend)
				}
			}
			from.ReceivePeer(to.Self())
			to.ReceivePeer(from.Self())
			sent := 0
			exchange := func(have uint64) uint64 {
				x := from.ExchangeReply(to.Self(), have, from.Self().Epoch, nil)
				to.ReceiveRelayedBackends(x.Updates, "from")
				to.ReceiveLeases("from", &x.Leases)
				back := to.ExchangeReply(from.Self(), 0, 0, nil)
				from.ReceiveLeases("to", &back.Leases)
				sent += len(x.Updates)
				return x.Version
			}
			announce(1)
			have := exchange(0)
			sent = 0
			seq := 1
			for b.Loop() {
				b.StopTimer()
				seq++
				announce(seq)
				b.StartTimer()
				have = exchange(have)
			}
			b.ReportMetric(float64(sent)/float64(b.N), "updates/op")
		})
	}
}

// BenchmarkAnnouncement measures how long it takes to apply an announcement, by the number of
// servers.
func BenchmarkAnnouncement(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, servers := range []int{10, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			n := node.New(&conf.Settings{ID: "vm", Domain: "hobart-a", Limits: conf.Limits{BackendLease: strict.Duration(time.Hour)}}, log)
			b.Cleanup(n.Clock.Stop)
			var list []member.Backend
			for i := range servers {
				u, ok := FromBackend(benchBackend(i, false))
				if !ok {
					b.Fatal("invalid server")
				}
				u.Kind, u.Epoch = spec.KindPlain, 1
				list = append(list, u.Backend)
			}
			seq := 0
			for b.Loop() {
				seq++
				s := &list[seq%servers]
				s.Seq = uint64(seq)
				n.ReceiveAnnouncement(*s)
			}
		})
	}
}
