package ctrl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/fold/state"
)

const (
	// maxRecovery is how long the group may take to confirm a change, also after the loss of a
	// disk.
	maxRecovery = 20 * time.Second
	// changeInterval is the time between two changes of the configuration, and documentSize
	// the size of one in bytes.
	changeInterval = 300 * time.Millisecond
	documentSize   = 190_000
	// loggedChanges is the number of changes that the group's log holds at first.
	loggedChanges = 360
	// lastVersion is above the versions of all other changes.
	lastVersion = 1 << 20
	// controlLinkRate is that of a link of 1000 Mbit/s, in bytes per second.
	controlLinkRate = 1_000_000_000 / 8
	// killedTime is how long a VM is down that was killed, and leaderLossGap the time from a
	// loss of a leader to the next fault.
	killedTime    = 300 * time.Millisecond
	leaderLossGap = 2500 * time.Millisecond
)

// partOfProcessor is that of a VM with 0.4 of a core.
var partOfProcessor = share{period: 100 * time.Millisecond, still: 60 * time.Millisecond}

// TestNewVMVotesBeforeNextDiskIsLost guards against a group that a lost disk ends, as the VM
// that took the place of another one never caught up with a log of large configurations.
func TestNewVMVotesBeforeNextDiskIsLost(t *testing.T) {
	for losses := range 4 {
		t.Run(fmt.Sprint("leaders lost ", losses), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { replaceVMThenLoseDisk(t, losses) })
		})
	}
}

// replaceVMThenLoseDisk ends a VM for good, loses a number of leaders, starts a VM at another
// address, and then loses the disk of a third one, while changes go on.
func replaceVMThenLoseDisk(t *testing.T, losses int) {
	addrs := vmAddrs(4)
	g := newGroupWithLog(t, addrs[:3])
	g.addEntryVMs(t, 3)
	entries := g.vms[3:]
	confirmDocument(t, entries, loggedChanges+1)
	go changeInSeries(t.Context(), entries, loggedChanges+2)
	replaced := g.vms[(g.leader(t)+1)%3]
	g.stop(replaced)
	g.network.hang(replaced.addr.String())
	for range losses {
		g.loseLeader(t)
	}

	begun := time.Now()
	fresh := g.newControlVM(t, addrs[3], addrs[:3])
	g.startOnPart(t, fresh)
	if !fresh.votesBy(t, begun.Add(maxRejoin)) {
		t.Errorf("the new VM does not vote %v after its start; calls to it that failed: %q", maxRejoin, g.failedCalls(fresh))
	}
	time.Sleep(time.Until(begun.Add(maxRejoin)))

	lost := g.vms[g.leader(t)]
	g.stop(lost)
	lost.loseDisk(t)
	g.start(t, lost)
	confirmDocument(t, entries, lastVersion)
}

// newGroupWithLog starts control VMs whose log holds loggedChanges large documents.
func newGroupWithLog(t *testing.T, addrs []netip.AddrPort) *groupRig {
	t.Helper()
	var entries []raft.Entry
	for i := range uint64(loggedChanges) {
		change := &state.ApplyConfig{Version: i + 1, Document: randomDocument(i+1, documentSize)}
		data, err := json.Marshal(state.Command{ApplyConfig: change})
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, raft.Entry{Index: i + 2, Term: 1, Data: data})
	}
	g := &groupRig{}
	for _, addr := range addrs {
		vm := g.newControlVM(t, addr, addrs)
		writeLog(t, vm, entries)
		g.startOnPart(t, vm)
	}
	return g
}

// writeLog writes entries to the disk of an initial member that has not been started.
func writeLog(t *testing.T, vm *rigVM, entries []raft.Entry) {
	t.Helper()
	folder, _, err := createInitialMember(vm.conf)
	if err != nil {
		t.Fatal(err)
	}
	defer folder.Close()
	if err := folder.Write(repl.Write{Entries: entries}); err != nil {
		t.Fatal(err)
	}
}

// startOnPart starts a VM with a part of a processor and the link of a control VM.
func (g *groupRig) startOnPart(t *testing.T, vm *rigVM) {
	t.Helper()
	vm.share = partOfProcessor
	g.network.limitProcessor(vm.addr.String(), vm.share)
	g.network.limitUplink(vm.addr.String(), controlLinkRate)
	g.start(t, vm)
}

// votesBy reports whether the VM is a voter of its group by a time, as far as it knows.
func (vm *rigVM) votesBy(t *testing.T, deadline time.Time) bool {
	t.Helper()
	for ; time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		members, _, err := vm.server.Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if members.Voter(vm.server.identity.ID) {
			return true
		}
	}
	return false
}

// failedCalls returns the errors of the calls to a VM that the replicas have logged.
func (g *groupRig) failedCalls(to *rigVM) []string {
	var out []string
	for _, vm := range g.vms {
		if vm.lines == nil {
			continue
		}
		for _, line := range vm.lines.AllEntries() {
			if line.Data["addr"] == to.addr && line.Data["error"] != nil {
				out = append(out, fmt.Sprint(line.Data["error"]))
			}
		}
	}
	return out
}

// loseLeader kills the leader, which comes back after killedTime.
func (g *groupRig) loseLeader(t *testing.T) {
	t.Helper()
	leader := g.vms[g.leader(t)]
	g.stop(leader)
	time.Sleep(killedTime)
	g.start(t, leader)
	time.Sleep(leaderLossGap - killedTime)
}

// sendDocument sends a large document to a VM once, and reports whether the VM has confirmed it.
func sendDocument(ctx context.Context, vm *rigVM, version uint64) bool {
	return tryApply(ctx, vm, version, randomDocument(version, documentSize))
}

// confirmDocument sends a large document to one VM after the other until one confirms it.
func confirmDocument(t *testing.T, vms []*rigVM, version uint64) {
	t.Helper()
	for i, begun := 0, time.Now(); time.Since(begun) < maxRecovery; i++ {
		if sendDocument(t.Context(), vms[i%len(vms)], version) {
			return
		}
		time.Sleep(retryInterval)
	}
	t.Fatalf("version %d was not confirmed within %v", version, maxRecovery)
}

// changeInSeries sends large documents to the VMs in turn until ctx ends.
func changeInSeries(ctx context.Context, vms []*rigVM, version uint64) {
	for ; ctx.Err() == nil; version++ {
		next := time.Now().Add(changeInterval)
		sendDocument(ctx, vms[int(version)%len(vms)], version)
		time.Sleep(time.Until(next))
	}
}
