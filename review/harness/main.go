package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 118 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases, by name. Each returns what was seen and whether the rule
// was broken. trouble says whether the disruption is played.
var cases = map[string]func(program, dir string, rec *record, trouble bool) (seen string, broken bool, err error){
	"poison":  playPoison,
	"popular": playPopular,
	"stale":   playStale,
}

func main() { os.Exit(play(os.Args[1:])) }

// endAtSignal ends all nodes and this program at a signal, or when the case takes too long.
func endAtSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	started.Range(func(_, process any) bool {
		_ = process.(*os.Process).Kill() // it may have ended
		return true
	})
	os.Exit(exitNotRun)
}

// play plays one case: harness CASE PROGRAM RECORD.
func play(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "harness: usage: harness CASE PROGRAM RECORD")
		return exitNotRun
	}
	file, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }() // every line is written at once
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }() // settings and logs only
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	rec := &record{file: file, began: time.Now()}
	go endAtSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	seen, broken, err := cases[args[0]](args[1], dir, rec, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness: not run:", err)
		rec.add("not run: %v", err)
		return exitNotRun
	}
	rec.add("%s", seen)
	fmt.Println(seen)
	if broken {
		return exitBroken
	}
	return exitHeld
}
