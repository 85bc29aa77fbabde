// Command foldfake runs stand-ins for the systems that foldd serves, and
// replays traces against the scheduler.
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
		Usage: "stand-in engines and services, and replay",
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
