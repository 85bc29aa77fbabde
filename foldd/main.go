// Command foldd is the daemon that runs on each VM of a deployment. It serves
// callers on an entry VM, runs a control replica on a control VM, and serves
// backend servers, operators and the other VMs. A VM may be both.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/cmds"
)

func main() {
	cmd := &cli.Command{
		Name:  "foldd",
		Usage: "serve generations of unknown length on heavily loaded model engines",
		Commands: []*cli.Command{
			serveCommand(),
			cmds.Check(app.Adapter{}),
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
		Usage:     "serve with the settings in a file",
		ArgsUsage: "SETTINGS",
		Action: func(ctx context.Context, c *cli.Command) error {
			path, err := cmds.OneArg(c)
			if err != nil {
				return err
			}
			return app.Run(ctx, path, app.Adapter{})
		},
	}
}
