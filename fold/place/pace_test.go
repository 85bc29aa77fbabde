package place

import (
	"testing"
	"time"
)

func TestLength(t *testing.T) {
	tests := []struct {
		name   string
		length Length
		tokens int
		events int
	}{
		{"a hint below the most", Length{Hint: 60, Most: 100, EventTokens: 4}, 60, 15},
		{"a hint above the most", Length{Hint: 200, Most: 100, EventTokens: 4}, 100, 25},
		{"a hint alone", Length{Hint: 60}, 60, 60},
		{"the most alone", Length{Most: 100, EventTokens: 4}, 50, 12},
		{"nothing", Length{}, 0, 0},
	}
	for _, tt := range tests {
		if got := tt.length.Tokens(); got != tt.tokens {
			t.Errorf("%s: %d tokens, want %d", tt.name, got, tt.tokens)
		}
		if got := tt.length.Events(); got != tt.events {
			t.Errorf("%s: %d events, want %d", tt.name, got, tt.events)
		}
	}
}

func TestLengthLeft(t *testing.T) {
	l := Length{Hint: 80, EventTokens: 4}
	if left, ok := l.Left(11, time.Second); !ok || left != 900*time.Millisecond {
		t.Errorf("half-way: %v, %t; want 0.9 s", left, ok)
	}
	if left, ok := l.Left(11, 0); !ok || left != 9*minEventGap {
		t.Errorf("after a burst: %v, %t; want %v", left, ok, 9*minEventGap)
	}
	if _, ok := l.Left(20, time.Second); ok {
		t.Error("a run that has made all that was expected has a known end")
	}
	if short, long := (Length{Hint: 8}).Time(), l.Time(); short >= long {
		t.Errorf("8 tokens take %v, 20 events %v", short, long)
	}
}
