package cli

import (
	"context"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/config"
)

// unknownVersion stands for what the build did not record.
const unknownVersion = "unknown"

// versionResult is what version prints as JSON.
type versionResult struct {
	Module     string `json:"module"`
	Revision   string `json:"revision"`
	Go         string `json:"go"`
	Validation int    `json:"validation"`
}

func versionCommand(streams Streams) *ffcli.Command {
	flags := newFlagSet("version", streams)
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: programName + " version [--json]",
		ShortHelp:  "Print the version of the program and of its configuration rules.",
		LongHelp:   examples("Nodes with other rules may accept other folders.", programName+" version"),
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if err := wantArgs(args); err != nil {
				return err
			}
			v := buildVersion()
			if *asJSON {
				return printJSON(streams.Out, v)
			}
			printLine(streams.Out, "%s %s, revision %s, %s, rules %d", programName, v.Module, v.Revision, v.Go, v.Validation)
			return nil
		},
	}
}

// buildVersion returns what the toolchain recorded in the program.
func buildVersion() versionResult {
	v := versionResult{Module: unknownVersion, Revision: unknownVersion, Go: unknownVersion, Validation: config.ValidationNumber}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Go = info.GoVersion
	if info.Main.Version != "" {
		v.Module = info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			v.Revision = setting.Value
		}
	}
	return v
}
