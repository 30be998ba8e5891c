package main

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// chart is a set of curves over one axis.
type chart struct {
	title, x, y string
	curves      []curve
}

// curve is a named line.
type curve struct {
	name   string
	points plotter.XYs
}

// Size of a chart on paper.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

// save writes the chart to a file; its ending selects the format.
func (c chart) save(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, c.x, c.y
	p.Legend.Top = true
	lines := make([]any, 0, 2*len(c.curves))
	for _, each := range c.curves {
		lines = append(lines, each.name, each.points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return eris.Wrap(err, "draw")
	}
	return eris.Wrap(p.Save(chartWidth, chartHeight, path), "write chart")
}
