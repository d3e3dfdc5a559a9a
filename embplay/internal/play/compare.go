package play

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// savedFigures is the file format of the figures of one replay: it includes the
// points of the plot.
type savedFigures struct {
	Figures
	AllFirstTokens []float64 `json:"allFirsts"`
}

// saveFigures writes the figures of one replay to the file path.
func saveFigures(path string, f *Figures) error {
	raw, err := json.MarshalIndent(savedFigures{*f, f.FirstTokens}, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, raw, fileMode))
}

const fileMode = 0o644

// runCompare writes the figures of several replays to compare.json, plots their
// first-token times in compare.svg and prints a table.
func runCompare(files []string, dir string, out io.Writer) error {
	var list []Figures
	for _, path := range files {
		raw, err := os.ReadFile(path)
		if err != nil {
			return errors.WithStack(err)
		}
		var s savedFigures
		if err := json.Unmarshal(raw, &s); err != nil {
			return errors.Wrap(err, path)
		}
		s.FirstTokens = s.AllFirstTokens
		list = append(list, s.Figures)
	}
	raw, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "compare.json"), raw, fileMode); err != nil {
		return errors.WithStack(err)
	}
	if err := plotFirstTokens(list, filepath.Join(dir, "compare.svg")); err != nil {
		return err
	}
	return printTable(list, out)
}

func printTable(list []Figures, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "placement\trequests\tfirst p50\tp95\tp99 ms\treturns p95\tdesk p95\trecomputed\tbound\tlink GB\tlink busy\trefused\tlate\tlost\tdoubled\tcrossed\t")
	for _, f := range list {
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t%.1f\t%.2f\t%d\t%d\t%d\t%d\t%d\t\n",
			f.Placement, f.Requests, f.FirstTokenP50, f.FirstTokenP95, f.FirstTokenP99, f.ReturnP95, f.DeskP95,
			f.RecomputedShare, f.RecomputedBound, float64(f.LinkBytes)/1e9, f.LinkBusyShare,
			f.Refused, f.PastObjective, f.Lost, f.Duplicated, f.Mismatched)
	}
	return errors.WithStack(w.Flush())
}

var plotColors = []color.RGBA{
	{R: 0x29, G: 0x80, B: 0xb9, A: 0xff},
	{R: 0xe6, G: 0x7e, B: 0x22, A: 0xff},
	{R: 0x27, G: 0xae, B: 0x60, A: 0xff},
	{R: 0x8e, G: 0x44, B: 0xad, A: 0xff},
	{R: 0x7f, G: 0x8c, B: 0x8d, A: 0xff},
	{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff},
}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	lineWidth  = 1.5
)

// plotFirstTokens plots the distribution of first-token times of each replay.
func plotFirstTokens(list []Figures, path string) error {
	p := plot.New()
	p.Title.Text = "Time to first token"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of requests at most this late"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, f := range list {
		times := slices.Clone(f.FirstTokens)
		slices.Sort(times)
		points := make(plotter.XYs, len(times))
		for n, v := range times {
			points[n].X, points[n].Y = max(1, v), float64(n+1)/float64(len(times))
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.WithStack(err)
		}
		line.Color, line.Width = plotColors[i%len(plotColors)], vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(f.Placement, line)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return errors.WithStack(p.Save(plotWidth, plotHeight, path))
}
