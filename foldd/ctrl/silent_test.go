package ctrl

import (
	"testing"
	"time"
)

// maxUnconfirmed is how long an operator's change may be unconfirmed while all VMs run
// and new connections work: changes are to be in force everywhere within 3 s.
const maxUnconfirmed = 3 * time.Second

// TestSilentConnectionsDelayNoConfiguration guards against a group without a leader for
// many seconds after its open connections have gone silent, though new ones work.
func TestSilentConnectionsDelayNoConfiguration(t *testing.T) {
	for range 20 {
		inBubble(t, func(t *testing.T) {
			g := newGroupRig(t, 3)
			g.applyAtOnce(t, 2)
			g.network.silence(g.addrs()...)
			if took := g.apply(t, 100); took > maxUnconfirmed {
				t.Errorf("confirmed after %v, want at most %v", took, maxUnconfirmed)
			}
		})
	}
}
