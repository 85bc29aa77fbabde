package poison

import "slices"

// maxSplit bounds the losses of one run, and so the parts of a prompt that count.
const maxSplit = 16

// Checked returns the largest number of a request's parts, with its fingerprint, that are held
// against it if it is lost in a crash.
func Checked() int { return 1 + maxSplit*(MaxParts-1) }

// split returns the losses of a run with the given parts, without their crash. The first one
// has the last parts of the prompt. The fingerprint is in each, so that one that explains
// the loss of the run explains them all, and counts in the first one only.
func (t *Table) split(parts []string) []Loss {
	if len(parts) <= MaxParts {
		return []Loss{{Parts: parts}}
	}
	own := 0
	if isFingerprint(parts[0]) {
		own = 1
	}
	size := MaxParts - own
	rest := t.mostSuspect(parts[own:], maxSplit*size)
	var out []Loss
	for len(rest) > 0 {
		from := max(len(rest)-size, 0)
		l := Loss{Parts: slices.Concat(parts[:own], rest[from:])}
		if len(out) > 0 {
			l.Cleared = 1<<own - 1
		}
		out, rest = append(out, l), rest[:from]
	}
	return out
}

// mostSuspect returns n of the parts in their order, or all if there are fewer: those that are
// not known as sound first, and then those at the back of the prompt, which fewer requests share.
func (t *Table) mostSuspect(parts []string, n int) []string {
	if len(parts) <= n {
		return parts
	}
	chosen := make([]bool, len(parts))
	left := n
	for _, sound := range []bool{false, true} {
		for i := len(parts) - 1; i >= 0 && left > 0; i-- {
			if t.sound(parts[i]) == sound {
				chosen[i] = true
				left--
			}
		}
	}
	out := make([]string, 0, n)
	for i, part := range parts {
		if chosen[i] {
			out = append(out, part)
		}
	}
	return out
}
