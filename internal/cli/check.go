package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/config"
)

// Marks of the lines that check prints.
const (
	markFine  = "✓"
	markWrong = "✗"
)

// checkResult is what check prints as JSON.
type checkResult struct {
	OK         bool             `json:"ok"`
	Validation int              `json:"validation"`
	Hash       string           `json:"hash,omitempty"`
	Epoch      uint64           `json:"epoch"`
	Files      []string         `json:"files"`
	Problems   []config.Problem `json:"problems"`
}

func checkCommand(streams Streams) *ffcli.Command {
	flags := newFlagSet("check", streams)
	asJSON := flags.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: programName + " check [--json] DIR",
		ShortHelp:  "Say whether every node would accept a configuration folder.",
		LongHelp: examples("The files are listed in the order in which they merge. Exit code 1 means rejected.",
			programName+" check examples/fyrnet",
			programName+" check --json examples/fyrnet"),
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if err := wantArgs(args, "DIR"); err != nil {
				return err
			}
			files, err := readFolder(args[0])
			if err != nil {
				return err
			}
			return check(streams, files, *asJSON)
		},
	}
}

func check(streams Streams, files []config.File, asJSON bool) error {
	result := resultOf(files)
	if asJSON {
		if err := printJSON(streams.Out, result); err != nil {
			return err
		}
	} else {
		printCheck(streams, result)
	}
	if !result.OK {
		return No()
	}
	return nil
}

func resultOf(files []config.File) checkResult {
	snapshot, report := config.Build(0, files)
	result := checkResult{
		OK: report.OK(), Validation: config.ValidationNumber,
		Files: make([]string, 0, len(files)), Problems: report.Problems,
	}
	for _, f := range files {
		result.Files = append(result.Files, f.Name)
	}
	if snapshot != nil {
		result.Hash, result.Epoch = snapshot.Hash.String(), snapshot.Version.Epoch
	}
	return result
}

func printCheck(streams Streams, result checkResult) {
	faulty := map[string]bool{}
	for _, p := range result.Problems {
		faulty[p.File] = true
	}
	for _, name := range result.Files {
		if !faulty[name] {
			printLine(streams.Out, "%s %s", markFine, name)
		}
	}
	for _, p := range result.Problems {
		hint := p.Hint
		p.Hint = ""
		printLine(streams.Out, "%s %s", markWrong, p)
		if hint != "" {
			printLine(streams.Out, "    hint: %s", hint)
		}
	}
	if result.OK {
		printLine(streams.Out, "accepted: files %d, epoch %d, hash %s, rules %d",
			len(result.Files), result.Epoch, result.Hash, result.Validation)
		return
	}
	printLine(streams.Out, "rejected: problems %d, rules %d", len(result.Problems), result.Validation)
}

// readFolder reads a folder that the operator names.
func readFolder(dir string) ([]config.File, error) {
	files, err := config.ReadFolder(dir)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: err}
	}
	return files, nil
}

// readSnapshot reads and builds a folder. If it is rejected, the problems go
// to the error stream and the answer is no.
func readSnapshot(streams Streams, dir string) (*config.Snapshot, error) {
	files, err := readFolder(dir)
	if err != nil {
		return nil, err
	}
	snapshot, report := config.Build(0, files)
	if !report.OK() {
		for _, p := range report.Problems {
			printLine(streams.Err, "%s %s: %s", markWrong, dir, p)
		}
		return nil, No()
	}
	return snapshot, nil
}
