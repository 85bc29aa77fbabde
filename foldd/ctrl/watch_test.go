package ctrl

import (
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// logged returns the VM's lines whose message contains text.
func (vm *rigVM) logged(text string) []*logrus.Entry {
	var out []*logrus.Entry
	for _, e := range vm.lines.AllEntries() {
		if strings.Contains(e.Message, text) {
			out = append(out, e)
		}
	}
	return out
}

// TestGroupThatCannotElectAgainIsTold guards against a group that has lost the disks of a
// quorum and that no log tells from one whose next election is under way.
func TestGroupThatCannotElectAgainIsTold(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		for _, vm := range g.vms[:2] {
			g.stop(vm)
			vm.loseDisk(t)
		}
		for _, vm := range g.vms[:2] {
			g.start(t, vm)
		}
		time.Sleep(10 * time.Second)
		last := g.vms[2]
		lines := last.logged("can't elect a leader again")
		if len(lines) == 0 || lines[0].Level != logrus.ErrorLevel {
			t.Fatalf("the VM with the last disk logged %d such lines, want an error", len(lines))
		}
		if replaced, ok := lines[0].Data["replaced"].(map[string]string); !ok || len(replaced) != 2 {
			t.Errorf("fields %v, want the two replaced replicas", lines[0].Data)
		}
		// The last leader may have let the VM join, in its last second, without a quorum.
		joiner := g.vms[0]
		if len(joiner.logged("has received no state"))+len(joiner.logged("control group has")) == 0 {
			t.Error("a VM with a new disk that can't join logged nothing about it")
		}
	})
}

// TestGroupThatWaitsForVotersIsTold is the case beside TestGroupThatCannotElectAgainIsTold in
// which the voters may come back.
func TestGroupThatWaitsForVotersIsTold(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		for _, vm := range g.vms[:2] {
			g.stop(vm)
		}
		time.Sleep(20 * time.Second)
		last := g.vms[2]
		if n := len(last.logged("can't elect a leader again")); n != 0 {
			t.Errorf("%d lines say that no leader can be elected, want none", n)
		}
		lines := last.logged("control group has no leader")
		if len(lines) < 2 || len(lines) > 4 {
			t.Errorf("%d lines about a group without a leader within 20 s, want 2 to 4", len(lines))
		}
		for _, vm := range g.vms[:2] {
			g.start(t, vm)
		}
		g.apply(t, 10)
	})
}

// TestReplicaWithoutLeaderTellsWhetherItVotes guards against live replicas taken for voters.
func TestReplicaWithoutLeaderTellsWhetherItVotes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const founders = 3
		g := newGroupRig(t, founders)
		index := g.leader(t)
		leader := g.vms[index]
		g.stop(g.vms[(index+1)%founders])
		g.addControlVM(t, vmAddrs(founders + 1)[founders], vmAddrs(founders))
		// The new VM has no time to become a voter.
		g.stop(g.vms[(index+2)%founders])
		time.Sleep(10 * time.Second)
		for vm, votes := range map[*rigVM]bool{leader: true, g.vms[founders]: false} {
			lines := vm.logged("control group has no leader")
			if !votes {
				lines = append(lines, vm.logged("has received no state")...)
			}
			if len(lines) == 0 || lines[0].Data["voter"] != votes {
				t.Errorf("%v: lines %v, want one that says whether it votes: %t", vm.addr, lines, votes)
			}
		}
	})
}
