package ctrl

import (
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/repl"
)

// maxLag is how long entries of the leader's log may take to reach a member before the
// member counts as behind.
const maxLag = 2 * time.Second

// termMetric is the gauge of the term that a replica knows.
const termMetric = "control.term"

// Gauges that the leader sets; they are zero on other VMs.
const (
	leadsMetric              = "control.leads"
	votersMetric             = "control.voters"
	membersBehindMetric      = "control.membersBehind"
	membersUnreachableMetric = "control.membersUnreachable"
	entriesBehindMetric      = "control.entriesBehind"
	bytesBehindMetric        = "control.bytesBehind"
	behindMillisMetric       = "control.behindMillis"
	inFlightBytesMetric      = "control.inFlightBytes"
	lossEndsGroupMetric      = "control.lossEndsGroup"
)

// memberLag tells whether a member is behind. The zero value is ready to use.
type memberLag struct {
	// target is the index of the last entry of the leader's log at targetAt.
	target   uint64
	targetAt time.Time
	// behindSince is when the member fell behind, zero if it is not behind.
	behindSince time.Time
}

// lagChange is what has changed about a member's lag.
type lagChange int

const (
	lagUnchanged lagChange = iota
	fellBehind
	caughtUp
)

// update takes in which entry the member has confirmed, and which is the last of the log. A
// member is behind once it takes maxLag to reach the end that the log had at some moment,
// until it reaches such an end in less. For a change, update returns how long the member
// has been behind.
func (l *memberLag) update(now time.Time, confirmed, last uint64) (lagChange, time.Duration) {
	took := now.Sub(l.targetAt)
	if confirmed < l.target {
		if took < maxLag || l.behind() {
			return lagUnchanged, 0
		}
		l.behindSince = l.targetAt
		return fellBehind, took
	}
	l.target, l.targetAt = last, now
	if !l.behind() || took >= maxLag && confirmed < last {
		return lagUnchanged, 0
	}
	behind := now.Sub(l.behindSince)
	l.behindSince = time.Time{}
	return caughtUp, behind
}

func (l *memberLag) behind() bool { return !l.behindSince.IsZero() }

// memberWatch is what the leader knows of the members' progress for the log and the
// metrics. The zero value is ready to use.
type memberWatch struct {
	// dueAt is when the members are looked at next.
	dueAt time.Time
	// lags holds the lag of each member, by ID.
	lags map[string]*memberLag
	// lossEndsGroup is whether the last line about it says so, and lossSince since when.
	lossEndsGroup bool
	lossSince     time.Time
}

// reportMembers logs which members fall behind and which have caught up, and sets the
// gauges. It does so once a heartbeat interval.
func (h *Server) reportMembers(now time.Time) {
	if now.Before(h.members.dueAt) {
		return
	}
	h.members.dueAt = now.Add(heartbeatInterval)
	s, leads := h.rep.GroupStatus()
	if !leads {
		h.clearMembers()
		return
	}
	h.forgetLags(s)
	for _, m := range s.Members {
		h.reportLag(now, s, m)
	}
	h.members.setBehind(now, s)
	h.reportLossEndsGroup(now, s)
	h.setGauges(s)
}

// setBehind sets for how long the members of s have been behind.
func (w *memberWatch) setBehind(now time.Time, s repl.GroupStatus) {
	for i, m := range s.Members {
		if lag := w.lags[m.ID]; lag != nil && lag.behind() {
			s.Members[i].BehindFor = now.Sub(lag.behindSince)
		}
	}
}

// clearMembers forgets what was known as the leader.
func (h *Server) clearMembers() {
	h.members = memberWatch{dueAt: h.members.dueAt}
	h.setGauges(repl.GroupStatus{})
}

// forgetLags removes what is known of replicas that are no members any more.
func (h *Server) forgetLags(s repl.GroupStatus) {
	known := map[string]*memberLag{}
	for _, m := range s.Members {
		if l := h.members.lags[m.ID]; l != nil {
			known[m.ID] = l
		}
	}
	h.members.lags = known
}

// reportLag logs a line if the member m has fallen behind or caught up.
func (h *Server) reportLag(now time.Time, s repl.GroupStatus, m repl.MemberStatus) {
	lag := h.members.lags[m.ID]
	if lag == nil {
		lag = &memberLag{}
		h.members.lags[m.ID] = lag
	}
	change, behind := lag.update(now, m.Confirmed, s.LastIndex)
	switch change {
	case fellBehind:
		h.memberLog(s, m).WithField("ms", behind.Milliseconds()).Warn("control replica is behind")
	case caughtUp:
		h.memberLog(s, m).WithField("ms", behind.Milliseconds()).Info("control replica has caught up")
	}
}

// memberLog returns a logger with what the leader knows of a member and of the voters.
func (h *Server) memberLog(s repl.GroupStatus, m repl.MemberStatus) *logrus.Entry {
	return h.conf.Log.WithFields(logrus.Fields{
		"replica": h.identity.ID, "member": m.ID, "vm": m.VM, "voter": m.Voter, "entries": s.EntriesBehind(m), "bytes": m.BytesBehind,
		"state": m.State, "inFlight": m.InFlight, "silenceMs": m.Silence.Milliseconds(), "liveVoters": s.LiveVoters, "quorum": s.Quorum,
	})
}

// minRedundantMembers is the number of members from which on a group is meant to outlast
// the loss of one.
const minRedundantMembers = 3

// reportLossEndsGroup logs that one live voter more or less decides whether the group goes
// on, or no longer does.
func (h *Server) reportLossEndsGroup(now time.Time, s repl.GroupStatus) {
	ends := s.LossEndsGroup() && len(s.Members) >= minRedundantMembers
	if ends == h.members.lossEndsGroup {
		return
	}
	h.members.lossEndsGroup = ends
	silent, behind := []string{}, []string{}
	for _, m := range s.Members {
		if m.Voter && !m.Live {
			silent = append(silent, m.ID)
		}
		if m.Voter && m.BehindFor > 0 {
			behind = append(behind, m.ID)
		}
	}
	log := h.conf.Log.WithFields(logrus.Fields{"replica": h.identity.ID, "liveVoters": s.LiveVoters, "quorum": s.Quorum, "silent": silent, "behind": behind})
	if ends {
		h.members.lossSince = now
		log.Warn("loss of one more control VM would end the control group")
		return
	}
	log.WithField("ms", now.Sub(h.members.lossSince).Milliseconds()).Info("control group can lose a control VM again")
}

// setGauges sets the gauges, those of the lag to the member that is furthest behind in each,
// and the bytes in flight to those to all members.
func (h *Server) setGauges(s repl.GroupStatus) {
	values := map[string]int64{}
	for _, name := range []string{
		leadsMetric, votersMetric, membersBehindMetric, membersUnreachableMetric, entriesBehindMetric, bytesBehindMetric,
		behindMillisMetric, inFlightBytesMetric, lossEndsGroupMetric,
	} {
		values[name] = 0
	}
	raise := func(name string, value int64) { values[name] = max(values[name], value) }
	for _, m := range s.Members {
		raise(entriesBehindMetric, int64(s.EntriesBehind(m)))
		raise(bytesBehindMetric, int64(m.BytesBehind))
		raise(behindMillisMetric, m.BehindFor.Milliseconds())
		values[inFlightBytesMetric] += int64(m.InFlight)
		values[votersMetric] += oneIf(m.Voter)
		values[membersBehindMetric] += oneIf(m.BehindFor > 0)
		values[membersUnreachableMetric] += oneIf(!m.Live)
	}
	values[leadsMetric] = oneIf(len(s.Members) > 0)
	values[lossEndsGroupMetric] = oneIf(h.members.lossEndsGroup)
	values[termMetric] = int64(h.rep.Term())
	for name, value := range values {
		h.conf.Gauge(name, value)
	}
}

// oneIf returns 1 if set is true, and 0 otherwise.
func oneIf(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// unknownTime stands in the log for a time that this replica doesn't know.
const unknownTime = -1

// logChanges logs the changes of the membership that this replica has made as the leader.
func (h *Server) logChanges(changes []repl.MemberChange) {
	for _, c := range changes {
		log := h.conf.Log.WithFields(logrus.Fields{"replica": h.identity.ID, "member": c.Member.ID, "vm": c.Member.VM, "membershipIndex": c.Index})
		switch c.Kind {
		case repl.MemberJoined:
			log.Info("control replica joins its group as a learner")
		case repl.MemberPromoted:
			log.WithField("joinedMs", h.sinceJoin(c)).Info("control replica becomes a voter: it has caught up")
		case repl.MemberReplaced:
			log.WithField("joinedMs", h.sinceJoin(c)).Info("control replica is removed: another one runs on its VM")
		case repl.MemberSilent:
			log.WithFields(logrus.Fields{"joinedMs": h.sinceJoin(c), "silenceMs": c.Silence.Milliseconds()}).Info("control replica is removed: it does not answer")
		}
	}
}

// sinceJoin returns the time in milliseconds since a member has joined the group.
func (h *Server) sinceJoin(c repl.MemberChange) int64 {
	joined := h.watch.known[c.Member.ID]
	if joined.IsZero() {
		return unknownTime
	}
	return time.Since(joined).Milliseconds()
}
