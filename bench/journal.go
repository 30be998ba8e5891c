package main

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// noticeableFall is the fall of a day's worth from which it is marked. Smaller differences
// between two runs are noise.
const noticeableFall = 0.03

// journalEntry is the part of an entry of the operators' bench that the table shows.
type journalEntry struct {
	Site string       `json:"site"`
	Head string       `json:"head"`
	Days []journalDay `json:"days"`
	// Digest is what the run printed.
	Digest string `json:"digest"`
}

// journalDay is one day of an entry.
type journalDay struct {
	Name  string  `json:"name"`
	Worth float64 `json:"G"`
	// Served is the share of the credit owed that was earned.
	Served float64         `json:"served"`
	Rules  map[string]any  `json:"rules"`
	Fault  json.RawMessage `json:"fault"`
}

// journalRow is one row of the table: a day, before and after.
type journalRow struct {
	site, day     string
	before, after *playedDay
}

// playedDay is a day with the entry that holds it.
type playedDay struct {
	journalDay
	id, commit string
}

func journalCommand() *ffcli.Command {
	flags := flag.NewFlagSet("journal", flag.ContinueOnError)
	folder := flags.String("folder", "journal", "`folder` of the operators' bench entries")
	before := flags.String("before", "", "comma-separated `ids` of entries to compare with")
	after := flags.String("after", "", "comma-separated `ids` of entries to show")
	return &ffcli.Command{
		Name:       "journal",
		ShortUsage: "bench journal --after ID,ID... [--before ID,ID...]",
		ShortHelp:  "Print the table of all sites from the journal, as Markdown.",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			rows := map[string]*journalRow{}
			for _, side := range []struct {
				ids string
				set func(*journalRow, *playedDay)
			}{
				{*before, func(r *journalRow, d *playedDay) { r.before = d }},
				{*after, func(r *journalRow, d *playedDay) { r.after = d }},
			} {
				if err := addRows(rows, *folder, side.ids, side.set); err != nil {
					return err
				}
			}
			writeJournalTable(os.Stdout, rows)
			return nil
		},
	}
}

// addRows adds the days of entries to the rows.
func addRows(rows map[string]*journalRow, folder, ids string, set func(*journalRow, *playedDay)) error {
	for id := range strings.SplitSeq(ids, ",") {
		if id == "" {
			continue
		}
		entry, err := readJournalEntry(folder, id)
		if err != nil {
			return err
		}
		for _, d := range entry.Days {
			key := entry.Site + " " + d.Name
			if rows[key] == nil {
				rows[key] = &journalRow{site: entry.Site, day: d.Name}
			}
			set(rows[key], &playedDay{journalDay: d, id: id, commit: entry.Head[:min(len(entry.Head), 7)]})
		}
	}
	return nil
}

// readJournalEntry reads the entry with an id.
func readJournalEntry(folder, id string) (*journalEntry, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*-"+id+".json"))
	if err != nil || len(files) != 1 {
		return nil, eris.Errorf("%d entries of the journal have the id %q, expected one", len(files), id)
	}
	data, err := os.ReadFile(files[0])
	if err != nil {
		return nil, eris.Wrap(err, "read the journal")
	}
	entry := &journalEntry{}
	if err := json.Unmarshal(data, entry); err != nil {
		return nil, eris.Wrapf(err, "decode %s", files[0])
	}
	return entry, nil
}

// writeJournalTable writes the rows, by site and day. A noticeable fall is set in bold.
func writeJournalTable(w io.Writer, rows map[string]*journalRow) {
	sorted := make([]*journalRow, 0, len(rows))
	for _, r := range rows {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, func(a, b *journalRow) int {
		return cmp.Or(cmp.Compare(a.site, b.site), cmp.Compare(a.day, b.day))
	})
	_, _ = fmt.Fprintln(w, "| Site | Day | Before | After | Difference | Rules | Commit | Entries |\n|---|---|---|---|---|---|---|---|")
	for _, r := range sorted {
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s |\n",
			r.site, r.day, worthCell(r.before), worthCell(r.after), differenceCell(r), rulesCell(r.after), commitCell(r.after), idsCell(r))
	}
}

func worthCell(d *playedDay) string {
	if d == nil {
		return "-"
	}
	return fmt.Sprintf("%.3f", d.Worth)
}

func differenceCell(r *journalRow) string {
	if r.before == nil || r.after == nil {
		return ""
	}
	difference := r.after.Worth - r.before.Worth
	if difference < -noticeableFall {
		return fmt.Sprintf("**%+.3f**", difference)
	}
	return fmt.Sprintf("%+.3f", difference)
}

func rulesCell(d *playedDay) string {
	if d == nil {
		return ""
	}
	var broken []string
	for rule := range d.Rules {
		broken = append(broken, rule)
	}
	if fault := string(d.Fault); fault != "" && fault != "null" {
		broken = append(broken, "fault")
	}
	if len(broken) == 0 {
		return "kept"
	}
	slices.Sort(broken)
	return "**" + strings.Join(broken, ", ") + "**"
}

func commitCell(d *playedDay) string {
	if d == nil {
		return ""
	}
	return d.commit
}

func idsCell(r *journalRow) string {
	var ids []string
	for _, d := range []*playedDay{r.before, r.after} {
		if d != nil {
			ids = append(ids, d.id)
		}
	}
	return strings.Join(ids, ", ")
}
