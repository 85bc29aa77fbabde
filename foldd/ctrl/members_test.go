package ctrl

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
)

// gauges holds the last value of each gauge of a VM.
type gauges struct {
	mu     sync.Mutex
	values map[string]int64
}

func (s *gauges) set(name string, value int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values = map[string]int64{}
	}
	s.values[name] = value
}

func (s *gauges) get(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[name]
}

// TestMemberIsBehindByTimeNotByEntries guards against members taken as behind during a change.
func TestMemberIsBehindByTimeNotByEntries(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, tt := range []struct {
		name string
		// confirmed returns what the member has confirmed when the log ends at last.
		confirmed func(last uint64) uint64
		want      []lagChange
	}{
		{"one entry behind", func(last uint64) uint64 { return last - 1 }, nil},
		{"always 3 s behind", func(last uint64) uint64 { return last - min(last, 30) }, []lagChange{fellBehind}},
		{"3 s behind, then in step", func(last uint64) uint64 {
			if last < 100 {
				return last - min(last, 30)
			}
			return last - 1
		}, []lagChange{fellBehind, caughtUp}},
		{"stops, then has all", func(last uint64) uint64 {
			if last < 100 {
				return min(last, 10)
			}
			return last
		}, []lagChange{fellBehind, caughtUp}},
	} {
		var lag memberLag
		var got []lagChange
		now := time.Unix(0, 0)
		for last := uint64(1); last < 200; last++ {
			now = now.Add(step)
			if change, _ := lag.update(now, tt.confirmed(last), last); change != lagUnchanged {
				got = append(got, change)
			}
		}
		if len(got) != len(tt.want) {
			t.Errorf("%s: changes %v, want %v", tt.name, got, tt.want)
			continue
		}
		for i := range got {
			if got[i] != tt.want[i] {
				t.Errorf("%s: changes %v, want %v", tt.name, got, tt.want)
			}
		}
	}
}

// TestMemberThatIsBehindIsTold guards against a member that falls behind unseen.
func TestMemberThatIsBehindIsTold(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 3)
		index := g.leader(t)
		leader, lost := g.vms[index], g.vms[(index+1)%3]
		var shown gauges
		if err := leader.server.do(t.Context(), func(time.Time) { leader.server.conf.Gauge = shown.set }); err != nil {
			t.Fatal(err)
		}
		g.stop(lost)
		const changes = 10
		for i := range uint64(changes) {
			g.apply(t, 10+i)
		}
		time.Sleep(maxLag + time.Second)
		lines := leader.logged("control replica is behind")
		if len(lines) != 1 || lines[0].Data["vm"] != lost.addr.String() || lines[0].Data["voter"] != true {
			t.Fatalf("lines %v, want one about the VM %v that votes", lines, lost.addr)
		}
		if state, ok := lines[0].Data["state"].(string); !ok || state == "" {
			t.Errorf("fields %v, want what the leader does to bring the member up to date", lines[0].Data)
		}
		if entries, ok := lines[0].Data["entries"].(uint64); !ok || entries < changes {
			t.Errorf("%v entries behind, want at least %d", lines[0].Data["entries"], changes)
		}
		if shown.get(membersBehindMetric) != 1 || shown.get(lossEndsGroupMetric) != 1 || shown.get(bytesBehindMetric) == 0 {
			t.Errorf("gauges %v, want one member behind, its bytes, and no further loss", shown.values)
		}
		if shown.get(membersUnreachableMetric) != 1 || shown.get(behindMillisMetric) < maxLag.Milliseconds() || shown.get(entriesBehindMetric) < changes {
			t.Errorf("gauges %v, want one member unreachable, and behind for more than %v", shown.values, maxLag)
		}
		if shown.get(leadsMetric) != 1 || shown.get(votersMetric) != 3 || shown.get(termMetric) == 0 {
			t.Errorf("gauges %v, want those of a leader with three voters", shown.values)
		}
		if warned := leader.logged("loss of one more control VM"); len(warned) != 1 || warned[0].Level != logrus.WarnLevel {
			t.Errorf("lines %v, want a warning that one more loss ends the group", warned)
		}
		g.start(t, lost)
		time.Sleep(maxLag + time.Second)
		if caught := leader.logged("control replica has caught up"); len(caught) != 1 {
			t.Errorf("lines %v, want one that the VM has caught up", caught)
		}
		if again := leader.logged("can lose a control VM again"); len(again) != 1 {
			t.Errorf("lines %v, want one that the group can lose a VM again", again)
		}
		if shown.get(membersBehindMetric) != 0 || shown.get(lossEndsGroupMetric) != 0 {
			t.Errorf("gauges %v, want no member behind", shown.values)
		}
		if shown.get(membersUnreachableMetric) != 0 || shown.get(behindMillisMetric) != 0 || shown.get(inFlightBytesMetric) != 0 {
			t.Errorf("gauges %v, want no member unreachable and nothing in flight", shown.values)
		}
		for _, vm := range g.vms {
			if vm != leader {
				g.stop(vm)
			}
		}
		time.Sleep(maxLag + time.Second)
		if shown.get(leadsMetric) != 0 || shown.get(votersMetric) != 0 || shown.get(membersUnreachableMetric) != 0 || shown.get(termMetric) == 0 {
			t.Errorf("gauges %v, want none of a leader without a quorum but the term", shown.values)
		}
	})
}

// TestVoterThatIsBehindCountsForNextLoss guards against a group that is called safe since its
// voters answer, while one of them lacks data.
func TestVoterThatIsBehindCountsForNextLoss(t *testing.T) {
	logger, lines := test.NewNullLogger()
	h := &Server{conf: ServerConfig{Log: logger}}
	voter := func(id string, behind time.Duration) repl.MemberStatus {
		return repl.MemberStatus{Member: raft.Member{ID: id, Voter: true}, Live: true, BehindFor: behind}
	}
	status := func(behind time.Duration) repl.GroupStatus {
		return repl.GroupStatus{Quorum: 2, LiveVoters: 3, Members: []repl.MemberStatus{voter("a", 0), voter("b", 0), voter("c", behind)}}
	}
	now := time.Unix(0, 0)
	for _, behind := range []time.Duration{0, maxLag, 2 * maxLag, 0, 0} {
		now = now.Add(heartbeatInterval)
		h.reportLossEndsGroup(now, status(behind))
	}
	got := lines.AllEntries()
	if len(got) != 2 || got[0].Level != logrus.WarnLevel || got[1].Level != logrus.InfoLevel {
		t.Fatalf("lines %v, want one that one more loss ends the group, and one that it no longer does", got)
	}
	if behind, ok := got[0].Data["behind"].([]string); !ok || !slices.Equal(behind, []string{"c"}) {
		t.Errorf("fields %v, want c as the one that is behind", got[0].Data)
	}
}

// memberLine returns the only line of all VMs with a message that contains text about the
// replica of a VM.
func (g *groupRig) memberLine(t *testing.T, text, vm string) *logrus.Entry {
	t.Helper()
	var found []*logrus.Entry
	for _, v := range g.vms {
		for _, line := range v.logged(text) {
			if line.Data["vm"] == vm {
				found = append(found, line)
			}
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d lines %q about %s, want 1", len(found), text, vm)
	}
	return found[0]
}

// TestMembersAreToldWithReasonAndTime guards against members that come and go without a reason.
func TestMembersAreToldWithReasonAndTime(t *testing.T) {
	const founders = 3
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, founders)
		index := g.leader(t)
		gone, wiped := g.vms[(index+1)%founders], g.vms[(index+2)%founders]
		g.stop(gone)
		g.addControlVM(t, vmAddrs(founders + 1)[founders], vmAddrs(founders))
		added := g.vms[founders]
		time.Sleep(10 * time.Second)
		g.loseDiskAndAwaitVote(t, wiped, founders)

		for _, vm := range []string{added.conf.VM, wiped.conf.VM} {
			g.memberLine(t, "joins its group as a learner", vm)
			line := g.memberLine(t, "becomes a voter", vm)
			if joined, ok := line.Data["joinedMs"].(int64); !ok || joined < 0 || joined > maxRejoin.Milliseconds() {
				t.Errorf("fields %v, want the time since the join, at most %v", line.Data, maxRejoin)
			}
		}
		for text, vm := range map[string]string{
			"is removed: it does not answer":         gone.addr.String(),
			"is removed: another one runs on its VM": wiped.addr.String(),
		} {
			if line := g.memberLine(t, text, vm); line.Data["joinedMs"] != int64(unknownTime) {
				t.Errorf("fields %v, want no time since the join of a member from the start", line.Data)
			}
		}
		if line := g.memberLine(t, "it does not answer", gone.addr.String()); line.Data["silenceMs"] == int64(0) {
			t.Errorf("fields %v, want how long the replica has been silent", line.Data)
		}
	})
}

// TestTimeOfJoinIsThatOfTheLastOne guards against a time counted from an earlier membership.
func TestTimeOfJoinIsThatOfTheLastOne(t *testing.T) {
	var w groupWatch
	first, second := raft.Member{ID: "a"}, raft.Member{ID: "b"}
	alone := raft.Membership{Members: []raft.Member{first}}
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	w.noteMembers(at(1), alone)
	w.noteMembers(at(2), alone.With(second))
	w.noteMembers(at(3), alone)
	w.noteMembers(at(4), alone.With(second))
	w.noteMembers(at(5), alone.With(raft.Member{ID: "b", Voter: true}))
	if !w.known["a"].IsZero() || !w.known["b"].Equal(at(4)) {
		t.Errorf("times of the joins %v, want none for a and %v for b", w.known, at(4))
	}
}

// TestGroupOfOneIsNotWarned guards against a warning that a group of one VM can't do anything about.
func TestGroupOfOneIsNotWarned(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		g := newGroupRig(t, 1)
		time.Sleep(time.Second)
		if lines := g.vms[0].logged("loss of one more"); len(lines) != 0 {
			t.Errorf("lines %v, want none", lines)
		}
	})
}
