// Command foldd is the daemon on each entry VM: it serves callers, backend
// servers, operators and the other VMs.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
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
			return app.Run(ctx, path, app.Adapter{})
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
