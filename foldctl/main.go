// Command foldctl is the operators' command.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:  "foldctl",
		Usage: "steer a fuchsiafold deployment",
		// The command 'completion' writes a script for the shell.
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "addr", Value: "127.0.0.1:8083", Usage: "operators' address of a VM", Sources: cli.EnvVars("FOLD_ADDR")},
			&cli.StringFlag{Name: "token", Usage: "operators' token", Sources: cli.EnvVars("FOLD_TOKEN")},
		},
		Commands: []*cli.Command{
			statusCommand(),
			configCommand(),
			validateCommand(),
			diffCommand(),
			applyCommand(),
			compareCommand(),
			drainCommand(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "foldctl:", eris.ToString(err, false))
		os.Exit(1)
	}
}
