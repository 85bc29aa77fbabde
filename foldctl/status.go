package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"fuchsiafold.example/fold/repl"
	"fuchsiafold.example/wire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show VMs, backend servers, classes, evacuations, services, errors and the control group as seen by one or more VMs",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "watch", Usage: "metrics address of a VM to query instead; may be repeated"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON document per VM"},
		},
		Action: status,
	}
}

func status(ctx context.Context, c *cli.Command) error {
	show := func(addr string, s *wire.StatusResponse) error {
		group, err := fetchReport(ctx, addr, c.String("token"))
		if err != nil {
			fmt.Fprintln(os.Stderr, "foldctl:", err)
		}
		if c.Bool("json") {
			return writeJSON(os.Stdout, s, group)
		}
		return writeStatus(os.Stdout, s, group)
	}
	watched := c.StringSlice("watch")
	if len(watched) == 0 {
		res, err := client(c).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		if err != nil {
			return fmt.Errorf("status: %w", err)
		}
		return show(c.String("addr"), res.Msg)
	}
	for _, addr := range watched {
		res, err := watchClientAt(c, addr).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		if err != nil {
			return fmt.Errorf("status of %s: %w", addr, err)
		}
		if err := show(addr, res.Msg); err != nil {
			return err
		}
	}
	return nil
}

// writeJSON writes the status as one line of JSON, with the report of the control group as
// controlGroup unless it is nil.
func writeJSON(w io.Writer, s *wire.StatusResponse, group *repl.GroupReport) error {
	b, err := protojson.Marshal(s)
	if err == nil && group != nil {
		b, err = addField(b, "controlGroup", group)
	}
	if err != nil {
		return fmt.Errorf("encode status: %w", err)
	}
	_, err = fmt.Fprintf(w, "%s\n", b)
	return err
}

// addField returns the JSON object with one more field.
func addField(object []byte, name string, value any) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(object, &fields); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	fields[name] = encoded
	return json.Marshal(fields)
}

// writeStatus writes the status as text, with the report of the control group unless it is
// nil.
func writeStatus(w io.Writer, s *wire.StatusResponse, group *repl.GroupReport) error {
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
	writeEvacuations(t, s)
	writeServices(t, s)
	switch {
	case group != nil:
		writeGroup(t, group)
	case len(s.GetControls()) > 0:
		fmt.Fprintln(t, "\ncontrol replica\tVM\tvoter\tleader")
		for _, m := range s.GetControls() {
			fmt.Fprintf(t, "%s\t%s\t%t\t%s\n", m.GetId(), m.GetVm(), m.GetVoter(), flag(m.GetVm() == s.GetControlLeader(), "leader"))
		}
	}
	return t.Flush()
}

// writeServices writes the VM's view of each service with forwarded requests: the
// retry budget, and for each backend server the VM's own requests in progress and
// the age of the latest direct report. It then writes the number of error
// responses by code.
func writeServices(w io.Writer, s *wire.StatusResponse) {
	for _, v := range s.GetServices() {
		fmt.Fprintf(w, "\nservice %s: %d requests and %d retries in the window, %d retries remaining%s%s\n",
			v.GetService(), v.GetRequests(), v.GetRepeats(), v.GetRepeatsLeft(),
			flag(v.GetPlacedBy() != "", ", placed by "+v.GetPlacedBy()), flag(v.GetIssuer() != "", ", permits issued by "+v.GetIssuer()))
		fmt.Fprintln(w, "backend server\tdomain\tlocal requests\tlocal prefill tokens\treport age ms\tstate")
		for _, b := range v.GetBackends() {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", b.GetBackend(), b.GetDomain(), b.GetLoad().GetRequests(),
				b.GetLoad().GetPrefillTokens(), b.GetNewsMillis(), backendState(b))
		}
	}
	if len(s.GetErrors()) > 0 {
		fmt.Fprintln(w, "\nerror code\tanswers since start")
	}
	for _, e := range s.GetErrors() {
		fmt.Fprintf(w, "%s\t%d\n", e.GetCode(), e.GetCount())
	}
}

// backendState returns what keeps requests from a backend server, or slows them down.
func backendState(b *wire.BackendView) string {
	limit := fmt.Sprintf("limited to %g/s", b.GetLimit().GetPerSecond())
	cold := fmt.Sprintf("cold for %d ms at %g/s ", b.GetColdMillis(), b.GetStartRate())
	return strings.TrimSpace(flag(b.GetLeaving(), "leaving ") + flag(b.GetAvoided(), "avoided ") + flag(b.GetStartRate() > 0, cold) + flag(b.GetLimit() != nil, limit))
}

// flag returns text if set is true, and an empty string otherwise.
func flag(set bool, text string) string {
	if set {
		return text
	}
	return ""
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "make a VM report itself unhealthy and reject new requests",
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
