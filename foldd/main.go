// Command foldd is the daemon on each entry VM: it serves callers, backend
// servers, operators and the other VMs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
)

func main() {
	cmd := &cli.Command{
		Name:  "foldd",
		Usage: "serve generations of unknown length on crowded model engines",
		Commands: []*cli.Command{
			serveCommand(),
			checkCommand(),
			demoCommand(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "foldd:", eris.ToString(err, false))
		os.Exit(1)
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:      "serve",
		Usage:     "run by a settings file",
		ArgsUsage: "SETTINGS",
		Action: func(ctx context.Context, c *cli.Command) error {
			path, err := oneArg(c)
			if err != nil {
				return err
			}
			s, err := conf.Load(path)
			if err != nil {
				return err
			}
			return run(ctx, s, newLogger(s.Log))
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file, or with --config an operators' configuration",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "config", Usage: "the file is an operators' configuration"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			path, err := oneArg(c)
			if err != nil {
				return err
			}
			if err := check(path, c.Bool("config")); err != nil {
				return err
			}
			fmt.Println(path, "is valid")
			return nil
		},
	}
}

func check(path string, config bool) error {
	if !config {
		_, err := conf.Load(path)
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	_, err = spec.Parse(data)
	return err
}

var errOneFile = eris.New("want exactly one file")

func oneArg(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", errOneFile
	}
	return c.Args().First(), nil
}

func newLogger(l conf.Log) *logrus.Logger {
	log := logrus.New()
	if level, err := logrus.ParseLevel(l.Level); err == nil {
		log.SetLevel(level)
	}
	if l.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}

// errCut is the end of a process that cut off requests in progress.
var errCut = eris.New("requests in progress were cut off")

// run serves until a signal. The first one drains, the second ends at once.
func run(ctx context.Context, s *conf.Settings, log *logrus.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	a, err := app.New(ctx, s, log)
	if err != nil {
		return err
	}
	<-signals
	return drain(a, signals, time.Duration(s.Limits.DrainTimeout))
}

func drain(a *app.App, signals <-chan os.Signal, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	if cut := a.Shutdown(ctx); cut > 0 {
		return fmt.Errorf("%d: %w", cut, errCut)
	}
	a.Node.Log.Info("stopped, nothing was cut off")
	return nil
}
