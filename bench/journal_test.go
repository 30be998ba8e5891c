package main

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
)

func TestJournalTableMarksFallsAndBrokenRules(t *testing.T) {
	g := NewWithT(t)
	day := func(worth float64, rules map[string]any, id string) *playedDay {
		return &playedDay{journalDay: journalDay{Worth: worth, Rules: rules}, id: id, commit: "abc1234"}
	}
	var out bytes.Buffer
	writeJournalTable(&out, map[string]*journalRow{
		"fell":   {site: "s", day: "b", before: day(0.7, nil, "1"), after: day(0.65, nil, "2")},
		"broken": {site: "s", day: "a", before: day(0.7, nil, "1"), after: day(0.69, map[string]any{"ROUTE": 1}, "2")},
		"only":   {site: "s", day: "c", after: day(0.8, nil, "2")},
	})
	g.Expect(out.String()).To(Equal(`| Site | Day | Before | After | Difference | Rules | Commit | Entries |
|---|---|---|---|---|---|---|---|
| s | a | 0.700 | 0.690 | -0.010 | **ROUTE** | abc1234 | 1, 2 |
| s | b | 0.700 | 0.650 | **-0.050** | kept | abc1234 | 1, 2 |
| s | c | - | 0.800 |  | kept | abc1234 | 2 |
`))
}

func TestSweepBecomesATable(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	err := writeSweep(&out, "1", &journalEntry{
		Site: "s", Head: "abc1234567", Days: []journalDay{{Name: "sweep-30", Served: 0.9}},
		Digest: "day  x\n\nmiddle / busiest or longest, by own machines\n      30     100  power  at 900\nnode: memory MB  1.0 / 2.0  3.0 / 4.0   0.5  9.0\n\nmore\n",
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).To(Equal(`
**s** (1, commit abc1234). sweep-30: served 0.900, rules kept.

| middle / busiest or longest | 30 | 100 | power | at 900 |
|---|---|---|---|---|
| node: memory MB | 1.0 / 2.0 | 3.0 / 4.0 | 0.5 | 9.0 |
`))
}
