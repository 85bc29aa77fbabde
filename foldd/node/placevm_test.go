package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/fold/spec"
)

// largeGroup returns a node of failure domain a, with an engine in each of the domains a, b
// and c, that knows more VMs than one placement VM serves. answer answers its placement
// requests.
func largeGroup(t *testing.T, answer func(to member.Peer, r place.Request) (PlacementResponse, error)) *Node {
	t.Helper()
	n := testNode(t)
	n.RequestPlacement = func(_ context.Context, to member.Peer, req PlacementRequest) (PlacementResponse, error) {
		if req.Request == nil {
			return PlacementResponse{}, nil
		}
		return answer(to, *req.Request)
	}
	for i, domain := range []string{"a", "b", "c"} {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(10+i))
		n.ReceiveAnnouncement(member.Backend{ID: "e-" + domain, Addr: addr, Kind: spec.KindPlain, Service: "models", Domain: domain, Epoch: 1, Seq: 1})
		for vm := range maxVMsPerPlacementVM {
			n.ReceivePeer(member.Peer{ID: fmt.Sprintf("%s-%d", domain, vm), Domain: domain, Epoch: 1, ServesCallers: true})
		}
	}
	return n
}

func modelRequest() place.Request { return place.Request{Run: place.Run{ID: 1, BaseTokens: 10}} }

// TestDomainsPlaceTheirRequests checks that in a large group the placement VM of the
// request's failure domain chooses, and that all requests of a domain go to one VM.
func TestDomainsPlaceTheirRequests(t *testing.T) {
	asked := map[string]bool{}
	n := largeGroup(t, func(to member.Peer, r place.Request) (PlacementResponse, error) {
		if to.Domain != r.Scope {
			t.Errorf("VM %s of domain %s is asked to place in domain %s", to.ID, to.Domain, r.Scope)
		}
		asked[to.ID] = true
		return PlacementResponse{Backend: "e-" + r.Scope}, nil
	})
	for range 5 {
		if c, ok := n.Place(t.Context(), "models", modelRequest()); !ok || c.Server.ID != "e-a" {
			t.Errorf("engine %q, %t; want that of the VM's own domain", c.Server.ID, ok)
		}
	}
	if len(asked) != 1 {
		t.Errorf("%d VMs were asked, want one: %v", len(asked), asked)
	}
}

// TestCrowdedDomainSpillsOver checks that a request whose own domain is crowded or full goes
// to another domain that is not, that no more than maxSpillDomains others are asked, and
// that a request is rejected only if all that were asked are full.
func TestCrowdedDomainSpillsOver(t *testing.T) {
	tests := []struct {
		what string
		// crowded and full list the domains that are so.
		crowded, full []string
		// want lists the domains that the engine may be of.
		want     []string
		wantFull bool
	}{
		{"own domain has room", nil, nil, []string{"a"}, false},
		{"own domain is crowded", []string{"a"}, nil, []string{"b", "c"}, false},
		{"own domain is full", nil, []string{"a"}, []string{"b", "c"}, false},
		{"all domains are crowded", []string{"a", "b", "c"}, nil, []string{"a"}, false},
		{"own domain is full and the others are crowded", []string{"b", "c"}, []string{"a"}, []string{"b", "c"}, false},
		{"all domains are full", nil, []string{"a", "b", "c"}, []string{"a"}, true},
		{"only the last domain has room", nil, []string{"a", "b"}, []string{"c"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.what, func(t *testing.T) {
			var asked []string
			n := largeGroup(t, func(to member.Peer, r place.Request) (PlacementResponse, error) {
				asked = append(asked, r.Scope)
				return PlacementResponse{
					Backend: "e-" + r.Scope, Crowded: slices.Contains(tt.crowded, r.Scope),
					Full: slices.Contains(tt.full, r.Scope), RetryAfter: time.Second,
				}, nil
			})
			c, ok := n.Place(t.Context(), "models", modelRequest())
			if !ok || c.Full != tt.wantFull || !slices.Contains(tt.want, c.Server.Domain) {
				t.Errorf("choice %+v, %t; want an engine of %v, full %t", c, ok, tt.want, tt.wantFull)
			}
			if asked[0] != "a" || len(asked) > 1+maxSpillDomains {
				t.Errorf("asked the domains %v", asked)
			}
			if load := n.Loads("models"); len(load) > 1 || !c.Full && load[c.Server.ID].Requests != 1 {
				t.Errorf("loads %v, want the request at the chosen engine only", load)
			}
		})
	}
}

// TestSecondPlacementVMIsAsked checks that a request whose placement VM does not answer is
// placed by the next one, which all VMs of the domain agree on, and not locally.
func TestSecondPlacementVMIsAsked(t *testing.T) {
	var asked []string
	n := largeGroup(t, func(to member.Peer, r place.Request) (PlacementResponse, error) {
		asked = append(asked, to.ID)
		if len(asked) == 1 {
			return PlacementResponse{}, errors.New("injected failure")
		}
		return PlacementResponse{Backend: "e-a"}, nil
	})
	c, ok := n.Place(t.Context(), "models", modelRequest())
	if !ok || len(asked) != 2 || asked[0] == asked[1] || c.ChosenBy != asked[1] {
		t.Errorf("choice %+v, %t by the VMs %v; want that of the second VM asked", c, ok, asked)
	}
	if c, _ = n.Place(t.Context(), "models", modelRequest()); c.ChosenBy != asked[1] {
		t.Errorf("the next request is placed by %s, want %s, while the first VM is backed off", c.ChosenBy, asked[1])
	}
}

// TestUnreachableDomainIsNotAskedAgain checks that a request whose own domain is crowded
// waits for the placement VM of a domain that does not answer only once, and that the next
// ones don't wait for it.
func TestUnreachableDomainIsNotAskedAgain(t *testing.T) {
	asked := map[string]int{}
	n := largeGroup(t, nil)
	n.RequestPlacement = func(ctx context.Context, to member.Peer, req PlacementRequest) (PlacementResponse, error) {
		asked[to.Domain]++
		if to.Domain == "b" {
			<-ctx.Done()
			return PlacementResponse{}, ctx.Err()
		}
		return PlacementResponse{Backend: "e-" + req.Request.Scope, Crowded: true}, nil
	}
	for range 8 {
		if c, ok := n.Place(t.Context(), "models", modelRequest()); !ok || c.Server.ID != "e-a" {
			t.Errorf("engine %q, %t; want the crowded one of the VM's own domain", c.Server.ID, ok)
		}
	}
	if asked["b"] > 1 {
		t.Errorf("the VMs of the unreachable domain were asked %d times, want once", asked["b"])
	}
}

// TestPlacementVMIsToldOfCooldown checks that a request names the engines that want none
// from this VM, so that its placement VM offers another, and that requests of other VMs are
// not kept from them.
func TestPlacementVMIsToldOfCooldown(t *testing.T) {
	var excluded []string
	n := largeGroup(t, func(_ member.Peer, r place.Request) (PlacementResponse, error) {
		excluded = r.Exclude
		return PlacementResponse{Backend: "e-b"}, nil
	})
	away, _ := n.Backend("e-a")
	n.ObserveRetryAfter(away, limit.RetryAfter{Wait: time.Minute})
	if c, ok := n.Place(t.Context(), "models", modelRequest()); !ok || c.Server.ID != "e-b" || !slices.Contains(excluded, "e-a") {
		t.Errorf("engine %q, %t; the request excludes %v, want e-a", c.Server.ID, ok, excluded)
	}
	r := modelRequest()
	r.Scope = "a"
	if res := n.HandlePlacement(PlacementRequest{From: "a-1", Service: "models", Request: &r}); res.Backend != "e-a" {
		t.Errorf("the request of another VM goes to %q, want e-a", res.Backend)
	}
	if views := n.ServiceViews(); !slices.ContainsFunc(views[0].Backends, func(b BackendView) bool { return b.ID == "e-a" && b.BackedOff }) {
		t.Errorf("views %+v don't show the cooldown of e-a", views)
	}
}
