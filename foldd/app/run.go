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
)

// errCut is the end of a process that cut off requests in progress.
var errCut = eris.New("requests in progress were cut off")

// settingsPoll is how often the settings file is looked at for a change.
const settingsPoll = 2 * time.Second

// Run serves by a settings file until a signal. The first SIGTERM or SIGINT
// drains, the second ends at once; SIGHUP, like a change of the file, reads
// the settings again.
func Run(ctx context.Context, path string, adapter Adapter) error {
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
	sink.RegisterMetrics(a.Node.Metrics)
	stop := make(chan struct{})
	defer close(stop)
	go a.followSettings(path, hangups, stop)
	log.WithField("signal", (<-signals).String()).Info("shutdown begins")
	return a.ShutdownWithin(signals, time.Duration(s.Limits.DrainTimeout))
}

// ShutdownWithin shuts the process down within a limit; a further signal ends it at once.
func (a *App) ShutdownWithin(signals <-chan os.Signal, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	cut := a.Shutdown(ctx)
	if cut > 0 {
		a.Node.Log.WithField("cut", cut).Warn("stopped")
		return fmt.Errorf("%d: %w", cut, errCut)
	}
	a.Node.Log.Info("stopped, nothing was cut off")
	return nil
}

// followSettings reads the settings again after each hangup, and when the file
// has changed without one.
func (a *App) followSettings(path string, hangups <-chan os.Signal, stop <-chan struct{}) {
	t := time.NewTicker(settingsPoll)
	defer t.Stop()
	seen := modified(path)
	for {
		select {
		case <-stop:
			return
		case <-hangups:
			a.reload(path, "hangup")
		case <-t.C:
			if at := modified(path); at.Equal(seen) {
				continue
			}
			a.reload(path, "file changed")
		}
		seen = modified(path)
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		// A file that is being replaced is there again at the next look.
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes over what may change while the process runs: where to find the
// other VMs. A file that can't be used changes nothing.
func (a *App) reload(path, why string) {
	s, err := conf.Load(path)
	if err != nil {
		a.Node.Log.WithError(err).WithField("why", why).Error("settings not reloaded")
		return
	}
	a.Node.SetSeeds(s.Peers, s.ControlVMs)
	a.Node.Log.WithFields(logrus.Fields{"why": why, "controls": s.ControlVMs}).Info("settings reloaded")
}
