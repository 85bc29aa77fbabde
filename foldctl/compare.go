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

// errNoMeasures is returned when no VM has measured anything.
var errNoMeasures = eris.New("no requests have been measured yet")

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "compare the policies in force, over one or more VMs",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "also", Usage: "operators' address of another VM to add; may be given more than once"},
			&cli.StringFlag{Name: "html", Usage: "file for a page with plots"},
		},
		Action: compare,
	}
}

func compare(ctx context.Context, c *cli.Command) error {
	arms := map[string]*trial.Measures{}
	var order []string
	for _, addr := range append([]string{c.String("addr")}, c.StringSlice("also")...) {
		res, err := clientAt(c, addr).Compare(ctx, connect.NewRequest(&wire.CompareRequest{}))
		if err != nil {
			return fmt.Errorf("compare at %s: %w", addr, err)
		}
		for _, a := range res.Msg.GetArms() {
			m, err := fromArm(a)
			if err != nil {
				return fmt.Errorf("measures of %s: %w", addr, err)
			}
			if have := arms[m.Policy]; have != nil {
				have.Merge(m)
				continue
			}
			arms[m.Policy] = m
			order = append(order, m.Policy)
		}
	}
	var list []*trial.Measures
	for _, p := range order {
		list = append(list, arms[p])
	}
	if len(list) == 0 {
		return errNoMeasures
	}
	if err := writeComparison(os.Stdout, list); err != nil {
		return fmt.Errorf("print comparison: %w", err)
	}
	return writePage(c.String("html"), list)
}

func fromArm(a *wire.Arm) (*trial.Measures, error) {
	m := trial.NewMeasures(a.GetPolicy())
	m.Requests = int(a.GetRequests())
	m.Preemptions = int(a.GetPreemptions())
	gaps, err := hdrhistogram.Decode(a.GetGaps())
	if err != nil {
		return nil, fmt.Errorf("decode token gaps: %w", err)
	}
	first, err := hdrhistogram.Decode(a.GetFirst())
	if err != nil {
		return nil, fmt.Errorf("decode first tokens: %w", err)
	}
	m.TokenGaps.Merge(gaps)
	m.FirstToken.Merge(first)
	for _, s := range a.GetSlices() {
		m.Buckets = append(m.Buckets, trial.TimeBucket{Index: s.GetNumber(), Requests: int(s.GetRequests()), Stall: time.Duration(s.GetStallMicros()) * time.Microsecond})
	}
	return m, nil
}

func writeComparison(w io.Writer, list []*trial.Measures) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "policy\trequests\tstall time a request (95 in 100)\tpreemptions\ttoken gap p50\tp95\tp99\tgaps\tfirst token p95")
	for _, m := range list {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%v\t%v\t%v\t%d\t%v\n", m.Policy, m.Requests, stallText(m), m.Preemptions,
			percentile(m.TokenGaps, 50), percentile(m.TokenGaps, 95), percentile(m.TokenGaps, 99), m.TokenGaps.TotalCount(), percentile(m.FirstToken, 95))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(list) == 2 {
		fmt.Fprintln(w, trial.Conclusion(list[0], list[1]))
	}
	return nil
}

func stallText(m *trial.Measures) string {
	mean, low, high, ok := m.MeanStall()
	if !ok {
		return fmt.Sprintf("%.3f s (no interval yet)", mean)
	}
	return fmt.Sprintf("%.3f s (%.3f to %.3f)", mean, low, high)
}

func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return (time.Duration(h.ValueAtPercentile(p)) * time.Microsecond).Round(10 * time.Microsecond)
}
