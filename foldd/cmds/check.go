// Package cmds holds the commands that foldd has on every platform.
package cmds

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

var errOneFile = eris.New("want exactly one file")

// OneArg returns the one file that a command is for.
func OneArg(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", errOneFile
	}
	return c.Args().First(), nil
}

// Check returns the command that checks a file without serving by it.
func Check(a app.Adapter) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file, or with --config an operators' configuration",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "config", Usage: "the file is an operators' configuration"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			path, err := OneArg(c)
			if err != nil {
				return err
			}
			if err := check(path, c.Bool("config"), a.Decode); err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, path, "is valid")
			return nil
		},
	}
}

// check reads a file as foldd would. decode reads an operators' configuration;
// nil takes the product's own form.
func check(path string, config bool, decode func([]byte) (*spec.Document, error)) error {
	if !config {
		_, err := conf.Load(path)
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	if decode == nil {
		decode = spec.Parse
	}
	if _, err := decode(data); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
