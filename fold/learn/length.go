// Package learn estimates the lengths of answers and the speed of engines,
// which the scheduler can't know in advance. It learns online, starts from
// plausible defaults and forgets observations that no longer apply.
package learn

import "math"

// Buckets of answer lengths. Bucket b holds the lengths from bounds[b] up to,
// but not including, bounds[b+1].
const (
	numBuckets  = 48
	bucketRatio = 1.26
)

// MaxLength is the length, in tokens, at which the estimates end.
const MaxLength = 65_536

var bounds = makeBounds()

// makeBounds returns the bucket bounds, which grow by bucketRatio and by at
// least one.
func makeBounds() [numBuckets + 1]int {
	var b [numBuckets + 1]int
	x := 1.0
	for i := range b {
		b[i] = max(int(math.Round(x)), i+1)
		x *= bucketRatio
	}
	b[numBuckets] = MaxLength
	return b
}

// bucketOf returns the bucket of a length, which must be at least 1.
func bucketOf(length int) int {
	lo, hi := 0, numBuckets
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

// Weights of the estimates, in answers.
const (
	// decayAnswers is the number of answers after which an earlier answer has
	// lost 1-1/e of its weight in a bucket.
	decayAnswers = 400.0
	// coarserWeight is the weight of the coarser group's estimate: a group with
	// this many answers of its own counts as much as the coarser group.
	coarserWeight = 12.0
	// priorWeight is the weight of the prior, which applies while nothing has
	// been learned.
	priorWeight = 4.0
)

// hazardCurve holds, for each bucket, how many answers reached it and how many
// of those ended in it. Answers that are still running count in the buckets
// that they have passed. Without them, short answers would be overrepresented,
// because they end first.
type hazardCurve struct {
	reached [numBuckets]float64
	ended   [numBuckets]float64
}

// observe counts an answer that reached bucket b and, if ended is set, ended in
// it. Earlier answers lose weight.
func (c *hazardCurve) observe(b int, ended bool) {
	const decay = 1 - 1/decayAnswers
	c.reached[b] = c.reached[b]*decay + 1
	c.ended[b] *= decay
	if ended {
		c.ended[b]++
	}
}

// hazards returns the probability of ending in each bucket for an answer that
// has reached it. The coarser group's hazards are mixed in with the given
// weight, in answers.
func (c *hazardCurve) hazards(coarser *[numBuckets]float64, weight float64) [numBuckets]float64 {
	var h [numBuckets]float64
	for b := range h {
		h[b] = (c.ended[b] + weight*coarser[b]) / (c.reached[b] + weight)
	}
	return h
}

// prior returns the hazards used while nothing has been learned: about one
// answer in nine ends in each bucket, which gives a long tail.
func prior() *[numBuckets]float64 {
	const hazard = 0.11
	var h [numBuckets]float64
	for b := range h {
		h[b] = hazard
	}
	return &h
}

// Group identifies the answers whose lengths are learned together.
type Group struct {
	Workspace string
	Class     string
	Model     string
}

// levels returns the group itself and the coarser groups that it falls back to,
// finest first.
func (g Group) levels() [3]Group {
	return [3]Group{g, {Class: g.Class, Model: g.Model}, {Model: g.Model}}
}

// Lengths learns the lengths of answers by group. A group with few answers
// falls back to coarser groups. The zero value is ready to use. Lengths is not
// safe for concurrent use.
type Lengths struct {
	curves map[Group]*hazardCurve
	cache  map[Group]*Survival
	// endedSinceRefresh counts the answers that ended since the cached estimate
	// was dropped.
	endedSinceRefresh map[Group]int
}

// maxGroups bounds the number of groups with a curve of their own. Once it is
// reached, answers of new groups count only for coarser groups that have a
// curve.
const maxGroups = 50_000

// curve returns the curve of a group, creating it if there is none. It returns
// nil if there is none and maxGroups is reached.
func (l *Lengths) curve(g Group) *hazardCurve {
	c := l.curves[g]
	if c == nil && len(l.curves) < maxGroups {
		if l.curves == nil {
			l.curves = map[Group]*hazardCurve{}
		}
		c = &hazardCurve{}
		l.curves[g] = c
	}
	return c
}

// Progress records that an answer has grown from one length to another, in
// tokens.
func (l *Lengths) Progress(g Group, from, to int) {
	first, last := bucketOf(max(1, from)), bucketOf(max(1, to))
	if from == 0 {
		first = 0
	}
	for b := first; b < last; b++ {
		l.observe(g, b, false)
	}
}

// End records that an answer ended by itself at a length. The caller must have
// recorded its growth up to that length with Progress.
func (l *Lengths) End(g Group, length int) { l.observe(g, bucketOf(max(1, length)), true) }

// observe counts an answer in bucket b for its group and the coarser ones.
func (l *Lengths) observe(g Group, b int, ended bool) {
	for _, k := range g.levels() {
		if c := l.curve(k); c != nil {
			c.observe(b, ended)
		}
		if ended {
			l.invalidate(k)
		}
	}
}

// refreshAnswers is the number of ended answers after which an estimate is
// recomputed.
const refreshAnswers = 8

// invalidate counts an ended answer and drops the group's cached estimate after
// refreshAnswers of them.
func (l *Lengths) invalidate(g Group) {
	if l.endedSinceRefresh == nil {
		l.endedSinceRefresh = map[Group]int{}
	}
	l.endedSinceRefresh[g]++
	if l.endedSinceRefresh[g] >= refreshAnswers {
		delete(l.endedSinceRefresh, g)
		delete(l.cache, g)
	}
}

// Survival returns the estimate for a group. An estimate is reused until
// refreshAnswers more answers of the group have ended, so it may lag behind the
// observations of the group and of its coarser groups.
func (l *Lengths) Survival(g Group) *Survival {
	if s := l.cache[g]; s != nil {
		return s
	}
	levels := g.levels()
	h := *prior()
	weight := priorWeight
	for i := len(levels) - 1; i >= 0; i-- {
		if c := l.curves[levels[i]]; c != nil {
			h = c.hazards(&h, weight)
		}
		weight = coarserWeight
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

// Survival is the estimated probability that an answer is longer than a given
// length.
type Survival struct {
	// logAt holds the logarithm of that probability at each bound. It never
	// increases.
	logAt [numBuckets + 1]float64
}

// newSurvival returns the estimate for the given hazards. Hazards are capped
// below 1 to keep the logarithm finite.
func newSurvival(hazards *[numBuckets]float64) *Survival {
	const maxHazard = 0.9999
	s := &Survival{}
	for b, h := range hazards {
		s.logAt[b+1] = s.logAt[b] + math.Log1p(-min(h, maxHazard))
	}
	return s
}

// logProb returns the logarithm of the probability that an answer is longer
// than length, interpolated within a bucket.
func (s *Survival) logProb(length int) float64 {
	if length <= 1 {
		return 0
	}
	if length >= MaxLength {
		return s.logAt[numBuckets]
	}
	b := bucketOf(length)
	fraction := float64(length-bounds[b]) / float64(bounds[b+1]-bounds[b])
	return s.logAt[b] + fraction*(s.logAt[b+1]-s.logAt[b])
}

// Beyond returns the probability that an answer which has reached length grows
// longer than beyond.
func (s *Survival) Beyond(length, beyond int) float64 {
	return math.Exp(s.logProb(beyond) - s.logProb(length))
}

// Quantile returns the length that an answer which has reached length stays
// below with the given probability.
func (s *Survival) Quantile(length int, probability float64) int {
	target := s.logProb(length) + math.Log(max(1-probability, 1e-9))
	lo, hi := max(1, length), MaxLength
	for lo+1 < hi {
		mid := (lo + hi) / 2
		if s.logProb(mid) > target {
			lo = mid
			continue
		}
		hi = mid
	}
	return hi
}

// Mean returns the mean final length of answers that have reached length.
func (s *Survival) Mean(length int) float64 {
	base := s.logProb(length)
	mean := float64(max(1, length))
	for b := bucketOf(max(1, length)); b < numBuckets; b++ {
		lo, hi := max(bounds[b], length), bounds[b+1]
		width := float64(hi - lo)
		mean += width * (math.Exp(s.logProb(lo)-base) + math.Exp(s.logProb(hi)-base)) / 2
	}
	return mean
}
