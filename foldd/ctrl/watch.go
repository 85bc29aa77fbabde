package ctrl

import (
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/raft"
)

// violationsMetric counts the violations that logEvents has logged.
const violationsMetric = "control.violations"

// logEvents logs what the replica tells of itself.
func (h *Server) logEvents(events []raft.Event) {
	for _, e := range events {
		log := h.conf.Log.WithFields(logrus.Fields{"replica": h.identity.ID, "peer": e.Peer, "term": e.Term, "otherTerm": e.OtherTerm, "index": e.Index})
		switch e.Kind {
		case raft.Campaigned:
			log.WithField("lastIndex", h.rep.LastIndex()).Info("control replica asks for votes")
		case raft.VoteRefused:
			log.WithFields(logrus.Fields{"why": e.Refusal.String(), "vote": h.rep.HardState().Vote}).Info("control replica refuses its vote")
		case raft.Yielded:
			log.WithField("lastIndex", h.rep.LastIndex()).Info("control replica gives way to another candidate")
		default:
			h.conf.Count(violationsMetric, 1)
			log.WithField("violation", e.Kind.String()).Error("control replica found an invariant of its group broken; it acknowledges nothing that depends on it")
		}
	}
}

// recordGroup records and logs the leader, the term and the members that this replica
// knows when they have changed.
func (h *Server) recordGroup() {
	leader, _ := h.rep.Leader()
	g := groupView{leader: leader.ID, term: h.rep.Term(), membershipIndex: h.rep.MembershipIndex()}
	if g == h.loggedGroup {
		return
	}
	h.loggedGroup = g
	h.knownLeader.Store(nil)
	if leader.ID != "" {
		h.knownLeader.Store(&leader)
	}
	h.watch.noteMembers(time.Now(), h.rep.Membership())
	var voters, learners []string
	for _, m := range h.rep.Membership().Members {
		if m.Voter {
			voters = append(voters, m.ID)
		} else {
			learners = append(learners, m.ID)
		}
	}
	h.conf.Log.WithFields(logrus.Fields{
		"replica": h.identity.ID, "leader": g.leader, "term": g.term, "membershipIndex": g.membershipIndex, "lastIndex": h.rep.LastIndex(),
		"voters": voters, "learners": learners,
	}).Info("control group changed")
}

// groupView is the state of the group as this replica knows it.
type groupView struct {
	leader string
	term   uint64
	// membershipIndex is the log index of the membership in use.
	membershipIndex uint64
}

// groupWatch is what a replica knows of its group for the log. The zero value is ready to
// use.
type groupWatch struct {
	// heard holds when each replica last sent a message.
	heard map[string]time.Time
	// replaced holds the replicas that are gone for good, as another replica answers at
	// their address, and the ID of that one.
	replaced map[string]string
	// known holds when each member of the group joined it, the zero time for those that
	// were members before this replica knew the group.
	known map[string]time.Time
	// since is when the replica last lost its leader, zero while it knows one, and
	// reportAt when a line about that is due.
	since, reportAt time.Time
}

// hear records a message of a replica.
func (w *groupWatch) hear(now time.Time, id string) {
	if w.heard == nil {
		w.heard = map[string]time.Time{}
	}
	w.heard[id] = now
	delete(w.replaced, id)
}

// noteAnswer records that the replica with the ID answer has got messages for another one.
func (w *groupWatch) noteAnswer(addressee, answer string) {
	if w.replaced == nil {
		w.replaced = map[string]string{}
	}
	w.replaced[addressee] = answer
}

// noteMembers records which replicas are members from now on.
func (w *groupWatch) noteMembers(now time.Time, m raft.Membership) {
	known := map[string]time.Time{}
	for _, member := range m.Members {
		joined, ok := w.known[member.ID]
		if !ok && len(w.known) > 0 {
			joined = now
		}
		known[member.ID] = joined
	}
	w.known = known
}

// Times of lines about a group without a leader: the first comes after an election that
// takes unusually long, and the time between two lines doubles up to the longest.
const (
	leaderlessReport    = 3 * time.Second
	maxLeaderlessReport = time.Minute
)

// leaderless reports whether a line about a group without a leader is due.
func (w *groupWatch) leaderless(now time.Time, leaderKnown bool) bool {
	if leaderKnown {
		w.since = time.Time{}
		return false
	}
	if w.since.IsZero() {
		w.since, w.reportAt = now, now.Add(leaderlessReport)
	}
	if now.Before(w.reportAt) {
		return false
	}
	w.reportAt = now.Add(min(now.Sub(w.since), maxLeaderlessReport))
	return true
}

// reportLeaderless logs that the group has had no leader for long, and what this replica
// knows of the reason.
func (h *Server) reportLeaderless(now time.Time) {
	_, leaderKnown := h.rep.Leader()
	if !h.watch.leaderless(now, leaderKnown) {
		return
	}
	silence := map[string]int64{}
	voters, lost := 0, 0
	for _, m := range h.rep.Membership().Members {
		if !m.Voter {
			continue
		}
		voters++
		if h.watch.replaced[m.ID] != "" {
			lost++
		}
		if m.ID == h.identity.ID {
			continue
		}
		silence[m.ID] = h.silence(now, m.ID)
	}
	state := h.rep.HardState()
	log := h.conf.Log.WithFields(logrus.Fields{
		"replica": h.identity.ID, "ms": now.Sub(h.watch.since).Milliseconds(), "term": state.Term, "vote": state.Vote, "lastIndex": h.rep.LastIndex(),
		"voter": h.rep.Membership().Voter(h.identity.ID), "voters": voters, "voterSilenceMs": silence, "replaced": h.watch.replaced,
	})
	switch {
	case voters == 0:
		log.Warn("control replica has received no state of its group")
	case 2*lost >= voters:
		log.Error("control group has lost the disks of half of its voters or more and can't elect a leader again")
	default:
		log.Warn("control group has no leader")
	}
}
