package app

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"fuchsiafold.example/foldd/ctrl"
	"fuchsiafold.example/foldd/store"
)

// Timing of the control part's start.
const (
	controlRetry = 300 * time.Millisecond
	firstConfig  = time.Second
)

// startControl starts the control replica if the settings ask for one, and
// the client of the control part if there is one.
func (a *App) startControl() error {
	s := a.Node.Settings
	if s.Control == nil && len(s.ControlVMs) == 0 {
		return nil
	}
	a.client = ctrl.NewClient(a.peers.Client(), a.peers.Options(), a.controls)
	a.entry.Claims = a.client
	a.operators.Control = a.client
	if s.Control == nil {
		a.fetchConfig()
		return nil
	}
	conf := ctrl.ServerConfig{
		VM:             s.ID,
		Addr:           a.addrs.Peers,
		DataFolder:     s.Control.DataFolder,
		Peers:          a.controls,
		Bootstrap:      s.Control.Bootstrap,
		HTTP:           a.peers.Client(),
		Options:        a.peers.Options(),
		Log:            a.Node.Log,
		Check:          a.checkDocument,
		OnConfigChange: a.adopt,
		Count:          a.Node.Count,
	}
	if s.Control.FormGroup {
		conf.InitialMembers = s.ControlVMs
	}
	return a.startReplica(conf)
}

// controls returns the addresses at which control VMs may be found: those of
// the settings, which may be out of date, and those that have been heard.
func (a *App) controls() []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range a.Node.Peers() {
		if p.HasControlReplica {
			out = append(out, p.Addr)
		}
	}
	if a.Node.Settings.Control != nil {
		out = append(out, a.addrs.Peers)
	}
	for _, c := range a.Node.ControlSeeds() {
		if !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

func (a *App) checkDocument(document []byte) error {
	_, err := a.Node.Decode(document)
	return err
}

// startReplica starts the replica, or tries on in the background while no
// group is found to join.
func (a *App) startReplica(conf ctrl.ServerConfig) error {
	h, err := ctrl.New(conf)
	if errors.Is(err, ctrl.ErrNoGroup) {
		a.Node.Log.WithError(err).Warn("control replica waits")
		a.restartReplica(conf)
		return nil
	}
	if err != nil {
		return err
	}
	a.gate.SetServer(h)
	go a.superviseReplica(h, conf)
	return nil
}

// superviseReplica starts the replica again when its disk failed it: a disk
// that is full or stalled may recover.
func (a *App) superviseReplica(h *ctrl.Server, conf ctrl.ServerConfig) {
	<-h.Stopped()
	if a.Node.Abandoned() {
		return
	}
	if err := h.Close(); err != nil {
		a.Node.Log.WithError(err).Warn("close control replica")
	}
	a.restartReplica(conf)
}

func (a *App) restartReplica(conf ctrl.ServerConfig) {
	a.Node.Clock.At(time.Now().Add(controlRetry), func(time.Time) { go a.retryReplica(conf) })
}

func (a *App) retryReplica(conf ctrl.ServerConfig) {
	if a.Node.Abandoned() {
		return
	}
	err := a.startReplica(conf)
	if err == nil {
		return
	}
	a.Node.Log.WithError(err).Error("control replica does not start")
	if !errors.Is(err, store.ErrCorrupt) && !errors.Is(err, ctrl.ErrGroupExists) {
		a.restartReplica(conf)
	}
}

// adopt puts a configuration in force that the control part has decided.
func (a *App) adopt(revision uint64, document []byte) {
	if err := a.Node.ApplyDocument(revision, document, ""); err != nil {
		a.Node.Log.WithError(err).Error("decided configuration is not usable here")
	}
}

// fetchConfig asks the control part for the newest configuration before the
// first request is served, so that a neighbour that lags is not believed.
func (a *App) fetchConfig() {
	ctx, cancel := context.WithTimeout(context.Background(), firstConfig)
	defer cancel()
	res, err := a.client.Latest(ctx)
	if err != nil || res.GetRevision() == 0 {
		return
	}
	a.adopt(res.GetRevision(), res.GetDocument())
}
