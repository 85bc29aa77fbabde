package cmds

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/app"
)

func TestCheck(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings := file("settings", `{"id": "vm", "domain": "a", "handleKey": "0123456789abcdef", "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"}}`)
	document := file("document", `{"services": []}`)
	foreign := app.Adapter{Decode: func(b []byte) (*spec.Document, error) { return nil, errors.New("decoded by the adapter") }}
	tests := []struct {
		name    string
		adapter app.Adapter
		args    []string
		fails   string
	}{
		{"settings", app.Adapter{}, []string{settings}, ""},
		{"settings that are a configuration", app.Adapter{}, []string{document}, "services"},
		{"a configuration", app.Adapter{}, []string{"--config", "../../examples/derwent/config.jsonc"}, ""},
		{"a configuration with faults", app.Adapter{}, []string{"--config", document}, "services: want 1 to 256 entries"},
		{"a configuration in the adapter's form", foreign, []string{"--config", document}, "decoded by the adapter"},
		{"no file", app.Adapter{}, nil, "one file"},
		{"a file that is not there", app.Adapter{}, []string{"--config", filepath.Join(dir, "none")}, "none"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			root := &cli.Command{Name: "foldd", Writer: &out, Commands: []*cli.Command{Check(tt.adapter)}}
			err := root.Run(t.Context(), append([]string{"foldd", "check"}, tt.args...))
			if tt.fails == "" && (err != nil || !strings.Contains(out.String(), "is valid")) {
				t.Errorf("error %v, output %q", err, out.String())
			}
			if tt.fails != "" && (err == nil || !strings.Contains(err.Error(), tt.fails)) {
				t.Errorf("error %v, want one with %q", err, tt.fails)
			}
		})
	}
}
