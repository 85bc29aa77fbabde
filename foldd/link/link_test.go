package link_test

import (
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"fuchsiafold.example/foldd/link"
)

// TestOneLineForEachChange checks that calls which go on failing, or succeeding, add no
// line.
func TestOneLineForEachChange(t *testing.T) {
	log, hook := test.NewNullLogger()
	s := link.State{Log: logrus.NewEntry(log), Failed: "lost", Regained: "regained"}
	broken := errors.New("broken")
	for _, err := range []error{nil, broken, broken, broken, nil, nil, broken} {
		s.Record(time.Now(), err, logrus.Fields{"queued": 3})
	}
	var got []string
	for _, e := range hook.AllEntries() {
		got = append(got, e.Message)
	}
	if len(got) != 3 || got[0] != "lost" || got[1] != "regained" || got[2] != "lost" {
		t.Fatalf("lines %q, want lost, regained, lost", got)
	}
	if e := hook.AllEntries()[0]; e.Data["queued"] != 3 || e.Data[logrus.ErrorKey] != broken {
		t.Errorf("first line %v, want the error and the fields", e.Data)
	}
	if e := hook.AllEntries()[1]; e.Data["failed"] != 3 {
		t.Errorf("second line %v, want 3 failed calls", e.Data)
	}
}
