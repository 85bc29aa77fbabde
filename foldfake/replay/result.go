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

// Result is what a run measured.
type Result struct {
	Policy string
	Mode   Mode
	// LastArrival is the time of the last arrival.
	LastArrival time.Duration
	// Stall is the time that callers waited beyond their targets: for the first
	// token, and between tokens.
	Stall time.Duration
	// Preemptions counts the answers that engines took back from their batch.
	Preemptions int
	// TokenGaps holds the times between tokens of all answers, in microseconds.
	TokenGaps *hdrhistogram.Histogram
	// WithinTarget counts the answers that were complete within their target, Tokens
	// the tokens of complete answers.
	WithinTarget int
	Tokens       int
	Completed    int
	Refused      int
	Interrupted  int
	Failed       int
	Restarts     int
	Unfinished   int
	// SlowestRefusal is the longest time from arrival to a refusal.
	SlowestRefusal time.Duration
	Classes        map[string]*ClassResult
	Workspaces     map[string]*WorkspaceResult
	// Arms holds the measures of each arm of a trial.
	Arms [2]ArmResult
}

// ClassResult is what a run measured of one class.
type ClassResult struct {
	Arrived     int
	Completed   int
	Refused     int
	Interrupted int
	// FirstTokenInTarget counts the answers whose first token came within target.
	FirstTokenInTarget int
	// FirstToken holds the times to the first token in microseconds.
	FirstToken *hdrhistogram.Histogram
}

// WorkspaceResult is what a run measured of one workspace.
type WorkspaceResult struct {
	// WithTarget counts the requests with a first-token target, FirstInTarget
	// those that met it.
	WithTarget         int
	FirstTokenInTarget int
}

// ArmResult is what a run measured of one arm of a trial.
type ArmResult struct {
	Requests  int
	Stall     time.Duration
	TokenGaps *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	const (
		longest = int64(4 * time.Hour / time.Microsecond)
		digits  = 3
	)
	return hdrhistogram.New(1, longest, digits)
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

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	// The range of the histograms covers every run.
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func (r *Result) class(c *call) *ClassResult { return r.Classes[c.class.Name] }

// arrived counts a request for its workspace.
func (r *Result) arrived(c *call) {
	w := r.Workspaces[c.arrival.Workspace]
	if w == nil {
		w = &WorkspaceResult{}
		r.Workspaces[c.arrival.Workspace] = w
	}
	if c.class.Target.FirstToken > 0 {
		w.WithTarget++
	}
}

func (r *Result) stall(c *call, wait, target time.Duration) {
	if target == 0 || wait <= target {
		return
	}
	r.Stall += wait - target
	r.Arms[c.arm].Stall += wait - target
}

// token counts the wait that ends with a token. The first token of a
// generation that was begun again ends a wait since the caller's last one.
func (r *Result) token(c *call, now time.Time) {
	t := targetOf(c.class)
	if c.first.IsZero() {
		wait := now.Sub(c.arrived)
		observe(r.class(c).FirstToken, wait)
		r.stall(c, wait, t.FirstToken)
		if t.FirstToken > 0 && wait <= t.FirstToken {
			r.class(c).FirstTokenInTarget++
			r.Workspaces[c.arrival.Workspace].FirstTokenInTarget++
		}
		return
	}
	gap := now.Sub(c.last)
	observe(r.TokenGaps, gap)
	observe(r.Arms[c.arm].TokenGaps, gap)
	r.stall(c, gap, t.TokenGap)
}

func (r *Result) completed(c *call, now time.Time) {
	r.class(c).Arrived++
	r.class(c).Completed++
	r.Arms[c.arm].Requests++
	r.Completed++
	r.Tokens += c.delivered
	t := targetOf(c.class)
	inTime := t.FirstToken == 0 || c.first.Sub(c.arrived) <= t.FirstToken
	if inTime && (t.Completion == 0 || now.Sub(c.arrived) <= t.Completion) {
		r.WithinTarget++
	}
}

func (r *Result) refused(c *call, now time.Time, f sched.Refusal) {
	r.class(c).Arrived++
	r.class(c).Refused++
	r.Arms[c.arm].Requests++
	r.Refused++
	r.SlowestRefusal = max(r.SlowestRefusal, now.Sub(c.arrived))
}

func (r *Result) interrupted(c *call) {
	r.class(c).Arrived++
	r.class(c).Interrupted++
	r.Interrupted++
}

func (r *Result) failed(c *call) {
	r.class(c).Arrived++
	r.Failed++
}

func (r *Result) restarted(c *call) { r.Restarts++ }

// finish adds what only the end shows.
func (r *run) finish() {
	for _, e := range r.engines {
		if e.up {
			r.result.Preemptions += e.model.Load().Preemptions
		}
	}
	for _, c := range r.calls {
		r.result.Unfinished++
		r.result.class(c).Arrived++
	}
}

// GapPercentile returns a percentile of the times between tokens.
func (r *Result) GapPercentile(percentile float64) time.Duration {
	return time.Duration(r.TokenGaps.ValueAtPercentile(percentile)) * time.Microsecond
}

// Write prints the result as a table.
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
