package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/foldfake/host"
	"fuchsiafold.example/foldfake/plain"
)

// backendFlags returns the flags that the engine and service commands share.
func backendFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "id", Required: true, Usage: "name of the backend server"},
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP address and port to listen on"},
		&cli.StringFlag{Name: "domain", Value: "demo-a", Usage: "failure domain"},
		&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "address and port of an entry VM that receives announcements; may be repeated"},
		&cli.StringFlag{Name: "token", Usage: "token for announcements", Sources: cli.EnvVars("FOLD_BACKEND_TOKEN")},
		&cli.DurationFlag{Name: "interval", Value: host.DefaultInterval, Usage: "time between announcements"},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a stand-in model engine",
		Flags: append(backendFlags(),
			&cli.StringFlag{Name: "service", Value: "advice-models", Usage: "service that the engine belongs to"},
			&cli.StringFlag{Name: "model", Value: "advice-7b", Usage: "model that the engine serves"},
			&cli.DurationFlag{Name: "lag", Usage: "age of the load reports"},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "seed of the answer lengths"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "reject orders with an outdated fencing token"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			addr, entries, err := parseAddresses(c)
			if err != nil {
				return err
			}
			e, err := host.New(host.Config{
				ID: c.String("id"), Addr: addr, Service: c.String("service"), Model: c.String("model"),
				Domain: c.String("domain"), Version: "1", Entries: entries, BackendToken: c.String("token"),
				ChecksFencingToken: c.Bool("checks-fence"), Seed: uint64(c.Uint("seed")),
				Interval: c.Duration("interval"), Lag: c.Duration("lag"), Log: logrus.New(),
			})
			if err != nil {
				return err
			}
			fmt.Println("listening on", e.Addr())
			return leaveOnSignal(e, func() bool { l := e.Load(); return l.Running+l.Waiting == 0 })
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a stand-in plain service",
		Flags: append(backendFlags(),
			&cli.StringFlag{Name: "service", Value: "booking-app", Usage: "service that the backend server belongs to"},
			&cli.DurationFlag{Name: "delay", Value: 5 * time.Millisecond, Usage: "duration of a call"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			addr, entries, err := parseAddresses(c)
			if err != nil {
				return err
			}
			s, err := plain.New(plain.Config{
				ID: c.String("id"), Addr: addr, Service: c.String("service"), Domain: c.String("domain"),
				Entries: entries, BackendToken: c.String("token"), Delay: c.Duration("delay"),
				Interval: c.Duration("interval"), Log: logrus.New(),
			})
			if err != nil {
				return err
			}
			fmt.Println("listening on", s.Addr())
			return leaveOnSignal(s, func() bool { return true })
		},
	}
}

// parseAddresses returns the listen address and the addresses of the entry VMs.
func parseAddresses(c *cli.Command) (netip.AddrPort, []netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(c.String("listen"))
	if err != nil {
		return addr, nil, fmt.Errorf("parse --listen: %w", err)
	}
	var entries []netip.AddrPort
	for _, v := range c.StringSlice("entry") {
		e, err := netip.ParseAddrPort(v)
		if err != nil {
			return addr, nil, fmt.Errorf("parse --entry: %w", err)
		}
		entries = append(entries, e)
	}
	return addr, entries, nil
}

// backendServer is a running stand-in. Leave announces that it is shutting down,
// so that it is sent no new requests.
type backendServer interface {
	Leave()
	Close() error
}

// idlePollInterval is the time between two checks whether a leaving server is
// idle.
const idlePollInterval = 50 * time.Millisecond

// leaveOnSignal waits for SIGTERM or SIGINT, announces that the server is
// leaving, and closes it once idle returns true or a second signal arrives.
func leaveOnSignal(server backendServer, idle func() bool) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	server.Leave()
	t := time.NewTicker(idlePollInterval)
	defer t.Stop()
	for !idle() {
		select {
		case <-t.C:
		case <-signals:
			return server.Close()
		}
	}
	return server.Close()
}
