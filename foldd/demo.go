package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/tmaxmax/go-sse"
	"github.com/urfave/cli/v3"

	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldfake/host"
	"fuchsiafold.example/foldfake/plain"
	"fuchsiafold.example/wire"
)

// demoConfig is the configuration document of the demo.
//
//go:embed demo.jsonc
var demoConfig []byte

const (
	// demoKey is the key of the workspace in demoConfig.
	demoKey         = "demo-key"
	demoEngineCount = 2
	// demoPort is the default port for callers; the next three ports are those
	// for backend servers, VMs and operators.
	demoPort = 8080
	// demoTimeout bounds applying the configuration, waiting for a backend server
	// and the shutdown, each.
	demoTimeout = 5 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run an entry VM and stand-in backend servers in one process on loopback",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "stop after the first generation"},
			&cli.IntFlag{Name: "port", Value: demoPort, Usage: "port for callers; the next three ports are for backend servers, VMs and operators; 0 selects free ports"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runDemo(ctx, int(c.Int("port")), c.Bool("once"))
		},
	}
}

// runDemo runs the demo. If once is set, it returns after the first generation;
// otherwise it serves until SIGTERM or SIGINT.
func runDemo(ctx context.Context, port int, once bool) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	log, sink := app.NewLogger(conf.Log{Level: "warn"})
	defer sink.Close()
	folder, err := os.MkdirTemp("", "fuchsiafold-demo-")
	if err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	defer os.RemoveAll(folder)
	s, err := demoSettings(port, folder)
	if err != nil {
		return err
	}
	a, err := app.New(ctx, s, log)
	if err != nil {
		return err
	}
	if err := applyDemoConfig(ctx, a.Addrs().Operators); err != nil {
		return err
	}
	if err := startDemoBackends(a.Addrs().Backends, log); err != nil {
		return err
	}
	if err := printDemoGeneration(ctx, a.Addrs().Callers); err != nil {
		return err
	}
	if once {
		return a.ShutdownWithin(signals, demoTimeout)
	}
	printDemoHelp(a.Addrs())
	<-signals
	return a.ShutdownWithin(signals, demoTimeout)
}

// demoSettings returns the settings of the demo's VM. Port 0 selects free ports.
func demoSettings(port int, folder string) (*conf.Settings, error) {
	listenAddr := func(i int) string {
		if port == 0 {
			return "127.0.0.1:0"
		}
		return fmt.Sprintf("127.0.0.1:%d", port+i)
	}
	text := fmt.Sprintf(`{
		"id": "demo-1", "domain": "demo-a", "handleKey": "demo-handle-key-0",
		"listen": {"callers": %q, "backends": %q, "peers": %q, "operators": %q},
		"control": {"dataFolder": %q, "bootstrap": true},
		"log": {"level": "warn"},
	}`, listenAddr(0), listenAddr(1), listenAddr(2), listenAddr(3), folder)
	return conf.Parse([]byte(text))
}

// applyDemoConfig applies demoConfig by the operators' API.
func applyDemoConfig(ctx context.Context, operators netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	c := wire.NewOperatorServiceClient(http.DefaultClient, "http://"+operators.String())
	req := &wire.ApplyRequest{ChangeId: "demo", Document: demoConfig, WaitMillis: uint64(demoTimeout.Milliseconds())}
	res, err := c.Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return fmt.Errorf("apply demo configuration: %w", err)
	}
	fmt.Printf("configuration in force as revision %d\n", res.Msg.GetRevision())
	return nil
}

// startDemoBackends starts stand-in engines and one stand-in plain service, which
// announce themselves to the VM at the address entries. They run until the
// process exits.
func startDemoBackends(entries netip.AddrPort, log *logrus.Logger) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	for i := range demoEngineCount {
		_, err := host.New(host.Config{
			ID: fmt.Sprintf("engine-%d", i+1), Addr: loopback, Service: "advice-models", Model: "advice-7b",
			Domain: "demo-a", Version: "1", Entries: []netip.AddrPort{entries}, Seed: uint64(i), Log: log,
		})
		if err != nil {
			return err
		}
	}
	_, err := plain.New(plain.Config{
		ID: "booking-1", Addr: loopback, Service: "booking-app", Domain: "demo-a",
		Entries: []netip.AddrPort{entries}, Delay: 5 * time.Millisecond, Log: log,
	})
	return err
}

// printDemoGeneration requests one generation and prints its tokens as they
// arrive.
func printDemoGeneration(ctx context.Context, callers netip.AddrPort) error {
	res, err := sendDemoRequest(ctx, callers)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b, err := io.ReadAll(res.Body)
		return fmt.Errorf("completion request failed with status %d: %s: %w", res.StatusCode, b, err)
	}
	fmt.Println("one generation of class summary:")
	for ev, err := range sse.Read(res.Body, nil) {
		if err != nil {
			return fmt.Errorf("read event stream: %w", err)
		}
		printEvent(ev.Data)
	}
	return nil
}

// sendDemoRequest sends a completion request and retries it for up to
// demoTimeout while the VM responds with status 503, as it does until an engine has
// announced itself.
func sendDemoRequest(ctx context.Context, callers netip.AddrPort) (*http.Response, error) {
	body := []byte(`{"model":"advice-7b","prompt":"Summarise the intake notes. [len=40]","stream":true}`)
	deadline := time.Now().Add(demoTimeout)
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers.String()+"/v1/completions", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+demoKey)
		req.Header.Set("Fold-Class", "summary")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		if res.StatusCode != http.StatusServiceUnavailable || time.Now().After(deadline) {
			return res, nil
		}
		res.Body.Close()
		time.Sleep(50 * time.Millisecond)
	}
}

// demoEvent holds the fields of an event that the demo prints.
type demoEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Fold struct {
		Outcome string `json:"outcome"`
		Tokens  int    `json:"tokens"`
		CRC32C  string `json:"crc32c"`
	} `json:"fold"`
}

// printEvent prints the text of an event and the summary of a generation. It
// ignores events that aren't JSON, such as the end marker.
func printEvent(data string) {
	var e demoEvent
	if json.Unmarshal([]byte(data), &e) != nil {
		return
	}
	for _, c := range e.Choices {
		fmt.Print(c.Text)
	}
	if e.Fold.Outcome != "" {
		fmt.Printf("\noutcome %s, %d tokens, checksum %s\n", e.Fold.Outcome, e.Fold.Tokens, e.Fold.CRC32C)
	}
}

func printDemoHelp(a app.Addrs) {
	fmt.Printf(`
Serving on loopback until interrupted. Try:

  curl -N http://%[1]v/v1/completions -H 'Authorization: Bearer %[2]s' -H 'Fold-Class: summary' \
    -d '{"model":"advice-7b","prompt":"Summarise the intake notes.","stream":true}'
  curl http://%[1]v/booking/lookup -H 'Authorization: Bearer %[2]s'
  go run ./foldctl status --addr %[3]v
`, a.Callers, demoKey, a.Operators)
}
