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

// defaultWait is how long apply waits for a configuration to be in force at all
// live VMs.
const defaultWait = 10 * time.Second

var (
	errOneFile  = eris.New("exactly one FILE argument is required")
	errConflict = eris.New("conflict: another configuration was applied in the meantime; read it with \"foldctl config\", then apply again with --base")
	errLagging  = eris.New("configuration is not in force at all live VMs yet")
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

// readConfig reads and checks the configuration file given as the only argument.
// It returns the file's contents and the parsed document.
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
		Usage:     "apply a configuration and wait until it is in force at every live VM",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "base", Usage: "revision that the file is based on; defaults to the one in force at the VM"},
			&cli.StringFlag{Name: "change", Usage: "change ID, which makes a change idempotent; repeat it to resend a change whose response was lost"},
			&cli.DurationFlag{Name: "wait", Value: defaultWait, Usage: "maximum time to wait until the configuration is in force; 0 does not wait"},
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
		return fmt.Errorf("apply configuration (if there was no response, resend with --base %d --change %s): %w", req.GetBaseRevision(), req.GetChangeId(), err)
	}
	return printApplyResult(res.Msg, c.Duration("wait"))
}

// printApplyResult prints the result of apply. It returns an error after a
// conflict, or if some VMs still lag at the end of a wait.
func printApplyResult(r *wire.ApplyResponse, wait time.Duration) error {
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

// revisionInForce returns the revision in force at the VM given by the flag addr.
func revisionInForce(ctx context.Context, c *cli.Command) (uint64, error) {
	res, err := client(c).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
	if err != nil {
		return 0, fmt.Errorf("get revision in force: %w", err)
	}
	return res.Msg.GetSelf().GetConfigRevision(), nil
}

// newChangeID returns a random change ID.
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
			_, proposed, err := readConfig(c)
			if err != nil {
				return err
			}
			res, err := client(c).Config(ctx, connect.NewRequest(&wire.ConfigRequest{}))
			if err != nil {
				return fmt.Errorf("config: %w", err)
			}
			current, err := spec.Parse(res.Msg.GetDocument())
			if err != nil {
				return err
			}
			return printDiff(current, proposed)
		},
	}
}

func printDiff(current, proposed *spec.Document) error {
	a, err := json.MarshalIndent(current, "", "  ")
	if err != nil {
		return fmt.Errorf("print configuration: %w", err)
	}
	b, err := json.MarshalIndent(proposed, "", "  ")
	if err != nil {
		return fmt.Errorf("print configuration: %w", err)
	}
	for _, l := range diffLines(strings.Split(string(a), "\n"), strings.Split(string(b), "\n")) {
		fmt.Println(l)
	}
	return nil
}

// diffLines returns the lines that differ between a and b, in order. Lines that
// only a has are prefixed with "- ", lines that only b has with "+ ".
func diffLines(a, b []string) []string {
	lengths := commonLengths(a, b)
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && lengths[i][j] == lengths[i+1][j+1]+1 && a[i] == b[j]:
			i++
			j++
		case j == len(b) || (i < len(a) && lengths[i+1][j] >= lengths[i][j+1]):
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

// commonLengths returns a table whose element [i][j] is the length of the longest
// common subsequence of a[i:] and b[j:].
func commonLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			}
		}
	}
	return lengths
}
