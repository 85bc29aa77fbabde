package poison

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fuchsiafold.example/fold/member"
)

var start = time.Unix(1000, 0)

// at returns the time that many seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func crash(n int) Crash { return Crash{Backend: fmt.Sprint("e", n), Epoch: uint64(n)} }

func (t *Table) quarantined(parts ...string) bool {
	_, ok := t.Check(start, parts)
	return ok
}

func ExampleTable() {
	var t Table
	now := start
	for i := range 3 {
		now = now.Add(time.Second)
		t.Lost(now, []string{"common", "bad"}, crash(i), true)
		t.Survived(now.Add(time.Millisecond), []string{"common", "other"})
	}
	q, ok := t.Check(now, []string{"common", "bad"})
	fmt.Println(ok, q.Part, q.Crashes)
	_, ok = t.Check(now, []string{"common", "other"})
	fmt.Println(ok)
	// Output:
	// true bad 3
	// false
}

// TestPartAloneIsBlamed gives runs a front part in common, of which no VM knows that
// it is sound.
func TestPartAloneIsBlamed(t *testing.T) {
	var table Table
	for i := range 5 {
		table.Lost(at(float64(i)), []string{"front", "bad"}, crash(i), true)
	}
	if !table.quarantined("front", "bad") || table.quarantined("front", "other") {
		t.Errorf("quarantines %+v, want only \"bad\"", table.Quarantines())
	}
}

// TestSoundPartNeedsMoreEvidence checks that a part with which runs survived before
// is not blamed in place of one that nobody has seen survive.
func TestSoundPartNeedsMoreEvidence(t *testing.T) {
	var table Table
	table.Survived(at(-1), []string{"back"})
	for i := range 3 {
		table.Lost(at(float64(i)), []string{"bad", "back"}, crash(i), true)
	}
	if !table.quarantined("bad") || table.quarantined("back") {
		t.Errorf("quarantines %+v, want only \"bad\"", table.Quarantines())
	}
	var turned Table
	turned.Survived(at(-1), []string{"bad"})
	for i := range 4 {
		if turned.quarantined("bad") {
			t.Errorf("a part that was sound is in quarantine after %d crashes", i)
		}
		turned.Lost(at(float64(i)), []string{"bad"}, crash(i), true)
	}
	if !turned.quarantined("bad") {
		t.Error("a part that was sound is not in quarantine after four crashes")
	}
}

// TestEvidence checks how much evidence puts a part in quarantine.
func TestEvidence(t *testing.T) {
	type lost struct {
		at    float64
		crash int
		begun bool
	}
	tests := []struct {
		name   string
		losses []lost
		want   bool
	}{
		{"two crashes", []lost{{0, 1, true}, {1, 2, true}}, false},
		{"three crashes", []lost{{0, 1, true}, {1, 2, true}, {2, 3, true}}, true},
		{"three engines lost together", []lost{{0, 1, true}, {0.1, 2, true}, {0.2, 3, true}}, false},
		{"four engines lost together", []lost{{0, 1, true}, {0.1, 2, true}, {0.2, 3, true}, {0.3, 4, true}}, true},
		{"three losses in one crash", []lost{{0, 1, true}, {1, 1, true}, {2, 1, true}}, false},
		{"four crashes, prompt not read", []lost{{0, 1, false}, {1, 2, false}, {2, 3, false}, {3, 4, false}}, false},
		{"five crashes, prompt not read", []lost{{0, 1, false}, {1, 2, false}, {2, 3, false}, {3, 4, false}, {4, 5, false}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table Table
			for _, l := range tt.losses {
				table.Lost(at(l.at), []string{"p"}, crash(l.crash), l.begun)
			}
			if table.quarantined("p") != tt.want {
				t.Errorf("quarantines %+v, want one: %t", table.Quarantines(), tt.want)
			}
		})
	}
}

// TestSurvivalClears checks that a part leaves quarantine when a run with it survives.
func TestSurvivalClears(t *testing.T) {
	var table Table
	for i := range 3 {
		table.Lost(at(float64(i)), []string{"p"}, crash(i), true)
	}
	if !table.Survived(at(4), []string{"p"}) || table.quarantined("p") {
		t.Error("part is in quarantine after a run with it survived")
	}
	table.Lost(at(5), []string{"p"}, crash(5), true)
	if table.quarantined("p") {
		t.Error("losses before the survival count")
	}
}

// TestAnswerOfEngineClears checks which answers of an engine show that it has not
// crashed.
func TestAnswerOfEngineClears(t *testing.T) {
	tests := []struct {
		name    string
		crash   Crash
		after   float64
		cleared bool
	}{
		{"sent before the crash", crash(1), 0.1, false},
		{"still answers", crash(1), 0.5, true},
		{"may have started again", crash(1), 3, false},
		{"another engine", crash(2), 0.5, false},
		{"another start of the engine", Crash{Backend: "e1", Epoch: 9}, 0.5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table Table
			table.Lost(at(0), []string{"a", "b"}, crash(1), true)
			if got := table.Answered(at(tt.after), tt.crash); got != tt.cleared {
				t.Errorf("cleared: %t, want %t", got, tt.cleared)
			}
		})
	}
}

// TestTrials checks when the trials of a part in quarantine begin.
func TestTrials(t *testing.T) {
	var table Table
	for i := range 3 {
		table.Lost(at(float64(i)), []string{"p"}, crash(i), true)
	}
	now := at(2)
	for i, wait := range []time.Duration{5, 10, 20, 40, 80, 80} {
		q, ok := table.Check(now, []string{"p"})
		if !ok || q.RetryAfter != wait*time.Minute {
			t.Fatalf("trial %d: in quarantine %t, retry after %v; want %d min", i, ok, q.RetryAfter, wait)
		}
		if table.BeginTrial(now.Add(q.RetryAfter-1), q) {
			t.Errorf("trial %d begins early", i)
		}
		now = now.Add(q.RetryAfter)
		if !table.BeginTrial(now, q) {
			t.Errorf("trial %d does not begin", i)
		}
		table.Lost(now, []string{"p"}, crash(10+i), true)
	}
}

// exchange merges the update of each table into the other one.
func exchange(now time.Time, a, b *Table) {
	b.Merge(now, a.Share(now))
	a.Merge(now, b.Share(now))
}

// TestVMsAgree lets three VMs see one crash each, and a fourth that the front part of
// the prompts is sound.
func TestVMsAgree(t *testing.T) {
	var vms [4]Table
	vms[3].Survived(at(-5), []string{"front"})
	for i := range 3 {
		vms[i].Lost(at(float64(i)), []string{"front", "bad"}, crash(i), true)
		for j := range vms {
			if j != i {
				exchange(at(float64(i)+0.1), &vms[i], &vms[j])
			}
		}
	}
	for i := range vms {
		if !vms[i].quarantined("bad") || vms[i].quarantined("front") {
			t.Errorf("VM %d: quarantines %+v, want only \"bad\"", i, vms[i].Quarantines())
		}
		if !vms[i].sound("front") {
			t.Errorf("VM %d does not know that the front part was sound", i)
		}
	}
	var restarted Table
	exchange(at(60), &vms[0], &restarted)
	if !restarted.quarantined("bad") {
		t.Error("a VM that starts later does not know the quarantine")
	}
	vms[1].Survived(at(61), []string{"bad"})
	exchange(at(61.1), &vms[1], &vms[2])
	if vms[2].quarantined("bad") {
		t.Error("a VM does not know that the part was cleared")
	}
	exchange(at(100), &vms[2], &vms[0])
	exchange(at(100.1), &vms[2], &vms[0])
	if vms[0].quarantined("bad") || vms[2].quarantined("bad") {
		t.Error("a VM that was away brings a cleared part back")
	}
}

// TestUpdateEnds checks that settled losses are dropped and no longer shared.
func TestUpdateEnds(t *testing.T) {
	var table Table
	table.Lost(at(0), []string{"p"}, crash(1), true)
	table.Survived(at(1), []string{"p"})
	if u := table.Share(at(2)); len(u.Losses) != 1 || u.Losses[0].Cleared != 1 {
		t.Errorf("update %+v, want a loss that is cleared", u)
	}
	if u := table.Share(at(20)); !u.Empty() {
		t.Errorf("update %+v after 20 s, want an empty one", u)
	}
	table.Lost(at(30), []string{"q"}, crash(2), true)
	if len(table.losses) != 1 {
		t.Errorf("%d losses are kept, want only the one that counts", len(table.losses))
	}
}

// TestMalformedUpdateIsIgnored merges an update that no VM sends.
func TestMalformedUpdateIsIgnored(t *testing.T) {
	long := string(make([]byte, maxName+1))
	var table Table
	added := table.Merge(start, Update{
		Losses: []Loss{
			{Parts: nil, Crash: crash(1)}, {Parts: []string{""}, Crash: crash(1)}, {Parts: []string{long}, Crash: crash(1)},
			{Parts: []string{"p"}}, {Parts: []string{"p"}, Crash: crash(1), Age: -1}, {Parts: []string{"p"}, Crash: crash(1), Age: retention},
		},
		Sound: []string{"", long},
	})
	if len(added) != 0 || len(table.losses) != 0 || table.sound("") || table.sound(long) {
		t.Errorf("added %+v", added)
	}
}

// TestCrashesOfServersWithLongIDs guards against VMs that don't believe each other about crashes of
// servers whose IDs are long: each VM then had to see the crashes itself.
func TestCrashesOfServersWithLongIDs(t *testing.T) {
	for _, length := range []int{1, 64, 65, 73, 255} {
		id := strings.Repeat("i", length)
		if err := member.CheckID(id); err != nil {
			t.Fatal(err)
		}
		var vms [3]Table
		for i := range vms {
			vms[i].Lost(at(float64(i)), []string{"bad"}, Crash{Backend: id, Epoch: uint64(i + 1)}, true)
		}
		for i := range vms {
			for j := range vms {
				u := vms[j].Share(at(3))
				if n := u.Invalid(); n > 0 {
					t.Errorf("%d bytes: %d of %d losses can't be valid", length, n, len(u.Losses))
				}
				vms[i].Merge(at(3), u)
			}
			if !vms[i].quarantined("bad") {
				t.Errorf("IDs of %d bytes: VM %d has not put the part in quarantine after three crashes", length, i)
			}
		}
	}
}

// TestInvalidEntriesAreCounted guards against entries that are ignored without a word.
func TestInvalidEntriesAreCounted(t *testing.T) {
	long := strings.Repeat("x", 300)
	u := Update{
		Losses: []Loss{{Parts: []string{"p"}, Crash: crash(1)}, {Parts: []string{"p"}, Crash: Crash{Backend: long}}, {Parts: []string{long}, Crash: crash(1)}},
		Sound:  []string{"p", "", long},
	}
	if n := u.Invalid(); n != 4 {
		t.Errorf("%d invalid entries, want 4", n)
	}
}

// TestTableIsBounded adds more losses and parts than are kept.
func TestTableIsBounded(t *testing.T) {
	var table Table
	for i := range 3 * maxLosses {
		now := at(float64(i))
		table.Lost(now, []string{fmt.Sprint("p", i)}, crash(i), true)
	}
	if len(table.losses) > maxLosses {
		t.Errorf("%d losses, want at most %d", len(table.losses), maxLosses)
	}
	for i := range 3 * maxRecent {
		table.Survived(at(float64(i)), []string{fmt.Sprint("s", i)})
	}
	if n := len(table.survived.young) + len(table.survived.old); n > 2*maxRecent {
		t.Errorf("%d survivals are kept, want at most %d", n, 2*maxRecent)
	}
	if n := table.Share(at(3 * maxLosses)); len(n.Losses) > maxShared {
		t.Errorf("%d losses are shared, want at most %d", len(n.Losses), maxShared)
	}
	if !slices.IsSortedFunc(table.lossesToShare(at(3*maxLosses)), func(a, b *loss) int { return b.at.Compare(a.at) }) {
		t.Error("losses are not shared newest first")
	}
}

// An exchange must not repeat losses that its receiver has applied: while a server breaks off
// many responses, repeating them filled the links of small VMs.
func TestShareSinceRepeatsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	var a, b Table
	for i := range 40 {
		a.Lost(now, []string{fmt.Sprintf("request:%d", i)}, Crash{Backend: "s", Epoch: 1}, true)
	}
	first := a.ShareSince(now, 0)
	acked := a.Changes()
	b.Merge(now, first)
	if u := a.ShareSince(now.Add(time.Second), acked); !u.Empty() {
		t.Errorf("update for a VM that has everything holds %d losses", len(u.Losses))
	}
	a.Lost(now.Add(time.Second), []string{"request:new"}, Crash{Backend: "s", Epoch: 1}, true)
	u := a.ShareSince(now.Add(time.Second), acked)
	if len(u.Losses) != 1 {
		t.Fatalf("update after one more loss holds %d losses, want 1", len(u.Losses))
	}
	acked = a.Changes()
	a.Answered(now.Add(time.Second), Crash{Backend: "s", Epoch: 1})
	b.Merge(now.Add(time.Second), a.ShareSince(now.Add(time.Second), acked))
	for _, l := range b.losses {
		if l.parts[0] != "request:new" && !l.settled() {
			t.Errorf("loss of %v is not cleared at the other VM", l.parts)
		}
	}
}

// TestSoundPartsBeyondOneUpdate guards against sound parts that another VM never learns of,
// because there were more than one update holds.
func TestSoundPartsBeyondOneUpdate(t *testing.T) {
	now := time.Unix(1000, 0)
	var a, b Table
	for i := range 3 * maxShared {
		part := []string{fmt.Sprintf("request:%d", i)}
		a.Survived(now, part)
		a.Lost(now.Add(time.Second), part, Crash{Backend: "s", Epoch: 1}, true)
	}
	now = now.Add(time.Second)
	acked := uint64(0)
	for range 3 {
		u := a.ShareSince(now, acked)
		if len(u.Losses) > maxShared || len(u.Sound) > maxShared {
			t.Errorf("an update holds %d losses and %d sound parts, want at most %d", len(u.Losses), len(u.Sound), maxShared)
		}
		b.Merge(now, u)
		acked = u.Changes
	}
	for i := range 3 * maxShared {
		if part := fmt.Sprintf("request:%d", i); !b.sound(part) {
			t.Fatalf("%s is not sound at the other VM", part)
		}
	}
	if u := a.ShareSince(now, acked); !u.Empty() || u.Changes != a.Changes() {
		t.Errorf("a further update holds %d losses and %d sound parts", len(u.Losses), len(u.Sound))
	}
}
