// Package spec defines the operators' configuration: classes of work with their
// latency targets, services, routes, forwards, workspaces, and the policy or trial
// in force. It holds neither scheduling weights nor addresses of backend servers.
package spec

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"fuchsiafold.example/fold/strict"
)

// Limits of a configuration.
const (
	MaxWorkspaces = 20_000
	MaxClasses    = 64
	MaxServices   = 256
	MaxRoutes     = 1_024
	MinTarget     = time.Millisecond
	MaxTarget     = 7 * 24 * time.Hour
)

// Policies that a configuration may name.
const (
	PolicyNaive    = "naive"
	PolicyPrefix   = "prefix"
	PolicyForecast = "forecast"
)

// Policies returns the names of all policies.
func Policies() []string { return []string{PolicyForecast, PolicyNaive, PolicyPrefix} }

// Kinds of services.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Methods of splitting traffic between the two policies of a trial.
const (
	SplitRequest = "request"
	SplitWindow  = "window"
)

// Document is a complete configuration.
type Document struct {
	// Policy is the name of the policy that is used without a trial. Empty means
	// PolicyForecast.
	Policy     string      `json:"policy,omitempty"`
	Trial      *Trial      `json:"trial,omitempty"`
	Classes    []Class     `json:"classes"`
	Services   []Service   `json:"services"`
	Routes     []Route     `json:"routes,omitempty"`
	Workspaces []Workspace `json:"workspaces"`
	// Forwards send requests to backend servers unchanged. A document with forwards
	// may have no classes, services or workspaces. Without workspaces, its forwards
	// are open to every caller.
	Forwards []Forward `json:"forwards,omitempty"`
	// MaxBody is the size in bytes of the largest body of a forwarded request. Zero
	// means that the settings of the VMs apply.
	MaxBody int `json:"maxBody,omitempty"`
}

// Target holds the latency targets of a class of work. A zero field means no target.
// A class sets at least one.
type Target struct {
	// FirstToken is the longest time from arrival to the first token.
	FirstToken strict.Duration `json:"firstToken,omitempty"`
	// TokenGap is the longest time between two tokens.
	TokenGap strict.Duration `json:"tokenGap,omitempty"`
	// Completion is the longest time from arrival to the last token.
	Completion strict.Duration `json:"completion,omitempty"`
}

// Class is a class of work with common latency targets.
type Class struct {
	Name   string `json:"name"`
	Target Target `json:"target"`
	// ResumeWindow is how long a generation continues at its engine after its
	// caller has disconnected, so that the caller can resume it. Zero cancels the
	// generation at once.
	ResumeWindow strict.Duration `json:"resumeWindow,omitempty"`
}

// HoldUntilComplete reports whether an answer of the class is sent only when it is
// complete. This holds if the only target is completion, as no caller then waits
// for a first token.
func (c Class) HoldUntilComplete() bool {
	return c.Target.FirstToken == 0 && c.Target.TokenGap == 0
}

// Service is a group of backend servers that serve the same models or calls.
type Service struct {
	Name string `json:"name"`
	// Kind is KindEngine or KindPlain.
	Kind string `json:"kind"`
	// Models lists the models that a KindEngine service serves.
	Models []string `json:"models,omitempty"`
	// Engine describes the backend servers of a KindEngine service to which
	// requests are forwarded.
	Engine *Engine `json:"engine,omitempty"`
	// ColdStart limits the requests to cold servers. Nil means no limit.
	ColdStart *ColdStart `json:"coldStart,omitempty"`
}

// Route sends the calls for a path prefix to a plain service.
type Route struct {
	// Path is a prefix that matches whole segments. The longest match is used.
	Path    string   `json:"path"`
	Methods []string `json:"methods"`
	Service string   `json:"service"`
	// Idempotent means that calls may be sent more than once. Other calls need an
	// Idempotency-Key and run at most once.
	Idempotent bool            `json:"idempotent"`
	Timeout    strict.Duration `json:"timeout"`
}

// Workspace is a customer with its own keys and its own share of the capacity.
type Workspace struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the workspace key, in hexadecimal.
	KeySHA256 string `json:"keySHA256,omitempty"`
	// MoreKeySHA256 holds the hashes of further keys in the same form, so that keys
	// can be rotated without an interruption.
	MoreKeySHA256 []string `json:"moreKeySHA256,omitempty"`
	// Rank, if set, overrides the rank of the forward for the workspace's requests.
	// 0 is the highest priority.
	Rank *int `json:"rank,omitempty"`
}

// KeyHashes returns the hashes of all keys of the workspace.
func (w Workspace) KeyHashes() []string {
	if w.KeySHA256 == "" {
		return w.MoreKeySHA256
	}
	return append([]string{w.KeySHA256}, w.MoreKeySHA256...)
}

// Trial compares two policies on live traffic.
type Trial struct {
	A string `json:"a"`
	B string `json:"b"`
	// Split is SplitRequest or SplitWindow.
	Split string `json:"split"`
	// Window is the length of one time window for SplitWindow.
	Window strict.Duration `json:"window,omitempty"`
}

// Parse decodes and validates a configuration. Errors about single fields contain the
// path of the field.
func Parse(data []byte) (*Document, error) {
	d := new(Document)
	if err := strict.Decode(data, d); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := d.Validate(); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return d, nil
}

// Validate returns an error that lists every invalid value with the path of its
// field, or nil.
func (d *Document) Validate() error {
	var errs strict.Errors
	if d.Policy != "" {
		checkPolicy("policy", d.Policy, &errs)
	}
	d.checkTrial(&errs)
	d.checkClasses(&errs)
	d.checkServices(&errs)
	d.checkRoutes(&errs)
	d.checkForwards(&errs)
	if d.MaxBody < 0 {
		errs.Add("maxBody", "want 0 or more, got %d", d.MaxBody)
	}
	d.checkWorkspaces(&errs)
	return errs.Err()
}

func checkPolicy(path, name string, errs *strict.Errors) {
	if !slices.Contains(Policies(), name) {
		errs.Add(path, "unknown policy %q: known are %s", name, strings.Join(Policies(), ", "))
	}
}

func (d *Document) checkTrial(errs *strict.Errors) {
	t := d.Trial
	if t == nil {
		return
	}
	checkPolicy("trial.a", t.A, errs)
	checkPolicy("trial.b", t.B, errs)
	if t.A == t.B {
		errs.Add("trial.b", "must differ from trial.a")
	}
	switch t.Split {
	case SplitRequest:
		if t.Window != 0 {
			errs.Add("trial.window", "goes with split %q only", SplitWindow)
		}
	case SplitWindow:
		checkDuration("trial.window", t.Window, time.Second, time.Hour, errs)
	default:
		errs.Add("trial.split", "want %q or %q", SplitRequest, SplitWindow)
	}
}

func checkDuration(path string, d strict.Duration, lo, hi time.Duration, errs *strict.Errors) {
	if time.Duration(d) < lo || time.Duration(d) > hi {
		errs.Add(path, "want %v to %v, got %v", lo, hi, d)
	}
}

// checkName adds an error to errs if a name is empty, malformed or already in seen,
// and then adds it to seen.
func checkName(path, name string, seen map[string]bool, errs *strict.Errors) {
	if name == "" || len(name) > 64 || strings.ContainsFunc(name, invalidNameRune) {
		errs.Add(path, "want 1 to 64 letters, digits, dots, dashes or underscores, got %q", name)
	}
	if seen[name] {
		errs.Add(path, "%q is there twice", name)
	}
	seen[name] = true
}

func invalidNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("._-", r)
}

func checkCount(path string, n, lo, hi int, errs *strict.Errors) {
	if n < lo || n > hi {
		errs.Add(path, "want %d to %d entries, got %d", lo, hi, n)
	}
}

func (d *Document) checkClasses(errs *strict.Errors) {
	checkCount("classes", len(d.Classes), d.minEntries(), MaxClasses, errs)
	seen := map[string]bool{}
	for i, c := range d.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		checkName(path+".name", c.Name, seen, errs)
		t := c.Target
		if t == (Target{}) {
			errs.Add(path+".target", "state at least one of firstToken, tokenGap, completion")
		}
		checkTarget(path+".target.firstToken", t.FirstToken, errs)
		checkTarget(path+".target.tokenGap", t.TokenGap, errs)
		checkTarget(path+".target.completion", t.Completion, errs)
		checkDuration(path+".resumeWindow", c.ResumeWindow, 0, 10*time.Minute, errs)
	}
}

func checkTarget(path string, d strict.Duration, errs *strict.Errors) {
	if d != 0 {
		checkDuration(path, d, MinTarget, MaxTarget, errs)
	}
}

func (d *Document) checkServices(errs *strict.Errors) {
	checkCount("services", len(d.Services), d.minEntries(), MaxServices, errs)
	seen := map[string]bool{}
	models := map[string]bool{}
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		checkName(path+".name", s.Name, seen, errs)
		switch s.Kind {
		case KindEngine:
			checkCount(path+".models", len(s.Models), 1, 64, errs)
		case KindPlain:
			checkCount(path+".models", len(s.Models), 0, 0, errs)
		default:
			errs.Add(path+".kind", "want %q or %q", KindEngine, KindPlain)
		}
		s.ColdStart.check(path+".coldStart", errs)
		for j, m := range s.Models {
			checkName(fmt.Sprintf("%s.models[%d]", path, j), m, models, errs)
		}
	}
}

func (d *Document) checkRoutes(errs *strict.Errors) {
	checkCount("routes", len(d.Routes), 0, MaxRoutes, errs)
	seen := map[string]bool{}
	for i, r := range d.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if !strings.HasPrefix(r.Path, "/") || strings.HasPrefix(r.Path, "/v1/") || strings.HasSuffix(r.Path, "/") {
			errs.Add(path+".path", "want a path that starts with /, ends without one and is not below /v1/, got %q", r.Path)
		}
		if seen[r.Path] {
			errs.Add(path+".path", "%q is there twice", r.Path)
		}
		seen[r.Path] = true
		checkCount(path+".methods", len(r.Methods), 1, 8, errs)
		for j, m := range r.Methods {
			if !slices.Contains([]string{"GET", "POST", "PUT", "DELETE", "PATCH"}, m) {
				errs.Add(fmt.Sprintf("%s.methods[%d]", path, j), "want GET, POST, PUT, DELETE or PATCH, got %q", m)
			}
		}
		if d.service(r.Service, KindPlain) == nil {
			errs.Add(path+".service", "no service of kind %q is named %q", KindPlain, r.Service)
		}
		checkDuration(path+".timeout", r.Timeout, 10*time.Millisecond, 10*time.Minute, errs)
	}
}

func (d *Document) service(name, kind string) *Service {
	for i, s := range d.Services {
		if s.Name == name && s.Kind == kind {
			return &d.Services[i]
		}
	}
	return nil
}

func (d *Document) checkWorkspaces(errs *strict.Errors) {
	checkCount("workspaces", len(d.Workspaces), d.minEntries(), MaxWorkspaces, errs)
	seen, seenHashes := map[string]bool{}, map[string]bool{}
	for i, w := range d.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		checkName(path+".name", w.Name, seen, errs)
		if w.KeySHA256 == "" && len(d.Forwards) == 0 {
			errs.Add(path+".keySHA256", "want a key")
		}
		for _, hash := range w.KeyHashes() {
			checkKeyHash(path+".keySHA256", hash, seenHashes, errs)
		}
	}
}

// checkKeyHash adds an error to errs if the hash of a workspace key is malformed or
// already in seen, and then adds it to seen.
func checkKeyHash(path, hash string, seen map[string]bool, errs *strict.Errors) {
	if b, err := hex.DecodeString(hash); err != nil || len(b) != 32 {
		errs.Add(path, "want 64 hexadecimal digits")
	}
	if seen[hash] {
		errs.Add(path, "another workspace has the same key")
	}
	seen[hash] = true
}

// minEntries is the smallest number of classes, services and workspaces that the
// document must have. It is zero for a document with forwards.
func (d *Document) minEntries() int {
	if len(d.Forwards) > 0 {
		return 0
	}
	return 1
}
