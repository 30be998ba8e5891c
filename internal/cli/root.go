// Package cli is the command line of boragefall: one file per command.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const programName = "boragefall"

// Run parses args, which leave out the program's name, runs the command that
// they select and returns the exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	err := root(streams).ParseAndRun(ctx, args)
	code := exitCode(err)
	if code != ExitOK && err.Error() != "" {
		fmt.Fprintf(streams.Err, "%s: %s\n", programName, err)
	}
	return code
}

func root(streams Streams) *ffcli.Command {
	flags := newFlagSet(programName, streams)
	return &ffcli.Command{
		Name:        programName,
		ShortUsage:  programName + " COMMAND [flags] [arguments]",
		LongHelp:    "Exit codes: 0 fine, 1 the answer is no, 2 usage, 3 unreachable.",
		FlagSet:     flags,
		Subcommands: commands(streams),
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return Usage("unknown command %q; %s -h lists the commands", args[0], programName)
			}
			flags.Usage()
			return &ExitError{Code: ExitUsage}
		},
	}
}

// commands returns all commands in the order of the help text.
func commands(streams Streams) []*ffcli.Command {
	return []*ffcli.Command{
		checkCommand(streams),
		mergeCommand(streams),
		explainCommand(streams),
		explainRequestCommand(streams),
		explainChoiceCommand(streams),
		diffCommand(streams),
		nodeCommand(streams),
		statusCommand(streams),
		waitCommand(streams),
		standinCommand(streams),
		demoCommand(streams),
		versionCommand(streams),
	}
}

// newFlagSet returns a flag set that leaves errors to Run and prints its help
// to the error stream.
func newFlagSet(name string, streams Streams) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(streams.Err)
	return flags
}

// examples returns help text with one example a line.
func examples(about string, lines ...string) string {
	return about + "\n\nEXAMPLES\n  " + strings.Join(lines, "\n  ")
}

// wantArgs reports an error of usage unless there are as many arguments as
// names.
func wantArgs(args []string, names ...string) error {
	if len(args) == len(names) {
		return nil
	}
	return Usage("want %d arguments (%s), got %d; flags go before arguments", len(names), strings.Join(names, " "), len(args))
}

// printLine writes a line. A reader that went away is no error of the command.
func printLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}
