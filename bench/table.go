package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// grid writes rows of cells in aligned columns.
type grid struct{ out *tabwriter.Writer }

func newGrid(w io.Writer, titles ...string) *grid {
	g := &grid{out: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	g.row(titles...)
	return g
}

func (g *grid) row(cells ...string) {
	_, _ = fmt.Fprintln(g.out, "  "+strings.Join(cells, "\t"))
}

func (g *grid) flush() {
	_ = g.out.Flush()
}

func num[T int | int64 | uint64](n T) string {
	return fmt.Sprintf("%d", n)
}

func decimal(x float64) string {
	return fmt.Sprintf("%.2f", x)
}
