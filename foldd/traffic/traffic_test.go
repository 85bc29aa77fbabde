package traffic_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/foldd/traffic"
	"fuchsiafold.example/netio/pool"
	"fuchsiafold.example/netio/serve"
)

// TestBothSidesCount guards against messages that are missing from the account of a VM, or
// counted as another kind: a sender and a receiver must count the same messages.
func TestBothSidesCount(t *testing.T) {
	registry := metrics.NewRegistry()
	counts := traffic.New(registry)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/periodic" {
			traffic.SetKind(r.Context(), traffic.ExchangePeriodic)
		}
		_, _ = io.WriteString(w, "hello")
	})
	s, err := serve.New(serve.Config{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"), MaxBody: 1 << 10, Log: logrus.New(),
		Handler: counts.Handler(traffic.Always(traffic.ExchangeUrgent), h),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	p := &pool.Pool{}
	counts.Observe(p, traffic.ExchangeUrgent)
	send := func(ctx context.Context, uri string) {
		res, err := p.Do(ctx, &pool.Request{Addr: s.Addr(), Method: http.MethodPost, URI: uri, Host: "h", Body: []byte("0123456789")})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
	}
	const urgent = 3
	for range urgent {
		send(context.Background(), "/")
	}
	send(traffic.With(context.Background(), traffic.ExchangePeriodic), "/periodic")
	if open := s.Open(); open != 1 {
		t.Errorf("%d open connections, want 1", open)
	}
	// A response of this size is sent after its handler has returned, so all have counted.
	get := func(name string) int64 { return metrics.GetOrRegisterCounter("traffic."+name, registry).Count() }
	for name, want := range map[string]int64{
		"out.exchangeUrgent.messages": urgent, "in.exchangeUrgent.messages": urgent,
		"out.exchangePeriodic.messages": 1, "in.exchangePeriodic.messages": 1,
		"out.exchangeUrgent.connections": 1, "out.exchangePeriodic.connections": 0,
		"in.exchangeUrgent.receivedBytes":   get("out.exchangeUrgent.sentBytes"),
		"in.exchangePeriodic.receivedBytes": get("out.exchangePeriodic.sentBytes"),
		"in.exchangePeriodic.sentBytes":     int64(len("hello")),
	} {
		if got := get(name); got != want {
			t.Errorf("%s: %d, want %d", name, got, want)
		}
	}
	if out, in := get("out.exchangePeriodic.receivedBytes"), get("in.exchangePeriodic.sentBytes"); out <= in {
		t.Errorf("received %d bytes, sent %d without heads; want more received", out, in)
	}
}
