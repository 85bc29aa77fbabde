package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/foldfake/soak"
)

// errViolations ends the command if a promise was not kept.
var errViolations = eris.New("promises were not kept; see the reports")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real foldd processes under random faults, and check what callers get",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Required: true, Usage: "path of the foldd program"},
			&cli.StringFlag{Name: "old", Usage: "path of an older foldd program: all VMs start with it and are upgraded to --binary one after the other"},
			&cli.BoolFlag{Name: "losses", Usage: "lose control VMs in series, while large changes go on"},
			&cli.StringFlag{Name: "seeds", Value: "1", Usage: "seeds to play, such as 1-50 or 3,8"},
			&cli.DurationFlag{Name: "for", Usage: "play fresh seeds for this time, in place of --seeds"},
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "seeds played at a time; each runs five processes"},
			&cli.DurationFlag{Name: "length", Usage: "how long faults begin in a seed (default: 12s, with --losses 45s)"},
			&cli.StringFlag{Name: "out", Value: "soak-reports", Usage: "folder for the reports, and for the logs of seeds that fail"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			// A signal ends the processes that the soak has started too.
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			seeds, err := soakSeeds(c.String("seeds"))
			if err != nil {
				return err
			}
			s := &soakSeries{options: soak.Options{Binary: c.String("binary"), Old: c.String("old"), Losses: c.Bool("losses"), Folder: c.String("out"), Length: c.Duration("length")}}
			if err := os.MkdirAll(s.options.Folder, 0o755); err != nil {
				return fmt.Errorf("make folder for reports: %w", err)
			}
			if d := c.Duration("for"); d > 0 {
				s.until = time.Now().Add(d)
				seeds = nil
			}
			return s.run(ctx, seeds, max(c.Int("jobs"), 1))
		},
	}
}

// soakSeeds parses a list of seeds and ranges.
func soakSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for part := range strings.SplitSeq(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		from, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("parse --seeds: %w", err)
		}
		to := from
		if isRange {
			if to, err = strconv.ParseUint(last, 10, 64); err != nil {
				return nil, fmt.Errorf("parse --seeds: %w", err)
			}
		}
		for seed := from; seed <= to; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// soakSeries plays seeds and writes a report for each.
type soakSeries struct {
	options soak.Options
	// until is when the series of fresh seeds ends; zero if the seeds are given.
	until time.Time

	mu     sync.Mutex
	played int
	failed []uint64
	errs   []error
}

func (s *soakSeries) run(ctx context.Context, seeds []uint64, jobs int) error {
	next := make(chan uint64)
	var wg sync.WaitGroup
	for range jobs {
		wg.Go(func() {
			for seed := range next {
				s.play(ctx, seed)
			}
		})
	}
	for _, seed := range seeds {
		if ctx.Err() != nil {
			break
		}
		next <- seed
	}
	for seed := uint64(time.Now().UnixNano()); time.Now().Before(s.until) && ctx.Err() == nil; seed++ {
		next <- seed
	}
	close(next)
	wg.Wait()
	slices.Sort(s.failed)
	fmt.Printf("%d seeds played, %d failed: %v\n", s.played, len(s.failed), s.failed)
	if len(s.errs) > 0 {
		return cmp.Or(s.errs[0])
	}
	if len(s.failed) > 0 {
		return errViolations
	}
	return nil
}

// play plays a seed, prints a line and writes its report.
func (s *soakSeries) play(ctx context.Context, seed uint64) {
	began := time.Now()
	rep, err := soak.Run(ctx, s.options, seed)
	if err == nil {
		err = writeReport(filepath.Join(s.options.Folder, fmt.Sprintf("seed-%d.json", seed)), rep)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.played++
	if err != nil {
		s.errs = append(s.errs, err)
		fmt.Printf("seed %d: %v\n", seed, err)
		return
	}
	fmt.Printf("seed %d: %d faults, %d changes, %d violations, %.0f s\n", seed, len(rep.Faults), rep.Changes, len(rep.Violations), time.Since(began).Seconds())
	for _, v := range rep.Violations[:min(len(rep.Violations), 5)] {
		fmt.Printf("  %s at %.3f s %s: %s\n", v.Promise, v.At.Seconds(), v.Request, v.Detail)
	}
	if len(rep.Violations) > 0 {
		s.failed = append(s.failed, seed)
	}
}

func writeReport(path string, rep soak.Report) error {
	b, err := json.MarshalIndent(rep, "", "\t")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(path, b, 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
