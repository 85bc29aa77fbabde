package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/fold/record"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldfake/mix"
	"fuchsiafold.example/foldfake/model"
	"fuchsiafold.example/foldfake/replay"
)

var errUnknownMix = eris.New("unknown mix: must be derwent or peachline")

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "replay a trace in virtual time against the scheduler and simulated engines",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "mix", Value: "derwent", Usage: "traffic mix: derwent or peachline"},
			&cli.StringFlag{Name: "trace", Usage: "trace file; if empty, a trace is generated from the seed"},
			&cli.FloatFlag{Name: "load", Value: 0.9, Usage: "request rate of a generated trace, as a fraction of capacity"},
			&cli.DurationFlag{Name: "length", Value: 5 * time.Minute, Usage: "duration of a generated trace"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "policies", Value: strings.Join(spec.Policies(), ","), Usage: "comma-separated policies; the trace is replayed once with each"},
			&cli.StringFlag{Name: "mode", Value: string(replay.ModeSingleScheduler), Usage: "how entry VMs share the engines: scheduler, choices, best or split"},
			&cli.DurationFlag{Name: "lag", Usage: "age of the load reports"},
		},
		Action: runReplay,
	}
}

func runReplay(ctx context.Context, c *cli.Command) error {
	m, ok := mix.Mixes()[c.String("mix")]
	if !ok {
		return errUnknownMix
	}
	trace, err := loadTrace(c, m)
	if err != nil {
		return err
	}
	for _, policy := range strings.Split(c.String("policies"), ",") {
		start := time.Now()
		r := replay.Run(replay.Scenario{
			Mix: m, Trace: trace, Policy: policy, Mode: replay.Mode(c.String("mode")), Lag: c.Duration("lag"), Seed: c.Uint64("seed"),
		})
		if err := r.Write(os.Stdout); err != nil {
			return fmt.Errorf("write result: %w", err)
		}
		fmt.Printf("replayed in %v\n\n", time.Since(start).Round(time.Millisecond))
	}
	return nil
}

// loadTrace reads the trace file if one is given, and generates a trace
// otherwise.
func loadTrace(c *cli.Command, m mix.Mix) ([]record.Line, error) {
	if name := c.String("trace"); name != "" {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("open trace: %w", err)
		}
		defer f.Close()
		return record.Read(f)
	}
	perSecond := c.Float("load") * m.Capacity(model.DefaultParams()) * float64(m.Engines)
	fmt.Printf("%s at %.2f of capacity: %.2f requests a second\n\n", m.Name, c.Float("load"), perSecond)
	return m.Trace(c.Uint64("seed"), c.Duration("length"), perSecond), nil
}
