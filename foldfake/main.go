// Command foldfake runs stand-ins for backend servers, the engines and plain
// services that foldd forwards requests to. It also replays traces against the
// scheduler and simulated engines.
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
		Name:  "foldfake",
		Usage: "run stand-in engines and services, and replay traces",
		Commands: []*cli.Command{
			engineCommand(),
			serviceCommand(),
			replayCommand(),
			soakCommand(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "foldfake:", eris.ToString(err, false))
		os.Exit(1)
	}
}
