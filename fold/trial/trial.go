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

// DefaultSlice is the time over which measures are averaged when requests are
// split one by one.
const DefaultSlice = 10 * time.Second

// Arm returns the policy for a request that arrives at a time: by its key, or
// by the window that the time is in. All VMs agree on windows as far as their
// clocks do.
func Arm(t *spec.Trial, key string, at time.Time) string {
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

// Slice is the measures of one stretch of time. Requests that run together
// wait together, so an interval is made from slices and not from requests.
type Slice struct {
	// Number is the time divided by the slice's length.
	Number   int64
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
	Gaps        *hdrhistogram.Histogram
	First       *hdrhistogram.Histogram
	// Slices is ordered by number.
	Slices []Slice
}

// Bounds of the histograms, in microseconds and digits.
const (
	longestWait = int64(time.Hour / time.Microsecond)
	digits      = 3
)

// NewMeasures returns an arm without requests.
func NewMeasures(policy string) *Measures {
	return &Measures{
		Policy: policy,
		Gaps:   hdrhistogram.New(1, longestWait, digits),
		First:  hdrhistogram.New(1, longestWait, digits),
	}
}

// Request is the measures of one request that has ended.
type Request struct {
	Stall       time.Duration
	First       time.Duration
	Preemptions int
}

// Gap counts the time between two tokens.
func (m *Measures) Gap(d time.Duration) { observe(m.Gaps, d) }

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(1, d.Microseconds()), longestWait)
	// The value lies within the histogram's range.
	_ = h.RecordValue(v)
}

// End counts a request that ended in a slice of time.
func (m *Measures) End(slice int64, r Request) {
	m.Requests++
	m.Preemptions += r.Preemptions
	if r.First > 0 {
		observe(m.First, r.First)
	}
	m.add(Slice{Number: slice, Requests: 1, Stall: r.Stall})
}

func (m *Measures) add(s Slice) {
	i, found := slices.BinarySearchFunc(m.Slices, s.Number, func(a Slice, n int64) int {
		switch {
		case a.Number < n:
			return -1
		case a.Number > n:
			return 1
		}
		return 0
	})
	if found {
		m.Slices[i].Requests += s.Requests
		m.Slices[i].Stall += s.Stall
		return
	}
	m.Slices = slices.Insert(m.Slices, i, s)
	if len(m.Slices) > maxSlices {
		m.Slices = m.Slices[1:]
	}
}

// Merge adds the measures of the same arm from another VM.
func (m *Measures) Merge(o *Measures) {
	m.Requests += o.Requests
	m.Preemptions += o.Preemptions
	m.Gaps.Merge(o.Gaps)
	m.First.Merge(o.First)
	for _, s := range o.Slices {
		m.add(s)
	}
}

// Stall returns the mean stall time of a request and its interval at 95 in
// 100. It reports false when there are too few slices for an interval.
func (m *Measures) Stall() (mean, low, high float64, ok bool) {
	var sum, weight float64
	for _, s := range m.Slices {
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
	n := float64(len(m.Slices))
	if n < minSlices {
		return 0, false
	}
	const z = 1.96
	var squares float64
	for _, s := range m.Slices {
		d := s.Stall.Seconds() - mean*float64(s.Requests)
		squares += d * d
	}
	perSlice := weight / n
	return z * math.Sqrt(squares/(n-1)/n) / perSlice, true
}

// Verdict says in words whether the stall times of two arms differ.
func Verdict(a, b *Measures) string {
	am, al, ah, aok := a.Stall()
	bm, bl, bh, bok := b.Stall()
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
