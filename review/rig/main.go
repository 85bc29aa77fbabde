// Command rig runs one case of the review: it starts foldd processes and stand-in
// engines on loopback addresses, plays the case, and exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is the error of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name; each file of a case adds its own. trouble is false
// for the run without the disruption.
var cases = map[string]func(w *world, trouble bool) error{}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "engine" {
		engineMain(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	var closeOnce sync.Once
	end := func() { closeOnce.Do(w.close) }
	defer end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
		}
		rec.add("verdict", "could not run: not within %v", maxTime)
		end()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case", "%s, disruption: %v", name, trouble)
	err = cases[name](w, trouble)
	switch {
	case err == nil:
		rec.add("verdict", "held")
		fmt.Println("held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.add("verdict", "%v", err)
		fmt.Println(err)
		return exitBroken
	}
	rec.add("verdict", "could not run: %v", err)
	fmt.Println("could not run:", err)
	return exitNotRun
}
