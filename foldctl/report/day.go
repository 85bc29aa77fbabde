// Package report makes a page of what VMs did over a time, from their logs alone.
package report

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxLine bounds a line of a log in bytes. Longer ones are counted as unread.
const maxLine = 1 << 20

// Day holds what the logs of some VMs say, by second. The zero value is empty.
type Day struct {
	// Seconds holds the seconds with at least one line, by their number. Numbers count
	// from the first line of the logs, or are those that the lines begin with.
	Seconds map[int]*Second
	// VMs holds the VMs whose logs were read, by ID.
	VMs map[string]*VM
	// Reasons counts the requests that the system rejected or broke off, and Warnings the
	// warnings and errors, by their texts.
	Reasons, Warnings map[string]int
	// Unread counts the lines that are no log lines.
	Unread int

	// first is the time of the first line without a number of its own.
	first time.Time
}

// VM is what the log of one VM says.
type VM struct {
	Lines, Requests, Rejected, Interrupted, Unknown int
	// Limited counts the requests that got no permit for a server with a rate limit.
	Limited int
}

// Second is what all VMs logged within one second.
type Second struct {
	// Outcomes counts the requests that ended, by outcome.
	Outcomes map[string]int
	// FirstEvents and Pauses hold, for each stream that ended, the time to its first event
	// and its longest pause in milliseconds.
	FirstEvents, Pauses []float64
	// Placed and Full count the placements of runs and those for which no server had room.
	// Memory holds the share of memory, in percent, of the servers chosen.
	Placed, Full int
	Memory       []float64
	// Moves counts the steps of moves, and FailedMoves those that failed.
	Moves, FailedMoves int
	// Denials counts the sends that got no permit because of a rate limit.
	Denials int
}

// line holds the fields of log lines that a Day uses.
type line struct {
	Time          time.Time `json:"time"`
	Level         string    `json:"level"`
	Message       string    `json:"msg"`
	Outcome       string    `json:"outcome"`
	Reason        string    `json:"reason"`
	FirstMs       *float64  `json:"firstMs"`
	PauseMs       *float64  `json:"pauseMs"`
	Full          bool      `json:"full"`
	MemoryPercent *float64  `json:"memoryPercent"`
}

// Read adds the log of a VM. A line may begin with the number of its second and the ID of
// its VM, which count in place of the time in the line and of the given ID.
func (d *Day) Read(vm string, log io.Reader) error {
	d.init()
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		d.add(vm, lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log of %s: %w", vm, err)
	}
	return nil
}

func (d *Day) init() {
	if d.Seconds == nil {
		d.Seconds, d.VMs = map[int]*Second{}, map[string]*VM{}
		d.Reasons, d.Warnings = map[string]int{}, map[string]int{}
	}
}

// add adds one line.
func (d *Day) add(vm, text string) {
	prefix, rest, ok := strings.Cut(text, "{")
	var l line
	if !ok || json.Unmarshal([]byte("{"+rest), &l) != nil {
		d.Unread++
		return
	}
	second, named := d.second(strings.Fields(prefix), l.Time)
	if named != "" {
		vm = named
	}
	if d.VMs[vm] == nil {
		d.VMs[vm] = &VM{}
	}
	if d.Seconds[second] == nil {
		d.Seconds[second] = &Second{Outcomes: map[string]int{}}
	}
	d.VMs[vm].Lines++
	if l.Level == "warning" || l.Level == "error" {
		d.Warnings[l.Message]++
	}
	d.count(d.VMs[vm], d.Seconds[second], &l)
}

// second returns the number of a line's second and the ID of its VM, from the words before
// the line if there are any. at is the time in the line.
func (d *Day) second(words []string, at time.Time) (number int, vm string) {
	if len(words) > 0 {
		if seconds, err := strconv.ParseFloat(words[0], 64); err == nil {
			return int(seconds), strings.Join(words[1:], " ")
		}
	}
	if d.first.IsZero() {
		d.first = at
	}
	return int(at.Sub(d.first) / time.Second), ""
}

func (d *Day) count(vm *VM, s *Second, l *line) {
	switch l.Message {
	case "request ended":
		d.countRequest(vm, s, l)
	case "server chosen":
		s.Placed++
		if l.Full {
			s.Full++
		}
		if l.MemoryPercent != nil {
			s.Memory = append(s.Memory, *l.MemoryPercent)
		}
	case "run moved":
		s.Moves++
	case "move step failed":
		s.FailedMoves++
	case "no permit for a backend server":
		s.Denials++
		vm.Limited++
	}
}

func (d *Day) countRequest(vm *VM, s *Second, l *line) {
	vm.Requests++
	s.Outcomes[l.Outcome]++
	switch l.Outcome {
	case "notRun":
		vm.Rejected++
	case "interrupted":
		vm.Interrupted++
	case "unknown":
		vm.Unknown++
	}
	if l.Reason != "" {
		d.Reasons[l.Reason]++
	}
	if l.FirstMs != nil {
		s.FirstEvents = append(s.FirstEvents, *l.FirstMs)
	}
	if l.PauseMs != nil {
		s.Pauses = append(s.Pauses, *l.PauseMs)
	}
}

// span returns the first and the last second, and false if there is none.
func (d *Day) span() (from, to int, ok bool) {
	if len(d.Seconds) == 0 {
		return 0, 0, false
	}
	numbers := slices.Collect(maps.Keys(d.Seconds))
	return slices.Min(numbers), slices.Max(numbers), true
}

// percentile returns a percentile of values, zero if there are none.
func percentile(values []float64, percent float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(float64(len(sorted))*percent/100), len(sorted)-1)]
}
