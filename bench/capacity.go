package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// sweepBegin and sweepEnd enclose the part of the capacity page that is generated.
const (
	sweepBegin = "<!-- sweep: go run ./bench capacity -->"
	sweepEnd   = "<!-- end of sweep -->"
)

// columnGap separates the columns of a sweep's table.
var columnGap = regexp.MustCompile(` {2,}`)

func capacityCommand() *ffcli.Command {
	flags := flag.NewFlagSet("capacity", flag.ContinueOnError)
	folder := flags.String("folder", "journal", "`folder` of the operators' bench entries")
	page := flags.String("page", "docs/CAPACITY.md", "`file` that is rewritten between its two sweep marks")
	entries := flags.String("entries", "", "comma-separated `ids` of sweeps")
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "bench capacity --entries ID,ID...",
		ShortHelp:  "Write the slopes of sweeps from the journal into the capacity page.",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			var section bytes.Buffer
			for id := range strings.SplitSeq(*entries, ",") {
				entry, err := readJournalEntry(*folder, id)
				if err != nil {
					return err
				}
				if err := writeSweep(&section, id, entry); err != nil {
					return err
				}
			}
			return replaceSection(*page, section.String())
		},
	}
}

// writeSweep writes the table of one sweep as Markdown.
func writeSweep(w *bytes.Buffer, id string, entry *journalEntry) error {
	_, table, found := strings.Cut(entry.Digest, "middle / busiest")
	if !found {
		return eris.Errorf("entry %s holds no sweep", id)
	}
	_, _ = fmt.Fprintf(w, "\n**%s** (%s, commit %s).", entry.Site, id, entry.Head[:min(len(entry.Head), 7)])
	for _, d := range entry.Days {
		_, _ = fmt.Fprintf(w, " %s: served %.3f, rules %s.", d.Name, d.Served, rulesCell(&playedDay{journalDay: d}))
	}
	_, _ = fmt.Fprint(w, "\n\n")
	lines := strings.Split(table, "\n")[1:]
	for i, line := range lines {
		if strings.TrimSpace(line) == "" {
			break
		}
		cells := columnGap.Split(strings.TrimSpace(line), -1)
		if len(cells) == 1 {
			break // a remark below the table
		}
		if i == 0 {
			cells = append([]string{"middle / busiest or longest"}, cells...)
		}
		_, _ = fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
		if i == 0 {
			_, _ = fmt.Fprintln(w, strings.Repeat("|---", len(cells))+"|")
		}
	}
	return nil
}

// replaceSection replaces the generated part of a page.
func replaceSection(page, section string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return eris.Wrap(err, "read the page")
	}
	before, rest, begins := strings.Cut(string(text), sweepBegin)
	_, after, ends := strings.Cut(rest, sweepEnd)
	if !begins || !ends {
		return eris.Errorf("%s lacks the marks %q and %q", page, sweepBegin, sweepEnd)
	}
	return os.WriteFile(page, []byte(before+sweepBegin+"\n"+section+"\n"+sweepEnd+after), 0o644)
}
