package conf

import (
	"strings"
	"testing"
)

const validSettings = `{
	// A comment.
	"id": "a1", "domain": "hobart-a", "handleKey": "0123456789abcdef",
	"listen": {"callers": "127.0.0.1:1", "backends": "127.0.0.1:2", "peers": "127.0.0.1:3", "operators": "127.0.0.1:4"},
}`

func TestParseSetsDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits.MaxBody != DefaultMaxBody || s.Trace.Exporter != ExporterNone {
		t.Errorf("got settings %+v, want defaults for MaxBody and Exporter", s)
	}
}

// TestParseNamesInvalidField checks that the error for each invalid field states
// the field's path.
func TestParseNamesInvalidField(t *testing.T) {
	tests := []struct {
		name, old, new, wantErr string
	}{
		{"unknown field", `"id"`, `"idd": 1, "id"`, "idd: unknown field"},
		{"unknown nested field", `"callers"`, `"calers": 1, "callers"`, "listen.calers: unknown field"},
		{"no ID", `"a1"`, `""`, "id:"},
		{"short key", `0123456789abcdef`, `short`, "handleKey:"},
		{"not an address", `127.0.0.1:1"`, `localhost:1"`, "listen.callers:"},
		{"same address twice", `127.0.0.1:2`, `127.0.0.1:1`, "listen.backends: is the same as listen.callers"},
		{"operators' address reachable without a token", `127.0.0.1:4`, `0.0.0.0:4`, "listen.operators: 0.0.0.0:4 is not a loopback address: set operatorToken"},
		{"peers' address reachable without a token", `127.0.0.1:3`, `10.0.0.1:3`, "listen.peers: 10.0.0.1:3 is not a loopback address: set peerToken"},
		{"limit out of range", `"id"`, `"limits": {"maxBody": 5}, "id"`, "limits.maxBody: want 1024 to 67108864, got 5"},
		{"duration without a unit", `"id"`, `"limits": {"drainTimeout": "5"}, "id"`, "limits.drainTimeout:"},
		{"wrong type", `"id"`, `"limits": {"maxBody": "x"}, "id"`, "limits.maxBody: want a value of kind int"},
		{"unknown exporter", `"id"`, `"trace": {"exporter": "x"}, "id"`, "trace.exporter:"},
		{"exporter without an endpoint", `"id"`, `"trace": {"exporter": "otlp"}, "id"`, "trace.endpoint:"},
		{"no data folder", `"id"`, `"control": {}, "id"`, "control.dataFolder:"},
		{"form and bootstrap together", `"id"`, `"control": {"dataFolder": "d", "form": true, "bootstrap": true}, "id"`, "control.form: cannot be combined with bootstrap"},
		{"retry share out of range", `"id"`, `"retry": {"share": -1}, "id"`, "retry.share: want 0 to 10"},
		{"retry window out of range", `"id"`, `"retry": {"window": "1ms"}, "id"`, "retry.window:"},
		{"retry reserve out of range", `"id"`, `"retry": {"reserve": -1}, "id"`, "retry.reserve:"},
		{"backend lease out of range", `"id"`, `"limits": {"backendLease": "1ms"}, "id"`, "limits.backendLease:"},
		{"seed is not an address", `"id"`, `"seeds": ["nowhere"], "id"`, "seeds"},
		{"neither callers nor control", `"callers": "127.0.0.1:1", `, ``, "listen: want an address for callers, or control"},
		{"null value", `"hobart-a"`, `null`, "domain: null is not allowed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.wantErr) || !IsFieldError(err) {
				t.Errorf("got error %v, want a field error that contains %q", err, tt.wantErr)
			}
		})
	}
}

// FuzzParse checks that Parse does not panic on any input, and that accepted
// settings pass their own check.
func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("{}")
	f.Add("[")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]byte(text))
		if err == nil && s.check() != nil {
			t.Errorf("Parse accepted %q, but check rejects the settings", text)
		}
	})
}
