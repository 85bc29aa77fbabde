package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
)

// leaderReport returns a report of a leader, a, whose group has lost the VM c, which d is to
// replace.
func leaderReport() *repl.GroupReport {
	return &repl.GroupReport{
		Replica: "a#1", Leader: "a", Term: 4, Leads: true, LastIndex: 505, Voters: 3, Quorum: 2, LossEndsGroup: true,
		Members: []repl.MemberReport{
			{Member: raft.Member{ID: "a#1", VM: "a", Voter: true}, Contact: repl.Reachable, Progress: &repl.ProgressReport{}},
			{Member: raft.Member{ID: "b#1", VM: "b", Voter: true}, Contact: repl.Reachable, Progress: &repl.ProgressReport{State: "replicating"}},
			{Member: raft.Member{ID: "c#1", VM: "c", Voter: true}, Contact: repl.Unreachable, SilenceMillis: 7300, Progress: &repl.ProgressReport{State: "probing", Entries: 62, Bytes: 15_049_722, BehindMillis: 7100}},
			{Member: raft.Member{ID: "d#1", VM: "d"}, Contact: repl.Reachable, SilenceMillis: 40, Progress: &repl.ProgressReport{State: "installing", Entries: 61, Bytes: 15_049_700, InFlightBytes: 190_608, BehindMillis: 2000}},
		},
	}
}

func Example_writeGroup() {
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	writeGroup(t, leaderReport())
	t.Flush()
	// Output:
	// control group: leader a (this VM), term 4, entry 505, 3 voters, quorum 2; LOSS OF ONE MORE VM ENDS IT
	// control replica  VM  votes  contact               behind for  entries  bytes     in flight  state
	// a#1              a   yes    this VM               -           0        0         0          leader
	// b#1              b   yes    reachable             -           0        0         0          replicating
	// c#1              c   yes    unreachable for 7.3s  7.1s        62       15049722  0          probing
	// d#1              d   no     reachable             2s          61       15049700  190608     installing
	// do: start VM c with its disk; if the disk is gone, with an empty data folder and bootstrap and form off
	// do: wait until these vote: d
	// do: until then, stop no VM that votes
}

// TestAdviceFitsState guards against advice that would lose more than is lost.
func TestAdviceFitsState(t *testing.T) {
	voter := func(vm string, contact repl.Contact, replacedBy string) repl.MemberReport {
		return repl.MemberReport{Member: raft.Member{ID: vm + "#1", VM: vm, Voter: true}, Contact: contact, ReplacedBy: replacedBy}
	}
	a, b := voter("a", repl.Reachable, ""), voter("b", repl.Reachable, "")
	bGone, cGone := voter("b", repl.Unreachable, "b#2"), voter("c", repl.Unreachable, "c#2")
	bSilent, cSilent := voter("b", repl.Unreachable, ""), voter("c", repl.Unreachable, "")
	cBehind := voter("c", repl.Reachable, "")
	cBehind.Progress = &repl.ProgressReport{Entries: 9, BehindMillis: 3000}
	learner := repl.MemberReport{Member: raft.Member{ID: "c#1", VM: "c"}, Contact: repl.Reachable}
	silentLearner := learner
	silentLearner.Contact = repl.Unreachable
	for _, tt := range []struct {
		name string
		r    repl.GroupReport
		// want holds a part of each line.
		want []string
	}{
		{"whole", repl.GroupReport{Leads: true, Leader: "a", Voters: 3, Quorum: 2, Members: []repl.MemberReport{a, b, voter("c", repl.Reachable, "")}}, nil},
		{"alone", repl.GroupReport{Leads: true, Leader: "a", Voters: 1, Quorum: 1, LossEndsGroup: true, Members: []repl.MemberReport{a}}, []string{"start more control VMs", "stop no VM"}},
		{"third joins", repl.GroupReport{Leads: true, Leader: "a", Voters: 2, Quorum: 2, LossEndsGroup: true, Members: []repl.MemberReport{a, b, learner}}, []string{"vote: c", "stop no VM"}},
		{"third has joined and is silent", repl.GroupReport{Leads: true, Leader: "a", Voters: 2, Quorum: 2, LossEndsGroup: true, Members: []repl.MemberReport{a, b, silentLearner}}, []string{"start VM c, or mend the links to it", "start more control VMs", "stop no VM"}},
		{"one behind", repl.GroupReport{Leads: true, Leader: "a", Voters: 3, Quorum: 2, LossEndsGroup: true, Members: []repl.MemberReport{a, b, cBehind}}, []string{"caught up, and look for failed calls to them in the leader's log: c", "stop no VM"}},
		{"one with a new disk", repl.GroupReport{Leads: true, Leader: "a", Voters: 3, Quorum: 2, LossEndsGroup: true, Members: []repl.MemberReport{a, b, cGone}}, []string{"until c#1 is removed: VM c runs with another disk, as c#2", "stop no VM"}},
		{"follower", repl.GroupReport{Leader: "a", Voters: 3, Quorum: 2, Members: []repl.MemberReport{a, b}}, []string{"ask the leader: foldctl --addr OPERATOR_ADDRESS_OF_a status, or foldctl status --watch METRICS_ADDRESS_OF_a"}},
		{"two stopped", repl.GroupReport{Voters: 3, Quorum: 2, Members: []repl.MemberReport{a, bSilent, cSilent}}, []string{"start 1 or more of these VMs, with their disks, or mend the links to them: b, c"}},
		{"one stopped, one disk gone", repl.GroupReport{Voters: 3, Quorum: 2, Members: []repl.MemberReport{a, bSilent, cGone}}, []string{"links to them: b"}},
		{"two disks gone", repl.GroupReport{Voters: 3, Quorum: 2, Members: []repl.MemberReport{a, bGone, cGone}}, []string{"no command forms the group anew"}},
		{"quorum answers", repl.GroupReport{Voters: 3, Quorum: 2, Members: []repl.MemberReport{a, b, cSilent}}, []string{"refuses its vote"}},
		{"nothing received", repl.GroupReport{}, []string{"start the control VMs that have disks"}},
	} {
		got := advice(&tt.r)
		if len(got) != len(tt.want) {
			t.Errorf("%s: advice %q, want %d lines", tt.name, got, len(tt.want))
			continue
		}
		for i, want := range tt.want {
			if !strings.Contains(got[i], want) {
				t.Errorf("%s: line %q, want one with %q", tt.name, got[i], want)
			}
		}
	}
}

// TestUnknownIsNotShownAsZero guards against a follower's view taken for a group without lag.
func TestUnknownIsNotShownAsZero(t *testing.T) {
	var out bytes.Buffer
	writeGroup(&out, &repl.GroupReport{Replica: "a#1", Voters: 1, Quorum: 1, LeaderlessMillis: 8665, Members: []repl.MemberReport{
		{Member: raft.Member{ID: "b#1", VM: "b", Voter: true}, Contact: repl.Unreachable, SilenceMillis: repl.NeverHeard},
	}})
	for _, want := range []string{"no leader for 8.7s", "b#1\tb\tyes\tunreachable, never heard\t-\t-\t-\t-\t-\n"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got no %q in:\n%s", want, out.String())
		}
	}
}

// TestJSONHasControlGroupBesideStatus guards against programs that lose fields of the status.
func TestJSONHasControlGroupBesideStatus(t *testing.T) {
	var out bytes.Buffer
	if err := writeJSON(&out, sampleStatus(), leaderReport()); err != nil {
		t.Fatal(err)
	}
	var got struct {
		Self         struct{ ID string }
		Services     []struct{ Service string }
		ControlGroup repl.GroupReport
	}
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	behind := slices.IndexFunc(got.ControlGroup.Members, func(m repl.MemberReport) bool { return m.ID == "c#1" })
	if got.Self.ID != "entry-1" || len(got.Services) != 1 || behind < 0 || got.ControlGroup.Members[behind].Progress.Entries != 62 {
		t.Errorf("got %+v", got)
	}
}

// TestOtherVersionsShowNoControlGroup guards against a status that fails at VMs without a
// report: those that run no control replica, and earlier versions, whose operators' address
// responds with 404 and whose metrics address with its text. Fields of later versions are
// passed over.
func TestOtherVersionsShowNoControlGroup(t *testing.T) {
	for _, tt := range []struct {
		name, contentType, body string
		status                  int
		want                    bool
	}{
		{"earlier, operators' address", "text/plain; charset=utf-8", "404 page not found", http.StatusNotFound, false},
		{"earlier, metrics address", "text/plain; charset=utf-8", "streams.open 0\n", http.StatusOK, false},
		{"replica has stopped", "text/plain; charset=utf-8", "control replica has stopped", http.StatusServiceUnavailable, false},
		{"this version", "application/json", `{"replica": "a#1", "voters": 3}`, http.StatusOK, true},
		{"later", "application/json", `{"replica": "a#1", "voters": 3, "other": {}, "members": [{"id": "a#1", "other": 1}]}`, http.StatusOK, true},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != repl.ReportPath || r.Header.Get("Authorization") != "Bearer secret" {
				t.Errorf("%s: got a request for %s with the authorization %q", tt.name, r.URL.Path, r.Header.Get("Authorization"))
			}
			w.Header().Set("Content-Type", tt.contentType)
			w.WriteHeader(tt.status)
			w.Write([]byte(tt.body))
		}))
		r, err := fetchReport(t.Context(), server.Listener.Addr().String(), "secret")
		server.Close()
		if err != nil || (r != nil) != tt.want || tt.want && r.Voters != 3 {
			t.Errorf("%s: got %+v, error %v; want a report: %t", tt.name, r, err, tt.want)
		}
	}
}
