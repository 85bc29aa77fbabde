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

func TestCheckCommand(t *testing.T) {
	dir := t.TempDir()
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings := writeFile("settings", `{"id": "vm", "domain": "a", "handleKey": "0123456789abcdef", "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"}}`)
	document := writeFile("document", `{"services": []}`)
	failingAdapter := app.Adapter{Decode: func(b []byte) (*spec.Document, error) { return nil, errors.New("decoded by the adapter") }}
	tests := []struct {
		name    string
		adapter app.Adapter
		args    []string
		wantErr string
	}{
		{"settings", app.Adapter{}, []string{settings}, ""},
		{"a configuration checked as settings", app.Adapter{}, []string{document}, "services"},
		{"a configuration", app.Adapter{}, []string{"--config", "../../examples/derwent/config.jsonc"}, ""},
		{"an invalid configuration", app.Adapter{}, []string{"--config", document}, "services: want 1 to 256 entries"},
		{"a configuration decoded by the adapter", failingAdapter, []string{"--config", document}, "decoded by the adapter"},
		{"no file", app.Adapter{}, nil, "one file"},
		{"a missing file", app.Adapter{}, []string{"--config", filepath.Join(dir, "none")}, "none"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			root := &cli.Command{Name: "foldd", Writer: &out, Commands: []*cli.Command{Check(tt.adapter)}}
			err := root.Run(t.Context(), append([]string{"foldd", "check"}, tt.args...))
			if tt.wantErr == "" && (err != nil || !strings.Contains(out.String(), "is valid")) {
				t.Errorf("got error %v, output %q, want output with \"is valid\"", err, out.String())
			}
			if tt.wantErr != "" && (err == nil || !strings.Contains(err.Error(), tt.wantErr)) {
				t.Errorf("got error %v, want one that contains %q", err, tt.wantErr)
			}
		})
	}
}
