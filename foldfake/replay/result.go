package replay

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiafold.example/fold/sched"
)

// Result holds the measurements of a replay.
type Result struct {
	Policy string
	Mode   Mode
	// LastArrival is the time from the start to the last line of the trace, an
	// arrival or a fault.
	LastArrival time.Duration
	// Stall is the total time that callers waited beyond their targets for the
	// first token and for the gap between tokens.
	Stall time.Duration
	// Preemptions counts the preemptions at all engines.
	Preemptions int
	// TokenGaps holds the times between tokens in microseconds.
	TokenGaps *hdrhistogram.Histogram
	// WithinTarget counts the complete answers that met their targets for the
	// first token and for completion. Tokens counts the tokens of all complete
	// answers.
	WithinTarget int
	Tokens       int
	Completed    int
	// Refused counts the requests that the scheduler refused to run. An engine's
	// rejection is not a refusal, as the request is retried or fails.
	Refused int
	// Interrupted counts the requests that were lost after their caller had
	// received tokens. Failed counts those that ran out of attempts.
	Interrupted int
	Failed      int
	// Restarts counts the attempts that were followed by a retry.
	Restarts int
	// Unfinished counts the requests that had not ended at the deadline.
	Unfinished int
	// SlowestRefusal is the longest time from a request's arrival to its refusal.
	SlowestRefusal time.Duration
	Classes        map[string]*ClassResult
	Workspaces     map[string]*WorkspaceResult
	// Arms holds the measurements of the requests with Policy and with
	// SecondPolicy.
	Arms [2]ArmResult
}

// ClassResult holds the measurements of one class. In the result of Run, Arrived
// counts all requests of the class. While the replay runs, it counts only those
// that have ended.
type ClassResult struct {
	Arrived     int
	Completed   int
	Refused     int
	Interrupted int
	// FirstTokenInTarget counts the answers whose first token met its target.
	FirstTokenInTarget int
	// FirstToken holds the times to the first token in microseconds.
	FirstToken *hdrhistogram.Histogram
}

// WorkspaceResult holds the measurements of one workspace.
type WorkspaceResult struct {
	// WithTarget counts the requests with a target for the first token.
	// FirstTokenInTarget counts those that met it.
	WithTarget         int
	FirstTokenInTarget int
}

// ArmResult holds the measurements of the requests with one of the two policies
// that a scenario compares. Requests counts those that completed or were refused.
type ArmResult struct {
	Requests  int
	Stall     time.Duration
	TokenGaps *hdrhistogram.Histogram
}

// newHistogram returns a histogram of microseconds from 1 µs to 4 hours.
func newHistogram() *hdrhistogram.Histogram {
	const (
		maxMicros         = int64(4 * time.Hour / time.Microsecond)
		significantDigits = 3
	)
	return hdrhistogram.New(1, maxMicros, significantDigits)
}

func newResult(s Scenario) *Result {
	r := &Result{Policy: s.Policy, Mode: s.Mode, TokenGaps: newHistogram(), Classes: map[string]*ClassResult{}, Workspaces: map[string]*WorkspaceResult{}}
	for i := range r.Arms {
		r.Arms[i].TokenGaps = newHistogram()
	}
	for _, w := range s.Mix.Workloads {
		r.Classes[w.Class.Name] = &ClassResult{FirstToken: newHistogram()}
	}
	return r
}

// observe records a duration in a histogram of microseconds.
func observe(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for a value out of range, which is then not recorded.
	// No wait is that long unless the trace is longer than 3.5 hours.
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func (r *Result) class(c *call) *ClassResult { return r.Classes[c.class.Name] }

// recordArrival counts the workspace's requests with a target for the first token.
func (r *Result) recordArrival(c *call) {
	w := r.Workspaces[c.arrival.Workspace]
	if w == nil {
		w = &WorkspaceResult{}
		r.Workspaces[c.arrival.Workspace] = w
	}
	if c.class.Target.FirstToken > 0 {
		w.WithTarget++
	}
}

// addStall adds the part of a wait that exceeds its target. A zero target means
// none.
func (r *Result) addStall(c *call, wait, target time.Duration) {
	if target == 0 || wait <= target {
		return
	}
	r.Stall += wait - target
	r.Arms[c.arm].Stall += wait - target
}

// recordToken records the wait that a token ends. The first token after a retry
// ends a wait that began with the last token of the earlier attempts, or with the
// request's arrival if they generated none.
func (r *Result) recordToken(c *call, now time.Time) {
	t := targetOf(c.class)
	if c.firstTokenAt.IsZero() {
		wait := now.Sub(c.arrivedAt)
		observe(r.class(c).FirstToken, wait)
		r.addStall(c, wait, t.FirstToken)
		if t.FirstToken > 0 && wait <= t.FirstToken {
			r.class(c).FirstTokenInTarget++
			r.Workspaces[c.arrival.Workspace].FirstTokenInTarget++
		}
		return
	}
	gap := now.Sub(c.lastTokenAt)
	observe(r.TokenGaps, gap)
	observe(r.Arms[c.arm].TokenGaps, gap)
	r.addStall(c, gap, t.TokenGap)
}

func (r *Result) recordCompletion(c *call, now time.Time) {
	r.class(c).Arrived++
	r.class(c).Completed++
	r.Arms[c.arm].Requests++
	r.Completed++
	r.Tokens += c.delivered
	t := targetOf(c.class)
	inTime := t.FirstToken == 0 || c.firstTokenAt.Sub(c.arrivedAt) <= t.FirstToken
	if inTime && (t.Completion == 0 || now.Sub(c.arrivedAt) <= t.Completion) {
		r.WithinTarget++
	}
}

func (r *Result) recordRefusal(c *call, now time.Time, f sched.Refusal) {
	r.class(c).Arrived++
	r.class(c).Refused++
	r.Arms[c.arm].Requests++
	r.Refused++
	r.SlowestRefusal = max(r.SlowestRefusal, now.Sub(c.arrivedAt))
}

func (r *Result) recordInterruption(c *call) {
	r.class(c).Arrived++
	r.class(c).Interrupted++
	r.Interrupted++
}

func (r *Result) recordFailure(c *call) {
	r.class(c).Arrived++
	r.Failed++
}

func (r *Result) recordRestart(c *call) { r.Restarts++ }

// addFinalCounts adds the preemptions of the engines that are up and the
// unfinished requests. stopEngine adds the preemptions of an engine that stops.
func (r *replayer) addFinalCounts() {
	for _, e := range r.engines {
		if e.up {
			r.result.Preemptions += e.sim.Load().Preemptions
		}
	}
	for _, c := range r.calls {
		r.result.Unfinished++
		r.result.class(c).Arrived++
	}
}

// GapPercentile returns a percentile, from 0 to 100, of the times between tokens.
func (r *Result) GapPercentile(percentile float64) time.Duration {
	return time.Duration(r.TokenGaps.ValueAtPercentile(percentile)) * time.Microsecond
}

// Write writes the result to w as a table.
func (r *Result) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "policy %s, mode %s, %v of arrivals\n", r.Policy, r.Mode, r.LastArrival.Round(time.Second))
	fmt.Fprintf(t, "stall time\t%v\npreemptions\t%d\n", r.Stall.Round(time.Millisecond), r.Preemptions)
	fmt.Fprintf(t, "token gap p50/p95/p99\t%v\t%v\t%v\n", r.GapPercentile(50), r.GapPercentile(95), r.GapPercentile(99))
	fmt.Fprintf(t, "complete within target\t%d of %d complete, %d tokens\n", r.WithinTarget, r.Completed, r.Tokens)
	fmt.Fprintf(t, "refused\t%d, slowest after %v\n", r.Refused, r.SlowestRefusal)
	fmt.Fprintf(t, "interrupted/failed/restarted/unfinished\t%d\t%d\t%d\t%d\n", r.Interrupted, r.Failed, r.Restarts, r.Unfinished)
	names := make([]string, 0, len(r.Classes))
	for n := range r.Classes {
		names = append(names, n)
	}
	sort.Strings(names)
	fmt.Fprintln(t, "class\tarrived\tcomplete\trefused\tinterrupted\tfirst token in target\tfirst p50\tp95\tp99")
	for _, n := range names {
		c := r.Classes[n]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\n", n, c.Arrived, c.Completed, c.Refused, c.Interrupted, c.FirstTokenInTarget,
			c.percentile(50), c.percentile(95), c.percentile(99))
	}
	return t.Flush()
}

func (c *ClassResult) percentile(p float64) time.Duration {
	return (time.Duration(c.FirstToken.ValueAtPercentile(p)) * time.Microsecond).Round(time.Millisecond)
}
