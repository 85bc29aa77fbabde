package poison

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a part with the evidence against it.
type suspect struct {
	part string
	// weight is the sum of the weights of the incidents, and limit the weight at
	// which the part is put in quarantine.
	weight, limit int
	// incidents is the number of crashes, those within sameIncident counted once.
	incidents int
	lastLoss  time.Time
	// position is the highest position of the part in a prompt.
	position int
}

// evaluate finds the parts to put in quarantine. One part explains all losses of
// runs that had it: it takes the part with the strongest evidence first, and holds
// against the other parts only the losses that it does not explain.
func (t *Table) evaluate(now time.Time) {
	t.prune(now)
	clear(t.quarantines)
	open := make([]*loss, 0, len(t.losses))
	for _, l := range t.losses {
		open = append(open, l)
	}
	slices.SortFunc(open, func(a, b *loss) int { return a.at.Compare(b.at) })
	for {
		s, ok := t.strongest(open)
		if !ok {
			return
		}
		t.quarantines[s.part] = Quarantine{Part: s.part, Crashes: s.incidents, LastLoss: s.lastLoss}
		open = unexplained(open, s.part)
	}
}

// unexplained returns the losses of runs that did not have a part.
func unexplained(losses []*loss, part string) []*loss {
	explained := map[run]bool{}
	for _, l := range losses {
		if slices.Contains(l.parts, part) {
			explained[l.run()] = true
		}
	}
	return slices.DeleteFunc(losses, func(l *loss) bool {
		return slices.Contains(l.parts, part) || l.run() != run{} && explained[l.run()]
	})
}

// run identifies a lost run that may have several losses. It is zero for one without a
// fingerprint.
type run struct {
	crash       Crash
	fingerprint string
}

func (l *loss) run() run {
	if !isFingerprint(l.parts[0]) {
		return run{}
	}
	return run{crash: l.crash, fingerprint: l.parts[0]}
}

// strongest returns the suspect with the most evidence among those that have
// reached their limit. Losses are in the order of their times.
func (t *Table) strongest(losses []*loss) (suspect, bool) {
	var best suspect
	for _, s := range t.suspects(losses) {
		if s.weight >= s.limit && (best.part == "" || s.compare(best) > 0) {
			best = s
		}
	}
	return best, best.part != ""
}

// compare orders suspects by their evidence. Of two with the same evidence, the one
// that is not known as sound counts as stronger, and then the one further back in
// the prompt: a part at the front is shared by more requests, of which none would
// have survived.
func (s suspect) compare(other suspect) int {
	return cmp.Or(
		cmp.Compare(s.weight-s.limit, other.weight-other.limit),
		cmp.Compare(s.position, other.position),
		cmp.Compare(s.part, other.part),
	)
}

// suspects returns the parts of the losses with the evidence against them.
func (t *Table) suspects(losses []*loss) []suspect {
	byPart := map[string][]*loss{}
	position := map[string]int{}
	for _, l := range losses {
		for i, part := range l.parts {
			if !l.counts(i) {
				continue
			}
			byPart[part] = append(byPart[part], l)
			position[part] = max(position[part], l.position(i))
		}
	}
	out := make([]suspect, 0, len(byPart))
	for part, list := range byPart {
		sound := t.sound(part)
		s := weigh(list, sound, isFingerprint(part))
		s.part, s.position, s.limit = part, position[part], newPartLimit
		if sound {
			s.limit = soundPartLimit
		}
		out = append(out, s)
	}
	return out
}

// position returns a number that is higher for parts further back in the prompt of the lost
// run. Of several losses of a run, the one in which its fingerprint counts has the last parts.
func (l *loss) position(i int) int {
	if isFingerprint(l.parts[0]) && l.counts(0) {
		return MaxParts + i
	}
	return i
}

// weigh sums up the evidence of losses, which are in the order of their times.
// Each crash counts once, by its first loss, and an incident by its heaviest one.
// Further crashes of an incident count a little against a part that is not known as
// sound: it is rare, and so are several of its runs among those lost together. Each loss
// of the same request weighs as much as one that had begun: in a queue, a request is lost
// to a crash of another's once, but hardly to several. So do further crashes of an
// incident, as it may have been sent again after each.
func weigh(losses []*loss, sound, sameRequest bool) suspect {
	var s suspect
	var incidentStart time.Time
	incidentWeight := 0
	crashes := map[Crash]bool{}
	for _, l := range losses {
		weight := waitingWeight
		if l.begun || sameRequest {
			weight = begunWeight
		}
		sameIncidentAsBefore := s.incidents > 0 && l.at.Sub(incidentStart) < sameIncident
		switch {
		case sameIncidentAsBefore:
			s.weight += max(weight-incidentWeight, 0)
			incidentWeight = max(weight, incidentWeight)
			switch {
			case sound || crashes[l.crash]:
			case sameRequest:
				s.weight += begunWeight
			default:
				s.weight += furtherWeight
			}
		case crashes[l.crash]:
			// A loss that was noticed late.
			continue
		default:
			s.weight += weight
			s.incidents++
			incidentStart, incidentWeight = l.at, weight
		}
		crashes[l.crash] = true
		s.lastLoss = l.at
	}
	return s
}
