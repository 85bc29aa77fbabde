package ctrl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/state"
)

// newBenchServer starts a group of one replica and waits until it is the leader.
func newBenchServer(b *testing.B) *Server {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	h, err := New(ServerConfig{
		VM: "vm1", Addr: netip.MustParseAddrPort("127.0.0.1:1"), DataFolder: filepath.Join(b.TempDir(), "data"), Bootstrap: true,
		Peers: func() []netip.AddrPort { return nil },
		HTTP:  http.DefaultClient, Options: connect.WithClientOptions(), Log: log,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { h.Close() })
	for {
		if _, leader, err := h.Status(context.Background()); err != nil || leader != "" {
			return h
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkSyncedAppend appends to a file and syncs it in a loop. It is the
// baseline for BenchmarkClaims.
func BenchmarkSyncedAppend(b *testing.B) {
	f, err := os.Create(filepath.Join(b.TempDir(), "log"))
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	record := make([]byte, 200)
	for b.Loop() {
		if _, err := f.Write(record); err != nil {
			b.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkClaims measures claims that a group of one replica commits and syncs,
// with several numbers of concurrent callers.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			h := newBenchServer(b)
			var n atomic.Int64
			b.SetParallelism(callers)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					id := fmt.Sprint(n.Add(1))
					c := state.Command{Claim: &state.Claim{Workspace: "w", Key: id, Nonce: id, Digest: make([]byte, 32), Timeout: time.Second}}
					if _, err := h.Submit(context.Background(), c); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
		})
	}
}
