package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/wire"
)

const (
	// orderTimeout is how long an order is resent until it is acknowledged.
	orderTimeout = 5 * time.Second
	// orderAttemptTimeout bounds one attempt, and orderInterval is the pause after it.
	orderAttemptTimeout = time.Second
	orderInterval       = 100 * time.Millisecond
	// defaultEvacuationWait is how long evacuate waits for all live VMs to confirm an order.
	defaultEvacuationWait = 5 * time.Second
)

var (
	errOneDomain    = eris.New("exactly one DOMAIN argument is required")
	errNotConfirmed = eris.New("the order is committed, but not all live VMs have confirmed it yet; see foldctl status")
)

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Usage:     "send no more requests to the backend servers of a failure domain",
		ArgsUsage: "DOMAIN",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "undo", Usage: "revoke the order: the domain gets requests again"},
			&cli.DurationFlag{Name: "wait", Value: defaultEvacuationWait, Usage: "maximum time to wait until all live VMs have confirmed the order; 0 does not wait"},
		},
		Action: evacuate,
	}
}

func evacuate(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errOneDomain
	}
	domain, undo := c.Args().First(), c.Bool("undo")
	order := client(c)
	version, err := orderEvacuation(ctx, order, &wire.EvacuateRequest{Domain: domain, Undo: undo})
	if err != nil {
		return fmt.Errorf("evacuate %s (it may take effect all the same; resend it): %w", domain, err)
	}
	state := "evacuated"
	if undo {
		state = "no longer evacuated"
	}
	fmt.Printf("%s is %s, version %d\n", domain, state, version)
	return awaitConfirmed(ctx, order, version, c.Duration("wait"))
}

// orderEvacuation sends an order until it is acknowledged, rejected as invalid, or
// orderTimeout has passed. It returns the version of the set of evacuated failure domains.
//
// The order names the version of the set that it is to change, zero at first, so that a copy of it
// that is held up on its way can't undo a later order.
func orderEvacuation(ctx context.Context, order wire.OperatorServiceClient, req *wire.EvacuateRequest) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	version := uint64(0)
	for {
		attempt, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
		res, err := order.Evacuate(attempt, connect.NewRequest(&wire.EvacuateRequest{Domain: req.GetDomain(), Undo: req.GetUndo(), IfVersion: &version}))
		cancel()
		if err == nil && !res.Msg.GetOutdated() {
			return res.Msg.GetEvacuations().GetVersion(), nil
		}
		if err == nil {
			version = res.Msg.GetEvacuations().GetVersion()
			continue
		}
		var failed *connect.Error
		if ctx.Err() != nil || errors.As(err, &failed) && (failed.Code() == connect.CodeInvalidArgument || failed.Code() == connect.CodeUnauthenticated || failed.Code() == connect.CodeUnimplemented) {
			return 0, err
		}
		select {
		case <-time.After(orderInterval):
		case <-ctx.Done():
			return 0, err
		}
	}
}

// awaitConfirmed waits until all live VMs have confirmed a version, at most for the time
// wait. It prints how many have, and returns an error if some have not.
func awaitConfirmed(ctx context.Context, order wire.OperatorServiceClient, version uint64, wait time.Duration) error {
	if wait == 0 {
		return nil
	}
	begun := time.Now()
	for {
		res, err := order.Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		if err != nil {
			return fmt.Errorf("status: %w", err)
		}
		lagging := laggingVMs(res.Msg, version)
		waited := time.Since(begun)
		if len(lagging) == 0 {
			fmt.Printf("confirmed by all %d live VMs after %d ms\n", 1+len(res.Msg.GetPeers()), waited.Milliseconds())
			return nil
		}
		if waited >= wait {
			return fmt.Errorf("after %d ms without %s: %w", waited.Milliseconds(), strings.Join(lagging, ", "), errNotConfirmed)
		}
		select {
		case <-time.After(orderInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// laggingVMs returns the live VMs that have not confirmed a version of the set of evacuated
// failure domains, as far as the VM with the status knows. VMs of earlier versions never do.
func laggingVMs(s *wire.StatusResponse, version uint64) []string {
	var out []string
	for _, p := range append([]*wire.Peer{s.GetSelf()}, s.GetPeers()...) {
		if p.GetEvacuationsVersion() < version {
			out = append(out, p.GetId())
		}
	}
	return out
}

// writeEvacuations writes the evacuated failure domains, with what still runs there, and the
// VMs that have not confirmed the set. It writes nothing if there was never any order.
func writeEvacuations(w io.Writer, s *wire.StatusResponse) {
	set := s.GetEvacuations()
	if set.GetVersion() == 0 {
		return
	}
	if len(set.GetDomains()) == 0 {
		fmt.Fprintf(w, "\nno failure domain is evacuated, version %d%s\n", set.GetVersion(), laggingText(s))
		return
	}
	fmt.Fprintf(w, "\nevacuated failure domains, version %d%s\n", set.GetVersion(), laggingText(s))
	fmt.Fprintln(w, "domain\tsince\tbackend servers\trunning there\tof this VM")
	for _, d := range set.GetDomains() {
		servers, running, own := workIn(s, d.GetDomain())
		since := time.UnixMilli(int64(d.GetSinceUnixMillis())).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", d.GetDomain(), since, servers, running, own)
	}
}

func laggingText(s *wire.StatusResponse) string {
	lagging := laggingVMs(s, s.GetEvacuations().GetVersion())
	if len(lagging) == 0 {
		return ", confirmed by all live VMs"
	}
	return ", NOT CONFIRMED by " + strings.Join(lagging, ", ")
}

// workIn returns the number of backend servers in a failure domain, of the requests that they
// report as running or waiting, and of the requests in progress there of the VM with the
// status.
func workIn(s *wire.StatusResponse, domain string) (servers, running, own uint64) {
	for _, b := range s.GetBackends() {
		if b.GetDomain() == domain {
			servers++
			running += uint64(b.GetLoad().GetRunning() + b.GetLoad().GetWaiting())
		}
	}
	for _, v := range s.GetServices() {
		for _, b := range v.GetBackends() {
			if b.GetDomain() == domain {
				own += uint64(b.GetLoad().GetRequests())
			}
		}
	}
	return servers, running, own
}
