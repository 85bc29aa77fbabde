package relay

import (
	"context"
	"fmt"
	"time"

	"fuchsiafold.example/foldd/node"
)

// copyMemory copies the part of a run's memory that was not copied before to another
// engine, while the run continues.
func (x *Relay) copyMemory(ctx context.Context, s *stream, from, target backend) (handle string, err error) {
	if err := x.admitCopy(ctx, from, target); err != nil {
		return "", err
	}
	return x.orderCopy(ctx, s, from, target, false)
}

// admitCopy waits for the permit to copy a run's memory. It returns an error if the target takes
// no runs.
func (x *Relay) admitCopy(ctx context.Context, from, target backend) error {
	if err := x.Node.AwaitPermit(ctx, from, node.CopyRun); err != nil {
		return fmt.Errorf("copy run: %w", err)
	}
	if err := x.Node.CheckSend(target, node.Resume); err != nil {
		return fmt.Errorf("copy run: %w", err)
	}
	return nil
}

// orderCopy orders an engine to copy a run's memory. If stop is set, the run is stopped first.
func (x *Relay) orderCopy(ctx context.Context, s *stream, from, target backend, stop bool) (handle string, err error) {
	handle, reply, err := x.Mover.Copy(ctx, from.Addr, s.q.params.ID, target.Addr, stop)
	observeReply(x.Node, from, reply)
	return handle, err
}

// freeTimeout bounds the call that frees a copy.
const freeTimeout = time.Second

// free frees a copy of a run and logs a failure.
func (x *Relay) free(source backend, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	err := x.Node.AwaitPermit(ctx, source, node.FreeCopy)
	if err == nil {
		var reply Reply
		reply, err = x.Mover.Free(ctx, source.Addr, handle)
		observeReply(x.Node, source, reply)
	}
	if err != nil {
		x.Node.Log.WithError(err).WithField("handle", handle).Warn("freeing the copy of a run failed")
	}
}
