package member_test

import (
	"errors"
	"strings"
	"testing"

	"fuchsiafold.example/fold/member"
)

func TestCheckID(t *testing.T) {
	for id, ok := range map[string]bool{
		"i-7f3a91c2": true, "é": true, strings.Repeat("x", 255): true,
		"": false, strings.Repeat("x", 256): false, "i-\xff\xfe": false, "i-\xe2\x82": false, "a\nb": false, "a\x00": false, "a\u0085": false,
	} {
		if err := member.CheckID(id); (err == nil) != ok || (err != nil && !errors.Is(err, member.ErrText)) {
			t.Errorf("%q: error %v, want one: %t", id, err, !ok)
		}
	}
}

func TestCheckBackend(t *testing.T) {
	sound := member.Backend{ID: "i", Service: "s", Adapters: []string{"a"}}
	if err := sound.Check(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(b *member.Backend){
		"service":  func(b *member.Backend) { b.Service = "\xff" },
		"model":    func(b *member.Backend) { b.Model = "\xff" },
		"version":  func(b *member.Backend) { b.Version = strings.Repeat("x", 256) },
		"domain":   func(b *member.Backend) { b.Domain = "a\rb" },
		"adapters": func(b *member.Backend) { b.Adapters = []string{"\xff"} },
		"many":     func(b *member.Backend) { b.Adapters = make([]string, 257) },
	} {
		b := sound
		change(&b)
		if err := b.Check(); !errors.Is(err, member.ErrText) {
			t.Errorf("%s: error %v, want ErrText", name, err)
		}
	}
}
