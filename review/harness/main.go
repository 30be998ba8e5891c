package main

import (
	"fmt"
	"os"
	"time"
)

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
