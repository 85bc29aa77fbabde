package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// longPlay is three VMs before engines, one of which crashes now and then under a prompt of many
// parts that all requests share but one.
type longPlay struct {
	r      *rand.Rand
	vms    [3]Table
	common []string
	now    float64
	served int
}

// request returns the parts of a request, with the part "bad" at an index of them if it is not
// negative.
func (p *longPlay) request(bad int) []string {
	p.served++
	parts := append([]string{Fingerprint(fmt.Sprint(p.served))}, p.common...)
	if bad >= 0 {
		parts = slices.Insert(parts, 1+bad, "bad")
	}
	return parts
}

// exchange lets each VM learn what the others know, in three rounds.
func (p *longPlay) exchange(acked *[3][3]uint64) {
	for range 3 {
		for from := range p.vms {
			for to := range p.vms {
				if from != to {
					u := p.vms[from].ShareSince(at(p.now), acked[from][to])
					acked[from][to] = u.Changes
					p.vms[to].Merge(at(p.now), u)
				}
			}
		}
	}
}

// TestPartOfLongPromptIsFound guards against a part that crashes engines and is never found, or
// found in place of others, because its prompts have many parts.
func TestPartOfLongPromptIsFound(t *testing.T) {
	for _, n := range []int{1, 31, 32, 40, 63, 300, 496, 3000} {
		for _, bad := range []int{0, n / 2, n} {
			for _, sound := range []int{0, 5} {
				p := &longPlay{r: rand.New(rand.NewPCG(uint64(n), 1))}
				for i := range n {
					p.common = append(p.common, fmt.Sprintf("part%d", i))
				}
				for i := range p.vms {
					// Sound requests have come before.
					p.vms[i].Survived(at(-1), p.request(-1))
				}
				var acked [3][3]uint64
				for i := range 4 {
					p.vms[i%3].Lost(at(p.now), p.request(bad), crash(i), true)
					for vm := range p.vms {
						for range sound {
							p.vms[vm].Lost(at(p.now), p.request(-1), crash(i), true)
						}
					}
					p.now += 0.6
					p.vms[p.r.IntN(3)].Survived(at(p.now), p.request(-1))
					p.exchange(&acked)
					p.now += 1.4
				}
				for vm := range p.vms {
					if q := p.vms[vm].Quarantines(); len(q) != 1 || q[0].Part != "bad" {
						t.Errorf("%d parts, the %dth crashes engines, %d sound runs lost beside it: VM %d has %+v in quarantine, want that part alone", n+1, bad, sound, vm, q)
					}
				}
			}
		}
	}
}

// TestSplitKeepsSuspects checks which parts of a prompt count that has more than can be held against
// its request.
func TestSplitKeepsSuspects(t *testing.T) {
	var table Table
	parts := []string{Fingerprint("1")}
	for i := range 2 * Checked() {
		parts = append(parts, fmt.Sprintf("part%d", i))
	}
	suspect := parts[7]
	for _, part := range parts[1:] {
		if part != suspect {
			table.Survived(start, []string{part})
		}
	}
	seen := map[string]int{}
	for i, l := range table.split(parts) {
		l.Crash = crash(1)
		if !l.valid() || l.Parts[0] != parts[0] || (l.Cleared == 0) != (i == 0) {
			t.Errorf("loss %d: %d parts, the first is %q, cleared %b", i, len(l.Parts), l.Parts[0], l.Cleared)
		}
		for _, part := range l.Parts[1:] {
			seen[part]++
		}
	}
	if len(seen) != Checked()-1 || seen[suspect] != 1 || seen[parts[len(parts)-1]] != 1 {
		t.Errorf("%d parts count, want %d; the one that is not sound %d times, the last one %d times", len(seen), Checked()-1, seen[suspect], seen[parts[len(parts)-1]])
	}
}

// TestTellingLossesAreKept guards against evidence that is dropped for losses that say nothing
// when there are too many.
func TestTellingLossesAreKept(t *testing.T) {
	var table Table
	table.Survived(at(-1), []string{"sound"})
	table.Lost(at(0), []string{"bad"}, crash(0), true)
	for i := range 2 * maxLosses {
		table.Lost(at(0.001*float64(i+1)), []string{"sound"}, crash(i+1), false)
	}
	for i := range 2 {
		table.Lost(at(3+float64(i)), []string{"bad"}, crash(-1-i), true)
	}
	if _, held := table.Check(at(5), []string{"bad"}); !held || table.Dropped() == 0 {
		t.Errorf("the part is held: %t, %d losses were dropped; want it held though some were", held, table.Dropped())
	}
}

// TestLossesBeyondOneUpdate guards against losses that another VM never learns of, because there
// were more than one update holds.
func TestLossesBeyondOneUpdate(t *testing.T) {
	var a, b Table
	for i := range 3 * maxShared {
		a.Lost(at(0.001*float64(i)), []string{fmt.Sprintf("part%d", i)}, crash(i), true)
	}
	acked := uint64(0)
	for range 3 {
		u := a.ShareSince(at(1), acked)
		if len(u.Losses) > maxShared {
			t.Errorf("an update holds %d losses, want at most %d", len(u.Losses), maxShared)
		}
		b.Merge(at(1), u)
		acked = u.Changes
	}
	if len(b.losses) != 3*maxShared {
		t.Errorf("the other VM knows %d losses, want %d", len(b.losses), 3*maxShared)
	}
}
