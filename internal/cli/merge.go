package cli

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"boragefall/internal/config"
)

func mergeCommand(streams Streams) *ffcli.Command {
	flags := newFlagSet("merge", streams)
	defaults := flags.Bool("defaults", false, "also print the values that no file states")
	return &ffcli.Command{
		Name:       "merge",
		ShortUsage: programName + " merge [--defaults] DIR",
		ShortHelp:  "Print the one configuration that a folder merges into.",
		LongHelp: examples("Prints JSON with sorted names. A rejected folder prints its problems instead, with exit code 1.",
			programName+" merge examples/fyrnet",
			programName+" merge --defaults examples/fyrnet"),
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if err := wantArgs(args, "DIR"); err != nil {
				return err
			}
			return merge(streams, args[0], *defaults)
		},
	}
}

func merge(streams Streams, dir string, defaults bool) error {
	snapshot, err := readSnapshot(streams, dir)
	if err != nil {
		return err
	}
	if defaults {
		return printJSON(streams.Out, snapshot.Document)
	}
	merged, _ := config.Merge(snapshot.Files) // accepted above
	var out bytes.Buffer
	if err := json.Indent(&out, merged, "", indent); err != nil {
		return eris.Wrap(err, "indent JSON")
	}
	printLine(streams.Out, "%s", &out)
	return nil
}
