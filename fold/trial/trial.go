// Package trial compares two policies on live traffic. It splits the requests
// between the policies and collects the measures of each; the requests of one
// policy are an arm of the trial. The main measure is the stall time of a request,
// which is the time that its caller waited beyond the latency targets.
package trial

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"fuchsiafold.example/fold/spec"
)

// DefaultBucketLength is the length of a TimeBucket if the trial splits single
// requests. With a split by window, a bucket is as long as a window.
const DefaultBucketLength = 10 * time.Second

// PolicyFor returns the policy for a request that arrives at the given time. The
// trial splits requests either by the hash of the key or by the time window of
// the arrival. The VMs agree on the current window only as far as their clocks
// agree.
func PolicyFor(t *spec.Trial, key string, at time.Time) string {
	useB := false
	switch t.Split {
	case spec.SplitWindow:
		useB = at.UnixNano()/int64(t.Window)%2 == 1
	default:
		useB = xxhash.Sum64String(key)%2 == 1
	}
	if useB {
		return t.B
	}
	return t.A
}

// TimeBucket holds the measures of one period. Requests that run at the same time
// stall together, so their stall times are correlated. A confidence interval is
// therefore computed from time buckets rather than from single requests.
type TimeBucket struct {
	// Index is the Unix time divided by the length of a bucket.
	Index    int64
	Requests int
	// Stall is the sum of the requests' stall times.
	Stall time.Duration
}

// maxBuckets is the maximum number of buckets kept for one arm. It covers one day
// of buckets of DefaultBucketLength.
const maxBuckets = 8640

// Measures holds the measures of one arm. Use NewMeasures to create it. It is not
// safe for concurrent use.
type Measures struct {
	Policy      string
	Requests    int
	Preemptions int
	TokenGaps   *hdrhistogram.Histogram
	FirstToken  *hdrhistogram.Histogram
	// Buckets is ordered by Index. It has at most maxBuckets elements; the oldest
	// ones are dropped.
	Buckets []TimeBucket
}

// Parameters of the histograms.
const (
	// maxMicros is the highest value in microseconds; longer durations are
	// recorded as this value.
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// NewMeasures returns empty measures for the arm with the given policy.
func NewMeasures(policy string) *Measures {
	return &Measures{
		Policy:     policy,
		TokenGaps:  hdrhistogram.New(1, maxMicros, significantDigits),
		FirstToken: hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

// Sample holds the measures of one request that has ended.
type Sample struct {
	// Stall is the total time that the caller waited beyond the latency targets.
	Stall time.Duration
	// FirstToken is the time until the first token, or zero if there was none.
	FirstToken  time.Duration
	Preemptions int
}

// RecordGap records the time between two tokens.
func (m *Measures) RecordGap(d time.Duration) { recordDuration(m.TokenGaps, d) }

// recordDuration records d in microseconds, limited to the histogram's range.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(1, d.Microseconds()), maxMicros)
	// RecordValue can't fail, because the value is within the histogram's range.
	_ = h.RecordValue(v)
}

// RecordRequest records a request that ended in the time bucket with the given
// index.
func (m *Measures) RecordRequest(bucket int64, r Sample) {
	m.Requests++
	m.Preemptions += r.Preemptions
	if r.FirstToken > 0 {
		recordDuration(m.FirstToken, r.FirstToken)
	}
	m.addBucket(TimeBucket{Index: bucket, Requests: 1, Stall: r.Stall})
}

// addBucket adds s to the bucket with the same index, or inserts it. Beyond
// maxBuckets it drops the oldest bucket.
func (m *Measures) addBucket(s TimeBucket) {
	i, found := slices.BinarySearchFunc(m.Buckets, s.Index, func(a TimeBucket, n int64) int {
		switch {
		case a.Index < n:
			return -1
		case a.Index > n:
			return 1
		}
		return 0
	})
	if found {
		m.Buckets[i].Requests += s.Requests
		m.Buckets[i].Stall += s.Stall
		return
	}
	m.Buckets = slices.Insert(m.Buckets, i, s)
	if len(m.Buckets) > maxBuckets {
		m.Buckets = m.Buckets[1:]
	}
}

// Merge adds the measures of the same arm that were collected by another VM.
func (m *Measures) Merge(o *Measures) {
	m.Requests += o.Requests
	m.Preemptions += o.Preemptions
	m.TokenGaps.Merge(o.TokenGaps)
	m.FirstToken.Merge(o.FirstToken)
	for _, s := range o.Buckets {
		m.addBucket(s)
	}
}

// MeanStall returns the mean stall time per request in seconds and the bounds of
// its 95% confidence interval. It reports false if there are too few time buckets
// for an interval; low and high then equal the mean.
func (m *Measures) MeanStall() (mean, low, high float64, ok bool) {
	var sum, requests float64
	for _, s := range m.Buckets {
		sum += s.Stall.Seconds()
		requests += float64(s.Requests)
	}
	if requests == 0 {
		return 0, 0, 0, false
	}
	mean = sum / requests
	half, ok := m.halfWidth(mean, requests)
	return mean, max(0, mean-half), mean + half, ok
}

// minBuckets is the minimum number of time buckets for a confidence interval.
const minBuckets = 8

// halfWidth returns half the width of the confidence interval of the mean stall
// time, which is a ratio of sums over time buckets. It reports false if there are
// fewer than minBuckets buckets.
func (m *Measures) halfWidth(mean, requests float64) (float64, bool) {
	n := float64(len(m.Buckets))
	if n < minBuckets {
		return 0, false
	}
	// z is the 97.5th percentile of the standard normal distribution.
	const z = 1.96
	var squares float64
	for _, s := range m.Buckets {
		d := s.Stall.Seconds() - mean*float64(s.Requests)
		squares += d * d
	}
	perBucket := requests / n
	return z * math.Sqrt(squares/(n-1)/n) / perBucket, true
}

// Conclusion returns a sentence on whether the mean stall times of two arms differ
// significantly.
func Conclusion(a, b *Measures) string {
	aMean, aLow, aHigh, aOK := a.MeanStall()
	bMean, bLow, bHigh, bOK := b.MeanStall()
	if !aOK || !bOK {
		return fmt.Sprintf("too little data: a confidence interval needs %d time buckets with requests in each arm", minBuckets)
	}
	// half is half the width of the confidence interval of the difference. The
	// half widths of the arms add in quadrature, as for independent samples.
	half := math.Hypot((aHigh-aLow)/2, (bHigh-bLow)/2)
	switch {
	case math.Abs(aMean-bMean) <= half:
		return "the stall times of the arms do not differ significantly"
	case aMean < bMean:
		return fmt.Sprintf("%s stalls less than %s", a.Policy, b.Policy)
	}
	return fmt.Sprintf("%s stalls less than %s", b.Policy, a.Policy)
}
