package peer

import (
	"context"
	"io"
	"math"
	"testing"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/wire"
)

func TestRateLimitOnTheWire(t *testing.T) {
	want := limit.Entry{Server: limit.Server{ID: "s", Epoch: 3}, Version: 4, Rate: 5.2, Doubted: true, Ended: true}
	if got := fromRateLimit(toRateLimit(want)); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestMalformedPermitRequests checks that no message of another VM ends the process or
// becomes a limit that makes no sense.
func TestMalformedPermitRequests(t *testing.T) {
	conf, err := conf.Parse([]byte(`{"id": "vm", "domain": "a", "handleKey": "0123456789abcdef", "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"}}`))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := node.New(conf, log)
	t.Cleanup(n.Clock.Stop)
	s := New(n)
	for _, m := range []*wire.PermitRequest{
		{},
		{From: "vm2"},
		{From: "vm2", Limit: &wire.RateLimit{}},
		{Limit: &wire.RateLimit{Backend: "s", Version: 1, PerSecond: 1}},
	} {
		if _, err := s.Permit(context.Background(), connect.NewRequest(m)); connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Errorf("%v: error %v, want an invalid argument", m, err)
		}
	}
	for _, m := range []*wire.RateLimit{
		{Backend: "s", Version: 1, PerSecond: math.NaN()},
		{Backend: "s", Version: 1, PerSecond: -1},
		{Backend: "s", Version: math.MaxUint64, PerSecond: 1},
	} {
		res, err := s.Permit(context.Background(), connect.NewRequest(&wire.PermitRequest{From: "vm2", Limit: m, Used: math.MaxUint32}))
		if err != nil || res.Msg.GetLimit().GetVersion() != 0 {
			t.Errorf("%v: answer %v, error %v; want one that knows no limit", m, res, err)
		}
	}
}
