package conf

import (
	"os"
	"path/filepath"
	"testing"

	"fuchsiafold.example/fold/spec"
)

// TestParseExamples checks that every example file is valid: config.jsonc as a
// configuration, any other as settings.
func TestParseExamples(t *testing.T) {
	names, err := filepath.Glob("../../examples/*/*.jsonc")
	if err != nil || len(names) < 6 {
		t.Fatalf("got examples %v, error %v, want at least 6 files", names, err)
	}
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if filepath.Base(name) == "config.jsonc" {
			_, err = spec.Parse(data)
		} else {
			_, err = Parse(data)
		}
		if err != nil {
			t.Errorf("parse %s: %v", name, err)
		}
	}
}
