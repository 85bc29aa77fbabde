// Package poison finds what crashes engines and other backend servers, and keeps
// requests with it (poison messages) from them: a part that the prompts of several
// requests share, or one request that is sent again and again, which has a Fingerprint
// as one of its parts.
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
	// admitted as a trial. The time doubles with each trial, up to maxTrialDoublings times.
	firstTrial        = 5 * time.Minute
	maxTrialDoublings = 4
	// minAliveAfter and maxAliveAfter bound the time after a loss in which an answer of
	// its engine shows that it has not crashed. What it sent before a crash may still
	// arrive within the first; it is not back within the second.
	minAliveAfter = 300 * time.Millisecond
	maxAliveAfter = 1500 * time.Millisecond
	// retention is how long a loss counts. It is longer than the time between two
	// trials.
	retention = 3 * time.Hour
)

// Limits on the memory and on what is shared.
const (
	maxLosses = 512
	// maxRecent bounds the parts of prompts with which runs survived that are remembered, and
	// maxRecentRequests the fingerprints, of which each request has another one.
	maxRecent         = 16_384
	maxRecentRequests = 4096
	// maxName bounds the name of a part in bytes.
	maxName = 64
)

// MaxParts is the largest number of parts of a Loss. A run with more has several.
const MaxParts = 32

// Crash identifies the end of one process of a backend server.
type Crash struct {
	Backend string
	Epoch   uint64
}

// Loss is a run that was lost in a crash before it had survived. A run with more than MaxParts
// parts has several losses, each with its fingerprint and some of the other parts.
type Loss struct {
	// Parts holds the run's fingerprint, if it has one, and the shared parts of its prompt,
	// in their order.
	Parts []string
	Crash Crash
	// Begun is set if the engine had begun its answer.
	Begun bool
	// Cleared has bit i set if a run with part i survived after the loss, or if the
	// engine had not crashed.
	Cleared uint32
	// Age is the time since the loss.
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
	// RetryAfter is the time until the next trial of the part, set by Check.
	RetryAfter time.Duration
}

// Table holds what is known of the parts of prompts. The zero value is an empty
// table. It is not safe for concurrent use.
type Table struct {
	// losses holds the losses of the retention time, by lossKey.
	losses map[string]*loss
	// survived holds when a run with a part last survived at this VM, or the zero
	// time if only other VMs have seen that, and survivedRequests the same for fingerprints.
	survived         recent
	survivedRequests recent
	// quarantines holds the parts in quarantine, as of the last evaluate.
	quarantines map[string]Quarantine
	// trials holds the trials of parts in quarantine.
	trials map[string]trial
	// soundChanged holds the parts to name to other VMs as sound.
	soundChanged map[string]change
	// changes counts the changes of losses and of soundChanged.
	changes uint64
	// dropped is as Dropped returns it.
	dropped int
}

// change is the time of a change at this VM, and its number among all changes.
type change struct {
	at     time.Time
	number uint64
}

// newChange returns the next change.
func (t *Table) newChange(now time.Time) change {
	t.changes++
	return change{at: now, number: t.changes}
}

// loss is a Loss with its time in place of its age.
type loss struct {
	parts   []string
	crash   Crash
	begun   bool
	cleared uint32
	at      time.Time
	// changed is the last change of the loss here. Recent changes are sent to other VMs.
	changed change
}

// counts reports whether the loss counts against part i.
func (l *loss) counts(i int) bool { return l.cleared&(1<<i) == 0 }

// settled reports whether the loss counts against no part.
func (l *loss) settled() bool { return l.cleared == 1<<len(l.parts)-1 }

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
	isNew := false
	for _, l := range t.split(parts) {
		l.Crash, l.Begun = c, begun
		isNew = t.add(now, l) || isNew
	}
	if isNew {
		t.evaluate(now)
	}
	return isNew
}

// add adds a loss, or what is new of a known one. It reports whether anything
// changed.
func (t *Table) add(now time.Time, l Loss) bool {
	at := now.Add(-l.Age)
	if len(l.Parts) == 0 || len(l.Parts) > MaxParts || now.Sub(at) >= retention {
		return false
	}
	t.init()
	key := lossKey(l.Crash, l.Parts)
	known := t.losses[key]
	if known == nil {
		t.prune(now)
		known = &loss{parts: cloneAll(l.Parts), crash: l.Crash, begun: l.Begun, cleared: t.survivedSince(l.Parts, at), at: at, changed: t.newChange(now)}
		t.losses[key] = known
		t.shareSound(now, known.parts)
	}
	before := *known
	known.begun = known.begun || l.Begun
	known.cleared |= l.Cleared & (1<<len(l.Parts) - 1)
	if known.begun != before.begun || known.cleared != before.cleared || known.cleared&^l.Cleared != 0 && now.Sub(known.changed.at) >= shareTime {
		// The last is a VM that has missed what cleared the loss.
		known.changed = t.newChange(now)
	}
	return known.changed.at.Equal(now)
}

// cloneAll returns copies of the texts. A part of a request's header would keep the whole header
// in memory.
func cloneAll(texts []string) []string {
	out := make([]string, len(texts))
	for i, text := range texts {
		out[i] = strings.Clone(text)
	}
	return out
}

func (t *Table) init() {
	if t.losses == nil {
		t.losses = map[string]*loss{}
		t.quarantines = map[string]Quarantine{}
		t.trials = map[string]trial{}
		t.soundChanged = map[string]change{}
	}
}

// survivedSince returns the bits of the parts of which runs survived at this VM
// after a time.
func (t *Table) survivedSince(parts []string, at time.Time) uint32 {
	var cleared uint32
	for i, part := range parts {
		if survived, ok := t.survivals(part).get(part); ok && survived.After(at) {
			cleared |= 1 << i
		}
	}
	return cleared
}

// Survived records that a run with the given parts survived. It reports whether
// that clears a part of evidence.
func (t *Table) Survived(now time.Time, parts []string) bool {
	for _, part := range parts {
		t.setSurvived(part, now)
	}
	contains := containsIn(parts)
	return t.clear(now, func(l *loss) uint32 {
		var cleared uint32
		for i, part := range l.parts {
			if contains(part) {
				cleared |= 1 << i
			}
		}
		return cleared
	})
}

// containsIn returns a function that reports whether a part is among the given ones.
func containsIn(parts []string) func(part string) bool {
	if len(parts) <= MaxParts {
		return func(part string) bool { return slices.Contains(parts, part) }
	}
	set := make(map[string]struct{}, len(parts))
	for _, part := range parts {
		set[part] = struct{}{}
	}
	return func(part string) bool {
		_, ok := set[part]
		return ok
	}
}

// Answered records that an engine has sent something to a run. It reports whether
// that clears parts of evidence: an engine that answers shortly after a run was lost
// there has not crashed. Later on, it may have started again.
func (t *Table) Answered(now time.Time, c Crash) bool {
	return t.clear(now, func(l *loss) uint32 {
		if since := now.Sub(l.at); l.crash != c || since < minAliveAfter || since > maxAliveAfter {
			return 0
		}
		return 1<<len(l.parts) - 1
	})
}

// clear sets the given bits of each loss, and reports whether any was not set.
func (t *Table) clear(now time.Time, bits func(l *loss) uint32) bool {
	changed := false
	for _, l := range t.losses {
		if l.settled() {
			continue
		}
		if cleared := bits(l) &^ l.cleared; cleared != 0 {
			l.cleared |= cleared
			l.changed = t.newChange(now)
			changed = true
		}
	}
	if changed {
		t.evaluate(now)
	}
	return changed
}

// shareSound marks the parts with which runs survived as to be named to other VMs,
// which may know of none.
func (t *Table) shareSound(now time.Time, parts []string) {
	for _, part := range parts {
		if t.sound(part) {
			t.soundChanged[part] = t.newChange(now)
		}
	}
}

// sound reports whether a run with a part survived before, at any VM.
func (t *Table) sound(part string) bool {
	_, ok := t.survivals(part).get(part)
	return ok
}

// survivals returns what is remembered of parts like the given one.
func (t *Table) survivals(part string) *recent {
	if isFingerprint(part) {
		return &t.survivedRequests
	}
	return &t.survived
}

// setSurvived records that a run with a part survived.
func (t *Table) setSurvived(part string, at time.Time) {
	limit := maxRecent
	if isFingerprint(part) {
		limit = maxRecentRequests
	}
	t.survivals(part).set(part, at, limit)
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

// nextTrial returns when the next trial of a part in quarantine may begin.
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
// more, and one more if there are too many.
func (t *Table) prune(now time.Time) {
	for key, l := range t.losses {
		if now.Sub(l.at) >= retention || l.settled() && now.Sub(l.changed.at) >= shareTime {
			delete(t.losses, key)
		}
	}
	if len(t.losses) >= maxLosses {
		least := t.leastTelling()
		if !t.losses[least].settled() {
			t.dropped++
		}
		delete(t.losses, least)
	}
	t.pruneTrials()
}

// leastTelling returns the key of the loss to drop when there are too many: one that counts
// against no part, or else against none but sound ones, or else any; of these the oldest.
func (t *Table) leastTelling() string {
	least, leastRank := "", 0
	for key, l := range t.losses {
		rank := t.rank(l)
		if least == "" || rank < leastRank || rank == leastRank && l.at.Before(t.losses[least].at) {
			least, leastRank = key, rank
		}
	}
	return least
}

// rank returns how much a loss tells, for leastTelling.
func (t *Table) rank(l *loss) int {
	if l.settled() {
		return 0
	}
	for i, part := range l.parts {
		if l.counts(i) && !t.sound(part) {
			return 2
		}
	}
	return 1
}

// Dropped returns the number of losses that still counted against a part and were dropped so far
// because there were too many.
func (t *Table) Dropped() int { return t.dropped }

// pruneTrials drops the trials of parts that no loss names any more.
func (t *Table) pruneTrials() {
	for part := range t.trials {
		named := false
		for _, l := range t.losses {
			named = named || slices.Contains(l.parts, part)
		}
		if !named {
			delete(t.trials, part)
		}
	}
}
