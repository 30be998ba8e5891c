package cli

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"boragefall/internal/decisions"
)

func explainRequestCommand(streams Streams) *ffcli.Command {
	flags := newFlagSet("explain-request", streams)
	return &ffcli.Command{
		Name:       "explain-request",
		ShortUsage: programName + " explain-request ID [LOG...]",
		ShortHelp:  "Say from the nodes' logs what became of a request, and of its server's calls.",
		LongHelp: examples("Without LOG it reads the standard input. Exit code 1 means that no line is about the request.",
			programName+" explain-request 099777b64ae6244a *.log"),
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return Usage("want the id of a request")
			}
			report, err := findRequest(streams, args[0], args[1:])
			if err != nil {
				return err
			}
			return showRequest(streams, report)
		},
	}
}

func findRequest(streams Streams, id string, names []string) (*decisions.Report, error) {
	if len(names) == 0 {
		return findIn(id, decisions.Log{Reader: streams.In})
	}
	logs := make([]decisions.Log, 0, len(names))
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return nil, Usage("%s", err)
		}
		defer func() { _ = file.Close() }() // it was only read
		logs = append(logs, decisions.Log{Name: name, Reader: file})
	}
	return findIn(id, logs...)
}

func findIn(id string, logs ...decisions.Log) (*decisions.Report, error) {
	report, err := decisions.Find(id, logs...)
	if err != nil {
		return nil, Usage("%s", err)
	}
	return report, nil
}

func showRequest(streams Streams, r *decisions.Report) error {
	if len(r.Lines) == 0 && len(r.Calls) == 0 {
		printLine(streams.Out, "%s no line is about %s: it was answered well (one in a hundred is logged), folded (see lines of the part log), or is not in these logs", markWrong, r.ID)
		return No()
	}
	showLines(streams, r.ID, r.Lines)
	calls := make([]string, 0, len(r.Calls))
	for id := range r.Calls {
		calls = append(calls, id)
	}
	sort.Strings(calls)
	for _, id := range calls {
		showLines(streams, "call "+id, r.Calls[id])
	}
	if cause := r.Cause(); cause != "" {
		printLine(streams.Out, "cause: %s", cause)
	}
	return nil
}

func showLines(streams Streams, title string, lines []decisions.Line) {
	printLine(streams.Out, "%s", title)
	for i := range lines {
		l := &lines[i]
		text := fmt.Sprintf("  %s %s %s: %s%s %s", l.At.Format(time.TimeOnly+".000"), l.Source, l.Part, l.Message, inBrackets(l.Reason), l.FormatFields())
		printLine(streams.Out, "%s", strings.TrimRight(text, " "))
	}
}

func inBrackets(reason string) string {
	if reason == "" {
		return ""
	}
	return " [" + reason + "]"
}
