package poison

import (
	"slices"
	"time"
)

const (
	// shareTime is how long a change is sent to other VMs. It is several times the
	// time in which an exchange reaches all of them.
	shareTime = 10 * time.Second
	// lossesPerQuarantine is the number of losses of a part in quarantine that are
	// always sent, so that a VM that has just started learns of it.
	lossesPerQuarantine = 8
	// maxShared bounds the losses and the survivals that are sent at once.
	maxShared = 128
)

// Update holds what one VM knows of parts of prompts, for the others.
type Update struct {
	Losses    []Loss
	Survivals []Survival
}

// Share returns the update for other VMs: recent changes, and the newest losses of
// the parts in quarantine.
func (t *Table) Share(now time.Time) Update {
	if len(t.losses) == 0 {
		return Update{}
	}
	var u Update
	for _, l := range t.lossesToShare(now) {
		u.Losses = append(u.Losses, l.export(now))
	}
	for part, changed := range t.survivalChanged {
		if now.Sub(changed) >= shareTime {
			delete(t.survivalChanged, part)
			continue
		}
		if at, ok := t.survived.get(part); ok && len(u.Survivals) < maxShared {
			u.Survivals = append(u.Survivals, Survival{Part: part, Age: max(now.Sub(at), 0)})
		}
	}
	return u
}

// Held returns the newest losses of the parts in quarantine, which a VM needs to put
// them in quarantine again.
func (t *Table) Held(now time.Time) Update {
	var u Update
	for _, l := range t.lossesToShare(now) {
		if slices.ContainsFunc(l.parts, t.inQuarantine) {
			u.Losses = append(u.Losses, l.export(now))
		}
	}
	return u
}

func (t *Table) inQuarantine(part string) bool {
	_, ok := t.quarantines[part]
	return ok
}

func (l *loss) export(now time.Time) Loss {
	return Loss{Parts: l.parts, Crash: l.crash, Begun: l.begun, Age: max(now.Sub(l.at), 0)}
}

// lossesToShare returns the losses for other VMs, the newest first.
func (t *Table) lossesToShare(now time.Time) []*loss {
	var all []*loss
	changedLately := map[*loss]bool{}
	for key, l := range t.losses {
		all = append(all, l)
		changedLately[l] = now.Sub(t.lossChanged[key]) < shareTime
	}
	slices.SortFunc(all, func(a, b *loss) int { return b.at.Compare(a.at) })
	count := map[string]int{}
	var out []*loss
	for _, l := range all {
		if len(out) == maxShared {
			break
		}
		keep := changedLately[l]
		for _, part := range l.parts {
			if t.inQuarantine(part) && count[part] < lossesPerQuarantine {
				count[part]++
				keep = true
			}
		}
		if keep {
			out = append(out, l)
		}
	}
	return out
}

// Merge applies the update of another VM. It returns the losses that are new here.
// Entries that can't be valid are left out.
func (t *Table) Merge(now time.Time, u Update) []Loss {
	var added []Loss
	changed := false
	for _, s := range u.Survivals {
		if validName(s.Part) && s.Age >= 0 && t.mergeSurvival(now, s) {
			changed = true
		}
	}
	for _, l := range u.Losses {
		if !l.valid() {
			continue
		}
		if t.add(now, l) {
			added = append(added, l)
			t.shareSurvivals(now, l.Parts)
			continue
		}
		t.correct(now, l)
	}
	if changed || len(added) > 0 {
		t.evaluate(now)
	}
	return added
}

// mergeSurvival applies a survival at another VM.
func (t *Table) mergeSurvival(now time.Time, s Survival) bool {
	_, known := t.survived.get(s.Part)
	cleared := t.survive(now, s.Part, now.Add(-s.Age))
	return cleared || !known
}

// correct marks the survival of parts as changed if another VM still sends a loss
// that no longer counts against them.
func (t *Table) correct(now time.Time, l Loss) {
	at := now.Add(-l.Age)
	for _, part := range l.Parts {
		if survived, ok := t.survived.get(part); ok && survived.After(at) {
			if _, changedLately := t.survivalChanged[part]; !changedLately {
				t.survivalChanged[part] = now
			}
		}
	}
}

func (l *Loss) valid() bool {
	return len(l.Parts) > 0 && len(l.Parts) <= maxPartsShown && !slices.ContainsFunc(l.Parts, func(p string) bool { return !validName(p) }) &&
		validName(l.Crash.Backend) && l.Age >= 0
}

func validName(name string) bool { return name != "" && len(name) <= maxName }
