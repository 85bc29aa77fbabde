package oper

import (
	"context"
	"errors"
	"time"
	"unicode/utf8"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/fold/evac"
	"fuchsiafold.example/foldd/ctrl"
	"fuchsiafold.example/foldd/node"
	"fuchsiafold.example/foldd/peer"
	"fuchsiafold.example/netio/clock"
	"fuchsiafold.example/wire"
)

// Evacuate submits an order about a failure domain to the control group. Once the order is
// committed, it is in force at this VM and spread from here, too.
func Evacuate(ctx context.Context, n *node.Node, control Applier, domain string, undo bool) (*wire.EvacuateResponse, error) {
	begun := time.Now()
	log := n.Log.WithFields(logrus.Fields{"domain": domain, "undo": undo})
	res, err := control.Evacuate(ctx, &wire.EvacuateRequest{Domain: domain, Undo: undo, UnixMillis: uint64(clock.Wall().UnixMilli())})
	log = log.WithField("ms", time.Since(begun).Milliseconds())
	if err != nil {
		n.Count("evacuations.unconfirmed", 1)
		log.WithError(err).Warn("evacuation not confirmed by the control group")
		return nil, err
	}
	n.Count("evacuations.acknowledged", 1)
	log.WithField("version", res.GetEvacuations().GetVersion()).Info("evacuation acknowledged by the control group")
	n.ApplyEvacuations(peer.FromEvacuations(res.GetEvacuations()), "")
	return res, nil
}

// CheckDomain returns an error if no order about a failure domain with the name is valid.
func CheckDomain(name string) error {
	if name == "" || len(name) > evac.MaxName || !utf8.ValidString(name) {
		return errDomainName
	}
	return nil
}

var errDomainName = eris.Errorf("failure domain: want 1 to %d bytes of UTF-8", evac.MaxName)

// Evacuate implements wire.OperatorServiceHandler.
func (o *Service) Evacuate(ctx context.Context, req *connect.Request[wire.EvacuateRequest]) (*connect.Response[wire.EvacuateResponse], error) {
	if o.Control == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoControl)
	}
	m := req.Msg
	res, err := Evacuate(ctx, o.Node, o.Control, m.GetDomain(), m.GetUndo())
	if errors.Is(err, ctrl.ErrNoQuorum) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}
