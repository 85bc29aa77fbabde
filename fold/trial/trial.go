// Package trial compares two policies on live traffic: it splits requests
// between them and keeps the measures of each arm.
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

// DefaultBucketLength is the time over which measures are averaged when requests are
// split one by one.
const DefaultBucketLength = 10 * time.Second

// PolicyFor returns the policy for a request that arrives at a time: by its key, or
// by the window that the time is in. All VMs agree on windows as far as their
// clocks do.
func PolicyFor(t *spec.Trial, key string, at time.Time) string {
	second := false
	switch t.Split {
	case spec.SplitWindow:
		second = at.UnixNano()/int64(t.Window)%2 == 1
	default:
		second = xxhash.Sum64String(key)%2 == 1
	}
	if second {
		return t.B
	}
	return t.A
}

// TimeBucket is the measures of one stretch of time. Requests that run together
// wait together, so an interval is made from slices and not from requests.
type TimeBucket struct {
	// Index is the time divided by the slice's length.
	Index    int64
	Requests int
	Stall    time.Duration
}

// maxSlices bounds the slices kept for one arm: a day's worth of the default.
const maxSlices = 8640

// Measures is what is known of one arm. Make it with NewMeasures.
type Measures struct {
	Policy      string
	Requests    int
	Preemptions int
	TokenGaps   *hdrhistogram.Histogram
	FirstToken  *hdrhistogram.Histogram
	// Buckets is ordered by number.
	Buckets []TimeBucket
}

// Bounds of the histograms, in microseconds and digits.
const (
	longestWait = int64(time.Hour / time.Microsecond)
	digits      = 3
)

// NewMeasures returns an arm without requests.
func NewMeasures(policy string) *Measures {
	return &Measures{
		Policy:     policy,
		TokenGaps:  hdrhistogram.New(1, longestWait, digits),
		FirstToken: hdrhistogram.New(1, longestWait, digits),
	}
}

// Sample is the measures of one request that has ended.
type Sample struct {
	Stall       time.Duration
	FirstToken  time.Duration
	Preemptions int
}

// RecordGap counts the time between two tokens.
func (m *Measures) RecordGap(d time.Duration) { observe(m.TokenGaps, d) }

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(1, d.Microseconds()), longestWait)
	// The value lies within the histogram's range.
	_ = h.RecordValue(v)
}

// RecordRequest counts a request that ended in a slice of time.
func (m *Measures) RecordRequest(slice int64, r Sample) {
	m.Requests++
	m.Preemptions += r.Preemptions
	if r.FirstToken > 0 {
		observe(m.FirstToken, r.FirstToken)
	}
	m.add(TimeBucket{Index: slice, Requests: 1, Stall: r.Stall})
}

func (m *Measures) add(s TimeBucket) {
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
	if len(m.Buckets) > maxSlices {
		m.Buckets = m.Buckets[1:]
	}
}

// Merge adds the measures of the same arm from another VM.
func (m *Measures) Merge(o *Measures) {
	m.Requests += o.Requests
	m.Preemptions += o.Preemptions
	m.TokenGaps.Merge(o.TokenGaps)
	m.FirstToken.Merge(o.FirstToken)
	for _, s := range o.Buckets {
		m.add(s)
	}
}

// MeanStall returns the mean stall time of a request and its interval at 95 in
// 100. It reports false when there are too few slices for an interval.
func (m *Measures) MeanStall() (mean, low, high float64, ok bool) {
	var sum, weight float64
	for _, s := range m.Buckets {
		sum += s.Stall.Seconds()
		weight += float64(s.Requests)
	}
	if weight == 0 {
		return 0, 0, 0, false
	}
	mean = sum / weight
	half, ok := m.halfWidth(mean, weight)
	return mean, max(0, mean-half), mean + half, ok
}

// minSlices is the number of slices below which no interval is stated.
const minSlices = 8

// halfWidth is the half of the interval of a ratio of sums over slices.
func (m *Measures) halfWidth(mean, weight float64) (float64, bool) {
	n := float64(len(m.Buckets))
	if n < minSlices {
		return 0, false
	}
	const z = 1.96
	var squares float64
	for _, s := range m.Buckets {
		d := s.Stall.Seconds() - mean*float64(s.Requests)
		squares += d * d
	}
	perSlice := weight / n
	return z * math.Sqrt(squares/(n-1)/n) / perSlice, true
}

// Conclusion says in words whether the stall times of two arms differ.
func Conclusion(a, b *Measures) string {
	am, al, ah, aok := a.MeanStall()
	bm, bl, bh, bok := b.MeanStall()
	if !aok || !bok {
		return fmt.Sprintf("too little data: an interval needs %d slices of time with requests in each arm", minSlices)
	}
	// The interval of the difference, from those of the arms.
	half := math.Hypot((ah-al)/2, (bh-bl)/2)
	switch {
	case math.Abs(am-bm) <= half:
		return "the data does not separate the stall times of the arms"
	case am < bm:
		return fmt.Sprintf("%s stalls less than %s", a.Policy, b.Policy)
	}
	return fmt.Sprintf("%s stalls less than %s", b.Policy, a.Policy)
}
