// Package learn estimates what the scheduler can't know: how long answers
// will be, and how fast engines are. It learns online, starts sanely with
// nothing learned and forgets what no longer holds.
package learn

import "math"

// Buckets of answer lengths: bucket b holds the lengths from bounds[b] up to
// below bounds[b+1].
const (
	buckets = 48
	ratio   = 1.26
)

// MaxLength is the length at which the estimates end, in tokens.
const MaxLength = 65_536

var bounds = makeBounds()

func makeBounds() [buckets + 1]int {
	var b [buckets + 1]int
	x := 1.0
	for i := range b {
		b[i] = max(int(math.Round(x)), i+1)
		x *= ratio
	}
	b[buckets] = MaxLength
	return b
}

// bucketOf returns the bucket of a length of at least 1.
func bucketOf(length int) int {
	lo, hi := 0, buckets
	for lo+1 < hi {
		mid := (lo + hi) / 2
		if bounds[mid] <= length {
			lo = mid
			continue
		}
		hi = mid
	}
	return lo
}

// Constants of the estimates.
const (
	// memory is the number of answers after which an old one has lost 1-1/e of
	// its weight in a bucket.
	memory = 400.0
	// trust is the number of answers of its own at which a group counts as
	// much as the coarser group behind it.
	trust = 12.0
	// priorTrust is the weight, in answers, of the start with nothing learned.
	priorTrust = 4.0
)

// curve holds, for each bucket, how many answers reached it and how many of
// those ended in it. Answers that are still running count in the buckets that
// they have passed, so that short answers, which end first, do not count for
// more than their share.
type curve struct {
	reached [buckets]float64
	ended   [buckets]float64
}

func (c *curve) pass(b int, ended bool) {
	const keep = 1 - 1/memory
	c.reached[b] = c.reached[b]*keep + 1
	c.ended[b] *= keep
	if ended {
		c.ended[b]++
	}
}

// hazards returns the chance of ending in each bucket for an answer that has
// reached it, mixed with that of the coarser group.
func (c *curve) hazards(coarser *[buckets]float64, weight float64) [buckets]float64 {
	var h [buckets]float64
	for b := range h {
		h[b] = (c.ended[b] + weight*coarser[b]) / (c.reached[b] + weight)
	}
	return h
}

// prior is the chance of ending with nothing learned: about one answer in
// nine in each bucket, which gives a long tail.
func prior() *[buckets]float64 {
	const chance = 0.11
	var h [buckets]float64
	for b := range h {
		h[b] = chance
	}
	return &h
}

// Group names what an answer's length is learned for.
type Group struct {
	Workspace string
	Class     string
	Model     string
}

// coarser returns the groups that stand behind a group, finest first.
func (g Group) chain() [3]Group {
	return [3]Group{g, {Class: g.Class, Model: g.Model}, {Model: g.Model}}
}

// Lengths learns the lengths of answers for groups, each backed by coarser
// ones. The zero value is ready to use.
type Lengths struct {
	curves map[Group]*curve
	cache  map[Group]*Survival
	// stale counts the answers since the estimates were last made.
	stale map[Group]int
}

// maxGroups bounds the groups that are told apart; beyond it an answer counts
// for the coarser ones only.
const maxGroups = 50_000

func (l *Lengths) curve(g Group) *curve {
	c := l.curves[g]
	if c == nil && len(l.curves) < maxGroups {
		if l.curves == nil {
			l.curves = map[Group]*curve{}
		}
		c = &curve{}
		l.curves[g] = c
	}
	return c
}

// Progress counts an answer that has grown from one length to another.
func (l *Lengths) Progress(g Group, from, to int) {
	first, last := bucketOf(max(1, from)), bucketOf(max(1, to))
	if from == 0 {
		first = 0
	}
	for b := first; b < last; b++ {
		l.pass(g, b, false)
	}
}

// End counts an answer that ended by itself at a length, of which Progress
// has been told.
func (l *Lengths) End(g Group, length int) { l.pass(g, bucketOf(max(1, length)), true) }

func (l *Lengths) pass(g Group, b int, ended bool) {
	for _, k := range g.chain() {
		if c := l.curve(k); c != nil {
			c.pass(b, ended)
		}
		if ended {
			l.age(k)
		}
	}
}

// refresh is the number of ended answers after which an estimate is made anew.
const refresh = 8

func (l *Lengths) age(g Group) {
	if l.stale == nil {
		l.stale = map[Group]int{}
	}
	l.stale[g]++
	if l.stale[g] >= refresh {
		delete(l.stale, g)
		delete(l.cache, g)
	}
}

// Survival returns the estimate for a group.
func (l *Lengths) Survival(g Group) *Survival {
	if s := l.cache[g]; s != nil {
		return s
	}
	chain := g.chain()
	h := *prior()
	weight := priorTrust
	for i := len(chain) - 1; i >= 0; i-- {
		if c := l.curves[chain[i]]; c != nil {
			h = c.hazards(&h, weight)
		}
		weight = trust
	}
	s := newSurvival(&h)
	if l.cache == nil {
		l.cache = map[Group]*Survival{}
	}
	if len(l.cache) >= maxGroups {
		clear(l.cache)
	}
	l.cache[g] = s
	return s
}

// Survival is the estimated chance of an answer to be longer than a length.
type Survival struct {
	// at holds the logarithm of that chance at each bound; it never rises.
	at [buckets + 1]float64
}

func newSurvival(hazards *[buckets]float64) *Survival {
	const most = 0.9999
	s := &Survival{}
	for b, h := range hazards {
		s.at[b+1] = s.at[b] + math.Log1p(-min(h, most))
	}
	return s
}

// log returns the logarithm of the chance to be longer than a length.
func (s *Survival) log(length int) float64 {
	if length <= 1 {
		return 0
	}
	if length >= MaxLength {
		return s.at[buckets]
	}
	b := bucketOf(length)
	share := float64(length-bounds[b]) / float64(bounds[b+1]-bounds[b])
	return s.at[b] + share*(s.at[b+1]-s.at[b])
}

// Beyond returns the chance that an answer which has reached one length goes
// on beyond another.
func (s *Survival) Beyond(length, beyond int) float64 {
	return math.Exp(s.log(beyond) - s.log(length))
}

// Quantile returns the length that an answer which has reached a length stays
// below with the given chance.
func (s *Survival) Quantile(length int, chance float64) int {
	target := s.log(length) + math.Log(max(1-chance, 1e-9))
	lo, hi := max(1, length), MaxLength
	for lo+1 < hi {
		mid := (lo + hi) / 2
		if s.log(mid) > target {
			lo = mid
			continue
		}
		hi = mid
	}
	return hi
}

// Mean returns the mean length of answers that have reached a length.
func (s *Survival) Mean(length int) float64 {
	base := s.log(length)
	mean := float64(max(1, length))
	for b := bucketOf(max(1, length)); b < buckets; b++ {
		lo, hi := max(bounds[b], length), bounds[b+1]
		width := float64(hi - lo)
		mean += width * (math.Exp(s.log(lo)-base) + math.Exp(s.log(hi)-base)) / 2
	}
	return mean
}
