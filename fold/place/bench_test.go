package place

import (
	"fmt"
	"testing"
	"time"

	"fuchsiafold.example/fold/learn"
	"fuchsiafold.example/fold/member"
)

// largeFleet returns a placer that knows the loads of many VMs, and the engines.
func largeFleet(vms, engines, runsPerEngine int) (*Placer, []member.Backend) {
	p := &Placer{Domain: "d0"}
	var servers []member.Backend
	for i := range engines {
		servers = append(servers, member.Backend{ID: fmt.Sprintf("i-%010x", i), Domain: fmt.Sprint("d", i%5), MemoryTokens: 34000, Slots: 24})
	}
	loads := make([]map[string]Load, vms)
	for i := range engines * runsPerEngine {
		vm, id := i*7%vms, servers[i%engines].ID
		if loads[vm] == nil {
			loads[vm] = map[string]Load{}
		}
		l := loads[vm][id]
		l.Requests++
		l.Runs = append(l.Runs, Run{ID: uint64(i + 1), Group: learn.Group{Class: "c"}, BaseTokens: 2000, Generated: i % 900, MaxTokens: 2268})
		loads[vm][id] = l
	}
	for vm, l := range loads {
		p.UpdatePeerLoad(now, fmt.Sprint("vm-", vm), l)
	}
	return p, servers
}

// BenchmarkPick measures the choice of an engine at the size of a large fleet.
func BenchmarkPick(b *testing.B) {
	p, servers := largeFleet(195, 63, 8)
	for i := range b.N {
		at := now.Add(time.Duration(i%500) * time.Millisecond)
		req := Request{Run: Run{ID: uint64(i + 10_000), Group: learn.Group{Class: "c"}, BaseTokens: 2000, MaxTokens: 2268}, PromptTokens: 2000, FirstTokenBudget: time.Second}
		p.Pick(at, servers, req)
	}
}
