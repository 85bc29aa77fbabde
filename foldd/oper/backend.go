// Package oper serves backend servers, which announce themselves, and
// operators, who read the status, apply configurations and drain VMs.
package oper

import (
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/node"
)

// announcement is the report that a backend server sends about itself.
type announcement struct {
	ID                 string   `json:"id"`
	Addr               string   `json:"addr"`
	Kind               string   `json:"kind"`
	Service            string   `json:"service"`
	Model              string   `json:"model"`
	Adapters           []string `json:"adapters"`
	Version            string   `json:"version"`
	Domain             string   `json:"domain"`
	MemoryTokens       int      `json:"memoryTokens"`
	ChecksFencingToken bool     `json:"checksFence"`
	Epoch              uint64   `json:"epoch"`
	Seq                uint64   `json:"seq"`
	Leaving            bool     `json:"leaving"`
	// ColdMillis is the time in milliseconds for which the server stays cold.
	ColdMillis uint64        `json:"coldMillis"`
	Load       announcedLoad `json:"load"`
	// CacheEvents lists changes of an engine's prefix cache. They may arrive
	// late, and some may be missing.
	CacheEvents []cacheEvent `json:"cacheEvents"`
}

// cacheEvent states whether a prefix entered or left the cache.
type cacheEvent struct {
	Prefix string `json:"prefix"`
	Stored bool   `json:"stored"`
}

// announcedLoad is the load that a backend server announces. MemoryUsed is in
// tokens; LagMS is the age of the values, in milliseconds, when they were sent.
type announcedLoad struct {
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	MemoryUsed  int   `json:"memoryUsed"`
	Preemptions int   `json:"preemptions"`
	StepMicros  int64 `json:"stepMicros"`
	LagMS       int64 `json:"lagMs"`
}

// announceReply states how long the backend server counts as live after its
// announcement.
type announceReply struct {
	LeaseMS int64 `json:"leaseMs"`
}

func (a *announcement) toBackend() (member.Backend, error) {
	addr, err := netip.ParseAddrPort(a.Addr)
	if err != nil {
		return member.Backend{}, fmt.Errorf("addr: want an IP address and a port: %w", err)
	}
	if a.Kind != spec.KindEngine && a.Kind != spec.KindPlain {
		return member.Backend{}, fmt.Errorf("kind: want %q or %q", spec.KindEngine, spec.KindPlain)
	}
	if a.Kind == spec.KindEngine && (a.Model == "" || a.MemoryTokens <= 0) {
		return member.Backend{}, fmt.Errorf("model, memoryTokens: an engine states both")
	}
	if a.Epoch == 0 || a.Seq == 0 {
		return member.Backend{}, fmt.Errorf("epoch, seq: want 1 or more")
	}
	b := member.Backend{
		ID: a.ID, Addr: addr, Kind: a.Kind, Service: a.Service,
		Model: a.Model, Adapters: a.Adapters, Version: a.Version, Domain: a.Domain,
		MemoryTokens: a.MemoryTokens, ChecksFencingToken: a.ChecksFencingToken,
		Epoch: a.Epoch, Seq: a.Seq, Leaving: a.Leaving,
		ColdFor: time.Duration(min(a.ColdMillis, uint64(spec.MaxCold.Milliseconds()))) * time.Millisecond,
		Load: member.Load{
			Running:     a.Load.Running,
			Waiting:     a.Load.Waiting,
			MemoryUsed:  a.Load.MemoryUsed,
			Preemptions: a.Load.Preemptions,
			StepTime:    time.Duration(a.Load.StepMicros) * time.Microsecond,
			Lag:         time.Duration(a.Load.LagMS) * time.Millisecond,
		},
	}
	return b, b.Check()
}

// BackendHandler returns the handler for announcements of backend servers.
func BackendHandler(n *node.Node) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) {
		handleAnnounce(n, w, r)
	})
	return RequireToken(n.Settings.BackendToken, mux)
}

func handleAnnounce(n *node.Node, w http.ResponseWriter, r *http.Request) {
	var a announcement
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, "want an announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	b, err := a.toBackend()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.Count("announcements", 1)
	if n.ReceiveAnnouncement(b) == member.Foreign {
		http.Error(w, "the configuration doesn't name the service", http.StatusServiceUnavailable)
		return
	}
	for _, c := range a.CacheEvents {
		n.UpdatePrefixCache(b.ID, c.Prefix, c.Stored)
	}
	if b.Leaving {
		if err := n.AwaitLeavingKnown(r.Context(), b.ID); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(announceReply{LeaseMS: member.DefaultLease.Milliseconds()})
}

// RequireToken returns a handler that passes requests with the bearer token to h
// and rejects all others. If token is empty, it returns h, which accepts all.
func RequireToken(token string, h http.Handler) http.Handler {
	if token == "" {
		return h
	}
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "token is missing or wrong", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}
