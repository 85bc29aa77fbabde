// Package conf reads and validates the settings file of a foldd process.
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

// Settings is the content of a settings file. Optional fields that are zero take
// their defaults.
type Settings struct {
	// ID identifies this VM. It is unique in the deployment.
	ID string `json:"id"`
	// Domain is the failure domain of this VM.
	Domain string `json:"domain"`
	// Region groups failure domains between which requests may spill over. It
	// is empty if the deployment has one region.
	Region string `json:"region,omitempty"`
	Listen Listen `json:"listen"`
	// Seeds lists addresses of control VMs through which the other VMs are
	// discovered. Only the IP addresses are used; the port is this VM's own peer
	// port. The resulting addresses are added to Peers and ControlVMs.
	Seeds []netip.AddrPort `json:"seeds,omitempty"`
	// Advertise is the address at which other VMs reach Listen.Peers. The zero value
	// means that address itself.
	Advertise netip.AddrPort `json:"advertise,omitzero"`
	// Peers lists the peer addresses of other VMs.
	Peers []netip.AddrPort `json:"peers,omitempty"`
	// ControlVMs lists the peer addresses of the control VMs.
	ControlVMs []netip.AddrPort `json:"controls,omitempty"`
	Control    *Control         `json:"control,omitempty"`
	// HandleKey signs resume handles. All VMs of a deployment share it.
	HandleKey     string `json:"handleKey"`
	PeerToken     string `json:"peerToken,omitempty"`
	BackendToken  string `json:"backendToken,omitempty"`
	OperatorToken string `json:"operatorToken,omitempty"`
	Limits        Limits `json:"limits,omitempty"`
	Log           Log    `json:"log,omitempty"`
	Trace         Trace  `json:"trace,omitempty"`
	// PrivateNetwork states that only VMs of the deployment can reach the
	// addresses for peers and operators, so that these need no tokens.
	PrivateNetwork bool  `json:"private,omitempty"`
	Retry          Retry `json:"retry,omitempty"`
	// RecordFile is the path of a trace file to which the arrivals of requests are
	// appended, for replay by foldfake. It is independent of Trace.
	RecordFile string `json:"record,omitempty"`
}

// Listen holds the addresses that the process serves on. All but Peers are
// optional. A VM without Callers serves no callers, a VM without Backends accepts
// no announcements, and a VM without Operators is operated through other VMs.
type Listen struct {
	Callers   netip.AddrPort `json:"callers,omitzero"`
	Backends  netip.AddrPort `json:"backends,omitzero"`
	Peers     netip.AddrPort `json:"peers"`
	Operators netip.AddrPort `json:"operators,omitzero"`
	// Health serves health checks: whether the VM accepts new callers.
	Health netip.AddrPort `json:"health,omitzero"`
	// Metrics serves counters and histograms as text.
	Metrics netip.AddrPort `json:"metrics,omitzero"`
}

// Retry is the retry budget of each service. All VMs share it.
type Retry struct {
	// Share is the number of retries allowed per request.
	Share float64 `json:"share,omitempty"`
	// Window is the time over which retries and requests are counted.
	Window strict.Duration `json:"window,omitempty"`
	// Reserve is the number of retries that all VMs together may make in a window
	// in addition to Share.
	Reserve float64 `json:"reserve,omitempty"`
}

// Control makes the VM a replica of the control group.
type Control struct {
	// DataFolder is the folder of the replica's log and snapshots.
	DataFolder string `json:"dataFolder"`
	// Bootstrap starts a new group with this VM as its only voter.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// FormGroup starts a new group with the VMs in ControlVMs as its voters, if
	// DataFolder is empty and this VM is one of them. All of these VMs must have
	// the same ControlVMs.
	FormGroup bool `json:"form,omitempty"`
}

// Limits bounds the sizes, counts and times of the process.
type Limits struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int `json:"maxBody,omitempty"`
	// BodyMemory bounds the memory in bytes of the bodies of all callers' requests in
	// progress. Requests of at most 64 KiB don't count. The default is MaxBody, and
	// at least MinBodyMemory.
	BodyMemory int `json:"bodyMemory,omitempty"`
	// MaxAnswer is the largest response body of a backend server in bytes. It does
	// not apply to streams.
	MaxAnswer int `json:"maxAnswer,omitempty"`
	// AnswerMemory bounds the memory in bytes of all such bodies that are read at the
	// same time. Bodies of at most 64 KiB don't count. The default is twice MaxAnswer.
	AnswerMemory int `json:"answerMemory,omitempty"`
	// MemoryMB is the memory of the process in MB, beyond which the system ends it. Near it,
	// new requests are rejected. Zero means no limit.
	MemoryMB float64 `json:"memoryMB,omitempty"`
	// MaxStreams is the maximum number of requests in progress.
	MaxStreams int `json:"maxStreams,omitempty"`
	// DrainTimeout bounds how long a shutdown waits for requests in progress.
	DrainTimeout strict.Duration `json:"drainTimeout,omitempty"`
	// DrainLinger is the minimum time that a shutdown goes on accepting requests,
	// so that the load balancer notices the shutdown. It applies only to VMs that
	// serve callers.
	DrainLinger strict.Duration `json:"drainLinger,omitempty"`
	// WriteTimeout is how long a caller may read nothing before it counts as
	// disconnected.
	WriteTimeout strict.Duration `json:"writeTimeout,omitempty"`
	// StallTimeout is how long an engine may send nothing during a generation
	// before it is probed over a new connection.
	StallTimeout strict.Duration `json:"stallTimeout,omitempty"`
	// ConnectTimeout bounds the time until an engine's response header arrives,
	// and the dial of a connection to a plain service.
	ConnectTimeout strict.Duration `json:"connectTimeout,omitempty"`
	// HandleTTL is how long a resume handle is valid.
	HandleTTL strict.Duration `json:"handleLife,omitempty"`
	// BackendLease is how long a backend server counts as live after its last
	// report.
	BackendLease strict.Duration `json:"backendLease,omitempty"`
}

// endMargin is the time before the end of a shutdown at which requests in progress are ended,
// so that their callers get an answer.
const endMargin = 500 * time.Millisecond

// RequestsEnd returns how long after the start of a shutdown requests in progress are ended:
// some time before DrainTimeout.
func (l *Limits) RequestsEnd() time.Duration {
	timeout := time.Duration(l.DrainTimeout)
	return timeout - min(endMargin, timeout/4)
}

// Log sets the level and format of the log.
type Log struct {
	Level  string `json:"level,omitempty"`
	Format string `json:"format,omitempty"`
}

// Trace selects the exporter of OpenTelemetry traces.
type Trace struct {
	// Exporter is ExporterNone, ExporterStdout or ExporterOTLP.
	Exporter string `json:"exporter,omitempty"`
	// Endpoint is the URL for ExporterOTLP.
	Endpoint string `json:"endpoint,omitempty"`
	// SampleRatio is the share of requests that are traced, from 0 to 1. Zero
	// means all.
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
	MinBodyMemory         = 8 << 20
	DefaultMaxAnswer      = 8 << 20
	DefaultMaxStreams     = 12_000
	DefaultDrainTimeout   = 10 * time.Minute
	DefaultWriteTimeout   = 30 * time.Second
	DefaultStallTimeout   = 2 * time.Second
	DefaultConnectTimeout = time.Second
	DefaultHandleTTL      = time.Hour
)

// Bounds of Limits.MemoryMB. A process that serves nothing takes about 13 MB.
const (
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
)

// MaxControlVMs is the maximum number of control VMs in the settings.
const MaxControlVMs = 9

// minHandleKeyBytes is the minimum length of the handle key in bytes.
const minHandleKeyBytes = 16

// Load reads the settings file at path, sets the defaults and validates the
// result.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("parse settings %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes settings, sets the defaults and validates the result.
func Parse(data []byte) (*Settings, error) {
	s := new(Settings)
	if err := strict.Decode(data, s); err != nil {
		return nil, err
	}
	s.setDefaults()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) setDefaults() {
	l := &s.Limits
	defaultInt(&l.MaxBody, DefaultMaxBody)
	defaultInt(&l.BodyMemory, max(l.MaxBody, MinBodyMemory))
	defaultInt(&l.MaxAnswer, DefaultMaxAnswer)
	defaultInt(&l.AnswerMemory, 2*l.MaxAnswer)
	defaultInt(&l.MaxStreams, DefaultMaxStreams)
	defaultDuration(&l.DrainTimeout, DefaultDrainTimeout)
	defaultDuration(&l.WriteTimeout, DefaultWriteTimeout)
	defaultDuration(&l.StallTimeout, DefaultStallTimeout)
	defaultDuration(&l.ConnectTimeout, DefaultConnectTimeout)
	defaultDuration(&l.HandleTTL, DefaultHandleTTL)
	defaultDuration(&l.BackendLease, member.DefaultLease)
	defaultDuration(&s.Retry.Window, retry.DefaultWindow)
	if s.Retry.Share == 0 {
		s.Retry.Share = retry.DefaultShare
	}
	s.addSeeds()
	defaultString(&s.Log.Level, "info")
	defaultString(&s.Log.Format, "text")
	defaultString(&s.Trace.Exporter, ExporterNone)
	if s.Trace.SampleRatio == 0 {
		s.Trace.SampleRatio = 1
	}
}

// addSeeds adds the addresses of the seeds to ControlVMs and Peers. Peers does
// not get this VM's own address.
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

func defaultInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func defaultString(v *string, d string) {
	if *v == "" {
		*v = d
	}
}

func defaultDuration(v *strict.Duration, d time.Duration) {
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
	if len(s.HandleKey) < minHandleKeyBytes && s.Listen.Callers.IsValid() {
		errs.Add("handleKey", "want %d bytes or more", minHandleKeyBytes)
	}
	s.checkListen(&errs)
	s.checkLimits(&errs)
	s.checkControl(&errs)
	checkOneOf("log.level", s.Log.Level, &errs, "debug", "info", "warn", "error")
	checkOneOf("log.format", s.Log.Format, &errs, "text", "json")
	checkOneOf("trace.exporter", s.Trace.Exporter, &errs, ExporterNone, ExporterStdout, ExporterOTLP)
	if (s.Trace.Exporter == ExporterOTLP) != (s.Trace.Endpoint != "") {
		errs.Add("trace.endpoint", "must be set if, and only if, the exporter is %q", ExporterOTLP)
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
		errs.Add("listen", "want an address for callers, or control settings for a VM that serves no callers")
	}
	if s.Advertise.IsValid() && (s.Advertise.Addr().IsUnspecified() || s.Advertise.Port() == 0) {
		errs.Add("advertise", "want an IP address and a port that other VMs can reach, got %v", s.Advertise)
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
		if other := seen[a.addr]; other != "" && a.addr.Port() != 0 {
			errs.Add(a.path, "is the same as %s", other)
		}
		seen[a.addr] = a.path
	}
	s.checkTokenSet("listen.operators", s.Listen.Operators, "operatorToken", s.OperatorToken, errs)
	s.checkTokenSet("listen.peers", s.Listen.Peers, "peerToken", s.PeerToken, errs)
}

// checkTokenSet reports an error for an address that other machines can reach
// without a token, unless the network is private.
func (s *Settings) checkTokenSet(path string, a netip.AddrPort, field, token string, errs *strict.Errors) {
	if a.IsValid() && !a.Addr().IsLoopback() && token == "" && !s.PrivateNetwork {
		errs.Add(path, "%v is not a loopback address: set %s, or private", a, field)
	}
}

func (s *Settings) checkLimits(errs *strict.Errors) {
	l := s.Limits
	checkIntRange("limits.maxBody", l.MaxBody, 1_024, 64<<20, errs)
	checkIntRange("limits.bodyMemory", l.BodyMemory, l.MaxBody, 4<<30, errs)
	checkIntRange("limits.maxAnswer", l.MaxAnswer, 1_024, 256<<20, errs)
	checkIntRange("limits.answerMemory", l.AnswerMemory, l.MaxAnswer, 4<<30, errs)
	if l.MemoryMB != 0 && !(l.MemoryMB >= minMemoryMB && l.MemoryMB <= maxMemoryMB) {
		errs.Add("limits.memoryMB", "want %d to %d, or 0 for no limit, got %v", minMemoryMB, maxMemoryMB, l.MemoryMB)
	}
	checkIntRange("limits.maxStreams", l.MaxStreams, 1, 100_000, errs)
	checkDurationRange("limits.drainTimeout", l.DrainTimeout, 100*time.Millisecond, 24*time.Hour, errs)
	checkDurationRange("limits.drainLinger", l.DrainLinger, 0, time.Hour, errs)
	checkDurationRange("limits.writeTimeout", l.WriteTimeout, 100*time.Millisecond, time.Hour, errs)
	checkDurationRange("limits.stallTimeout", l.StallTimeout, 50*time.Millisecond, time.Minute, errs)
	checkDurationRange("limits.connectTimeout", l.ConnectTimeout, 10*time.Millisecond, time.Minute, errs)
	checkDurationRange("limits.handleLife", l.HandleTTL, time.Second, 7*24*time.Hour, errs)
	checkDurationRange("limits.backendLease", l.BackendLease, 100*time.Millisecond, time.Hour, errs)
	checkDurationRange("retry.window", s.Retry.Window, 100*time.Millisecond, time.Hour, errs)
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
		errs.Add("control.form", "cannot be combined with bootstrap")
	}
	if n := len(s.ControlVMs); n > MaxControlVMs {
		errs.Add("controls", "want at most %d control VMs, got %d", MaxControlVMs, n)
	}
}

func checkIntRange(path string, v, lo, hi int, errs *strict.Errors) {
	if v < lo || v > hi {
		errs.Add(path, "want %d to %d, got %d", lo, hi, v)
	}
}

func checkDurationRange(path string, v strict.Duration, lo, hi time.Duration, errs *strict.Errors) {
	if time.Duration(v) < lo || time.Duration(v) > hi {
		errs.Add(path, "want %v to %v, got %v", lo, hi, v)
	}
}

func checkOneOf(path, v string, errs *strict.Errors, allowed ...string) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	errs.Add(path, "want one of %v, got %q", allowed, v)
}

// IsFieldError reports whether err states an invalid field of a settings file.
func IsFieldError(err error) bool {
	var fe *strict.FieldError
	return errors.As(err, &fe)
}
