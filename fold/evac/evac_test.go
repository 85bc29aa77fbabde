package evac

import (
	"testing"
	"time"
)

// A resent order must not raise the version: VMs would take the set for a newer one.
func TestRepeatedOrderChangesNothing(t *testing.T) {
	at := time.Unix(100, 0)
	s := Set{}.Add("b", at).Add("a", at)
	if again := s.Add("a", at.Add(time.Second)); again.Version != s.Version || len(again.Domains) != 2 {
		t.Errorf("set after a repeated order is %+v, want %+v", again, s)
	}
	if again := s.Remove("c"); again.Version != s.Version {
		t.Errorf("version after removing a domain that isn't there is %d, want %d", again.Version, s.Version)
	}
}

// A domain must not stay evacuated after it was removed, nor change a set in use.
func TestRemove(t *testing.T) {
	s := Set{}.Add("b", time.Time{}).Add("a", time.Time{}).Add("c", time.Time{})
	r := s.Remove("b")
	if r.Has("b") || !r.Has("a") || !r.Has("c") || r.Version != s.Version+1 {
		t.Errorf("set without b is %+v", r)
	}
	if !s.Has("b") {
		t.Error("the set in use was modified")
	}
}
