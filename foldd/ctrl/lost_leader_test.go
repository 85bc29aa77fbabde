package ctrl

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"

	"fuchsiafold.example/wire"
)

// TestChangeDoesNotWaitForLostLeader guards against operators' calls that wait for a
// leader that hangs although the called VM's replica knows its successor.
func TestChangeDoesNotWaitForLostLeader(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		for i := range g.vms {
			g.applyAt(t, i, uint64(10+i))
		}
		lost := g.leader(t)
		g.network.hang(g.vms[lost].addr.String())
		time.Sleep(3 * time.Second)
		for i := range g.vms {
			if i == lost {
				continue
			}
			if took := g.applyAt(t, i, uint64(20+i)); took >= callTimeout {
				t.Errorf("VM %d confirmed a change after %v, want less than the timeout of one call, %v", i, took, callTimeout)
			}
		}
	})
}

// TestFollowerRedirectsWithoutCheckingDocument guards against followers that spend an
// operator's time on a large document before they name the leader.
func TestFollowerRedirectsWithoutCheckingDocument(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		follower := g.vms[(g.leader(t)+1)%len(g.vms)]
		before := follower.checked.Load()
		_, err := follower.server.Apply(t.Context(), connect.NewRequest(&wire.ApplyRequest{Version: 10, Document: []byte("{}")}))
		if code := connect.CodeOf(err); code != connect.CodeFailedPrecondition {
			t.Errorf("error %v, want one with the code %v", err, connect.CodeFailedPrecondition)
		}
		if checked := follower.checked.Load() - before; checked != 0 {
			t.Errorf("the follower checked %d documents, want none", checked)
		}
	})
}

// applyAt sends a version of the configuration to one VM and returns how long that took.
func (g *groupRig) applyAt(t *testing.T, vm int, version uint64) time.Duration {
	t.Helper()
	begun := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
	defer cancel()
	if _, err := g.vms[vm].client.Apply(ctx, &wire.ApplyRequest{Version: version, Document: []byte("{}")}); err != nil {
		t.Fatalf("VM %d, version %d: %v", vm, version, err)
	}
	return time.Since(begun)
}

// leader returns the VM that leads the group.
func (g *groupRig) leader(t *testing.T) int {
	t.Helper()
	for i, v := range g.vms {
		if v.server == nil {
			continue
		}
		if _, leader, err := v.server.Status(t.Context()); err == nil && leader == v.addr.String() {
			return i
		}
	}
	t.Fatal("the group has no leader")
	return 0
}

// TestEntryVMDoesNotWaitForLostLeader guards against operators' calls at a VM without a
// replica that wait for the leader of its last call, which hangs.
func TestEntryVMDoesNotWaitForLostLeader(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		g.addEntryVMs(t, 1)
		g.applyAt(t, 3, 10)
		g.network.hang(g.vms[g.leader(t)].addr.String())
		time.Sleep(3 * time.Second)
		if took := g.applyAt(t, 3, 20); took >= callTimeout {
			t.Errorf("a change was confirmed after %v, want less than the timeout of one call, %v", took, callTimeout)
		}
	})
}
