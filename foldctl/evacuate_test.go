package main

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"fuchsiafold.example/wire"
)

// TestStatusShowsEvacuations guards against an evacuation that an operator can't see: since
// when, what still runs there, and which VMs have not confirmed it.
func TestStatusShowsEvacuations(t *testing.T) {
	s := sampleStatus()
	var out bytes.Buffer
	if err := writeStatus(&out, s, nil); err != nil || strings.Contains(out.String(), "evacuat") {
		t.Errorf("without any order, error %v:\n%s", err, out.String())
	}
	s.Evacuations = &wire.Evacuations{Version: 4, Domains: []*wire.Evacuation{{Domain: "a", Since: 4, SinceUnixMillis: 1_800_000_000_000}}}
	s.Self.EvacuationsVersion = 4
	s.Backends = []*wire.Backend{{Id: "e1", Domain: "a", Load: &wire.Load{Running: 3, Waiting: 1}}, {Id: "e2", Domain: "b", Load: &wire.Load{Running: 9}}}
	for _, tt := range []struct {
		peerVersion uint64
		want        []string
	}{
		{3, []string{"evacuated failure domains, version 4, NOT CONFIRMED by entry-2", "a       2027-01-15T08:00:00Z  1                4              2"}},
		{4, []string{"evacuated failure domains, version 4, confirmed by all live VMs"}},
	} {
		s.Peers[0].EvacuationsVersion = tt.peerVersion
		out.Reset()
		if err := writeStatus(&out, s, nil); err != nil {
			t.Fatal(err)
		}
		for _, want := range tt.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("got no line with %q in:\n%s", want, out.String())
			}
		}
	}
}

// fakeOperator answers orders with one error after the other, and then acknowledges them.
type fakeOperator struct {
	wire.OperatorServiceClient
	errs  []error
	calls int
	// version is that of the set. Orders about another one are outdated.
	version uint64
}

func (f *fakeOperator) Evacuate(_ context.Context, req *connect.Request[wire.EvacuateRequest]) (*connect.Response[wire.EvacuateResponse], error) {
	f.calls++
	if f.calls <= len(f.errs) {
		return nil, f.errs[f.calls-1]
	}
	if req.Msg.IfVersion == nil || req.Msg.GetIfVersion() != f.version {
		return connect.NewResponse(&wire.EvacuateResponse{Evacuations: &wire.Evacuations{Version: f.version}, Outdated: true}), nil
	}
	return connect.NewResponse(&wire.EvacuateResponse{Evacuations: &wire.Evacuations{Version: f.version + 1}}), nil
}

// TestOrderNamesVersion guards against an order that counts as acknowledged though it was not
// carried out, and against one that doesn't name the version of the set that it is to change: a
// copy of it that is late would undo a later order.
func TestOrderNamesVersion(t *testing.T) {
	f := &fakeOperator{version: 6}
	if v, err := orderEvacuation(t.Context(), f, &wire.EvacuateRequest{Domain: "a"}); err != nil || v != 7 || f.calls != 2 {
		t.Errorf("version %d, error %v after %d calls; want 7 after 2", v, err, f.calls)
	}
}

// TestOrderIsResent guards against an order that is given up at the first VM without a
// quorum, and against one that can never be valid and is resent.
func TestOrderIsResent(t *testing.T) {
	unavailable := connect.NewError(connect.CodeUnavailable, errors.New("no quorum"))
	f := &fakeOperator{errs: []error{unavailable, unavailable}}
	if v, err := orderEvacuation(t.Context(), f, &wire.EvacuateRequest{Domain: "a"}); err != nil || v != 1 || f.calls != 3 {
		t.Errorf("version %d, error %v after %d calls; want 1 after 3", v, err, f.calls)
	}
	f = &fakeOperator{errs: []error{connect.NewError(connect.CodeInvalidArgument, errors.New("name"))}}
	if _, err := orderEvacuation(t.Context(), f, &wire.EvacuateRequest{}); err == nil || f.calls != 1 {
		t.Errorf("error %v after %d calls, want one after 1", err, f.calls)
	}
}
