package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/config"
)

// diffOptions are the flags of diff.
type diffOptions struct {
	asJSON   bool // print JSON
	exitCode bool // exit with 1 if there is a difference
}

func diffCommand(streams Streams) *ffcli.Command {
	flags := newFlagSet("diff", streams)
	var options diffOptions
	flags.BoolVar(&options.asJSON, "json", false, "print JSON")
	flags.BoolVar(&options.exitCode, "exit-code", false, "exit with 1 if the folders differ")
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: programName + " diff [--json] [--exit-code] DIR_A DIR_B",
		ShortHelp:  "Say what changes from one configuration folder to another.",
		LongHelp: examples("Compares what the folders mean, with defaults, not their bytes. Both must be accepted.",
			programName+" diff examples/fyrnet /tmp/fyrnet",
			programName+" diff --exit-code examples/fyrnet /tmp/fyrnet"),
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if err := wantArgs(args, "DIR_A", "DIR_B"); err != nil {
				return err
			}
			return diff(streams, args[0], args[1], options)
		},
	}
}

func diff(streams Streams, dirA, dirB string, options diffOptions) error {
	a, err := readSnapshot(streams, dirA)
	if err != nil {
		return err
	}
	b, err := readSnapshot(streams, dirB)
	if err != nil {
		return err
	}
	changes := config.DiffDocuments(a.Document, b.Document)
	if err := printChanges(streams, changes, options.asJSON); err != nil {
		return err
	}
	if options.exitCode && len(changes) > 0 {
		return No()
	}
	return nil
}

func printChanges(streams Streams, changes []config.Change, asJSON bool) error {
	if asJSON {
		return printJSON(streams.Out, append([]config.Change{}, changes...))
	}
	for _, c := range changes {
		printLine(streams.Out, "%s", c)
	}
	if len(changes) == 0 {
		printLine(streams.Out, "no changes")
	}
	return nil
}
