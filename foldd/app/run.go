package app

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"fuchsiafold.example/foldd/conf"
	// A SIGHUP that comes before Run must not end the process.
	_ "fuchsiafold.example/foldd/early"
)

// errAborted is returned by a shutdown that aborted requests in progress.
var errAborted = eris.New("requests in progress were aborted")

// settingsPollInterval is how often the settings file is checked for changes.
const settingsPollInterval = 2 * time.Second

// Run serves with the settings in the file at path until the process receives a
// signal. The first SIGTERM or SIGINT drains the process; a second one closes it
// at once. SIGHUP and changes of the file reload the settings.
func Run(ctx context.Context, path string, adapter Adapter) error {
	// A change after this, even before the settings are read, counts as one to follow.
	modified := fileModTime(path)
	s, err := conf.Load(path)
	if err != nil {
		return err
	}
	log, sink := NewLogger(s.Log)
	defer sink.Close()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	a, err := NewWithAdapter(ctx, s, log, adapter)
	if err != nil {
		log.WithError(err).Error("start failed")
		return err
	}
	a.Node.Memory.LimitRuntime()
	sink.RegisterMetrics(a.Node.Metrics)
	stop := make(chan struct{})
	defer close(stop)
	go a.followSettings(path, modified, hangups, stop)
	log.WithField("signal", (<-signals).String()).Info("shutting down")
	return a.ShutdownWithin(signals, time.Duration(s.Limits.DrainTimeout))
}

// ShutdownWithin shuts the process down and aborts the requests that are in
// progress after the timeout, or when a further signal is received. It returns an
// error if requests were aborted.
func (a *App) ShutdownWithin(signals <-chan os.Signal, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	aborted := a.Shutdown(ctx)
	if aborted > 0 {
		a.Node.Log.WithField("cut", aborted).Warn("stopped; requests in progress were aborted")
		return fmt.Errorf("%d %w", aborted, errAborted)
	}
	a.Node.Log.Info("stopped; no request was aborted")
	return nil
}

// followSettings reloads the settings after each SIGHUP and whenever the file's
// modification time differs from that of the settings read last, until stop is closed.
// modified is that of the settings in force.
func (a *App) followSettings(path string, modified time.Time, hangups <-chan os.Signal, stop <-chan struct{}) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		reason := "hangup"
		select {
		case <-stop:
			return
		case <-hangups:
		case <-t.C:
			reason = "file changed"
		}
		current := fileModTime(path)
		if reason != "hangup" && current.Equal(modified) {
			continue
		}
		modified = current
		a.reload(path, reason)
	}
}

// fileModTime returns the file's modification time, or the zero time if the file
// can't be read.
func fileModTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		// A file that is being replaced may be missing for a moment; the next
		// poll finds it.
		return time.Time{}
	}
	return info.ModTime()
}

// reload loads the settings file and applies the settings that may change while
// the process runs: the addresses of the other VMs and the control VMs. If the
// file is invalid, the settings stay as they are.
func (a *App) reload(path, reason string) {
	s, err := conf.Load(path)
	if err != nil {
		a.Node.Log.WithError(err).WithField("why", reason).Error("reloading settings failed; keeping the current settings")
		return
	}
	a.Node.SetSeeds(s.Peers, s.ControlVMs)
	a.Node.Log.WithFields(logrus.Fields{"why": reason, "controls": s.ControlVMs}).Info("settings reloaded")
}
