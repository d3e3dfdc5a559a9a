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

// baseline is the variant with all mechanisms on, to which others are compared.
const baseline = "all"

// utilityLine is the utility of one simulated day under one variant.
type utilityLine struct {
	variant, site, day, seed string
	utility                  float64
}

// sample identifies the day on which variants are compared.
func (l *utilityLine) sample() string { return l.site + " " + l.day + " " + l.seed }

// readUtilities reads lines of five fields, separated by tabs: variant, site, day,
// seed and utility. Days without a utility are counted as missing.
func readUtilities(in io.Reader) (lines []utilityLine, missing int, err error) {
	scan := bufio.NewScanner(in)
	for n := 1; scan.Scan(); n++ {
		f := strings.Split(scan.Text(), "\t")
		if len(f) != 5 {
			return nil, 0, errors.Errorf("line %d has %d fields, not 5", n, len(f))
		}
		utility, err := strconv.ParseFloat(f[4], 64)
		if err != nil || math.IsNaN(utility) {
			missing++
			continue
		}
		lines = append(lines, utilityLine{f[0], f[1], f[2], f[3], utility})
	}
	return lines, missing, errors.WithStack(scan.Err())
}

// utilityTable has the utilities of variants by site.
type utilityTable struct {
	variants, sites []string
	// baselines has the utility of each sample under the baseline.
	baselines map[string]float64
	// losses has, by variant and site, how much lower the utility of each sample
	// was than under the baseline.
	losses map[[2]string][]float64
	// utilities has the utilities of all samples, by variant and site.
	utilities map[[2]string][]float64
}

// newUtilityTable groups lines by variant and site.
func newUtilityTable(lines []utilityLine) *utilityTable {
	t := &utilityTable{baselines: map[string]float64{}, losses: map[[2]string][]float64{}, utilities: map[[2]string][]float64{}}
	for _, l := range lines {
		if l.variant == baseline {
			t.baselines[l.sample()] = l.utility
		}
	}
	for _, l := range lines {
		t.variants = appendNew(t.variants, l.variant)
		t.sites = appendNew(t.sites, l.site)
		key := [2]string{l.variant, l.site}
		t.utilities[key] = append(t.utilities[key], l.utility)
		if utility, found := t.baselines[l.sample()]; found {
			t.losses[key] = append(t.losses[key], utility-l.utility)
		}
	}
	return t
}

// appendNew appends a name unless the list has it.
func appendNew(list []string, name string) []string {
	for _, have := range list {
		if have == name {
			return list
		}
	}
	return append(list, name)
}

// printUtilities prints the table of a file: for each variant and site the utility
// that is lost without the mechanism, with the standard error over the samples.
func printUtilities(path string, out io.Writer) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	lines, missing, err := readUtilities(f)
	if err != nil {
		return errors.Wrap(err, path)
	}
	t := newUtilityTable(lines)
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

// cell returns the mean loss of a variant on a site, or the mean utility under the
// baseline.
func (t *utilityTable) cell(variant, site string) string {
	key := [2]string{variant, site}
	if variant == baseline {
		if len(t.utilities[key]) == 0 {
			return "not played"
		}
		return fmt.Sprintf("worth %.3f over %d days", stat.Mean(t.utilities[key], nil), len(t.utilities[key]))
	}
	losses := t.losses[key]
	if len(losses) < 2 {
		return "not played"
	}
	mean, deviation := stat.MeanStdDev(losses, nil)
	return fmt.Sprintf("%+.3f ± %.3f", mean, stat.StdErr(deviation, float64(len(losses))))
}
