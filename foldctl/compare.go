package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/fold/trial"
	"fuchsiafold.example/wire"
)

// errNoMeasures is returned if no VM has measures of any request.
var errNoMeasures = eris.New("no requests have been measured yet")

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "compare the active policies by the measures of one or more VMs",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "also", Usage: "operator address of another VM to include; may be repeated"},
			&cli.StringFlag{Name: "html", Usage: "HTML file to write a page with plots to"},
		},
		Action: compare,
	}
}

func compare(ctx context.Context, c *cli.Command) error {
	arms := map[string]*trial.Measures{}
	var policies []string
	for _, addr := range append([]string{c.String("addr")}, c.StringSlice("also")...) {
		res, err := clientAt(c, addr).Compare(ctx, connect.NewRequest(&wire.CompareRequest{}))
		if err != nil {
			return fmt.Errorf("compare at %s: %w", addr, err)
		}
		for _, a := range res.Msg.GetArms() {
			m, err := measuresFromArm(a)
			if err != nil {
				return fmt.Errorf("measures of %s: %w", addr, err)
			}
			if known := arms[m.Policy]; known != nil {
				known.Merge(m)
				continue
			}
			arms[m.Policy] = m
			policies = append(policies, m.Policy)
		}
	}
	var measures []*trial.Measures
	for _, p := range policies {
		measures = append(measures, arms[p])
	}
	if len(measures) == 0 {
		return errNoMeasures
	}
	if err := writeComparison(os.Stdout, measures); err != nil {
		return fmt.Errorf("print comparison: %w", err)
	}
	return writePage(c.String("html"), measures)
}

// measuresFromArm decodes the measures of one arm, which is one of the policies
// that are compared.
func measuresFromArm(a *wire.Arm) (*trial.Measures, error) {
	m := trial.NewMeasures(a.GetPolicy())
	m.Requests = int(a.GetRequests())
	m.Preemptions = int(a.GetPreemptions())
	gaps, err := hdrhistogram.Decode(a.GetGaps())
	if err != nil {
		return nil, fmt.Errorf("decode token gaps: %w", err)
	}
	firstTokens, err := hdrhistogram.Decode(a.GetFirst())
	if err != nil {
		return nil, fmt.Errorf("decode first tokens: %w", err)
	}
	m.TokenGaps.Merge(gaps)
	m.FirstToken.Merge(firstTokens)
	for _, s := range a.GetSlices() {
		m.Buckets = append(m.Buckets, trial.TimeBucket{Index: s.GetNumber(), Requests: int(s.GetRequests()), Stall: time.Duration(s.GetStallMicros()) * time.Microsecond})
	}
	return m, nil
}

func writeComparison(w io.Writer, measures []*trial.Measures) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "policy\trequests\tstall time per request (95% CI)\tpreemptions\ttoken gap p50\tp95\tp99\ttoken gaps\tfirst token p95")
	for _, m := range measures {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%v\t%v\t%v\t%d\t%v\n", m.Policy, m.Requests, stallText(m), m.Preemptions,
			percentile(m.TokenGaps, 50), percentile(m.TokenGaps, 95), percentile(m.TokenGaps, 99), m.TokenGaps.TotalCount(), percentile(m.FirstToken, 95))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(measures) == 2 {
		fmt.Fprintln(w, trial.Conclusion(measures[0], measures[1]))
	}
	return nil
}

// stallText returns the mean stall time of a request, in seconds, with its
// confidence interval.
func stallText(m *trial.Measures) string {
	mean, low, high, ok := m.MeanStall()
	if !ok {
		return fmt.Sprintf("%.3f s (no confidence interval yet)", mean)
	}
	return fmt.Sprintf("%.3f s (%.3f to %.3f)", mean, low, high)
}

// percentile returns the given percentile of a histogram of microseconds, rounded
// to 10 microseconds.
func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return (time.Duration(h.ValueAtPercentile(p)) * time.Microsecond).Round(10 * time.Microsecond)
}
