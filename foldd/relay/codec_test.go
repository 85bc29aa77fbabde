package relay_test

import (
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"fuchsiafold.example/foldd/relay"
)

// TestParseParts guards against a part that crashes engines and that isn't known, as its prompt has
// many parts, or one whose ID or number of tokens is long or malformed.
func TestParseParts(t *testing.T) {
	long := strings.Repeat("a", 65)
	tests := []struct {
		values []string
		want   []string
	}{
		{nil, nil},
		{[]string{""}, nil},
		{[]string{"5c1e07a2:800,91BD3F06:410, e4402b7d:250"}, []string{"5c1e07a2", "91bd3f06", "e4402b7d"}},
		{[]string{"5c1e07a2:800"}, []string{"5c1e07a2"}},
		{[]string{"5c1e07a2:800,91bd3f06:410", "e4402b7d:250"}, []string{"5c1e07a2", "91bd3f06", "e4402b7d"}},
		{[]string{"5c1e07a2"}, []string{"5c1e07a2"}},
		{[]string{"5c1e07a2:800,"}, []string{"5c1e07a2"}},
		{[]string{":800,91bd3f06:1"}, []string{"91bd3f06"}},
		{[]string{"5c1e07a2:-1"}, []string{"5c1e07a2"}},
		{[]string{"5c1e07a2:80000000000000000000000,91bd3f06:8.5"}, []string{"5c1e07a2", "91bd3f06"}},
		{[]string{strings.Repeat("a:1,", 4000) + "a:1"}, slices.Repeat([]string{"a"}, 4001)},
		{[]string{long + ":1"}, []string{"sha256:635361c48bb9eab14198e76ea8ab7f1a"}},
		{[]string{strings.ToUpper(long) + ":1"}, relay.ParseParts([]string{long + ":1"})},
		{[]string{"5c1e07a2:800,\xff\xfe:1"}, []string{"5c1e07a2", "sha256:b3d510ef04275ca8e698e5b3cbb0ece3"}},
	}
	for _, tt := range tests {
		if got := relay.ParseParts(tt.values); !slices.Equal(got, tt.want) {
			t.Errorf("%.100q: got %.100q, want %.100q", tt.values, got, tt.want)
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
		for _, id := range relay.ParseParts([]string{text}) {
			if id == "" || len(id) > 64 || !utf8.ValidString(id) {
				t.Errorf("%q: ID %q", text, id)
			}
		}
	})
}
