// Command review3 holds the stand-ins and the cases of the third review. It is started by the
// run.sh of a case, in the folder of that case.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// scenario runs one case. trouble is false if the disruption is left out. It reports whether
// the rule was broken.
type scenario func(c *cluster, trouble bool) (bool, error)

// scenarios holds the scenarios by name. The file of each adds it.
var scenarios = map[string]scenario{}

// The processes of a case end with the thread that has started them, so that is the main one.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review3 SCENARIO ROOT")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, root string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return failed
	}
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	rec, err := newRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	c, err := newCluster(root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer c.stop()
	isBroken, err := s(c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.verdict("the case couldn't run: %v", err)
		return failed
	case isBroken:
		return broken
	}
	return held
}
