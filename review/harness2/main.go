// Command harness2 runs the cases of the second independent review against the project's own
// programs. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// timeLimit ends a case that hangs. The nodes end with this process.
const timeLimit = 115 * time.Second

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"header":   headerCase,
	"path":     pathCase,
	"attempts": attemptsCase,
	"silent":   silentCase,
	"poison":   poisonCase,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD-FILE")
		return exitCouldNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	time.AfterFunc(timeLimit, func() {
		r.line("the case did not end in %s", timeLimit)
		os.Exit(exitCouldNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCouldNotRun
	case broken:
		r.line("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		r.line("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
