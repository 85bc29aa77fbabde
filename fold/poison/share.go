package poison

import (
	"cmp"
	"slices"
	"time"

	"fuchsiafold.example/fold/member"
)

const (
	// shareTime is how long a change is sent to other VMs. It is several times the
	// time in which an exchange reaches all of them.
	shareTime = 10 * time.Second
	// lossesPerQuarantine is the number of losses of a part in quarantine that are
	// always sent, so that a VM that has just started learns of it.
	lossesPerQuarantine = 8
	// maxShared bounds the losses and the sound parts that are sent at once.
	maxShared = 128
)

// Update holds what one VM knows of parts of prompts, for the others.
type Update struct {
	Losses []Loss
	// Sound holds parts of losses with which runs survived before.
	Sound []string
	// Changes is the number of changes, as ShareSince counts them, that a VM has once it
	// has applied the update. It is not sent.
	Changes uint64
}

// Empty reports whether the update holds nothing.
func (u *Update) Empty() bool { return len(u.Losses) == 0 && len(u.Sound) == 0 }

// Changes returns the number of changes so far.
func (t *Table) Changes() uint64 { return t.changes }

// Share returns the update for another VM of which nothing is known: recent changes, and
// the newest losses of the parts in quarantine.
func (t *Table) Share(now time.Time) Update { return t.ShareSince(now, 0) }

// ShareSince returns the update for a VM that has applied an earlier one, whose Changes is
// since. While a server breaks off many responses, each exchange would otherwise
// repeat all losses of the last shareTime.
func (t *Table) ShareSince(now time.Time, since uint64) Update {
	if len(t.losses) == 0 {
		return Update{Changes: t.changes}
	}
	u := Update{Changes: t.changes}
	var losses []*loss
	for _, l := range t.lossesToShare(now) {
		if l.changed.number > since {
			losses = append(losses, l)
		}
	}
	if len(losses) > maxShared {
		// The rest follows in later updates, in the order of the changes.
		slices.SortFunc(losses, func(a, b *loss) int { return cmp.Compare(a.changed.number, b.changed.number) })
		u.Changes = losses[maxShared].changed.number - 1
		losses = losses[:maxShared]
	}
	for _, l := range losses {
		u.Losses = append(u.Losses, l.export(now))
	}
	var sound []string
	for part, changed := range t.soundChanged {
		if now.Sub(changed.at) >= shareTime {
			delete(t.soundChanged, part)
			continue
		}
		if changed.number > since {
			sound = append(sound, part)
		}
	}
	if len(sound) > maxShared {
		// The rest follows in later updates, in the order of the changes.
		slices.SortFunc(sound, func(a, b string) int {
			return cmp.Compare(t.soundChanged[a].number, t.soundChanged[b].number)
		})
		u.Changes = min(u.Changes, t.soundChanged[sound[maxShared]].number-1)
		sound = sound[:maxShared]
	}
	u.Sound = sound
	return u
}

// Held returns the newest losses of the parts in quarantine, which a VM needs to put
// them in quarantine again.
func (t *Table) Held(now time.Time) Update {
	var u Update
	for _, l := range t.lossesToShare(now) {
		if !slices.ContainsFunc(l.parts, t.inQuarantine) {
			continue
		}
		u.Losses = append(u.Losses, l.export(now))
		for _, part := range l.parts {
			if t.sound(part) && !slices.Contains(u.Sound, part) {
				u.Sound = append(u.Sound, part)
			}
		}
	}
	return u
}

func (t *Table) inQuarantine(part string) bool {
	_, ok := t.quarantines[part]
	return ok
}

func (l *loss) export(now time.Time) Loss {
	return Loss{Parts: l.parts, Crash: l.crash, Begun: l.begun, Cleared: l.cleared, Age: max(now.Sub(l.at), 0)}
}

// lossesToShare returns the losses for other VMs, the newest first.
func (t *Table) lossesToShare(now time.Time) []*loss {
	var all []*loss
	for _, l := range t.losses {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *loss) int { return b.at.Compare(a.at) })
	count := map[string]int{}
	var out []*loss
	for _, l := range all {
		keep := now.Sub(l.changed.at) < shareTime
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

// Invalid returns the number of entries that can't be valid.
func (u *Update) Invalid() int {
	n := 0
	for _, part := range u.Sound {
		if !validName(part) {
			n++
		}
	}
	for _, l := range u.Losses {
		if !l.valid() {
			n++
		}
	}
	return n
}

// Merge applies the update of another VM. It returns the losses that are new or have
// changed here. Entries that can't be valid are left out.
func (t *Table) Merge(now time.Time, u Update) []Loss {
	var changed []Loss
	for _, part := range u.Sound {
		if validName(part) && !t.sound(part) {
			t.setSurvived(part, time.Time{})
		}
	}
	for _, l := range u.Losses {
		if l.valid() && t.add(now, l) {
			changed = append(changed, l)
		}
	}
	if len(u.Sound) > 0 || len(changed) > 0 {
		t.evaluate(now)
	}
	return changed
}

func (l *Loss) valid() bool {
	return len(l.Parts) > 0 && len(l.Parts) <= MaxParts && !slices.ContainsFunc(l.Parts, func(p string) bool { return !validName(p) }) &&
		member.CheckID(l.Crash.Backend) == nil && l.Age >= 0
}

// validName reports whether a text can be the name of a part.
func validName(name string) bool { return name != "" && len(name) <= maxName }
