package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/foldctl/report"
)

var errNoLogs = eris.New("name the log files of one or more VMs")

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "write a page with plots of what VMs did, from their JSON logs",
		ArgsUsage: "LOG...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "out", Value: "report.html", Usage: "HTML file to write"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return writeReport(c.String("out"), c.Args().Slice())
		},
	}
}

// writeReport writes the page of the given logs. A log's VM is that of its file name.
func writeReport(out string, logs []string) error {
	if len(logs) == 0 {
		return errNoLogs
	}
	var day report.Day
	for _, path := range logs {
		if err := readLog(&day, path); err != nil {
			return err
		}
	}
	f, err := os.Create(out)
	if err != nil {
		return fmt.Errorf("create page: %w", err)
	}
	defer f.Close()
	if err := report.Write(f, &day); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	fmt.Println("page written to", out)
	return f.Close()
}

func readLog(day *report.Day, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	return day.Read(strings.TrimSuffix(filepath.Base(path), ".log"), f)
}
