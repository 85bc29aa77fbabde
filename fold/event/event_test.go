package event

import (
	"fmt"
	"testing"
)

func ExampleSplitter() {
	var s Splitter
	s.Write([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	for e := s.Next(); e != nil; e = s.Next() {
		fmt.Printf("%s %q\n", ID(e), e)
	}
	fmt.Printf("%q\n", s.Rest())
	// Output:
	// 1 "id: 1\ndata: a\n\n"
	// "id: 2\nda"
}

func TestSplitterAcrossWrites(t *testing.T) {
	tests := []struct {
		name, stream string
		ids          []string
		rest         string
	}{
		{"line feeds", "id:1\ndata:x\n\nid:2\n\n", []string{"1", "2"}, ""},
		{"carriage returns", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", []string{"1", "2"}, ""},
		{"without an ID", "data: x\n\n", []string{""}, ""},
		{"partial event at the end", "id: 1\n\nid: 2\n", []string{"1"}, "id: 2\n"},
	}
	for _, tt := range tests {
		// The events must not depend on where the stream is split into writes.
		for cut := range len(tt.stream) {
			var s Splitter
			var ids []string
			for _, part := range []string{tt.stream[:cut], tt.stream[cut:]} {
				s.Write([]byte(part))
				for e := s.Next(); e != nil; e = s.Next() {
					ids = append(ids, ID(e))
				}
			}
			if fmt.Sprint(ids) != fmt.Sprint(tt.ids) || string(s.Rest()) != tt.rest {
				t.Errorf("%s, split at %d: got IDs %q and rest %q, want %q and %q", tt.name, cut, ids, s.Rest(), tt.ids, tt.rest)
			}
		}
	}
}

// FuzzSplitter checks that the events and the rest add up to the input stream.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), 3)
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		cut = min(max(cut, 0), len(stream))
		var s Splitter
		var out []byte
		for _, part := range [][]byte{stream[:cut], stream[cut:]} {
			s.Write(part)
			for e := s.Next(); e != nil; e = s.Next() {
				out = append(out, e...)
			}
		}
		if got := string(out) + string(s.Rest()); got != string(stream) {
			t.Errorf("events and rest of %q add up to %q", stream, got)
		}
	})
}

// TestPartial checks which bytes after the last event are the beginning of another
// one.
func TestPartial(t *testing.T) {
	for rest, want := range map[string]bool{"": false, "\n": false, "\r\n": false, "i": true, "data: x": true, "data: x\n": true} {
		var s Splitter
		s.Write([]byte("data: a\n\n" + rest))
		for s.Next() != nil {
		}
		if got := s.Partial(); got != want {
			t.Errorf("rest %q: partial %t, want %t", rest, got, want)
		}
	}
}

// TestFollows guards against events that a caller gets twice, or never.
func TestFollows(t *testing.T) {
	tests := []struct {
		id, last string
		want     bool
	}{
		{"1", "", true},
		{"2", "1", true},
		{"10", "9", true},
		{"9", "10", false},
		{"9", "9", false},
		{"a", "b", true},
		{"a", "a", false},
		{"1", "a", true},
		{"99999999999999999999", "99999999999999999998", true},
		{"99999999999999999998", "99999999999999999999", false},
		{"100000000000000000000000", "99999999999999999999999", true},
		{"99999999999999999999999", "100000000000000000000000", false},
		{"18446744073709551616", "7", true},
		{"7", "18446744073709551616", false},
		{"007", "7", false},
		{"0", "00", false},
	}
	for _, tt := range tests {
		if got := Follows(tt.id, tt.last); got != tt.want {
			t.Errorf("%q after %q: %v, want %v", tt.id, tt.last, got, tt.want)
		}
	}
}

func TestIsComment(t *testing.T) {
	for e, want := range map[string]bool{": alive\n\n": true, "\n": true, "data: x\n\n": false, ": a\ndata: x\n\n": false} {
		if got := IsComment([]byte(e)); got != want {
			t.Errorf("%q: %v, want %v", e, got, want)
		}
	}
}
