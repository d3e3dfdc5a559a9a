// Package play owns the callers' side of demonstrations and measurements: it
// calls entry boxes, writes and replays traces, and judges from the callers'
// and targets' own records.
//
// It must not read anything that the daemons claim of themselves, but for the
// figures that a measurement is about.
package play

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
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
