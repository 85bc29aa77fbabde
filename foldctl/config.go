package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/wire"
)

// defaultWait is how long apply waits for a configuration to be in force.
const defaultWait = 10 * time.Second

var (
	errOneFile  = eris.New("want exactly one file")
	errConflict = eris.New("conflict: another configuration was applied meanwhile; read it with \"foldctl config\", then apply again with --base")
	errLagging  = eris.New("not in force everywhere yet")
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "print the configuration in force at a VM",
		Action: func(ctx context.Context, c *cli.Command) error {
			res, err := client(c).Config(ctx, connect.NewRequest(&wire.ConfigRequest{}))
			if err != nil {
				return fmt.Errorf("config: %w", err)
			}
			text, err := indent(res.Msg.GetDocument())
			if err != nil {
				return err
			}
			fmt.Printf("// revision %d\n%s\n", res.Msg.GetRevision(), text)
			return nil
		},
	}
}

func indent(document []byte) (string, error) {
	var out bytes.Buffer
	if err := json.Indent(&out, document, "", "  "); err != nil {
		return "", fmt.Errorf("print configuration: %w", err)
	}
	return out.String(), nil
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a configuration file",
		ArgsUsage: "FILE",
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, _, err := readConfig(c); err != nil {
				return err
			}
			fmt.Println(c.Args().First(), "is valid")
			return nil
		},
	}
}

// readConfig reads and checks the one file that the arguments name.
func readConfig(c *cli.Command) ([]byte, *spec.Document, error) {
	if c.Args().Len() != 1 {
		return nil, nil, errOneFile
	}
	data, err := os.ReadFile(c.Args().First())
	if err != nil {
		return nil, nil, fmt.Errorf("read configuration: %w", err)
	}
	d, err := spec.Parse(data)
	if err != nil {
		return nil, nil, err
	}
	return data, d, nil
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a configuration in force, and wait until it is at every live VM",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "base", Usage: "revision that the file was made from; without it the one in force at the VM"},
			&cli.StringFlag{Name: "change", Usage: "change ID; give the same one again to resend a change whose answer was lost"},
			&cli.DurationFlag{Name: "wait", Value: defaultWait, Usage: "longest wait for the configuration to be in force; 0 does not wait"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	data, _, err := readConfig(c)
	if err != nil {
		return err
	}
	req := &wire.ApplyRequest{
		BaseRevision: c.Uint64("base"),
		ChangeId:     c.String("change"),
		Document:     data,
		WaitMillis:   uint64(c.Duration("wait").Milliseconds()),
	}
	if !c.IsSet("base") {
		if req.BaseRevision, err = revisionInForce(ctx, c); err != nil {
			return err
		}
	}
	if req.ChangeId == "" {
		req.ChangeId = newChangeID()
	}
	fmt.Printf("change %s on revision %d\n", req.GetChangeId(), req.GetBaseRevision())
	res, err := client(c).Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return fmt.Errorf("apply (resend with --base %d --change %s if no answer came): %w", req.GetBaseRevision(), req.GetChangeId(), err)
	}
	return reportApply(res.Msg, c.Duration("wait"))
}

func reportApply(r *wire.ApplyResponse, wait time.Duration) error {
	if r.GetConflict() {
		return fmt.Errorf("the newest revision is %d: %w", r.GetRevision(), errConflict)
	}
	fmt.Printf("accepted as revision %d\n", r.GetRevision())
	if wait == 0 {
		return nil
	}
	if lagging := r.GetLagging(); len(lagging) > 0 {
		return fmt.Errorf("after %d ms at %d VMs, lagging: %s: %w", r.GetWaitedMillis(), r.GetInForce(), strings.Join(lagging, ", "), errLagging)
	}
	fmt.Printf("in force at all %d live VMs after %d ms\n", r.GetInForce(), r.GetWaitedMillis())
	return nil
}

func revisionInForce(ctx context.Context, c *cli.Command) (uint64, error) {
	res, err := client(c).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
	if err != nil {
		return 0, fmt.Errorf("ask for the revision in force: %w", err)
	}
	return res.Msg.GetSelf().GetConfigRevision(), nil
}

func newChangeID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what a configuration file would change",
		ArgsUsage: "FILE",
		Action: func(ctx context.Context, c *cli.Command) error {
			_, want, err := readConfig(c)
			if err != nil {
				return err
			}
			res, err := client(c).Config(ctx, connect.NewRequest(&wire.ConfigRequest{}))
			if err != nil {
				return fmt.Errorf("config: %w", err)
			}
			have, err := spec.Parse(res.Msg.GetDocument())
			if err != nil {
				return err
			}
			return printDiff(have, want)
		},
	}
}

func printDiff(have, want *spec.Document) error {
	a, err := json.MarshalIndent(have, "", "  ")
	if err != nil {
		return fmt.Errorf("print configuration: %w", err)
	}
	b, err := json.MarshalIndent(want, "", "  ")
	if err != nil {
		return fmt.Errorf("print configuration: %w", err)
	}
	for _, l := range diffLines(strings.Split(string(a), "\n"), strings.Split(string(b), "\n")) {
		fmt.Println(l)
	}
	return nil
}

// diffLines returns the lines that only one side has, in order, each marked by
// its side.
func diffLines(a, b []string) []string {
	keep := longestCommon(a, b)
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && keep[i][j] == keep[i+1][j+1]+1 && a[i] == b[j]:
			i++
			j++
		case j == len(b) || (i < len(a) && keep[i+1][j] >= keep[i][j+1]):
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

// longestCommon returns, for each pair of places, the length of the longest
// common sequence of the lines from there on.
func longestCommon(a, b []string) [][]int {
	n := make([][]int, len(a)+1)
	for i := range n {
		n[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			n[i][j] = max(n[i+1][j], n[i][j+1])
			if a[i] == b[j] {
				n[i][j] = n[i+1][j+1] + 1
			}
		}
	}
	return n
}
