package play

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// allOn is the variant that the others are held against.
const allOn = "all"

// worthLine is what one day was worth under one variant.
type worthLine struct {
	variant, site, day, seed string
	worth                    float64
}

// draw names the day that variants are compared on.
func (l *worthLine) draw() string { return l.site + " " + l.day + " " + l.seed }

// readWorth reads lines of five fields, tabs between: variant, site, day, seed
// and worth. Days without a worth are counted as missing.
func readWorth(in io.Reader) (lines []worthLine, missing int, err error) {
	scan := bufio.NewScanner(in)
	for n := 1; scan.Scan(); n++ {
		f := strings.Split(scan.Text(), "\t")
		if len(f) != 5 {
			return nil, 0, errors.Errorf("line %d has %d fields, not 5", n, len(f))
		}
		worth, err := strconv.ParseFloat(f[4], 64)
		if err != nil || math.IsNaN(worth) {
			missing++
			continue
		}
		lines = append(lines, worthLine{f[0], f[1], f[2], f[3], worth})
	}
	return lines, missing, errors.WithStack(scan.Err())
}

// worthTable is what variants are worth on sites.
type worthTable struct {
	variants, sites []string
	// all holds the worth of each draw with everything on.
	all map[string]float64
	// lost holds, by variant and site, by how much each draw was worth less than
	// with everything on.
	lost map[[2]string][]float64
	// worths holds all worths, by variant and site.
	worths map[[2]string][]float64
}

// newWorthTable orders lines.
func newWorthTable(lines []worthLine) *worthTable {
	t := &worthTable{all: map[string]float64{}, lost: map[[2]string][]float64{}, worths: map[[2]string][]float64{}}
	for _, l := range lines {
		if l.variant == allOn {
			t.all[l.draw()] = l.worth
		}
	}
	for _, l := range lines {
		t.variants = appendNew(t.variants, l.variant)
		t.sites = appendNew(t.sites, l.site)
		key := [2]string{l.variant, l.site}
		t.worths[key] = append(t.worths[key], l.worth)
		if base, found := t.all[l.draw()]; found {
			t.lost[key] = append(t.lost[key], base-l.worth)
		}
	}
	return t
}

// appendNew appends a name that is not in the list.
func appendNew(list []string, name string) []string {
	for _, have := range list {
		if have == name {
			return list
		}
	}
	return append(list, name)
}

// printWorth writes the table of a file: for each variant and site what the
// variant switches off is worth, with the standard error over the draws.
func printWorth(path string, out io.Writer) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	lines, missing, err := readWorth(f)
	if err != nil {
		return errors.Wrap(err, path)
	}
	t := newWorthTable(lines)
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprint(w, "| without\t")
	for _, site := range t.sites {
		fmt.Fprintf(w, "| %s\t", site)
	}
	fmt.Fprintln(w, "|")
	fmt.Fprintln(w, "| ---\t"+strings.Repeat("| ---\t", len(t.sites))+"|")
	for _, variant := range t.variants {
		fmt.Fprintf(w, "| %s\t", variant)
		for _, site := range t.sites {
			fmt.Fprintf(w, "| %s\t", t.cell(variant, site))
		}
		fmt.Fprintln(w, "|")
	}
	if missing > 0 {
		fmt.Fprintf(w, "%d days gave no figure\n", missing)
	}
	return errors.WithStack(w.Flush())
}

// cell is what a variant lost on a site, or with everything on the mean worth.
func (t *worthTable) cell(variant, site string) string {
	key := [2]string{variant, site}
	if variant == allOn {
		if len(t.worths[key]) == 0 {
			return "not played"
		}
		return fmt.Sprintf("worth %.3f over %d days", stat.Mean(t.worths[key], nil), len(t.worths[key]))
	}
	lost := t.lost[key]
	if len(lost) < 2 {
		return "not played"
	}
	mean, deviation := stat.MeanStdDev(lost, nil)
	return fmt.Sprintf("%+.3f ± %.3f", mean, stat.StdErr(deviation, float64(len(lost))))
}
