package soak

import (
	"fmt"
	"net/http"
	"os/exec"
	"testing"
	"time"

	"fuchsiafold.example/foldfake/meter"
	"fuchsiafold.example/foldfake/origin"
	"fuchsiafold.example/wire"
)

// givenOrder is an order by its times before now; an acknowledgement that is zero is
// missing.
type givenOrder struct {
	undo                         bool
	began, acknowledged, settled time.Duration
}

func ordersOf(now time.Time, domain string, given []givenOrder) *orders {
	o := &orders{}
	for _, g := range given {
		x := &order{domain: domain, undo: g.undo, began: now.Add(-g.began), settled: now.Add(-g.settled)}
		if g.acknowledged > 0 {
			x.acknowledged = now.Add(-g.acknowledged)
		}
		if g.settled == 0 {
			x.settled = time.Time{}
		}
		o.list = append(o.list, x)
	}
	return o
}

// TestEvacuatedCatches plants requests to evacuated servers and sets that lack an order. It
// guards against checks that miss them, and against ones that report orders of which it is
// not known which one holds.
func TestEvacuatedCatches(t *testing.T) {
	const s = time.Second
	old := givenOrder{began: 10 * s, acknowledged: 9 * s, settled: 9 * s}
	for _, c := range []struct {
		name      string
		orders    []givenOrder
		connected bool
		misplaced bool
		want      []Promise
	}{
		{"acknowledged long ago", []givenOrder{old}, true, false, []Promise{Evacuated}},
		{"VM not connected", []givenOrder{old}, false, false, nil},
		{"answered with 421", []givenOrder{old}, true, true, nil},
		{"acknowledged just now", []givenOrder{{began: 4 * s, acknowledged: 3 * s, settled: 3 * s}}, true, false, nil},
		{"not acknowledged", []givenOrder{{began: 20 * s, settled: 9 * s}}, true, false, nil},
		{"being revoked", []givenOrder{old, {undo: true, began: s}}, true, false, nil},
		{"revoked before", []givenOrder{{undo: true, began: 20 * s, acknowledged: 19 * s, settled: 19 * s}, old}, true, false, []Promise{Evacuated}},
		{"raced with its revocation", []givenOrder{old, {undo: true, began: 10 * s, acknowledged: 9 * s, settled: 9 * s}}, true, false, nil},
		{"attempt of a revocation may come late", []givenOrder{{undo: true, began: 15 * s, settled: 8 * s}, old}, true, false, nil},
		{"repeated", []givenOrder{old, {began: s}}, true, false, []Promise{Evacuated}},
	} {
		got := broken(func(f *findings) {
			x := &instance{service: serviceWrites, domain: evacuatedDomains[0], origin: &origin.Server{ID: "s"}, limited: limited{meter: &meter.Meter{}}}
			r := &http.Request{Header: http.Header{headerRequest: {"v0-write-1"}}}
			if c.misplaced {
				r.Header.Set("Fold-Backend", "another")
			}
			servers := &servers{findings: f, orders: ordersOf(time.Now(), x.domain, c.orders), calm: func(int, time.Time) bool { return c.connected }}
			servers.connected = servers.calm
			servers.behave(x, r)
		})
		expect(t, c.name, got, c.want...)
	}
}

// TestShownEvacuationsCatch plants sets of evacuated domains that a VM shows.
func TestShownEvacuationsCatch(t *testing.T) {
	const s = time.Second
	old := givenOrder{began: 10 * s, acknowledged: 9 * s, settled: 9 * s}
	undone := givenOrder{undo: true, began: 8 * s, acknowledged: 7 * s, settled: 7 * s}
	domain := evacuatedDomains[0]
	shown := []*wire.Evacuation{{Domain: domain}}
	for _, c := range []struct {
		name   string
		orders []givenOrder
		before uint64
		set    *wire.Evacuations
		want   []Promise
	}{
		{"shown", []givenOrder{old}, 1, &wire.Evacuations{Version: 1, Domains: shown}, nil},
		{"lost", []givenOrder{old}, 0, nil, []Promise{Evacuated}},
		{"revocation lost", []givenOrder{old, undone}, 1, &wire.Evacuations{Version: 1, Domains: shown}, []Promise{Evacuated}},
		{"revoked", []givenOrder{old, undone}, 1, &wire.Evacuations{Version: 2}, nil},
		{"back to an older set", nil, 2, &wire.Evacuations{Version: 1}, []Promise{Evacuated}},
	} {
		got := broken(func(f *findings) {
			vms := make([]*vm, controlCount)
			for i := range vms {
				vms[i] = &vm{id: fmt.Sprint("vm", i), process: new(exec.Cmd), lastDisturbed: time.Now().Add(-time.Hour)}
			}
			w := &world{vms: vms, findings: f}
			w.orders.list = ordersOf(time.Now(), domain, c.orders).list
			o := &operators{world: w, findings: f}
			(&watcher{operators: o, vm: vms[0], setVersion: c.before}).checkEvacuations(time.Now(), 0, c.set)
		})
		expect(t, c.name, got, c.want...)
	}
}
