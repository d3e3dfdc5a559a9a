package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"

	"embertally.dev/core/event"
)

// calibrationHelp says what the command does.
const calibrationHelp = `Hold what decisions expected against what came, from daemons' log lines.

Files of log lines are read, or standard input where there are none or for -. What stands before a line's first brace is passed over. Lines that are cut or are not the daemons' are counted and named.`

// calibration adds the command.
func (p *program) calibration(app *kingpin.Application) {
	cmd := app.Command("calibration", calibrationHelp)
	plot := cmd.Flag("svg", "File for a plot of the chances.").String()
	targets := cmd.Flag("targets", "List each target, not only each route.").Bool()
	files := cmd.Arg("files", "Files of log lines; - for standard input.").Strings()
	p.add(cmd, func() error {
		c := newCalibration(*targets)
		if err := c.readAll(*files, os.Stdin); err != nil {
			return err
		}
		if err := c.print(p.out); err != nil {
			return err
		}
		if *plot == "" {
			return nil
		}
		return c.draw(*plot)
	})
}

// calibration holds what forecasts said beside what came.
type calibration struct {
	// byTarget tells that each target is listed.
	byTarget bool
	// groups are in the order in which they were met.
	groups []*forecastGroup
	// bad names lines that are no events, the first badNamed of badCount.
	bad      []string
	badCount int
	lines    int
}

// badNamed is how many bad lines are named.
const badNamed = 5

// forecastGroup is the forecasts of one route, or of one target of it.
type forecastGroup struct {
	name string
	// ratios are observed over expected times to the first answer.
	ratios []float64
	// bins hold the chances of an answer in time by what was said.
	bins [chanceBins]chanceBin
}

// chanceBins is how many bins chances fall into.
const chanceBins = 10

// chanceBin is the forecasts whose chance lies in one range.
type chanceBin struct {
	count, came int
	said        float64
}

func newCalibration(byTarget bool) *calibration { return &calibration{byTarget: byTarget} }

// readAll reads files, or in where there are none.
func (c *calibration) readAll(files []string, in io.Reader) error {
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		if name == "-" {
			if err := c.read("standard input", in); err != nil {
				return err
			}
			continue
		}
		if err := c.readFile(name); err != nil {
			return err
		}
	}
	return nil
}

func (c *calibration) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	return c.read(name, f)
}

// lineMost bounds one line; the rest of a longer one is passed over.
const lineMost = 1 << 20

// read takes the lines of one file.
func (c *calibration) read(name string, in io.Reader) error {
	r := bufio.NewReaderSize(in, lineMost)
	for n := 1; ; n++ {
		line, cut, err := r.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, name)
		}
		long := cut
		for cut && err == nil {
			_, cut, err = r.ReadLine()
		}
		c.line(name, n, line, long)
	}
}

// line takes one line.
func (c *calibration) line(name string, n int, line []byte, long bool) {
	if len(strings.TrimSpace(string(line))) == 0 {
		return
	}
	c.lines++
	ev, ok := event.ParseLine(line)
	if !ok || long {
		if c.badCount++; len(c.bad) < badNamed {
			c.bad = append(c.bad, fmt.Sprintf("%s:%d", name, n))
		}
		return
	}
	f := ev.Forecast
	if f == nil || f.Sends == 0 || !sound(f) {
		return
	}
	group := f.Service + " " + ev.Resource
	c.group(group).add(f)
	if c.byTarget {
		c.group(group + " " + f.Target).add(f)
	}
}

// sound reports whether a forecast's numbers can be such.
func sound(f *event.Forecast) bool {
	return f.ExpectedMillis > 0 && f.FirstMillis >= 0 && f.InTime >= 0 && f.InTime <= 1
}

// group returns the group of a name.
func (c *calibration) group(name string) *forecastGroup {
	for _, g := range c.groups {
		if g.name == name {
			return g
		}
	}
	g := &forecastGroup{name: name}
	c.groups = append(c.groups, g)
	return g
}

// add takes a forecast.
func (g *forecastGroup) add(f *event.Forecast) {
	if f.FirstMillis > 0 && f.Sends == 1 {
		g.ratios = append(g.ratios, f.FirstMillis/f.ExpectedMillis)
	}
	if f.AimMillis <= 0 {
		return
	}
	b := &g.bins[min(int(f.InTime*chanceBins), chanceBins-1)]
	b.count++
	b.said += f.InTime
	if f.FirstMillis > 0 && f.FirstMillis <= f.AimMillis && f.Sends == 1 {
		b.came++
	}
}

// quantiles are those printed of observed over expected times.
var quantiles = []float64{0.1, 0.5, 0.9, 0.99}

// print writes the tables.
func (c *calibration) print(out io.Writer) error {
	slices.SortStableFunc(c.groups, func(a, b *forecastGroup) int { return strings.Compare(a.name, b.name) })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "times to the first answer, observed over expected")
	fmt.Fprintln(w, "route\tanswers\tp10\tp50\tp90\tp99")
	for _, g := range c.groups {
		if len(g.ratios) == 0 {
			continue
		}
		slices.Sort(g.ratios)
		fmt.Fprintf(w, "%s\t%d", g.name, len(g.ratios))
		for _, q := range quantiles {
			fmt.Fprintf(w, "\t%.2f", stat.Quantile(q, stat.Empirical, g.ratios, nil))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\nchances of an answer in time, said and come")
	fmt.Fprintln(w, "route\tforecasts\tsaid\tcame")
	for _, g := range c.groups {
		for _, b := range g.bins {
			if b.count > 0 {
				fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\n", g.name, b.count, b.said/float64(b.count), float64(b.came)/float64(b.count))
			}
		}
	}
	if c.badCount > 0 {
		fmt.Fprintf(w, "\n%d of %d lines are not a daemon's or are cut, the first: %s\n", c.badCount, c.lines, strings.Join(c.bad, ", "))
	}
	return errors.WithStack(w.Flush())
}
