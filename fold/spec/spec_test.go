package spec

import (
	"strings"
	"testing"
)

var validDocument = `{
	"classes": [{"name": "summary", "target": {"firstToken": "630ms"}}],
	"services": [{"name": "models", "kind": "engine", "models": ["m"]}, {"name": "app", "kind": "plain"}],
	"routes": [{"path": "/a", "methods": ["GET"], "service": "app", "idempotent": true, "timeout": "1s"}],
	"workspaces": [{"name": "w", "keySHA256": "` + HashKey("k") + `"}],
}`

// TestParseRejectsInvalidDocument checks that Parse rejects a document with one invalid
// value and that the error contains the path of the field.
func TestParseRejectsInvalidDocument(t *testing.T) {
	if _, err := Parse([]byte(validDocument)); err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, old, new, path string }{
		{"no target", `{"firstToken": "630ms"}`, `{}`, "classes[0].target"},
		{"target below the minimum", `630ms`, `1us`, "classes[0].target.firstToken"},
		{"unknown field", `"kind": "plain"`, `"kind": "plain", "weight": 3`, "services[1].weight: unknown field"},
		{"unknown kind", `"plain"`, `"other"`, "services[1].kind"},
		{"plain service with models", `"kind": "plain"`, `"kind": "plain", "models": ["x"]`, "services[1].models"},
		{"start rate of zero", `"kind": "plain"`, `"kind": "plain", "coldStart": {"rate": 0, "duration": "1s"}`, "services[1].coldStart.rate"},
		{"cold for too long", `"kind": "plain"`, `"kind": "plain", "coldStart": {"rate": 1, "duration": "2h"}`, "services[1].coldStart.duration"},
		{"route to an engine service", `"service": "app"`, `"service": "models"`, "routes[0].service"},
		{"route below /v1/", `"/a"`, `"/v1/x"`, "routes[0].path"},
		{"unknown method", `["GET"]`, `["FETCH"]`, "routes[0].methods[0]"},
		{"zero timeout", `"timeout": "1s"`, `"timeout": "0s"`, "routes[0].timeout"},
		{"key that is not hashed", HashKey("k"), "secret", "workspaces[0].keySHA256"},
		{"unknown policy", `"classes"`, `"policy": "best", "classes"`, "policy: unknown policy"},
		{"trial of one policy", `"classes"`, `"trial": {"a": "naive", "b": "naive", "split": "request"}, "classes"`, "trial.b"},
		{"trial without a window", `"classes"`, `"trial": {"a": "naive", "b": "prefix", "split": "window"}, "classes"`, "trial.window"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validDocument, tt.old, tt.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.path) {
				t.Errorf("error %v, want one that contains %q", err, tt.path)
			}
		})
	}
}

// TestRouteMatchesWholeSegments checks that a route matches only whole segments and
// that the longest one is returned.
func TestRouteMatchesWholeSegments(t *testing.T) {
	d, err := Parse([]byte(strings.Replace(validDocument, `"routes": [`, `"routes": [{"path": "/a/b", "methods": ["GET"], "service": "app", "idempotent": false, "timeout": "1s"}, `, 1)))
	if err != nil {
		t.Fatal(err)
	}
	x := NewIndex(d, 1)
	for path, want := range map[string]string{"/a": "/a", "/a/x": "/a", "/a/b": "/a/b", "/a/b/c": "/a/b", "/ab": "", "/": ""} {
		if r, _ := x.Route(path); r.Path != want {
			t.Errorf("path %s: route %q, want %q", path, r.Path, want)
		}
	}
}

// TestForwardMatchesHostAndLongestPrefix looks up forwards by host, in either case and
// with and without a port, and checks that the longest prefix is used.
func TestForwardMatchesHostAndLongestPrefix(t *testing.T) {
	d := &Document{Services: []Service{{Name: "s", Kind: KindPlain}}}
	for _, at := range [][2]string{{"h.example", "/"}, {"h.example", "/a/"}, {"::1", "/"}} {
		d.Forwards = append(d.Forwards, Forward{
			Name: at[0] + at[1], Host: at[0], Prefix: at[1], Kind: ForwardIdempotent, Timeout: 1e9, Services: []WeightedService{{Service: "s", Weight: 1}},
		})
	}
	if err := d.Validate(); err != nil {
		t.Fatal(err)
	}
	x := NewIndex(d, 1)
	tests := []struct{ host, path, name string }{
		{"h.example", "/x", "h.example/"},
		{"H.Example", "/a/x", "h.example/a/"},
		{"h.example:8080", "/a", "h.example/"},
		{"[::1]:80", "/", "::1/"},
		{"[::1]", "/", "::1/"},
		{"other", "/", ""},
		{"", "/", ""},
		{":80", "/", ""},
	}
	for _, tt := range tests {
		name := ""
		if f, ok := x.Forward(tt.host, tt.path); ok {
			name = f.Name
		}
		if name != tt.name {
			t.Errorf("host %q, path %q: forward %q, want %q", tt.host, tt.path, name, tt.name)
		}
	}
}
