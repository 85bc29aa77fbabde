// Package evac holds the set of evacuated failure domains: backend servers there get no new
// work. The control group decides the set, and every VM follows the newest one it knows.
package evac

import (
	"slices"
	"strings"
	"time"
)

// MaxName bounds the name of a failure domain in bytes.
const MaxName = 256

// Domain is one evacuated failure domain.
type Domain struct {
	// Name is not empty and has at most MaxName bytes.
	Name string `json:"name"`
	// Since is the version of the set with which the domain was evacuated.
	Since uint64 `json:"since"`
	// Ordered is the time of the order by the clock of the VM that accepted it. It is for
	// display only.
	Ordered time.Time `json:"ordered"`
}

// Set is the set of evacuated failure domains. The zero value is the empty set before the
// first order.
type Set struct {
	// Version increases with each change. Of two sets, the one with the higher version
	// holds.
	Version uint64 `json:"version"`
	// Domains is in the order of the names, without duplicates. It is never modified once
	// the set is in use.
	Domains []Domain `json:"domains,omitempty"`
}

// Has reports whether a failure domain is evacuated.
func (s Set) Has(domain string) bool {
	_, ok := s.find(domain)
	return ok
}

// Add returns the set with a domain evacuated. It returns s itself if it is already.
func (s Set) Add(domain string, ordered time.Time) Set {
	i, ok := s.find(domain)
	if ok {
		return s
	}
	d := Domain{Name: domain, Since: s.Version + 1, Ordered: ordered}
	return Set{Version: s.Version + 1, Domains: slices.Insert(slices.Clone(s.Domains), i, d)}
}

// Remove returns the set without a domain. It returns s itself if the domain isn't in it.
func (s Set) Remove(domain string) Set {
	i, ok := s.find(domain)
	if !ok {
		return s
	}
	return Set{Version: s.Version + 1, Domains: slices.Delete(slices.Clone(s.Domains), i, i+1)}
}

// find returns the index of a domain, or where it belongs.
func (s Set) find(domain string) (int, bool) {
	return slices.BinarySearchFunc(s.Domains, domain, func(d Domain, name string) int { return strings.Compare(d.Name, name) })
}
