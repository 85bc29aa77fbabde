// Package conf reads and checks the settings file of one foldd process.
package conf

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/retry"
	"fuchsiafold.example/fold/strict"
)

// Settings is one settings file. Zero optional fields take the defaults
// stated at the constants below.
type Settings struct {
	// ID names this VM; no two VMs share it.
	ID string `json:"id"`
	// Domain is the failure domain of this VM.
	Domain string `json:"domain"`
	// Region groups failure domains between which requests may spill; empty
	// when a deployment has one region.
	Region string `json:"region,omitempty"`
	Listen Listen `json:"listen"`
	// Seeds lists addresses of control VMs from which the others are found.
	// Only their IP addresses count: the peer port is this VM's own. They are
	// added to Peers and Controls.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// Peers lists the peer addresses of other VMs.
	Peers []netip.AddrPort `json:"peers,omitempty"`
	// ControlVMs lists the peer addresses of the control VMs.
	ControlVMs []netip.AddrPort `json:"controls,omitempty"`
	Control    *Control         `json:"control,omitempty"`
	// HandleKey seals resume handles; all VMs of a deployment share it.
	HandleKey     string `json:"handleKey"`
	PeerToken     string `json:"peerToken,omitempty"`
	BackendToken  string `json:"backendToken,omitempty"`
	OperatorToken string `json:"operatorToken,omitempty"`
	Limits        Limits `json:"limits,omitempty"`
	Log           Log    `json:"log,omitempty"`
	Trace         Trace  `json:"trace,omitempty"`
	// PrivateNetwork says that only VMs of the system reach the peers' and operators'
	// addresses, so that these need no tokens.
	PrivateNetwork bool  `json:"private,omitempty"`
	Retry          Retry `json:"retry,omitempty"`
	// RecordFile names a file to which arrivals are appended for replay.
	RecordFile string `json:"record,omitempty"`
}

// Listen holds the addresses that the process serves on. All but Peers may be
// left out: a VM without Callers serves no callers, one without Backends takes
// no announcements, one without Operators is steered through others.
type Listen struct {
	Callers   netip.AddrPort `json:"callers,omitzero"`
	Backends  netip.AddrPort `json:"backends,omitzero"`
	Peers     netip.AddrPort `json:"peers"`
	Operators netip.AddrPort `json:"operators,omitzero"`
	// Health answers whether the VM takes new callers.
	Health netip.AddrPort `json:"health,omitzero"`
	// Metrics serves counters and histograms as text.
	Metrics netip.AddrPort `json:"metrics,omitzero"`
}

// Retry bounds what all VMs together send again, for each service.
type Retry struct {
	// Share is the number of repeats for each request.
	Share float64 `json:"share,omitempty"`
	// Window is the time over which repeats and requests are counted.
	Window strict.Duration `json:"window,omitempty"`
	// Reserve is the number of repeats in a window besides, for all VMs.
	Reserve float64 `json:"reserve,omitempty"`
}

// Control makes the VM a control replica.
type Control struct {
	// DataFolder holds the replica's log and snapshots.
	DataFolder string `json:"dataFolder"`
	// Bootstrap starts a new group with this VM as its only voter.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// FormGroup starts a new group with the VMs of Controls as its voters, if the
	// folder is empty and this VM is one of them. Every one of them has the same
	// Controls then.
	FormGroup bool `json:"form,omitempty"`
}

// Limits bounds what the process spends.
type Limits struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int `json:"maxBody,omitempty"`
	// MaxAnswer is the largest answer of a plain service in bytes.
	MaxAnswer int `json:"maxAnswer,omitempty"`
	// MaxStreams is the largest number of requests in progress.
	MaxStreams int `json:"maxStreams,omitempty"`
	// DrainTimeout bounds how long a shutdown waits for requests in progress.
	DrainTimeout strict.Duration `json:"drainTimeout,omitempty"`
	// DrainLinger is how long a shutdown goes on taking requests at least, until
	// the balancer has noticed; only for VMs that serve callers.
	DrainLinger strict.Duration `json:"drainLinger,omitempty"`
	// WriteTimeout is how long a caller may read nothing.
	WriteTimeout strict.Duration `json:"writeTimeout,omitempty"`
	// StallTimeout is the silence after which an engine's link is probed.
	StallTimeout strict.Duration `json:"stallTimeout,omitempty"`
	// ConnectTimeout bounds the time to an engine's response header.
	ConnectTimeout strict.Duration `json:"connectTimeout,omitempty"`
	// HandleTTL is how long a resume handle is good for.
	HandleTTL strict.Duration `json:"handleLife,omitempty"`
	// BackendLease is how long a backend server counts as present after it was
	// last heard.
	BackendLease strict.Duration `json:"backendLease,omitempty"`
}

// Log sets the log's level and form.
type Log struct {
	Level  string `json:"level,omitempty"`
	Format string `json:"format,omitempty"`
}

// Trace chooses the exporter of traces.
type Trace struct {
	// Exporter is ExporterNone, ExporterStdout or ExporterOTLP.
	Exporter string `json:"exporter,omitempty"`
	// Endpoint is the URL for ExporterOTLP.
	Endpoint string `json:"endpoint,omitempty"`
	// SampleRatio is the share of requests that are traced, 0 to 1; zero means all.
	SampleRatio float64 `json:"share,omitempty"`
}

// Exporters of traces.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// Defaults of optional settings.
const (
	DefaultMaxBody        = 1 << 20
	DefaultMaxAnswer      = 8 << 20
	DefaultMaxStreams     = 12_000
	DefaultDrainTimeout   = 10 * time.Minute
	DefaultWriteTimeout   = 30 * time.Second
	DefaultStallTimeout   = 2 * time.Second
	DefaultConnectTimeout = time.Second
	DefaultHandleTTL      = time.Hour
)

// MaxControlVMs bounds the control VMs that settings name.
const MaxControlVMs = 9

// minHandleKey is the shortest handle key in bytes.
const minHandleKey = 16

// Load reads, checks and completes the settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse checks and completes settings.
func Parse(data []byte) (*Settings, error) {
	s := new(Settings)
	if err := strict.Decode(data, s); err != nil {
		return nil, err
	}
	s.fill()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) fill() {
	l := &s.Limits
	fillInt(&l.MaxBody, DefaultMaxBody)
	fillInt(&l.MaxAnswer, DefaultMaxAnswer)
	fillInt(&l.MaxStreams, DefaultMaxStreams)
	fillDuration(&l.DrainTimeout, DefaultDrainTimeout)
	fillDuration(&l.WriteTimeout, DefaultWriteTimeout)
	fillDuration(&l.StallTimeout, DefaultStallTimeout)
	fillDuration(&l.ConnectTimeout, DefaultConnectTimeout)
	fillDuration(&l.HandleTTL, DefaultHandleTTL)
	fillDuration(&l.BackendLease, member.DefaultLease)
	fillDuration(&s.Retry.Window, retry.DefaultWindow)
	if s.Retry.Share == 0 {
		s.Retry.Share = retry.DefaultShare
	}
	s.addSeeds()
	fillString(&s.Log.Level, "info")
	fillString(&s.Log.Format, "text")
	fillString(&s.Trace.Exporter, ExporterNone)
	if s.Trace.SampleRatio == 0 {
		s.Trace.SampleRatio = 1
	}
}

// addSeeds makes peers and control VMs of the seeds.
func (s *Settings) addSeeds() {
	for _, seed := range s.Seeds {
		a := netip.AddrPortFrom(seed.Addr(), s.Listen.Peers.Port())
		if !slices.Contains(s.ControlVMs, a) {
			s.ControlVMs = append(s.ControlVMs, a)
		}
		if a != s.Listen.Peers && !slices.Contains(s.Peers, a) {
			s.Peers = append(s.Peers, a)
		}
	}
}

func fillInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func fillString(v *string, d string) {
	if *v == "" {
		*v = d
	}
}

func fillDuration(v *strict.Duration, d time.Duration) {
	if *v == 0 {
		*v = strict.Duration(d)
	}
}

func (s *Settings) check() error {
	var errs strict.Errors
	if s.ID == "" {
		errs.Add("id", "want a name for this VM")
	}
	if s.Domain == "" {
		errs.Add("domain", "want the name of this VM's failure domain")
	}
	if len(s.HandleKey) < minHandleKey && s.Listen.Callers.IsValid() {
		errs.Add("handleKey", "want %d bytes or more", minHandleKey)
	}
	s.checkListen(&errs)
	s.checkLimits(&errs)
	s.checkControl(&errs)
	oneOf("log.level", s.Log.Level, &errs, "debug", "info", "warn", "error")
	oneOf("log.format", s.Log.Format, &errs, "text", "json")
	oneOf("trace.exporter", s.Trace.Exporter, &errs, ExporterNone, ExporterStdout, ExporterOTLP)
	if (s.Trace.Exporter == ExporterOTLP) != (s.Trace.Endpoint != "") {
		errs.Add("trace.endpoint", "goes with exporter %q, and must be there then", ExporterOTLP)
	}
	if s.Trace.SampleRatio < 0 || s.Trace.SampleRatio > 1 {
		errs.Add("trace.share", "want 0 to 1")
	}
	return errs.Err()
}

func (s *Settings) checkListen(errs *strict.Errors) {
	addrs := []struct {
		path string
		addr netip.AddrPort
	}{
		{"listen.callers", s.Listen.Callers},
		{"listen.backends", s.Listen.Backends},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
		{"listen.health", s.Listen.Health},
		{"listen.metrics", s.Listen.Metrics},
	}
	if !s.Listen.Callers.IsValid() && s.Control == nil {
		errs.Add("listen", "want an address for callers, or control for a VM that serves none")
	}
	seen := map[netip.AddrPort]string{}
	for _, a := range addrs {
		if !a.addr.IsValid() && a.path != "listen.peers" {
			continue
		}
		if !a.addr.IsValid() {
			errs.Add(a.path, "want an IP address and a port, such as \"127.0.0.1:8080\"")
			continue
		}
		if first := seen[a.addr]; first != "" && a.addr.Port() != 0 {
			errs.Add(a.path, "is the same as %s", first)
		}
		seen[a.addr] = a.path
	}
	s.checkOpen("listen.operators", s.Listen.Operators, "operatorToken", s.OperatorToken, errs)
	s.checkOpen("listen.peers", s.Listen.Peers, "peerToken", s.PeerToken, errs)
}

// checkOpen refuses an address that other machines reach without a token.
func (s *Settings) checkOpen(path string, a netip.AddrPort, field, token string, errs *strict.Errors) {
	if a.IsValid() && !a.Addr().IsLoopback() && token == "" && !s.PrivateNetwork {
		errs.Add(path, "%v is not a loopback address: set %s, or private", a, field)
	}
}

func (s *Settings) checkLimits(errs *strict.Errors) {
	l := s.Limits
	intRange("limits.maxBody", l.MaxBody, 1_024, 64<<20, errs)
	intRange("limits.maxAnswer", l.MaxAnswer, 1_024, 256<<20, errs)
	intRange("limits.maxStreams", l.MaxStreams, 1, 100_000, errs)
	durationRange("limits.drainTimeout", l.DrainTimeout, 100*time.Millisecond, 24*time.Hour, errs)
	durationRange("limits.drainLinger", l.DrainLinger, 0, time.Hour, errs)
	durationRange("limits.writeTimeout", l.WriteTimeout, 100*time.Millisecond, time.Hour, errs)
	durationRange("limits.stallTimeout", l.StallTimeout, 50*time.Millisecond, time.Minute, errs)
	durationRange("limits.connectTimeout", l.ConnectTimeout, 10*time.Millisecond, time.Minute, errs)
	durationRange("limits.handleLife", l.HandleTTL, time.Second, 7*24*time.Hour, errs)
	durationRange("limits.backendLease", l.BackendLease, 100*time.Millisecond, time.Hour, errs)
	durationRange("retry.window", s.Retry.Window, 100*time.Millisecond, time.Hour, errs)
	if s.Retry.Reserve < 0 || s.Retry.Reserve > 1_000_000 {
		errs.Add("retry.reserve", "want 0 to 1000000, got %v", s.Retry.Reserve)
	}
	if s.Retry.Share < 0 || s.Retry.Share > 10 {
		errs.Add("retry.share", "want 0 to 10")
	}
}

func (s *Settings) checkControl(errs *strict.Errors) {
	if s.Control != nil && s.Control.DataFolder == "" {
		errs.Add("control.dataFolder", "want a folder on this VM's disk")
	}
	if s.Control != nil && s.Control.FormGroup && s.Control.Bootstrap {
		errs.Add("control.form", "does not go with bootstrap")
	}
	if n := len(s.ControlVMs); n > MaxControlVMs {
		errs.Add("controls", "want at most %d control VMs, got %d", MaxControlVMs, n)
	}
}

func intRange(path string, v, lo, hi int, errs *strict.Errors) {
	if v < lo || v > hi {
		errs.Add(path, "want %d to %d, got %d", lo, hi, v)
	}
}

func durationRange(path string, v strict.Duration, lo, hi time.Duration, errs *strict.Errors) {
	if time.Duration(v) < lo || time.Duration(v) > hi {
		errs.Add(path, "want %v to %v, got %v", lo, hi, v)
	}
}

func oneOf(path, v string, errs *strict.Errors, allowed ...string) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	errs.Add(path, "want one of %v, got %q", allowed, v)
}

// IsFieldError reports whether err names a field of a settings file.
func IsFieldError(err error) bool {
	var fe *strict.FieldError
	return errors.As(err, &fe)
}
