package relay_test

import (
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"fuchsiafold.example/foldd/relay"
)

func TestParseParts(t *testing.T) {
	tests := []struct {
		text string
		want []string
	}{
		{"", nil},
		{"5c1e07a2:800,91BD3F06:410, e4402b7d:250", []string{"5c1e07a2", "91bd3f06", "e4402b7d"}},
		{"5c1e07a2:800", []string{"5c1e07a2"}},
		{"5c1e07a2", nil},
		{"5c1e07a2:800,", nil},
		{":800", nil},
		{"5c1e07a2:-1", nil},
		{strings.Repeat("a", 65) + ":1", nil},
		{strings.Repeat("a:1,", 32) + "a:1", nil},
		{"5c1e07a2:800,\xff\xfe:1", nil},
	}
	for _, tt := range tests {
		if got := relay.ParseParts(tt.text); !slices.Equal(got, tt.want) {
			t.Errorf("%q: got %q, want %q", tt.text, got, tt.want)
		}
	}
	p := relay.Prompt{Parts: []string{"a", "b"}}
	if got := p.SharedParts(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("shared parts %q, want only the first", got)
	}
	if got := (&relay.Prompt{}).SharedParts(); len(got) != 0 {
		t.Errorf("shared parts %q of a prompt without parts", got)
	}
}

func FuzzParseParts(f *testing.F) {
	f.Add("5c1e07a2:800,91bd3f06:410")
	f.Fuzz(func(t *testing.T, text string) {
		for _, id := range relay.ParseParts(text) {
			if id == "" || len(id) > 64 || !utf8.ValidString(id) {
				t.Errorf("%q: ID %q", text, id)
			}
		}
	})
}
