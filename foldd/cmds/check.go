// Package cmds provides the foldd commands that exist on every platform.
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

// OneArg returns the only argument of a command, the path of a file. It returns
// an error if the command has no argument or several.
func OneArg(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", errOneFile
	}
	return c.Args().First(), nil
}

// Check returns the command that validates a file without starting a server.
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

// check validates the file at path as foldd does on loading it. If isConfig is
// set, the file is an operators' configuration, which decode parses; a nil decode
// stands for spec.Parse.
func check(path string, isConfig bool, decode func([]byte) (*spec.Document, error)) error {
	if !isConfig {
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
		return fmt.Errorf("decode configuration %s: %w", path, err)
	}
	return nil
}
