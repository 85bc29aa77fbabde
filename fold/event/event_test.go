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

func TestSplitter(t *testing.T) {
	tests := []struct {
		name, stream string
		ids          []string
		rest         string
	}{
		{"line feeds", "id:1\ndata:x\n\nid:2\n\n", []string{"1", "2"}, ""},
		{"carriage returns", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", []string{"1", "2"}, ""},
		{"without an ID", "data: x\n\n", []string{""}, ""},
		{"half an event", "id: 1\n\nid: 2\n", []string{"1"}, "id: 2\n"},
	}
	for _, tt := range tests {
		// Every way to cut the stream in two gives the same events.
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
				t.Errorf("%s, cut at %d: IDs %q, rest %q; want %q, %q", tt.name, cut, ids, s.Rest(), tt.ids, tt.rest)
			}
		}
	}
}

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
			t.Errorf("%q became %q", stream, got)
		}
	})
}
