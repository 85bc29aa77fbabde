package app_test

import (
	"net/netip"
	"testing"

	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/foldd/app"
	"fuchsiafold.example/foldd/conf"
)

// TestUnreadableRecordStopsNoExchange guards against a VM that neither tells nor learns
// anything because a record in its table can't be sent.
func TestUnreadableRecordStopsNoExchange(t *testing.T) {
	first := startEntry(t, "vm1", nil)
	second := startEntry(t, "vm2", func(s *conf.Settings) { s.Peers = []netip.AddrPort{first.Addrs().Peers} })
	server := member.Backend{Kind: spec.KindPlain, Service: "booking-app", Domain: "a", Epoch: 1, Seq: 1}
	for i, at := range []*app.App{first, second} {
		unreadable, sound := server, server
		unreadable.ID, unreadable.Addr = "unreadable\xff", netip.AddrPortFrom(loopback.Addr(), uint16(1+i))
		sound.ID, sound.Addr = at.Node.Settings.ID+"-server", netip.AddrPortFrom(loopback.Addr(), uint16(11+i))
		at.Node.ReceiveAnnouncement(unreadable)
		at.Node.ReceiveAnnouncement(sound)
	}
	waitFor(t, "each VM to know the server that the other one has heard of", func() bool {
		_, ok1 := first.Node.Backend("vm2-server")
		_, ok2 := second.Node.Backend("vm1-server")
		return ok1 && ok2
	})
}
