package node

import (
	"net/netip"
	"testing"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/poison"
)

// TestExchangeWithRestartedVM guards against a VM that restarts and never gets what its earlier
// process had applied: the exchange that leaves it out is the one that shows the restart.
func TestExchangeWithRestartedVM(t *testing.T) {
	n, _ := evacuationNode(t)
	n.poison.Lost(n.started, []string{"part"}, poison.Crash{Backend: "e", Epoch: 1}, true)
	other := member.Peer{ID: "other", Addr: netip.MustParseAddrPort("127.0.0.1:99"), Epoch: 1, Seq: 1}
	n.ReceivePeer(other)
	first := n.OutgoingExchange(other.Addr, true, true)
	if len(first.Updates) == 0 || first.Prompts.Empty() {
		t.Fatalf("first exchange with %d updates, prompts %+v", len(first.Updates), first.Prompts)
	}
	n.RecordExchange("other", &first, 1)
	second := n.OutgoingExchange(other.Addr, true, true)
	if len(second.Updates) > 0 || !second.Prompts.Empty() {
		t.Fatalf("second exchange repeats %d updates, prompts %+v", len(second.Updates), second.Prompts)
	}
	other.Epoch = 2
	n.ReceivePeer(other)
	n.RecordExchange("other", &second, 1)
	third := n.OutgoingExchange(other.Addr, true, true)
	if len(third.Updates) != len(first.Updates) || third.Prompts.Empty() {
		t.Errorf("exchange after a restart with %d updates, want %d; prompts %+v", len(third.Updates), len(first.Updates), third.Prompts)
	}
}
