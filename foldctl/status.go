package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"fuchsiafold.example/wire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what VMs see: VMs, backend servers, classes, services, errors",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "watch", Usage: "metrics address of a VM to ask instead; may be given more than once"},
			&cli.BoolFlag{Name: "json", Usage: "write one JSON document a VM"},
		},
		Action: status,
	}
}

func status(ctx context.Context, c *cli.Command) error {
	write := writeStatus
	if c.Bool("json") {
		write = writeJSON
	}
	watched := c.StringSlice("watch")
	if len(watched) == 0 {
		res, err := client(c).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		if err != nil {
			return fmt.Errorf("status: %w", err)
		}
		return write(os.Stdout, res.Msg)
	}
	for _, addr := range watched {
		res, err := watcherAt(c, addr).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		if err != nil {
			return fmt.Errorf("status of %s: %w", addr, err)
		}
		if err := write(os.Stdout, res.Msg); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(w io.Writer, s *wire.StatusResponse) error {
	b, err := protojson.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode status: %w", err)
	}
	_, err = fmt.Fprintf(w, "%s\n", b)
	return err
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
	writeServices(t, s)
	if len(s.GetControls()) > 0 {
		fmt.Fprintln(t, "\ncontrol replica\tVM\tvoter\tleader")
		for _, m := range s.GetControls() {
			fmt.Fprintf(t, "%s\t%s\t%t\t%s\n", m.GetId(), m.GetVm(), m.GetVoter(), flag(m.GetVm() == s.GetControlLeader(), "leader"))
		}
	}
	return t.Flush()
}

// writeServices writes what the VM has under way of forwarded requests, how old
// its news of each backend server is, what is left of the budget for repeats, and
// the errors that it has answered with.
func writeServices(w io.Writer, s *wire.StatusResponse) {
	for _, v := range s.GetServices() {
		fmt.Fprintf(w, "\nservice %s: %d requests and %d repeats in the window, %d repeats left%s\n",
			v.GetService(), v.GetRequests(), v.GetRepeats(), v.GetRepeatsLeft(), flag(v.GetPlacedBy() != "", ", placed by "+v.GetPlacedBy()))
		fmt.Fprintln(w, "backend server\tdomain\trequests here\tprompt tokens to read\tnews ms ago\tstate")
		for _, b := range v.GetBackends() {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", b.GetBackend(), b.GetDomain(), b.GetLoad().GetRequests(),
				b.GetLoad().GetPrefillTokens(), b.GetNewsMillis(), strings.TrimSpace(flag(b.GetLeaving(), "leaving ")+flag(b.GetAvoided(), "avoided")))
		}
	}
	if len(s.GetErrors()) > 0 {
		fmt.Fprintln(w, "\nerror answered\tsince the start")
	}
	for _, e := range s.GetErrors() {
		fmt.Fprintf(w, "%s\t%d\n", e.GetCode(), e.GetCount())
	}
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
