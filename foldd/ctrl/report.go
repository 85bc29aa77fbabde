package ctrl

import (
	"context"
	"fmt"
	"time"

	"fuchsiafold.example/fold/raft"
	"fuchsiafold.example/fold/repl"
)

// Report returns what this replica can tell an operator of its group.
func (h *Server) Report(ctx context.Context) (repl.GroupReport, error) {
	var r repl.GroupReport
	if err := h.do(ctx, func(now time.Time) { r = h.report(now) }); err != nil {
		return repl.GroupReport{}, fmt.Errorf("report of the control group: %w", err)
	}
	return r, nil
}

func (h *Server) report(now time.Time) repl.GroupReport {
	var r repl.GroupReport
	if s, leads := h.rep.GroupStatus(); leads {
		h.members.setBehind(now, s)
		r = s.Report()
	} else {
		r = h.followerReport(now)
	}
	r.Replica, r.Term = h.identity.ID, h.rep.Term()
	if leader, ok := h.rep.Leader(); ok {
		r.Leader = leader.VM
	}
	for i, m := range r.Members {
		r.Members[i].ReplacedBy = h.watch.replaced[m.ID]
	}
	return r
}

// followerReport returns what a replica that doesn't lead knows: who is in the group, and
// while it knows no leader, who has sent it messages.
func (h *Server) followerReport(now time.Time) repl.GroupReport {
	members := h.rep.Membership()
	r := repl.GroupReport{LastIndex: h.rep.LastIndex(), Quorum: members.Quorum()}
	_, leaderKnown := h.rep.Leader()
	if !leaderKnown && !h.watch.since.IsZero() {
		r.LeaderlessMillis = now.Sub(h.watch.since).Milliseconds()
	}
	for _, m := range members.Members {
		if m.Voter {
			r.Voters++
		}
		v := repl.MemberReport{Member: m, SilenceMillis: h.silence(now, m.ID)}
		v.Contact = h.contact(v, leaderKnown)
		r.Members = append(r.Members, v)
	}
	return r
}

// silence returns the time in milliseconds since a replica has sent a message to this one.
func (h *Server) silence(now time.Time, id string) int64 {
	if id == h.identity.ID {
		return 0
	}
	heard, ok := h.watch.heard[id]
	if !ok {
		return repl.NeverHeard
	}
	return now.Sub(heard).Milliseconds()
}

// maxSilence is how long a voter that looks for a leader is silent at most: its elections
// are at most two election timeouts apart, and one message may be lost.
const maxSilence = 4 * raft.DefaultElectionTimeout

// contact returns the contact of this replica, which doesn't lead, with a member.
func (h *Server) contact(m repl.MemberReport, leaderKnown bool) repl.Contact {
	switch {
	case m.ID == h.identity.ID:
		return repl.Reachable
	case leaderKnown || !m.Voter:
		return repl.ContactUnknown
	case m.SilenceMillis == repl.NeverHeard || m.SilenceMillis >= maxSilence.Milliseconds():
		return repl.Unreachable
	}
	return repl.Reachable
}
