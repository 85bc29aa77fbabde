package report_test

import (
	"errors"
	"strings"
	"testing"

	"fuchsiafold.example/foldctl/report"
)

const log = `   0.5000 entry-1 {"level":"info","msg":"request ended","outcome":"done","firstMs":120,"pauseMs":30,"time":"2026-12-04T10:00:00Z"}
   0.6000 entry-1 {"level":"info","msg":"request ended","outcome":"notRun","reason":"every <engine> is full","time":"2026-12-04T10:00:00Z"}
   2.1000 entry-2 {"level":"info","msg":"server chosen","full":true,"memoryPercent":97,"time":"2026-12-04T10:00:02Z"}
   2.2000 entry-2 {"level":"warning","msg":"move step failed","time":"2026-12-04T10:00:02Z"}
panic: not a log line
   2.3000 entry-2 {"level":"info","msg":"no permit for a backend server","time":"2026-12-04T10:00:02Z"}
`

func TestRead(t *testing.T) {
	var d report.Day
	if err := d.Read("file", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	if vm := d.VMs["entry-1"]; vm == nil || vm.Requests != 2 || vm.Rejected != 1 {
		t.Errorf("VM %+v, want two requests, one of them rejected", vm)
	}
	if s := d.Seconds[0]; s == nil || s.Outcomes["done"] != 1 || len(s.FirstEvents) != 1 {
		t.Errorf("second 0: %+v", s)
	}
	if s := d.Seconds[2]; s == nil || s.Full != 1 || s.FailedMoves != 1 || s.Denials != 1 {
		t.Errorf("second 2: %+v", s)
	}
	if d.Unread != 1 || d.Warnings["move step failed"] != 1 || len(d.VMs) != 2 {
		t.Errorf("%d lines unread, warnings %v, %d VMs", d.Unread, d.Warnings, len(d.VMs))
	}
}

// TestReadCountsSecondsFromFirstLine reads a log as a process writes it.
func TestReadCountsSecondsFromFirstLine(t *testing.T) {
	var d report.Day
	text := `{"msg":"request ended","outcome":"done","time":"2026-12-04T10:00:03Z"}
{"msg":"request ended","outcome":"unknown","time":"2026-12-04T10:00:08Z"}
`
	if err := d.Read("vm1", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	if d.Seconds[0] == nil || d.Seconds[5] == nil || d.VMs["vm1"].Requests != 2 {
		t.Errorf("seconds %v, VMs %v", d.Seconds, d.VMs)
	}
}

func TestWrite(t *testing.T) {
	var d report.Day
	if err := d.Read("file", strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := report.Write(&out, &d); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"Seconds 0 to 2", "every &lt;engine&gt; is full", "second 2, no server had room: 1", "<td>entry-2</td>", "1 lines are no log lines"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if err := report.Write(&out, &report.Day{}); !errors.Is(err, report.ErrEmpty) {
		t.Errorf("error %v of a day without lines", err)
	}
}
