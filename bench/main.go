// Command bench measures boragefall with real nodes on loopback, beside a plain
// baseline in the same run. "bench list" names the experiments.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes.
const (
	exitOK     = 0
	exitBroken = 1 // a promise was broken or the experiment failed
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := root().ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	default:
		fmt.Fprintf(os.Stderr, "bench: %v\n", err)
		return exitBroken
	}
}

func root() *ffcli.Command {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	commands := []*ffcli.Command{listCommand(), backendCommand(), journalCommand(), capacityCommand()}
	for _, e := range experiments() {
		commands = append(commands, e.command())
	}
	return &ffcli.Command{
		Name:        "bench",
		ShortUsage:  "bench NAME [--seed N] [--json FILE|-] [--plot FILE.svg] [flags]",
		LongHelp:    "Exit codes: 0 fine, 1 a promise was broken or the run failed, 2 usage.",
		FlagSet:     flags,
		Subcommands: commands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("unknown experiment %q; bench list names them", args[0])
			}
			return flag.ErrHelp
		},
	}
}

func listCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:      "list",
		ShortHelp: "Name the experiments and how long each takes at most.",
		Exec: func(context.Context, []string) error {
			for _, e := range experiments() {
				fmt.Printf("%-15s %4.0f s  %s\n", e.name, e.bound.Seconds(), e.about)
			}
			return nil
		},
	}
}
