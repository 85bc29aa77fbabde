package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/wire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what a VM sees: VMs, backend servers, classes",
		Action: func(ctx context.Context, c *cli.Command) error {
			res, err := client(c).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
			if err != nil {
				return fmt.Errorf("status: %w", err)
			}
			return writeStatus(os.Stdout, res.Msg)
		},
	}
}

func writeStatus(w io.Writer, s *wire.StatusResponse) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	self := s.GetSelf()
	fmt.Fprintf(t, "VM %s in %s: revision %d, %d requests in progress%s\n\n",
		self.GetId(), self.GetDomain(), self.GetConfigRevision(), s.GetOpenStreams(), flag(self.GetDraining(), ", draining"))
	fmt.Fprintln(t, "VM\tdomain\trevision\tstate")
	for _, p := range s.GetPeers() {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", p.GetId(), p.GetDomain(), p.GetConfigRevision(), flag(p.GetDraining(), "draining"))
	}
	fmt.Fprintln(t, "\nbackend server\tdomain\tservice\tmodel\trunning\twaiting\tmemory\tpreemptions\tstate")
	for _, b := range s.GetBackends() {
		l := b.GetLoad()
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d/%d\t%d\t%s\n", b.GetId(), b.GetDomain(), b.GetService(), b.GetModel(),
			l.GetRunning(), l.GetWaiting(), l.GetMemoryUsedTokens(), b.GetMemoryTokens(), l.GetPreemptions(), flag(b.GetLeaving(), "leaving"))
	}
	fmt.Fprintln(t, "\nclass\tqueued\trunning")
	for _, c := range s.GetClasses() {
		fmt.Fprintf(t, "%s\t%d\t%d\n", c.GetName(), c.GetQueued(), c.GetRunning())
	}
	if len(s.GetControls()) > 0 {
		fmt.Fprintln(t, "\ncontrol replica\tVM\tvoter\tleader")
		for _, m := range s.GetControls() {
			fmt.Fprintf(t, "%s\t%s\t%t\t%s\n", m.GetId(), m.GetVm(), m.GetVoter(), flag(m.GetVm() == s.GetControlLeader(), "leader"))
		}
	}
	return t.Flush()
}

func flag(set bool, text string) string {
	if set {
		return text
	}
	return ""
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "turn a VM's health red and refuse new requests there",
		Action: func(ctx context.Context, c *cli.Command) error {
			res, err := client(c).Drain(ctx, connect.NewRequest(&wire.DrainRequest{}))
			if err != nil {
				return fmt.Errorf("drain: %w", err)
			}
			fmt.Printf("draining, %d requests in progress\n", res.Msg.GetOpenStreams())
			return nil
		},
	}
}
