// Package play owns the callers' side of demonstrations and measurements: it
// calls entry boxes, generates and replays traces, and evaluates the results
// from the callers' and targets' own records.
//
// It must not rely on anything that the daemons report about themselves, except
// for the figures that are being measured.
package play

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

// Exit codes of embplay.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

const help = `Plays callers of entry boxes.

Examples:
  embplay demo --dir /tmp/site
  embplay trace --deployment abonamente --seed 7 --duration 30s --out trace.jsonl
  embplay run --dir /tmp/site --trace trace.jsonl

Exit codes: 0 done, 1 failed or a stated outcome was not met, 2 wrong command line.`

// Main runs the command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	app := kingpin.New("embplay", help)
	app.Terminate(nil)
	app.UsageWriter(errs)
	var commands []command
	demo := app.Command("demo", "Show the main job on a running site, step by step.")
	demoDir := demo.Flag("dir", "Folder of the site.").Required().String()
	commands = append(commands, command{demo, func() error { return runDemo(*demoDir, out) }})
	commands = append(commands, traceCommands(app, out)...)
	selected, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(errs, "embplay:", err)
		return exitUsage
	}
	for _, c := range commands {
		if c.clause.FullCommand() != selected {
			continue
		}
		if err := c.run(); err != nil {
			fmt.Fprintln(errs, "embplay:", err)
			return exitFailed
		}
	}
	return exitOK
}

func traceCommands(app *kingpin.Application, out io.Writer) []command {
	trace := app.Command("trace", "Write a seeded trace with its stated outcomes.")
	deployment := trace.Flag("deployment", "abonamente or cascade.").Required().String()
	seed := trace.Flag("seed", "Seed; the same one gives the same trace.").Default("1").Uint64()
	length := trace.Flag("duration", "Length of the trace.").Default("30s").Duration()
	faults := trace.Flag("faults", "Add one of each scheduled fault and a swap of weights.").Bool()
	traceOut := trace.Flag("out", "File to write.").Required().String()

	run := app.Command("run", "Replay a trace against running boxes and judge its stated outcomes.")
	runDir := run.Flag("dir", "Folder of the site.").Required().String()
	runFile := run.Flag("trace", "The trace.").Required().ExistingFile()
	runPlacement := run.Flag("placement", "Name that the figures bear.").Default("returning").String()
	runOut := run.Flag("out", "File for the figures.").String()

	compare := app.Command("compare", "Join the figures of several replays into a table and a plot.")
	compareDir := compare.Flag("dir", "Folder to write to.").Required().String()
	compareFiles := compare.Arg("figures", "Files that run wrote.").Required().ExistingFiles()
	worth := app.Command("worth", "Print what mechanisms are worth, from the lines that scripts/ablate.sh writes.")
	worthFile := worth.Arg("file", "The lines.").Required().ExistingFile()
	return []command{
		{worth, func() error { return printUtilities(*worthFile, out) }},
		{trace, func() error { return writeTrace(*deployment, *seed, *length, *faults, *traceOut) }},
		{run, func() error { return playTrace(*runDir, *runFile, *runPlacement, *runOut, out) }},
		{compare, func() error { return runCompare(*compareFiles, *compareDir, out) }},
	}
}

// writeTrace generates a trace and writes it to the file path.
func writeTrace(deployment string, seed uint64, length time.Duration, faults bool, path string) error {
	t, err := NewTrace(deployment, seed, length, faults)
	if err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	return t.Write(f)
}

// playTrace replays the trace in file, prints the figures and fails if an
// expected outcome is not met.
func playTrace(dir, file, placement, save string, out io.Writer) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	t, err := ReadTrace(f)
	if err != nil {
		return err
	}
	figures, err := runTrace(dir, t)
	if err != nil {
		return err
	}
	figures.Placement = placement
	if save != "" {
		if err := saveFigures(save, figures); err != nil {
			return err
		}
	}
	if err := printTable([]Figures{*figures}, out); err != nil {
		return err
	}
	for _, reason := range figures.Failures {
		fmt.Fprintln(out, reason)
	}
	if unmet := figures.unmet(t.Header.Outcomes); len(unmet) > 0 {
		return errors.New("stated outcomes are not met: " + strings.Join(unmet, "; "))
	}
	fmt.Fprintln(out, "all stated outcomes are met")
	return nil
}
