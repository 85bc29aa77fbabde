package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/poison"
)

// PromptLost records that an engine crashed under a run that had not survived. parts
// are the shared parts of its prompt; begun is set if the engine had begun its
// answer. An engine that is leaving ends its runs without a crash.
func (n *Node) PromptLost(parts []string, b member.Backend, begun bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if current, ok := n.table.Get(b.ID); ok && current.Leaving {
		return
	}
	crash, dropped := poison.Crash{Backend: b.ID, Epoch: b.Epoch}, n.poison.Dropped()
	if !n.poison.Lost(time.Now(), parts, crash, begun) {
		return
	}
	n.Count("poison.losses", 1)
	n.logLoss(poison.Loss{Parts: parts, Crash: crash, Begun: begun})
	n.logDroppedLosses(n.poison.Dropped() - dropped)
	n.logQuarantines()
	n.gossipPromptUpdate("")
}

// PromptSurvived records that a run with the given shared parts got further than lost
// ones do.
func (n *Node) PromptSurvived(parts []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clearLosses(n.poison.Survived(time.Now(), parts))
}

// EngineAnswered records that an engine has sent something to a run, so that it has
// not crashed just before.
func (n *Node) EngineAnswered(b member.Backend) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clearLosses(n.poison.Answered(time.Now(), poison.Crash{Backend: b.ID, Epoch: b.Epoch}))
}

// clearLosses counts, logs and gossips that parts of prompts were cleared of
// evidence. The caller holds the lock.
func (n *Node) clearLosses(cleared bool) {
	if !cleared {
		return
	}
	n.Count("poison.cleared", 1)
	if n.logQuarantines() {
		n.gossipPromptUpdate("")
	}
}

// Quarantine returns why a forwarded request of a service must not be sent to an
// engine, if a part of its prompt is in quarantine. The placement VM of the service
// lets a rare request pass as a trial.
func (n *Node) Quarantine(service string, parts []string) (poison.Quarantine, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.checkQuarantine(parts, func(now time.Time) bool {
		// One VM of the region, even if each failure domain has a placement VM, or none.
		return n.RequestPlacement == nil || n.placementVM(now, service, "").ID == n.Settings.ID
	})
}

// GenerationQuarantine is Quarantine for a generation of a model. Its scheduler makes
// the trials.
func (n *Node) GenerationQuarantine(model string, parts []string) (poison.Quarantine, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.checkQuarantine(parts, func(now time.Time) bool {
		scheduler, ok := n.group.Scheduler(now, model)
		return ok && scheduler.ID == n.Settings.ID
	})
}

// checkQuarantine returns the quarantine of a part, unless a trial is due and this VM
// makes the trials. The caller holds the lock.
func (n *Node) checkQuarantine(parts []string, makesTrials func(now time.Time) bool) (poison.Quarantine, bool) {
	now := time.Now()
	q, ok := n.poison.Check(now, parts)
	if !ok {
		return q, false
	}
	if makesTrials(now) && n.poison.BeginTrial(now, q) {
		n.Count("poison.trials", 1)
		n.Log.WithFields(quarantineFields(q)).Warn("prompt part in quarantine is tried again")
		return q, false
	}
	n.Count("poison.refused", 1)
	return q, true
}

// ReceivePromptUpdate applies the update of another VM on parts of prompts.
func (n *Node) ReceivePromptUpdate(u poison.Update, from string) {
	if u.Empty() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if invalid := u.Invalid(); invalid > 0 {
		n.Count("poison.invalid", int64(invalid))
		n.Log.WithFields(logrus.Fields{"from": from, "entries": invalid}).Warn("update on prompts has entries that can't be valid; ignoring these")
	}
	dropped := n.poison.Dropped()
	changed := n.poison.Merge(time.Now(), u)
	n.logDroppedLosses(n.poison.Dropped() - dropped)
	n.Count("poison.learned", int64(len(changed)))
	n.logQuarantines()
	if len(changed) > 0 {
		n.gossipPromptUpdate(from)
	}
}

// HeldPrompts returns the losses that hold parts of prompts in quarantine.
func (n *Node) HeldPrompts() poison.Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.poison.Held(time.Now())
}

// OnQuarantineChange sets the function that is called when a part enters or leaves
// quarantine. It is called with the lock held and must not block.
func (n *Node) OnQuarantineChange(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quarantineChanged = f
}

// promptGossipInterval is the least time between two updates on prompts that a VM sends
// to others at once. A server that breaks off its responses causes many losses a second,
// and each VM that learns of one passes it on. Quarantine needs three crashes of a server,
// which takes seconds to be back after each.
const promptGossipInterval = 300 * time.Millisecond

// gossipPromptUpdate sends what has changed to other VMs, at once or, if such an update was
// sent within promptGossipInterval, at its end. from is the VM that the change came from,
// empty for this one. The caller holds the lock.
func (n *Node) gossipPromptUpdate(from string) {
	g := &n.promptGossip
	switch {
	case !g.pending:
		g.pending, g.from = true, from
		n.Clock.At(g.last.Add(promptGossipInterval), n.sendPromptUpdate)
	case g.from != from:
		// An update of this VM itself is sent to all that one from another VM is.
		g.from = ""
	}
}

// sendPromptUpdate sends the update that gossipPromptUpdate has asked for.
func (n *Node) sendPromptUpdate(now time.Time) {
	n.mu.Lock()
	g := &n.promptGossip
	g.pending, g.last = false, now
	to := n.group.UrgentTargets(now, g.from, n.random)
	n.mu.Unlock()
	n.Gossip(to)
}

// promptGossip is the state of the updates on prompts that are sent to other VMs at once.
type promptGossip struct {
	// last is when one was last sent. pending is set if one is due, for a change from the
	// VM from.
	last    time.Time
	pending bool
	from    string
}

// promptAck is what another VM has applied of this VM's updates on prompts.
type promptAck struct {
	epoch, changes uint64
}

// promptUpdateFor returns the update on prompts for the VM id. The caller holds the lock.
func (n *Node) promptUpdateFor(now time.Time, id string) poison.Update {
	since := uint64(0)
	if p, ok := n.group.Peer(id); ok {
		if ack := n.promptAcks[id]; ack.epoch == p.Epoch {
			since = ack.changes
		}
	}
	return n.poison.ShareSince(now, since)
}

// recordPromptUpdate records that the VM id has applied the update with the given number of
// changes. The caller holds the lock.
func (n *Node) recordPromptUpdate(id string, changes uint64) {
	p, ok := n.group.Peer(id)
	if !ok {
		delete(n.promptAcks, id)
		return
	}
	if ack := n.promptAcks[id]; ack.epoch == p.Epoch && ack.changes >= changes {
		return
	}
	if n.promptAcks == nil || len(n.promptAcks) >= maxPromptAcks {
		n.promptAcks = map[string]promptAck{}
	}
	n.promptAcks[id] = promptAck{epoch: p.Epoch, changes: changes}
}

// maxPromptAcks bounds the VMs of which it is remembered what they have applied, many of
// which may be gone. Once they are forgotten, the next update repeats recent changes.
const maxPromptAcks = 2048

// logLoss logs evidence against the parts of a prompt that this VM has seen itself. What it
// learns from others is counted: with a line for each, one loss gave a line at every VM.
func (n *Node) logLoss(l poison.Loss) {
	fields := logrus.Fields{
		"parts": LoggedParts(l.Parts), "partCount": len(l.Parts), "backend": l.Crash.Backend, "epoch": l.Crash.Epoch, "begun": l.Begun,
	}
	if unchecked := len(l.Parts) - poison.Checked(); unchecked > 0 {
		n.Count("poison.uncheckedParts", int64(unchecked))
		fields["unchecked"] = unchecked
	}
	n.Log.WithFields(fields).Info("engine crashed under a prompt")
}

// droppedLogInterval is the least time between two log lines about losses that were forgotten.
const droppedLogInterval = 4 * time.Second

// droppedLosses counts the losses that were forgotten since the last log line about them.
type droppedLosses struct {
	count    int
	loggedAt time.Time
}

// logDroppedLosses logs and counts losses that were forgotten because there are too many. The
// caller holds the lock.
func (n *Node) logDroppedLosses(dropped int) {
	if dropped == 0 {
		return
	}
	n.Count("poison.lossesDropped", int64(dropped))
	d := &n.droppedLosses
	d.count += dropped
	if time.Since(d.loggedAt) < droppedLogInterval {
		return
	}
	n.Log.WithField("dropped", d.count).Warn("more runs were lost in crashes than this VM remembers; forgetting the oldest")
	*d = droppedLosses{loggedAt: time.Now()}
}

// LoggedParts returns what a log line names of the parts of a prompt: as many as a prompt usually
// has, from its end, where a part is in fewer prompts.
func LoggedParts(parts []string) []string { return parts[max(len(parts)-poison.MaxParts, 0):] }

// logQuarantines logs the parts that entered or left quarantine since it was last
// called, and reports whether there are any. The caller holds the lock.
func (n *Node) logQuarantines() bool {
	list := n.poison.Quarantines()
	if len(list) == 0 && len(n.quarantined) == 0 {
		return false
	}
	before := n.quarantined
	n.quarantined = map[string]poison.Quarantine{}
	changed := false
	for _, q := range list {
		n.quarantined[q.Part] = q
		if _, known := before[q.Part]; !known {
			changed = true
			n.Log.WithFields(quarantineFields(q)).Warn("prompt part crashes engines; put in quarantine")
		}
	}
	for part, q := range before {
		if _, still := n.quarantined[part]; !still {
			changed = true
			n.Log.WithFields(quarantineFields(q)).Warn("prompt part left quarantine")
		}
	}
	if changed && n.quarantineChanged != nil {
		n.quarantineChanged()
	}
	return changed
}

func quarantineFields(q poison.Quarantine) logrus.Fields {
	return logrus.Fields{"part": q.Part, "crashes": q.Crashes, "lastLossAgeMs": time.Since(q.LastLoss).Milliseconds()}
}
