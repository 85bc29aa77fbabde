package soak

import (
	"fmt"
	"hash/crc32"
	"slices"
	"strings"
	"sync"
	"time"

	"fuchsiafold.example/foldfake/origin"
)

// Promise is what a check holds the system to.
type Promise string

// The promises.
const (
	// WholeAnswers: each token once, in order, from one generation; what looks
	// complete is.
	WholeAnswers Promise = "wholeAnswers"
	// OwnAnswers: a caller gets the answer to its own request.
	OwnAnswers Promise = "ownAnswers"
	// AtMostOnce: what may not be repeated runs at most once.
	AtMostOnce Promise = "atMostOnce"
	// TrueRefusals: what is reported as not run has not run.
	TrueRefusals Promise = "trueRefusals"
	// TrueResults: what is reported as done has run.
	TrueResults Promise = "trueResults"
	// LeavingIdle: a backend server that leaves gets nothing new.
	LeavingIdle Promise = "leavingIdle"
	// LimitKept: a backend server that names a rate limit gets no more than that allows.
	LimitKept Promise = "limitKept"
	// SaidLeaving: a backend server gets nothing new from a VM that has passed on a response
	// in which the server says that it is leaving.
	SaidLeaving Promise = "saidLeaving"
	// LeftAlone: a backend server that has turned a request of a VM away gets at most two
	// from it in the time that it named.
	LeftAlone Promise = "leftAlone"
	// ConfigForward: a VM never goes back to an older configuration, and what was
	// accepted is in force everywhere within a bound and stays.
	ConfigForward Promise = "configForward"
	// ConfigHistory: the history of changes is that of one server.
	ConfigHistory Promise = "configHistory"
	// ClaimHistory: of the calls with one idempotency key one runs, and the others get its
	// answer.
	ClaimHistory Promise = "claimHistory"
	// InTime: nothing is held past its deadline.
	InTime Promise = "inTime"
	// Evacuated: an acknowledged order about a failure domain is in force within a bound,
	// until the opposite one.
	Evacuated Promise = "evacuated"
	// ColdStart: a cold backend server gets no more from all VMs together than it takes.
	ColdStart Promise = "coldStart"
	// Returns: service is back after the last fault.
	Returns Promise = "returns"
	// Level: memory and descriptors return to their level.
	Level Promise = "level"
	// StaysUp: a process ends only when it is told to.
	StaysUp Promise = "staysUp"
)

// Violation is a promise that was not kept.
type Violation struct {
	Promise Promise `json:"promise"`
	// At is the time since the start of the load.
	At time.Duration `json:"at"`
	// Request is the ID of the request, empty if there is none.
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail"`
}

// findings collects violations. It is safe for concurrent use.
type findings struct {
	start time.Time

	mu   sync.Mutex
	list []Violation
}

func (f *findings) add(p Promise, request, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, Violation{Promise: p, At: time.Since(f.start), Request: request, Detail: fmt.Sprintf(format, args...)})
}

func (f *findings) all() []Violation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.list)
}

// generationAnswer is what a caller got of a generation.
type generationAnswer struct {
	text string
	// complete is set if the answer ended with a summary whose outcome is done.
	complete bool
	tokens   int
	checksum string
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checkGeneration checks the tokens of a generation that was asked for want tokens. A
// token's text is the beginning of its generation's ID, a dot and its offset.
func checkGeneration(f *findings, id string, a generationAnswer, want int) {
	words := strings.Fields(a.text)
	generation := ""
	for i, word := range words {
		prefix, offset, _ := strings.Cut(word, ".")
		if generation == "" {
			generation = prefix
		}
		if prefix != generation || offset != fmt.Sprint(i+1) {
			f.add(WholeAnswers, id, "token %d is %q, after tokens of generation %q", i+1, word, generation)
			return
		}
	}
	if !a.complete {
		return
	}
	sum := fmt.Sprintf("%08x", crc32.Checksum([]byte(a.text), castagnoli))
	if len(words) != want || a.tokens != want || a.checksum != sum {
		f.add(WholeAnswers, id, "complete answer has %d tokens, summary %d, checksum %s; want %d, %s", len(words), a.tokens, a.checksum, want, sum)
	}
}

// checkStream checks what a caller got of a stream of want events. ended is set if the
// response looked complete.
func checkStream(f *findings, id, body string, ended bool, want int) {
	var all strings.Builder
	for i := range want {
		all.WriteString(origin.Event(i + 1))
	}
	if !strings.HasPrefix(all.String(), body) {
		f.add(WholeAnswers, id, "body of %d bytes is no beginning of the stream", len(body))
		return
	}
	if body != "" && !strings.HasSuffix(body, "\n\n") {
		f.add(WholeAnswers, id, "body ends within an event: %q", body[max(0, len(body)-30):])
	}
	if ended && body != all.String() {
		f.add(WholeAnswers, id, "response ended as complete after %d of %d bytes", len(body), all.Len())
	}
}

// result is what a caller knows of a request that may run at most once.
type result struct {
	id string
	// done is set if any attempt was reported as done; last is the outcome of the last
	// attempt, empty if there was no answer.
	done bool
	last string
}

// Outcomes in responses.
const (
	outcomeDone   = "done"
	outcomeNotRun = "notRun"
)

// checkRuns checks a result against the number of times that the request ran.
func checkRuns(f *findings, r result, runs int) {
	switch {
	case runs > 1:
		f.add(AtMostOnce, r.id, "ran %d times", runs)
	case r.done && runs == 0:
		f.add(TrueResults, r.id, "reported as done, but has not run")
	case !r.done && r.last == outcomeNotRun && runs > 0:
		f.add(TrueRefusals, r.id, "reported as not run, but ran %d times", runs)
	}
}

// checkHeld checks how long a request without disturbance was held.
func checkHeld(f *findings, id string, held, timeout time.Duration) {
	if held > timeout+heldSlack {
		f.add(InTime, id, "held for %v, want at most %v", held.Round(time.Millisecond), timeout+heldSlack)
	}
}

// heldSlack is how much longer than its timeout a request may take to be answered.
const heldSlack = time.Second
