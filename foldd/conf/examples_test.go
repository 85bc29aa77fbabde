package conf

import (
	"os"
	"path/filepath"
	"testing"

	"fuchsiafold.example/fold/spec"
)

// TestExamples loads every example: settings files as settings, configurations
// as configurations.
func TestExamples(t *testing.T) {
	names, err := filepath.Glob("../../examples/*/*.jsonc")
	if err != nil || len(names) < 6 {
		t.Fatalf("examples %v, error %v", names, err)
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
			t.Errorf("%s: %v", name, err)
		}
	}
}
