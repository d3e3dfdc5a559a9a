package ctl

import (
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// savePlot writes a plot of observed against predicted probabilities. An exact model
// lies on the diagonal.
func (c *calibration) savePlot(path string) error {
	pl := plot.New()
	pl.X.Label.Text, pl.Y.Label.Text = "chance said", "share in time"
	pl.X.Min, pl.X.Max, pl.Y.Min, pl.Y.Max = 0, 1, 0, 1
	diagonal, err := plotter.NewLine(plotter.XYs{{X: 0, Y: 0}, {X: 1, Y: 1}})
	if err != nil {
		return errors.WithStack(err)
	}
	diagonal.Color = color.Gray{Y: 160}
	pl.Add(diagonal)
	for i, g := range c.groups {
		if err := g.addToPlot(pl, i); err != nil {
			return err
		}
	}
	pl.Legend.Left, pl.Legend.Top = true, true
	return errors.WithStack(pl.Save(plotWidth, plotHeight, path))
}

// addToPlot adds the line of a group to a plot, in the colour with this index.
func (g *forecastGroup) addToPlot(pl *plot.Plot, colour int) error {
	var points plotter.XYs
	for _, b := range g.bins {
		if b.count > 0 {
			points = append(points, plotter.XY{X: b.forecastSum / float64(b.count), Y: float64(b.inTime) / float64(b.count)})
		}
	}
	if len(points) == 0 {
		return nil
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return errors.WithStack(err)
	}
	line.Color, dots.Color = plotutil.Color(colour), plotutil.Color(colour)
	pl.Add(line, dots)
	pl.Legend.Add(g.name, line)
	return nil
}
