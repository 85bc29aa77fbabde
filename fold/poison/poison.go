// Package poison finds the parts of prompts that crash engines, and keeps requests
// with such parts (poison messages) from engines.
//
// An engine that crashes loses all its runs. Those that it had just begun, or whose
// prompts it still read, may have been the cause, and each of the shared parts of
// their prompts. A part is cleared when a later run with it survives: that run got
// as far as the lost ones did not. A part that only lost runs have, in several
// crashes, is put in quarantine, and requests with it are rejected, but for a rare
// trial.
package poison

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// sameIncident is the time within which crashes count as one: the engines of a
	// failure domain may be lost together.
	sameIncident = 500 * time.Millisecond
	// begunWeight and waitingWeight are the weights of a crash as evidence against
	// the parts of a run that had begun its answer, and of one that had not.
	begunWeight   = 2
	waitingWeight = 1
	// furtherWeight is the weight of a further crash of the same incident.
	furtherWeight = 1
	// newPartLimit is the weight at which a part is put in quarantine. It is three
	// crashes under runs that had begun. A part with which runs survived before
	// needs soundPartLimit.
	newPartLimit   = 5
	soundPartLimit = 8
	// firstTrial is the time after the last crash at which a part in quarantine is
	// tried again. It doubles with each trial, up to maxTrialDoublings times.
	firstTrial        = 5 * time.Minute
	maxTrialDoublings = 4
	// retention is how long a loss counts. It is longer than the time between two
	// trials.
	retention = 3 * time.Hour
)

// Limits on the memory and on what is shared.
const (
	maxLosses     = 512
	maxRecent     = 4096
	maxName       = 64
	maxPartsShown = 32
)

// Crash identifies the end of one process of a backend server.
type Crash struct {
	Backend string
	Epoch   uint64
}

// Loss is a run that was lost in a crash before it had survived.
type Loss struct {
	// Parts holds the shared parts of the run's prompt, in their order.
	Parts []string
	Crash Crash
	// Begun is set if the engine had begun its answer.
	Begun bool
	// Age is the time since the loss.
	Age time.Duration
}

// Survival is the last run with a part that survived.
type Survival struct {
	Part string
	// Age is the time since then.
	Age time.Duration
}

// Quarantine says why requests with a part are rejected.
type Quarantine struct {
	Part string
	// Crashes is the number of crashes held against the part. Crashes within
	// sameIncident count once.
	Crashes int
	// LastLoss is when the last of them was.
	LastLoss time.Time
	// RetryAfter is the time until the part is tried again, set by Check.
	RetryAfter time.Duration
}

// Table holds what is known of the parts of prompts. The zero value is an empty
// table. It is not safe for concurrent use.
type Table struct {
	// losses holds the losses of the retention time, by lossKey.
	losses map[string]*loss
	// named holds the time of the last loss of each part in losses.
	named map[string]time.Time
	// survived holds when a run with a part last survived.
	survived recent
	// quarantines holds the parts in quarantine, as of the last evaluate.
	quarantines map[string]Quarantine
	// trials holds the trials of parts in quarantine.
	trials map[string]trial
	// lossChanged and survivalChanged hold when a loss or the survival of a part last
	// changed here. Recent changes are sent to other VMs.
	lossChanged     map[string]time.Time
	survivalChanged map[string]time.Time
}

// loss is a Loss with its time in place of its age.
type loss struct {
	parts []string
	crash Crash
	begun bool
	at    time.Time
}

type trial struct {
	count int
	last  time.Time
}

func lossKey(c Crash, parts []string) string {
	return c.Backend + "\x00" + strconv.FormatUint(c.Epoch, 10) + "\x00" + strings.Join(parts, "\x00")
}

// Lost records a run that was lost in a crash. It reports whether that is new
// evidence.
func (t *Table) Lost(now time.Time, parts []string, c Crash, begun bool) bool {
	if len(parts) == 0 {
		return false
	}
	isNew := t.add(now, Loss{Parts: parts, Crash: c, Begun: begun})
	if isNew {
		t.shareSurvivals(now, parts)
		t.evaluate(now)
	}
	return isNew
}

// add adds a loss, or notes that a known one had begun. It reports whether
// anything changed.
func (t *Table) add(now time.Time, l Loss) bool {
	t.init()
	key := lossKey(l.Crash, l.Parts)
	if known := t.losses[key]; known != nil {
		if known.begun || !l.Begun {
			return false
		}
		known.begun = true
		t.lossChanged[key] = now
		return true
	}
	at := now.Add(-l.Age)
	if now.Sub(at) >= retention {
		return false
	}
	t.prune(now)
	t.losses[key] = &loss{parts: slices.Clone(l.Parts), crash: l.Crash, begun: l.Begun, at: at}
	t.lossChanged[key] = now
	for _, part := range l.Parts {
		if at.After(t.named[part]) {
			t.named[part] = at
		}
	}
	return true
}

func (t *Table) init() {
	if t.losses == nil {
		t.losses = map[string]*loss{}
		t.named = map[string]time.Time{}
		t.quarantines = map[string]Quarantine{}
		t.trials = map[string]trial{}
		t.lossChanged = map[string]time.Time{}
		t.survivalChanged = map[string]time.Time{}
	}
}

// Survived records that a run with the given parts survived. It reports whether
// that clears a part of evidence.
func (t *Table) Survived(now time.Time, parts []string) bool {
	cleared := false
	for _, part := range parts {
		if t.survive(now, part, now) {
			cleared = true
		}
	}
	if cleared {
		t.evaluate(now)
	}
	return cleared
}

// survive records that a run with a part survived at the given time. It reports
// whether a loss of the part no longer counts.
func (t *Table) survive(now time.Time, part string, at time.Time) bool {
	last, _ := t.survived.get(part)
	if !at.After(last) {
		return false
	}
	t.survived.set(part, at)
	lost, named := t.named[part]
	if !named || lost.After(at) || last.After(lost) {
		return false
	}
	t.survivalChanged[part] = now
	return true
}

// shareSurvivals marks the known survivals of parts as changed, so that VMs that
// have none of their own learn that the parts were sound.
func (t *Table) shareSurvivals(now time.Time, parts []string) {
	for _, part := range parts {
		if _, ok := t.survived.get(part); ok {
			t.survivalChanged[part] = now
		}
	}
}

// Check returns the quarantine of the first of the given parts that is in
// quarantine, and whether there is one.
func (t *Table) Check(now time.Time, parts []string) (Quarantine, bool) {
	if len(t.quarantines) == 0 {
		return Quarantine{}, false
	}
	for _, part := range parts {
		if q, ok := t.quarantines[part]; ok {
			q.RetryAfter = max(t.nextTrial(q).Sub(now), time.Second)
			return q, true
		}
	}
	return Quarantine{}, false
}

// nextTrial returns when a part in quarantine may be tried again.
func (t *Table) nextTrial(q Quarantine) time.Time {
	tried := t.trials[q.Part]
	last := q.LastLoss
	if tried.last.After(last) {
		last = tried.last
	}
	return last.Add(firstTrial << min(tried.count, maxTrialDoublings))
}

// BeginTrial reports whether a request with a part in quarantine may be sent to an
// engine as a trial, and counts it as one.
func (t *Table) BeginTrial(now time.Time, q Quarantine) bool {
	if now.Before(t.nextTrial(q)) {
		return false
	}
	tried := t.trials[q.Part]
	t.trials[q.Part] = trial{count: tried.count + 1, last: now}
	return true
}

// Quarantines returns the parts in quarantine.
func (t *Table) Quarantines() []Quarantine {
	list := make([]Quarantine, 0, len(t.quarantines))
	for _, q := range t.quarantines {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return strings.Compare(a.Part, b.Part) })
	return list
}

// prune drops losses beyond the retention time, those that count against no part any
// more, and the oldest one if there are too many.
func (t *Table) prune(now time.Time) {
	oldest := ""
	for key, l := range t.losses {
		if now.Sub(l.at) >= retention || t.settled(now, key, l) {
			t.drop(key)
			continue
		}
		if oldest == "" || l.at.Before(t.losses[oldest].at) {
			oldest = key
		}
	}
	if len(t.losses) >= maxLosses {
		t.drop(oldest)
	}
	t.pruneNames()
}

// settled reports whether a loss counts against no part and need not be sent any
// more.
func (t *Table) settled(now time.Time, key string, l *loss) bool {
	if now.Sub(t.lossChanged[key]) < shareTime {
		return false
	}
	return !slices.ContainsFunc(l.parts, func(part string) bool {
		at, ok := t.survived.get(part)
		return !ok || l.at.After(at)
	})
}

func (t *Table) drop(key string) {
	delete(t.losses, key)
	delete(t.lossChanged, key)
}

// pruneNames drops what is kept of parts that no loss names any more.
func (t *Table) pruneNames() {
	names := map[string]bool{}
	for _, l := range t.losses {
		for _, part := range l.parts {
			names[part] = true
		}
	}
	for part := range t.named {
		if !names[part] {
			delete(t.named, part)
			delete(t.trials, part)
			delete(t.survivalChanged, part)
		}
	}
}
