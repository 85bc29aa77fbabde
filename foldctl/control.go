package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/netio/bound"
)

// fetchReport returns what the VM at addr tells of the control group, and nil if it runs no
// control replica or an earlier version, which has no such report.
func fetchReport(ctx context.Context, addr, token string) (*repl.GroupReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+repl.ReportPath, nil)
	if err != nil {
		return nil, fmt.Errorf("request report of the control group: %w", err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := httpClient().Do(req)
	if err != nil {
		return nil, fmt.Errorf("request report of the control group: %w", err)
	}
	defer res.Body.Close()
	// The metrics address of earlier versions responds with its text to every path.
	if res.StatusCode != http.StatusOK || res.Header.Get("Content-Type") != "application/json" {
		return nil, nil
	}
	body, err := bound.ReadAll(res.Body, res.ContentLength, maxReply)
	if err != nil {
		return nil, fmt.Errorf("read report of the control group: %w", err)
	}
	var r repl.GroupReport
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("decode report of the control group: %w", err)
	}
	return &r, nil
}

// writeGroup writes the state of the control group, its members, and what to do about it.
func writeGroup(w io.Writer, r *repl.GroupReport) {
	fmt.Fprintf(w, "\ncontrol group: %s, term %d, entry %d, %d voters, quorum %d%s\n", leaderText(r), r.Term, r.LastIndex, r.Voters, r.Quorum, lossText(r))
	fmt.Fprintln(w, "control replica\tVM\tvotes\tcontact\tbehind for\tentries\tbytes\tin flight\tstate")
	for _, m := range r.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.ID, m.VM, yesNo(m.Voter), contactText(r, m), progressText(r, m))
	}
	for _, line := range advice(r) {
		fmt.Fprintln(w, "do: "+line)
	}
}

func leaderText(r *repl.GroupReport) string {
	switch {
	case r.Leads:
		return "leader " + r.Leader + " (this VM)"
	case r.Leader != "":
		return "leader " + r.Leader
	case r.LeaderlessMillis > 0:
		return "no leader for " + millis(r.LeaderlessMillis)
	}
	return "no leader"
}

func lossText(r *repl.GroupReport) string {
	switch {
	case !r.Leads:
		return ""
	case r.LossEndsGroup:
		return "; LOSS OF ONE MORE VM ENDS IT"
	}
	return "; can lose a VM"
}

func yesNo(set bool) string {
	if set {
		return "yes"
	}
	return "no"
}

// contactText returns whether a member answers, and since when not.
func contactText(r *repl.GroupReport, m repl.MemberReport) string {
	switch {
	case m.ID == r.Replica:
		return "this VM"
	case m.ReplacedBy != "":
		return "gone, replaced by " + m.ReplacedBy
	case m.Contact == repl.Unreachable && m.SilenceMillis == repl.NeverHeard:
		return "unreachable, never heard"
	case m.Contact == repl.Unreachable:
		return "unreachable for " + millis(m.SilenceMillis)
	}
	return string(m.Contact)
}

// progressText returns the columns about what a member lacks, with a dash for what the VM
// doesn't know.
func progressText(r *repl.GroupReport, m repl.MemberReport) string {
	p := m.Progress
	if p == nil {
		return "-\t-\t-\t-\t-"
	}
	behind, state := "-", p.State
	if p.BehindMillis > 0 {
		behind = millis(p.BehindMillis)
	}
	if m.ID == r.Replica {
		state = "leader"
	}
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%s", behind, p.Entries, p.Bytes, p.InFlightBytes, state)
}

// millis returns a number of milliseconds as text, to a tenth of a second.
func millis(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// minVoters is the number of voters from which on a group outlasts the loss of one.
const minVoters = 3

// advice returns what an operator has to do, a line for each step, and nothing if the group
// can lose a VM.
func advice(r *repl.GroupReport) []string {
	switch {
	case r.Voters == 0:
		return []string{"start the control VMs that have disks of the group; this one has received nothing of it yet"}
	case r.Leads && r.LossEndsGroup:
		return safetyAdvice(r)
	case r.Leads:
		return nil
	case r.Leader != "":
		return []string{fmt.Sprintf("for progress and contact, ask the leader: foldctl --addr OPERATOR_ADDRESS_OF_%[1]s status, or foldctl status --watch METRICS_ADDRESS_OF_%[1]s", r.Leader)}
	}
	return leaderlessAdvice(r)
}

// safetyAdvice is for a group with a leader that can't lose one more VM.
func safetyAdvice(r *repl.GroupReport) []string {
	var lines, learners, behind []string
	for _, m := range r.Members {
		switch {
		case m.ReplacedBy != "":
			lines = append(lines, fmt.Sprintf("wait until %s is removed: VM %s runs with another disk, as %s", m.ID, m.VM, m.ReplacedBy))
		case m.Contact == repl.Unreachable && !m.Voter:
			lines = append(lines, fmt.Sprintf("start VM %s, or mend the links to it: it has joined and doesn't vote yet", m.VM))
		case m.Contact == repl.Unreachable:
			lines = append(lines, fmt.Sprintf("start VM %s with its disk; if the disk is gone, with an empty data folder and bootstrap and form off", m.VM))
		case !m.Voter:
			learners = append(learners, m.VM)
		case m.Progress != nil && m.Progress.BehindMillis > 0:
			behind = append(behind, m.VM)
		}
	}
	if len(learners) > 0 {
		lines = append(lines, "wait until these vote: "+strings.Join(learners, ", "))
	}
	if len(behind) > 0 {
		lines = append(lines, "wait until these have caught up, and look for failed calls to them in the leader's log: "+strings.Join(behind, ", "))
	}
	if r.Voters < minVoters && len(learners) == 0 {
		lines = append(lines, fmt.Sprintf("start more control VMs, with empty data folders and bootstrap and form off: %d voters can't lose one", r.Voters))
	}
	return append(lines, "until then, stop no VM that votes")
}

// leaderlessAdvice is for a VM that knows no leader.
func leaderlessAdvice(r *repl.GroupReport) []string {
	var missing []string
	answer, gone := 0, 0
	for _, m := range r.Members {
		switch {
		case !m.Voter:
		case m.ReplacedBy != "":
			gone++
		case m.Contact == repl.Reachable:
			answer++
		default:
			missing = append(missing, m.VM)
		}
	}
	switch {
	case r.Voters-gone < r.Quorum:
		return []string{"the disks of a quorum are gone, no leader can be elected, and no command forms the group anew: keep the data folders that are left; see docs/OPERATIONS.md, when the disks of a quorum are gone"}
	case answer < r.Quorum:
		return []string{fmt.Sprintf("start %d or more of these VMs, with their disks, or mend the links to them: %s", r.Quorum-answer, strings.Join(missing, ", "))}
	}
	return []string{"a quorum answers; if no leader comes within seconds, look for `control replica refuses its vote` in the logs of the voters"}
}
