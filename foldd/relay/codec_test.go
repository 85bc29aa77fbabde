package relay_test

import (
	"slices"
	"strings"
	"testing"
	"time"
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

// TestParseMillis guards against a caller's timeout that is ignored, so that servers are handed more
// time than the caller waits, because of its digits.
func TestParseMillis(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, " 1500 ": 1500 * time.Millisecond, "1500.5": 1500*time.Millisecond + 500*time.Microsecond,
		"0001500.000000000000000000": 1500 * time.Millisecond, "9223372036854": 30 * 24 * time.Hour, "9223372036854775807": 30 * 24 * time.Hour,
		strings.Repeat("9", 400): 30 * 24 * time.Hour, "": 0, "0": 0, "-1": 0, "-" + strings.Repeat("9", 400): 0, "NaN": 0, "soon": 0,
	} {
		if got := relay.ParseMillis(text); got != want {
			t.Errorf("%.40q: got %v, want %v", text, got, want)
		}
	}
}

// TestParseCount guards against a number of tokens that counts as none, or overflows, because of
// its digits.
func TestParseCount(t *testing.T) {
	for text, want := range map[string]int{
		"1460": 1460, " 80": 80, "00000000000000000000080": 80, "9223372036854775807": 1 << 40, strings.Repeat("9", 400): 1 << 40,
		"": 0, "-1": 0, "-" + strings.Repeat("9", 400): 0, "x": 0,
	} {
		if got := relay.ParseCount(text); got != want {
			t.Errorf("%.40q: got %d, want %d", text, got, want)
		}
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
