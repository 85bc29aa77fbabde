// Command foldctl is the command-line tool for operators. It shows the state of a
// deployment, changes its configuration, drains VMs and evacuates failure domains.
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
		Usage: "operate a fuchsiafold deployment",
		// Adds the command "completion", which prints a shell completion script.
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "addr", Value: "127.0.0.1:8083", Usage: "operator address of a VM", Sources: cli.EnvVars("FOLD_ADDR")},
			&cli.StringFlag{Name: "token", Usage: "operator token", Sources: cli.EnvVars("FOLD_TOKEN")},
		},
		Commands: []*cli.Command{
			statusCommand(),
			configCommand(),
			validateCommand(),
			diffCommand(),
			applyCommand(),
			compareCommand(),
			reportCommand(),
			drainCommand(),
			evacuateCommand(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "foldctl:", eris.ToString(err, false))
		os.Exit(1)
	}
}
