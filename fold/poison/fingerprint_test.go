package poison

import "testing"

func TestFingerprint(t *testing.T) {
	tests := []struct {
		name string
		a, b []string
		same bool
	}{
		{"equal fields", []string{"w", "GET", "/x"}, []string{"w", "GET", "/x"}, true},
		{"another body", []string{"w", "/x", "1"}, []string{"w", "/x", "2"}, false},
		{"fields divided elsewhere", []string{"w", "/x1", ""}, []string{"w", "/x", "1"}, false},
		{"a field more", []string{"w"}, []string{"w", ""}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := Fingerprint(tt.a...), Fingerprint(tt.b...)
			if (a == b) != tt.same {
				t.Errorf("Fingerprint(%q) = %q, Fingerprint(%q) = %q; equal: want %t", tt.a, a, tt.b, b, tt.same)
			}
			if !validName(a) {
				t.Errorf("Fingerprint(%q) = %q is no valid name of a part", tt.a, a)
			}
		})
	}
}
