package peer

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/node"
)

// TestColdOnTheWire guards against updates, brief ones too, that lose for how long a server is
// cold, and against a faulty VM that makes one cold for ever.
func TestColdOnTheWire(t *testing.T) {
	for _, brief := range []bool{false, true} {
		u := member.BackendUpdate{Backend: member.Backend{ID: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), ColdFor: 1500 * time.Millisecond}, Brief: brief}
		m := ToBackend(u)
		if got, ok := FromBackend(m); !ok || got.ColdFor != u.ColdFor {
			t.Errorf("brief %t: cold for %v, want %v", brief, got.ColdFor, u.ColdFor)
		}
		m.ColdMillis = math.MaxUint64
		if got, ok := FromBackend(m); !ok || got.ColdFor != spec.MaxCold {
			t.Errorf("brief %t: cold for %v, want at most %v", brief, got.ColdFor, spec.MaxCold)
		}
	}
	v := ToServiceStatus(node.ServiceView{Backends: []node.BackendView{{ID: "s", ColdFor: 300 * time.Millisecond, StartRate: 25}}})
	if b := v.GetBackends()[0]; b.GetColdMillis() != 300 || b.GetStartRate() != 25 {
		t.Errorf("status %v, want 300 ms at 25/s", b)
	}
}
