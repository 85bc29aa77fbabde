package soak

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// headerPosition names the last event that a caller has.
const headerPosition = "Last-Event-Id"

// outcomeResumed is that of a stream that was whole in the end, but not at its first VM.
const outcomeResumed = "resumed"

const (
	// noteTime is the time for which a caller comes back for the rest of a stream, and
	// notePause the pause before it does.
	noteTime  = 8 * time.Second
	notePause = 100 * time.Millisecond
)

// note reads a stream that may be resumed. After a broken connection it comes back at the next
// VM with its position.
func (c *callers) note(client *http.Client, vm int, id string) string {
	began, got, outcome := time.Now(), "", ""
	for try := 0; ; try++ {
		var broken bool
		got, outcome, broken = c.readNote(client, (vm+try)%len(c.world.vms), id, got)
		switch {
		case outcome == outcomeDone && try > 0:
			return outcomeResumed
		case outcome == outcomeDone, !broken && got == "", time.Since(began) > noteTime, c.world.old != "":
			return outcome
		}
		time.Sleep(notePause)
		c.world.servers.passes.resent(id)
	}
}

// readNote reads the rest of a stream at a VM and checks it against what the caller has. It
// returns all that it has then, how the response ended, and whether it broke.
func (c *callers) readNote(client *http.Client, vm int, id, got string) (all, outcome string, broken bool) {
	header := map[string]string{}
	if position := strings.Count(got, "\n\n"); position > 0 {
		header[headerPosition] = strconv.Itoa(position)
	}
	res, err := c.post(client, vm, "/note/"+id, forwardHost, id, "prompt", header)
	if err != nil {
		return got, outcomeError, true
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if outcome := res.Header.Get(headerOutcome); outcome != "" || res.StatusCode != http.StatusOK {
		return got, outcome, false
	}
	got += string(b)
	checkStream(c.findings, id, got, err == nil, draftEvents)
	if err != nil {
		return got, outcomeBroken, true
	}
	return got, outcomeDone, false
}
