package app

import (
	"os"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/sink"
)

// NewLogger returns the process's logger and the sink to which it writes. The
// sink writes to standard output; the caller must close it to flush it. An
// unknown level leaves the logger at its default level.
func NewLogger(l conf.Log) (*logrus.Logger, *sink.Sink) {
	log := logrus.New()
	out := sink.New(os.Stdout)
	log.SetOutput(out)
	if level, err := logrus.ParseLevel(l.Level); err == nil {
		log.SetLevel(level)
	}
	if l.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log, out
}
