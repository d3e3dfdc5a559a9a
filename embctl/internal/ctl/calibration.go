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

// calibrationHelp is the help text of the command.
const calibrationHelp = `Hold what decisions expected against what came, from daemons' log lines.

Files of log lines are read, or standard input where there are none or for -. What stands before a line's first brace is passed over. Lines that are cut or are not the daemons' are counted and named.`

// addCalibrationCommand adds the command that compares forecasts with outcomes.
func (p *program) addCalibrationCommand(app *kingpin.Application) {
	cmd := app.Command("calibration", calibrationHelp)
	plotFile := cmd.Flag("svg", "File for a plot of the chances.").String()
	targets := cmd.Flag("targets", "List each target, not only each route.").Bool()
	files := cmd.Arg("files", "Files of log lines; - for standard input.").Strings()
	p.addCommand(cmd, func() error {
		c := newCalibration(*targets)
		if err := c.readAll(*files, os.Stdin); err != nil {
			return err
		}
		if err := c.printTables(p.out); err != nil {
			return err
		}
		if *plotFile == "" {
			return nil
		}
		return c.savePlot(*plotFile)
	})
}

// calibration compares the forecasts in log lines with the observed outcomes.
type calibration struct {
	// byTarget adds a group for each target of a route.
	byTarget bool
	// groups are in the order of their first forecasts until printTables sorts them by name.
	groups []*forecastGroup
	// badLines are the places (file:line) of the first maxBadNamed lines that are too long or
	// no events.
	badLines []string
	// badCount is the number of all such lines.
	badCount int
	// lines is the number of all lines that are not blank.
	lines int
}

// maxBadNamed bounds the bad lines whose places are printed.
const maxBadNamed = 5

// forecastGroup has the forecasts of one route, or of one target of a route.
type forecastGroup struct {
	name string
	// ratios are the observed times to the first answer, divided by the expected ones.
	ratios []float64
	// bins group the forecasts by the predicted probability of an answer within its
	// latency objective.
	bins [probabilityBins]probabilityBin
}

// probabilityBins is the number of bins, which divide the range 0 to 1 evenly.
const probabilityBins = 10

// probabilityBin counts the forecasts whose predicted probability lies in one range.
type probabilityBin struct {
	// count is the number of forecasts, and inTime that of answers within their latency
	// objective.
	count, inTime int
	// forecastSum is the sum of the predicted probabilities.
	forecastSum float64
}

func newCalibration(byTarget bool) *calibration { return &calibration{byTarget: byTarget} }

// readAll reads log files, or in if there are none or for "-".
func (c *calibration) readAll(files []string, in io.Reader) error {
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		if name == "-" {
			if err := c.readLines("standard input", in); err != nil {
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
	return c.readLines(name, f)
}

// maxLogLineBytes bounds one line. A longer line is skipped and counted as bad.
const maxLogLineBytes = 1 << 20

// readLines evaluates the lines of one file.
func (c *calibration) readLines(name string, in io.Reader) error {
	r := bufio.NewReaderSize(in, maxLogLineBytes)
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
		c.addLine(name, n, line, long)
	}
}

// addLine evaluates line n of a file; long means that it was cut.
func (c *calibration) addLine(name string, n int, line []byte, long bool) {
	if len(strings.TrimSpace(string(line))) == 0 {
		return
	}
	c.lines++
	ev, ok := event.ParseLine(line)
	if !ok || long {
		if c.badCount++; len(c.badLines) < maxBadNamed {
			c.badLines = append(c.badLines, fmt.Sprintf("%s:%d", name, n))
		}
		return
	}
	f := ev.Forecast
	if f == nil || f.Sends == 0 || !isValid(f) {
		return
	}
	route := f.Service + " " + ev.Resource
	c.group(route).add(f)
	if c.byTarget {
		c.group(route + " " + f.Target).add(f)
	}
}

// isValid reports whether the numbers of a forecast are in their ranges.
func isValid(f *event.Forecast) bool {
	return f.ExpectedMillis > 0 && f.FirstMillis >= 0 && f.InTime >= 0 && f.InTime <= 1
}

// group returns the group with a name and creates it if needed.
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

// add evaluates a forecast. A request with several attempts has no ratio and never counts as
// in time, as the forecast is for its first attempt.
func (g *forecastGroup) add(f *event.Forecast) {
	if f.FirstMillis > 0 && f.Sends == 1 {
		g.ratios = append(g.ratios, f.FirstMillis/f.ExpectedMillis)
	}
	if f.AimMillis <= 0 {
		return
	}
	b := &g.bins[min(int(f.InTime*probabilityBins), probabilityBins-1)]
	b.count++
	b.forecastSum += f.InTime
	if f.FirstMillis > 0 && f.FirstMillis <= f.AimMillis && f.Sends == 1 {
		b.inTime++
	}
}

// quantiles are the quantiles of the ratios that printTables prints.
var quantiles = []float64{0.1, 0.5, 0.9, 0.99}

// printTables writes one table of ratios and one of predicted and observed probabilities,
// and the count of bad lines.
func (c *calibration) printTables(out io.Writer) error {
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
				fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\n", g.name, b.count, b.forecastSum/float64(b.count), float64(b.inTime)/float64(b.count))
			}
		}
	}
	if c.badCount > 0 {
		fmt.Fprintf(w, "\n%d of %d lines are not a daemon's or are cut, the first: %s\n", c.badCount, c.lines, strings.Join(c.badLines, ", "))
	}
	return errors.WithStack(w.Flush())
}
