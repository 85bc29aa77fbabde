package app

import (
	"os"

	"github.com/sirupsen/logrus"

	"fuchsiafold.example/foldd/conf"
	"fuchsiafold.example/foldd/sink"
)

// NewLogger returns the process's logger, and the sink on standard output that
// it writes to.
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
