// Package spec defines the operators' configuration: classes of work with
// their targets, services, routes, workspaces, and the policy or trial in
// force. Operators state no weights and no addresses.
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

// Ways of splitting traffic between the two arms of a trial.
const (
	SplitRequest = "request"
	SplitWindow  = "window"
)

// Document is one whole configuration.
type Document struct {
	// Policy names the policy for traffic outside a trial; empty means
	// PolicyForecast.
	Policy     string      `json:"policy,omitempty"`
	Trial      *Trial      `json:"trial,omitempty"`
	Classes    []Class     `json:"classes"`
	Services   []Service   `json:"services"`
	Routes     []Route     `json:"routes,omitempty"`
	Workspaces []Workspace `json:"workspaces"`
	// Forwards pass requests through to backend servers unchanged. A document
	// with forwards may have no classes and no workspaces; without workspaces
	// its forwards are open to every caller.
	Forwards []Forward `json:"forwards,omitempty"`
	// MaxBody is the largest body of a forwarded request in bytes; zero leaves
	// it to the VMs' settings.
	MaxBody int `json:"maxBody,omitempty"`
}

// Target states what a class of work is promised. A zero field promises
// nothing; at least one is set.
type Target struct {
	// FirstToken is the longest time from arrival to the first token.
	FirstToken strict.Duration `json:"firstToken,omitempty"`
	// TokenGap is the longest time between two tokens.
	TokenGap strict.Duration `json:"tokenGap,omitempty"`
	// Completion is the longest time from arrival to the last token.
	Completion strict.Duration `json:"completion,omitempty"`
}

// Class is a class of work.
type Class struct {
	Name   string `json:"name"`
	Target Target `json:"target"`
	// ResumeWindow is how long a generation is kept at its engine after its
	// caller has gone, so that the caller can come back. Zero cancels at once.
	ResumeWindow strict.Duration `json:"resumeWindow,omitempty"`
}

// HoldUntilComplete reports whether answers of the class are held back until complete:
// its only target is completion, so no caller waits for a first token.
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
}

// Route sends the calls below a path to a plain service.
type Route struct {
	// Path is matched as a prefix on whole segments; the longest match wins.
	Path    string   `json:"path"`
	Methods []string `json:"methods"`
	Service string   `json:"service"`
	// Idempotent calls may be sent again. Others need an Idempotency-Key and
	// run at most once.
	Idempotent bool            `json:"idempotent"`
	Timeout    strict.Duration `json:"timeout"`
}

// Workspace is one customer with its own key and its own share.
type Workspace struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the workspace key, in hexadecimal.
	KeySHA256 string `json:"keySHA256,omitempty"`
	// MoreKeySHA256 holds further keys in the same form, for a change of keys
	// without an interruption.
	MoreKeySHA256 []string `json:"moreKeySHA256,omitempty"`
	// Rank, if set, takes the place of the rank of forwards for the
	// workspace's requests; 0 goes first.
	Rank *int `json:"rank,omitempty"`
}

// KeyHashes returns all keys of the workspace.
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
	// Window is the length of one window of SplitWindow.
	Window strict.Duration `json:"window,omitempty"`
}

// Parse decodes and checks a configuration. Its errors name field paths.
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

// Validate reports every impossible value, each with its field path.
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

// checkName reports an empty, malformed or repeated name.
func checkName(path, name string, seen map[string]bool, errs *strict.Errors) {
	if name == "" || len(name) > 64 || strings.ContainsFunc(name, notNameRune) {
		errs.Add(path, "want 1 to 64 letters, digits, dots, dashes or underscores, got %q", name)
	}
	if seen[name] {
		errs.Add(path, "%q is there twice", name)
	}
	seen[name] = true
}

func notNameRune(r rune) bool {
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
	checkCount("classes", len(d.Classes), d.least(), MaxClasses, errs)
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
	checkCount("services", len(d.Services), d.least(), MaxServices, errs)
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
	checkCount("workspaces", len(d.Workspaces), d.least(), MaxWorkspaces, errs)
	seen, keys := map[string]bool{}, map[string]bool{}
	for i, w := range d.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		checkName(path+".name", w.Name, seen, errs)
		if w.KeySHA256 == "" && len(d.Forwards) == 0 {
			errs.Add(path+".keySHA256", "want a key")
		}
		for _, key := range w.KeyHashes() {
			checkKey(path+".keySHA256", key, keys, errs)
		}
	}
}

func checkKey(path, key string, seen map[string]bool, errs *strict.Errors) {
	if b, err := hex.DecodeString(key); err != nil || len(b) != 32 {
		errs.Add(path, "want 64 hexadecimal digits")
	}
	if seen[key] {
		errs.Add(path, "another workspace has the same key")
	}
	seen[key] = true
}

// least is the least number of classes, services and workspaces.
func (d *Document) least() int {
	if len(d.Forwards) > 0 {
		return 0
	}
	return 1
}
