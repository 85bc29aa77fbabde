package app

import (
	"context"
	"errors"
	"time"

	"fuchsiafold.example/foldd/ctrl"
)

// Timing of the control part's start.
const (
	controlRetry = time.Second
	firstConfig  = time.Second
)

// startControl starts the control replica if the settings ask for one, and
// the client of the control part if there is one.
func (a *App) startControl() error {
	s := a.Node.Settings
	addrs := s.Controls
	if s.Control != nil && len(addrs) == 0 {
		addrs = append(addrs, a.addrs.Peers)
	}
	if len(addrs) == 0 {
		return nil
	}
	a.client = ctrl.NewClient(a.peers.Client(), a.peers.Options(), addrs)
	a.entry.Claims = a.client
	a.operators.Control = a.client
	if s.Control == nil {
		a.fetchConfig()
		return nil
	}
	conf := ctrl.HostConfig{
		VM:        s.ID,
		Addr:      a.addrs.Peers,
		Folder:    s.Control.DataFolder,
		Peers:     addrs,
		Bootstrap: s.Control.Bootstrap,
		HTTP:      a.peers.Client(),
		Options:   a.peers.Options(),
		Log:       a.Node.Log,
		Changed:   a.adopt,
		Count:     a.Node.Count,
	}
	return a.startReplica(conf)
}

// startReplica starts the replica, or tries on in the background while no
// group is found to join.
func (a *App) startReplica(conf ctrl.HostConfig) error {
	h, err := ctrl.New(conf)
	if errors.Is(err, ctrl.ErrNoGroup) {
		a.Node.Log.WithError(err).Warn("control replica waits")
		a.Node.Clock.At(time.Now().Add(controlRetry), func(time.Time) { go a.retryReplica(conf) })
		return nil
	}
	if err != nil {
		return err
	}
	a.gate.Open(h)
	return nil
}

func (a *App) retryReplica(conf ctrl.HostConfig) {
	if err := a.startReplica(conf); err != nil {
		a.Node.Log.WithError(err).Error("control replica does not start")
	}
}

// adopt puts a configuration in force that the control part has decided.
func (a *App) adopt(revision uint64, document []byte) {
	if err := a.Node.AdoptDocument(revision, document, ""); err != nil {
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
