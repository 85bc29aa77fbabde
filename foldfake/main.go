// Command foldfake runs stand-ins for the backend servers that foldd forwards
// requests to, and replays traces against the scheduler.
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
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "foldfake:", eris.ToString(err, false))
		os.Exit(1)
	}
}
