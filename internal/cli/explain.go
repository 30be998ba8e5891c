package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/config"
)

func explainCommand(streams Streams) *ffcli.Command {
	flags := newFlagSet("explain", streams)
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: programName + " explain [--json] DIR POINTER",
		ShortHelp:  "Say which file set each value, and which files it overrode.",
		LongHelp: examples("POINTER is a JSON pointer (RFC 6901); \"\" is the whole configuration. Exit code 1 means that nothing stands there.",
			programName+" explain examples/fyrnet /services/status",
			programName+" explain examples/fyrnet /dataCentres/esbjerg/leaving",
			programName+" explain --json examples/fyrnet /routes/order-battery/key"),
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if err := wantArgs(args, "DIR", "POINTER"); err != nil {
				return err
			}
			files, err := readFolder(args[0])
			if err != nil {
				return err
			}
			return explain(streams, files, args[1], *asJSON)
		},
	}
}

func explain(streams Streams, files []config.File, pointer string, asJSON bool) error {
	provenance, err := config.Explain(files, pointer)
	switch {
	case errors.Is(err, config.ErrBadPointer):
		return &ExitError{Code: ExitUsage, Err: err}
	case err != nil:
		return &ExitError{Code: ExitNo, Err: err}
	case asJSON:
		return printJSON(streams.Out, provenance)
	}
	for _, origin := range provenance.Origins {
		printOrigin(streams.Out, origin)
	}
	return nil
}

func printOrigin(out io.Writer, o config.Origin) {
	line := ""
	switch o.Source {
	case config.SourceRemoved:
		line = fmt.Sprintf("%s: removed by %s", o.Pointer, o.File)
	case config.SourceDefault:
		line = fmt.Sprintf("%s = %s (default)", o.Pointer, o.Value)
	default:
		line = fmt.Sprintf("%s = %s (%s)", o.Pointer, o.Value, o.File)
	}
	if len(o.Overridden) > 0 {
		line += ", overrides " + strings.Join(o.Overridden, ", ")
	}
	printLine(out, "%s", line)
}
