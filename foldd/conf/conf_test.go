package conf

import (
	"strings"
	"testing"
)

const valid = `{
	// A comment.
	"id": "a1", "domain": "hobart-a", "handleKey": "0123456789abcdef",
	"listen": {"callers": "127.0.0.1:1", "backends": "127.0.0.1:2", "peers": "127.0.0.1:3", "operators": "127.0.0.1:4"},
}`

func TestValid(t *testing.T) {
	s, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits.MaxBody != DefaultMaxBody || s.Trace.Exporter != ExporterNone {
		t.Errorf("defaults are not filled in: %+v", s)
	}
}

// TestRefused names the path of each wrong field.
func TestRefused(t *testing.T) {
	tests := []struct {
		name, old, new, path string
	}{
		{"unknown field", `"id"`, `"idd": 1, "id"`, "idd: unknown field"},
		{"unknown field inside", `"callers"`, `"calers": 1, "callers"`, "listen.calers: unknown field"},
		{"no ID", `"a1"`, `""`, "id:"},
		{"short key", `0123456789abcdef`, `short`, "handleKey:"},
		{"not an address", `127.0.0.1:1"`, `localhost:1"`, "listen.callers:"},
		{"same address twice", `127.0.0.1:2`, `127.0.0.1:1`, "listen.backends: is the same as listen.callers"},
		{"open operators' address", `127.0.0.1:4`, `0.0.0.0:4`, "listen.operators: 0.0.0.0:4 is not a loopback address: set operatorToken"},
		{"open peers' address", `127.0.0.1:3`, `10.0.0.1:3`, "listen.peers: 10.0.0.1:3 is not a loopback address: set peerToken"},
		{"a limit out of range", `"id"`, `"limits": {"maxBody": 5}, "id"`, "limits.maxBody: want 1024 to 67108864, got 5"},
		{"a duration without a unit", `"id"`, `"limits": {"drainTimeout": "5"}, "id"`, "limits.drainTimeout:"},
		{"a wrong type", `"id"`, `"limits": {"maxBody": "x"}, "id"`, "limits.maxBody: want a value of kind int"},
		{"unknown exporter", `"id"`, `"trace": {"exporter": "x"}, "id"`, "trace.exporter:"},
		{"no endpoint", `"id"`, `"trace": {"exporter": "otlp"}, "id"`, "trace.endpoint:"},
		{"no data folder", `"id"`, `"control": {}, "id"`, "control.dataFolder:"},
		{"both ways to start a group", `"id"`, `"control": {"dataFolder": "d", "form": true, "bootstrap": true}, "id"`, "control.form: does not go with bootstrap"},
		{"a share of repeats out of range", `"id"`, `"retry": {"share": -1}, "id"`, "retry.share: want 0 to 10"},
		{"a window out of range", `"id"`, `"retry": {"window": "1ms"}, "id"`, "retry.window:"},
		{"a reserve out of range", `"id"`, `"retry": {"reserve": -1}, "id"`, "retry.reserve:"},
		{"a lease out of range", `"id"`, `"limits": {"backendLease": "1ms"}, "id"`, "limits.backendLease:"},
		{"a seed that is no address", `"id"`, `"seeds": ["nowhere"], "id"`, "seeds"},
		{"no role", `"callers": "127.0.0.1:1", `, ``, "listen: want an address for callers, or control"},
		{"null", `"hobart-a"`, `null`, "domain: null is not allowed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, tt.old, tt.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.path) || !IsFieldError(err) {
				t.Errorf("%v, want %q", err, tt.path)
			}
		})
	}
}

// FuzzParse parses anything without a panic, and what it accepts passes its
// own check.
func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("{}")
	f.Add("[")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]byte(text))
		if err == nil && s.check() != nil {
			t.Errorf("accepted %q", text)
		}
	})
}
