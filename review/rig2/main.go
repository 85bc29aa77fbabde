// Command rig2 plays the scripted cases of the second review: it starts the project's own
// programs as processes on loopback addresses, and stands in for clients, engines and the
// operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// env is what a case gets.
type env struct {
	rec     *recorder
	trouble bool
}

var cases = map[string]func(e *env) (int, error){
	"evacuation": evacuation,
	"departure":  departure,
	"brittle":    brittle,
	"reborn":     reborn,
	"stop":       stop,
}

func main() {
	if len(os.Args) > 8 && os.Args[1] == "engine" {
		signals := make(chan os.Signal, 2)
		signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
		if err := runEngine(os.Args[2:], signals); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(failed)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(failed)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	e := &env{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.log("case %s, with the disruption: %t", os.Args[1], e.trouble)
	code, err := cases[os.Args[1]](e)
	if err != nil {
		rec.log("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was BROKEN", failed: "the case couldn't run"}[code]
	rec.log("%s", verdict)
	fmt.Println(verdict)
	os.Exit(code)
}
