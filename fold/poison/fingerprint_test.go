package poison

import (
	"fmt"
	"testing"
	"time"
)

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

// TestThreeCrashesHoldRepeatedRequest guards against a request that crashes servers before
// they answer, and needs more of them than one whose answers had begun.
func TestThreeCrashesHoldRepeatedRequest(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	repeated := Fingerprint("w", "/x")
	for i := range 3 {
		if _, held := table.Check(now, []string{repeated}); held {
			t.Fatalf("the request is held after %d crashes, want 3", i)
		}
		table.Lost(now, []string{repeated, "common"}, Crash{Backend: fmt.Sprint("b", i)}, false)
		table.Lost(now, []string{Fingerprint("w", "/other", fmt.Sprint(i)), "common"}, Crash{Backend: fmt.Sprint("b", i)}, false)
		table.Survived(now.Add(100*time.Millisecond), []string{"common"})
		now = now.Add(time.Second)
	}
	if _, held := table.Check(now, []string{repeated}); !held {
		t.Error("the request is not held after 3 crashes")
	}
	for _, sound := range []string{"common", Fingerprint("w", "/other", "0")} {
		if _, held := table.Check(now, []string{sound}); held {
			t.Errorf("%s is held, want only the request that was in all crashes", sound)
		}
	}
}
